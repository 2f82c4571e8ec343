// Package drain implements the graceful shutdown of a daemon: it reports not ready, keeps accepting requests while the
// load balancer still sends some, finishes the requests in flight, notifies the peers that it leaves, and stops.
package drain

import (
	"context"
	"sync"
	"time"
)

// Phase is a phase of a daemon's lifecycle.
type Phase string

// Phases, in the order in which a daemon passes through them.
const (
	// Ready accepts requests and reports ready.
	Ready Phase = "ready"
	// Draining accepts requests and reports not ready, until the load balancer sends no more requests.
	Draining Phase = "draining"
	// Finishing accepts no new connections and waits for the requests in flight.
	Finishing Phase = "finishing"
	// Leaving notifies the peers.
	Leaving Phase = "leaving"
	// Stopped has finished its shutdown; the process may exit.
	Stopped Phase = "stopped"
)

// pollInterval is the interval at which the number of requests in flight is checked.
const pollInterval = 20 * time.Millisecond

// Hooks connect the shutdown to the daemon. All are required.
type Hooks struct {
	// NotReady makes the readiness endpoint report not ready.
	NotReady func()
	// CloseListeners stops accepting connections. It must not block.
	CloseListeners func()
	// InFlight returns the number of requests that have not been answered yet.
	InFlight func() int64
	// Leave notifies the peers. It must return before the deadline of ctx. An error does not abort the shutdown.
	Leave func(ctx context.Context) error
	// PhaseChanged is called with each new phase, never concurrently.
	PhaseChanged func(Phase)
	// SignalIgnored is called for each signal after the first one, by the goroutine that calls Signal. Calls may be
	// concurrent.
	SignalIgnored func()
}

// Options are the durations and time limits of the phases of a Shutdown.
type Options struct {
	// BalancerLag is how long the load balancer may keep sending requests to a daemon that has become not ready.
	BalancerLag time.Duration
	// LeaveTimeout limits the duration of Hooks.Leave.
	LeaveTimeout time.Duration
}

// Shutdown runs the graceful shutdown of one daemon. It is safe for concurrent use.
type Shutdown struct {
	opts  Options
	hooks Hooks
	stop  chan struct{}
	done  chan struct{}

	mu        sync.Mutex
	phase     Phase
	signalled bool
	leaveErr  error
}

// NewShutdown returns a shutdown in phase Ready. The caller must call Run, which waits for Signal.
func NewShutdown(opts Options, hooks Hooks) *Shutdown {
	return &Shutdown{
		opts: opts, hooks: hooks, phase: Ready, stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Signal starts the shutdown. Further calls have no effect except that they call Hooks.SignalIgnored.
func (s *Shutdown) Signal() {
	s.mu.Lock()
	first := !s.signalled
	s.signalled = true
	s.mu.Unlock()
	if first {
		close(s.stop)
		return
	}
	s.hooks.SignalIgnored()
}

// Phase returns the current phase.
func (s *Shutdown) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Done returns a channel that is closed when phase Stopped is reached.
func (s *Shutdown) Done() <-chan struct{} { return s.done }

// Run waits for Signal and shuts the daemon down. It returns once no request is in flight and the peers have been
// notified, with the error of Hooks.Leave, if any. If ctx ends before Signal, Run returns its error without a shutdown.
// After Signal ctx has no effect, because requests in flight are never interrupted. Run must be called only once.
func (s *Shutdown) Run(ctx context.Context) error {
	select {
	case <-s.stop:
	case <-ctx.Done():
		return ctx.Err()
	}
	for s.Phase() != Stopped {
		s.advance()
	}
	close(s.done)
	return s.leaveErr
}

// advance enters the phase after the current one and returns when that phase is complete.
func (s *Shutdown) advance() {
	switch s.Phase() {
	case Ready:
		s.setPhase(Draining)
		s.hooks.NotReady()
		time.Sleep(s.opts.BalancerLag)
	case Draining:
		s.setPhase(Finishing)
		s.hooks.CloseListeners()
		s.waitForInFlight()
	case Finishing:
		s.setPhase(Leaving)
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.LeaveTimeout)
		defer cancel()
		s.leaveErr = s.hooks.Leave(ctx)
	case Leaving:
		s.setPhase(Stopped)
	}
}

func (s *Shutdown) setPhase(p Phase) {
	s.mu.Lock()
	s.phase = p
	s.mu.Unlock()
	s.hooks.PhaseChanged(p)
}

// waitForInFlight blocks until no request is in flight. It has no timeout, because each request ends by its own
// deadline.
func (s *Shutdown) waitForInFlight() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.hooks.InFlight() > 0 {
		<-ticker.C
	}
}
