package topology

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/routing"
)

// TestVersionsNeverGoBack guards a daemon that hears an older configuration from another one.
func TestVersionsNeverGoBack(t *testing.T) {
	d := NewDirectory()
	applied, err := d.SetConfig(routing.Config{Version: 7})
	must.NoError(t, err)
	must.True(t, applied)
	applied, err = d.SetConfig(routing.Config{Version: 5})
	must.NoError(t, err)
	must.False(t, applied)
	view, _ := d.View()
	must.Eq(t, 7, view.Table.Version())
}

func servers(ids ...string) []balancer.Server {
	var all []balancer.Server
	for _, id := range ids {
		all = append(all, balancer.Server{ID: id, Service: "s", Address: "10.0.0.1:1"})
	}
	return all
}

// TestLapsedEntriesAreKeptForAWhile guards the replicas whose entries lapsed while the store was away: they count for
// returnTime after its return, and are gone afterwards.
func TestLapsedEntriesAreKeptForAWhile(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	d.SetServers(servers("a", "b"), at, FromStore)
	at = at.Add(outageAfter + time.Second)
	change, taken := d.SetServers(servers("a"), at, FromStore)
	must.True(t, taken)
	must.Eq(t, Change{Kept: 1}, change)
	at = at.Add(returnTime - time.Millisecond)
	change, _ = d.SetServers(servers("a"), at, FromStore)
	must.Eq(t, 1, change.Kept)
	change, _ = d.SetServers(servers("a"), at.Add(time.Millisecond), FromStore)
	must.Eq(t, Change{Removed: 1}, change)
	view, _ := d.View()
	must.Len(t, 1, view.Servers)
}

// TestOlderListIsNotTaken guards a fresh list against one that another daemon read before.
func TestOlderListIsNotTaken(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	_, taken := d.SetServers(servers("a"), at, FromStore)
	must.True(t, taken)
	_, taken = d.SetServers(servers("a", "b"), at.Add(-time.Second), FromStore)
	must.False(t, taken)
}

// TestDeltasGiveTheWholeList guards the followers' copies: whatever changes between two pulls, and however many changes
// the reader has forgotten, the merged list is the reader's.
func TestDeltasGiveTheWholeList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		at := time.Now()
		var held []balancer.Server
		var generation uint64
		ids := []string{"a", "b", "c", "d", "e"}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			var list []balancer.Server
			for _, id := range ids {
				if rapid.Bool().Draw(t, id) {
					list = append(list, balancer.Server{ID: id, State: rapid.SampledFrom([]balancer.State{balancer.Ready, balancer.Draining}).Draw(t, "state")})
				}
			}
			at = at.Add(time.Second)
			d.SetServers(list, at, FromStore)
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				d.known = d.view.Generation
			}
			if rapid.Bool().Draw(t, "pull") {
				view, changed, removed, whole := d.Delta(generation)
				if whole || generation == 0 {
					held = view.Servers
				} else {
					held = merged(held, changed, removed)
				}
				generation = view.Generation
				must.SliceContainsAll(t, view.Servers, held)
				must.Len(t, len(view.Servers), held)
			}
		}
	})
}

// TestDrainingReplicaKeepsItsLastReadyTime guards the time from which new work to a leaving replica is bounded: the last
// list that had it as ready, however often it is confirmed as draining, and nothing for a daemon that never saw it ready.
func TestDrainingReplicaKeepsItsLastReadyTime(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	list := servers("a", "b")
	list[1].State = balancer.Draining
	d.SetServers(list, at, FromStore)
	for i := range 3 {
		draining := servers("a", "b")
		draining[0].State, draining[1].State = balancer.Draining, balancer.Draining
		d.SetServers(draining, at.Add(time.Duration(i+1)*time.Second), FromDaemon)
		view, _ := d.View()
		must.Eq(t, at, view.Servers[0].ReadyAt)
		must.True(t, view.Servers[1].ReadyAt.IsZero())
	}
	d.SetServers(servers("a", "b"), at.Add(5*time.Second), FromStore)
	view, _ := d.View()
	must.True(t, view.Servers[0].ReadyAt.IsZero(), must.Sprint("it is ready again"))
}
