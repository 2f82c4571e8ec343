package confsync_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/internal/confbench"
)

// TestRestoredStoreConverges guards against a change that is confirmed after the store came back from an older copy and is not in
// force on every node in time: its own revision in the store is lower than those that the nodes have.
func TestRestoredStoreConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, confbench.Options{
			Nodes: rapid.IntRange(1, 14).Draw(t, "nodes"), DataCentres: 3, Regions: 2, Seed: rapid.Uint64().Draw(t, "seed"),
		})
		for i := range 6 {
			f.put(i)
		}
		f.run(3 * time.Second)
		copied := f.net.Store.Revision()
		for range rapid.IntRange(1, 40).Draw(t, "lost") {
			f.put(rapid.IntRange(0, 11).Draw(t, "profile"))
		}
		f.remove(rapid.IntRange(0, 5).Draw(t, "removed"))
		f.run(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "ms before")) * time.Millisecond)
		f.net.Store.Restore(copied)
		// What the commits before did is lost, so that they no longer say which items are fresh.
		f.staleReadsUntil = f.net.Now().Add(2 * convergenceBound)
		f.run(time.Duration(rapid.IntRange(0, 3_000).Draw(t, "ms after")) * time.Millisecond)
		for range rapid.IntRange(1, 5).Draw(t, "changes") {
			f.put(rapid.IntRange(0, 11).Draw(t, "changed"))
		}
		f.run(convergenceBound)
		f.checkConverged()
	})
}

// TestRestartAfterRestoredStore guards against a node that starts while the store is away and rejects what its peers have from
// the new era as implausible.
func TestRestartAfterRestoredStore(t *testing.T) {
	f := newFleet(t, options(7))
	f.put(1)
	f.run(3 * time.Second)
	copied := f.net.Store.Revision()
	f.put(1)
	f.run(3 * time.Second)
	f.net.Store.Restore(copied)
	f.staleReadsUntil = f.net.Now().Add(time.Hour)
	f.put(2)
	f.run(convergenceBound)
	f.net.Store.SetDown(true)
	f.restart(3)
	f.run(3 * time.Second)
	s := f.net.Hosts[3].Node.Status(f.net.Now())
	must.True(t, s.Ready)
	must.Eq(t, f.net.Store.Revision(), s.Revision)
	must.NotEq(t, confsync.Unknown, s.State)
}
