// Package share computes each daemon's share of the connections of a replica, without messages between daemons.
//
// The counted members are ranked by rendezvous hash for the replica. Connection t belongs to the member whose rank
// is t modulo the number of counted members. A counted member that is not live only raises ranks and the number, so
// the shares of the live members sum to at most the limit as long as each live member counts all live members.
package share

import "github.com/chivemill/chivemill/internal/rendezvous"

// Set is a counted set that is prepared for many replicas. It is safe for concurrent use.
type Set struct{ members *rendezvous.Set }

// NewSet prepares a counted set.
func NewSet(counted []string) Set { return Set{members: rendezvous.NewSet(counted)} }

// Connections returns the number of connections that self may hold to the replica, out of limit for all daemons.
// It is 0 if self is not counted.
func (s Set) Connections(limit int, replica, self string) int {
	rank, ok := s.members.Rank(replica, self)
	if !ok {
		return 0
	}
	return connections(limit, rank, s.members.Len())
}

// connections is the number of t in [0, limit) with t mod n = rank.
func connections(limit, rank, n int) int {
	if rank >= limit {
		return 0
	}
	return (limit - rank + n - 1) / n
}

// Table keeps one daemon's share of many replicas while counted members come and go. It is not safe for concurrent
// use.
type Table struct{ ranks *rendezvous.Ranks }

// NewTable returns the shares of self, which is the only counted member at first.
func NewTable(self string, replicas []string) Table {
	return Table{ranks: rendezvous.NewRanks(self, replicas)}
}

// SetCounted replaces the counted members and returns the number of members that changed. Each of them costs one
// short hash per replica.
func (t Table) SetCounted(counted []string) int { return t.ranks.SetMembers(counted) }

// Connections returns the number of connections to the replica, 0 if the replica is not in the table.
func (t Table) Connections(limit int, replica string) int {
	rank, ok := t.ranks.Rank(replica)
	if !ok {
		return 0
	}
	return connections(limit, rank, t.ranks.Len())
}

// Owners returns the members that hold at least one connection to the replica, those with the most connections
// first. A daemon without a connection of its own sends its sub-requests through one of them.
func (s Set) Owners(limit int, replica string) []string { return s.members.Top(replica, limit) }

// Connections is Set.Connections for one replica.
func Connections(limit int, replica, self string, counted []string) int {
	return NewSet(counted).Connections(limit, replica, self)
}

// Owners is Set.Owners for one replica.
func Owners(limit int, replica string, counted []string) []string {
	return NewSet(counted).Owners(limit, replica)
}
