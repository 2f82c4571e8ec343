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

func names(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("entry-%04d", i)
	}
	return ids
}

// TestSumWithinLimit guards against more connections than a replica accepts while counted sets differ.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 60).Draw(t, "all"))
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

// TestAgreedSetsUseTheLimit guards against connections that nobody may use, and against owners without a connection.
func TestAgreedSetsUseTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(1, 60).Draw(t, "all"))
		limit := rapid.IntRange(0, 100).Draw(t, "limit")
		set := share.NewSet(all)
		table := share.NewTable(all[0], []string{"replica-1"})
		table.SetCounted(all)
		if got := table.Connections(limit, "replica-1"); got != set.Connections(limit, "replica-1", all[0]) {
			t.Fatalf("table gives %d connections", got)
		}
		owners := set.Owners(limit, "replica-1")
		sum := 0
		for _, self := range all {
			c := set.Connections(limit, "replica-1", self)
			sum += c
			if slices.Contains(owners, self) != (c > 0) {
				t.Fatalf("%s holds %d connections, owners %v", self, c, owners)
			}
		}
		if sum != limit {
			t.Fatalf("%d connections, limit %d", sum, limit)
		}
	})
}

// TestSharesAreEven guards against a hash that gives some daemons far more connections than others.
func TestSharesAreEven(t *testing.T) {
	set := share.NewSet(names(100))
	total := make(map[string]int)
	for r := range 400 {
		for _, owner := range set.Owners(40, fmt.Sprintf("replica-%d", r)) {
			total[owner]++
		}
	}
	// The mean is 160 with a standard deviation of 10; 5 deviations are allowed.
	for id, c := range total {
		must.Between(t, 110, c, 210, must.Sprint(id))
	}
	must.MapLen(t, 100, total)
}

const (
	maxLag = 10 * time.Second
	limit  = 7
)

// machine is the truth about one daemon in the model.
type machine struct {
	id      string
	started time.Time
	ended   time.Time
	side    int
	paused  bool
	// Lags of the lists that this daemon reads.
	memberLag, listLag time.Duration
	// early is how much earlier than its end the platform's list drops the VM.
	early   time.Duration
	counted *share.Counted
}

func (m *machine) runs(at time.Time) bool {
	return !at.Before(m.started) && (m.ended.IsZero() || at.Before(m.ended))
}

// model is a fleet whose lists lag. The member list loses the other side during a cut. The platform's list is
// frozen only while no cut is in force, as both together are outside the guarantee.
type model struct {
	now    time.Time
	all    []*machine
	cut    bool
	healed time.Time
	frozen time.Time
}

func (w *model) members(m *machine) []string {
	var ids []string
	for _, o := range w.all {
		if o.runs(w.now.Add(-m.memberLag)) && !o.paused && (!w.cut || o.side == m.side) {
			ids = append(ids, o.id)
		}
	}
	return ids
}

func (w *model) listed(m *machine) []string {
	at := w.now
	if !w.frozen.IsZero() {
		at = w.frozen
	}
	at = at.Add(-m.listLag)
	var ids []string
	for _, o := range w.all {
		if o.runs(at) && (o.ended.IsZero() || at.Before(o.ended.Add(-o.early))) {
			ids = append(ids, o.id)
		}
	}
	return ids
}

func (w *model) step(seconds int) {
	for range seconds {
		w.now = w.now.Add(time.Second)
		for _, m := range w.all {
			if m.runs(w.now) && !m.paused {
				m.counted.Update(w.now, w.members(m), w.listed(m))
			}
		}
	}
}

func (w *model) start(t *rapid.T) {
	m := &machine{id: fmt.Sprintf("entry-%d", len(w.all)), started: w.now, side: len(w.all) % 2}
	m.memberLag = time.Duration(rapid.IntRange(0, int(maxLag/time.Second)).Draw(t, "member lag")) * time.Second
	m.listLag = time.Duration(rapid.IntRange(0, int(maxLag/time.Second)).Draw(t, "list lag")) * time.Second
	m.early = time.Duration(rapid.IntRange(0, int(maxLag/time.Second)).Draw(t, "early")) * time.Second
	m.counted = share.NewCounted(m.id, 0, 0)
	m.counted.Join(w.now)
	w.all = append(w.all, m)
}

func (w *model) check(t *rapid.T) {
	sum := 0
	for _, m := range w.all {
		if m.runs(w.now) {
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

func (w *model) some(t *rapid.T) *machine { return rapid.SampledFrom(w.all).Draw(t, "machine") }

// TestCountedSetsOverTime guards against shares above the limit while daemons join, end and pause, the regions are
// cut, and both lists lag or are frozen.
func TestCountedSetsOverTime(t *testing.T) {
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
			"pause":    func(t *rapid.T) { w.some(t).paused = true },
			"resume":   func(t *rapid.T) { w.some(t).paused = false },
			"cut":      func(*rapid.T) { w.cut = w.frozen.IsZero() },
			"heal":     func(*rapid.T) { w.heal() },
			"freeze":   func(*rapid.T) { w.freeze() },
			"unfreeze": func(*rapid.T) { w.frozen = time.Time{} },
			"end": func(t *rapid.T) {
				w.end(w.some(t), rapid.IntRange(0, 20).Draw(t, "s"))
			},
			"":          w.check,
			"step once": func(*rapid.T) { w.step(1) },
		})
	})
}

func (w *model) heal() {
	if w.cut {
		w.healed = w.now
	}
	w.cut = false
}

func (w *model) freeze() {
	if !w.cut && w.frozen.IsZero() && w.now.Sub(w.healed) > share.DefaultJoinDelay {
		w.frozen = w.now
	}
}

func (w *model) end(m *machine, after int) {
	if m.ended.IsZero() {
		m.ended = w.now.Add(time.Duration(after) * time.Second)
	}
}

// TestPausedDaemonHoldsNoShare guards against a daemon that resumes with the share of a set that dropped it.
func TestPausedDaemonHoldsNoShare(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := share.NewCounted("a", 0, 0)
	c.Join(now)
	for range 40 {
		now = now.Add(time.Second)
		c.Update(now, []string{"a", "b"}, nil)
	}
	must.Eq(t, 20, c.Connections(now, 40, "r"))
	now = now.Add(share.DefaultHold)
	must.Zero(t, c.Connections(now, 40, "r"))
	c.Update(now, []string{"a", "b"}, nil)
	must.Zero(t, c.Connections(now, 40, "r"))
}

// TestPausedJoinerWaitsAgain guards against a daemon that is paused during its join delay and then uses a share
// without having seen the lists, which may have shown a member that still runs.
func TestPausedJoinerWaitsAgain(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := share.NewCounted("a", 0, 0)
	c.Join(now)
	now = now.Add(share.DefaultJoinDelay)
	c.Update(now, []string{"a"}, nil)
	must.Zero(t, c.Connections(now, 40, "r"))
	for range int(share.DefaultJoinDelay / time.Second) {
		now = now.Add(time.Second)
		c.Update(now, []string{"a"}, nil)
	}
	must.Eq(t, 40, c.Connections(now, 40, "r"))
}

// TestShareNeedsUpdateAfterDelay guards against a daemon that was paused shortly before the end of its join delay and
// counts as using its share while it saw no list.
func TestShareNeedsUpdateAfterDelay(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := share.NewCounted("a", 0, 0)
	c.Join(now)
	for range int(share.DefaultJoinDelay/time.Second) - 2 {
		now = now.Add(time.Second)
		c.Update(now, []string{"a"}, nil)
	}
	now = now.Add(2 * time.Second)
	must.Zero(t, c.Connections(now, 40, "r"))
	c.Update(now, []string{"a"}, nil)
	must.Eq(t, 40, c.Connections(now, 40, "r"))
}
