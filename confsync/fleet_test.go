package confsync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/internal/confbench"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// convergenceBound is the time within which an accepted change must be in force on all nodes.
const convergenceBound = 11 * time.Second

// fleet runs a simulated network and records what its oracles need.
type fleet struct {
	t   must.T
	net *confbench.Network
	// lastRevision is the last revision of each key that a node applied since its start, by node.
	lastRevision []map[string]int64
	commits      []commit
	// staleReadsUntil is the time until which freshness is not guaranteed, because the store served old revisions.
	staleReadsUntil time.Time
}

type commit struct {
	at       time.Time
	key      string
	revision int64
	deleted  bool
}

func newFleet(t must.T, opts confbench.Options) *fleet {
	f := &fleet{t: t, lastRevision: make([]map[string]int64, opts.Nodes)}
	opts.GossipRound = 200 * time.Millisecond
	opts.OnChange = f.checkRevision
	for i := range f.lastRevision {
		f.lastRevision[i] = make(map[string]int64)
	}
	f.net = confbench.NewNetwork(opts)
	return f
}

// checkRevision is the oracle of guarantee 8: no node ever applies a lower revision of a key.
func (f *fleet) checkRevision(node int, item confsync.Item) {
	if old := f.lastRevision[node][item.Key]; item.Revision < old {
		f.t.Fatalf("node %d applied a lower revision of %s: %d, then %d", node, item.Key, old, item.Revision)
	}
	f.lastRevision[node][item.Key] = item.Revision
}

func key(i int) string { return fmt.Sprintf("%sprofiles/p%02d", confbench.Prefix, i) }

func (f *fleet) put(i int) {
	revision := f.net.Store.Put(key(i), []byte(fmt.Sprint("v", f.net.Store.Revision()+1)))
	f.commits = append(f.commits, commit{f.net.Now(), key(i), revision, false})
}

func (f *fleet) remove(i int) {
	if _, ok := f.net.Store.Items()[key(i)]; !ok {
		return
	}
	f.net.Store.Delete(key(i))
	f.commits = append(f.commits, commit{f.net.Now(), key(i), f.net.Store.Revision(), true})
}

func (f *fleet) restart(i int) {
	f.net.Stop(i)
	f.lastRevision[i] = make(map[string]int64)
	f.net.Start(i)
}

// run advances the time and checks the reported freshness of the nodes every 500 ms.
func (f *fleet) run(d time.Duration) {
	for end := f.net.Now().Add(d); f.net.Now().Before(end); {
		f.net.Advance(min(500*time.Millisecond, end.Sub(f.net.Now())))
		if f.net.Store.Lag > 0 {
			f.staleReadsUntil = f.net.Now().Add(2 * convergenceBound)
		}
		f.checkFreshness()
	}
}

// checkFreshness fails if a node's confirmation is newer than a change that the node does not have.
func (f *fleet) checkFreshness() {
	if f.net.Now().Before(f.staleReadsUntil) {
		return
	}
	for _, h := range f.net.Hosts {
		s := h.Node.Status(f.net.Now())
		if !h.Running || s.State != confsync.Fresh {
			continue
		}
		// A watch batch can be as old as the store's delay when it arrives.
		asOf := f.net.Now().Add(-s.ConfirmationAge - f.net.Store.Delay - 10*time.Millisecond)
		for i := range 12 {
			f.checkKey(h, key(i), asOf)
		}
	}
}

// checkKey fails if the store has not had the node's item at asOf or later.
func (f *fleet) checkKey(h *confbench.Host, key string, asOf time.Time) {
	got, live := h.Node.Replica().Get(key)
	allowed := !live
	for _, c := range f.commits {
		if c.key != key {
			continue
		}
		same := c.deleted && !live || live && c.revision == got.Revision
		allowed = same || allowed && c.at.After(asOf)
	}
	if !allowed {
		f.t.Fatalf("node %d reports its copy as fresh as of %s ago, but its %s (exists: %t, revision %d) had been replaced before",
			h.Index, f.net.Now().Sub(asOf), key, live, got.Revision)
	}
}

// checkConverged fails if a running node does not have all accepted changes.
func (f *fleet) checkConverged() {
	items := f.net.Store.Items()
	for _, h := range f.net.Hosts {
		if !h.Running {
			continue
		}
		s := h.Node.Status(f.net.Now())
		if !s.Ready || s.State != confsync.Fresh {
			f.t.Fatalf("node %d is not ready and fresh: %+v", h.Index, s)
		}
		for k, want := range items {
			got, ok := h.Node.Replica().Get(k)
			if !ok || got.Revision != want.ModRevision || string(got.Value) != string(want.Value) {
				f.t.Fatalf("node %d has %s at revision %d, the store at revision %d", h.Index, k, got.Revision, want.ModRevision)
			}
		}
		for i := range 12 {
			if _, ok := items[key(i)]; ok {
				continue
			}
			if got, ok := h.Node.Replica().Get(key(i)); ok {
				f.t.Fatalf("node %d has %s at revision %d, but the key was deleted", h.Index, got.Key, got.Revision)
			}
		}
	}
}

// endFaults removes all injected faults.
func (f *fleet) endFaults() {
	f.net.Store.SetDown(false)
	f.net.Store.Delay = 0
	f.net.Store.Lag = 0
	f.net.Faults = confbench.Faults{}
	f.net.Partitioned = false
	for _, h := range f.net.Hosts {
		h.Isolated = false
	}
	f.net.UpdateMembers()
}

func (f *fleet) actions(t *rapid.T) map[string]func(*rapid.T) {
	node := rapid.IntRange(0, len(f.net.Hosts)-1)
	flag := rapid.Bool()
	profile := rapid.IntRange(0, 11)
	return map[string]func(*rapid.T){
		"put":     func(t *rapid.T) { f.put(profile.Draw(t, "profile")) },
		"putMore": func(t *rapid.T) { f.put(profile.Draw(t, "profile")) },
		"delete":  func(t *rapid.T) { f.remove(profile.Draw(t, "profile")) },
		"wait":    func(t *rapid.T) { f.run(time.Duration(rapid.IntRange(50, 6_000).Draw(t, "ms")) * time.Millisecond) },
		"down":    func(t *rapid.T) { f.net.Store.SetDown(flag.Draw(t, "down")) },
		"slow": func(t *rapid.T) {
			f.net.Store.Delay = time.Duration(rapid.IntRange(0, 3_000).Draw(t, "ms")) * time.Millisecond
		},
		"breakAll":  func(t *rapid.T) { f.net.Store.BreakWatches() },
		"compact":   func(t *rapid.T) { f.net.Store.BreakWatches(); f.net.Store.Compact() },
		"staleRead": func(t *rapid.T) { f.net.Store.Lag = int64(rapid.IntRange(0, 8).Draw(t, "lag")) },
		"restart":   func(t *rapid.T) { f.restart(node.Draw(t, "node")) },
		"cut": func(t *rapid.T) {
			f.net.Hosts[node.Draw(t, "node")].Isolated = flag.Draw(t, "cut")
			f.net.ScheduleMemberUpdate()
		},
		"split": func(t *rapid.T) { f.net.Partitioned = flag.Draw(t, "split"); f.net.ScheduleMemberUpdate() },
		"notices": func(t *rapid.T) {
			f.net.Faults = confbench.Faults{
				Loss: rapid.Float64Range(0, 0.5).Draw(t, "loss"), Duplicate: rapid.Float64Range(0, 1).Draw(t, "dup"),
				NoticeDelay: time.Duration(rapid.IntRange(0, 9_000).Draw(t, "ms")) * time.Millisecond,
			}
		},
	}
}

// TestFleetConvergesAfterFaults guards against a node that applies a lower revision, that reports a fresh copy while
// a change is missing, or that lacks an accepted change convergenceBound after the faults end.
func TestFleetConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, confbench.Options{
			Nodes: rapid.IntRange(1, 14).Draw(t, "nodes"), DataCentres: 3, Regions: 2, Seed: rapid.Uint64().Draw(t, "seed"),
		})
		for i := range 4 {
			f.put(i)
		}
		f.run(3 * time.Second)
		t.Repeat(f.actions(t))
		f.endFaults()
		f.run(convergenceBound)
		f.checkConverged()
	})
}
