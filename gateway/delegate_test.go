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

// fakeDelegates answers in virtual time and remembers what was asked.
type fakeDelegates struct {
	mu     sync.Mutex
	asked  []delegation.Query
	answer func(ctx context.Context, q delegation.Query, takenIn time.Duration, receive func(delegation.Part)) error
}

func (f *fakeDelegates) Ask(ctx context.Context, _ string, q delegation.Query, takenIn time.Duration, receive func(delegation.Part)) error {
	f.mu.Lock()
	f.asked = append(f.asked, q)
	f.mu.Unlock()
	return f.answer(ctx, q, takenIn, receive)
}

// all returns what was asked.
func (f *fakeDelegates) all() []delegation.Query {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.asked)
}

// partOf returns the part of shards with one record each.
func partOf(shards ...int) delegation.Part {
	p := delegation.Part{Shards: shards}
	for _, i := range shards {
		p.Signatures = append(p.Signatures, fmt.Sprintf("s%d-0", i))
		p.Records = append(p.Records, record(fmt.Sprintf("s%d-0", i))...)
	}
	return p
}

func record(s string) []byte {
	r := make([]byte, 16)
	copy(r, s)
	return r
}

// newDelegating returns a gateway of a small daemon, with a larger one in its data centre.
func newDelegating(t *testing.T) (*Gateway, *fakeSender, *fakeDelegates) {
	g, sender := newGateway(t)
	f := &fakeDelegates{}
	g.opts.Delegates, g.opts.Node = f, "small"
	self := delegation.Self{
		Address: "small:1", Cores: 0.2, Distance: func(string) balancer.Distance { return balancer.SameDataCentre },
	}
	g.helpers = delegation.NewPool(self, 1)
	g.dir.SetCentres(map[string]topology.Centre{"": {
		Daemons: 2, Helpers: []topology.Helper{{Address: "large:1", Cores: 0.8}},
	}})
	view, _ := g.dir.View()
	g.helpers.SetView(&view)
	return g, sender, f
}

// sleepOr waits, and returns the error of ctx if that ends first.
func sleepOr(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func all(n int) []int {
	indices := make([]int, n)
	for i := range indices {
		indices[i] = i
	}
	return indices
}

// TestHelperAnswersTheQuery guards the work of a small daemon: the helper gets the whole query with the time that is
// left, and this daemon sends nothing to replicas.
func TestHelperAnswersTheQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegating(t)
		f.answer = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
			last := partOf(q.Shards...)
			last.Last = true
			receive(last)
			return sleepOr(ctx, 0)
		}
		request := requestTo("/q/x")
		testseed.Wait(7 * time.Millisecond)
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Len(t, shards, reply.Query.Signatures)
		must.Eq(t, 0, reply.Query.Missing)
		must.Eq(t, append(append(record("s9-0"), record("s8-0")...), record("s7-0")...), reply.Query.Records)
		must.Len(t, 0, sender.all())
		q := f.all()[0]
		must.Eq(t, all(shards), q.Shards)
		must.Eq(t, 1, q.Depth)
		must.Eq(t, 1, q.Version)
		must.Eq(t, 7*time.Millisecond+hopSame, q.Elapsed)
		must.Eq(t, request.Wait, q.Wait)
	})
}

// TestHelpersShardsAreNotHedged guards the budget and the counts that explain it: a shard that a helper answers gets no
// hedge here, not even one that the budget refuses.
func TestHelpersShardsAreNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegating(t)
		f.answer = func(ctx context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
			if err := sleepOr(ctx, 200*time.Millisecond); err != nil {
				return err
			}
			last := partOf(all(shards)...)
			last.Last = true
			receive(last)
			return nil
		}
		g.opts.BudgetFixed, g.opts.BudgetRatio = 0, 0
		view, _ := g.dir.View()
		reply, r := g.serve(t.Context(), requestTo("/q/x"), view)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 0, r.sent())
		must.Eq(t, 0, r.machine.Denied())
		must.Len(t, 0, sender.all())
		for service, spent := range g.Spent() {
			must.Eq(t, 0, spent, must.Sprint(service))
		}
	})
}

// TestQueryNotTakenIsAnsweredHere answers the pattern of a helper that is down, frozen or has another configuration: this
// daemon answers within the target latency, with the route's full number of attempts.
func TestQueryNotTakenIsAnsweredHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegating(t)
		f.answer = func(ctx context.Context, _ delegation.Query, takenIn time.Duration, _ func(delegation.Part)) error {
			must.LessEq(t, 75*time.Millisecond, takenIn)
			testseed.Wait(takenIn)
			return eris.Wrap(delegation.ErrNotTaken, "silent")
		}
		request := requestTo("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 0, reply.Query.Missing)
		must.Len(t, shards, sender.all())
		must.LessEq(t, 150*time.Millisecond, time.Since(request.Received))
		must.Len(t, 1, f.all())
		g.Serve(t.Context(), requestTo("/q/x"))
		must.Len(t, 1, f.all(), must.Sprint("a silent helper is passed over"))
	})
}

// TestLostHelperIsNotRepeated guards the route's attempts: replicas may have executed what a helper took, so this daemon
// sends nothing for these shards, and its caller learns at once that the query failed.
func TestLostHelperIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegating(t)
		f.answer = func(ctx context.Context, _ delegation.Query, _ time.Duration, _ func(delegation.Part)) error {
			testseed.Wait(20 * time.Millisecond)
			return errors.New("connection reset")
		}
		request := requestTo("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Err)
		must.Eq(t, api.CoverageTooLow, reply.Err.Kind)
		must.Eq(t, 20*time.Millisecond, time.Since(request.Received))
		must.Len(t, 0, sender.all())
	})
}

// TestHelperWithoutPowerEndsTheQuery answers the pattern of a helper that took a query and lost its power: without a first
// part the query ends soon after the target latency, not at the caller's deadline, so that the caller can ask again.
func TestHelperWithoutPowerEndsTheQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegating(t)
		f.answer = func(ctx context.Context, _ delegation.Query, _ time.Duration, _ func(delegation.Part)) error {
			<-ctx.Done()
			return ctx.Err()
		}
		request := requestTo("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Err)
		must.Between(t, 300*time.Millisecond, time.Since(request.Received), 340*time.Millisecond)
	})
}

// TestPartialAnswerOfAHelper guards the time of an answer with a part of the shards: it leaves before the target latency,
// with what the helper sent first.
func TestPartialAnswerOfAHelper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegating(t)
		f.answer = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
			if err := sleepOr(ctx, partialAfter(300*time.Millisecond, 1)); err != nil {
				return err
			}
			receive(partOf(q.Shards[:8]...))
			<-ctx.Done()
			return ctx.Err()
		}
		request := requestTo("/q/x")
		reply := g.Serve(t.Context(), request)
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 2, reply.Query.Missing)
		must.LessEq(t, 270*time.Millisecond, time.Since(request.Received))
	})
}

// TestLateShardOfAHelperStillCounts guards late answers: a query whose coverage is too low at the target latency waits
// for the helper's next part.
func TestLateShardOfAHelperStillCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegating(t)
		f.answer = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
			receive(partOf(q.Shards[:7]...))
			if err := sleepOr(ctx, 600*time.Millisecond); err != nil {
				return err
			}
			receive(partOf(q.Shards[7]))
			<-ctx.Done()
			return ctx.Err()
		}
		reply := g.Serve(t.Context(), requestTo("/q/x"))
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Eq(t, 2, reply.Query.Missing)
	})
}

// TestUnusablePartIsDropped guards the answer against a part with a shard twice, an unknown one, or without signatures.
func TestUnusablePartIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegating(t)
		f.answer = func(_ context.Context, q delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
			receive(partOf(0, 0))
			receive(partOf(99))
			receive(delegation.Part{Shards: []int{1}, Records: record("x")})
			receive(partOf(q.Shards...))
			receive(partOf(3))
			receive(delegation.Part{Last: true})
			return nil
		}
		reply := g.Serve(t.Context(), requestTo("/q/x"))
		must.NotNil(t, reply.Query, must.Sprint(reply.Err))
		must.Len(t, shards, reply.Query.Signatures)
	})
}

// answerOfShards passes shards to the gateway as another daemon does and returns the parts.
func answerOfShards(t *testing.T, g *Gateway, q delegation.Query) ([]delegation.Part, error) {
	var parts []delegation.Part
	q.ID, q.Host, q.Path, q.Target, q.From, q.Depth = "r1", "h", "/q/x", "/q/x", "other", 1
	err := g.Answer(t.Context(), q, func(p delegation.Part) { parts = append(parts, p) })
	return parts, err
}

// TestAnswerOfShards guards a helper: it answers just the shards that it is asked for, in one part if all answer in time.
func TestAnswerOfShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := newGateway(t)
		parts, err := answerOfShards(t, g, delegation.Query{Version: 1, Shards: []int{2, 5, 7}, Wait: time.Second})
		must.NoError(t, err)
		must.Len(t, 1, parts)
		slices.Sort(parts[0].Shards)
		must.Eq(t, []int{2, 5, 7}, parts[0].Shards)
		must.True(t, parts[0].Last)
		must.Len(t, 3, sender.all())
	})
}

// TestFirstPartLeavesInTime answers the pattern of a silent shard at a helper: what it has leaves before the caller's
// daemon ends the query, and the late shard follows.
func TestFirstPartLeavesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender := newGateway(t)
		for _, id := range []string{"s5-0", "s5-1"} {
			sender.answer[id] = after(500*time.Millisecond, Answer{Status: 200, Body: record(id), Signature: id}, nil)
		}
		begin := time.Now()
		var times []time.Duration
		q := delegation.Query{ID: "r1", Host: "h", Path: "/q/x", Target: "/q/x", From: "other", Depth: 1, Version: 1, Shards: []int{2, 5}, Wait: time.Second}
		must.NoError(t, g.Answer(t.Context(), q, func(delegation.Part) { times = append(times, time.Since(begin)) }))
		must.Len(t, 3, times)
		must.Eq(t, partialAfter(300*time.Millisecond, 1), times[0])
		must.Eq(t, 500*time.Millisecond, times[1])
	})
}

// TestHelperRefuses guards the versions of one daemon, which never go back, and the shards that do not exist.
func TestHelperRefuses(t *testing.T) {
	g, sender := newGateway(t)
	for name, q := range map[string]delegation.Query{
		"another version": {Version: 2, Shards: []int{1}},
		"unknown shard":   {Version: 1, Shards: []int{10}},
		"negative shard":  {Version: 1, Shards: []int{-1}},
		"a shard twice":   {Version: 1, Shards: []int{1, 1}},
		"no shards":       {Version: 1},
	} {
		parts, err := answerOfShards(t, g, q)
		must.ErrorIs(t, err, delegation.ErrNotTaken, must.Sprint(name))
		must.Nil(t, parts)
	}
	g.Leave()
	_, err := answerOfShards(t, g, delegation.Query{Version: 1, Shards: []int{1}})
	must.ErrorIs(t, err, delegation.ErrNotTaken, must.Sprint("a stopping daemon"))
	must.Len(t, 0, sender.all())
}

// TestOverloadedHelperRefusesAtOnce answers the pattern of a helper whose queries failed lately: it refuses the query before
// anything is sent, and the caller learns that nothing ran and when to come back.
func TestOverloadedHelperRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		helper, sender := newGateway(t)
		helper.draw = func() float64 { return 0.1 }
		throttle := limit.NewThrottle()
		for range 20 {
			throttle.Done(false, time.Now())
		}
		helper.throttles.Store("query", throttle)
		for _, id := range []string{"s1-0", "s1-1"} {
			helper.balancer.Report(id, balancer.Load{Running: 4, Waiting: 9, Slots: 4}, time.Now())
		}
		g, _, f := newDelegating(t)
		f.answer = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
			return helper.Answer(ctx, q, receive)
		}
		begin := time.Now()
		reply := g.Serve(t.Context(), requestTo("/q/x"))
		must.Eq(t, 0, time.Since(begin))
		must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
		must.Between(t, overloadWait/2, reply.Err.RetryAfter, 2*overloadWait)
		must.Len(t, 0, sender.all())
	})
}

// TestMergedPartsNameTheirRecords guards the answer: in any split of the shards into parts, at any moment in which the
// query ends, the records are the greatest of exactly the shards whose signatures the answer has.
func TestMergedPartsNameTheirRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.Permutation(all(shards)).Draw(rt, "order")
		cuts := rapid.SliceOfN(rapid.IntRange(1, 4), 10, 10).Draw(rt, "sizes")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 120), 10, 10).Draw(rt, "pauses")
		synctest.Test(t, func(t *testing.T) {
			g, _, f := newDelegating(t)
			f.answer = func(ctx context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.Part)) error {
				left := order
				for k, n := range cuts {
					n = min(n, len(left))
					if err := sleepOr(ctx, time.Duration(pauses[k])*time.Millisecond); err != nil || n == 0 {
						return err
					}
					receive(partOf(left[:n]...))
					left = left[n:]
				}
				<-ctx.Done()
				return ctx.Err()
			}
			reply := g.Serve(t.Context(), requestTo("/q/x"))
			if reply.Err != nil {
				return
			}
			names := slices.Clone(reply.Query.Signatures)
			slices.Sort(names)
			slices.Reverse(names)
			must.Eq(t, shards, len(names)+reply.Query.Missing)
			must.Eq(t, len(names), len(slices.Compact(slices.Clone(names))))
			var greatest []byte
			for _, name := range names[:min(3, len(names))] {
				greatest = append(greatest, record(name)...)
			}
			must.True(t, bytes.Equal(greatest, reply.Query.Records))
		})
	})
}
