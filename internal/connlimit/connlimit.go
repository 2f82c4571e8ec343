// Package connlimit limits the size and duration of request headers and the idle time on callers' HTTP/1.1 connections.
// Unlike the fields of http.Server, the limits may change while connections are open.
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

// Limits holds the limits of a connection. A zero field means no limit.
type Limits struct {
	// MaxHeaderBytes is the maximum size of a request header, including the request line. Up to 4 KiB more may pass,
	// because net/http may read the start of the body together with the header.
	MaxHeaderBytes int64
	// HeaderTimeout is the maximum time from the first byte of a request, or from the opening of the connection, to the
	// end of the header. IdleTimeout is the maximum time between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

const (
	// checkInterval is the time after which a pending read checks whether the limits have changed.
	checkInterval = 5 * time.Second
	// readAhead is the number of bytes of a body that net/http may read together with the header.
	readAhead = 4 << 10
	// rejectTimeout limits the time to write the response to a header that is too large.
	rejectTimeout = time.Second
)

// headerTooLargeResponse is the response to a header that is too large.
const headerTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var errHeaderTooLarge = errors.New("the request header is too large")

// Install returns a listener whose connections enforce the limits. It wraps the handler of the server and replaces its
// ConnContext and ConnState. It must be called before the server starts. limits is called for each read, from several
// goroutines, and must be fast.
func Install(server *http.Server, listener net.Listener, limits func() Limits) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if limited, ok := c.(*conn); ok && state == http.StateIdle {
			limited.setPhase(phaseIdle)
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if limited, ok := r.Context().Value(connKey{}).(*conn); ok {
			limited.setPhase(phaseServing)
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
	return &conn{Conn: c, limits: l.limits, phase: phaseNew, phaseStart: time.Now()}, nil
}

type phase int

const (
	// A connection is in phaseNew before its first byte, in phaseHeader while a request header is received, in
	// phaseServing from the call of the handler on, and in phaseIdle between requests.
	phaseNew phase = iota
	phaseIdle
	phaseHeader
	phaseServing
)

// conn is a connection that enforces the limits on its reads. Like every net.Conn it is safe for concurrent use.
type conn struct {
	net.Conn
	limits func() Limits

	mu         sync.Mutex
	phase      phase
	phaseStart time.Time
	// headerBytes is the number of bytes received of the current header.
	headerBytes int64
	// serverDeadline is the read deadline set by the server.
	serverDeadline time.Time
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.headerBytes = p, time.Now(), 0
}

// SetReadDeadline implements net.Conn. It takes effect immediately, because the server uses it to cancel a pending read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.setNextDeadline(); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 {
			return n, c.countReceived(n)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.isExpired(time.Now()) {
			return n, err
		}
	}
}

// phaseDeadline returns the time at which the current phase must end, or zero if it has no limit. The caller holds the
// lock.
func (c *conn) phaseDeadline() time.Time {
	limits := c.limits()
	timeout := limits.HeaderTimeout
	switch c.phase {
	case phaseIdle:
		timeout = limits.IdleTimeout
	case phaseServing:
		return time.Time{}
	case phaseNew, phaseHeader:
	}
	if timeout <= 0 {
		return time.Time{}
	}
	return c.phaseStart.Add(timeout)
}

// setNextDeadline sets the deadline of the next read to the earliest of the server's deadline, the deadline of the phase
// and the next check of the limits.
func (c *conn) setNextDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.serverDeadline
	if c.phase != phaseServing {
		until = earlier(until, earlier(c.phaseDeadline(), time.Now().Add(checkInterval)))
	}
	return c.Conn.SetReadDeadline(until)
}

// isExpired reports whether the server's deadline or that of the phase has passed.
func (c *conn) isExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := earlier(c.serverDeadline, c.phaseDeadline())
	return !end.IsZero() && !now.Before(end)
}

// countReceived adds n received bytes to the header. It rejects a header above the limit itself, because the limit of
// net/http is fixed when the server starts.
func (c *conn) countReceived(n int) error {
	c.mu.Lock()
	if c.phase == phaseNew || c.phase == phaseIdle {
		c.phase, c.phaseStart = phaseHeader, time.Now()
	}
	maxBytes := c.limits().MaxHeaderBytes
	isTooLarge := false
	if c.phase == phaseHeader {
		c.headerBytes += int64(n)
		isTooLarge = maxBytes > 0 && c.headerBytes > maxBytes+readAhead
	}
	c.mu.Unlock()
	if !isTooLarge {
		return nil
	}
	err := c.SetWriteDeadline(time.Now().Add(rejectTimeout))
	if err == nil {
		_, err = c.Write([]byte(headerTooLargeResponse))
	}
	return errors.Join(errHeaderTooLarge, err)
}

// earlier returns the earlier of two times. A zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
