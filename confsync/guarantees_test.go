package confsync_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/internal/confbench"
)

func options(nodes int) confbench.Options {
	return confbench.Options{Nodes: nodes, DataCentres: 3, Regions: 2, Seed: 11}
}

// TestStoreCallsIndependentOfFleetSize guards against store calls that grow with the number of nodes: with the same
// data centres, 7 and 200 nodes open the same number of watches, and as many lists as watches.
func TestStoreCallsIndependentOfFleetSize(t *testing.T) {
	for _, nodes := range []int{7, 200} {
		f := newFleet(t, options(nodes))
		f.put(1)
		f.run(30 * time.Second)
		must.LessEq(t, 4, f.net.Store.Calls.OpenWatches)
		must.GreaterEq(t, 3, f.net.Store.Calls.OpenWatches)
		must.LessEq(t, 4, f.net.Store.Calls.Watches)
		must.LessEq(t, 4, f.net.Store.Calls.Lists)
		must.Eq(t, 0, f.net.Store.Calls.Verifies)
		f.checkConverged()
	}
}

// TestStartDuringStoreOutage guards against a node that becomes ready without a configuration, or with an outdated one
// if only one of its three peers has the newest.
func TestStartDuringStoreOutage(t *testing.T) {
	f := newFleet(t, options(7))
	f.put(1)
	f.run(5 * time.Second)
	f.net.Store.SetDown(true)
	f.restart(3)
	f.run(3 * time.Second)
	s := f.net.Hosts[3].Node.Status(f.net.Now())
	must.True(t, s.Ready)
	must.Eq(t, f.net.Store.Revision(), s.Revision)
	f.run(convergenceBound)
	for _, h := range f.net.Hosts {
		must.Eq(t, confsync.Stale, h.Node.Status(f.net.Now()).State)
	}
	for i := range f.net.Hosts {
		f.net.Stop(i)
	}
	for i := range f.net.Hosts {
		f.net.Start(i)
	}
	f.run(30 * time.Second)
	for _, h := range f.net.Hosts {
		must.False(t, h.Node.Status(f.net.Now()).Ready)
		must.Eq(t, confsync.Unknown, h.Node.Status(f.net.Now()).State)
	}
}

// TestStartRequiresThreePeers guards against a node that becomes ready before three peers have responded.
func TestStartRequiresThreePeers(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	self := confsync.Member{ID: "self"}
	n := confsync.NewNode(confsync.Config{Self: self})
	n.SetMembers([]confsync.Member{self, {ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}})
	n.Tick(now)
	var calls []confsync.Call
	for _, a := range n.Actions() {
		if c, ok := a.(confsync.Call); ok {
			calls = append(calls, c)
		}
	}
	must.Len(t, 3, calls)
	for _, c := range calls {
		must.False(t, n.Status(now).Ready)
		n.HandleResponse(now, c.ID, confsync.CompareResponse{Ready: true, Same: true}, nil)
		n.Tick(now)
	}
	must.True(t, n.Status(now).Ready)
}

// TestNoticesPropagateChanges guards against broken notices whose failure digest comparison would hide. Digest
// comparison takes longer than this test allows.
func TestNoticesPropagateChanges(t *testing.T) {
	f := newFleet(t, options(50))
	f.run(10 * time.Second)
	for range 5 {
		f.put(1)
		f.run(1700 * time.Millisecond)
		for _, h := range f.net.Hosts {
			must.Eq(t, f.net.Store.Revision(), h.Node.Replica().RevisionOf(key(1)))
		}
	}
}

// TestDigestComparisonPropagatesChanges guards against a broken digest comparison whose failure notices would hide.
func TestDigestComparisonPropagatesChanges(t *testing.T) {
	opts := options(20)
	opts.GossipRound = time.Hour
	net := confbench.NewNetwork(opts)
	net.Advance(10 * time.Second)
	net.Store.Put(key(1), []byte("v"))
	net.Advance(convergenceBound)
	for _, h := range net.Hosts {
		must.Eq(t, net.Store.Revision(), h.Node.Replica().RevisionOf(key(1)))
	}
}

// TestLargeFleetConverges guards against convergence that is in time only in small fleets: a fifth of 200 nodes, some
// of the watchers among them, fails permanently; then the regions are partitioned during a store outage and rejoin.
func TestLargeFleetConverges(t *testing.T) {
	for seed := range uint64(2) {
		opts := options(200)
		opts.Seed = seed
		f := newFleet(t, opts)
		f.put(1)
		f.run(10 * time.Second)
		for i := range 40 {
			f.net.Stop(i*5 + int(seed))
		}
		f.put(2)
		f.run(convergenceBound)
		f.checkConverged()
		f.net.Partitioned = true
		f.net.ScheduleMemberUpdate()
		f.net.Store.SetDown(true)
		f.run(30 * time.Second)
		f.put(3)
		f.remove(1)
		f.endFaults()
		f.run(convergenceBound)
		f.checkConverged()
	}
}

// TestReplicaRejectsLowerRevision guards against a replica that applies a lower revision from the store or a peer.
func TestReplicaRejectsLowerRevision(t *testing.T) {
	r := confsync.NewReplica(nil)
	must.True(t, r.Apply(confsync.Item{Key: "a", Revision: 5, Value: []byte("five")}))
	must.False(t, r.Apply(confsync.Item{Key: "a", Revision: 4}))
	for _, item := range []confsync.Item{{Key: "a", Revision: 4}, {Key: "a", Revision: 3, Deleted: true}} {
		ok, err := r.ApplyPeer(item)
		must.NoError(t, err)
		must.False(t, ok)
	}
	got, _ := r.Get("a")
	must.Eq(t, "five", string(got.Value))
}

// TestIsolatedNodeIsStale guards against a node that reaches neither peers nor the store and still reports a fresh
// replica.
func TestIsolatedNodeIsStale(t *testing.T) {
	f := newFleet(t, options(12))
	f.run(5 * time.Second)
	f.net.Hosts[4].Isolated = true
	f.net.Store.SetDown(true)
	f.put(2)
	// A batch that was in transit at the start of the outage still confirms the replica.
	f.run(convergenceBound + 100*time.Millisecond)
	must.Eq(t, confsync.Stale, f.net.Hosts[4].Node.Status(f.net.Now()).State)
	f.endFaults()
	f.run(convergenceBound)
	f.checkConverged()
}

// forgeItem makes the faulty node return an item at a revision that the store never had.
func forgeItem(f *fleet, faulty int, forged confsync.Item) {
	f.net.RewriteResponse = func(from int, resp confsync.Response) confsync.Response {
		if from != faulty {
			return resp
		}
		switch r := resp.(type) {
		case confsync.CompareResponse:
			r.Same = false
			r.Digest = confsync.Digest{}
			return r
		case confsync.EntriesResponse:
			r.Entries = append([]confsync.Entry{{Key: forged.Key, Revision: forged.Revision}}, r.Entries...)
			return r
		case confsync.FetchResponse:
			r.Items = append([]confsync.Item{forged}, r.Items...)
			return r
		}
		return resp
	}
}

// TestForgedRevisionDoesNotBlockUpdates guards against a faulty peer whose forged revision blocks real updates: 2^62 is
// never applied, and a revision that the store could have reached is overridden while the peer still sends it.
func TestForgedRevisionDoesNotBlockUpdates(t *testing.T) {
	for _, forgedRevision := range []int64{1 << 62, 5_000} {
		f := &fleet{t: t}
		highest := int64(0)
		f.net = newUncheckedNetwork(func(_ int, item confsync.Item) { highest = max(highest, item.Revision) })
		forgeItem(f, 5, confsync.Item{Key: key(1), Revision: forgedRevision, Value: []byte("false")})
		f.net.Advance(20 * time.Second)
		if forgedRevision == 1<<62 {
			must.Less(t, forgedRevision, highest)
		} else {
			must.Eq(t, forgedRevision, highest)
		}
		f.put(1)
		f.net.Advance(90 * time.Second)
		for _, h := range f.net.Hosts {
			got, _ := h.Node.Replica().Get(key(1))
			must.Eq(t, f.net.Store.Revision(), got.Revision)
		}
	}
}

// newUncheckedNetwork returns a network without the oracle for lower revisions, because a forged revision must be
// overridden by a lower one.
func newUncheckedNetwork(onChange func(int, confsync.Item)) *confbench.Network {
	opts := options(12)
	opts.OnChange = onChange
	opts.GossipRound = 200 * time.Millisecond
	net := confbench.NewNetwork(opts)
	net.Store.Put(key(1), []byte("true"))
	net.Advance(5 * time.Second)
	return net
}

// TestPeerItemsAreLimited guards against a peer that exhausts the memory of a node.
func TestPeerItemsAreLimited(t *testing.T) {
	n := confsync.NewNode(confsync.Config{Limits: confsync.Limits{ItemBytes: 100, TotalBytes: 1_000, Items: 5, Tombstones: 2}})
	r := n.Replica()
	mustReject := func(item confsync.Item) {
		ok, err := r.ApplyPeer(item)
		must.Error(t, err)
		must.False(t, ok)
	}
	mustReject(confsync.Item{Key: "a", Revision: 1, Value: make([]byte, 101)})
	mustReject(confsync.Item{Key: "a", Revision: -1})
	for i := range 5 {
		_, err := r.ApplyPeer(confsync.Item{Key: key(i), Revision: int64(i + 1), Deleted: i < 3})
		must.NoError(t, err)
	}
	_, kept := r.Lookup(key(0))
	must.False(t, kept)
	must.NoError(t, errorOf(r.ApplyPeer(confsync.Item{Key: key(5), Revision: 9})))
	mustReject(confsync.Item{Key: key(6), Revision: 10})
	must.True(t, r.Apply(confsync.Item{Key: key(6), Revision: 10}))
}

func errorOf(_ bool, err error) error { return err }

// TestDigestFindsDifference guards against a digest that depends on the order of changes or misses a difference.
func TestDigestFindsDifference(t *testing.T) {
	a, b := confsync.NewReplica(nil), confsync.NewReplica(nil)
	for i := range 100 {
		a.Apply(confsync.Item{Key: key(i), Revision: int64(i + 1)})
		b.Apply(confsync.Item{Key: key(99 - i), Revision: int64(100 - i)})
	}
	must.Eq(t, a.Digest(), b.Digest())
	a.Apply(confsync.Item{Key: key(7), Revision: 500})
	mask := a.Digest().Diff(b.Digest())
	must.Eq(t, 0, mask&(mask-1))
	must.NotEq(t, 0, mask)
	must.SliceContains(t, a.Entries(mask), confsync.Entry{Key: key(7), Revision: 500})
}
