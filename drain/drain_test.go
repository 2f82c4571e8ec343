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

// daemon is a daemon with requests that the load balancer sends until it notices.
type daemon struct {
	seq      *Sequence
	ready    atomic.Bool
	open     atomic.Bool
	inFlight atomic.Int64
	ignored  atomic.Int64
	refused  atomic.Int64
	finished atomic.Int64
	left     time.Time
	phases   []Phase
	leaveErr error
}

const lag = 5 * time.Second

func newDaemon() *daemon {
	d := &daemon{}
	d.ready.Store(true)
	d.open.Store(true)
	d.seq = NewSequence(Options{BalancerLag: lag, LeaveTimeout: time.Second}, Hooks{
		NotReady:       func() { d.ready.Store(false) },
		CloseListeners: func() { d.open.Store(false) },
		InFlight:       d.inFlight.Load,
		Leave: func(context.Context) error {
			d.left = time.Now()
			return d.leaveErr
		},
		Changed: func(p Phase) { d.phases = append(d.phases, p) },
		Ignored: func() { d.ignored.Add(1) },
	})
	return d
}

// request is one caller's request.
func (d *daemon) request(takes time.Duration) {
	if !d.open.Load() {
		d.refused.Add(1)
		return
	}
	d.inFlight.Add(1)
	testseed.Wait(takes)
	d.inFlight.Add(-1)
	if d.seq.Phase() == Stopped {
		return
	}
	d.finished.Add(1)
}

// TestNoRequestIsCut guards against a stop that refuses a request during the balancer's lag or ends before the
// last one is answered.
func TestNoRequestIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon()
		start := time.Now()
		go d.seq.Signal()
		// The balancer sends a request each 100 ms for 4.9 s after the daemon stopped being ready.
		for range 49 {
			go d.request(3 * time.Second)
			testseed.Wait(100 * time.Millisecond)
			if d.seq.Phase() == Ready {
				go func() { must.NoError(t, d.seq.Run(t.Context())) }()
			}
		}
		<-d.seq.Done()
		must.Eq(t, 0, d.refused.Load())
		must.Eq(t, 49, d.finished.Load())
		must.Eq(t, 0, d.inFlight.Load())
		must.False(t, d.ready.Load())
		must.GreaterEq(t, 7800*time.Millisecond, d.left.Sub(start))
		must.Eq(t, []Phase{Draining, Finishing, Leaving, Stopped}, d.phases)
	})
}

// TestSecondSignalChangesNothing guards against a second signal that shortens the stop.
func TestSecondSignalChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon()
		start := time.Now()
		go d.request(9 * time.Second)
		d.seq.Signal()
		go func() {
			for range 20 {
				testseed.Wait(500 * time.Millisecond)
				d.seq.Signal()
			}
		}()
		must.NoError(t, d.seq.Run(t.Context()))
		must.GreaterEq(t, 9*time.Second, time.Since(start))
		must.Eq(t, 1, d.finished.Load())
		testseed.Wait(2 * time.Second)
		must.Eq(t, 20, d.ignored.Load())
		must.Eq(t, 1, len(slices.DeleteFunc(d.phases, func(p Phase) bool { return p != Stopped })))
	})
}

// TestLeaveFailureStillStops guards against a daemon that hangs or hides the error when no peer can be told.
func TestLeaveFailureStillStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDaemon()
		d.leaveErr = errors.New("no peer reached")
		d.seq.Signal()
		must.ErrorIs(t, d.seq.Run(t.Context()), d.leaveErr)
		must.Eq(t, Stopped, d.seq.Phase())
	})
}

// TestContextBeforeSignal guards against a stop sequence that keeps a daemon alive that never got a signal, and
// against one that a late end of the context cuts.
func TestContextBeforeSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		must.ErrorIs(t, newDaemon().seq.Run(ctx), context.Canceled)

		d := newDaemon()
		ctx, cancel = context.WithCancel(t.Context())
		d.seq.Signal()
		go d.request(8 * time.Second)
		time.AfterFunc(6*time.Second, cancel)
		must.NoError(t, d.seq.Run(ctx))
		must.Eq(t, 1, d.finished.Load())
	})
}
