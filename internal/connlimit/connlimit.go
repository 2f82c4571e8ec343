// Package connlimit limits the size and duration of request headers and the idle time on HTTP/1.1 connections, and connects their server
// to the limits of package reception on connections and on the memory of headers. Unlike the fields of http.Server, the limits may change
// while connections are open.
package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/chivemill/chivemill/internal/reception"
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
	// unavailableTimeout is the same for unavailableResponse, for which another connection waits.
	unavailableTimeout = 10 * time.Millisecond
	// writeTimeout is the longest time in which a caller has to accept writePieceBytes of a response. A caller that does not read its response
	// holds the memory of the response and its connection until then. writeSlack is how much longer it may take, so that the deadline need
	// not be set for each response.
	writeTimeout    = 15 * time.Second
	writeSlack      = 5 * time.Second
	writePieceBytes = 64 << 10
	// freeHeaderBytes is the part of a header that is in the buffer of its connection, which Connections accounts for.
	freeHeaderBytes = 4 << 10
	// headerCopies is how many bytes net/http takes for a byte of a header: a line is collected in a buffer that doubles, and copied.
	headerCopies = 3
)

// Guard holds the limits on all connections of a server together. A nil field means no limit.
type Guard struct {
	Connections *reception.Connections
	// Memory limits the memory of headers, from their reception until the request has been answered, together with that of bodies.
	Memory *reception.Budget
	// Observe is called for each connection that one of these limits closes.
	Observe reception.Observer
}

// headerTooLargeResponse is the response to a header that is too large.
const headerTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// unavailableResponse is the response on a connection without a complete header that is closed for lack of memory or descriptors.
const unavailableResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

var (
	errHeaderTooLarge = errors.New("the request header is too large")
	errNoMemory       = errors.New("no memory for the request header")
)

// Install returns a listener whose connections enforce the limits. It wraps the handler of the server and replaces its
// ConnContext and ConnState. It must be called before the server starts. limits is called for each read, from several
// goroutines, and must be fast; nil means that the fields of the server are the only limits on headers and idle time.
func Install(server *http.Server, listener net.Listener, limits func() Limits, guard Guard) net.Listener {
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
			if !limited.completeHeader() {
				panic(http.ErrAbortHandler) // the connection has been closed to free its memory
			}
		}
		handler.ServeHTTP(w, r)
	})
	return &limitedListener{listener, limits, guard}
}

// Of returns the connection of a request, for a reception.Receiver.
func Of(r *http.Request) reception.Conn {
	if limited, ok := r.Context().Value(connKey{}).(*conn); ok {
		return limited
	}
	return reception.UnknownConn{}
}

type connKey struct{}

type limitedListener struct {
	net.Listener
	limits func() Limits
	guard  Guard
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := time.Now()
		c := &conn{Conn: accepted, limits: l.limits, guard: l.guard, phase: phaseNew, phaseStart: now}
		if l.guard.Connections == nil || l.add(c, now) {
			return c, nil
		}
	}
}

// add adds a connection to the table of open ones, and reports whether there was room. Otherwise it closes the connection.
func (l *limitedListener) add(c *conn, now time.Time) bool {
	address := c.address()
	added, _ := l.guard.Connections.Add(address, now, func() {
		l.guard.Observe(reception.ConnectionClosed, address)
		_ = c.Conn.Close()
	})
	if added == nil {
		l.guard.Observe(reception.ConnectionRefused, address)
		c.reject()
		return false
	}
	c.entry = added
	return true
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
	guard  Guard
	// entry is the connection in the table of open ones, nil if there is none.
	entry *reception.Connection

	mu         sync.Mutex
	phase      phase
	phaseStart time.Time
	// headerBytes is the number of bytes received of the current header, bodyBytes that of the body with its framing.
	headerBytes, bodyBytes int64
	// header is the memory of the current header, nil if it needs none. reservedHeaderBytes is the part of the header that it is for.
	header              *reception.Reservation
	reservedHeaderBytes int64
	// serverDeadline and serverWriteDeadline are the deadlines of reads and writes set by the server.
	serverDeadline, serverWriteDeadline time.Time
	// readDeadline and writeDeadline are the deadlines that are set.
	readDeadline, writeDeadline time.Time
}

func (c *conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseStart, c.headerBytes, c.bodyBytes = p, time.Now(), 0, 0
	if p == phaseIdle {
		c.releaseHeader()
		c.wait()
	}
}

// wait marks that the connection waits for a request or its next part.
func (c *conn) wait() {
	if c.entry != nil {
		c.entry.Wait(c.phaseStart)
	}
}

// releaseHeader releases the memory of the header. The caller holds the lock.
func (c *conn) releaseHeader() {
	if c.header != nil {
		c.header.Release()
	}
	c.header, c.reservedHeaderBytes = nil, 0
}

// completeHeader reports false if the connection has been closed to free the memory of its header.
func (c *conn) completeHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.header == nil || c.header.Complete()
}

func (c *conn) address() string { return reception.AddressOf(c.RemoteAddr().String()) }

// ReceivedBytes implements reception.Conn.
func (c *conn) ReceivedBytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyBytes
}

// Run implements reception.Conn.
func (c *conn) Run() bool { return c.entry == nil || c.entry.Run() }

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.entry != nil {
		c.entry.Remove()
	}
	c.mu.Lock()
	c.releaseHeader()
	c.mu.Unlock()
	return c.Conn.Close()
}

// reject closes a connection on which no request has been received. It does not wait for the caller.
func (c *conn) reject() {
	_ = c.SetWriteDeadline(time.Now().Add(unavailableTimeout))
	_, _ = c.Conn.Write([]byte(unavailableResponse))
	_ = c.Conn.Close()
}

// SetReadDeadline implements net.Conn. It takes effect immediately, because the server uses it to cancel a pending read.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline for reads. The caller holds the lock.
func (c *conn) setReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverWriteDeadline = t
	return c.setWriteDeadline(t)
}

// setWriteDeadline sets the deadline for writes. The caller holds the lock.
func (c *conn) setWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
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

// Write implements net.Conn. It writes in pieces, each of which has to be accepted within writeTimeout.
func (c *conn) Write(b []byte) (n int, err error) {
	for {
		if err := c.setNextWriteDeadline(); err != nil {
			return n, err
		}
		written, err := c.Conn.Write(b[n:min(len(b), n+writePieceBytes)])
		n += written
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// setNextWriteDeadline sets the deadline of the next piece to the server's deadline, or to at least writeTimeout from now if that is earlier.
func (c *conn) setNextWriteDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.serverWriteDeadline.IsZero() && c.writeDeadline.After(now.Add(writeTimeout)) {
		return nil
	}
	return c.setWriteDeadline(earlier(c.serverWriteDeadline, now.Add(writeTimeout+writeSlack)))
}

func (c *conn) currentLimits() Limits {
	if c.limits == nil {
		return Limits{}
	}
	return c.limits()
}

// phaseDeadline returns the time at which the current phase must end, or zero if it has no limit. The caller holds the
// lock.
func (c *conn) phaseDeadline() time.Time {
	limits := c.currentLimits()
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

// setNextDeadline sets the deadline of the next read to the earliest of the server's deadline, the deadline of the phase and the next
// check of the limits. An earlier deadline that is still far enough away stays, because each change takes time: the read only checks
// earlier.
func (c *conn) setNextDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.limits == nil {
		if c.readDeadline.Equal(c.serverDeadline) {
			return nil
		}
		return c.setReadDeadline(c.serverDeadline)
	}
	now := time.Now()
	until := earlier(c.serverDeadline, earlier(c.phaseDeadline(), now.Add(checkInterval)))
	if c.readDeadline.After(now.Add(checkInterval/2)) && !c.readDeadline.After(until) {
		return nil
	}
	return c.setReadDeadline(until)
}

// isExpired reports whether the server's deadline or that of the phase has passed.
func (c *conn) isExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := earlier(c.serverDeadline, c.phaseDeadline())
	return !end.IsZero() && !now.Before(end)
}

// countReceived adds n received bytes to the header or the body. It rejects a header above the limit itself, because the limit of
// net/http is fixed when the server starts.
func (c *conn) countReceived(n int) error {
	c.mu.Lock()
	if c.phase == phaseNew || c.phase == phaseIdle {
		c.phase, c.phaseStart = phaseHeader, time.Now()
		c.wait()
	}
	if c.phase != phaseHeader {
		c.bodyBytes += int64(n)
		c.mu.Unlock()
		return nil
	}
	maxBytes := c.currentLimits().MaxHeaderBytes
	c.headerBytes += int64(n)
	isTooLarge := maxBytes > 0 && c.headerBytes > maxBytes+readAhead
	reservation, missing := c.headerReservation()
	c.mu.Unlock()
	if isTooLarge {
		err := c.SetWriteDeadline(time.Now().Add(rejectTimeout))
		if err == nil {
			_, err = c.Write([]byte(headerTooLargeResponse))
		}
		return errors.Join(errHeaderTooLarge, err)
	}
	if missing == 0 {
		return nil
	}
	// The lock is not held here: an eviction closes other connections.
	switch err := reservation.Grow(missing, time.Now()); {
	case errors.Is(err, reception.ErrEvicted):
		return errNoMemory
	case err != nil:
		c.guard.Observe(reception.HeaderRefused, c.address())
		c.reject()
		return errNoMemory
	}
	return nil
}

// headerReservation returns the reservation of the header and by how much it has to grow. The caller holds the lock.
func (c *conn) headerReservation() (r *reception.Reservation, missing int64) {
	needed := c.headerBytes - freeHeaderBytes
	if c.guard.Memory == nil || needed <= c.reservedHeaderBytes {
		return nil, 0
	}
	if c.header == nil {
		address := c.address()
		c.header = c.guard.Memory.NewReservation(address, c.phaseStart, func() {
			c.guard.Observe(reception.HeaderEvicted, address)
			c.reject()
		})
	}
	missing = headerCopies * (needed - c.reservedHeaderBytes)
	c.reservedHeaderBytes = needed
	return c.header, missing
}

// earlier returns the earlier of two times. A zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
