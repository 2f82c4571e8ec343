// Package memnet implements an in-memory network for tests in virtual time. In a testing/synctest bubble, operations on
// its connections block durably, unlike those on loopback connections.
package memnet

import (
	"context"
	"errors"
	"net"
	"sync"
)

// Network connects clients to listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// New returns an empty network.
func New() *Network { return &Network{listeners: make(map[string]*listener)} }

type address string

func (a address) Network() string { return "mem" }
func (a address) String() string  { return string(a) }

type listener struct {
	network *Network
	addr    address
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once

	mu    sync.Mutex
	conns []net.Conn
}

// errRefused means that there is no listener on the address.
var errRefused = errors.New("connection refused")

// Listen returns a listener on the address and replaces any earlier one.
func (n *Network) Listen(addr string) net.Listener {
	l := &listener{network: n, addr: address(addr), backlog: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

// Dial connects to the listener on the address.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	}
	client, server := net.Pipe()
	select {
	case l.backlog <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: errRefused}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.backlog:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, conn)
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[string(l.addr)] == l {
			delete(l.network.listeners, string(l.addr))
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

// Crash simulates the crash of a process: it closes a listener of this package and every connection that it accepted.
func Crash(netListener net.Listener) {
	l, ok := netListener.(*listener)
	if !ok {
		return
	}
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}
