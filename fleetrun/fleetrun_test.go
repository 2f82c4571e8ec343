package main

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/loadgen"
)

func testReplicas() (all []backend.Settings) {
	for i := range 12 {
		all = append(all, backend.Settings{Replica: fmt.Sprintf("s%d", i), Service: "search", Shards: 4, Shard: i / 3})
	}
	for i := range 5 {
		all = append(all, backend.Settings{Replica: fmt.Sprintf("o%d", i), Service: "orders"})
	}
	return all
}

// Guards against an update that skips a replica, restarts one twice, or stops more replicas of a shard, or all of an
// order service, at the same time.
func TestWaves(t *testing.T) {
	replicas := testReplicas()
	for atOnce, count := range map[int]int{1: 3, 2: 2} {
		got := waves(replicas, atOnce)
		must.SliceLen(t, count, got)
		restarts := make(map[string]int)
		for _, wave := range got {
			groups := make(map[string]int)
			for _, name := range wave {
				restarts[name]++
				i := slices.IndexFunc(replicas, func(r backend.Settings) bool { return r.Replica == name })
				groups[fmt.Sprintf("%s/%d", replicas[i].Service, replicas[i].Shard)]++
			}
			for group, n := range groups {
				if group == "orders/0" {
					must.Less(t, 5, n)
					continue
				}
				must.LessEq(t, atOnce, n, must.Sprint(group))
			}
		}
		for _, r := range replicas {
			must.Eq(t, 1, restarts[r.Replica], must.Sprint(r.Replica))
		}
	}
	must.Eq(t, []string{"s0", "s3", "s6", "s9"}, firstOfShards(replicas))
}

// Guards against a balancer that drops a daemon for one lost probe or sends to it after it was not ready for long.
func TestProbes(t *testing.T) {
	var p probes
	for i, step := range []struct{ ready, in bool }{
		{true, false}, {true, true}, {false, true}, {true, true}, {false, true}, {false, false}, {true, false}, {false, false},
	} {
		p.observe(step.ready)
		must.Eq(t, step.in, p.in, must.Sprintf("probe %d", i))
	}
}

// Guards against lost or invented counts when a daemon restarts and its counters begin at 0.
func TestAccumulatorOverRestart(t *testing.T) {
	a := newAccumulator()
	for _, v := range []float64{5, 8, 2, 2, 3} {
		a.add(series{`n{a="x"}`: v})
	}
	must.Eq(t, 11, a.total.sum("n", `a="x"`))
	must.Eq(t, 0, a.total.sum("n", `a="y"`))
}

// Guards against a run that passes although a promise broke.
func TestBrokenPromises(t *testing.T) {
	complete := &api.Coverage{Complete: true}
	good := loadgen.Sample{Result: loadgen.ResultOK, Coverage: complete, Records: 10}
	short := good
	short.Records = 9
	must.SliceEmpty(t, brokenAnswers([]loadgen.Sample{good, {Result: "overloaded"}}, 10))
	must.SliceLen(t, 3, brokenAnswers([]loadgen.Sample{
		good, short, {Result: loadgen.ResultBroken}, {Result: loadgen.ResultTransport},
	}, 10))

	orders := []loadgen.Sample{
		{Key: "done", Result: loadgen.ResultOK}, {Key: "maybe", Result: "outcome_unknown", Run: api.RunMaybe},
		{Key: "refused", Result: "backend_refused", Run: api.RunNever},
	}
	must.SliceEmpty(t, brokenOrders(orders, map[string]int{"done": 1, "maybe": 1}))
	must.SliceLen(t, 1, brokenOrders(orders, map[string]int{"done": 2}))
	must.SliceLen(t, 1, brokenOrders(orders, map[string]int{"done": 1, "refused": 1}))
	must.SliceLen(t, 1, brokenOrders(orders, nil))

	must.SliceEmpty(t, brokenDrains(map[string][]backend.Counters{"r": {{WorkAfterDrain: []int{4, 0, 1}}}}))
	must.SliceLen(t, 1, brokenDrains(map[string][]backend.Counters{"r": {{WorkAfterDrain: []int{4, 0, 0, 1}}}}))
}
