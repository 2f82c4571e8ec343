// Package dispatch decides whether the attempts of a request may still be sent to replicas: not once its caller has left. What a
// replica may be executing is not aborted then, since its outcome would become unknown.
package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Gate counts the attempts of one request that replicas may be executing. Once it is closed, nothing more is sent. It is safe for
// concurrent use.
type Gate struct {
	caller context.Context
	// cancel ends the context of the attempts, stop the watch of the caller.
	cancel context.CancelFunc
	stop   func() bool

	mu     sync.Mutex
	closed bool
	// open is the number of begun attempts that are not known to be without execution.
	open int
	// callerEnded is set once the context of the caller has ended; leftAt is then when the caller left, zero if its time was up.
	callerEnded bool
	leftAt      time.Time
}

// NewGate returns an open gate and the context of the attempts, a child of ctx. The end of caller closes the gate, and ends the
// context as soon as no replica may be executing an attempt. Release must be called when the request has ended.
func NewGate(ctx, caller context.Context) (*Gate, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	g := &Gate{caller: caller, cancel: cancel}
	g.stop = context.AfterFunc(caller, g.onCallerEnd)
	return g, ctx
}

// Release ends the context of the attempts and the watch of the caller. A server ends the context of a caller that has its answer, which
// does not count as leaving.
func (g *Gate) Release() {
	g.stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkCaller()
	g.closed, g.callerEnded = true, true
	g.cancel()
}

// onCallerEnd is called once the context of the caller has ended.
func (g *Gate) onCallerEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkCaller()
}

// checkCaller applies the end of the caller's context. The caller holds the lock.
func (g *Gate) checkCaller() {
	err := g.caller.Err()
	if err == nil || g.callerEnded {
		return
	}
	g.closed, g.callerEnded = true, true
	if errors.Is(err, context.Canceled) {
		g.leftAt = time.Now()
	}
	g.cancelIfIdle()
}

// cancelIfIdle ends the context of the attempts if nobody waits for them and no replica may be executing one. The caller holds the
// lock.
func (g *Gate) cancelIfIdle() {
	if g.callerEnded && g.open == 0 {
		g.cancel()
	}
}

// Begin counts an attempt that is about to be sent, and reports whether it may be sent. It must be called before the first byte is
// written.
func (g *Gate) Begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkCaller()
	if !g.closed {
		g.open++
	}
	return !g.closed
}

// IsClosed reports whether nothing more may be sent.
func (g *Gate) IsClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkCaller()
	return g.closed
}

// NotExecuted states that no replica has executed a begun attempt or will do so.
func (g *Gate) NotExecuted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.cancelIfIdle()
}

// Close closes the gate and reports whether no replica has executed anything.
func (g *Gate) Close() (unexecuted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.open == 0
}

// CallerLeft returns when the caller left; ok is false if it has not.
func (g *Gate) CallerLeft() (at time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkCaller()
	return g.leftAt, !g.leftAt.IsZero()
}

// OnCallerEnd calls f on a goroutine of its own once the context of the caller has ended, unless stop is called before.
func (g *Gate) OnCallerEnd(f func()) (stop func() bool) { return context.AfterFunc(g.caller, f) }

type contextKey struct{}

// NewContext returns a child of ctx that carries the gate to the senders of its attempts.
func NewContext(ctx context.Context, g *Gate) context.Context {
	return context.WithValue(ctx, contextKey{}, g)
}

// FromContext returns the gate that ctx carries, nil if there is none.
func FromContext(ctx context.Context) *Gate {
	g, _ := ctx.Value(contextKey{}).(*Gate)
	return g
}
