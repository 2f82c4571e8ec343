package scatter_test

import (
	"testing"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// TestUnsentAttemptsBeyondMaximum guards against a panic in a query that waits for its only replica while no connection
// to the replica can be opened: attempts of which nothing was sent do not count towards the maximum of the plan.
func TestUnsentAttemptsBeyondMaximum(t *testing.T) {
	defer func() {
		if p := recover(); p != nil {
			t.Fatalf("panic: %v", p)
		}
	}()
	plan := scatter.Plan{
		ShardMap: snapshot.NewUniformMap(1, "s", 1), MaxAttempts: 3, WaitForReplicas: true,
		Hedges: &tokenBudget{}, Retries: &tokenBudget{tokens: 10},
	}
	deadline := startTime.Add(time.Second)
	m := scatter.NewStateMachine(&plan, fixedPicker{[]string{"only"}}, deadline)
	errNotSent := &backend.Error{Failure: backend.NotSent}
	now := startTime
	actions := m.Start(now)
	for now.Before(deadline) && !m.Done() {
		if len(actions) > 0 {
			actions, _ = m.HandleResult(actions[0].Shard, actions[0].Attempt, errNotSent, now)
			continue
		}
		at, ok := m.NextTick()
		if !ok {
			t.Fatal("not done and no timer set")
		}
		now = at
		actions = m.Tick(now)
	}
	if ok, _ := m.Answered(0); ok || !m.Done() {
		t.Fatal("the shard was not given up at the deadline")
	}
}
