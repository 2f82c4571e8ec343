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

var begin = time.Unix(1000, 0)

// bucket is a budget that records whether it was asked beyond its tokens.
type bucket struct{ tokens, taken int }

func (b *bucket) Take() bool {
	if b.tokens == 0 {
		return false
	}
	b.tokens--
	b.taken++
	return true
}

func (b *bucket) Refund() { b.tokens++; b.taken-- }

// flakyPicker leaves out replicas at random and counts how often Done is called for each pick.
type flakyPicker struct {
	t        *rapid.T
	replicas int
	picks    int
	ended    int
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
			p.picks++
			done := false
			return scatter.Target{ID: id, Done: func(time.Duration, error) {
				if done {
					p.t.Fatalf("Done called twice for %s", id)
				}
				done = true
				p.ended++
			}}, true
		}
	}
	return scatter.Target{}, false
}

type attemptKey struct{ shard, number int }

// model follows a machine through its actions.
type model struct {
	t        *rapid.T
	plan     scatter.Plan
	picker   *flakyPicker
	machine  *scatter.Machine
	hedges   *bucket
	retries  *bucket
	now      time.Time
	deadline time.Time
	open     map[attemptKey]bool
	attempts map[int]int
	answered map[int]int
	sent     int
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, now: begin, deadline: begin.Add(300 * time.Millisecond),
		hedges:  &bucket{tokens: rapid.IntRange(0, 4).Draw(t, "hedges")},
		retries: &bucket{tokens: rapid.IntRange(0, 4).Draw(t, "retries")},
		picker:  &flakyPicker{t: t, replicas: rapid.IntRange(1, 4).Draw(t, "replicas")},
		open:    map[attemptKey]bool{}, attempts: map[int]int{}, answered: map[int]int{},
	}
	m.plan = scatter.Plan{
		Service: "s", Request: "r", Version: snapshot.Version{Index: 1, Map: 1},
		Map:         snapshot.Uniform(1, "s", rapid.IntRange(1, 5).Draw(t, "shards")),
		HedgeDelay:  time.Duration(rapid.IntRange(0, 50).Draw(t, "hedge delay")) * time.Millisecond,
		MaxAttempts: rapid.IntRange(1, 5).Draw(t, "attempts"),
		Wait:        rapid.Bool().Draw(t, "wait"),
		Hedges:      m.hedges, Retries: m.retries,
	}
	m.machine = scatter.NewMachine(&m.plan, m.picker, m.deadline)
	m.apply(m.machine.Start(m.now))
	return m
}

func (m *model) apply(actions []scatter.Action) {
	for _, a := range actions {
		key := attemptKey{a.Shard, a.Attempt}
		if a.Kind == scatter.ActionCancel {
			if !m.open[key] {
				m.t.Fatalf("cancelled attempt %v is not open", key)
			}
			delete(m.open, key)
			continue
		}
		if m.answered[a.Shard] > 0 {
			m.t.Fatalf("attempt %v was sent after the answer", key)
		}
		m.open[key] = true
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
	if sent != m.sent || hedges != m.hedges.taken || retries != m.retries.taken {
		m.t.Fatalf("counts %d, %d, %d; seen %d, %d, %d", sent, hedges, retries, m.sent, m.hedges.taken, m.retries.taken)
	}
	if extra := sent - len(m.attempts); extra != m.hedges.taken+m.retries.taken {
		m.t.Fatalf("%d extra attempts for %d budget tokens", extra, m.hedges.taken+m.retries.taken)
	}
	if m.picker.picks-m.picker.ended != len(m.open) {
		m.t.Fatalf("%d picks without Done, %d attempts open", m.picker.picks-m.picker.ended, len(m.open))
	}
	for key := range m.open {
		if m.answered[key.shard] > 0 {
			m.t.Fatalf("attempt %v is open after the answer", key)
		}
	}
	if m.machine.Done() && len(m.open) > 0 {
		m.t.Fatalf("done with %d attempts open", len(m.open))
	}
}

// settle ends one open attempt with an answer or a failure, or repeats the end of a closed one.
func (m *model) settle(t *rapid.T) {
	if m.sent == 0 {
		return
	}
	shard := rapid.IntRange(0, len(m.plan.Map.Shards)-1).Draw(t, "shard")
	if m.attempts[shard] == 0 {
		return
	}
	key := attemptKey{shard, rapid.IntRange(0, m.attempts[shard]-1).Draw(t, "attempt")}
	var err error
	if rapid.Bool().Draw(t, "fails") {
		err = &backend.Error{Failure: backend.Refused}
	}
	wasOpen := m.open[key]
	delete(m.open, key)
	actions, taken := m.machine.Settled(key.shard, key.number, err, m.now)
	if taken != (wasOpen && err == nil) {
		t.Fatalf("result of %v taken %v, open %v, error %v", key, taken, wasOpen, err)
	}
	if taken {
		// A second answer of the shard must not be taken.
		m.answered[shard]++
		for other := range m.open {
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

// Guards against more attempts than allowed, overdrawn budgets, shards that are answered twice, losers that are
// not cancelled, picks without exactly one Done, and queries that outlive their deadline.
func TestMachineKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){"settle": m.settle, "tick": m.tick})
		m.apply(m.machine.Tick(m.deadline))
		if !m.machine.Done() {
			t.Fatalf("not done at the deadline")
		}
		for i := range m.plan.Map.Shards {
			if ok, reason := m.machine.Answered(i); ok != (m.answered[i] == 1) || !ok && reason == "" {
				t.Fatalf("shard %d: answered %v, seen %d, reason %q", i, ok, m.answered[i], reason)
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

// Guards against a waiting profile that gives a shard up although its only live replica answers within the
// deadline: the replica refuses for the first 200 ms, which must not use up all attempts.
func TestMachineWaitsForLastReplica(t *testing.T) {
	plan := scatter.Plan{
		Map: snapshot.Uniform(1, "s", 1), MaxAttempts: 5, Wait: true,
		Hedges: &bucket{}, Retries: &bucket{tokens: 10},
	}
	deadline := begin.Add(time.Second)
	m := scatter.NewMachine(&plan, fixedPicker{[]string{"only"}}, deadline)
	refused := &backend.Error{Failure: backend.Refused, Refusal: backend.Refusal{Reason: backend.RefusedShedding}}
	now := begin
	actions := m.Start(now)
	for !m.Done() {
		if len(actions) > 0 {
			var err error
			if now.Sub(begin) < 200*time.Millisecond {
				err = refused
			}
			actions, _ = m.Settled(actions[0].Shard, actions[0].Attempt, err, now)
			continue
		}
		at, ok := m.Wake()
		if !ok {
			t.Fatal("not done and no time to wake")
		}
		now = at
		actions = m.Tick(now)
	}
	if ok, reason := m.Answered(0); !ok {
		t.Fatalf("gave up after %s: %s", now.Sub(begin), reason)
	}
}

// Guards the counts that explain a budget: a retry after a refusal is a resend, one after a lost connection is not.
func TestMachineCountsResends(t *testing.T) {
	for failure, resends := range map[backend.Failure]int{backend.Refused: 1, backend.ConnectionLost: 0} {
		plan := scatter.Plan{
			Map: snapshot.Uniform(1, "s", 1), MaxAttempts: 2, Hedges: &bucket{}, Retries: &bucket{tokens: 10},
		}
		m := scatter.NewMachine(&plan, fixedPicker{[]string{"a", "b"}}, begin.Add(time.Second))
		m.Start(begin)
		m.Settled(0, 0, &backend.Error{Failure: failure}, begin)
		_, _, retries := m.Counts()
		if retries != 1 || m.Resends() != resends {
			t.Fatalf("%s: %d retries, %d resends", failure, retries, m.Resends())
		}
	}
}

// Guards against losers that keep running while the query waits for other shards: the second shard answers only
// after the loser's context has ended.
func TestRunCancelsLoser(t *testing.T) {
	plan := scatter.Plan{
		Request: "r", Version: snapshot.Version{Index: 1, Map: 1}, Map: snapshot.Uniform(1, "s", 2),
		HedgeDelay: time.Millisecond, MaxAttempts: 2, Hedges: &bucket{tokens: 2}, Retries: &bucket{},
	}
	cancelled := make(chan struct{})
	sender := senderFunc(func(ctx context.Context, replica string, sub backend.Sub) (backend.SubAnswer, error) {
		switch {
		case sub.Shard == "s-1":
			select {
			case <-cancelled:
			case <-ctx.Done():
				return backend.SubAnswer{}, ctx.Err()
			}
		case replica == "a":
			<-ctx.Done()
			close(cancelled)
			return backend.SubAnswer{}, ctx.Err()
		}
		return backend.SubAnswer{Version: sub.Version, Shard: sub.Shard}, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result := scatter.Run(ctx, plan, fixedPicker{[]string{"a", "b"}}, sender)
	if !result.Coverage.Complete {
		t.Fatalf("result %+v", result)
	}
}

type senderFunc func(ctx context.Context, replica string, sub backend.Sub) (backend.SubAnswer, error)

func (f senderFunc) Send(ctx context.Context, replica string, sub backend.Sub) (backend.SubAnswer, error) {
	return f(ctx, replica, sub)
}

// TestHedgeWaitsForEachAttempt guards the budget against hedges of attempts that have just begun: an attempt that follows
// one that never left gets a hedge only when it is itself older than the delay.
func TestHedgeWaitsForEachAttempt(t *testing.T) {
	const delay = 40 * time.Millisecond
	plan := scatter.Plan{
		Request: "r", Version: snapshot.Version{Index: 1, Map: 1}, Map: snapshot.Uniform(1, "s", 1),
		HedgeDelay: delay, MaxAttempts: 3, Hedges: &bucket{tokens: 5}, Retries: &bucket{tokens: 5},
	}
	m := scatter.NewMachine(&plan, fixedPicker{[]string{"a", "b", "c"}}, begin.Add(time.Second))
	m.Start(begin)
	again := begin.Add(30 * time.Millisecond)
	if actions, _ := m.Settled(0, 0, &backend.Error{Failure: backend.NotSent}, again); len(actions) != 1 {
		t.Fatalf("actions %v after an attempt that never left", actions)
	}
	if actions := m.Tick(begin.Add(delay)); len(actions) != 0 {
		t.Fatalf("actions %v for an attempt of 10 ms", actions)
	}
	if at, ok := m.Wake(); !ok || !at.Equal(again.Add(delay)) {
		t.Fatalf("wakes at %v, %v", at, ok)
	}
	if actions := m.Tick(again.Add(delay)); len(actions) != 1 || actions[0].Kind != scatter.ActionSend {
		t.Fatalf("actions %v for an attempt as old as the delay", actions)
	}
}
