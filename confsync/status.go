package confsync

import (
	"cmp"
	"slices"
	"time"
)

// State states whether the replica is known to be up to date.
type State string

// Values of State. Fresh means that the newest confirmation is at most StaleAfter old, Stale that it is older, and
// Unknown that there is none or that an item applied later contradicts it.
const (
	Unknown State = "unknown"
	Fresh   State = "fresh"
	Stale   State = "stale"
)

// Status describes the state of a node's replica.
type Status struct {
	Ready bool
	State State
	// ConfirmationAge is the age of the newest confirmation that originates from a live watch; it is 0 if State is
	// Unknown.
	ConfirmationAge time.Duration
	// Revision is the highest revision in the replica, ConfirmedRevision the store revision of the newest confirmation.
	Revision, ConfirmedRevision int64
	// Watching reports whether the node has a watch that has delivered a batch.
	Watching bool
	// RejectedItems is how often an item of a peer was rejected for a limit or an implausible revision. An item counts
	// again each time it is offered.
	RejectedItems int64
}

// Status returns the status at the given time.
func (n *Node) Status(now time.Time) Status {
	c := n.confirmation(now)
	s := Status{
		Ready: n.start.ready, State: Unknown, ConfirmationAge: c.Age, Revision: n.replica.Revision(), ConfirmedRevision: c.Revision,
		Watching: n.store.watchLive, RejectedItems: n.store.rejectedItems,
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

// confirmFromWatch records a confirmation by this node's own watch.
func (n *Node) confirmFromWatch(now time.Time, revision int64) {
	n.confirmed.at = now
	n.confirmed.revision = max(n.confirmed.revision, revision)
}

// acceptConfirmation accepts the confirmation of a peer whose items this node has in full. The age counts from the
// time at which the request was sent, so the confirmation never appears younger than it is.
func (n *Node) acceptConfirmation(sentAt time.Time, c Confirmation) {
	if !c.Known || c.Age < 0 || !n.revisionLimit.plausible(c.Revision, sentAt) {
		return
	}
	if c.Revision < n.replica.Revision() {
		// The confirmation may originate from a watch on a lagging replica of the store.
		return
	}
	at := sentAt.Add(-c.Age)
	if at.After(n.confirmed.at) {
		n.confirmed.at = at
		n.confirmed.revision = max(n.confirmed.revision, c.Revision)
	}
	if c.Revision > n.revisionLimit.revision {
		n.revisionLimit = revisionLimit{c.Revision, at}
	}
}

// invalidateConfirmation drops the confirmation if it covers the revision of an item that was just applied: the
// replica was confirmed without the item, so the item is outdated or the confirmation is wrong.
func (n *Node) invalidateConfirmation(applied Item) {
	if applied.Revision <= n.confirmed.revision {
		n.confirmed = lastConfirmation{}
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
