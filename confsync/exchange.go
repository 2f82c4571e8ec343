package confsync

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

var errNoAnswer = eris.New("no answer from the peer")

// exchange is one digest comparison with a peer, until this node holds everything that the peer held.
type exchange struct {
	peer         Member
	sentAt       time.Time
	confirmation Confirmation
	need         []Entry
	// extra tells that this node has items that are newer than the peer's; they may be deleted by now.
	extra bool
	// changes is the change count of the copy that the exchange accounts for. Another change in between, such as
	// an outdated item from a third node, may not be covered by the confirmation.
	changes uint64
	fetches int
	// finished is called once; it may be nil.
	finished func(now time.Time, ok bool)
}

// maxFetches bounds the fetches of one exchange. The next comparison continues.
const maxFetches = 64

func (x *exchange) finish(now time.Time, ok bool) {
	if x.finished != nil {
		x.finished(now, ok)
	}
}

func (n *Node) compare(now time.Time, peer Member) {
	changes := n.replica.changeCount()
	n.send(now, peer, CompareRequest{Total: n.replica.Digest().Total}, func(at time.Time, resp Response, err error) {
		r, ok := resp.(CompareResponse)
		if err != nil || !ok || !r.Ready {
			return
		}
		n.compared(at, &exchange{peer: peer, sentAt: now, confirmation: r.Confirmation, changes: changes}, r)
	})
}

// compared continues an exchange after the peer's digest is known.
func (n *Node) compared(now time.Time, x *exchange, r CompareResponse) {
	own := n.replica.Digest()
	mask := own.Diff(r.Digest)
	if r.Same || mask == 0 {
		n.adoptFrom(x)
		x.finish(now, true)
		return
	}
	instance := r.Instance
	req := EntriesRequest{Mask: mask, Entries: n.replica.Entries(mask)}
	n.send(now, x.peer, req, func(at time.Time, resp Response, err error) {
		r, ok := resp.(EntriesResponse)
		if err != nil || !ok || len(r.Entries) > MaxEntries || r.Instance != instance {
			x.finish(at, false)
			return
		}
		n.suspectDisputed(at, r.Disputed)
		for _, e := range r.Entries {
			n.buryDeleted(e)
			if n.wanted(at, e) {
				x.need = append(x.need, e)
			}
		}
		x.extra = n.hasExtra(req.Entries, r.Entries)
		n.fetchNeeded(at, x)
	})
}

// buryDeleted adds a tombstone for a peer's key that the store no longer had when this copy last had everything
// from it. A list shows no deleted keys, so without it the deletion would not spread.
func (n *Node) buryDeleted(e Entry) {
	if e.Revision <= 0 || e.Revision > n.store.revision || !strings.HasPrefix(e.Key, n.cfg.Prefix) {
		return
	}
	held, ok := n.replica.Lookup(e.Key)
	if ok && (!held.Deleted || held.Revision >= e.Revision) || len(e.Key) > maxKeyBytes {
		return
	}
	n.replica.Apply(Item{Key: e.Key, Revision: n.store.revision, Deleted: true})
}

// hasExtra reports whether the copy has a newer item than the peer's, other than a tombstone. The peer may know
// from a list that the key is deleted, without a tombstone of that deletion.
func (n *Node) hasExtra(own, theirs []Entry) bool {
	revisions := make(map[string]int64, len(theirs))
	for _, e := range theirs {
		revisions[e.Key] = e.Revision
	}
	return slices.ContainsFunc(own, func(e Entry) bool {
		_, live := n.replica.Get(e.Key)
		return live && e.Revision > revisions[e.Key]
	})
}

// wanted reports whether a peer's entry is newer than the copy's and can be genuine.
func (n *Node) wanted(now time.Time, e Entry) bool {
	if e.Revision <= n.replica.RevisionOf(e.Key) || n.disproved[e.Key] == e.Revision ||
		!strings.HasPrefix(e.Key, n.cfg.Prefix) {
		return false
	}
	if !n.horizon.plausible(e.Revision, now) {
		n.store.refused++
		return false
	}
	// The copy has everything from the store up to this revision, so a lower one that it lacks is outdated or
	// wrong.
	return e.Revision > n.store.revision
}

// fetchNeeded fetches until the copy has all needed entries, and then adopts the peer's confirmation.
func (n *Node) fetchNeeded(now time.Time, x *exchange) {
	var left []Entry
	for _, e := range x.need {
		if n.wanted(now, e) {
			left = append(left, e)
		}
	}
	if len(left) == 0 {
		n.adoptFrom(x)
		x.finish(now, true)
		return
	}
	if x.fetches == maxFetches || (x.fetches > 0 && len(left) == len(x.need)) {
		x.finish(now, false)
		return
	}
	x.need = left
	x.fetches++
	req := FetchRequest{Wants: left[:min(len(left), MaxFetch)]}
	n.send(now, x.peer, req, func(at time.Time, resp Response, err error) {
		r, ok := resp.(FetchResponse)
		if err != nil || !ok {
			x.finish(at, false)
			return
		}
		x.changes += n.applyFetched(at, req.Wants, r)
		n.fetchNeeded(at, x)
	})
}

// applyFetched applies the items that were asked for, and returns their number; a peer cannot add others.
func (n *Node) applyFetched(now time.Time, asked []Entry, r FetchResponse) (applied uint64) {
	wants := make(map[string]bool, len(asked))
	for _, e := range asked {
		wants[e.Key] = true
	}
	for _, item := range r.Items {
		if !wants[item.Key] || !n.wanted(now, Entry{item.Key, item.Revision}) {
			continue
		}
		ok, err := n.replica.ApplyPeer(item)
		if err != nil {
			n.store.refused++
		}
		if !ok {
			continue
		}
		applied++
		n.checkConfirmed(item)
	}
	return applied
}

// adoptFrom takes the peer's confirmation if the copy is what the exchange made it.
func (n *Node) adoptFrom(x *exchange) {
	if !x.extra && x.changes == n.replica.changeCount() {
		n.adopt(x.sentAt, x.confirmation)
	}
}

// Serve answers a peer's request. from is the peer's member ID; an unknown peer is answered but not asked back.
// A nil response means that the request is not known.
func (n *Node) Serve(now time.Time, from string, req Request) Response {
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
		n.buryDeleted(e)
	}
	resp := EntriesResponse{Instance: n.instance, Entries: n.replica.Entries(r.Mask)}
	resp.Entries = resp.Entries[:min(len(resp.Entries), MaxEntries)]
	peer, known := n.members[from]
	for _, e := range r.Entries[:min(len(r.Entries), MaxEntries)] {
		if e.Revision <= n.replica.RevisionOf(e.Key) {
			continue
		}
		if n.wanted(now, e) {
			if known {
				n.want(now, e, peer, peer)
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
	for _, e := range r.Wants[:min(len(r.Wants), MaxFetch)] {
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
