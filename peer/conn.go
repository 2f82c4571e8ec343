// Package peer implements the protocol between entry daemons: drpc services over TCP that synchronise the
// configuration and forward sub-requests through another daemon.
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
	// writeTimeout closes a connection whose peer does not read, so that a write cannot block a goroutine forever.
	writeTimeout = 5 * time.Second
	// idleTimeout closes an unused connection at the client. The server's timeout is longer, so that the client does
	// not send on a connection that the server has just closed.
	idleTimeout       = 30 * time.Second
	serverIdleTimeout = 2 * time.Minute
	// maxMessageBytes limits the size of a message. The largest ones are a fetch response with one value of 1 MiB and
	// a batch of sub-requests.
	maxMessageBytes = 4 << 20
)

// trafficClass selects a set of connections. Configuration and sub-requests use separate ones, so that sub-requests
// do not delay the configuration.
type trafficClass string

const (
	classConfig trafficClass = "config"
	classRelay  trafficClass = "relay"
)

// maxConnsPerPeer limits the connections to a peer for each traffic class. A connection carries one call at a time.
var maxConnsPerPeer = map[trafficClass]int{classConfig: 2, classRelay: 16}

// deadlineConn sets a deadline for each write.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func drpcManagerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel:      true,
		SoftCancelGrace: 10 * time.Millisecond,
	}
}

type poolKey struct {
	address string
	class   trafficClass
}

// pool limits the number of connections to each peer, reuses idle ones and closes them after idleTimeout. It is safe
// for concurrent use.
type pool struct {
	idle *drpcpool.Pool[poolKey, drpcpool.Conn]

	mu         sync.Mutex
	semaphores map[poolKey]chan struct{}
}

func newPool() *pool {
	return &pool{
		idle:       drpcpool.New[poolKey, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: 16}),
		semaphores: make(map[poolKey]chan struct{}),
	}
}

func (p *pool) semaphore(key poolKey) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.semaphores[key]
	if !ok {
		s = make(chan struct{}, maxConnsPerPeer[key.class])
		p.semaphores[key] = s
	}
	return s
}

// get returns a connection to the peer, and waits while all of them are in use. The caller returns it with release.
// An error means that nothing was sent.
func (p *pool) get(ctx context.Context, key poolKey) (conn drpcpool.Conn, release func(), err error) {
	sem := p.semaphore(key)
	select {
	case sem <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, eris.Wrapf(ctx.Err(), "wait for a free connection to peer %s", key.address)
	}
	conn, ok := p.idle.Take(key)
	if !ok {
		conn, err = dial(ctx, key.address)
	}
	if err != nil {
		<-sem
		return nil, nil, err
	}
	return conn, func() {
		p.idle.Put(key, conn)
		<-sem
	}, nil
}

func dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial peer %s", address)
	}
	return drpcconn.NewWithOptions(deadlineConn{conn}, drpcconn.Options{Manager: drpcManagerOptions()}), nil
}

func (p *pool) close() error { return p.idle.Close() }
