package snapshot

import (
	"errors"
	"fmt"
	"slices"
	"sort"
)

const (
	// minUpdatesBeforeReturn is the number of consecutive updates in which a replaced snapshot must be the better one
	// before it is used again. Without it, a replica that restarts repeatedly with an old index would make queries
	// alternate between two snapshots.
	minUpdatesBeforeReturn = 6
	// maxMaps is the number of shard maps above which those that no replica advertises are removed.
	maxMaps = 64
)

// ErrMapConflict means that replicas sent different maps with the same version.
var ErrMapConflict = errors.New("shard map differs from an earlier map of the same version")

// Catalogue holds the shard maps of one service and the snapshot in use. It is not safe for concurrent use.
type Catalogue struct {
	maps    map[int64]*candidates
	current Version
	// replaced maps each snapshot that was replaced to the number of consecutive updates in which it has been better
	// than the current one since.
	replaced map[Version]int
}

// candidates holds the different contents that replicas sent for one map version. Maps are immutable, so more than one
// content means that a replica is faulty. The first content is used until another has more votes.
type candidates struct {
	contents []ShardMap
	votes    map[string]int
	inUse    int
}

// NewCatalogue returns an empty catalogue.
func NewCatalogue() *Catalogue {
	return &Catalogue{maps: make(map[int64]*candidates), replaced: make(map[Version]int)}
}

// AddMap is AddMapFrom for a map whose sender is not known.
func (c *Catalogue) AddMap(m ShardMap) error { return c.AddMapFrom("", m) }

// AddMapFrom records the map that a replica sent. A map that fails Check is rejected. If replicas disagree about a
// version, AddMapFrom returns ErrMapConflict and the content that most replicas sent is used; a version in which two
// contents are tied for most votes does not become current.
func (c *Catalogue) AddMapFrom(replica string, m ShardMap) error {
	if err := m.Check(); err != nil {
		return err
	}
	m.Shards = append([]Shard(nil), m.Shards...)
	sort.Slice(m.Shards, func(i, j int) bool { return m.Shards[i].Low < m.Shards[j].Low })
	known, ok := c.maps[m.Version]
	if !ok {
		known = &candidates{votes: make(map[string]int)}
		c.maps[m.Version] = known
	}
	known.vote(replica, m)
	if len(known.contents) > 1 {
		return fmt.Errorf("%w: version %d from %s", ErrMapConflict, m.Version, replica)
	}
	return nil
}

func (k *candidates) vote(replica string, m ShardMap) {
	index := slices.IndexFunc(k.contents, func(old ShardMap) bool { return slices.Equal(old.Shards, m.Shards) })
	if index < 0 {
		index = len(k.contents)
		k.contents = append(k.contents, m)
	}
	k.votes[replica] = index
	counts := k.counts()
	for i, n := range counts {
		if n > counts[k.inUse] {
			k.inUse = i
		}
	}
}

func (k *candidates) counts() []int {
	counts := make([]int, len(k.contents))
	for _, index := range k.votes {
		counts[index]++
	}
	return counts
}

// hasPlurality reports whether the content in use has more votes than any other content.
func (k *candidates) hasPlurality() bool {
	counts := k.counts()
	for i, n := range counts {
		if i != k.inUse && n >= counts[k.inUse] {
			return false
		}
	}
	return true
}

// Map returns the map with the given version.
func (c *Catalogue) Map(version int64) (ShardMap, bool) {
	known, ok := c.maps[version]
	if !ok {
		return ShardMap{}, false
	}
	return known.contents[known.inUse], true
}

// HasMapFrom reports whether the map that the replica itself sent was recorded. A caller that requests the map once
// from each replica detects the replicas that disagree.
func (c *Catalogue) HasMapFrom(replica string, version int64) bool {
	known, ok := c.maps[version]
	if !ok {
		return false
	}
	_, voted := known.votes[replica]
	return voted
}

// SelectSnapshot selects the snapshot for new queries from the holdings of all replicas that accept work.
//
// A complete snapshot stays in use until a newer one is complete. If the current snapshot is incomplete, the newest
// complete one replaces it immediately, even if it is older, because coverage has priority over freshness. If none is
// complete, the one with the largest covered range is used. A replaced snapshot is used again only after it has been
// the better one for several updates, unless it is complete and the current one is not. The result is the zero version
// until a snapshot with a known map is available.
func (c *Catalogue) SelectSnapshot(holdings []Holding) Version {
	available := shardsByVersion(holdings)
	c.prune(available)
	newestComplete, largest, largestRange := c.rank(available)
	currentRange := c.coveredRange(c.current, available)
	next := c.current
	switch {
	case !newestComplete.IsZero() && currentRange < KeySpace:
		next = newestComplete
	case currentRange == KeySpace:
		if c.current.Less(newestComplete) && c.mayReturn(newestComplete) {
			next = newestComplete
		}
	case c.current.IsZero() || currentRange == 0 && largestRange > 0:
		next = largest
	case largestRange > currentRange && c.mayReturn(largest):
		next = largest
	}
	c.switchTo(next, available)
	return c.current
}

// Complete reports whether the holdings include every shard of the snapshot in use.
func (c *Catalogue) Complete(holdings []Holding) bool {
	return !c.current.IsZero() && c.coveredRange(c.current, shardsByVersion(holdings)) == KeySpace
}

func shardsByVersion(holdings []Holding) map[Version]map[string]bool {
	available := make(map[Version]map[string]bool)
	for _, h := range holdings {
		if available[h.Version] == nil {
			available[h.Version] = make(map[string]bool)
		}
		available[h.Version][h.Shard] = true
	}
	return available
}

// rank returns the newest complete snapshot and the one with the largest covered range.
func (c *Catalogue) rank(available map[Version]map[string]bool) (newestComplete, largest Version, largestRange uint64) {
	for v := range available {
		known, ok := c.maps[v.Map]
		if !ok || !known.hasPlurality() && v != c.current {
			continue
		}
		covered := c.coveredRange(v, available)
		if covered == KeySpace && newestComplete.Less(v) {
			newestComplete = v
		}
		if covered > largestRange || covered == largestRange && covered > 0 && largest.Less(v) {
			largest, largestRange = v, covered
		}
	}
	return newestComplete, largest, largestRange
}

// mayReturn reports whether v, which is better than the current snapshot in this update, may replace it now. A
// snapshot that was never replaced always may.
func (c *Catalogue) mayReturn(v Version) bool {
	n, wasReplaced := c.replaced[v]
	if !wasReplaced {
		return true
	}
	// A negative count marks for switchTo the snapshots that were better in this update.
	c.replaced[v] = -(abs(n) + 1)
	return abs(n)+1 >= minUpdatesBeforeReturn
}

func abs(n int) int { return max(n, -n) }

// switchTo puts a snapshot in use and updates the counts of the replaced ones. The count of one that was not better in
// this update starts again at 0.
func (c *Catalogue) switchTo(next Version, available map[Version]map[string]bool) {
	for v, n := range c.replaced {
		switch {
		case len(available[v]) == 0:
			delete(c.replaced, v)
		case n >= 0:
			c.replaced[v] = 0
		default:
			c.replaced[v] = -n
		}
	}
	if next == c.current {
		return
	}
	if !c.current.IsZero() && len(available[c.current]) > 0 {
		c.replaced[c.current] = 0
	}
	c.current = next
	delete(c.replaced, next)
}

// prune removes the maps that no replica advertises any more, if there are more than maxMaps.
func (c *Catalogue) prune(available map[Version]map[string]bool) {
	if len(c.maps) <= maxMaps {
		return
	}
	used := map[int64]bool{c.current.Map: true}
	for v := range available {
		used[v.Map] = true
	}
	for version := range c.maps {
		if !used[version] {
			delete(c.maps, version)
		}
	}
}

// Current returns the snapshot in use and its map; ok is false until one is known.
func (c *Catalogue) Current() (Version, ShardMap, bool) {
	m, ok := c.Map(c.current.Map)
	return c.current, m, ok && !c.current.IsZero()
}

// coveredRange returns the size of the part of the key space for which replicas have shards of the snapshot.
func (c *Catalogue) coveredRange(v Version, available map[Version]map[string]bool) uint64 {
	m, _ := c.Map(v.Map)
	var sum uint64
	for _, s := range m.Shards {
		if available[v][s.ID] {
			sum += s.High - s.Low
		}
	}
	return sum
}
