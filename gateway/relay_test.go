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

// newRelayingGateway is newDelegatingGateway for a daemon of a fleet with more daemons than a replica of service o
// accepts connections.
func newRelayingGateway(t *testing.T) (*Gateway, *fakeSender, *fakeDelegationClient) {
	g, sender, f := newDelegatingGateway(t)
	g.setShares(&shares{daemons: 100, daemonsKnown: true, limits: map[string]int{"o": 40}, helperCounts: map[string]int{"o": 1}})
	return g, sender, f
}

// TestSingleRequestIsRelayedToHelper guards a fleet with more daemons than a replica accepts connections: a helper with
// open connections sends the request, and its answer is returned unchanged.
func TestSingleRequestIsRelayedToHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newRelayingGateway(t)
		answer := &delegation.ReplicaAnswer{Status: 201, Header: http.Header{"X-A": {"1"}}, Body: []byte("body"), Signature: "sig"}
		f.respond = func(_ context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			receive(delegation.PartialAnswer{})
			receive(delegation.PartialAnswer{Last: true, ReplicaAnswer: answer})
			return nil
		}
		reply := g.Serve(t.Context(), newRequest("/o/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, &Answer{Status: 201, Header: answer.Header, Body: answer.Body, Signature: "sig"}, reply.Answer)
		must.Len(t, 0, sender.sentTo())
		must.Eq(t, "o", f.sentQueries()[0].Service)
		must.Eq(t, 1, f.sentQueries()[0].Depth)

		answer = &delegation.ReplicaAnswer{Error: api.BackendRefused, Message: "refused", RetryAfter: time.Second}
		reply = g.Serve(t.Context(), newRequest("/o/2"))
		must.Eq(t, api.BackendRefused, reply.Err.Kind)
		must.Eq(t, time.Second, reply.Err.RetryAfter)
	})
}

// TestRelayNotAcceptedIsSentLocally guards requests against a helper that is down: this daemon sends them itself.
func TestRelayNotAcceptedIsSentLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newRelayingGateway(t)
		f.respond = func(_ context.Context, _ delegation.Query, acceptTimeout time.Duration, _ func(delegation.PartialAnswer)) error {
			testseed.Sleep(acceptTimeout)
			return delegation.ErrNotAccepted
		}
		reply := g.Serve(t.Context(), newRequest("/o/1"))
		must.Nil(t, reply.Err)
		must.Len(t, 1, sender.sentTo())
	})
}

// TestLostRelayIsNotRetried guards requests that may be executed only once: replicas may have executed what a lost
// helper accepted.
func TestLostRelayIsNotRetried(t *testing.T) {
	for path, want := range map[string]api.Kind{"/o/1": api.OutcomeUnknown, "/r/1": api.ReplicasFailed} {
		synctest.Test(t, func(t *testing.T) {
			g, sender, f := newRelayingGateway(t)
			f.respond = func(context.Context, delegation.Query, time.Duration, func(delegation.PartialAnswer)) error {
				return errors.New("connection lost")
			}
			reply := g.Serve(t.Context(), newRequest(path))
			must.Eq(t, want, reply.Err.Kind)
			must.Len(t, 0, sender.sentTo())
			must.Len(t, 1, f.sentQueries())
		})
	}
}

// TestInvalidRelayAnswerIsRejected guards callers, and the HTTP server that writes to them, against an answer without a
// final status.
func TestInvalidRelayAnswerIsRejected(t *testing.T) {
	for _, single := range []*delegation.ReplicaAnswer{nil, {}, {Status: -1}, {Status: 101}, {Status: 999},
		{Signature: "s", Body: []byte("b")}, {Status: 99, Signature: "s"}, {Status: 199, Signature: "s"}, {Status: 600, Signature: "s"}} {
		synctest.Test(t, func(t *testing.T) {
			g, _, f := newRelayingGateway(t)
			f.respond = func(_ context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
				receive(delegation.PartialAnswer{Last: true, ReplicaAnswer: single})
				return nil
			}
			must.Eq(t, api.OutcomeUnknown, g.Serve(t.Context(), newRequest("/o/1")).Err.Kind)
		})
	}
}

// TestSilentRelayTimesOutEarly guards against a helper that accepts a request and then loses power: the caller gets an
// error soon after the target latency. A helper that reports progress has until the deadline.
func TestSilentRelayTimesOutEarly(t *testing.T) {
	for sendsFirstPart, want := range map[bool]time.Duration{false: 330 * time.Millisecond, true: 885 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g, _, f := newRelayingGateway(t)
			f.respond = func(ctx context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
				if sendsFirstPart {
					receive(delegation.PartialAnswer{})
				}
				<-ctx.Done()
				return ctx.Err()
			}
			begin := time.Now()
			reply := g.Serve(t.Context(), newRequest("/r/1"))
			must.Eq(t, api.RunMaybe, reply.Err.Kind.Outcome().Run)
			must.Eq(t, want, time.Since(begin))
		})
	}
}

// TestHelperAnswersRelayedRequest guards a helper's answer to a relayed request: it sends the request to the service
// that the delegating daemon chose, reports progress on a slow one, and returns a refusal as a refusal.
func TestHelperAnswersRelayedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := newGateway(t)
		for _, id := range []string{"o-0", "o-1", "o-2"} {
			sender.responses[id] = respondAfter(400*time.Millisecond, Answer{Status: 200, Body: []byte("b"), Signature: id}, nil)
		}
		q := delegation.Query{ID: "r1", Host: "h", Target: "/o/1", Path: "/o/1", Version: 1, Service: "o",
			CallerTimeout: 900 * time.Millisecond, Depth: 1}
		var parts []delegation.PartialAnswer
		receive := func(p delegation.PartialAnswer) { parts = append(parts, p) }
		must.NoError(t, g.Answer(t.Context(), q, receive))
		must.Len(t, 2, parts)
		must.False(t, parts[0].Last)
		must.Eq(t, "b", string(parts[1].ReplicaAnswer.Body))
		must.StrHasPrefix(t, "o-", parts[1].ReplicaAnswer.Signature)
		must.Len(t, 1, sender.sentTo())

		for _, id := range []string{"o-0", "o-1", "o-2"} {
			sender.responses[id] = respondAfter(0, Answer{}, failWith(backend.Refused))
		}
		parts = nil
		must.NoError(t, g.Answer(t.Context(), q, receive))
		must.Len(t, 1, parts)
		must.Eq(t, api.BackendRefused, parts[0].ReplicaAnswer.Error)
		must.Positive(t, parts[0].ReplicaAnswer.RetryAfter)

		q.Service = "s1"
		must.ErrorIs(t, g.Answer(t.Context(), q, receive), delegation.ErrNotAccepted)
	})
}
