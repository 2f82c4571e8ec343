package confsync

import (
	"time"
)

const (
	// maxPendingFetches is the maximum number of keys that wait for a fetch. Digest comparison covers the rest.
	maxPendingFetches = 1_024
	// maxParentTries is the number of fetches from the parent before the origin of the notice is asked.
	maxParentTries = 4
	// maxFetchTries is the number of attempts after which a pending fetch is dropped.
	maxFetchTries = 7
	// fetchRetryDelay is the delay after the first unsuccessful attempt. It doubles with each further one.
	fetchRetryDelay = 50 * time.Millisecond
)

// pendingFetch is a revision that a notice or a peer's entry announced and that the replica does not have yet.
type pendingFetch struct {
	Entry
	firstPeer, origin Member
	tries             int
	due               time.Time
	inFlight          bool
}

func (n *Node) queueFetch(now time.Time, e Entry, firstPeer, origin Member) {
	old := n.pendingFetches[e.Key]
	if old != nil && old.Revision >= e.Revision {
		return
	}
	if old == nil && len(n.pendingFetches) >= maxPendingFetches {
		return
	}
	n.pendingFetches[e.Key] = &pendingFetch{Entry: e, firstPeer: firstPeer, origin: origin, due: now}
}

// HandleNotice handles a payload of the membership broadcast. Malformed, duplicate and outdated payloads are ignored.
func (n *Node) HandleNotice(now time.Time, payload []byte) {
	m, err := decodeNotice(payload)
	if err != nil {
		return
	}
	if a, ok := n.pendingAnnounces[m.Key]; ok && a.Revision <= m.Revision {
		delete(n.pendingAnnounces, m.Key)
	}
	origin, known := n.members[m.origin]
	if !known || !n.start.ready || !n.shouldFetch(now, m.Entry) {
		return
	}
	firstPeer := origin
	if n.role.HasParent {
		firstPeer = n.role.Parent
	}
	n.queueFetch(now, m.Entry, firstPeer, origin)
}

// tickFetches sends one request per peer for the pending fetches that are due.
func (n *Node) tickFetches(now time.Time) {
	if len(n.pendingFetches) == 0 {
		return
	}
	batches := make(map[string][]*pendingFetch)
	peers := make(map[string]Member)
	for _, key := range sortedKeys(n.pendingFetches) {
		f := n.pendingFetches[key]
		if !n.shouldFetch(now, f.Entry) || f.tries >= maxFetchTries {
			delete(n.pendingFetches, key)
			continue
		}
		peer := f.firstPeer
		if f.tries >= maxParentTries {
			peer = f.origin
		}
		if f.inFlight || now.Before(f.due) || len(batches[peer.ID]) >= MaxFetch {
			continue
		}
		batches[peer.ID] = append(batches[peer.ID], f)
		peers[peer.ID] = peer
	}
	for _, id := range sortedKeys(batches) {
		n.sendFetch(now, peers[id], batches[id])
	}
}

func (n *Node) sendFetch(now time.Time, peer Member, batch []*pendingFetch) {
	entries := make([]Entry, len(batch))
	for i, f := range batch {
		f.inFlight = true
		entries[i] = f.Entry
	}
	n.send(now, peer, FetchRequest{Entries: entries}, func(at time.Time, resp Response, err error) {
		if r, ok := resp.(FetchResponse); ok && err == nil {
			n.applyFetched(at, entries, r)
		}
		for _, f := range batch {
			f.inFlight = false
			f.due = at.Add(fetchRetryDelay << f.tries)
			f.tries++
		}
	})
}
