// Package dispatch decides whether the attempts of a request may still be sent to replicas, and counts those that replicas may be
// executing.
package dispatch

import "sync"

// Gate counts the attempts of one request. Once it is closed, nothing more is sent. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	closed bool
	// open is the number of begun attempts that are not known to be without execution.
	open int
}

// NewGate returns an open gate.
func NewGate() *Gate { return &Gate{} }

// Begin counts an attempt that is about to be sent, and reports whether it may be sent. It must be called before the first byte is
// written.
func (g *Gate) Begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.open++
	return true
}

// IsClosed reports whether nothing more may be sent.
func (g *Gate) IsClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

// NotExecuted states that no replica has executed a begun attempt or will do so.
func (g *Gate) NotExecuted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
}

// Close closes the gate and reports whether no replica has executed anything.
func (g *Gate) Close() (unexecuted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.open == 0
}
