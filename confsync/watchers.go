package confsync

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member identifies a live daemon of the fleet.
type Member struct {
	ID         string
	Address    string
	DataCentre string
}

const (
	// fleetWatchers is the number of members that watch the store on behalf of the whole fleet. In addition, one
	// member per data centre watches it.
	fleetWatchers = 2
	// treeFanout is the number of children of a member in the distribution tree.
	treeFanout = 8
)

// ranked is a member with its rendezvous hash.
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

// Role is the role of a member in the distribution of changes.
type Role struct {
	// FleetRank is the member's rank among all live members, starting at 0.
	FleetRank int
	// IsWatcher reports whether the member watches the store.
	IsWatcher bool
	// Parent is the member of the same data centre from which announced items are fetched first. The first member
	// of a data centre has no parent.
	Parent Member
	// HasParent reports whether Parent is set.
	HasParent bool
}

// RoleOf returns the role of self among the live members, to which self is added if it is missing. Each data
// centre forms a tree in rank order, so that a member has at most treeFanout children. The first member of each
// data centre fetches from the origin of the change, and so do members whose fetches from the parent failed.
func RoleOf(self Member, live []Member) Role {
	if !slices.ContainsFunc(live, func(m Member) bool { return m.ID == self.ID }) {
		live = append(slices.Clone(live), self)
	}
	var local []Member
	var role Role
	for i, m := range rank(live) {
		if m.ID == self.ID {
			role.FleetRank = i
		}
		if m.DataCentre == self.DataCentre {
			local = append(local, m.Member)
		}
	}
	index := slices.IndexFunc(local, func(m Member) bool { return m.ID == self.ID })
	role.IsWatcher = index == 0 || role.FleetRank < fleetWatchers
	if index > 0 {
		role.Parent = local[(index-1)/treeFanout]
		role.HasParent = true
	}
	return role
}
