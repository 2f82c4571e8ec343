package backend

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/chivemill/chivemill/internal/dispatch"
)

// countedConn is a connection of a client. It decrements the client's count of open connections when it is closed.
type countedConn struct {
	net.Conn
	openCount *atomic.Int64
	closed    atomic.Bool
	// roundTrip is locked from the assignment of the connection to a request until its response has been checked. The
	// transport assigns the connection to the next request earlier, with the last byte of the response.
	roundTrip sync.Mutex
}

// Close implements net.Conn. closed is set last, so that nothing can be written to a connection that is marked as closed.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	if c.closed.CompareAndSwap(false, true) {
		c.openCount.Add(-1)
	}
	return err
}

// roundTrip tracks the connection that carries one request. It is not safe for concurrent use.
type roundTrip struct {
	conn *countedConn
	// reused reports whether the connection carried an earlier request.
	reused bool
	// gate, if set, decides whether the request may still be sent; withheld reports that it may not, and begun that it was counted.
	gate            *dispatch.Gate
	withheld, begun bool
	// closedBefore reports whether the connection was closed before it was assigned to the request, of which nothing can
	// be written then.
	closedBefore bool
}

// trace returns a context that records the connection assigned to a request in t before anything is written to it.
func (t *roundTrip) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.begin})
}

// begin waits until the response to the previous request on the connection has been checked.
func (t *roundTrip) begin(info httptrace.GotConnInfo) {
	// The transport may send a request without body again on another connection.
	t.end()
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	conn.roundTrip.Lock()
	t.conn, t.reused, t.closedBefore = conn, info.Reused, conn.closed.Load()
	if t.gate == nil || t.closedBefore {
		return
	}
	t.begun = t.gate.Begin()
	if t.withheld = !t.begun; t.withheld {
		t.closeConn()
	}
}

// notExecuted tells the gate that the backend server has not executed the request.
func (t *roundTrip) notExecuted() {
	if t.begun {
		t.gate.NotExecuted()
	}
}

// end allows the next request to use the connection.
func (t *roundTrip) end() {
	if t.conn != nil {
		t.conn.roundTrip.Unlock()
		t.conn = nil
	}
}

// closeConn closes the connection, so that no other request uses it.
func (t *roundTrip) closeConn() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}
