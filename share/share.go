// Package share divides the connections of a replica among the daemons without messages between them.
//
// Each daemon ranks the counted members for the replica by rendezvous hashing. The connections of a replica are
// numbered from 0; connection t belongs to the member whose rank is t modulo the number of counted members. Counting a
// member that is not live can only increase the ranks and the number of members. The shares of the live members
// therefore add up to at most the replica's connection limit as long as each live member counts all live members.
package share

import "github.com/chivemill/chivemill/internal/rendezvous"

// Set is a set of counted members, prepared for computing the shares of many replicas. It is safe for concurrent use.
type Set struct{ members *rendezvous.Set }

// NewSet returns the set of the given counted members.
func NewSet(counted []string) Set { return Set{members: rendezvous.NewSet(counted)} }

// Connections returns how many of the limit connections that the replica accepts from all daemons self may hold. It is
// 0 if self is not counted.
func (s Set) Connections(limit int, replica, self string) int {
	rank, ok := s.members.Rank(replica, self)
	if !ok {
		return 0
	}
	return connectionsForRank(limit, rank, s.members.Len())
}

// connectionsForRank returns the number of t in [0, limit) with t mod n = rank.
func connectionsForRank(limit, rank, n int) int {
	if rank >= limit {
		return 0
	}
	return (limit - rank + n - 1) / n
}

// Table computes one daemon's share of many replicas and is updated incrementally when the counted members change. It
// is not safe for concurrent use.
type Table struct{ ranks *rendezvous.Ranks }

// NewTable returns a table for the shares of self, which is initially the only counted member.
func NewTable(self string, replicas []string) Table {
	return Table{ranks: rendezvous.NewRanks(self, replicas)}
}

// SetMembers replaces the counted members and returns the number of members added or removed. Each of them costs one
// short hash computation per replica.
func (t Table) SetMembers(counted []string) int { return t.ranks.SetMembers(counted) }

// Connections returns the number of connections that the daemon may hold to the replica, or 0 if the replica is not in
// the table.
func (t Table) Connections(limit int, replica string) int {
	rank, ok := t.ranks.Rank(replica)
	if !ok {
		return 0
	}
	return connectionsForRank(limit, rank, t.ranks.Len())
}

// Owners returns the members that may hold at least one connection to the replica, those with the most connections
// first. A daemon without a connection of its own sends its sub-requests through one of them.
func (s Set) Owners(limit int, replica string) []string { return s.members.Top(replica, limit) }

// Connections calls Set.Connections for a set that is used only once.
func Connections(limit int, replica, self string, counted []string) int {
	return NewSet(counted).Connections(limit, replica, self)
}

// Owners calls Set.Owners for a set that is used only once.
func Owners(limit int, replica string, counted []string) []string {
	return NewSet(counted).Owners(limit, replica)
}
