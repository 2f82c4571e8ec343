package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Ranks maintains the rank of one member, self, for many keys. Adding or removing a member costs one short hash per key;
// computing the ranks anew would cost one per key and member. It is not safe for concurrent use.
type Ranks struct {
	self         string
	keyIndex     map[string]int
	keyHashes    []uint64
	selfScores   []uint64
	ranks        []int32
	memberHashes map[string]uint64
}

// NewRanks returns the ranks of self for the keys. Initially, self is the only member.
func NewRanks(self string, keys []string) *Ranks {
	r := &Ranks{self: self, keyIndex: make(map[string]int, len(keys)), memberHashes: make(map[string]uint64)}
	selfHash := xxhash.Sum64String(self)
	for _, key := range keys {
		if _, known := r.keyIndex[key]; known {
			continue
		}
		keyHash := xxhash.Sum64String(key)
		r.keyIndex[key] = len(r.keyHashes)
		r.keyHashes = append(r.keyHashes, keyHash)
		r.selfScores = append(r.selfScores, score(keyHash, selfHash))
	}
	r.ranks = make([]int32, len(r.keyHashes))
	return r
}

// Len returns the number of members, including self.
func (r *Ranks) Len() int { return len(r.memberHashes) + 1 }

// SetMembers replaces the members and returns the number of members added and removed. Self always remains a member.
func (r *Ranks) SetMembers(ids []string) int {
	changes := 0
	present := make(map[string]bool, len(ids))
	for _, id := range ids {
		if id == r.self || present[id] {
			continue
		}
		present[id] = true
		if _, known := r.memberHashes[id]; !known {
			hash := xxhash.Sum64String(id)
			r.memberHashes[id] = hash
			r.adjustRanks(id, hash, 1)
			changes++
		}
	}
	for id, hash := range r.memberHashes {
		if !present[id] {
			delete(r.memberHashes, id)
			r.adjustRanks(id, hash, -1)
			changes++
		}
	}
	return changes
}

// adjustRanks adds delta to the rank of self for each key for which the given member ranks before self.
func (r *Ranks) adjustRanks(id string, memberHash uint64, delta int32) {
	for i, keyHash := range r.keyHashes {
		other := score(keyHash, memberHash)
		if other > r.selfScores[i] || other == r.selfScores[i] && id < r.self {
			r.ranks[i] += delta
		}
	}
}

// Rank returns the number of members that rank before self for the key, and whether the key is known.
func (r *Ranks) Rank(key string) (int, bool) {
	i, ok := r.keyIndex[key]
	if !ok {
		return 0, false
	}
	return int(r.ranks[i]), true
}

// TopKeys returns, in sorted order, the keys for which self is among the first n members.
func (r *Ranks) TopKeys(n int) []string {
	var keys []string
	for key, i := range r.keyIndex {
		if int(r.ranks[i]) < n {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
