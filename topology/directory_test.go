package topology

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/routing"
)

// TestSetConfigRejectsOlderVersion guards against a daemon that replaces its configuration by an older one from another
// daemon.
func TestSetConfigRejectsOlderVersion(t *testing.T) {
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

// withMark returns the servers marked as missing.
func withMark(servers []balancer.Server) []balancer.Server {
	for i := range servers {
		servers[i].Missing = true
	}
	return servers
}

// TestSetServersKeepsMissingEntriesAfterOutage guards against the loss of live replicas whose leases expired during an
// outage of the store: their entries are kept for reregistrationGrace after the outage, marked, and removed afterwards.
func TestSetServersKeepsMissingEntriesAfterOutage(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	d.RecordStoreAnswer(at)
	d.SetServers(List{Servers: servers("a", "b"), ReadAt: at})
	at = at.Add(outageThreshold + time.Second)
	d.RecordStoreFailure(at.Add(-time.Second))
	d.RecordStoreAnswer(at)
	change, applied := d.SetServers(List{Servers: servers("a"), ReadAt: at})
	must.True(t, applied)
	must.Eq(t, Change{Kept: 1}, change)
	view, _ := d.View()
	must.Eq(t, append(servers("a"), withMark(servers("b"))...), view.Servers)
	at = at.Add(reregistrationGrace - time.Millisecond)
	change, _ = d.SetServers(List{Servers: servers("a"), ReadAt: at})
	must.Eq(t, 1, change.Kept)
	change, _ = d.SetServers(List{Servers: servers("a"), ReadAt: at.Add(time.Millisecond)})
	must.Eq(t, Change{Removed: 1}, change)
	view, _ = d.View()
	must.Len(t, 1, view.Servers)
}

// TestKeptEntryIsListedAgain guards against the mark of a replica that the store lists again after an outage, and against an entry that
// is kept once more with the time of the earlier outage.
func TestKeptEntryIsListedAgain(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	d.SetServers(List{Servers: servers("a", "b"), ReadAt: at})
	for range 2 {
		d.RecordStoreAnswer(at)
		at = at.Add(outageThreshold + time.Second)
		d.RecordStoreFailure(at.Add(-time.Second))
		d.RecordStoreAnswer(at)
		change, _ := d.SetServers(List{Servers: servers("a"), ReadAt: at})
		must.Eq(t, Change{Kept: 1}, change)
		at = at.Add(time.Second)
		d.SetServers(List{Servers: servers("a", "b"), ReadAt: at})
		view, _ := d.View()
		must.Eq(t, servers("a", "b"), view.Servers)
		at = at.Add(reregistrationGrace)
		d.SetServers(List{Servers: servers("a", "b"), ReadAt: at})
	}
	change, _ := d.SetServers(List{Servers: servers("a"), ReadAt: at.Add(time.Second)})
	must.Eq(t, Change{Removed: 1}, change)
}

// TestKeptEntryOfAnotherDaemon guards against departed replicas that come back with a list in which another daemon keeps them, and
// against the opposite: a daemon that does not know that a replica has left has to keep it too, for a limited time.
func TestKeptEntryOfAnotherDaemon(t *testing.T) {
	const other = 7
	for name, c := range map[string]struct {
		known   []balancer.Server
		removed bool
		listed  balancer.Server
		// spanBegin is the begin of the time in which the store has answered, in seconds before the first list.
		spanBegin int
		isInUse   bool
		departed  int
	}{
		"in use":               {servers("a", "b"), false, withMark(servers("b"))[0], 0, true, 0},
		"unknown":              {servers("a"), false, withMark(servers("b"))[0], 0, true, 0},
		"removed":              {servers("a", "b"), true, withMark(servers("b"))[0], 0, false, 1},
		"removed, listed":      {servers("a", "b"), true, servers("b")[0], 0, true, 0},
		"removed, other start": {servers("a", "b"), true, balancer.Server{ID: "b", StartedAtMs: other, Missing: true}, 0, true, 0},
		"no outage":            {servers("a", "b"), false, withMark(servers("b"))[0], 9, false, 1},
		"no outage, listed":    {servers("a", "b"), false, servers("b")[0], 9, true, 0},
	} {
		d := NewDirectory()
		at := time.Now()
		d.RecordStoreSpan(at.Add(-time.Duration(c.spanBegin)*time.Second), at.Add(2*time.Second))
		d.SetServers(List{Servers: c.known, ReadAt: at})
		if c.removed {
			d.SetServers(List{Servers: servers("a"), ReadAt: at.Add(time.Second)})
		}
		list := List{Servers: append(servers("a"), c.listed), ReadAt: at.Add(2 * time.Second), Origin: FromDaemon}
		change, applied := d.SetServers(list)
		must.True(t, applied)
		must.Eq(t, c.departed, change.Departed, must.Sprint(name))
		must.Len(t, c.departed, d.Departed(list.Servers), must.Sprint(name, ": told to the daemon that keeps it"))
		view, _ := d.View()
		_, isInUse := byID(view.Servers)["b"]
		must.Eq(t, c.isInUse, isInUse, must.Sprint(name))
		if isInUse && c.listed.Missing {
			d.SetServers(List{Servers: servers("a"), ReadAt: at.Add(3 * time.Second)})
			view, _ = d.View()
			must.Len(t, 2, view.Servers, must.Sprint(name, ": kept on a read of its own"))
			d.SetServers(List{Servers: servers("a"), ReadAt: at.Add(2*time.Second + reregistrationGrace)})
			view, _ = d.View()
			must.Len(t, 1, view.Servers, must.Sprint(name, ": kept for a limited time"))
		}
	}
}

// TestRemoveDeparted checks which replicas a daemon removes because another one knows that they have left: those that it keeps, and
// neither listed ones nor those that were started again.
func TestRemoveDeparted(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	listed := servers("a", "b", "c")
	listed[1].Missing, listed[2].Missing, listed[2].StartedAtMs = true, true, 7
	d.SetServers(List{Servers: listed, ReadAt: at, Origin: FromDaemon})
	view, _ := d.View()
	generation := view.Generation
	must.Eq(t, 1, d.RemoveDeparted(servers("a", "b", "c", "z")))
	view, _ = d.View()
	must.Eq(t, []balancer.Server{listed[0], listed[2]}, view.Servers)
	_, _, removed, _ := d.Delta(generation)
	must.Eq(t, []string{"b"}, removed, must.Sprint("followers learn of it"))
	must.Eq(t, 0, d.RemoveDeparted(servers("b")))
}

// TestUncertainRemovalIsNotTold guards live replicas against a daemon that stood still during an outage: it does not know why their entries
// are missing, so it must not tell the daemons that keep them that they have left.
func TestUncertainRemovalIsNotTold(t *testing.T) {
	for name, gap := range map[string]time.Duration{"after a gap": outageThreshold + time.Second, "without a gap": time.Second} {
		d := NewDirectory()
		at := time.Now()
		d.RecordStoreAnswer(at)
		d.SetServers(List{Servers: servers("a", "b"), ReadAt: at})
		at = at.Add(gap)
		d.RecordStoreAnswer(at)
		change, _ := d.SetServers(List{Servers: servers("a"), ReadAt: at})
		must.Eq(t, Change{Removed: 1}, change, must.Sprint(name))
		kept := withMark(servers("b"))
		must.Eq(t, gap <= outageThreshold, len(d.Departed(kept)) == 1, must.Sprint(name))
	}
}

// TestRevisionsOrderLists guards against an older list that replaces a newer one because its age is unknown: the daemon that serves it
// was suspended with its clock.
func TestRevisionsOrderLists(t *testing.T) {
	at := time.Now()
	for name, c := range map[string]struct {
		revision int64
		after    time.Duration
		applied  bool
	}{
		"older revision":           {9, time.Second, false},
		"newer revision":           {11, -time.Second, true},
		"same revision, later":     {10, time.Second, true},
		"same revision, earlier":   {10, -time.Second, false},
		"unknown revision":         {0, time.Second, true},
		"unknown revision, before": {0, -time.Second, false},
	} {
		d := NewDirectory()
		d.SetServers(List{Servers: servers("a"), ReadAt: at, Revision: 10})
		_, applied := d.SetServers(List{Servers: servers("a", "b"), ReadAt: at.Add(c.after), Revision: c.revision, Origin: FromDaemon})
		must.Eq(t, c.applied, applied, must.Sprint(name))
	}
}

// TestOutdatedEntriesAfterRestore checks which listed entries are used while the store, back from an older copy, may not have been
// written again: none that is older than the known one of its replica, and none of a start that has left.
func TestOutdatedEntriesAfterRestore(t *testing.T) {
	entry := func(started, sequence int64, state balancer.State) balancer.Server {
		return balancer.Server{ID: "a", Service: "s", Address: "10.0.0.1:1", StartedAtMs: started, Sequence: sequence, State: state}
	}
	for name, c := range map[string]struct {
		known    balancer.Server
		hasLeft  bool
		listed   balancer.Server
		outdated int
	}{
		"older report":         {entry(1, 7, balancer.Draining), false, entry(1, 5, balancer.Ready), 1},
		"older start":          {entry(2, 1, balancer.Ready), false, entry(1, 9, balancer.Ready), 1},
		"reports not counted":  {entry(1, 0, balancer.Draining), false, entry(1, 0, balancer.Ready), 1},
		"newer report":         {entry(1, 7, balancer.Draining), false, entry(1, 8, balancer.Ready), 0},
		"newer start":          {entry(1, 7, balancer.Draining), false, entry(2, 1, balancer.Ready), 0},
		"same entry":           {entry(1, 7, balancer.Ready), false, entry(1, 7, balancer.Ready), 0},
		"left":                 {entry(1, 7, balancer.Draining), true, entry(1, 5, balancer.Ready), 1},
		"left and reports":     {entry(1, 7, balancer.Draining), true, entry(1, 8, balancer.Ready), 0},
		"left, another start":  {entry(1, 7, balancer.Draining), true, entry(2, 1, balancer.Ready), 0},
		"unknown to this view": {balancer.Server{ID: "b"}, false, entry(1, 5, balancer.Ready), 0},
	} {
		d := NewDirectory()
		at := time.Now()
		d.ObserveEra(1, at, FromStore)
		d.SetServers(List{Servers: append(servers("z"), c.known), ReadAt: at})
		at = at.Add(time.Second)
		if c.hasLeft {
			d.SetServers(List{Servers: servers("z"), ReadAt: at})
		}
		at = at.Add(time.Second)
		d.ObserveEra(2, at, FromStore)
		change, applied := d.SetServers(List{Servers: append(servers("z"), c.listed), ReadAt: at})
		must.True(t, applied)
		must.Eq(t, c.outdated, change.Outdated, must.Sprint(name))
		change, _ = d.SetServers(List{Servers: append(servers("z"), c.listed), ReadAt: at.Add(restoredGrace)})
		must.Eq(t, 0, change.Outdated, must.Sprint(name, ": the store is believed again"))
	}
}

// TestSetServersRejectsOlderList guards against a list that is replaced by an older one from another daemon.
func TestSetServersRejectsOlderList(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	_, applied := d.SetServers(List{Servers: servers("a"), ReadAt: at})
	must.True(t, applied)
	_, applied = d.SetServers(List{Servers: servers("a", "b"), ReadAt: at.Add(-time.Second)})
	must.False(t, applied)
}

// TestDeltasReproduceList guards against followers whose list diverges from the reader's: a delta applied to the follower's
// list yields the reader's list, whatever changed between two pulls and whichever changes the reader no longer records.
func TestDeltasReproduceList(t *testing.T) {
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
					list = append(list, balancer.Server{ID: id, State: rapid.SampledFrom([]balancer.State{balancer.Ready,
						balancer.Draining}).Draw(t, "state")})
				}
			}
			at = at.Add(time.Second)
			d.SetServers(List{Servers: list, ReadAt: at})
			if rapid.IntRange(0, 9).Draw(t, "forget") == 0 {
				d.deltaBase = d.view.Generation
			}
			if rapid.Bool().Draw(t, "pull") {
				view, changed, removed, whole := d.Delta(generation)
				if whole || generation == 0 {
					held = view.Servers
				} else {
					held = applyDelta(held, changed, removed)
				}
				generation = view.Generation
				must.SliceContainsAll(t, view.Servers, held)
				must.Len(t, len(view.Servers), held)
			}
		}
	})
}

// TestDrainingReplicaKeepsLastReadyAt guards the time from which new work to a leaving replica is limited. It is the
// time of the last list with the replica as ready, regardless of later lists with it as draining, and zero if it was
// never ready.
func TestDrainingReplicaKeepsLastReadyAt(t *testing.T) {
	d := NewDirectory()
	at := time.Now()
	list := servers("a", "b")
	list[1].State = balancer.Draining
	d.SetServers(List{Servers: list, ReadAt: at})
	for i := range 3 {
		draining := servers("a", "b")
		draining[0].State, draining[1].State = balancer.Draining, balancer.Draining
		d.SetServers(List{Servers: draining, ReadAt: at.Add(time.Duration(i+1) * time.Second), Origin: FromDaemon})
		view, _ := d.View()
		must.Eq(t, at, view.Servers[0].LastReadyAt)
		must.True(t, view.Servers[1].LastReadyAt.IsZero())
	}
	d.SetServers(List{Servers: servers("a", "b"), ReadAt: at.Add(5 * time.Second)})
	view, _ := d.View()
	must.True(t, view.Servers[0].LastReadyAt.IsZero(), must.Sprint("the replica is ready again"))
}
