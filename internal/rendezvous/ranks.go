package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranks keeps the rank of one member for many keys. A change of one member costs one short hash per key, where
// ranking anew would cost one per key and member. It is not safe for concurrent use.
type Ranks struct {
	self    string
	index   map[string]int
	keys    []uint64
	own     []uint64
	ranks   []int32
	members map[string]uint64
}

// NewRanks returns the ranks of self for the keys; self is the only member at first.
func NewRanks(self string, keys []string) *Ranks {
	r := &Ranks{self: self, index: make(map[string]int, len(keys)), members: make(map[string]uint64)}
	hash := xxhash.Sum64String(self)
	for _, key := range keys {
		if _, known := r.index[key]; known {
			continue
		}
		k := xxhash.Sum64String(key)
		r.index[key] = len(r.keys)
		r.keys = append(r.keys, k)
		r.own = append(r.own, score(k, hash))
	}
	r.ranks = make([]int32, len(r.keys))
	return r
}

// Len returns the number of members, self included.
func (r *Ranks) Len() int { return len(r.members) + 1 }

// SetMembers replaces the members. Self is always one of them. It returns the number of members that changed.
func (r *Ranks) SetMembers(ids []string) int {
	changes := 0
	present := make(map[string]bool, len(ids))
	for _, id := range ids {
		if id == r.self || present[id] {
			continue
		}
		present[id] = true
		if _, known := r.members[id]; !known {
			h := xxhash.Sum64String(id)
			r.members[id] = h
			r.shift(id, h, 1)
			changes++
		}
	}
	for id, h := range r.members {
		if !present[id] {
			delete(r.members, id)
			r.shift(id, h, -1)
			changes++
		}
	}
	return changes
}

// shift moves self by one place for each key for which the member comes first.
func (r *Ranks) shift(id string, hash uint64, by int32) {
	for i, k := range r.keys {
		other := score(k, hash)
		if other > r.own[i] || other == r.own[i] && id < r.self {
			r.ranks[i] += by
		}
	}
}

// Rank returns the number of members that come before self for the key, and whether the key is known.
func (r *Ranks) Rank(key string) (int, bool) {
	i, ok := r.index[key]
	if !ok {
		return 0, false
	}
	return int(r.ranks[i]), true
}

// First returns the keys for which self is among the first n members, sorted.
func (r *Ranks) First(n int) []string {
	var keys []string
	for key, i := range r.index {
		if int(r.ranks[i]) < n {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
