package confsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a live daemon.
type Member struct {
	ID         string
	Address    string
	DataCentre string
}

const (
	// fleetWatchers is the number of watchers chosen over the whole fleet, in addition to one per data centre.
	fleetWatchers = 2
	// treeFanout is the number of daemons that fetch a pushed item from the same parent.
	treeFanout = 8
)

// ranked is a member with its rendezvous score.
type ranked struct {
	Member
	score uint64
}

func rank(members []Member) []ranked {
	out := make([]ranked, len(members))
	for i, m := range members {
		out[i] = ranked{m, xxhash.Sum64String("watch/" + m.ID)}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// Place is the part of a member in the distribution of changes.
type Place struct {
	// FleetRank is the member's rank over all live members, starting at 0.
	FleetRank int
	// Watches tells whether the member is chosen to watch the store.
	Watches bool
	// Parent is the member of the same data centre from which pushed items are fetched; the first member of a
	// data centre has none.
	Parent Member
	// HasParent tells whether Parent is set.
	HasParent bool
}

// PlaceOf returns the place of self among the live members, to which self is added if it is missing. Each data
// centre forms a tree in rank order, so that a change costs no member more than treeFanout fetches.
func PlaceOf(self Member, live []Member) Place {
	if !slices.ContainsFunc(live, func(m Member) bool { return m.ID == self.ID }) {
		live = append(slices.Clone(live), self)
	}
	var local []Member
	var p Place
	for i, m := range rank(live) {
		if m.ID == self.ID {
			p.FleetRank = i
		}
		if m.DataCentre == self.DataCentre {
			local = append(local, m.Member)
		}
	}
	at := slices.IndexFunc(local, func(m Member) bool { return m.ID == self.ID })
	p.Watches = at == 0 || p.FleetRank < fleetWatchers
	if at > 0 {
		p.Parent = local[(at-1)/treeFanout]
		p.HasParent = true
	}
	return p
}
