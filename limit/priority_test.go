package limit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// fixedLoad is a ClassLoad that reports the same ratio for all routes.
type fixedLoad struct {
	saturated bool
	ratio     float64
}

func (l fixedLoad) Saturated() bool          { return l.saturated }
func (l fixedLoad) WaitRatio(string) float64 { return l.ratio }

func (fixedLoad) WorkRatio(string) float64 { return 1 }

// TestPriorityThrottleWithOneRank guards deployments without priorities: with one rank, even load and accounts of equal demand, each
// decision is that of a Throttle of the route, however long queries have to wait.
func TestPriorityThrottleWithOneRank(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkSameDecisions(rt, []int{1, 1}, rapid.Float64Range(0, 3).Draw(rt, "ratio")) })
}

// TestPriorityThrottleWithoutShortage guards queries of lower ranks while replicas have room: each decision is that of a Throttle of
// the route.
func TestPriorityThrottleWithoutShortage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { checkSameDecisions(rt, []int{0, 1}, 0) })
}

// checkSameDecisions compares the decisions on queries of two routes with the ranks with those of a Throttle per route.
func checkSameDecisions(rt *rapid.T, ranks []int, ratio float64) {
	now, p := time.Unix(1000, 0), NewPriorityThrottle()
	throttles := []*Throttle{NewThrottle(), NewThrottle()}
	for i := range rapid.IntRange(1, 300).Draw(rt, "queries") {
		now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(rt, "pause")) * time.Millisecond)
		k := i % 2
		class := Class{Route: fmt.Sprint(k), Rank: ranks[k]}
		draw, saturated := rapid.Float64Range(0, 0.999).Draw(rt, "draw"), rapid.Bool().Draw(rt, "saturated")
		want := throttles[k].Admit(draw, func() bool { return saturated }, now)
		got := p.Admit(class, fmt.Sprint(i%5), draw, fixedLoad{saturated, ratio}, now)
		must.Eq(rt, want, got.Refusal == Admitted)
		if want {
			served := rapid.Bool().Draw(rt, "served")
			throttles[k].Done(served, now)
			p.Done(class, served, now)
		}
	}
}

// TestLowerRankYieldsFirst guards a higher rank that is refused while a lower one is admitted: from each refusal of a higher rank on,
// queries of lower ranks for shards without room are admitted with the probability of their floor at most, and that is less than the
// fraction admitted of the higher rank, or a share of what all are served.
func TestLowerRankYieldsFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now, p := time.Unix(1000, 0), NewPriorityThrottle()
		high, low := Class{"a", 0}, Class{"b", 1}
		load := fixedLoad{true, rapid.Float64Range(0.01, 3).Draw(rt, "ratio")}
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(rt, "pause")) * time.Millisecond)
			class := rapid.SampledFrom([]Class{high, low}).Draw(rt, "class")
			decision := p.Admit(class, "", rapid.Float64Range(0, 0.999).Draw(rt, "draw"), load, now)
			if decision.Refusal == Admitted {
				p.Done(class, rapid.Bool().Draw(rt, "served"), now)
			}
			if class == high && decision.Refusal != Admitted {
				floor := p.floor(p.class(low, now), now)
				must.LessEq(rt, floorShare/minSuccess, floor)
				must.NotEq(rt, Admitted, p.Admit(low, "", max(0, 1-floor-0.1), load, now).Refusal)
			}
		}
	})
}

// modelKind is a kind of query in a model of the load pattern.
type modelKind struct {
	class   Class
	account string
	// rate is in queries per second, work in seconds of the scarcest shard, target in seconds.
	rate, work, target float64
	asked, served      float64
	refused            map[Refusal]int
}

func (k *modelKind) share() float64 { return k.served / k.asked }

// model is a queue in front of the scarcest shard, which all kinds share. It implements ClassLoad.
type model struct {
	throttle *PriorityThrottle
	rng      *rand.Rand
	now      time.Time
	// backlog is the work in the queue in seconds. Reports of it are reportAge old.
	backlog float64
	reports []float64
	kinds   []*modelKind
	pending []modelOutcome
}

type modelOutcome struct {
	at     time.Time
	class  Class
	served bool
}

const (
	modelTick      = 5 * time.Millisecond
	modelReportAge = 20 // ticks
	// modelQueue is the work at which the replica refuses.
	modelQueue = 0.6
)

func newModel(seed uint64, kinds ...*modelKind) *model {
	return &model{throttle: NewPriorityThrottle(), rng: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), kinds: kinds}
}

func (m *model) reported() float64 { return m.reports[max(0, len(m.reports)-modelReportAge)] }

// Saturated implements ClassLoad.
func (m *model) Saturated() bool { return m.reported() > 0.03 }

// WorkRatio implements ClassLoad.
func (m *model) WorkRatio(string) float64 { return 1 }

// WaitRatio implements ClassLoad.
func (m *model) WaitRatio(route string) float64 {
	i := slices.IndexFunc(m.kinds, func(k *modelKind) bool { return k.class.Route == route })
	return m.reported() / (m.kinds[i].target - m.kinds[i].work)
}

// run lets the kinds ask for the duration and counts anew.
func (m *model) run(d time.Duration) {
	for _, k := range m.kinds {
		k.asked, k.served, k.refused = 0, 0, make(map[Refusal]int)
	}
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelTick) {
		m.backlog = max(0, m.backlog-modelTick.Seconds())
		m.reports = append(m.reports, m.backlog)
		m.pending = slices.DeleteFunc(m.pending, func(o modelOutcome) bool {
			if o.at.After(m.now) {
				return false
			}
			if o.served || m.Saturated() {
				m.throttle.Done(o.class, o.served, m.now)
			}
			return true
		})
		for _, k := range m.kinds {
			for range m.poisson(k.rate * modelTick.Seconds()) {
				m.ask(k)
			}
		}
	}
}

func (m *model) ask(k *modelKind) {
	k.asked++
	if refusal := m.throttle.Admit(k.class, k.account, m.rng.Float64(), m, m.now).Refusal; refusal != Admitted {
		k.refused[refusal]++
		return
	}
	if m.backlog > modelQueue {
		m.pending = append(m.pending, modelOutcome{m.now, k.class, false})
		return
	}
	m.backlog += k.work
	served := m.backlog <= k.target
	if served {
		k.served++
	}
	m.pending = append(m.pending, modelOutcome{m.now.Add(time.Duration(min(m.backlog, k.target) * float64(time.Second))), k.class, served})
}

func (m *model) poisson(mean float64) (n int) {
	for p := m.rng.Float64(); p > math.Exp(-mean); p *= m.rng.Float64() {
		n++
	}
	return n
}

// shareOfAll returns the share of all queries that were served.
func (m *model) shareOfAll() float64 {
	var asked, served float64
	for _, k := range m.kinds {
		asked += k.asked
		served += k.served
	}
	return served / asked
}

// TestNoKindBelowFloor guards kinds of the lowest ranks: whatever the ranks above them ask for, each kind is served at least a quarter
// of the share of all, and the highest rank the most.
func TestNoKindBelowFloor(t *testing.T) {
	for name, rates := range map[string][]float64{
		"mixed": {40, 30, 10}, "mostly high": {120, 10, 10}, "mostly low": {20, 20, 80}, "high only just fits": {70, 70, 70},
	} {
		m := newModel(1,
			&modelKind{class: Class{"short", 0}, rate: rates[0], work: 0.009, target: 0.094},
			&modelKind{class: Class{"long", 1}, rate: rates[1], work: 0.028, target: 0.36},
			&modelKind{class: Class{"batch", 2}, rate: rates[2], work: 0.02, target: 0.36})
		m.run(10 * time.Second)
		m.run(60 * time.Second)
		all := m.shareOfAll()
		t.Logf("%s: all %.3f, short %.3f, long %.3f, batch %.3f", name, all, m.kinds[0].share(), m.kinds[1].share(), m.kinds[2].share())
		for _, k := range m.kinds {
			must.GreaterEq(t, 0.25*all, k.share(), must.Sprint(name, k.class))
		}
		must.GreaterEq(t, max(m.kinds[1].share(), m.kinds[2].share()), m.kinds[0].share(), must.Sprint(name))
	}
}

// TestBurstLeavesWorstServedKind guards the kind that is served least against a burst of any kind to five times its usual demand: once
// the burst is known, after two seconds, the kind's share is no lower than before by more than a tenth. If it has the burst itself, as
// many of its queries are served as before.
func TestBurstLeavesWorstServedKind(t *testing.T) {
	for bursting := range 3 {
		m := newModel(uint64(bursting+1),
			&modelKind{class: Class{"short", 0}, rate: 40, work: 0.009, target: 0.094},
			&modelKind{class: Class{"long", 1}, rate: 20, work: 0.028, target: 0.36},
			&modelKind{class: Class{"batch", 1}, rate: 10, work: 0.02, target: 0.36})
		m.run(20 * time.Second)
		m.run(20 * time.Second)
		worst := slices.MinFunc(m.kinds, func(a, b *modelKind) int { return cmp.Compare(a.share(), b.share()) })
		before, servedBefore := worst.share(), worst.served
		m.kinds[bursting].rate *= 5
		m.run(2 * time.Second)
		m.run(20 * time.Second)
		t.Logf("burst of %v: worst %v before %.3f; during: short %.3f, long %.3f, batch %.3f", m.kinds[bursting].class, worst.class,
			before, m.kinds[0].share(), m.kinds[1].share(), m.kinds[2].share())
		if worst == m.kinds[bursting] {
			must.GreaterEq(t, 0.9*servedBefore, worst.served)
		} else {
			must.GreaterEq(t, 0.9*before, worst.share())
		}
		for _, k := range m.kinds {
			must.GreaterEq(t, 0.25*m.shareOfAll(), k.share(), must.Sprint(k.class))
		}
	}
}

// TestLongerDemandIsUsual guards a class whose demand has grown for good against being refused as a burst for longer than maxBurst.
func TestLongerDemandIsUsual(t *testing.T) {
	m := newModel(1, &modelKind{class: Class{"short", 0}, rate: 30, work: 0.009, target: 0.094},
		&modelKind{class: Class{"long", 0}, rate: 10, work: 0.028, target: 0.36})
	m.run(20 * time.Second)
	m.kinds[0].rate = 150
	m.run(20 * time.Second)
	must.Positive(t, m.kinds[0].refused[RefusedBurst])
	m.run(maxBurst)
	m.run(10 * time.Second)
	must.Eq(t, 0, m.kinds[0].refused[RefusedBurst])
}

// TestDemandOfAllClassesIsNoBurst guards a daemon that becomes a helper, and gets several times the queries of all classes at once.
func TestDemandOfAllClassesIsNoBurst(t *testing.T) {
	m := newModel(1, &modelKind{class: Class{"short", 0}, rate: 5, work: 0.009, target: 0.094},
		&modelKind{class: Class{"long", 1}, rate: 5, work: 0.028, target: 0.36})
	m.run(30 * time.Second)
	for _, k := range m.kinds {
		k.rate *= 8
	}
	m.run(20 * time.Second)
	must.Zero(t, m.kinds[0].refused[RefusedBurst]+m.kinds[1].refused[RefusedBurst])
}

// TestNothingRefusedWithRoom guards queries while the replicas report room: none is refused, whatever the outcomes, the demand and the
// accounts of the last seconds were.
func TestNothingRefusedWithRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now, p := time.Unix(1000, 0), NewPriorityThrottle()
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(rt, "pause")) * time.Millisecond)
			class := rapid.SampledFrom([]Class{{"a", 0}, {"b", 1}, {"c", 1}, {"a", 2}}).Draw(rt, "class")
			account := rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(rt, "account")
			for range rapid.SampledFrom([]int{1, 1, 1, 40}).Draw(rt, "count") {
				must.Eq(rt, Admitted, p.Admit(class, account, 0, fixedLoad{}, now).Refusal)
			}
			full := fixedLoad{rapid.Bool().Draw(rt, "saturated"), rapid.Float64Range(0, 3).Draw(rt, "ratio")}
			if p.Admit(class, account, rapid.Float64Range(0, 0.999).Draw(rt, "draw"), full, now).Refusal == Admitted {
				p.Done(class, rapid.Bool().Draw(rt, "served"), now)
			}
		}
	})
}

// TestSheddingChanges guards operators' log: the shedding of a rank is reported once when it starts and once when it has ended.
func TestSheddingChanges(t *testing.T) {
	now, p := time.Unix(1000, 0), NewPriorityThrottle()
	high, low := Class{"a", 0}, Class{"b", 1}
	var changes []SheddingChange
	admit := func(class Class, ratio float64) {
		now = now.Add(50 * time.Millisecond)
		changes = append(changes, p.Admit(class, "", 0, fixedLoad{ratio: ratio}, now).Changes...)
	}
	for range 20 {
		admit(high, 2)
		admit(low, 2)
	}
	must.Eq(t, []SheddingChange{{Rank: 1, Active: true}}, changes)
	for range 30 {
		admit(high, 0)
		admit(low, 0)
	}
	must.Eq(t, []SheddingChange{{Rank: 1, Active: true}, {Rank: 1, Refused: 20}}, changes)
}

// TestLargeAccountLeavesOthers guards accounts of the same rank against one that asks for ten times as much as each of them: each is
// served at least a quarter of the share of all, and the others more than the large one.
func TestLargeAccountLeavesOthers(t *testing.T) {
	var kinds []*modelKind
	for i := range 6 {
		kinds = append(kinds, &modelKind{class: Class{"long", 1}, account: fmt.Sprint("a", i), rate: 8, work: 0.028, target: 0.36})
	}
	kinds[0].rate = 80
	m := newModel(1, kinds...)
	m.run(20 * time.Second)
	m.run(40 * time.Second)
	all := m.shareOfAll()
	for _, k := range kinds {
		t.Logf("%s: %.3f of %.0f, all %.3f", k.account, k.share(), k.asked, all)
		must.GreaterEq(t, 0.25*all, k.share())
		must.GreaterEq(t, kinds[0].share(), k.share())
	}
}
