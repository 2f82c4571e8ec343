package scatter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

var startTime = time.Unix(1000, 0)

// tokenBudget is a Budget with a fixed number of tokens that counts the withdrawn ones.
type tokenBudget struct{ tokens, withdrawn int }

func (b *tokenBudget) Withdraw() bool {
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	b.withdrawn++
	return true
}

func (b *tokenBudget) Refund() { b.tokens++; b.withdrawn-- }

// flakyPicker randomly reports that no replica is left, and checks that Done is called once per pick.
type flakyPicker struct {
	t         *rapid.T
	replicas  int
	picked    int
	completed int
}

func (p *flakyPicker) Pick(_ string, _ snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	if rapid.IntRange(0, 5).Draw(p.t, "none left") == 0 {
		return scatter.Target{}, false
	}
	for i := range p.replicas {
		id := fmt.Sprintf("%s-r%d", shard, i)
		excluded := false
		for _, e := range exclude {
			excluded = excluded || e == id
		}
		if !excluded {
			p.picked++
			done := false
			return scatter.Target{ID: id, Done: func(time.Duration, error) {
				if done {
					p.t.Fatalf("Done called twice for %s", id)
				}
				done = true
				p.completed++
			}}, true
		}
	}
	return scatter.Target{}, false
}

type attemptKey struct{ shard, number int }

// model tracks the expected state of a machine by applying its actions.
type model struct {
	t        *rapid.T
	plan     scatter.Plan
	picker   *flakyPicker
	machine  *scatter.StateMachine
	hedges   *tokenBudget
	retries  *tokenBudget
	now      time.Time
	deadline time.Time
	inFlight map[attemptKey]bool
	attempts map[int]int
	answered map[int]int
	sent     int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: startTime, deadline: startTime.Add(300 * time.Millisecond),
		hedges:   &tokenBudget{tokens: rapid.IntRange(0, 4).Draw(t, "hedges")},
		retries:  &tokenBudget{tokens: rapid.IntRange(0, 4).Draw(t, "retries")},
		picker:   &flakyPicker{t: t, replicas: rapid.IntRange(1, 4).Draw(t, "replicas")},
		inFlight: map[attemptKey]bool{}, attempts: map[int]int{}, answered: map[int]int{},
	}
	m.plan = scatter.Plan{
		Service: "s", Request: "r", Version: snapshot.Version{Index: 1, Map: 1},
		ShardMap:        snapshot.NewUniformMap(1, "s", rapid.IntRange(1, 5).Draw(t, "shards")),
		HedgeDelay:      time.Duration(rapid.IntRange(0, 50).Draw(t, "hedge delay")) * time.Millisecond,
		MaxAttempts:     rapid.IntRange(1, 5).Draw(t, "attempts"),
		WaitForReplicas: rapid.Bool().Draw(t, "wait"),
		Hedges:          m.hedges, Retries: m.retries,
	}
	m.machine = scatter.NewStateMachine(&m.plan, m.picker, m.deadline)
	m.apply(m.machine.Start(m.now))
	return m
}

func (m *model) apply(actions []scatter.Action) {
	for _, a := range actions {
		key := attemptKey{a.Shard, a.Attempt}
		if a.Kind == scatter.ActionCancel {
			if !m.inFlight[key] {
				m.t.Fatalf("cancelled attempt %v is not in flight", key)
			}
			delete(m.inFlight, key)
			continue
		}
		if m.answered[a.Shard] > 0 {
			m.t.Fatalf("attempt %v was sent after the shard was answered", key)
		}
		m.inFlight[key] = true
		m.sent++
		m.attempts[a.Shard]++
	}
	m.check()
}

func (m *model) check() {
	for shard, n := range m.attempts {
		if n > m.plan.MaxAttempts {
			m.t.Fatalf("shard %d has %d attempts of %d", shard, n, m.plan.MaxAttempts)
		}
	}
	sent, hedges, retries := m.machine.Counts()
	if sent != m.sent || hedges != m.hedges.withdrawn || retries != m.retries.withdrawn {
		m.t.Fatalf("counts: sent %d, hedges %d, retries %d; expected %d, %d, %d", sent, hedges, retries, m.sent,
			m.hedges.withdrawn, m.retries.withdrawn)
	}
	if extra := sent - len(m.attempts); extra != m.hedges.withdrawn+m.retries.withdrawn {
		m.t.Fatalf("%d extra attempts for %d budget tokens", extra, m.hedges.withdrawn+m.retries.withdrawn)
	}
	if m.picker.picked-m.picker.completed != len(m.inFlight) {
		m.t.Fatalf("%d picks without Done, %d attempts in flight", m.picker.picked-m.picker.completed, len(m.inFlight))
	}
	for key := range m.inFlight {
		if m.answered[key.shard] > 0 {
			m.t.Fatalf("attempt %v is in flight after the shard was answered", key)
		}
	}
	if m.machine.Done() && len(m.inFlight) > 0 {
		m.t.Fatalf("done with %d attempts in flight", len(m.inFlight))
	}
}

// settle ends an attempt in flight with a response or a failure, or repeats the end of an attempt that is already
// closed.
func (m *model) settle(t *rapid.T) {
	if m.sent == 0 {
		return
	}
	shard := rapid.IntRange(0, len(m.plan.ShardMap.Shards)-1).Draw(t, "shard")
	if m.attempts[shard] == 0 {
		return
	}
	key := attemptKey{shard, rapid.IntRange(0, m.attempts[shard]-1).Draw(t, "attempt")}
	var err error
	if rapid.Bool().Draw(t, "fails") {
		err = &backend.Error{Failure: backend.Refused}
	}
	wasInFlight := m.inFlight[key]
	delete(m.inFlight, key)
	actions, used := m.machine.HandleResult(key.shard, key.number, err, m.now)
	if used != (wasInFlight && err == nil) {
		t.Fatalf("result of %v: used %v, in flight %v, error %v", key, used, wasInFlight, err)
	}
	if used {
		// A second response of the shard must not be used.
		m.answered[shard]++
		for other := range m.inFlight {
			if other.shard == shard && len(actions) == 0 {
				t.Fatalf("attempt %v was not cancelled", other)
			}
		}
	}
	if m.answered[shard] > 1 {
		t.Fatalf("shard %d was answered twice", shard)
	}
	m.apply(actions)
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
	m.apply(m.machine.Tick(m.now))
	if !m.now.Before(m.deadline) && !m.machine.Done() {
		t.Fatalf("not done at the deadline")
	}
}

// TestMachineRespectsLimits checks the limits of a query with random events: the number of attempts, the budgets,
// one response per shard, cancellation of superseded attempts, exactly one Done per pick, and the end at the
// deadline.
func TestMachineRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){"settle": m.settle, "tick": m.tick})
		m.apply(m.machine.Tick(m.deadline))
		if !m.machine.Done() {
			t.Fatalf("not done at the deadline")
		}
		for i := range m.plan.ShardMap.Shards {
			if ok, reason := m.machine.Answered(i); ok != (m.answered[i] == 1) || !ok && reason == "" {
				t.Fatalf("shard %d: answered %v, responses used %d, reason %q", i, ok, m.answered[i], reason)
			}
		}
	})
}

// fixedPicker offers the replicas of a list in order.
type fixedPicker struct{ ids []string }

func (p fixedPicker) Pick(_ string, _ snapshot.Version, _ string, exclude []string) (scatter.Target, bool) {
	for _, id := range p.ids {
		excluded := false
		for _, e := range exclude {
			excluded = excluded || e == id
		}
		if !excluded {
			return scatter.Target{ID: id, Done: func(time.Duration, error) {}}, true
		}
	}
	return scatter.Target{}, false
}

// TestMachineWaitsForLastReplica guards against giving up a shard whose only live replica recovers within the
// deadline. The replica refuses attempts for the first 200 ms, which must not use up all attempts of a plan that
// waits.
func TestMachineWaitsForLastReplica(t *testing.T) {
	plan := scatter.Plan{
		ShardMap: snapshot.NewUniformMap(1, "s", 1), MaxAttempts: 5, WaitForReplicas: true,
		Hedges: &tokenBudget{}, Retries: &tokenBudget{tokens: 10},
	}
	deadline := startTime.Add(time.Second)
	m := scatter.NewStateMachine(&plan, fixedPicker{[]string{"only"}}, deadline)
	errRefused := &backend.Error{Failure: backend.Refused, Refusal: backend.Refusal{Reason: backend.RefusedShedding}}
	now := startTime
	actions := m.Start(now)
	for !m.Done() {
		if len(actions) > 0 {
			var err error
			if now.Sub(startTime) < 200*time.Millisecond {
				err = errRefused
			}
			actions, _ = m.HandleResult(actions[0].Shard, actions[0].Attempt, err, now)
			continue
		}
		at, ok := m.NextTick()
		if !ok {
			t.Fatal("not done and no timer set")
		}
		now = at
		actions = m.Tick(now)
	}
	if ok, reason := m.Answered(0); !ok {
		t.Fatalf("gave up after %s: %s", now.Sub(startTime), reason)
	}
}

// TestMachineCountsRetriesAfterRefusal checks that a retry after a refusal counts as a resend and one after a lost
// connection does not.
func TestMachineCountsRetriesAfterRefusal(t *testing.T) {
	for failure, resends := range map[backend.Failure]int{backend.Refused: 1, backend.ConnectionLost: 0} {
		plan := scatter.Plan{
			ShardMap: snapshot.NewUniformMap(1, "s", 1), MaxAttempts: 2, Hedges: &tokenBudget{}, Retries: &tokenBudget{tokens: 10},
		}
		m := scatter.NewStateMachine(&plan, fixedPicker{[]string{"a", "b"}}, startTime.Add(time.Second))
		m.Start(startTime)
		m.HandleResult(0, 0, &backend.Error{Failure: failure}, startTime)
		_, _, retries := m.Counts()
		if retries != 1 || m.RetriesAfterRefusal() != resends {
			t.Fatalf("%s: %d retries, %d resends", failure, retries, m.RetriesAfterRefusal())
		}
	}
}

// TestRunCancelsSupersededAttempt guards against superseded attempts that keep running while the query waits for
// other shards: the second shard responds only after the context of the superseded attempt has ended.
func TestRunCancelsSupersededAttempt(t *testing.T) {
	plan := scatter.Plan{
		Request: "r", Version: snapshot.Version{Index: 1, Map: 1}, ShardMap: snapshot.NewUniformMap(1, "s", 2),
		HedgeDelay: time.Millisecond, MaxAttempts: 2, Hedges: &tokenBudget{tokens: 2}, Retries: &tokenBudget{},
	}
	cancelled := make(chan struct{})
	sender := senderFunc(func(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error) {
		switch {
		case sub.Shard == "s-1":
			select {
			case <-cancelled:
			case <-ctx.Done():
				return backend.SubResponse{}, ctx.Err()
			}
		case replica == "a":
			<-ctx.Done()
			close(cancelled)
			return backend.SubResponse{}, ctx.Err()
		}
		return backend.SubResponse{Version: sub.Version, Shard: sub.Shard}, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result := scatter.Run(ctx, plan, fixedPicker{[]string{"a", "b"}}, sender)
	if !result.Coverage.Complete {
		t.Fatalf("result %+v", result)
	}
}

type senderFunc func(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error)

func (f senderFunc) Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error) {
	return f(ctx, replica, sub)
}

// TestHedgeDelayAppliesPerAttempt guards against spending the budget on hedges of attempts that have just started.
// An attempt that replaces one of which nothing was sent is hedged only when it is itself older than the delay.
func TestHedgeDelayAppliesPerAttempt(t *testing.T) {
	const delay = 40 * time.Millisecond
	plan := scatter.Plan{
		Request: "r", Version: snapshot.Version{Index: 1, Map: 1}, ShardMap: snapshot.NewUniformMap(1, "s", 1),
		HedgeDelay: delay, MaxAttempts: 3, Hedges: &tokenBudget{tokens: 5}, Retries: &tokenBudget{tokens: 5},
	}
	m := scatter.NewStateMachine(&plan, fixedPicker{[]string{"a", "b", "c"}}, startTime.Add(time.Second))
	m.Start(startTime)
	resentAt := startTime.Add(30 * time.Millisecond)
	if actions, _ := m.HandleResult(0, 0, &backend.Error{Failure: backend.NotSent}, resentAt); len(actions) != 1 {
		t.Fatalf("actions %v after an attempt of which nothing was sent", actions)
	}
	if actions := m.Tick(startTime.Add(delay)); len(actions) != 0 {
		t.Fatalf("actions %v for an attempt in flight for 10 ms", actions)
	}
	if at, ok := m.NextTick(); !ok || !at.Equal(resentAt.Add(delay)) {
		t.Fatalf("next tick at %v, %v", at, ok)
	}
	if actions := m.Tick(resentAt.Add(delay)); len(actions) != 1 || actions[0].Kind != scatter.ActionSend {
		t.Fatalf("actions %v for an attempt in flight for the hedge delay", actions)
	}
}
