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

// maxOpenConns limits the open connections of the server; further ones are closed at once.
const maxOpenConns = 8_192

// ConfigHandler answers the configuration requests of peers; confsync.Runner implements it. It must be safe for
// concurrent use and must not block.
type ConfigHandler interface {
	// HandleRequest answers a request from the peer with the member ID from, or returns nil for an unknown request type.
	HandleRequest(from string, req confsync.Request) confsync.Response
}

// Server serves the configuration and relay services to peers.
type Server struct {
	server *drpcserver.Server
	open   atomic.Int64
}

// NewServer returns a server. executor executes the sub-requests of peers; if it is nil, the relay service is not
// registered.
func NewServer(config ConfigHandler, executor Executor, log *zap.Logger) (*Server, error) {
	mux := drpcmux.New()
	if err := DRPCRegisterConfig(mux, &configServer{handler: config}); err != nil {
		return nil, eris.Wrap(err, "register configuration service")
	}
	if executor != nil {
		if err := DRPCRegisterRelay(mux, &relayServer{executor: executor}); err != nil {
			return nil, eris.Wrap(err, "register relay service")
		}
	}
	options := drpcserver.Options{
		Manager: drpcManagerOptions(),
		Log:     func(err error) { log.Debug("connection of a peer ended", zap.Error(err)) },
	}
	options.Manager.InactivityTimeout = serverIdleTimeout
	return &Server{server: drpcserver.NewWithOptions(mux, options)}, nil
}

// Serve accepts connections until ctx is cancelled, then closes the listener and returns once all connections have
// ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return eris.Wrap(s.server.Serve(ctx, &limitedListener{Listener: l, open: &s.open}), "serve peer connections")
}

// limitedListener accepts at most maxOpenConns connections at a time and closes any further one.
type limitedListener struct {
	net.Listener
	open *atomic.Int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= maxOpenConns {
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
	resp, ok := s.handler.HandleRequest(r.GetFrom(), confsync.CompareRequest{Total: r.GetTotal()}).(confsync.CompareResponse)
	if !ok {
		return nil, eris.New("no response to the compare request")
	}
	return encodeCompareResponse(resp), nil
}

// Entries implements DRPCConfigServer.
func (s *configServer) Entries(_ context.Context, r *EntriesRequest) (*EntriesResponse, error) {
	req := confsync.EntriesRequest{BucketMask: r.GetMask(), Entries: decodeEntries(r.GetEntries())}
	resp, ok := encodeResponse(s.handler.HandleRequest(r.GetFrom(), req)).(*EntriesResponse)
	if !ok {
		return nil, eris.New("no response to the entries request")
	}
	return resp, nil
}

// Fetch implements DRPCConfigServer.
func (s *configServer) Fetch(_ context.Context, r *FetchRequest) (*FetchResponse, error) {
	req := confsync.FetchRequest{Entries: decodeEntries(r.GetWants())}
	resp, ok := encodeResponse(s.handler.HandleRequest(r.GetFrom(), req)).(*FetchResponse)
	if !ok {
		return nil, eris.New("no response to the fetch request")
	}
	return resp, nil
}
