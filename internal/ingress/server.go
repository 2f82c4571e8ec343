package ingress

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/internal/connlimit"
)

// Listen opens a listener for a server and installs the limits of the port in both. limits is as for connlimit.Install.
func (p *Port) Listen(server *http.Server, address string, limits func() connlimit.Limits) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	return connlimit.Install(server, listener, limits, p.Guard()), nil
}

// Start serves the listener in the background. The caller must shut the server down. If serving fails, the error is sent to failed.
func Start(server *http.Server, listener net.Listener, failed chan<- error) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- eris.Wrapf(err, "server at %s", listener.Addr())
		}
	}()
}
