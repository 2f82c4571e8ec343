package share_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/share"
)

func daemonIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("entry-%04d", i)
	}
	return ids
}

// TestSharesStayWithinLimit guards against shares that add up to more connections than a replica accepts when the
// daemons count different members.
func TestSharesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := daemonIDs(rapid.IntRange(1, 60).Draw(t, "all"))
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		live := rapid.SliceOfDistinct(rapid.SampledFrom(all), rapid.ID[string]).Draw(t, "live")
		sum := 0
		for _, self := range live {
			others := rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "counted besides")
			sum += share.Connections(limit, "replica-1", self, append(slices.Clone(live), others...))
		}
		if sum > limit {
			t.Fatalf("%d connections, limit %d", sum, limit)
		}
	})
}

// TestAgreedSetsUseWholeLimit guards against connections that no daemon may use although all count the same members,
// and against owners without a connection.
func TestAgreedSetsUseWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := daemonIDs(rapid.IntRange(1, 60).Draw(t, "all"))
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		set := share.NewSet(all)
		table := share.NewTable(all[0], []string{"replica-1"})
		table.SetMembers(all)
		if got := table.Connections(limit, "replica-1"); got != set.Connections(limit, "replica-1", all[0]) {
			t.Fatalf("the table returns %d connections", got)
		}
		owners := set.Owners(limit, "replica-1")
		sum := 0
		for _, self := range all {
			c := set.Connections(limit, "replica-1", self)
			sum += c
			if slices.Contains(owners, self) != (c > 0) {
				t.Fatalf("%s has a share of %d connections, owners %v", self, c, owners)
			}
		}
		if sum != limit {
			t.Fatalf("%d connections, limit %d", sum, limit)
		}
	})
}

// TestSharesAreEven guards against a hash function that gives some daemons far more connections than others.
func TestSharesAreEven(t *testing.T) {
	set := share.NewSet(daemonIDs(100))
	total := make(map[string]int)
	for r := range 400 {
		for _, owner := range set.Owners(40, fmt.Sprintf("replica-%d", r)) {
			total[owner]++
		}
	}
	// The mean is 160 and the standard deviation 10; up to 5 standard deviations are allowed.
	for id, c := range total {
		must.Between(t, 110, c, 210, must.Sprint(id))
	}
	must.MapLen(t, 100, total)
}

const (
	maxListLag = 10 * time.Second
	limit      = 7
)

// daemon is the actual state of one daemon in the model.
type daemon struct {
	id        string
	startedAt time.Time
	endsAt    time.Time
	partition int
	paused    bool
	// memberLag and listLag are the delays of the two lists that this daemon reads.
	memberLag, listLag time.Duration
	// delistedEarly is how long before its end the VM disappears from the VM list.
	delistedEarly time.Duration
	counted       *share.Tracker
}

func (m *daemon) isRunning(at time.Time) bool {
	return !at.Before(m.startedAt) && (m.endsAt.IsZero() || at.Before(m.endsAt))
}

// model is a fleet whose lists are delayed. During a network partition, the member list does not contain the
// daemons on the other side. The VM list freezes only while there is no partition: both at once are outside the
// guarantee.
type model struct {
	now          time.Time
	all          []*daemon
	partitioned  bool
	healedAt     time.Time
	listFrozenAt time.Time
}

func (w *model) memberList(m *daemon) []string {
	var ids []string
	for _, o := range w.all {
		if o.isRunning(w.now.Add(-m.memberLag)) && !o.paused && (!w.partitioned || o.partition == m.partition) {
			ids = append(ids, o.id)
		}
	}
	return ids
}

func (w *model) vmList(m *daemon) []string {
	at := w.now
	if !w.listFrozenAt.IsZero() {
		at = w.listFrozenAt
	}
	at = at.Add(-m.listLag)
	var ids []string
	for _, o := range w.all {
		if o.isRunning(at) && (o.endsAt.IsZero() || at.Before(o.endsAt.Add(-o.delistedEarly))) {
			ids = append(ids, o.id)
		}
	}
	return ids
}

func (w *model) step(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, m := range w.all {
			if m.isRunning(w.now) && !m.paused {
				m.counted.Update(w.now, w.memberList(m), w.vmList(m))
			}
		}
	}
}

func (w *model) start(t *rapid.T) {
	m := &daemon{id: fmt.Sprintf("entry-%d", len(w.all)), startedAt: w.now, partition: len(w.all) % 2}
	m.memberLag = time.Duration(rapid.IntRange(0, int(maxListLag/time.Second)).Draw(t, "member lag")) * time.Second
	m.listLag = time.Duration(rapid.IntRange(0, int(maxListLag/time.Second)).Draw(t, "list lag")) * time.Second
	m.delistedEarly = time.Duration(rapid.IntRange(0, int(maxListLag/time.Second)).Draw(t, "early")) * time.Second
	m.counted = share.NewTracker(m.id, 0, 0)
	m.counted.StartJoinDelay(w.now)
	w.all = append(w.all, m)
}

func (w *model) checkLimit(t *rapid.T) {
	sum := 0
	for _, m := range w.all {
		if m.isRunning(w.now) {
			sum += m.counted.Connections(w.now, limit, "replica-1")
		}
		if len(m.counted.Members()) > len(w.all) {
			t.Fatalf("%s counts %d members", m.id, len(m.counted.Members()))
		}
	}
	if sum > limit {
		t.Fatalf("%d connections, limit %d", sum, limit)
	}
}

func (w *model) draw(t *rapid.T) *daemon { return rapid.SampledFrom(w.all).Draw(t, "machine") }

// TestSharesStayWithinLimitOverTime guards against shares above the limit while daemons join, end and pause, the
// network is partitioned, and the lists are delayed or frozen.
func TestSharesStayWithinLimitOverTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{now: time.Unix(1_700_000_000, 0)}
		for range 3 {
			w.start(t)
		}
		w.step(60)
		t.Repeat(map[string]func(*rapid.T){
			"step":     func(t *rapid.T) { w.step(rapid.IntRange(1, 5).Draw(t, "s")) },
			"many":     func(t *rapid.T) { w.step(rapid.IntRange(20, 90).Draw(t, "s")) },
			"start":    func(t *rapid.T) { w.start(t) },
			"pause":    func(t *rapid.T) { w.draw(t).paused = true },
			"resume":   func(t *rapid.T) { w.draw(t).paused = false },
			"cut":      func(*rapid.T) { w.partitioned = w.listFrozenAt.IsZero() },
			"heal":     func(*rapid.T) { w.heal() },
			"freeze":   func(*rapid.T) { w.freezeList() },
			"unfreeze": func(*rapid.T) { w.listFrozenAt = time.Time{} },
			"end": func(t *rapid.T) {
				w.end(w.draw(t), rapid.IntRange(0, 20).Draw(t, "s"))
			},
			"":          w.checkLimit,
			"step once": func(*rapid.T) { w.step(1) },
		})
	})
}

func (w *model) heal() {
	if w.partitioned {
		w.healedAt = w.now
	}
	w.partitioned = false
}

func (w *model) freezeList() {
	if !w.partitioned && w.listFrozenAt.IsZero() && w.now.Sub(w.healedAt) > share.DefaultJoinDelay {
		w.listFrozenAt = w.now
	}
}

func (w *model) end(m *daemon, after int) {
	if m.endsAt.IsZero() {
		m.endsAt = w.now.Add(time.Duration(after) * time.Second)
	}
}

// TestResumedDaemonUsesNoShare guards against a daemon that continues to use its share after a pause during which
// others have removed it from their counted members.
func TestResumedDaemonUsesNoShare(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := share.NewTracker("a", 0, 0)
	c.StartJoinDelay(now)
	for range 40 {
		now = now.Add(time.Second)
		c.Update(now, []string{"a", "b"}, nil)
	}
	must.Eq(t, 20, c.Connections(now, 40, "r"))
	now = now.Add(share.DefaultHoldTime)
	must.Zero(t, c.Connections(now, 40, "r"))
	c.Update(now, []string{"a", "b"}, nil)
	must.Zero(t, c.Connections(now, 40, "r"))
}

// TestPauseRestartsJoinDelay guards against a daemon that is paused during its join delay and then uses its share
// without having seen the lists, which may have contained a member that is still running.
func TestPauseRestartsJoinDelay(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := share.NewTracker("a", 0, 0)
	c.StartJoinDelay(now)
	now = now.Add(share.DefaultJoinDelay)
	c.Update(now, []string{"a"}, nil)
	must.Zero(t, c.Connections(now, 40, "r"))
	for range int(share.DefaultJoinDelay / time.Second) {
		now = now.Add(time.Second)
		c.Update(now, []string{"a"}, nil)
	}
	must.Eq(t, 40, c.Connections(now, 40, "r"))
}

// TestShareRequiresUpdateAfterJoinDelay guards against a daemon that is paused shortly before the end of its join delay
// and then uses its share without having seen the lists.
func TestShareRequiresUpdateAfterJoinDelay(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := share.NewTracker("a", 0, 0)
	c.StartJoinDelay(now)
	for range int(share.DefaultJoinDelay/time.Second) - 2 {
		now = now.Add(time.Second)
		c.Update(now, []string{"a"}, nil)
	}
	now = now.Add(2 * time.Second)
	must.Zero(t, c.Connections(now, 40, "r"))
	c.Update(now, []string{"a"}, nil)
	must.Eq(t, 40, c.Connections(now, 40, "r"))
}
