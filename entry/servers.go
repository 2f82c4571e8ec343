package entry

import (
	"net/http"
	"time"

	"github.com/chivemill/chivemill/internal/ingress"
	"github.com/chivemill/chivemill/metrics"
)

const (
	// headerTimeout limits the time for a request header, idleTimeout the time between two requests on a connection.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// maxUnusedBodyBytes limits the body of a request that needs none.
	maxUnusedBodyBytes = 4 << 10
)

// newServer returns an HTTP server with the limits that the ports for callers and for operators share.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// StartCallers starts the server of the callers' interface. If serving fails, the error is sent to failed.
func (d *Daemon) StartCallers(failed chan<- error) (*http.Server, error) {
	return startServer(d.ports.Callers, d.cfg.CallerAddress, d.callerHandler(), failed)
}

// StartOperators starts the server of the operators' interface, with the metrics that the given handler serves. If serving fails, the
// error is sent to failed.
func (d *Daemon) StartOperators(collected http.Handler, failed chan<- error) (*http.Server, error) {
	return startServer(d.ports.Internal, d.cfg.OperatorAddress, d.operatorHandler(collected), failed)
}

func startServer(port *ingress.Port, address string, handler http.Handler, failed chan<- error) (*http.Server, error) {
	server := newServer(handler)
	listener, err := port.Listen(server, address, nil)
	if err != nil {
		return nil, err
	}
	ingress.Start(server, listener, failed)
	return server, nil
}

// operatorHandler returns the handler of the operators' interface: health, readiness, status and metrics.
func (d *Daemon) operatorHandler(collected http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.handleReady)
	mux.Handle("GET /v1/status", ingress.LimitPages(http.HandlerFunc(d.handleStatus)))
	mux.Handle("GET "+metrics.Path, ingress.LimitPages(collected))
	return d.ports.Internal.Bodies().Handler(maxUnusedBodyBytes, mux)
}
