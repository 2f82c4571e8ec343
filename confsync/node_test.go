package confsync_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/kv"
)

var epoch = time.Unix(1_700_000_000, 0)

// newReadyNode returns a ready node that has listed the items at the given store revision.
func newReadyNode(revision int64, items ...kv.Item) *confsync.Node {
	n := confsync.NewNode(confsync.Config{Self: confsync.Member{ID: "self"}})
	n.Tick(epoch)
	n.HandleList(epoch, items, revision, nil)
	n.Tick(epoch)
	return n
}

// nextCall ticks the node until it sends a request to a peer.
func nextCall(t *testing.T, n *confsync.Node, now time.Time) confsync.Call {
	for range 40 {
		n.Tick(now)
		for _, a := range n.Actions() {
			if c, ok := a.(confsync.Call); ok {
				return c
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	t.Fatal("the node sent no request to a peer")
	return confsync.Call{}
}

// TestConfirmationRequiresIdenticalCopy guards against a node that accepts a peer's confirmation although it still
// has a key that the peer knows to be deleted, or although its replica changed after it sent the digest.
func TestConfirmationRequiresIdenticalCopy(t *testing.T) {
	confirmed := confsync.Confirmation{Known: true, Revision: 9}
	old := kv.Item{Key: "k", ModRevision: 5}
	n := newReadyNode(5, old)
	n.SetMembers([]confsync.Member{{ID: "peer"}})
	c := nextCall(t, n, epoch)
	n.HandleResponse(epoch, c.ID, confsync.CompareResponse{Ready: true, Confirmation: confirmed}, nil)
	c = nextCall(t, n, epoch)
	must.Eq(t, []confsync.Entry{{Key: "k", Revision: 5}}, c.Request.(confsync.EntriesRequest).Entries)
	n.HandleResponse(epoch, c.ID, confsync.EntriesResponse{}, nil)
	must.Eq(t, confsync.Unknown, n.Status(epoch).State)

	n = newReadyNode(5, old)
	n.SetMembers([]confsync.Member{{ID: "peer"}})
	c = nextCall(t, n, epoch)
	n.HandleList(epoch, []kv.Item{old, {Key: "j", ModRevision: 6}}, 6, nil)
	n.HandleResponse(epoch, c.ID, confsync.CompareResponse{Ready: true, Same: true, Confirmation: confirmed}, nil)
	must.Eq(t, confsync.Unknown, n.Status(epoch).State)
}

// TestStaleListDoesNotRestoreDeletedKey guards against a list from a lagging replica of the store that restores a key
// which a newer list no longer contains.
func TestStaleListDoesNotRestoreDeletedKey(t *testing.T) {
	n := newReadyNode(10)
	n.HandleList(epoch, []kv.Item{{Key: "k", ModRevision: 5}}, 8, nil)
	_, ok := n.Replica().Lookup("k")
	must.False(t, ok)
}

// TestDeletionPropagatesWithoutEvent guards against a deleted key that stays in force on nodes whose peers know of the
// deletion only from a list, which does not contain deleted keys.
func TestDeletionPropagatesWithoutEvent(t *testing.T) {
	n := newReadyNode(10)
	resp := n.HandleRequest(epoch, "peer", confsync.EntriesRequest{BucketMask: ^uint64(0),
		Entries: []confsync.Entry{{Key: "k", Revision: 5}}})
	must.Eq(t, []confsync.Entry{{Key: "k", Revision: 10}}, resp.(confsync.EntriesResponse).Entries)
	item, _ := n.Replica().Lookup("k")
	must.True(t, item.Deleted)
}
