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

// event is the end of the only attempt of a shard.
type event struct {
	at     time.Duration
	shard  int
	failed bool
}

// TestMachinePartialAnswers guards against partial answers that come too early, too late or with insufficient
// coverage, against delays of complete answers, and against wrong reasons for missing shards.
func TestMachinePartialAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "shards")
		plan := scatter.Plan{
			ShardMap: snapshot.NewUniformMap(1, "s", n), MaxAttempts: 1, Hedges: &tokenBudget{}, Retries: &tokenBudget{},
			PartialAfter: partialAfter, MinPartialCoverage: float64(rapid.IntRange(0, 10).Draw(t, "least")) / 10,
		}
		events := drawEvents(t, n)
		m := scatter.NewStateMachine(&plan, fixedPicker{[]string{"a"}}, startTime.Add(partialDeadline))
		end, cancelled := drive(t, m, events)
		wantEnd, wantAnswered := expect(&plan, events)
		if end != wantEnd {
			t.Fatalf("ended after %s, expected %s", end, wantEnd)
		}
		pending := 0
		for i, e := range events {
			ok, reason := m.Answered(i)
			if ok != wantAnswered[i] {
				t.Fatalf("shard %d answered %v, expected %v", i, ok, wantAnswered[i])
			}
			ended := ok || e.failed && e.at <= end && reason == api.MissingRefused
			if !ended && reason != api.MissingTimeout {
				t.Fatalf("shard %d was pending at the end and has reason %q", i, reason)
			}
			if !ended {
				pending++
			}
		}
		if cancelled != pending {
			t.Fatalf("%d attempts cancelled, %d were in flight", cancelled, pending)
		}
	})
}

// drawEvents draws distinct times, so that the order of events is well defined.
func drawEvents(t *rapid.T, n int) []event {
	events := make([]event, n)
	for i := range events {
		at := time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond + time.Duration(i+1)*time.Microsecond
		events[i] = event{at: at, shard: i, failed: rapid.IntRange(0, 4).Draw(t, "fails") == 0}
	}
	return events
}

// drive feeds the events to the machine and calls Tick whenever it is due. It returns the end time and the number
// of cancelled attempts.
func drive(t *rapid.T, m *scatter.StateMachine, events []event) (end time.Duration, cancelled int) {
	m.Start(startTime)
	remaining := append([]event(nil), events...)
	for !m.Done() {
		tickAt, ok := m.NextTick()
		if !ok || !tickAt.After(startTime.Add(end)) && end > 0 {
			t.Fatalf("tick due at %s, already at %s", tickAt.Sub(startTime), end)
		}
		next := -1
		for i, e := range remaining {
			if startTime.Add(e.at).Before(tickAt) && (next < 0 || e.at < remaining[next].at) {
				next = i
			}
		}
		var actions []scatter.Action
		if next < 0 {
			end = tickAt.Sub(startTime)
			actions = m.Tick(tickAt)
		} else {
			e := remaining[next]
			remaining = append(remaining[:next:next], remaining[next+1:]...)
			end = e.at
			var err error
			if e.failed {
				err = &backend.Error{Failure: backend.Refused}
			}
			actions, _ = m.HandleResult(e.shard, 0, err, startTime.Add(e.at))
		}
		for _, a := range actions {
			if a.Kind == scatter.ActionCancel {
				cancelled++
			}
		}
	}
	return end, cancelled
}

// expect computes the end time and the answered shards from the events alone. The query ends when all shards have
// ended, when the partial time has passed with sufficient coverage, or at the deadline, whichever comes first.
func expect(plan *scatter.Plan, events []event) (time.Duration, []bool) {
	// The shards have equal size, so the number of answered shards gives the fraction without rounding errors.
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
	candidates := []time.Duration{partialAfter}
	for _, e := range events {
		candidates = append(candidates, e.at)
	}
	for _, at := range candidates {
		_, fraction, ended := answeredAt(at)
		if ended == len(events) || at >= partialAfter && fraction >= plan.MinPartialCoverage {
			end = min(end, at)
		}
	}
	answered, _, _ := answeredAt(end)
	return end, answered
}

// TestCoverageReachedToleratesRounding guards against rounding errors that put 7 of 10 shards below 0.7, and against a
// tolerance so large that one shard less is accepted.
func TestCoverageReachedToleratesRounding(t *testing.T) {
	for n := 1; n <= 1700; n += 7 {
		m := snapshot.NewUniformMap(1, "s", n)
		for k := 1; k <= n; k += 1 + n/9 {
			fraction := float64(m.Shards[k-1].High) / float64(snapshot.KeySpace)
			if least := float64(k) / float64(n); !scatter.CoverageReached(fraction, least) {
				t.Fatalf("%d of %d shards do not reach %g", k, n, least)
			}
			if least := float64(k+1) / float64(n); scatter.CoverageReached(fraction, least) {
				t.Fatalf("%d of %d shards reach %g", k, n, least)
			}
		}
	}
}
