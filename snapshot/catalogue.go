package snapshot

import (
	"errors"
	"fmt"
	"slices"
	"sort"
)

const (
	// settleUpdates is the number of consecutive updates for which a snapshot that was left must be the better one
	// before it is used again. Without it, a replica that restarts again and again with an old index makes the
	// queries jump between two snapshots.
	settleUpdates = 6
	// maxMaps bounds the shard maps that are kept although no replica advertises them.
	maxMaps = 64
)

// ErrMapConflict means that two replicas sent different maps of the same version.
var ErrMapConflict = errors.New("shard map differs from an earlier map of the same version")

// Catalogue holds the shard maps of one service and the snapshot in use. It is not safe for concurrent use.
type Catalogue struct {
	maps    map[int64]*candidates
	current Version
	// left holds the snapshots that were replaced by an older or wider one, with the number of consecutive updates
	// for which each has been better since.
	left map[Version]int
}

// candidates are the different contents that replicas sent for one map version. Maps are immutable, so more than
// one means that a replica is faulty. The first one is in use until another has more votes.
type candidates struct {
	contents []Map
	votes    map[string]int
	inUse    int
}

// NewCatalogue returns an empty catalogue.
func NewCatalogue() *Catalogue {
	return &Catalogue{maps: make(map[int64]*candidates), left: make(map[Version]int)}
}

// AddMap is AddMapFrom for a map whose sender is not known.
func (c *Catalogue) AddMap(m Map) error { return c.AddMapFrom("", m) }

// AddMapFrom records the map that a replica sent. A map that fails Check is rejected. If replicas disagree about a
// version it returns ErrMapConflict, and the content that most replicas sent is used; a version without such a
// majority does not become current.
func (c *Catalogue) AddMapFrom(replica string, m Map) error {
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

func (k *candidates) vote(replica string, m Map) {
	index := slices.IndexFunc(k.contents, func(old Map) bool { return slices.Equal(old.Shards, m.Shards) })
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

// agreed reports whether the content in use has more votes than any other.
func (k *candidates) agreed() bool {
	counts := k.counts()
	for i, n := range counts {
		if i != k.inUse && n >= counts[k.inUse] {
			return false
		}
	}
	return true
}

// Map returns the map of a version.
func (c *Catalogue) Map(version int64) (Map, bool) {
	known, ok := c.maps[version]
	if !ok {
		return Map{}, false
	}
	return known.contents[known.inUse], true
}

// HasMapFrom reports whether the replica's own copy of the map was recorded. A caller that asks each replica once
// finds the replicas that disagree.
func (c *Catalogue) HasMapFrom(replica string, version int64) bool {
	known, ok := c.maps[version]
	if !ok {
		return false
	}
	_, voted := known.votes[replica]
	return voted
}

// Update chooses the snapshot for new queries from the holdings of all replicas that accept work.
//
// A complete snapshot stays until a newer one is complete. If the current snapshot is incomplete, the newest
// complete one replaces it at once, even if it is older, because coverage comes before freshness. If none is
// complete, the one with the largest covered range is used. A snapshot that was left is used again only after it
// has been the better one for several updates, unless the current one is incomplete and it is complete.
func (c *Catalogue) Update(holdings []Holding) Version {
	held := holders(holdings)
	c.prune(held)
	best, widest, widestRange := c.rank(held)
	currentRange := c.coveredRange(c.current, held)
	next := c.current
	switch {
	case !best.IsZero() && currentRange < KeySpace:
		next = best
	case currentRange == KeySpace:
		if c.current.Less(best) && c.settled(best) {
			next = best
		}
	case c.current.IsZero() || currentRange == 0 && widestRange > 0:
		next = widest
	case widestRange > currentRange && c.settled(widest):
		next = widest
	}
	c.switchTo(next, held)
	return c.current
}

// Complete reports whether every shard of the snapshot in use is among the holdings.
func (c *Catalogue) Complete(holdings []Holding) bool {
	return !c.current.IsZero() && c.coveredRange(c.current, holders(holdings)) == KeySpace
}

func holders(holdings []Holding) map[Version]map[string]bool {
	held := make(map[Version]map[string]bool)
	for _, h := range holdings {
		if held[h.Version] == nil {
			held[h.Version] = make(map[string]bool)
		}
		held[h.Version][h.Shard] = true
	}
	return held
}

// rank returns the newest complete snapshot and the one with the largest covered range.
func (c *Catalogue) rank(held map[Version]map[string]bool) (best, widest Version, widestRange uint64) {
	for v := range held {
		known, ok := c.maps[v.Map]
		if !ok || !known.agreed() && v != c.current {
			continue
		}
		covered := c.coveredRange(v, held)
		if covered == KeySpace && best.Less(v) {
			best = v
		}
		if covered > widestRange || covered == widestRange && covered > 0 && widest.Less(v) {
			widest, widestRange = v, covered
		}
	}
	return best, widest, widestRange
}

// settled reports whether a snapshot may be used that is better than the current one in this update.
func (c *Catalogue) settled(v Version) bool {
	n, wasLeft := c.left[v]
	if !wasLeft {
		return true
	}
	// The count is negative while it grows, so that switchTo can tell which snapshots were better in this update.
	c.left[v] = -(abs(n) + 1)
	return abs(n)+1 >= settleUpdates
}

func abs(n int) int { return max(n, -n) }

// switchTo puts a snapshot in use and keeps the counts of those that were left.
func (c *Catalogue) switchTo(next Version, held map[Version]map[string]bool) {
	for v, n := range c.left {
		switch {
		case len(held[v]) == 0:
			delete(c.left, v)
		case n >= 0:
			c.left[v] = 0
		default:
			c.left[v] = -n
		}
	}
	if next == c.current {
		return
	}
	if !c.current.IsZero() && len(held[c.current]) > 0 {
		c.left[c.current] = 0
	}
	c.current = next
	delete(c.left, next)
}

// prune drops maps that no replica advertises any more when there are many.
func (c *Catalogue) prune(held map[Version]map[string]bool) {
	if len(c.maps) <= maxMaps {
		return
	}
	used := map[int64]bool{c.current.Map: true}
	for v := range held {
		used[v.Map] = true
	}
	for version := range c.maps {
		if !used[version] {
			delete(c.maps, version)
		}
	}
}

// Current returns the snapshot in use and its map; ok is false until one is known.
func (c *Catalogue) Current() (Version, Map, bool) {
	m, ok := c.Map(c.current.Map)
	return c.current, m, ok && !c.current.IsZero()
}

// coveredRange returns how much of the key space replicas hold in the snapshot.
func (c *Catalogue) coveredRange(v Version, held map[Version]map[string]bool) uint64 {
	m, _ := c.Map(v.Map)
	var sum uint64
	for _, s := range m.Shards {
		if held[v][s.ID] {
			sum += s.High - s.Low
		}
	}
	return sum
}
