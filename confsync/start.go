package confsync

import (
	"slices"
	"time"
)

const (
	// startPeers is the number of peers that a starting node asks, or all if fewer exist.
	startPeers = 3
	// startAlone is the time after which a list from the store is enough to be ready without the peers' answers.
	startAlone = time.Second
	// startRetry is the wait before all peers are asked again.
	startRetry = time.Second
	// startStoreAfter is the time after which a node that is not chosen to watch asks the store. The chosen ones
	// are ready by then if the store answers, so a start of the whole fleet does not cost a list per node.
	startStoreAfter = 5 * time.Second
)

// startState is the state until the node is ready.
type startState struct {
	ready  bool
	since  time.Time
	asked  map[string]bool
	open   int
	known  []startAnswer
	done   int
	listed bool
	again  time.Time
}

// startAnswer is the digest of a ready peer.
type startAnswer struct {
	x exchange
	r CompareResponse
}

// tickStart asks peers until enough of them have passed on everything that they hold.
func (n *Node) tickStart(now time.Time) {
	s := &n.start
	if s.since.IsZero() {
		s.since = now
	}
	if s.listed && (len(n.others) == 0 || now.Sub(s.since) >= startAlone) {
		n.becomeReady(now)
		return
	}
	target := min(startPeers, len(n.others))
	left := n.askAtStart(now, target)
	if s.open == 0 && (len(s.known)+s.done >= target || !left) && len(s.known) > 0 {
		n.exchangeAtStart(now)
	}
	if s.done >= max(1, target) || (s.done > 0 && !left && s.open == 0) {
		n.becomeReady(now)
		return
	}
	if !left && s.open == 0 {
		n.restartAsking(now)
	}
}

// askAtStart keeps target comparisons open or done, and reports whether peers are left to ask.
func (n *Node) askAtStart(now time.Time, target int) (left bool) {
	s := &n.start
	order := n.rng.Perm(len(n.others))
	for _, i := range order {
		peer := n.others[i]
		if s.asked[peer.ID] {
			continue
		}
		if s.open+len(s.known)+s.done >= target {
			return true
		}
		s.asked[peer.ID] = true
		s.open++
		changes := n.replica.changeCount()
		n.send(now, peer, CompareRequest{Total: n.replica.Digest().Total}, func(_ time.Time, resp Response, err error) {
			s.open--
			if r, ok := resp.(CompareResponse); ok && err == nil && r.Ready {
				s.known = append(s.known, startAnswer{exchange{
					peer: peer, sentAt: now, confirmation: r.Confirmation, changes: changes,
				}, r})
			}
		})
	}
	return false
}

// exchangeAtStart fetches what the peers hold. Before that it takes the lower median of the store revisions that
// they claim as the base for plausible revisions, so that one wrong peer among three cannot set it.
func (n *Node) exchangeAtStart(now time.Time) {
	s := &n.start
	var claims []horizon
	for _, a := range s.known {
		if c := a.x.confirmation; c.Known && c.Revision > 0 && c.Age >= 0 {
			claims = append(claims, horizon{c.Revision, a.x.sentAt.Add(-c.Age)})
		}
	}
	slices.SortFunc(claims, func(a, b horizon) int { return int(max(-1, min(1, a.revision-b.revision))) })
	if len(claims) > 0 && n.horizon.revision == 0 {
		n.horizon = claims[(len(claims)-1)/2]
	}
	known := s.known
	s.known = nil
	for _, a := range known {
		s.open++
		a.x.finished = func(_ time.Time, ok bool) {
			s.open--
			if ok {
				s.done++
			}
		}
		n.compared(now, &a.x, a.r)
	}
}

// restartAsking waits before it asks all peers again, and asks the store in addition.
func (n *Node) restartAsking(now time.Time) {
	s := &n.start
	if now.Before(s.again) {
		return
	}
	s.again = now.Add(n.jitter(startRetry))
	clear(s.asked)
	if now.Sub(s.since) >= startStoreAfter && !n.store.listing && !now.Before(n.store.retryAt) {
		n.list()
	}
}

func (n *Node) listedAtStart() { n.start.listed = true }

func (n *Node) becomeReady(now time.Time) {
	n.start.ready = true
	n.start.known = nil
	n.compareDue = now.Add(time.Duration(n.rng.Int64N(int64(CompareInterval))))
	n.parentDue = now.Add(time.Duration(n.rng.Int64N(int64(CompareInterval))))
}
