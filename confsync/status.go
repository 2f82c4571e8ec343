package confsync

import (
	"cmp"
	"slices"
	"time"
)

// State tells whether the copy is known to be current.
type State string

// Values of State. Fresh means that the newest confirmation is at most StaleAfter old, Unknown that there is none
// or that a later item contradicts it.
const (
	Unknown State = "unknown"
	Fresh   State = "fresh"
	Stale   State = "stale"
)

// Status describes a node's copy.
type Status struct {
	Ready bool
	State State
	// Age is the age of the newest confirmation that originates from a live watch; it is 0 if State is Unknown.
	Age time.Duration
	// Revision is the highest revision of the copy; Confirmed is the store's revision of the newest confirmation.
	Revision, Confirmed int64
	// Watching tells whether the node has a live watch.
	Watching bool
	// Refused counts items of peers that a limit or an implausible revision kept out.
	Refused int64
}

// Status returns the status at the time.
func (n *Node) Status(now time.Time) Status {
	c := n.confirmation(now)
	s := Status{
		Ready: n.start.ready, State: Unknown, Age: c.Age, Revision: n.replica.Revision(), Confirmed: c.Revision,
		Watching: n.store.live, Refused: n.store.refused,
	}
	if c.Known {
		s.State = Stale
		if c.Age <= StaleAfter {
			s.State = Fresh
		}
	}
	return s
}

func (n *Node) confirmation(now time.Time) Confirmation {
	if n.confirmed.at.IsZero() {
		return Confirmation{}
	}
	return Confirmation{Known: true, Age: max(0, now.Sub(n.confirmed.at)), Revision: n.confirmed.revision}
}

// confirmLocal records a confirmation by this node's own live watch.
func (n *Node) confirmLocal(now time.Time, revision int64) {
	n.confirmed.at = now
	n.confirmed.revision = max(n.confirmed.revision, revision)
}

// adopt takes a peer's confirmation for a copy that this node holds entirely. The age counts from the moment at
// which the request was sent, so it is never younger than the confirmation.
func (n *Node) adopt(sentAt time.Time, c Confirmation) {
	if !c.Known || c.Age < 0 || !n.horizon.plausible(c.Revision, sentAt) {
		return
	}
	if c.Revision < n.replica.Revision() {
		// The watch that it originates from may be served by a lagging replica of the store.
		return
	}
	at := sentAt.Add(-c.Age)
	if at.After(n.confirmed.at) {
		n.confirmed.at = at
		n.confirmed.revision = max(n.confirmed.revision, c.Revision)
	}
	if c.Revision > n.horizon.revision {
		n.horizon = horizon{c.Revision, at}
	}
}

// checkConfirmed drops the confirmation if an item was applied that it covers: the copy was confirmed without
// the item, so the item is outdated or the confirmation is wrong.
func (n *Node) checkConfirmed(applied Item) {
	if applied.Revision <= n.confirmed.revision {
		n.confirmed = confirmedAt{}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	if len(m) == 0 {
		return nil
	}
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare)
	return keys
}
