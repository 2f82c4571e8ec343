package topology

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv"
)

// laggingStore serves stale reads from a state that is older by lag, and adds up the costs of all calls. It is safe for
// concurrent use.
type laggingStore struct {
	kv.Store
	lag time.Duration
	// costTenths is the total cost of the calls so far, in tenths of a full call.
	costTenths atomic.Int64
	mu         sync.Mutex
	snapshots  []snapshot
	// callsByKind counts the calls by method.
	callsByKind map[string]int
}

// snapshot is the content of the store at one time.
type snapshot struct {
	at    time.Time
	items map[string]kv.Item
}

// Costs of calls in tenths of a full call.
const (
	fullCost    = 10
	reducedCost = 1
)

// callDuration is the duration of a call to the store.
const callDuration = 4 * time.Millisecond

// charge adds the cost of a call and waits for its duration.
func (s *laggingStore) charge(costTenths int64, kind string) {
	s.mu.Lock()
	s.callsByKind[kind]++
	s.mu.Unlock()
	s.costTenths.Add(costTenths)
	testseed.Sleep(callDuration)
}

// recordSnapshots records the snapshots for stale reads until ctx is done.
func (s *laggingStore) recordSnapshots(ctx context.Context) {
	for ctx.Err() == nil {
		items, _, err := s.Store.List(ctx, "")
		if err == nil {
			snap := snapshot{time.Now(), make(map[string]kv.Item, len(items))}
			for _, i := range items {
				snap.items[i.Key] = i
			}
			s.mu.Lock()
			s.snapshots = append(s.snapshots, snap)
			s.mu.Unlock()
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// staleItems returns the items of the newest snapshot that is at least lag old.
func (s *laggingStore) staleItems() map[string]kv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-s.lag)
	for _, snap := range slices.Backward(s.snapshots) {
		if !snap.at.After(at) {
			return snap.items
		}
	}
	return s.snapshots[0].items
}

func (s *laggingStore) GetStale(_ context.Context, key string) (kv.Item, bool, error) {
	s.charge(reducedCost, "GetStale")
	item, ok := s.staleItems()[key]
	return item, ok, nil
}

func (s *laggingStore) ListStale(_ context.Context, prefix string) ([]kv.Item, int64, error) {
	s.charge(reducedCost, "ListStale")
	var items []kv.Item
	for _, i := range s.staleItems() {
		if strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	return items, 0, nil
}

func (s *laggingStore) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	s.charge(fullCost, "Get")
	return s.Store.Get(ctx, key)
}

func (s *laggingStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	s.charge(fullCost, "List")
	return s.Store.List(ctx, prefix)
}

func (s *laggingStore) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.charge(fullCost, "Txn")
	return s.Store.Txn(ctx, txn)
}

func (s *laggingStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.charge(fullCost, "Grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *laggingStore) KeepAlive(ctx context.Context, id kv.LeaseID) (bool, error) {
	s.charge(reducedCost, "KeepAlive")
	return s.Store.KeepAlive(ctx, id)
}

// TestSimultaneousStartLimitsStoreCost guards against a load peak on the store when all daemons start at the same time, at
// first or after a power loss, while stale reads of the store lag by seconds. Each daemon may add two reads at a tenth of the
// cost, but no full reads and claims: with these, 195 daemons cost 780 full calls in the first seconds.
func TestSimultaneousStartLimitsStoreCost(t *testing.T) {
	const (
		centres = 6
		// perDaemon and fixed bound the cost in full calls: perDaemon covers two stale reads and a stale read of the claim,
		// fixed the calls of the data centres' readers and the fleet reader.
		perDaemon = 0.4
		fixed     = 120
	)
	for _, n := range []int{7, 79, 195} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.stopAll()
			s := &laggingStore{Store: f.store, lag: 1500 * time.Millisecond, callsByKind: make(map[string]int)}
			recording, end := context.WithCancel(t.Context())
			defer end()
			go s.recordSnapshots(recording)
			testseed.Sleep(time.Second)
			var contacts []string
			for c := range min(3, centres) {
				contacts = append(contacts, fmt.Sprintf("d%d", c))
			}
			startAll := func() (all []*daemon) {
				for i := range n {
					all = append(all, f.startAt(s, fmt.Sprintf("d%d", i), fmt.Sprintf("c%d", i%centres), contacts...))
				}
				return all
			}
			for _, kind := range []string{"first start", "power loss"} {
				costBefore := s.costTenths.Load()
				all := startAll()
				testseed.Sleep(300 * time.Millisecond)
				for _, d := range all {
					view, _ := d.dir.View()
					must.True(t, view.IsComplete(), must.Sprint(d.name, " is not ready after 300 ms"))
				}
				testseed.Sleep(11700 * time.Millisecond)
				for _, d := range all {
					view, _ := d.dir.View()
					must.Less(t, propagationLimit, time.Since(view.ReadAt), must.Sprint(d.name))
					must.Eq(t, n, view.Daemons(), must.Sprint(d.name))
				}
				t.Logf("%s of %d daemons: cost of %.1f full calls", kind, n, float64(s.costTenths.Load()-costBefore)/fullCost)
				cost := float64(s.costTenths.Load()-costBefore) / fullCost
				must.LessEq(t, fixed+perDaemon*float64(n), cost, must.Sprintf("%s of %d daemons: %v", kind, n, s.callsByKind))
				f.killAll(maps.Clone(f.daemons))
				testseed.Sleep(time.Second)
			}
		})
	}
}

// TestStartIgnoresDepartedReplicas guards against a daemon that starts with a stale list from the store while other daemons
// have a fresh one, and then serves with replicas that left longer ago than propagationLimit.
func TestStartIgnoresDepartedReplicas(t *testing.T) {
	const departed = "r3"
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.delay = 24 * time.Millisecond
		s := &laggingStore{Store: f.store, lag: 5 * time.Second, callsByKind: make(map[string]int)}
		recording, end := context.WithCancel(t.Context())
		defer end()
		go s.recordSnapshots(recording)
		testseed.Sleep(time.Second)
		f.startAt(s, "d0", "c0")
		f.startAt(s, "d1", "c1", "d0")
		testseed.Sleep(6 * time.Second)
		f.putServer(t, departed, balancer.Draining)
		testseed.Sleep(propagationLimit + time.Second)
		d := f.startAt(s, "d2", "c1", "d0")
		for range 200 {
			testseed.Sleep(time.Millisecond)
			view, _ := d.dir.View()
			must.True(t, !view.IsComplete() || d.knowsLeaving(departed),
				must.Sprint("the daemon serves with a list that contains ", departed, " as ready"))
		}
	})
}

// TestStaleListsAreNotForwarded guards against unnecessary transfers when all daemons start at the same time. They pull from
// each other often to find a fresh list; a daemon whose own list is stale sends it only to a daemon without one.
func TestStaleListsAreNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newReaderFeed(t)
		lists := func(r pullRequest) int {
			response, _ := f.buildResponse(r)
			return len(response.Servers)
		}
		lookup := pullRequest{Node: "d2", Digest: 1}
		must.Eq(t, 2, lists(lookup), must.Sprint("a fresh list"))
		testseed.Sleep(centreStaleAfter)
		must.Eq(t, 0, lists(lookup))
		must.Eq(t, 2, lists(pullRequest{Node: "d2"}), must.Sprint("the other daemon has no list"))
		must.Eq(t, 2, lists(pullRequest{Node: "d2", Digest: 1, Scope: f.self.DataCentre}), must.Sprint("a follower"))
	})
}
