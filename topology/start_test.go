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

// laggingStore serves stale reads from a state that is older by lag, and adds up the price of all calls. It is safe for
// concurrent use.
type laggingStore struct {
	kv.Store
	lag time.Duration
	// tenths is the price of the calls so far, in tenths of a full call.
	tenths atomic.Int64
	mu     sync.Mutex
	states []state
	// kinds counts the calls by kind.
	kinds map[string]int
}

type state struct {
	at    time.Time
	items map[string]kv.Item
}

// Prices of calls in tenths of a full call.
const (
	fullPrice    = 10
	reducedPrice = 1
)

// callTime is how long the store takes for a call.
const callTime = 4 * time.Millisecond

func (s *laggingStore) pay(tenths int64, kind string) {
	s.mu.Lock()
	s.kinds[kind]++
	s.mu.Unlock()
	s.tenths.Add(tenths)
	testseed.Wait(callTime)
}

// record keeps the states that stale reads are served from, until ctx ends.
func (s *laggingStore) record(ctx context.Context) {
	for ctx.Err() == nil {
		items, _, err := s.Store.List(ctx, "")
		if err == nil {
			one := state{time.Now(), make(map[string]kv.Item, len(items))}
			for _, i := range items {
				one.items[i.Key] = i
			}
			s.mu.Lock()
			s.states = append(s.states, one)
			s.mu.Unlock()
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// before returns the newest state that is older than lag.
func (s *laggingStore) before() map[string]kv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-s.lag)
	for _, one := range slices.Backward(s.states) {
		if !one.at.After(at) {
			return one.items
		}
	}
	return s.states[0].items
}

func (s *laggingStore) GetStale(_ context.Context, key string) (kv.Item, bool, error) {
	s.pay(reducedPrice, "GetStale")
	item, ok := s.before()[key]
	return item, ok, nil
}

func (s *laggingStore) ListStale(_ context.Context, prefix string) ([]kv.Item, int64, error) {
	s.pay(reducedPrice, "ListStale")
	var items []kv.Item
	for _, i := range s.before() {
		if strings.HasPrefix(i.Key, prefix) {
			items = append(items, i)
		}
	}
	return items, 0, nil
}

func (s *laggingStore) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	s.pay(fullPrice, "Get")
	return s.Store.Get(ctx, key)
}

func (s *laggingStore) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	s.pay(fullPrice, "List")
	return s.Store.List(ctx, prefix)
}

func (s *laggingStore) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.pay(fullPrice, "Txn")
	return s.Store.Txn(ctx, txn)
}

func (s *laggingStore) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	s.pay(fullPrice, "Grant")
	return s.Store.Grant(ctx, ttl)
}

func (s *laggingStore) KeepAlive(ctx context.Context, id kv.LeaseID) (bool, error) {
	s.pay(reducedPrice, "KeepAlive")
	return s.Store.KeepAlive(ctx, id)
}

// TestStartOfAFleetCostsFewCalls answers the pattern of all daemons starting at once, at the first start and after a loss
// of power, beside a store whose stale reads are seconds old: the calls grow by the two reads of each daemon at a tenth of
// the price, not by reads and claims of each. Measured at 195 daemons before: 780 calls at their price in the first
// seconds.
func TestStartOfAFleetCostsFewCalls(t *testing.T) {
	const (
		centres = 6
		// perDaemon and fixed bound the price in full calls: two stale reads and a look at the claim, and what the readers
		// of the data centres and the fleet need.
		perDaemon = 0.4
		fixed     = 120
	)
	for _, n := range []int{7, 79, 195} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.stopAll()
			s := &laggingStore{Store: f.store, lag: 1500 * time.Millisecond, kinds: make(map[string]int)}
			recording, end := context.WithCancel(t.Context())
			defer end()
			go s.record(recording)
			testseed.Wait(time.Second)
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
			for _, kind := range []string{"first start", "loss of power"} {
				before := s.tenths.Load()
				all := startAll()
				testseed.Wait(300 * time.Millisecond)
				for _, d := range all {
					view, _ := d.dir.View()
					must.True(t, view.Known(), must.Sprint(d.name, " is not ready after 300 ms"))
				}
				testseed.Wait(11700 * time.Millisecond)
				for _, d := range all {
					view, _ := d.dir.View()
					must.Less(t, bound, time.Since(view.ReadAt), must.Sprint(d.name))
					must.Eq(t, n, view.Daemons(), must.Sprint(d.name))
				}
				t.Logf("%s of %d daemons: %.1f calls at their price", kind, n, float64(s.tenths.Load()-before)/fullPrice)
				price := float64(s.tenths.Load()-before) / fullPrice
				must.LessEq(t, fixed+perDaemon*float64(n), price, must.Sprintf("%s of %d daemons: %v", kind, n, s.kinds))
				f.killAll(maps.Clone(f.daemons))
				testseed.Wait(time.Second)
			}
		})
	}
}

// TestStartUsesNoReplicaThatHadLeft guards callers against a daemon that starts beside others and a store whose stale reads
// are seconds old: a replica that left longer ago than leaving has to be known is in no view that it serves with.
func TestStartUsesNoReplicaThatHadLeft(t *testing.T) {
	const left = "r3"
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		f.delay = 24 * time.Millisecond
		s := &laggingStore{Store: f.store, lag: 5 * time.Second, kinds: make(map[string]int)}
		recording, end := context.WithCancel(t.Context())
		defer end()
		go s.record(recording)
		testseed.Wait(time.Second)
		f.startAt(s, "d0", "c0")
		f.startAt(s, "d1", "c1", "d0")
		testseed.Wait(6 * time.Second)
		f.putServer(t, left, balancer.Draining)
		testseed.Wait(bound + time.Second)
		d := f.startAt(s, "d2", "c1", "d0")
		for range 200 {
			testseed.Wait(time.Millisecond)
			view, _ := d.dir.View()
			must.True(t, !view.Known() || d.knows(left), must.Sprint("the daemon serves with a list in which ", left, " is ready"))
		}
	})
}

// TestStaleListsAreNotPassedOn answers the pattern of a start of all daemons at once: those that look for a fresh list ask
// each other often, and a daemon whose own list is no fresher sends it only to one that has none.
func TestStaleListsAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fuzzedFeed(t)
		lists := func(r pullRequest) int {
			answer, _ := f.answer(r)
			return len(answer.Servers)
		}
		look := pullRequest{Node: "d2", Digest: 1}
		must.Eq(t, 2, lists(look), must.Sprint("a fresh list"))
		testseed.Wait(staleCentre)
		must.Eq(t, 0, lists(look))
		must.Eq(t, 2, lists(pullRequest{Node: "d2"}), must.Sprint("the other daemon has none"))
		must.Eq(t, 2, lists(pullRequest{Node: "d2", Digest: 1, Scope: f.self.DataCentre}), must.Sprint("a follower"))
	})
}
