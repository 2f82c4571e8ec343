package topology

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv"
)

const (
	// daemonDelay is the round-trip time between two daemons of different regions.
	daemonDelay = 24 * time.Millisecond
	// observationInterval is the time between two looks at the views of all daemons.
	observationInterval = 20 * time.Millisecond
	// reregistrationTime is the time after the return of the store within which live replicas are listed again.
	reregistrationTime = 1900 * time.Millisecond
	// contactTime is the time after a disruption of a daemon for which the bounds do not hold for it.
	contactTime = 5 * time.Second
)

// disruption keeps a daemon from reading the store although the store is available. begin starts it and returns its end.
type disruption struct {
	name  string
	begin func(f *fleet, d *daemon) (end func())
}

// setLinks sets the state of links and returns a function that restores them.
func setLinks(state linkState, links ...interface{ Store(int32) }) (end func()) {
	for _, l := range links {
		l.Store(int32(state))
	}
	return func() {
		for _, l := range links {
			l.Store(int32(linkUp))
		}
	}
}

var disruptions = []disruption{
	{"stands still", func(_ *fleet, d *daemon) func() { return d.still.begin() }},
	{"store refuses", func(_ *fleet, d *daemon) func() { return setLinks(linkRefusing, &d.storeLink.link) }},
	{"store silent", func(_ *fleet, d *daemon) func() { return setLinks(linkSilent, &d.storeLink.link) }},
	{"store slow", func(_ *fleet, d *daemon) func() { return setLinks(linkSlow, &d.storeLink.link) }},
	{"cut off from all", func(_ *fleet, d *daemon) func() {
		return setLinks(linkSilent, &d.storeLink.link, &d.network, &d.outgoing)
	}},
	{"cut off one way", func(_ *fleet, d *daemon) func() { return setLinks(linkSilent, &d.network, &d.storeLink.link) }},
}

// startGapFleet starts two daemons in each of three data centres and waits until they have elected their readers.
func startGapFleet(t must.T) (*fleet, []*daemon) {
	f := newFleet(t)
	f.delay = daemonDelay
	var all []*daemon
	for i := range 6 {
		all = append(all, f.start(fmt.Sprintf("d%d", i), fmt.Sprintf("c%d", i%3), "d0", "d1", "d2"))
	}
	testseed.Sleep(10 * time.Second)
	return f, all
}

// holderOf returns the daemon that holds a role: 1 for the fleet reader, 0 for the reader of a data centre that is not the fleet reader.
func holderOf(t must.T, all []*daemon, level int) *daemon {
	for _, d := range all {
		if d.feed.roles[level].isHeld() && (level == 1 || !d.feed.roles[1].isHeld()) {
			return d
		}
	}
	t.Fatalf("nobody holds the role of level %d", level)
	return nil
}

// watchViews looks at the views of all daemons for a time and returns the first failure that check reports, empty if there is none.
func watchViews(all []*daemon, duration time.Duration, check func(d *daemon) string) string {
	for end := time.Now().Add(duration); time.Now().Before(end); testseed.Sleep(observationInterval) {
		for _, d := range all {
			if failure := check(d); failure != "" {
				return d.name + ": " + failure
			}
		}
	}
	return ""
}

// TestDepartedReplicasStayAway guards against replicas that come back on daemons that had removed them, or stay for too long, because a
// reader did not read the store for a while: it took the gap for an outage of the store, and its followers took its list as the newer one.
func TestDepartedReplicasStayAway(t *testing.T) {
	const duration = 2700 * time.Millisecond
	for level, role := range []string{"reader of a data centre", "reader of the fleet"} {
		for _, disruption := range disruptions {
			for _, offset := range []time.Duration{100, 900, 1700, 2600} {
				offset *= time.Millisecond
				t.Run(fmt.Sprintf("%s/%s/%v", role, disruption.name, offset), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f, all := startGapFleet(t)
						defer f.stopAll()
						disrupted := holderOf(t, all, level)
						end := disruption.begin(f, disrupted)
						begin := time.Now()
						time.AfterFunc(duration, end)
						testseed.Sleep(offset)
						f.removeServer(t, "r0")
						removedAt := time.Now()
						hasRemoved := make(map[*daemon]bool)
						failure := watchViews(all, duration+contactTime+3*time.Second, func(d *daemon) string {
							if d == disrupted && time.Since(begin) < duration+contactTime {
								return ""
							}
							leaves := d.knowsLeaving("r0")
							switch {
							case hasRemoved[d] && !leaves:
								return fmt.Sprintf("the replica is back %v after it left", time.Since(removedAt))
							case !leaves && time.Since(removedAt) > propagationLimit:
								return fmt.Sprintf("the replica is in use %v after it left", time.Since(removedAt))
							}
							hasRemoved[d] = leaves
							return ""
						})
						must.Eq(t, "", failure)
					})
				})
			}
		}
	}
}

// TestReplicasThatLapsedInOutageStay guards against the opposite fault: live replicas whose entries lapse in an outage of the store are
// dropped until they are listed again, because the daemon that reads first after the outage did not notice it itself. A replica that does
// not come back is removed.
func TestReplicasThatLapsedInOutageStay(t *testing.T) {
	const outage = 3500 * time.Millisecond
	none := disruption{"nothing", func(*fleet, *daemon) func() { return func() {} }}
	for level, role := range []string{"reader of a data centre", "reader of the fleet"} {
		for _, disruption := range append([]disruption{none}, disruptions...) {
			for _, state := range []linkState{linkRefusing, linkSilent} {
				for _, overhang := range []time.Duration{-600, 0, 700} {
					overhang *= time.Millisecond
					t.Run(fmt.Sprintf("%s/%s/%d/%v", role, disruption.name, state, overhang), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							f, all := startGapFleet(t)
							defer f.stopAll()
							disrupted := holderOf(t, all, level)
							end := disruption.begin(f, disrupted)
							testseed.Sleep(200 * time.Millisecond)
							f.available.Store(int32(state))
							outageBegin := time.Now()
							time.AfterFunc(outage+overhang, end)
							testseed.Sleep(outage - 200*time.Millisecond)
							for _, id := range []string{"r0", "r1", "r2"} {
								f.removeServer(t, id)
							}
							testseed.Sleep(200 * time.Millisecond)
							f.available.Store(int32(linkUp))
							time.AfterFunc(reregistrationTime, func() {
								f.putServer(t, "r0", balancer.Ready)
								f.putServer(t, "r1", balancer.Ready)
							})
							failure := watchViews(all, 12*time.Second, func(d *daemon) string {
								since := time.Since(outageBegin) - outage
								switch {
								case d.knowsLeaving("r0") || d.knowsLeaving("r1"):
									return fmt.Sprintf("a live replica is dropped %v after the end of the outage", since)
								case since > reregistrationGrace+contactTime && !d.knowsLeaving("r2"):
									return fmt.Sprintf("a replica that did not come back is in use %v after the outage", since)
								}
								return ""
							})
							must.Eq(t, "", failure)
						})
					})
				}
			}
		}
	}
}

// flakyStore fails the first fresh reads of the list after a stale one.
type flakyStore struct {
	kv.Store
	stale    []kv.Item
	failures int
	// succeeded is closed at the first fresh read of the list.
	succeeded chan struct{}
	once      sync.Once
}

func (s *flakyStore) GetStale(ctx context.Context, key string) (kv.Item, bool, error) {
	return s.Get(ctx, key)
}

func (s *flakyStore) ListStale(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if prefix == testKeys.Servers {
		return s.stale, 1, nil
	}
	return s.List(ctx, prefix)
}

func (s *flakyStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if prefix == testKeys.Servers && s.failures > 0 {
		s.failures--
		return nil, 0, kv.ErrUnavailable
	}
	if prefix == testKeys.Servers {
		defer s.once.Do(func() { close(s.succeeded) })
	}
	return s.Store.List(ctx, prefix)
}

// TestStaleReadIsNoOutage guards against departed replicas that a starting daemon keeps: its first list may be seconds old, and the next
// read of the store looked like the first one after an outage, also when one read in between failed.
func TestStaleReadIsNoOutage(t *testing.T) {
	for failures := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.stopAll()
			stale, _, err := f.store.List(t.Context(), testKeys.Servers)
			must.NoError(t, err)
			f.removeServer(t, "r0")
			store := &flakyStore{Store: f.store, stale: stale, failures: failures, succeeded: make(chan struct{})}
			d := f.startAt(store, "d0", "c0")
			<-store.succeeded
			testseed.Sleep(observationInterval)
			must.True(t, d.knowsLeaving("r0"), must.Sprint(failures, " failed reads"))
		})
	}
}

// TestStaleListIsNoAnswer guards against a starting daemon that holds its first list from the store back: the list that it had pulled came
// from a stale read, which is dated back, so that there seemed to be a gap since, and nobody answered its question about it.
func TestStaleListIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		var both []*daemon
		for i := range 2 {
			d := &daemon{name: fmt.Sprint("d", i)}
			f.addDaemon(d, f.store, "c0", 0, []string{"d0"})
			both = append(both, d)
		}
		must.True(t, both[0].feed.readServers(t.Context(), allowStale))
		must.NoError(t, both[1].feed.pull(t.Context(), "d0", "", 0))
		f.removeServer(t, "r0")
		both[0].network.Store(int32(linkSilent))
		must.True(t, both[1].feed.readServers(t.Context(), fresh))
		must.True(t, both[1].knowsLeaving("r0"))
	})
}
