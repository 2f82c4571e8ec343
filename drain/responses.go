package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Responses counts HTTP requests from the call of their handler until their response has been written out or their connection has ended.
// A handler returns earlier: net/http holds the end of a response back until then. It is safe for concurrent use.
type Responses struct {
	unwritten atomic.Int64
	// conns holds a *trackedConn per open net.Conn.
	conns sync.Map
}

// trackedConn is a connection of a watched server.
type trackedConn struct{ isServing atomic.Bool }

type trackedConnKey struct{}

// Unwritten returns the number of requests whose responses have not been written out.
func (r *Responses) Unwritten() int64 { return r.unwritten.Load() }

// Watch watches the connections of a server. It extends the server's ConnContext and ConnState and must be called before the server
// starts.
func (r *Responses) Watch(server *http.Server) {
	connContext, connState := server.ConnContext, server.ConnState
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		tracked := &trackedConn{}
		r.conns.Store(conn, tracked)
		return context.WithValue(ctx, trackedConnKey{}, tracked)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if connState != nil {
			connState(conn, state)
		}
		switch state {
		case http.StateIdle:
			if tracked, ok := r.conns.Load(conn); ok {
				r.end(tracked.(*trackedConn))
			}
		case http.StateClosed, http.StateHijacked:
			if tracked, ok := r.conns.LoadAndDelete(conn); ok {
				r.end(tracked.(*trackedConn))
			}
		}
	}
}

func (r *Responses) end(conn *trackedConn) {
	if conn.isServing.CompareAndSwap(true, false) {
		r.unwritten.Add(-1)
	}
}

// Track returns a handler that counts its requests. The server that it belongs to must be watched.
func (r *Responses) Track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if conn, ok := req.Context().Value(trackedConnKey{}).(*trackedConn); ok && conn.isServing.CompareAndSwap(false, true) {
			r.unwritten.Add(1)
		}
		next.ServeHTTP(w, req)
	})
}
