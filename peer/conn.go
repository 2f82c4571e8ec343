// Package peer is the protocol between entry daemons: drpc services over TCP for the configuration and for
// sub-requests that pass through a second daemon.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout = time.Second
	// writeTimeout ends a connection whose peer does not read, so that it cannot hold a goroutine for ever.
	writeTimeout = 5 * time.Second
	// idleTimeout closes an unused connection at the client. The server waits longer, so that the client does not
	// send into a connection that the server just closed.
	idleTimeout       = 30 * time.Second
	serverIdleTimeout = 2 * time.Minute
	// maxMessage bounds a message in bytes: a fetch response with one value of 1 MiB, or a batch of sub-requests.
	maxMessage = 4 << 20
)

// class separates connections, so that sub-requests do not delay the configuration.
type class string

const (
	classConfig class = "config"
	classRelay  class = "relay"
)

// Connections per peer and class. A connection carries one call at a time.
var connectionLimit = map[class]int{classConfig: 2, classRelay: 16}

// deadlineConn sets a deadline for each write.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		SoftCancel:      true,
		SoftCancelGrace: 10 * time.Millisecond,
	}
}

type poolKey struct {
	address string
	class   class
}

// pool bounds the connections to each peer and closes idle ones. It is safe for concurrent use.
type pool struct {
	idle *drpcpool.Pool[poolKey, drpcpool.Conn]

	mu    sync.Mutex
	slots map[poolKey]chan struct{}
}

func newPool() *pool {
	return &pool{
		idle:  drpcpool.New[poolKey, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: 16}),
		slots: make(map[poolKey]chan struct{}),
	}
}

func (p *pool) slot(key poolKey) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.slots[key]
	if !ok {
		s = make(chan struct{}, connectionLimit[key.class])
		p.slots[key] = s
	}
	return s
}

// get waits for a free connection of the peer. release returns it. An error means that nothing was sent.
func (p *pool) get(ctx context.Context, key poolKey) (conn drpcpool.Conn, release func(), err error) {
	slot := p.slot(key)
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, eris.Wrapf(ctx.Err(), "no free connection to %s", key.address)
	}
	conn, ok := p.idle.Take(key)
	if !ok {
		conn, err = dial(ctx, key.address)
	}
	if err != nil {
		<-slot
		return nil, nil, err
	}
	return conn, func() {
		p.idle.Put(key, conn)
		<-slot
	}, nil
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "peer %s", address)
	}
	return drpcconn.NewWithOptions(deadlineConn{conn}, drpcconn.Options{Manager: managerOptions()}), nil
}

func (p *pool) close() error { return p.idle.Close() }
