package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/delegation"
)

const (
	// leaveTime is when the callers of these tests leave, connectTime how long a connection to a replica takes.
	leaveTime   = 100 * time.Millisecond
	connectTime = 400 * time.Millisecond
)

// connectLate lets the first connection to a replica take connectTime, with err as the result.
func (f *fakeSender) connectLate(err error) {
	var later atomic.Bool
	f.connect = func(ctx context.Context) error {
		if later.Swap(true) {
			return nil
		}
		select {
		case <-time.After(connectTime):
			return err
		case <-ctx.Done():
			return &backend.Error{Failure: backend.NotSent, Cause: ctx.Err()}
		}
	}
}

// leavingCaller returns the context of a caller that leaves at leaveTime.
func leavingCaller(t *testing.T) context.Context { return callerLeavingAfter(t, leaveTime) }

// callerLeavingAfter returns the context of a caller that leaves after d.
func callerLeavingAfter(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	timer := time.AfterFunc(d, cancel)
	t.Cleanup(func() {
		timer.Stop()
		cancel()
	})
	return ctx
}

// TestOrderIsNotSentAfterCallerLeft guards against an order that reaches a replica after its caller has left: a connection that
// fails or is established late must not lead to a first send (GONE).
func TestOrderIsNotSentAfterCallerLeft(t *testing.T) {
	for name, err := range map[string]error{"connection fails": failWith(backend.NotSent), "connection is late": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := newGateway(t)
				f.connectLate(err)
				begin := time.Now()
				reply := g.Serve(leavingCaller(t), newRequest("/o/1"))
				must.Len(t, 0, f.sentTo())
				must.NotNil(t, reply.Err)
				must.Eq(t, leaveTime, time.Since(begin), must.Sprint("the request ends when its caller leaves"))
			})
		})
	}
}

// TestLeavingCallersPauseNoReplica guards replicas against being avoided because the callers of orders left before a connection was
// open.
func TestLeavingCallersPauseNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for range 10 {
			f.connectLate(nil)
			g.Serve(callerLeavingAfter(t, time.Millisecond), newRequest("/o/1"))
		}
		must.Len(t, 0, f.sentTo())
		for _, s := range g.balancer.Statuses(time.Now()) {
			must.Eq(t, "ready", s.Condition(), must.Sprint(s.ID))
		}
	})
}

// TestRefusedOrderIsNotSentAgainAfterCallerLeft guards against an order that a replica refused and that then reaches another one,
// although its caller has left meanwhile (GONE).
func TestRefusedOrderIsNotSentAgainAfterCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for _, id := range []string{"o-0", "o-1", "o-2"} {
			f.responses[id] = respondAfter(connectTime, Answer{}, failWith(backend.Refused))
		}
		g.Serve(leavingCaller(t), newRequest("/o/1"))
		must.Len(t, 1, f.sentTo())
	})
}

// TestExecutingOrderOutlivesCaller guards an order that a replica executes: its connection must not be closed because the caller
// has left, which would leave the outcome unknown.
func TestExecutingOrderOutlivesCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for _, id := range []string{"o-0", "o-1", "o-2"} {
			f.responses[id] = respondAfter(connectTime, Answer{Status: 200, Signature: id}, nil)
		}
		begin := time.Now()
		reply := g.Serve(leavingCaller(t), newRequest("/o/1"))
		must.NotNil(t, reply.Answer)
		must.Eq(t, connectTime, time.Since(begin))
	})
}

// TestHelperSendsNoOrderAfterCallerLeft guards orders that go through a helper: the daemon that the caller asked ends the exchange,
// and the helper then sends what it has not sent yet to no replica (GONE).
func TestHelperSendsNoOrderAfterCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		helper, sender := newGateway(t)
		sender.connectLate(nil)
		g, own, f := newRelayingGateway(t)
		var atHelper error
		f.respond = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			atHelper = helper.Answer(ctx, q, receive)
			return context.Cause(ctx)
		}
		begin := time.Now()
		g.Serve(leavingCaller(t), newRequest("/o/1"))
		must.Eq(t, leaveTime, time.Since(begin))
		must.NoError(t, atHelper)
		must.Len(t, 1, f.sentQueries())
		must.Len(t, 0, sender.sentTo())
		must.Len(t, 0, own.sentTo())
	})
}

// TestOrderNotAcceptedAfterCallerLeft guards against an order that a helper did not accept and that the daemon then sends itself,
// although its caller has left (GONE).
func TestOrderNotAcceptedAfterCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, own, f := newRelayingGateway(t)
		f.respond = func(context.Context, delegation.Query, time.Duration, func(delegation.PartialAnswer)) error {
			<-time.After(2 * leaveTime)
			return delegation.ErrNotAccepted
		}
		g.Serve(leavingCaller(t), newRequest("/o/1"))
		must.Len(t, 0, own.sentTo())
	})
}

// TestIsolatedDaemonPassesNoOrderOnAfterCallerLeft guards against an order that an isolated daemon offers to one helper after the
// other, although its caller has left (GONE).
func TestIsolatedDaemonPassesNoOrderOnAfterCallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, own, client, _ := newIsolatedGateway(t)
		client.delay = 2 * leaveTime
		before := len(own.sentTo())
		g.Serve(leavingCaller(t), newRequest("/o/1"))
		must.Len(t, 1, client.asked)
		must.Len(t, before, own.sentTo())
	})
}
