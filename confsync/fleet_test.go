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

// bound is the time within which an accepted change is in force everywhere.
const bound = 11 * time.Second

// fleet drives a network and holds the oracle's view.
type fleet struct {
	t   must.T
	net *confbench.Network
	// held is the highest revision that each node applied since its start.
	held    []map[string]int64
	commits []commit
	// laggedUntil is the time until which freshness is not promised, because the store served old revisions.
	laggedUntil time.Time
}

type commit struct {
	at       time.Time
	key      string
	revision int64
	deleted  bool
}

func newFleet(t must.T, opts confbench.Options) *fleet {
	f := &fleet{t: t, held: make([]map[string]int64, opts.Nodes)}
	opts.GossipRound = 200 * time.Millisecond
	opts.OnChange = f.applied
	for i := range f.held {
		f.held[i] = make(map[string]int64)
	}
	f.net = confbench.New(opts)
	return f
}

// applied is the oracle of guarantee 8: no node steps back on any key.
func (f *fleet) applied(node int, item confsync.Item) {
	if old := f.held[node][item.Key]; item.Revision < old {
		f.t.Fatalf("node %d stepped back on %s from %d to %d", node, item.Key, old, item.Revision)
	}
	f.held[node][item.Key] = item.Revision
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
	f.held[i] = make(map[string]int64)
	f.net.Start(i)
}

// run lets time pass and checks what the nodes report on the way.
func (f *fleet) run(d time.Duration) {
	for end := f.net.Now().Add(d); f.net.Now().Before(end); {
		f.net.Run(min(500*time.Millisecond, end.Sub(f.net.Now())))
		if f.net.Store.Lag > 0 {
			f.laggedUntil = f.net.Now().Add(2 * bound)
		}
		f.checkFreshness()
	}
}

// checkFreshness fails if a node's confirmation is younger than a change that the node does not hold.
func (f *fleet) checkFreshness() {
	if f.net.Now().Before(f.laggedUntil) {
		return
	}
	for _, h := range f.net.Hosts {
		s := h.Node.Status(f.net.Now())
		if !h.Up || s.State != confsync.Fresh {
			continue
		}
		// A batch of a watch is up to the store's delay old when it arrives.
		asOf := f.net.Now().Add(-s.Age - f.net.Store.Delay - 10*time.Millisecond)
		for i := range 12 {
			f.checkKey(h, key(i), asOf)
		}
	}
}

// checkKey fails if the node's item is not one that the store had at asOf or later.
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
		f.t.Fatalf("node %d is fresh as of %s ago with %s live %t at %d, which was replaced before",
			h.Index, f.net.Now().Sub(asOf), key, live, got.Revision)
	}
}

// checkCurrent fails if a node that is up lacks an accepted change.
func (f *fleet) checkCurrent() {
	items := f.net.Store.Items()
	for _, h := range f.net.Hosts {
		if !h.Up {
			continue
		}
		s := h.Node.Status(f.net.Now())
		if !s.Ready || s.State != confsync.Fresh {
			f.t.Fatalf("node %d: %+v", h.Index, s)
		}
		for k, want := range items {
			got, ok := h.Node.Replica().Get(k)
			if !ok || got.Revision != want.ModRevision || string(got.Value) != string(want.Value) {
				f.t.Fatalf("node %d has %s at %d, the store at %d", h.Index, k, got.Revision, want.ModRevision)
			}
		}
		for i := range 12 {
			if _, ok := items[key(i)]; ok {
				continue
			}
			if got, ok := h.Node.Replica().Get(key(i)); ok {
				f.t.Fatalf("node %d has %s at %d, which was deleted", h.Index, got.Key, got.Revision)
			}
		}
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	f.net.Store.SetDown(false)
	f.net.Store.Delay = 0
	f.net.Store.Lag = 0
	f.net.Faults = confbench.Faults{}
	f.net.Split = false
	for _, h := range f.net.Hosts {
		h.Cut = false
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
			f.net.Hosts[node.Draw(t, "node")].Cut = flag.Draw(t, "cut")
			f.net.MembersLater()
		},
		"split": func(t *rapid.T) { f.net.Split = flag.Draw(t, "split"); f.net.MembersLater() },
		"notices": func(t *rapid.T) {
			f.net.Faults = confbench.Faults{
				Loss: rapid.Float64Range(0, 0.5).Draw(t, "loss"), Duplicate: rapid.Float64Range(0, 1).Draw(t, "dup"),
				NoticeDelay: time.Duration(rapid.IntRange(0, 9_000).Draw(t, "ms")) * time.Millisecond,
			}
		},
	}
}

// TestFleetUnderFaults guards against a node that steps back, that claims to be current without being so, or
// that does not get an accepted change within the bound after the faults end.
func TestFleetUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, confbench.Options{
			Nodes: rapid.IntRange(1, 14).Draw(t, "nodes"), DataCentres: 3, Regions: 2, Seed: rapid.Uint64().Draw(t, "seed"),
		})
		for i := range 4 {
			f.put(i)
		}
		f.run(3 * time.Second)
		t.Repeat(f.actions(t))
		f.heal()
		f.run(bound)
		f.checkCurrent()
	})
}
