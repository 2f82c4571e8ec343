// Package connlimit enforces limits on the heads and the idle time of callers' HTTP/1.1 connections that may change while
// the connections are open, which the fields of http.Server cannot.
package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Limits bounds what a caller may send. A zero field means no limit.
type Limits struct {
	// HeadBytes is the size of a request's head.
	HeadBytes int64
	// HeadTimeout is the time from a request's first byte, or from the opening of a connection, to the end of the head;
	// IdleTimeout is the time between two requests.
	HeadTimeout, IdleTimeout time.Duration
}

const (
	// checkInterval is how often a waiting connection looks whether the limits have changed.
	checkInterval = 5 * time.Second
	// readAhead is what net/http may have read of a body together with the head, in bytes.
	readAhead = 4 << 10
	// refusalTimeout bounds the writing of the answer to a head that is too large.
	refusalTimeout = time.Second
)

// tooLarge is the answer to a head that is too large.
const tooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var errTooLarge = errors.New("the head of the request is too large")

// Install makes the server enforce the limits on the connections of the returned listener and around the server's
// handler. It has to be called before the server serves; limits is called for each read and must be fast.
func Install(server *http.Server, listener net.Listener, limits func() Limits) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if l, ok := c.(*conn); ok && state == http.StateIdle {
			l.enter(waiting)
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l, ok := r.Context().Value(connKey{}).(*conn); ok {
			l.enter(serving)
		}
		handler.ServeHTTP(w, r)
	})
	return &limitedListener{listener, limits}
}

type connKey struct{}

type limitedListener struct {
	net.Listener
	limits func() Limits
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, limits: l.limits, phase: opened, since: time.Now()}, nil
}

type phase int

const (
	// opened is a connection before its first byte, waiting one between requests, head one within a request's head, and
	// serving one from the call of the handler on.
	opened phase = iota
	waiting
	head
	serving
)

// conn is a connection whose reads end at its limits. It is safe for concurrent use as a net.Conn is.
type conn struct {
	net.Conn
	limits func() Limits

	mu    sync.Mutex
	phase phase
	since time.Time
	// received counts the bytes of the head.
	received int64
	// deadline is what the server set.
	deadline time.Time
}

func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.received = p, time.Now(), 0
}

// SetReadDeadline implements net.Conn. The server ends a pending read with it, so it is in force at once.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.arm(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			return n, c.count(n)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isOver(time.Now()) {
			return n, err
		}
	}
}

// limit returns the end of the present phase, zero for none. The caller holds the lock.
func (c *conn) limit() time.Time {
	limits := c.limits()
	timeout := limits.HeadTimeout
	switch c.phase {
	case waiting:
		timeout = limits.IdleTimeout
	case serving:
		return time.Time{}
	case opened, head:
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return c.since.Add(timeout)
}

// arm sets the deadline of the next read: that of the server, the end of the phase, or the next look at the limits.
func (c *conn) arm() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.deadline
	if c.phase != serving {
		until = earlier(until, earlier(c.limit(), time.Now().Add(checkInterval)))
	}
	return c.Conn.SetReadDeadline(until)
}

// isOver reports whether the server's deadline or the phase has ended.
func (c *conn) isOver(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := earlier(c.deadline, c.limit())
	return !end.IsZero() && !now.Before(end)
}

// count takes received bytes. A head beyond its limit is answered here, since net/http has its own, fixed limit.
func (c *conn) count(n int) error {
	c.mu.Lock()
	if c.phase == opened || c.phase == waiting {
		c.phase, c.since = head, time.Now()
	}
	most := c.limits().HeadBytes
	isTooLarge := false
	if c.phase == head {
		c.received += int64(n)
		isTooLarge = most > 0 && c.received > most+readAhead
	}
	c.mu.Unlock()
	if !isTooLarge {
		return nil
	}
	err := c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if err == nil {
		_, err = c.Write([]byte(tooLarge))
	}
	return errors.Join(errTooLarge, err)
}

// earlier returns the earlier of two times, of which a zero one means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
