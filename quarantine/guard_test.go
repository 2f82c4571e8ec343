package quarantine_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/memfleet"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/quarantine"
)

// peers delivers notices to other guards at once.
type peers []*quarantine.Guard

func (p *peers) Publish(n quarantine.Notice) {
	for _, g := range *p {
		g.Learn(n)
	}
}

func newGuard(p quarantine.Publisher) *quarantine.Guard {
	return quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, p, nil)
}

// Guards against a crashing request that takes down more replicas through resends: its first wave crashes three
// replicas, no retry follows, and both daemons refuse the resend until the quarantine expires.
func TestCrashingRequestStopsAfterFirstWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := memfleet.New()
		for i := range 6 {
			set := standin.Default()
			set.Replica, set.Service, set.ServiceTime = fmt.Sprintf("r%d", i), "orders", 0
			fleet.Start(set)
		}
		other := newGuard(nil)
		guard := newGuard(&peers{other})
		daemon := fleet.NewDaemon()
		ctx, run, err := guard.Admit(t.Context(), "f", quarantine.Search)
		must.NoError(t, err)
		sender := run.Watch(daemon)
		sub := backend.Sub{Service: "orders", Request: "q", Attempt: "q/1", Query: standin.CrashQuery, Key: "k"}
		for i := range 3 {
			_, err = sender.Send(ctx, fmt.Sprintf("r%d", i), sub)
			must.Eq(t, backend.ConnectionLost, backend.FailureOf(err))
		}
		// The retry waits for the verdict and is then not sent.
		_, err = sender.Send(ctx, "r3", sub)
		must.Eq(t, backend.NotSent, backend.FailureOf(err))
		must.ErrorIs(t, context.Cause(ctx), quarantine.ErrQuarantined)
		run.Done()
		must.Eq(t, 3, fleet.Down())
		for _, g := range []*quarantine.Guard{guard, other} {
			_, _, err = g.Admit(t.Context(), "f", quarantine.Search)
			must.Eq(t, api.Quarantined, api.KindOf(err))
			must.Eq(t, 1, len(g.Notices()))
		}
		<-time.After(quarantine.DefaultExpiry)
		_, run, err = guard.Admit(t.Context(), "f", quarantine.Search)
		must.NoError(t, err)
		run.Done()
		daemon.Close()
		fleet.Stop()
	})
}

// Guards against a quarantine of good requests in a mass restart: an answer within the grace period clears a
// request that lost several connections, and its held attempts continue.
func TestAnswerClearsSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newGuard(nil)
		ctx, run, err := guard.Admit(t.Context(), "f", quarantine.Search)
		must.NoError(t, err)
		for i := range 5 {
			run.Lost(fmt.Sprint(i), time.Now())
		}
		must.True(t, run.Held())
		time.AfterFunc(20*time.Millisecond, run.Answered)
		must.NoError(t, run.Wait(ctx))
		<-time.After(time.Second)
		must.NoError(t, ctx.Err())
		run.Done()
		must.SliceEmpty(t, guard.Notices())
	})
}

// Guards against losses that are too few, too far apart or of one replica, and against an order that crashes one
// replica per resend under new keys.
func TestRuleBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newGuard(nil)
		_, run, err := guard.Admit(t.Context(), "slow", quarantine.Search)
		must.NoError(t, err)
		for i := range 10 {
			run.Lost(fmt.Sprint(i), time.Now())
			run.Lost(fmt.Sprint(i), time.Now())
			<-time.After(30 * time.Millisecond)
		}
		run.Done()
		must.SliceEmpty(t, guard.Notices())
		for i := range 2 {
			_, order, err := guard.Admit(t.Context(), "order", quarantine.Order)
			must.NoError(t, err)
			order.Lost(fmt.Sprint(i), time.Now())
			order.Done()
			<-time.After(time.Minute)
		}
		_, _, err = guard.Admit(t.Context(), "order", quarantine.Order)
		must.Eq(t, api.Quarantined, api.KindOf(err))
	})
}

// Guards against a peer with a wrong clock or too many notices: its notices last at most as long as this daemon's
// own, and the number of remembered fingerprints is bounded.
func TestLearnIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newGuard(nil)
		for i := range 10_100 {
			guard.Learn(quarantine.Notice{Fingerprint: fmt.Sprint(i), Until: time.Now().Add(1000 * time.Hour)})
		}
		must.LessEq(t, 10_000, len(guard.Notices()))
		<-time.After(quarantine.DefaultExpiry)
		must.SliceEmpty(t, guard.Notices())
		guard.Learn(quarantine.Notice{Fingerprint: "old", Until: time.Now().Add(-time.Second)})
		must.SliceEmpty(t, guard.Notices())
	})
}

// Guards against a popular request that stays refused after all replicas failed at once: a recent answer clears it
// once, and a second suspicion without another answer does not.
func TestRecentAnswerClearsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newGuard(nil)
		suspicion := func() {
			_, run, err := guard.Admit(t.Context(), "popular", quarantine.Search)
			must.NoError(t, err)
			for i := range 3 {
				run.Lost(fmt.Sprint(i), time.Now())
			}
			run.Done()
		}
		_, run, err := guard.Admit(t.Context(), "popular", quarantine.Search)
		must.NoError(t, err)
		run.Answered()
		run.Done()
		suspicion()
		must.SliceEmpty(t, guard.Notices())
		suspicion()
		must.Eq(t, 1, len(guard.Notices()))
	})
}

// pausingClock is a clock whose reader is descheduled for a moment at each look.
type pausingClock struct{}

func (pausingClock) Now() time.Time {
	testseed.Wait(time.Millisecond)
	return time.Now()
}

func (pausingClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Guards against attempts that leave between the verdict and the cancellation, as they did on a busy machine: the
// goroutine that decides is descheduled in between, and the attempts that waited for it go out.
func TestWaitingAttemptsAreNotReleasedBeforeTheCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, nil, pausingClock{})
		ctx, run, err := guard.Admit(t.Context(), "f", quarantine.Search)
		must.NoError(t, err)
		for i := range 3 {
			run.Lost(fmt.Sprint(i), time.Now())
		}
		must.ErrorIs(t, run.Wait(ctx), quarantine.ErrQuarantined)
		run.Done()
	})
}
