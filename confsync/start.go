package confsync

import (
	"slices"
	"time"
)

const (
	// startPeers is the number of peers that a starting node syncs from, or all peers if there are fewer.
	startPeers = 3
	// startPeerWait is the time to wait for peers; after it, a list from the store is enough to become ready.
	startPeerWait = time.Second
	// startRetryDelay is the delay before all peers are asked again.
	startRetryDelay = time.Second
	// startStoreFallback is the time after which a node that is not a watcher lists the store. The watchers are
	// ready by then if the store responds, so a start of the whole fleet does not cause a list per node.
	startStoreFallback = 5 * time.Second
)

// startState is the state of the start, until the node is ready.
type startState struct {
	ready     bool
	startedAt time.Time
	asked     map[string]bool
	pending   int
	answers   []startAnswer
	completed int
	listed    bool
	nextRound time.Time
}

// startAnswer is the response of a ready peer, with the exchange that continues from it.
type startAnswer struct {
	exchange exchange
	response CompareResponse
}

// tickStart syncs from peers until enough exchanges are complete.
func (n *Node) tickStart(now time.Time) {
	s := &n.start
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	if s.listed && (len(n.peers) == 0 || now.Sub(s.startedAt) >= startPeerWait) {
		n.becomeReady(now)
		return
	}
	target := min(startPeers, len(n.peers))
	peersLeft := n.comparePeers(now, target)
	if s.pending == 0 && (len(s.answers)+s.completed >= target || !peersLeft) && len(s.answers) > 0 {
		n.syncFromPeers(now)
	}
	if s.completed >= max(1, target) || (s.completed > 0 && !peersLeft && s.pending == 0) {
		n.becomeReady(now)
		return
	}
	if !peersLeft && s.pending == 0 {
		n.retryStart(now)
	}
}

// comparePeers sends compare requests until target peers are pending or done, and reports whether there are peers
// that have not been asked yet.
func (n *Node) comparePeers(now time.Time, target int) (peersLeft bool) {
	s := &n.start
	order := n.rng.Perm(len(n.peers))
	for _, i := range order {
		peer := n.peers[i]
		if s.asked[peer.ID] {
			continue
		}
		if s.pending+len(s.answers)+s.completed >= target {
			return true
		}
		s.asked[peer.ID] = true
		s.pending++
		changes := n.replica.changeCount()
		n.send(now, peer, CompareRequest{Total: n.replica.Digest().Total}, func(_ time.Time, resp Response, err error) {
			s.pending--
			if r, ok := resp.(CompareResponse); ok && err == nil && r.Ready {
				s.answers = append(s.answers, startAnswer{exchange{
					peer: peer, sentAt: now, confirmation: r.Confirmation, changes: changes,
				}, r})
			}
		})
	}
	return false
}

// syncFromPeers fetches the peers' items. It first sets the limit for plausible revisions to the lower median of the
// store revisions that the peers report, so that one faulty peer among three cannot set it.
func (n *Node) syncFromPeers(now time.Time) {
	s := &n.start
	var revisions []revisionLimit
	for _, a := range s.answers {
		if c := a.exchange.confirmation; c.Known && c.Revision > 0 && c.Age >= 0 {
			revisions = append(revisions, revisionLimit{c.Revision, a.exchange.sentAt.Add(-c.Age)})
		}
	}
	slices.SortFunc(revisions, func(a, b revisionLimit) int { return int(max(-1, min(1, a.revision-b.revision))) })
	if len(revisions) > 0 && n.revisionLimit.revision == 0 {
		n.revisionLimit = revisions[(len(revisions)-1)/2]
	}
	answers := s.answers
	s.answers = nil
	for _, a := range answers {
		s.pending++
		a.exchange.onFinish = func(_ time.Time, ok bool) {
			s.pending--
			if ok {
				s.completed++
			}
		}
		n.handleCompare(now, &a.exchange, a.response)
	}
}

// retryStart makes the node ask all peers again after a delay, and lists the store if the start takes too long.
func (n *Node) retryStart(now time.Time) {
	s := &n.start
	if now.Before(s.nextRound) {
		return
	}
	s.nextRound = now.Add(n.jitter(startRetryDelay))
	clear(s.asked)
	if now.Sub(s.startedAt) >= startStoreFallback && !n.store.listing && !now.Before(n.store.retryAt) {
		n.list()
	}
}

func (n *Node) markListed() { n.start.listed = true }

func (n *Node) becomeReady(now time.Time) {
	n.start.ready = true
	n.start.answers = nil
	n.nextCompare = now.Add(time.Duration(n.rng.Int64N(int64(CompareInterval))))
	n.nextParentCompare = now.Add(time.Duration(n.rng.Int64N(int64(CompareInterval))))
}
