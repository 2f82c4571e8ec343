// Package rendezvous ranks members for a key by rendezvous hashing with xxhash. All functions are pure, and all
// daemons with the same members compute the same ranks.
package rendezvous

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Set is a set of members with their hashes. It is not changed after NewSet and is safe for concurrent use.
type Set struct {
	ids    []string
	hashes []uint64
}

// NewSet returns the set of the identifiers. Duplicates count once.
func NewSet(ids []string) *Set {
	sorted := slices.Clone(ids)
	slices.Sort(sorted)
	s := &Set{ids: slices.Compact(sorted)}
	s.hashes = make([]uint64, len(s.ids))
	for i, id := range s.ids {
		s.hashes[i] = xxhash.Sum64String(id)
	}
	return s
}

// Len returns the number of members.
func (s *Set) Len() int { return len(s.ids) }

// score combines two hashes. Hashing the two hashes instead of the two strings makes a ranking of n members cost n
// short hashes.
func score(key, member uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], member)
	return xxhash.Sum64(b[:])
}

// Rank returns the number of members that come before self for the key, and whether self is a member.
func (s *Set) Rank(key, self string) (int, bool) {
	at, found := slices.BinarySearch(s.ids, self)
	if !found {
		return 0, false
	}
	k := xxhash.Sum64String(key)
	own := score(k, s.hashes[at])
	rank := 0
	for i, h := range s.hashes {
		other := score(k, h)
		// Equal scores are ordered by position, that is by identifier.
		if other > own || other == own && i < at {
			rank++
		}
	}
	return rank, true
}

type candidate struct {
	score uint64
	id    string
}

func compare(a, b candidate) int {
	if a.score != b.score {
		if a.score > b.score {
			return -1
		}
		return 1
	}
	return strings.Compare(a.id, b.id)
}

// Top returns the first n members for the key in the order of their ranks, or all if there are fewer.
func (s *Set) Top(key string, n int) []string {
	n = min(n, len(s.ids))
	if n <= 0 {
		return nil
	}
	k := xxhash.Sum64String(key)
	top := make([]candidate, 0, n)
	for i, h := range s.hashes {
		c := candidate{score: score(k, h), id: s.ids[i]}
		if len(top) == n && compare(top[n-1], c) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, c, compare)
		if len(top) == n {
			top = top[:n-1]
		}
		top = slices.Insert(top, at, c)
	}
	ids := make([]string, len(top))
	for i, c := range top {
		ids[i] = c.id
	}
	return ids
}
