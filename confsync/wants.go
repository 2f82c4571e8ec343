package confsync

import (
	"time"
)

const (
	// maxWants bounds the keys that notices make the node fetch at the same time. Digest comparison repairs the
	// rest.
	maxWants = 1_024
	// parentTries is the number of fetches from the parent before the origin of the notice is asked.
	parentTries = 4
	// wantTries is the number of fetches after which a want is given up.
	wantTries = 7
	// wantRetry is the wait after the first fetch in vain; it doubles.
	wantRetry = 50 * time.Millisecond
)

// want is a revision that a notice or a peer's entry told of and that the copy does not have.
type want struct {
	Entry
	first, origin Member
	tries         int
	due           time.Time
	inFlight      bool
}

func (n *Node) want(now time.Time, e Entry, first, origin Member) {
	old := n.wants[e.Key]
	if old != nil && old.Revision >= e.Revision {
		return
	}
	if old == nil && len(n.wants) >= maxWants {
		return
	}
	n.wants[e.Key] = &want{Entry: e, first: first, origin: origin, due: now}
}

// Notice takes a payload of the membership broadcast. Malformed, duplicate and outdated ones have no effect.
func (n *Node) Notice(now time.Time, payload []byte) {
	m, err := decodeNotice(payload)
	if err != nil {
		return
	}
	if a, ok := n.announces[m.Key]; ok && a.Revision <= m.Revision {
		delete(n.announces, m.Key)
	}
	origin, known := n.members[m.origin]
	if !known || !n.start.ready || !n.wanted(now, m.Entry) {
		return
	}
	first := origin
	if n.place.HasParent {
		first = n.place.Parent
	}
	n.want(now, m.Entry, first, origin)
}

// tickWants sends one fetch per peer for the wants that are due.
func (n *Node) tickWants(now time.Time) {
	if len(n.wants) == 0 {
		return
	}
	batches := make(map[string][]*want)
	peers := make(map[string]Member)
	for _, key := range sortedKeys(n.wants) {
		w := n.wants[key]
		if !n.wanted(now, w.Entry) || w.tries >= wantTries {
			delete(n.wants, key)
			continue
		}
		peer := w.first
		if w.tries >= parentTries {
			peer = w.origin
		}
		if w.inFlight || now.Before(w.due) || len(batches[peer.ID]) >= MaxFetch {
			continue
		}
		batches[peer.ID] = append(batches[peer.ID], w)
		peers[peer.ID] = peer
	}
	for _, id := range sortedKeys(batches) {
		n.fetchWants(now, peers[id], batches[id])
	}
}

func (n *Node) fetchWants(now time.Time, peer Member, batch []*want) {
	entries := make([]Entry, len(batch))
	for i, w := range batch {
		w.inFlight = true
		entries[i] = w.Entry
	}
	n.send(now, peer, FetchRequest{Wants: entries}, func(at time.Time, resp Response, err error) {
		if r, ok := resp.(FetchResponse); ok && err == nil {
			n.applyFetched(at, entries, r)
		}
		for _, w := range batch {
			w.inFlight = false
			w.due = at.Add(wantRetry << w.tries)
			w.tries++
		}
	})
}
