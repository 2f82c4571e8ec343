package scatter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	partialAfter    = 80 * time.Millisecond
	partialDeadline = 300 * time.Millisecond
)

// event is the end of the single attempt of a shard.
type event struct {
	at     time.Duration
	shard  int
	failed bool
}

// Guards against partial answers before their time, below the least coverage or later than needed, against a
// complete answer that waits, and against missing shards with a wrong reason.
func TestMachinePartialAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "shards")
		plan := scatter.Plan{
			Map: snapshot.Uniform(1, "s", n), MaxAttempts: 1, Hedges: &bucket{}, Retries: &bucket{},
			PartialAfter: partialAfter, PartialLeast: float64(rapid.IntRange(0, 10).Draw(t, "least")) / 10,
		}
		events := drawEvents(t, n)
		m := scatter.NewMachine(&plan, fixedPicker{[]string{"a"}}, begin.Add(partialDeadline))
		end, cancelled := drive(t, m, events)
		wantEnd, wantAnswered := expect(&plan, events)
		if end != wantEnd {
			t.Fatalf("ended after %s, expected %s", end, wantEnd)
		}
		open := 0
		for i, e := range events {
			ok, reason := m.Answered(i)
			if ok != wantAnswered[i] {
				t.Fatalf("shard %d answered %v, expected %v", i, ok, wantAnswered[i])
			}
			ended := ok || e.failed && e.at <= end && reason == api.MissingRefused
			if !ended && reason != api.MissingTimeout {
				t.Fatalf("shard %d was open at the end and has reason %q", i, reason)
			}
			if !ended {
				open++
			}
		}
		if cancelled != open {
			t.Fatalf("%d attempts cancelled, %d were open", cancelled, open)
		}
	})
}

// drawEvents draws distinct times, so that the order of events is certain.
func drawEvents(t *rapid.T, n int) []event {
	events := make([]event, n)
	for i := range events {
		at := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond + time.Duration(i+1)*time.Microsecond
		events[i] = event{at: at, shard: i, failed: rapid.IntRange(0, 4).Draw(t, "fails") == 0}
	}
	return events
}

// drive runs the machine over the events and its own wake-ups, and returns its end and the cancelled attempts.
func drive(t *rapid.T, m *scatter.Machine, events []event) (end time.Duration, cancelled int) {
	m.Start(begin)
	left := append([]event(nil), events...)
	for !m.Done() {
		wake, ok := m.Wake()
		if !ok || !wake.After(begin.Add(end)) && end > 0 {
			t.Fatalf("wake-up at %s, already at %s", wake.Sub(begin), end)
		}
		next := -1
		for i, e := range left {
			if begin.Add(e.at).Before(wake) && (next < 0 || e.at < left[next].at) {
				next = i
			}
		}
		var actions []scatter.Action
		if next < 0 {
			end = wake.Sub(begin)
			actions = m.Tick(wake)
		} else {
			e := left[next]
			left = append(left[:next:next], left[next+1:]...)
			end = e.at
			var err error
			if e.failed {
				err = &backend.Error{Failure: backend.Refused}
			}
			actions, _ = m.Settled(e.shard, 0, err, begin.Add(e.at))
		}
		for _, a := range actions {
			if a.Kind == scatter.ActionCancel {
				cancelled++
			}
		}
	}
	return end, cancelled
}

// expect computes the end of the query and its answered shards from the events alone: the first moment at which all
// shards have ended, or the partial time has passed with enough coverage, or the deadline is reached.
func expect(plan *scatter.Plan, events []event) (time.Duration, []bool) {
	// Shards of equal size: the number of answered shards states the fraction without rounding.
	answeredAt := func(at time.Duration) (answered []bool, fraction float64, ended int) {
		answered = make([]bool, len(events))
		covered := 0
		for i, e := range events {
			if e.at > at {
				continue
			}
			ended++
			if answered[i] = !e.failed; answered[i] {
				covered++
			}
		}
		return answered, float64(covered) / float64(len(events)), ended
	}
	end := partialDeadline
	moments := []time.Duration{partialAfter}
	for _, e := range events {
		moments = append(moments, e.at)
	}
	for _, at := range moments {
		_, fraction, ended := answeredAt(at)
		if ended == len(events) || at >= partialAfter && fraction >= plan.PartialLeast {
			end = min(end, at)
		}
	}
	answered, _, _ := answeredAt(end)
	return end, answered
}

// Guards against an answer with 7 of 10 shards that counts as below 0.7, and against one with a shard less that does not.
func TestReachesAllowsRounding(t *testing.T) {
	for n := 1; n <= 1700; n += 7 {
		m := snapshot.Uniform(1, "s", n)
		for k := 1; k <= n; k += 1 + n/9 {
			fraction := float64(m.Shards[k-1].High) / float64(snapshot.KeySpace)
			if least := float64(k) / float64(n); !scatter.Reaches(fraction, least) {
				t.Fatalf("%d of %d shards do not reach %g", k, n, least)
			}
			if least := float64(k+1) / float64(n); scatter.Reaches(fraction, least) {
				t.Fatalf("%d of %d shards reach %g", k, n, least)
			}
		}
	}
}
