package peer

import (
	"context"
	"net"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/internal/connlimit"
)

// ConfigHandler answers the configuration requests of peers; confsync.Runner implements it. It must be safe for
// concurrent use and must not block.
type ConfigHandler interface {
	// HandleRequest answers a request from the peer with the member ID from, or returns nil for an unknown request type.
	HandleRequest(from string, req confsync.Request) confsync.Response
}

// Server serves the configuration and relay services to peers.
type Server struct {
	server *drpcserver.Server
	guard  connlimit.Guard
}

// NewServer returns a server whose connections have the limits of the guard; nil fields mean no limit. executor executes the
// sub-requests of peers; if it is nil, the relay service is not registered.
func NewServer(config ConfigHandler, executor Executor, guard connlimit.Guard, log *zap.Logger) (*Server, error) {
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
	return &Server{server: drpcserver.NewWithOptions(limitedHandler{mux}, options), guard: guard}, nil
}

// Serve accepts connections until ctx is cancelled, then closes the listener and returns once all connections have
// ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return eris.Wrap(s.server.Serve(ctx, &limitedListener{Listener: l, guard: s.guard}), "serve peer connections")
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
