package drain

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/testseed"
)

// fakeDaemon counts the requests that it finishes, and those that it refuses because its listeners are closed.
type fakeDaemon struct {
	seq      *Shutdown
	ready    atomic.Bool
	open     atomic.Bool
	inFlight atomic.Int64
	ignored  atomic.Int64
	refused  atomic.Int64
	finished atomic.Int64
	leftAt   time.Time
	phases   []Phase
	leaveErr error
}

const balancerLag = 5 * time.Second

func newFakeDaemon() *fakeDaemon {
	d := &fakeDaemon{}
	d.ready.Store(true)
	d.open.Store(true)
	d.seq = NewShutdown(Options{BalancerLag: balancerLag, LeaveTimeout: time.Second}, Hooks{
		NotReady:       func() { d.ready.Store(false) },
		CloseListeners: func() { d.open.Store(false) },
		InFlight:       d.inFlight.Load,
		Leave: func(context.Context) error {
			d.leftAt = time.Now()
			return d.leaveErr
		},
		PhaseChanged:  func(p Phase) { d.phases = append(d.phases, p) },
		SignalIgnored: func() { d.ignored.Add(1) },
	})
	return d
}

// request simulates a request that runs for the duration. It counts as finished unless the daemon stopped before.
func (d *fakeDaemon) request(duration time.Duration) {
	if !d.open.Load() {
		d.refused.Add(1)
		return
	}
	d.inFlight.Add(1)
	testseed.Sleep(duration)
	d.inFlight.Add(-1)
	if d.seq.Phase() == Stopped {
		return
	}
	d.finished.Add(1)
}

// TestStopServesAllRequests guards against a shutdown that refuses a request while the load balancer still sends some,
// or that ends before the last request is answered.
func TestStopServesAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDaemon()
		start := time.Now()
		go d.seq.Signal()
		// The load balancer sends a request every 100 ms for 4.9 s after the daemon became not ready.
		for range 49 {
			go d.request(3 * time.Second)
			testseed.Sleep(100 * time.Millisecond)
			if d.seq.Phase() == Ready {
				go func() { must.NoError(t, d.seq.Run(t.Context())) }()
			}
		}
		<-d.seq.Done()
		must.Eq(t, 0, d.refused.Load())
		must.Eq(t, 49, d.finished.Load())
		must.Eq(t, 0, d.inFlight.Load())
		must.False(t, d.ready.Load())
		must.GreaterEq(t, 7800*time.Millisecond, d.leftAt.Sub(start))
		must.Eq(t, []Phase{Draining, Finishing, Leaving, Stopped}, d.phases)
	})
}

// TestLaterSignalsAreIgnored guards against further signals that shorten the shutdown or run it again.
func TestLaterSignalsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDaemon()
		start := time.Now()
		go d.request(9 * time.Second)
		d.seq.Signal()
		go func() {
			for range 20 {
				testseed.Sleep(500 * time.Millisecond)
				d.seq.Signal()
			}
		}()
		must.NoError(t, d.seq.Run(t.Context()))
		must.GreaterEq(t, 9*time.Second, time.Since(start))
		must.Eq(t, 1, d.finished.Load())
		testseed.Sleep(2 * time.Second)
		must.Eq(t, 20, d.ignored.Load())
		must.Eq(t, 1, len(slices.DeleteFunc(d.phases, func(p Phase) bool { return p != Stopped })))
	})
}

// TestStopsAfterLeaveFailure guards against a daemon that hangs or hides the error when no peer can be notified.
func TestStopsAfterLeaveFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDaemon()
		d.leaveErr = errors.New("no peer reached")
		d.seq.Signal()
		must.ErrorIs(t, d.seq.Run(t.Context()), d.leaveErr)
		must.Eq(t, Stopped, d.seq.Phase())
	})
}

// TestContextCancellation guards against a Run that does not return when its context ends before a signal, and against
// a shutdown that is interrupted when the context ends after the signal.
func TestContextCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		must.ErrorIs(t, newFakeDaemon().seq.Run(ctx), context.Canceled)

		d := newFakeDaemon()
		ctx, cancel = context.WithCancel(t.Context())
		d.seq.Signal()
		go d.request(8 * time.Second)
		time.AfterFunc(6*time.Second, cancel)
		must.NoError(t, d.seq.Run(ctx))
		must.Eq(t, 1, d.finished.Load())
	})
}
