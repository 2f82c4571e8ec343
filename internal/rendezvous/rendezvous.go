// Package rendezvous ranks members for a key by rendezvous hashing with xxhash. The ranks depend only on the key and the
// members, so all daemons with the same members compute the same ranks.
package rendezvous

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Set is an immutable set of members with their hashes. It is safe for concurrent use.
type Set struct {
	ids    []string
	hashes []uint64
}

// NewSet returns the set of the members with the given identifiers. Duplicates are ignored.
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

// score returns the score of a member for a key from their hashes. Because the hashes are combined instead of the
// strings, ranking n members costs n hashes of 16 bytes.
func score(key, member uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], member)
	return xxhash.Sum64(b[:])
}

// Rank returns the number of members that rank before self for the key, and whether self is a member.
func (s *Set) Rank(key, self string) (int, bool) {
	position, found := slices.BinarySearch(s.ids, self)
	if !found {
		return 0, false
	}
	keyHash := xxhash.Sum64String(key)
	selfScore := score(keyHash, s.hashes[position])
	rank := 0
	for i, memberHash := range s.hashes {
		other := score(keyHash, memberHash)
		// Ties are broken by position, which is the order of the identifiers.
		if other > selfScore || other == selfScore && i < position {
			rank++
		}
	}
	return rank, true
}

type candidate struct {
	score uint64
	id    string
}

func compareCandidates(a, b candidate) int {
	if a.score != b.score {
		if a.score > b.score {
			return -1
		}
		return 1
	}
	return strings.Compare(a.id, b.id)
}

// Top returns the first n members for the key in order of rank, or all members if there are fewer than n.
func (s *Set) Top(key string, n int) []string {
	n = min(n, len(s.ids))
	if n <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	top := make([]candidate, 0, n)
	for i, memberHash := range s.hashes {
		c := candidate{score: score(keyHash, memberHash), id: s.ids[i]}
		if len(top) == n && compareCandidates(top[n-1], c) < 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(top, c, compareCandidates)
		if len(top) == n {
			top = top[:n-1]
		}
		top = slices.Insert(top, position, c)
	}
	ids := make([]string, len(top))
	for i, c := range top {
		ids[i] = c.id
	}
	return ids
}
