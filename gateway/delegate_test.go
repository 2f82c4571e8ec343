package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/topology"
)

// fakeDelegationClient answers in virtual time and records the queries.
type fakeDelegationClient struct {
	mu      sync.Mutex
	queries []delegation.Query
	respond func(ctx context.Context, q delegation.Query, acceptTimeout time.Duration, receive func(delegation.PartialAnswer)) error
}

func (f *fakeDelegationClient) Delegate(ctx context.Context, _ string, q delegation.Query, acceptTimeout time.Duration,
	receive func(delegation.PartialAnswer)) error {
	f.mu.Lock()
	f.queries = append(f.queries, q)
	f.mu.Unlock()
	return f.respond(ctx, q, acceptTimeout, receive)
}

// sentQueries returns the recorded queries.
func (f *fakeDelegationClient) sentQueries() []delegation.Query {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.queries)
}

// partForShards returns a part of the given shards with one record each.
func partForShards(shards ...int) delegation.PartialAnswer {
	p := delegation.PartialAnswer{Shards: shards}
	for _, i := range shards {
		p.Signatures = append(p.Signatures, fmt.Sprintf("s%d-0", i))
		p.Records = append(p.Records, testRecord(fmt.Sprintf("s%d-0", i))...)
	}
	return p
}

func testRecord(s string) []byte {
	r := make([]byte, 16)
	copy(r, s)
	return r
}

// newDelegatingGateway returns the gateway of a daemon with few cores, with a larger daemon in its data centre.
func newDelegatingGateway(t *testing.T) (*Gateway, *fakeSender, *fakeDelegationClient) {
	g, sender := newGateway(t)
	f := &fakeDelegationClient{}
	g.opts.DelegationClient, g.opts.Node = f, "small"
	self := delegation.Self{
		Address: "small:1", Cores: 0.2, Distance: func(string) balancer.Distance { return balancer.SameDataCentre },
	}
	g.helpers = delegation.NewPool(self, 1)
	g.directory.SetDataCentres(map[string]topology.DataCentre{"": {
		Daemons: 2, Helpers: []topology.Helper{{Address: "large:1", Cores: 0.8}},
	}})
	view, _ := g.directory.View()
	g.helpers.SetView(&view)
	return g, sender, f
}

// sleepContext waits for d, or returns the error of ctx if it ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func allIndexes(n int) []int {
	indices := make([]int, n)
	for i := range indices {
		indices[i] = i
	}
	return indices
}

// TestHelperAnswersWholeQuery guards the delegation of a whole query by a daemon with few cores: the helper gets all
// shards with the remaining time, and this daemon sends nothing to replicas.
func TestHelperAnswersWholeQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			last := partForShards(q.Shards...)
			last.Last = true
			receive(last)
			return sleepContext(ctx, 0)
		}
		request := newRequest("/q/x")
		testseed.Sleep(7 * time.Millisecond)
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Len(t, shardCount, reply.Query.Signatures)
		must.Eq(t, 0, reply.Query.MissingShards)
		must.Eq(t, append(append(testRecord("s9-0"), testRecord("s8-0")...), testRecord("s7-0")...), reply.Query.Records)
		must.Len(t, 0, sender.sentTo())
		q := f.sentQueries()[0]
		must.Eq(t, allIndexes(shardCount), q.Shards)
		must.Eq(t, 1, q.Depth)
		must.Eq(t, 1, q.Version)
		must.Eq(t, 7*time.Millisecond+roundTripSameDataCentre, q.Elapsed)
		must.Eq(t, request.CallerTimeout, q.CallerTimeout)
	})
}

// TestDelegatedShardsAreNotHedged guards the budget and its counters: this daemon makes no hedge for a delegated shard,
// not even one that the budget denies.
func TestDelegatedShardsAreNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			if err := sleepContext(ctx, 200*time.Millisecond); err != nil {
				return err
			}
			last := partForShards(allIndexes(shardCount)...)
			last.Last = true
			receive(last)
			return nil
		}
		g.opts.BudgetFixed, g.opts.BudgetRatio = 0, 0
		view, _ := g.directory.View()
		reply, r := g.serve(t.Context(), newRequest("/q/x"), view)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 0, r.sentByThisDaemon())
		must.Eq(t, 0, r.machine.DeniedByBudget())
		must.Len(t, 0, sender.sentTo())
		for service, spent := range g.BudgetsSpent() {
			must.Eq(t, 0, spent, must.Sprint(service))
		}
	})
}

// TestQueryNotAcceptedIsAnsweredLocally guards against a helper that is down, frozen or on another configuration
// version: this daemon answers within the target latency, with the route's full number of attempts.
func TestQueryNotAcceptedIsAnsweredLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, _ delegation.Query, acceptTimeout time.Duration, _ func(delegation.PartialAnswer)) error {
			must.LessEq(t, 75*time.Millisecond, acceptTimeout)
			testseed.Sleep(acceptTimeout)
			return eris.Wrap(delegation.ErrNotAccepted, "silent")
		}
		request := newRequest("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 0, reply.Query.MissingShards)
		must.Len(t, shardCount, sender.sentTo())
		must.LessEq(t, 150*time.Millisecond, time.Since(request.Received))
		must.Len(t, 1, f.sentQueries())
		g.Serve(t.Context(), newRequest("/q/x"))
		must.Len(t, 1, f.sentQueries(), must.Sprint("a silent helper is skipped"))
	})
}

// TestLostHelperIsNotRetried guards the route's limit on attempts: replicas may have executed what a lost helper
// accepted, so this daemon sends nothing for these shards and fails the query immediately.
func TestLostHelperIsNotRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, _ delegation.Query, _ time.Duration, _ func(delegation.PartialAnswer)) error {
			testseed.Sleep(20 * time.Millisecond)
			return errors.New("connection reset")
		}
		request := newRequest("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Err)
		must.Eq(t, api.CoverageTooLow, reply.Err.Kind)
		must.Eq(t, 20*time.Millisecond, time.Since(request.Received))
		must.Len(t, 0, sender.sentTo())
	})
}

// TestSilentHelperEndsQuery guards against a helper that accepts a query and then loses power: without a first part the
// query ends soon after the target latency instead of at the caller's deadline, so that the caller can retry.
func TestSilentHelperEndsQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, _ delegation.Query, _ time.Duration, _ func(delegation.PartialAnswer)) error {
			<-ctx.Done()
			return ctx.Err()
		}
		request := newRequest("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Err)
		must.Between(t, 300*time.Millisecond, time.Since(request.Received), 340*time.Millisecond)
	})
}

// TestPartialAnswerFromHelper guards the time of a partial answer: it is sent before the target latency, with the
// shards of the helper's first part.
func TestPartialAnswerFromHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, delegates := newDelegatingGateway(t)
		delegates.respond = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			if err := sleepContext(ctx, partialAfter(300*time.Millisecond, 1)); err != nil {
				return err
			}
			receive(partForShards(q.Shards[:8]...))
			<-ctx.Done()
			return ctx.Err()
		}
		request := newRequest("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 2, reply.Query.MissingShards)
		must.LessEq(t, 270*time.Millisecond, time.Since(request.Received))
	})
}

// TestLatePartFromHelperCounts guards late parts: a query whose coverage is too low at the target latency waits for the
// helper's next part.
func TestLatePartFromHelperCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			receive(partForShards(q.Shards[:7]...))
			if err := sleepContext(ctx, 600*time.Millisecond); err != nil {
				return err
			}
			receive(partForShards(q.Shards[7]))
			<-ctx.Done()
			return ctx.Err()
		}
		reply := g.Serve(t.Context(), newRequest("/q/x"))
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 2, reply.Query.MissingShards)
	})
}

// TestInvalidPartIsDropped guards the answer against a part with a duplicate shard, an unknown shard, or missing
// signatures.
func TestInvalidPartIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegatingGateway(t)
		f.respond = func(_ context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			receive(partForShards(0, 0))
			receive(partForShards(99))
			receive(delegation.PartialAnswer{Shards: []int{1}, Records: testRecord("x")})
			receive(partForShards(q.Shards...))
			receive(partForShards(3))
			receive(delegation.PartialAnswer{Last: true})
			return nil
		}
		reply := g.Serve(t.Context(), newRequest("/q/x"))
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Len(t, shardCount, reply.Query.Signatures)
	})
}

// answerShardsAsHelper sends shards to the gateway as another daemon does and returns the parts.
func answerShardsAsHelper(t *testing.T, g *Gateway, q delegation.Query) ([]delegation.PartialAnswer, error) {
	var parts []delegation.PartialAnswer
	q.ID, q.Host, q.Path, q.Target, q.From, q.Depth = "r1", "h", "/q/x", "/q/x", "other", 1
	err := g.Answer(t.Context(), q, func(p delegation.PartialAnswer) { parts = append(parts, p) })
	return parts, err
}

// TestHelperAnswersRequestedShards guards a helper's answer: it contains only the requested shards, in one part if all
// answer in time.
func TestHelperAnswersRequestedShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := newGateway(t)
		parts, err := answerShardsAsHelper(t, g, delegation.Query{Version: 1, Shards: []int{2, 5, 7}, CallerTimeout: time.Second})
		must.NoError(t, err)
		must.Len(t, 1, parts)
		slices.Sort(parts[0].Shards)
		must.Eq(t, []int{2, 5, 7}, parts[0].Shards)
		must.True(t, parts[0].Last)
		must.Len(t, 3, sender.sentTo())
	})
}

// TestHelperSendsFirstPartInTime guards against a silent shard on a helper that holds back the others: the available
// shards are sent before the delegating daemon ends the query, and the late shard follows.
func TestHelperSendsFirstPartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := newGateway(t)
		for _, id := range []string{"s5-0", "s5-1"} {
			sender.responses[id] = respondAfter(500*time.Millisecond, Answer{Status: 200, Body: testRecord(id), Signature: id}, nil)
		}
		begin := time.Now()
		var times []time.Duration
		q := delegation.Query{ID: "r1", Host: "h", Path: "/q/x", Target: "/q/x", From: "other", Depth: 1, Version: 1,
			Shards: []int{2, 5}, CallerTimeout: time.Second}
		must.NoError(t, g.Answer(t.Context(), q, func(delegation.PartialAnswer) { times = append(times, time.Since(begin)) }))
		must.Len(t, 3, times)
		must.Eq(t, partialAfter(300*time.Millisecond, 1), times[0])
		must.Eq(t, 500*time.Millisecond, times[1])
	})
}

// TestHelperRejectsInvalidQuery guards against answers under another configuration version, whose use could make a
// daemon's version go back, and against invalid shard indexes.
func TestHelperRejectsInvalidQuery(t *testing.T) {
	g, sender := newGateway(t)
	for name, q := range map[string]delegation.Query{
		"another version": {Version: 2, Shards: []int{1}},
		"unknown shard":   {Version: 1, Shards: []int{10}},
		"negative shard":  {Version: 1, Shards: []int{-1}},
		"duplicate shard": {Version: 1, Shards: []int{1, 1}},
		"no shards":       {Version: 1},
	} {
		parts, err := answerShardsAsHelper(t, g, q)
		must.ErrorIs(t, err, delegation.ErrNotAccepted, must.Sprint(name))
		must.Nil(t, parts)
	}
	g.RejectDelegated()
	_, err := answerShardsAsHelper(t, g, delegation.Query{Version: 1, Shards: []int{1}})
	must.ErrorIs(t, err, delegation.ErrNotAccepted, must.Sprint("a stopping daemon"))
	must.Len(t, 0, sender.sentTo())
}

// TestOverloadedHelperRefusesImmediately guards against wasted work on a helper whose recent queries failed: it refuses
// before anything is sent, and the caller learns that nothing was executed and when to retry.
func TestOverloadedHelperRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		helper, sender := newGateway(t)
		helper.random = func() float64 { return 0.1 }
		for range 20 {
			helper.throttle.Done(limit.Class{Route: "query"}, false, time.Now())
		}
		for _, id := range []string{"s1-0", "s1-1"} {
			helper.balancer.ReportLoad(id, balancer.Load{Running: 4, Waiting: 9, Slots: 4}, time.Now())
		}
		g, _, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			return helper.Answer(ctx, q, receive)
		}
		begin := time.Now()
		reply := g.Serve(t.Context(), newRequest("/q/x"))
		must.Eq(t, 0, time.Since(begin))
		must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
		must.Between(t, meanOverloadRetryAfter/2, reply.Err.RetryAfter, 2*meanOverloadRetryAfter)
		must.Len(t, 0, sender.sentTo())
	})
}

// TestMergedRecordsMatchSignatures guards the merged answer: however the shards are split into parts and whenever the
// query ends, the records are the greatest of exactly the shards whose signatures are in the answer.
func TestMergedRecordsMatchSignatures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.Permutation(allIndexes(shardCount)).Draw(rt, "order")
		sizes := rapid.SliceOfN(rapid.IntRange(1, 4), 10, 10).Draw(rt, "sizes")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 120), 10, 10).Draw(rt, "pauses")
		synctest.Test(t, func(t *testing.T) {
			g, _, f := newDelegatingGateway(t)
			f.respond = func(ctx context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
				remaining := order
				for k, n := range sizes {
					n = min(n, len(remaining))
					if err := sleepContext(ctx, time.Duration(pauses[k])*time.Millisecond); err != nil || n == 0 {
						return err
					}
					receive(partForShards(remaining[:n]...))
					remaining = remaining[n:]
				}
				<-ctx.Done()
				return ctx.Err()
			}
			reply := g.Serve(t.Context(), newRequest("/q/x"))
			if reply.Err != nil {
				return
			}
			signatures := slices.Clone(reply.Query.Signatures)
			slices.Sort(signatures)
			slices.Reverse(signatures)
			must.Eq(t, shardCount, len(signatures)+reply.Query.MissingShards)
			must.Eq(t, len(signatures), len(slices.Compact(slices.Clone(signatures))))
			var greatest []byte
			for _, signature := range signatures[:min(3, len(signatures))] {
				greatest = append(greatest, testRecord(signature)...)
			}
			must.True(t, bytes.Equal(greatest, reply.Query.Records))
		})
	})
}
