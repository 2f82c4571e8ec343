package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/internal/testseed"
)

// newRelaying is newDelegating for a daemon of a fleet that is larger than the connections to the replicas of service o.
func newRelaying(t *testing.T) (*Gateway, *fakeSender, *fakeDelegates) {
	g, sender, f := newDelegating(t)
	g.setShares(&shares{daemons: 100, known: true, limits: map[string]int{"o": 40}, helpers: map[string]int{"o": 1}})
	return g, sender, f
}

// TestSingleRequestIsRelayed answers the pattern of a fleet with more daemons than a replica accepts connections: a helper
// with kept connections sends the request, and its answer comes back unchanged.
func TestSingleRequestIsRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newRelaying(t)
		answer := &delegation.Single{Status: 201, Header: http.Header{"X-A": {"1"}}, Body: []byte("body"), Signature: "sig"}
		f.answer = func(_ context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
			receive(delegation.Part{})
			receive(delegation.Part{Last: true, Single: answer})
			return nil
		}
		reply := g.Serve(t.Context(), requestTo("/o/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, &Answer{Status: 201, Header: answer.Header, Body: answer.Body, Signature: "sig"}, reply.Answer)
		must.Len(t, 0, sender.all())
		must.Eq(t, "o", f.all()[0].Service)
		must.Eq(t, 1, f.all()[0].Depth)

		answer = &delegation.Single{Error: api.BackendRefused, Message: "refused", RetryAfter: time.Second}
		reply = g.Serve(t.Context(), requestTo("/o/2"))
		must.Eq(t, api.BackendRefused, reply.Err.Kind)
		must.Eq(t, time.Second, reply.Err.RetryAfter)
	})
}

// TestRelayNotTakenIsSentHere guards requests against a helper that is down: this daemon sends them itself.
func TestRelayNotTakenIsSentHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newRelaying(t)
		f.answer = func(_ context.Context, _ delegation.Query, takenIn time.Duration, _ func(delegation.Part)) error {
			testseed.Wait(takenIn)
			return delegation.ErrNotTaken
		}
		reply := g.Serve(t.Context(), requestTo("/o/1"))
		must.Nil(t, reply.Err)
		must.Len(t, 1, sender.all())
	})
}

// TestLostRelayIsNotRepeated guards requests that may run once: replicas may have executed what a helper took.
func TestLostRelayIsNotRepeated(t *testing.T) {
	for path, want := range map[string]api.Kind{"/o/1": api.OutcomeUnknown, "/r/1": api.ReplicasFailed} {
		synctest.Test(t, func(t *testing.T) {
			g, sender, f := newRelaying(t)
			f.answer = func(context.Context, delegation.Query, time.Duration, func(delegation.Part)) error {
				return errors.New("connection lost")
			}
			reply := g.Serve(t.Context(), requestTo(path))
			must.Eq(t, want, reply.Err.Kind)
			must.Len(t, 0, sender.all())
			must.Len(t, 1, f.all())
		})
	}
}

// TestUnusableRelayAnswerIsNone guards callers, and the server that writes to them, against an answer without a final status.
func TestUnusableRelayAnswerIsNone(t *testing.T) {
	for _, single := range []*delegation.Single{nil, {}, {Status: -1}, {Status: 101}, {Status: 999}} {
		synctest.Test(t, func(t *testing.T) {
			g, _, f := newRelaying(t)
			f.answer = func(_ context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
				receive(delegation.Part{Last: true, Single: single})
				return nil
			}
			must.Eq(t, api.OutcomeUnknown, g.Serve(t.Context(), requestTo("/o/1")).Err.Kind)
		})
	}
}

// TestSilentRelayEndsSoon answers the pattern of a helper that took a request and lost its power: the caller learns of it
// soon after the target latency. One that says that it works on the request has until the deadline.
func TestSilentRelayEndsSoon(t *testing.T) {
	for sign, want := range map[bool]time.Duration{false: 330 * time.Millisecond, true: 885 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g, _, f := newRelaying(t)
			f.answer = func(ctx context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
				if sign {
					receive(delegation.Part{})
				}
				<-ctx.Done()
				return ctx.Err()
			}
			begin := time.Now()
			reply := g.Serve(t.Context(), requestTo("/r/1"))
			must.Eq(t, api.RunMaybe, reply.Err.Kind.Outcome().Run)
			must.Eq(t, want, time.Since(begin))
		})
	}
}

// TestAnswerOfARelay guards a helper: it sends the request to the service that the other daemon chose, says that it works
// on a slow one, and passes a refusal on as one.
func TestAnswerOfARelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := newGateway(t)
		for _, id := range []string{"o-0", "o-1", "o-2"} {
			sender.answer[id] = after(400*time.Millisecond, Answer{Status: 200, Body: []byte("b"), Signature: id}, nil)
		}
		q := delegation.Query{ID: "r1", Host: "h", Target: "/o/1", Path: "/o/1", Version: 1, Service: "o", Wait: 900 * time.Millisecond, Depth: 1}
		var parts []delegation.Part
		receive := func(p delegation.Part) { parts = append(parts, p) }
		must.NoError(t, g.Answer(t.Context(), q, receive))
		must.Len(t, 2, parts)
		must.False(t, parts[0].Last)
		must.Eq(t, "b", string(parts[1].Single.Body))
		must.StrHasPrefix(t, "o-", parts[1].Single.Signature)
		must.Len(t, 1, sender.all())

		for _, id := range []string{"o-0", "o-1", "o-2"} {
			sender.answer[id] = after(0, Answer{}, failure(backend.Refused))
		}
		parts = nil
		must.NoError(t, g.Answer(t.Context(), q, receive))
		must.Len(t, 1, parts)
		must.Eq(t, api.BackendRefused, parts[0].Single.Error)
		must.Positive(t, parts[0].Single.RetryAfter)

		q.Service = "s1"
		must.ErrorIs(t, g.Answer(t.Context(), q, receive), delegation.ErrNotTaken)
	})
}
