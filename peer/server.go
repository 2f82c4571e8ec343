package peer

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/chivemill/chivemill/confsync"
)

// maxConnections bounds the connections that the server accepts.
const maxConnections = 8_192

// ConfigHandler answers the configuration requests of peers; confsync.Runner implements it. It is called
// concurrently and does not block.
type ConfigHandler interface {
	// Serve answers a request of the peer with the member ID, or returns nil for an unknown request.
	Serve(from string, req confsync.Request) confsync.Response
}

// Server serves the peers on a listener.
type Server struct {
	server *drpcserver.Server
	open   atomic.Int64
}

// NewServer returns a server. forward handles sub-requests of peers and may be nil.
func NewServer(config ConfigHandler, forward Forwarder, log *zap.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterConfig(mux, &configServer{handler: config}); err != nil {
		return nil, eris.Wrap(err, "configuration service")
	}
	if forward != nil {
		if err := DRPCRegisterRelay(mux, &relayServer{forwarder: forward}); err != nil {
			return nil, eris.Wrap(err, "relay service")
		}
	}
	options := drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { log.Debug("connection of a peer ended", zap.Error(err)) },
	}
	options.Manager.InactivityTimeout = serverIdleTimeout
	return &Server{server: drpcserver.NewWithOptions(mux, options)}, nil
}

// Serve accepts connections until ctx ends, and returns after all have ended. It closes the listener.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return eris.Wrap(s.server.Serve(ctx, &limitListener{Listener: l, open: &s.open}), "peer listener")
}

// limitListener closes connections above the limit.
type limitListener struct {
	net.Listener
	open *atomic.Int64
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= maxConnections {
			return &countedConn{deadlineConn: deadlineConn{conn}, open: l.open}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type countedConn struct {
	deadlineConn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

type configServer struct{ handler ConfigHandler }

// Compare implements DRPCConfigServer.
func (s *configServer) Compare(_ context.Context, r *CompareRequest) (*CompareResponse, error) {
	resp, ok := s.handler.Serve(r.GetFrom(), confsync.CompareRequest{Total: r.GetTotal()}).(confsync.CompareResponse)
	if !ok {
		return nil, eris.New("comparison not answered")
	}
	return fromCompare(resp), nil
}

// Entries implements DRPCConfigServer.
func (s *configServer) Entries(_ context.Context, r *EntriesRequest) (*EntriesResponse, error) {
	req := confsync.EntriesRequest{Mask: r.GetMask(), Entries: toEntries(r.GetEntries())}
	resp, ok := encodeResponse(s.handler.Serve(r.GetFrom(), req)).(*EntriesResponse)
	if !ok {
		return nil, eris.New("entries not answered")
	}
	return resp, nil
}

// Fetch implements DRPCConfigServer.
func (s *configServer) Fetch(_ context.Context, r *FetchRequest) (*FetchResponse, error) {
	req := confsync.FetchRequest{Wants: toEntries(r.GetWants())}
	resp, ok := encodeResponse(s.handler.Serve(r.GetFrom(), req)).(*FetchResponse)
	if !ok {
		return nil, eris.New("fetch not answered")
	}
	return resp, nil
}
