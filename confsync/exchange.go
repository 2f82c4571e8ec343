package confsync

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

var errNoAnswer = eris.New("no answer from the peer")

// exchange is one anti-entropy exchange with a peer. It is complete once this node has every item that the peer had.
type exchange struct {
	peer         Member
	sentAt       time.Time
	confirmation Confirmation
	missing      []Entry
	// hasNewer is set if this node has items that are newer than the peer's. They may have been deleted since.
	hasNewer bool
	// changes is the replica's change count including the items that this exchange applied. Any other change in
	// between, such as an outdated item from a third node, may not be covered by the confirmation.
	changes uint64
	fetches int
	// onFinish is called once when the exchange ends; it may be nil.
	onFinish func(now time.Time, ok bool)
}

// maxFetches is the maximum number of fetches in one exchange. The next comparison fetches the rest.
const maxFetches = 64

func (x *exchange) finish(now time.Time, ok bool) {
	if x.onFinish != nil {
		x.onFinish(now, ok)
	}
}

func (n *Node) compare(now time.Time, peer Member) {
	changes := n.replica.changeCount()
	n.send(now, peer, CompareRequest{Total: n.replica.Digest().Total}, func(at time.Time, resp Response, err error) {
		r, ok := resp.(CompareResponse)
		if err != nil || !ok || !r.Ready {
			return
		}
		n.handleCompare(at, &exchange{peer: peer, sentAt: now, confirmation: r.Confirmation, changes: changes}, r)
	})
}

// handleCompare continues an exchange with the digest that the peer returned.
func (n *Node) handleCompare(now time.Time, x *exchange, r CompareResponse) {
	own := n.replica.Digest()
	mask := own.Diff(r.Digest)
	if r.Same || mask == 0 {
		n.acceptConfirmationFrom(x)
		x.finish(now, true)
		return
	}
	instance := r.Instance
	req := EntriesRequest{BucketMask: mask, Entries: n.replica.Entries(mask)}
	n.send(now, x.peer, req, func(at time.Time, resp Response, err error) {
		r, ok := resp.(EntriesResponse)
		if err != nil || !ok || len(r.Entries) > MaxEntries || r.Instance != instance {
			x.finish(at, false)
			return
		}
		n.queueDisputed(at, r.Disputed)
		for _, e := range r.Entries {
			n.addTombstone(e)
			if n.shouldFetch(at, e) {
				x.missing = append(x.missing, e)
			}
		}
		x.hasNewer = n.hasNewerItem(req.Entries, r.Entries)
		n.fetchMissing(at, x)
	})
}

// addTombstone adds a tombstone for a peer's key that was already deleted at the store revision up to which this
// replica is complete. A list does not contain deleted keys, so without the tombstone the deletion would not
// propagate.
func (n *Node) addTombstone(e Entry) {
	if e.Revision <= 0 || e.Revision > n.store.revision || !strings.HasPrefix(e.Key, n.cfg.Prefix) {
		return
	}
	existing, ok := n.replica.Lookup(e.Key)
	if ok && (!existing.Deleted || existing.Revision >= e.Revision) || len(e.Key) > maxKeyBytes {
		return
	}
	n.replica.Apply(Item{Key: e.Key, Revision: n.store.revision, Deleted: true})
}

// hasNewerItem reports whether the replica has an item, other than a tombstone, that is newer than the peer's. The
// peer may know from a list that the key is deleted and have no tombstone for it.
func (n *Node) hasNewerItem(own, theirs []Entry) bool {
	revisions := make(map[string]int64, len(theirs))
	for _, e := range theirs {
		revisions[e.Key] = e.Revision
	}
	return slices.ContainsFunc(own, func(e Entry) bool {
		_, live := n.replica.Get(e.Key)
		return live && e.Revision > revisions[e.Key]
	})
}

// shouldFetch reports whether a peer's entry is newer than the replica's and has a plausible revision.
func (n *Node) shouldFetch(now time.Time, e Entry) bool {
	if e.Revision <= n.replica.RevisionOf(e.Key) || n.disproved[e.Key] == e.Revision ||
		!strings.HasPrefix(e.Key, n.cfg.Prefix) {
		return false
	}
	if !n.revisionLimit.plausible(e.Revision, now) {
		n.store.rejectedItems++
		return false
	}
	// The replica is complete up to this store revision, so a lower revision that it lacks is outdated or wrong.
	return e.Revision > n.store.revision
}

// fetchMissing fetches until the replica has all missing entries, then accepts the peer's confirmation.
func (n *Node) fetchMissing(now time.Time, x *exchange) {
	var remaining []Entry
	for _, e := range x.missing {
		if n.shouldFetch(now, e) {
			remaining = append(remaining, e)
		}
	}
	if len(remaining) == 0 {
		n.acceptConfirmationFrom(x)
		x.finish(now, true)
		return
	}
	if x.fetches == maxFetches || (x.fetches > 0 && len(remaining) == len(x.missing)) {
		x.finish(now, false)
		return
	}
	x.missing = remaining
	x.fetches++
	req := FetchRequest{Entries: remaining[:min(len(remaining), MaxFetch)]}
	n.send(now, x.peer, req, func(at time.Time, resp Response, err error) {
		r, ok := resp.(FetchResponse)
		if err != nil || !ok {
			x.finish(at, false)
			return
		}
		x.changes += n.applyFetched(at, req.Entries, r)
		n.fetchMissing(at, x)
	})
}

// applyFetched applies the requested items and ignores all others. It returns the number of items applied.
func (n *Node) applyFetched(now time.Time, asked []Entry, r FetchResponse) (applied uint64) {
	requested := make(map[string]bool, len(asked))
	for _, e := range asked {
		requested[e.Key] = true
	}
	for _, item := range r.Items {
		if !requested[item.Key] || !n.shouldFetch(now, Entry{item.Key, item.Revision}) {
			continue
		}
		ok, err := n.replica.ApplyPeer(item)
		if err != nil {
			n.store.rejectedItems++
		}
		if !ok {
			continue
		}
		applied++
		n.invalidateConfirmation(item)
	}
	return applied
}

// acceptConfirmationFrom accepts the peer's confirmation if the replica equals the peer's, that is, if it has no
// newer items and only this exchange has changed it.
func (n *Node) acceptConfirmationFrom(x *exchange) {
	if !x.hasNewer && x.changes == n.replica.changeCount() {
		n.acceptConfirmation(x.sentAt, x.confirmation)
	}
}

// HandleRequest answers a peer's request. from is the peer's member ID; an unknown peer gets a response, but the node
// fetches nothing from it. The response is nil if the type of the request is unknown.
func (n *Node) HandleRequest(now time.Time, from string, req Request) Response {
	switch r := req.(type) {
	case CompareRequest:
		return n.serveCompare(now, r)
	case EntriesRequest:
		return n.serveEntries(now, from, r)
	case FetchRequest:
		return n.serveFetch(r)
	}
	return nil
}

func (n *Node) serveCompare(now time.Time, r CompareRequest) Response {
	digest := n.replica.Digest()
	resp := CompareResponse{
		Ready: n.start.ready, Instance: n.instance, Same: digest.Total == r.Total, Confirmation: n.confirmation(now),
	}
	if !resp.Same {
		resp.Digest = digest
	}
	return resp
}

func (n *Node) serveEntries(now time.Time, from string, r EntriesRequest) Response {
	for _, e := range r.Entries[:min(len(r.Entries), MaxEntries)] {
		n.addTombstone(e)
	}
	resp := EntriesResponse{Instance: n.instance, Entries: n.replica.Entries(r.BucketMask)}
	resp.Entries = resp.Entries[:min(len(resp.Entries), MaxEntries)]
	peer, known := n.members[from]
	for _, e := range r.Entries[:min(len(r.Entries), MaxEntries)] {
		if e.Revision <= n.replica.RevisionOf(e.Key) {
			continue
		}
		if n.shouldFetch(now, e) {
			if known {
				n.queueFetch(now, e, peer, peer)
			}
			continue
		}
		if len(resp.Disputed) < maxVerify {
			resp.Disputed = append(resp.Disputed, e)
		}
	}
	return resp
}

func (n *Node) serveFetch(r FetchRequest) Response {
	var resp FetchResponse
	size := 0
	for _, e := range r.Entries[:min(len(r.Entries), MaxFetch)] {
		item, ok := n.replica.Lookup(e.Key)
		if !ok || item.Revision < e.Revision {
			continue
		}
		size += len(item.Key) + len(item.Value)
		if size > MaxFetchBytes {
			break
		}
		resp.Items = append(resp.Items, item)
	}
	return resp
}
