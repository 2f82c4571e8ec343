package topology

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv"
)

// endClaim ends the lease of a daemon's claim and removes the claim from the store. The daemon gets no further lease, so
// that another daemon claims the role.
func (f *fleet) endClaim(t *testing.T, d *daemon, r *role) {
	r.mu.Lock()
	lease := r.lease
	r.mu.Unlock()
	d.storeLink.endedLease.Store(int64(lease))
	d.storeLink.refusesLeases.Store(true)
	_, err := f.store.Txn(context.Background(), kv.Txn{Deletes: []string{r.key}})
	must.NoError(t, err)
}

// TestLostCentreClaimReleasesFleetRole guards against a fleet reader that loses the claim to its data centre while its claim
// to the fleet role is still valid, as after a freeze that is shorter than one of the two leases. It stopped reading the
// store but kept the fleet role, so the other daemons followed it without an election, and it followed them.
func TestLostCentreClaimReleasesFleetRole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.delay = 2 * time.Millisecond
		defer f.stopAll()
		first := f.start("d0", "c0")
		testseed.Sleep(3 * time.Second)
		all := []*daemon{first, f.start("d1", "c0"), f.start("d2", "c0"), f.start("d3", "c1"), f.start("d4", "c2")}
		testseed.Sleep(8 * time.Second)
		must.True(t, first.feed.roles[0].isHeld())
		must.True(t, first.feed.roles[1].isHeld())
		f.endClaim(t, first, first.feed.roles[0])
		testseed.Sleep(propagationLimit)
		reader := slices.IndexFunc(all, func(d *daemon) bool { return d.feed.roles[1].isHeld() })
		must.Positive(t, reader, must.Sprint("another daemon holds the fleet role"))
		must.True(t, all[reader].feed.roles[0].isHeld())
		must.False(t, first.feed.roles[1].isHeld())
		for i := range 5 {
			version := int64(2 + i)
			id := fmt.Sprintf("r%d", i)
			f.putConfig(t, version)
			f.putServer(t, id, balancer.Draining)
			testseed.Sleep(propagationLimit)
			for _, d := range all {
				must.Eq(t, version, d.version(), must.Sprint(d.name))
				must.True(t, d.knowsLeaving(id), must.Sprint(d.name, " ", id))
			}
		}
	})
}

// TestPullsNeverMakeListsYounger guards against daemons that pull from each other and confirm each other's lists without a
// read of the store. Each pull ignored the duration of the transfer, so the list appeared newer to each daemon than to the
// one before.
func TestPullsNeverMakeListsYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.delay = 2*time.Millisecond + 200*time.Microsecond
		var ring []*daemon
		for i := range 3 {
			d := &daemon{name: fmt.Sprintf("d%d", i)}
			f.addDaemon(d, f.store, "c", 0, nil)
			ring = append(ring, d)
		}
		must.True(t, ring[0].feed.readServers(t.Context(), fresh))
		view, _ := ring[0].dir.View()
		readAt := view.ReadAt
		for i := range 120 {
			from, to := ring[i%3], ring[(i+1)%3]
			must.NoError(t, to.feed.pull(t.Context(), from.name, "", minPullWait))
			view, _ := to.dir.View()
			must.Positive(t, view.Generation)
			must.False(t, view.ReadAt.After(readAt), must.Sprintf("pull %d: the list appears to be read %v later than it was",
				i, view.ReadAt.Sub(readAt)))
		}
	})
}

// TestAgeOfListFromEarlierVersion guards against lists that appear stale during a rolling update: a daemon of an earlier
// version holds a pull for more than a second and does not state so, which must not count as the age of its list.
func TestAgeOfListFromEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		testseed.Sleep(maxPullWait)
		var earlier, present pullResponse
		must.NoError(t, json.Unmarshal([]byte(`{"age_ms":10}`), &earlier))
		must.NoError(t, json.Unmarshal([]byte(`{"age_ms":10,"held_ms":1100}`), &present))
		must.Eq(t, 10*time.Millisecond, time.Since(earlier.readAt(begin)))
		must.Eq(t, maxPullWait-1100*time.Millisecond+10*time.Millisecond, time.Since(present.readAt(begin)))
	})
}
