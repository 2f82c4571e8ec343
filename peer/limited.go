package peer

import (
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"github.com/chivemill/chivemill/internal/connlimit"
	"github.com/chivemill/chivemill/internal/reception"
)

const (
	// messageTimeout limits the time from the first byte of a call to the end of its first message.
	messageTimeout = 15 * time.Second
	// messageCopies is how often a message is in memory while it is handled: the reader's buffer, which grows by copying, the decoded
	// message and its encoded or decoded contents.
	messageCopies = 4
	// idleCopies is how often the largest message of a connection is in the reader's buffers while no call runs.
	idleCopies = 2
	// freeMessageBytes is the size up to which a message is not reserved: the number of connections is limited, and the usual messages
	// between daemons are smaller.
	freeMessageBytes = 8 << 10
)

// errNoMemory means that a message was not received for lack of memory, errClosed that the connection made room for others.
var (
	errNoMemory = errors.New("no memory for the message")
	errClosed   = errors.New("the connection was closed to make room for others")
)

// limitedListener limits the connections of peers and what they receive.
type limitedListener struct {
	net.Listener
	guard connlimit.Guard
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newLimitedConn(accepted, l.guard)
		if l.guard.Connections == nil || c.register(time.Now()) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// limitedConn limits what is received on a connection: a message beyond freeMessageBytes is reserved before it is read, and a call's first
// message has to arrive in time. The reader keeps the buffer of the largest message, so the reservation lasts until the connection is
// closed. While no call runs, it may be evicted, which closes the connection. It is safe for concurrent use.
type limitedConn struct {
	deadlineConn
	guard       connlimit.Guard
	reservation *reception.Reservation
	// entry is the connection in the table of open ones, nil if there is none.
	entry *reception.Connection

	// mu guards the fields below. Only Read uses frames.
	mu     sync.Mutex
	frames frameTracker
	// largestBytes is the size of the largest message so far, reservedBytes the size of the reservation.
	largestBytes, reservedBytes int64
	// isReceiving is set from the first byte of a call to the end of its first message.
	isReceiving bool
}

// newLimitedConn returns a connection under the limits of the guard, of which nil fields mean no limit.
func newLimitedConn(c net.Conn, guard connlimit.Guard) *limitedConn {
	limited := &limitedConn{deadlineConn: deadlineConn{c}, guard: guard}
	if guard.Memory != nil {
		limited.reservation = guard.Memory.NewReservation(limited.address(), time.Now(), func() {
			guard.Observe(reception.BodyEvicted, limited.address())
			_ = c.Close()
		})
	}
	return limited
}

func (c *limitedConn) address() string { return reception.AddressOf(c.RemoteAddr().String()) }

// register adds the connection to the table of open ones, and reports whether there was room.
func (c *limitedConn) register(now time.Time) bool {
	added, _ := c.guard.Connections.Add(c.address(), now, func() {
		c.guard.Observe(reception.ConnectionClosed, c.address())
		_ = c.Conn.Close()
	})
	if added == nil {
		c.guard.Observe(reception.ConnectionRefused, c.address())
		return false
	}
	c.entry = added
	return true
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		if limitErr := c.received(b[:n]); limitErr != nil {
			return 0, limitErr
		}
	}
	return n, err
}

// received reserves memory for what received bytes announce, before the reader keeps them.
func (c *limitedConn) received(data []byte) error {
	now := time.Now()
	c.mu.Lock()
	p, err := c.frames.advance(data)
	if err != nil {
		c.mu.Unlock()
		return err
	}
	if p.startsCall {
		c.startCall(now)
	}
	missing := c.missingBytes(p.largestPacket)
	isComplete := p.hasMessage && c.isReceiving
	if isComplete {
		c.isReceiving = false
		err = c.Conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	if err != nil {
		return err
	}
	// The lock is not held here: an eviction closes other connections.
	if missing > 0 {
		if err := c.reserve(missing, now); err != nil {
			return err
		}
	}
	if isComplete && !c.mayRun() {
		return errClosed
	}
	return nil
}

// missingBytes returns by how much the reservation has to grow for a message, and counts that. The caller holds the lock.
func (c *limitedConn) missingBytes(messageBytes int64) int64 {
	if c.reservation == nil || messageBytes <= freeMessageBytes {
		return 0
	}
	c.largestBytes = max(c.largestBytes, messageBytes)
	missing := max(0, messageCopies*messageBytes-c.reservedBytes)
	c.reservedBytes += missing
	return missing
}

// startCall starts the time for the first message of a call. The caller holds the lock.
func (c *limitedConn) startCall(now time.Time) {
	c.isReceiving = true
	c.makeEvictable(now)
	_ = c.Conn.SetReadDeadline(now.Add(messageTimeout)) // a closed connection fails at the next read
}

// makeEvictable marks that no call runs on the connection.
func (c *limitedConn) makeEvictable(now time.Time) {
	if c.reservation != nil {
		c.reservation.Reopen(now)
	}
	if c.entry != nil {
		c.entry.Wait(now)
	}
}

// reserve adds bytes to the reservation.
func (c *limitedConn) reserve(bytes int64, now time.Time) error {
	err := c.reservation.Grow(bytes, now)
	switch {
	case errors.Is(err, reception.ErrEvicted):
		return errClosed
	case err != nil:
		c.guard.Observe(reception.BodyRefused, c.address())
		return errNoMemory
	}
	return nil
}

// mayRun marks that a call runs, and reports false if the connection has been closed to make room.
func (c *limitedConn) mayRun() bool {
	if c.reservation != nil && !c.reservation.Complete() {
		return false
	}
	return c.entry == nil || c.entry.Run()
}

// finishCall marks that a call has ended, unless the next one has begun.
func (c *limitedConn) finishCall(stream uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frames.frame.ID.Stream != stream {
		return
	}
	c.makeEvictable(now)
	if idle := idleCopies * c.largestBytes; c.reservedBytes > idle {
		c.reservedBytes = idle
		c.reservation.ShrinkTo(idle)
	}
	if c.isReceiving {
		c.isReceiving = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // a closed connection fails at the next read
	}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if c.entry != nil {
		c.entry.Remove()
	}
	if c.reservation != nil {
		c.reservation.Release()
	}
	return c.Conn.Close()
}

// limitedHandler tells the connection of a call when the call has ended.
type limitedHandler struct{ drpc.Handler }

// HandleRPC implements drpc.Handler.
func (h limitedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	transport, _ := drpcctx.Transport(stream.Context())
	identified, hasID := stream.(interface{ ID() uint64 })
	if c, ok := transport.(*limitedConn); ok && hasID {
		defer func() { c.finishCall(identified.ID(), time.Now()) }()
	}
	return h.Handler.HandleRPC(stream, rpc)
}
