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
	if !ok || rank >= limit {
		return 0
	}
	n := s.members.Len()
	return (limit - rank + n - 1) / n
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
