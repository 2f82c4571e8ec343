package topology

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/routing"
)

const (
	// rewriteDelay is the time after the return of the store until the operator and the replicas write again what it has lost.
	rewriteDelay = 2 * time.Second
	// inForceTime is the time within which a new configuration and a leaving replica have to be known.
	inForceTime = 3 * time.Second
)

// putStartedServer writes the entry of a replica with its start and the number of its writes.
func (f *fleet) putStartedServer(t must.T, id string, state balancer.State, sequence int64) {
	put(t, f.store, testKeys.Servers+id, map[string]any{
		"ID": id, "Service": "s", "Address": "10.0.0.1:1", "State": state, "Born": 1000, "Sequence": sequence,
	})
}

func (f *fleet) removeServer(t must.T, id string) {
	_, err := f.store.Txn(context.Background(), kv.Txn{Deletes: []string{testKeys.Servers + id}})
	must.NoError(t, err)
}

// startRestoredFleet starts daemons in two data centres and lets the store lose what was written after the returned copy: a
// replica has drained, another one has left, and the configuration is at version 3.
func startRestoredFleet(t *testing.T) (*fleet, []*daemon, kvtest.Copy) {
	f := newFleet(t)
	f.putStartedServer(t, "drained", balancer.Ready, 5)
	f.putStartedServer(t, "left", balancer.Ready, 5)
	var all []*daemon
	for i := range 6 {
		all = append(all, f.start(fmt.Sprint("d", i), fmt.Sprint("c", i%2), "d0", "d1"))
	}
	testseed.Sleep(5 * time.Second)
	older := f.store.Copy()
	f.putStartedServer(t, "drained", balancer.Draining, 7)
	f.removeServer(t, "left")
	f.putStartedServer(t, "new", balancer.Ready, 1)
	f.putConfig(t, 2)
	f.putConfig(t, 3)
	testseed.Sleep(inForceTime)
	for _, d := range all {
		must.True(t, d.knowsLeaving("drained"))
		must.True(t, d.knowsLeaving("left"))
		must.Eq(t, 3, d.version())
	}
	return f, all, older
}

// TestRestoredStoreRevivesNoReplica guards replicas that leave against new requests: a store that comes back from an older
// copy lists them as ready until they are written again, and their daemons know better.
func TestRestoredStoreRevivesNoReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all, older := startRestoredFleet(t)
		defer f.stopAll()
		f.store.Restore(older)
		for range rewriteDelay / (50 * time.Millisecond) {
			testseed.Sleep(50 * time.Millisecond)
			for _, d := range all {
				must.True(t, d.knowsLeaving("drained"), must.Sprint(d.name, " lists a draining replica as ready"))
				must.True(t, d.knowsLeaving("left"), must.Sprint(d.name, " lists a replica that has left"))
				must.False(t, d.knowsLeaving("new"), must.Sprint(d.name, " does not list a replica that started after the copy"))
			}
		}
		f.putStartedServer(t, "drained", balancer.Draining, 9)
		f.putStartedServer(t, "new", balancer.Ready, 3)
		f.removeServer(t, "left")
		testseed.Sleep(10 * time.Second)
		f.putStartedServer(t, "left", balancer.Ready, 1)
		testseed.Sleep(inForceTime)
		for _, d := range all {
			must.True(t, d.knowsLeaving("drained"))
			must.False(t, d.knowsLeaving("new"))
			must.False(t, d.knowsLeaving("left"), must.Sprint("an entry that is written later counts again"))
		}
	})
}

// TestRestartedReaderRevivesNoReplica guards replicas that leave against a daemon that starts while the store has an older copy
// and then reads the store for the others: it learns from them that the store came back, and what was known before.
func TestRestartedReaderRevivesNoReplica(t *testing.T) {
	for restarted := range 6 {
		synctest.Test(t, func(t *testing.T) {
			f, all, older := startRestoredFleet(t)
			defer f.stopAll()
			f.store.Restore(older)
			testseed.Sleep(1200 * time.Millisecond)
			all[restarted].store.crashed.Store(true)
			f.stop(all[restarted])
			testseed.Sleep(100 * time.Millisecond)
			all[restarted] = f.start(all[restarted].name, fmt.Sprint("c", restarted%2), "d0", "d1")
			for range 4 * time.Second / (50 * time.Millisecond) {
				testseed.Sleep(50 * time.Millisecond)
				for _, d := range all {
					view, _ := d.dir.View()
					must.True(t, view.Generation == 0 || d.knowsLeaving("drained"), must.Sprint(d.name, " lists a draining replica as ready after the restart of ", restarted))
					must.True(t, view.Generation == 0 || d.knowsLeaving("left"), must.Sprint(d.name, " lists a replica that has left after the restart of ", restarted))
				}
			}
		})
	}
}

// TestRestartDuringRestoredStore guards callers of a daemon that starts while the store has an older configuration than the
// other daemons: it serves the newest one within the time in which a change has to be in force, whoever reads the store.
func TestRestartDuringRestoredStore(t *testing.T) {
	for restarted := range 6 {
		synctest.Test(t, func(t *testing.T) {
			f, all, older := startRestoredFleet(t)
			defer f.stopAll()
			f.store.Restore(older)
			all[restarted].store.crashed.Store(true)
			f.stop(all[restarted])
			all[restarted] = f.start(all[restarted].name, fmt.Sprint("c", restarted%2), "d0", "d1")
			testseed.Sleep(inForceTime)
			for _, d := range all {
				must.Eq(t, 3, d.version(), must.Sprint(d.name, " after the restart of ", restarted))
			}
			f.putConfig(t, 3)
			f.putConfig(t, 4)
			testseed.Sleep(inForceTime)
			for _, d := range all {
				must.Eq(t, 4, d.version(), must.Sprint(d.name, " after the restart of ", restarted))
			}
		})
	}
}

// TestConfigurationAfterRestoredStore guards against a change that is written soon after the return of the store and is not
// in force: its revision is lower than the one up to which the reader had watched.
func TestConfigurationAfterRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all, older := startRestoredFleet(t)
		defer f.stopAll()
		f.store.Restore(older)
		put(t, f.store, testKeys.Config, routing.Config{Version: 4})
		for i := range 40 {
			put(t, f.store, fmt.Sprint("other/", i), i)
		}
		testseed.Sleep(inForceTime)
		for _, d := range all {
			must.Eq(t, 4, d.version(), must.Sprint(d.name))
		}
	})
}
