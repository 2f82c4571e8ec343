package rig

import (
	"io"
	"net"
	"sync"
)

// Proxy passes the connections of one daemon to the store, or resets them.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	resets bool
	conns  map[net.Conn]bool
}

// NewProxy starts a proxy on a free port of the host.
func NewProxy(host, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address at which the daemon reaches the store.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetResets sets whether all connections are reset, the open ones too.
func (p *Proxy) SetResets(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = resets
	if resets {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetResets(true)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(from)
	}
}

// add registers the connections of a pair, and reports whether they may be used.
func (p *Proxy) add(pair ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range pair {
		p.conns[c] = true
	}
	return !p.resets
}

func (p *Proxy) serve(from net.Conn) {
	defer reset(from)
	if !p.add(from) {
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer reset(to)
	if !p.add(to) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(to, from)
		reset(to)
	})
	_, _ = io.Copy(from, to)
	reset(from)
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, from)
	delete(p.conns, to)
}
