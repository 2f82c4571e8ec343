// Package drain is the planned stop of a daemon: it reports not ready, keeps accepting requests while the load
// balancer still sends some, finishes the requests in flight, tells the peers that it leaves, and ends.
package drain

import (
	"context"
	"sync"
	"time"
)

// Phase is a phase of a daemon's life.
type Phase string

// Phases in their order.
const (
	// Ready accepts requests and reports ready.
	Ready Phase = "ready"
	// Draining accepts requests and reports not ready, until the load balancer has noticed.
	Draining Phase = "draining"
	// Finishing accepts no connections and waits for the requests in flight.
	Finishing Phase = "finishing"
	// Leaving tells the peers.
	Leaving Phase = "leaving"
	// Stopped may exit.
	Stopped Phase = "stopped"
)

// pollInterval is the time between two looks at the requests in flight.
const pollInterval = 20 * time.Millisecond

// Hooks connect the sequence to the daemon. All are required.
type Hooks struct {
	// NotReady makes the readiness endpoint report not ready.
	NotReady func()
	// CloseListeners ends the acceptance of connections and returns at once.
	CloseListeners func()
	// InFlight returns the number of requests that are not answered yet.
	InFlight func() int64
	// Leave tells the peers. It returns within the deadline of ctx; an error does not stop the sequence.
	Leave func(ctx context.Context) error
	// Changed is called with each new phase, one at a time.
	Changed func(Phase)
	// Ignored is called for each signal after the first.
	Ignored func()
}

// Options are the times of a sequence.
type Options struct {
	// BalancerLag is the time until the load balancer sends no more requests to a daemon that is not ready.
	BalancerLag time.Duration
	// LeaveTimeout bounds the message to the peers.
	LeaveTimeout time.Duration
}

// Sequence is the planned stop. It is safe for concurrent use.
type Sequence struct {
	opts  Options
	hooks Hooks
	stop  chan struct{}
	done  chan struct{}

	mu       sync.Mutex
	phase    Phase
	signaled bool
	leaveErr error
}

// NewSequence returns a sequence in phase Ready. Run carries it out.
func NewSequence(opts Options, hooks Hooks) *Sequence {
	return &Sequence{
		opts: opts, hooks: hooks, phase: Ready, stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Signal starts the stop. A later call changes nothing.
func (s *Sequence) Signal() {
	s.mu.Lock()
	first := !s.signaled
	s.signaled = true
	s.mu.Unlock()
	if first {
		close(s.stop)
		return
	}
	s.hooks.Ignored()
}

// Phase returns the current phase.
func (s *Sequence) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

// Done returns a channel that is closed in phase Stopped.
func (s *Sequence) Done() <-chan struct{} { return s.done }

// Run waits for Signal and carries out the stop. It returns when no request is in flight and the peers were told,
// with the error of Leave, if any. The end of ctx before Signal ends it without a stop; after Signal ctx has no
// effect, because a request in flight is never cut. It is called once.
func (s *Sequence) Run(ctx context.Context) error {
	select {
	case <-s.stop:
	case <-ctx.Done():
		return ctx.Err()
	}
	for s.Phase() != Stopped {
		s.step()
	}
	close(s.done)
	return s.leaveErr
}

// step carries out the phase that follows the current one.
func (s *Sequence) step() {
	switch s.Phase() {
	case Ready:
		s.enter(Draining)
		s.hooks.NotReady()
		time.Sleep(s.opts.BalancerLag)
	case Draining:
		s.enter(Finishing)
		s.hooks.CloseListeners()
		s.waitIdle()
	case Finishing:
		s.enter(Leaving)
		ctx, cancel := context.WithTimeout(context.Background(), s.opts.LeaveTimeout)
		defer cancel()
		s.leaveErr = s.hooks.Leave(ctx)
	case Leaving:
		s.enter(Stopped)
	}
}

func (s *Sequence) enter(p Phase) {
	s.mu.Lock()
	s.phase = p
	s.mu.Unlock()
	s.hooks.Changed(p)
}

// waitIdle returns when no request is in flight. It has no time limit: a request ends by its own deadline.
func (s *Sequence) waitIdle() {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.hooks.InFlight() > 0 {
		<-ticker.C
	}
}
