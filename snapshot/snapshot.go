// Package snapshot selects the snapshot of the index that a query reads.
//
// A snapshot is a pair of index version and shard map version. Backend servers advertise the shards that they have of
// each snapshot. A snapshot is complete when each shard of its map is available on a replica that accepts work.
package snapshot

import (
	"fmt"
	"sort"
)

// Version identifies a snapshot. Versions are ordered by index version, then by map version.
type Version struct {
	Index int64 `json:"index_version"`
	Map   int64 `json:"map_version"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Index != w.Index {
		return v.Index < w.Index
	}
	return v.Map < w.Map
}

// IsZero reports whether v is the zero version, which no backend server has.
func (v Version) IsZero() bool { return v == Version{} }

// String returns "index.map".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Index, v.Map) }

// ParseVersion parses the form that String returns.
func ParseVersion(s string) (Version, error) {
	var v Version
	var rest string
	n, _ := fmt.Sscanf(s+" .", "%d.%d %s", &v.Index, &v.Map, &rest)
	if n != 3 || rest != "." || v.String() != s {
		return Version{}, fmt.Errorf("snapshot version %q is not of the form index.map", s)
	}
	return v, nil
}

// KeySpace is the number of hash values that the shards of a map divide among them. A shard owns the range [Low, High).
const KeySpace uint64 = 1 << 32

// Shard is one part of the key space.
type Shard struct {
	ID   string `json:"id"`
	Low  uint64 `json:"low"`
	High uint64 `json:"high"`
}

// ShardMap is a partition of the key space into shards.
type ShardMap struct {
	Version int64   `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Check returns an error unless the shards cover the key space without gaps or overlaps and have distinct ids.
func (m ShardMap) Check() error {
	if len(m.Shards) == 0 {
		return fmt.Errorf("shard map %d has no shards", m.Version)
	}
	sorted := append([]Shard(nil), m.Shards...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Low < sorted[j].Low })
	ids := make(map[string]bool, len(sorted))
	var next uint64
	for _, s := range sorted {
		if s.ID == "" || ids[s.ID] {
			return fmt.Errorf("shard map %d: shard id %q is empty or repeated", m.Version, s.ID)
		}
		ids[s.ID] = true
		if s.Low != next || s.High <= s.Low {
			return fmt.Errorf("shard map %d: shard %s covers [%d,%d), expected it to start at %d", m.Version, s.ID, s.Low, s.High, next)
		}
		next = s.High
	}
	if next != KeySpace {
		return fmt.Errorf("shard map %d ends at %d instead of %d", m.Version, next, KeySpace)
	}
	return nil
}

// Holding states that a replica has a shard of a snapshot.
type Holding struct {
	Version Version `json:"version"`
	Shard   string  `json:"shard"`
}

// NewUniformMap returns a map of n shards of equal size with ids prefix-0 to prefix-(n-1).
func NewUniformMap(version int64, prefix string, n int) ShardMap {
	m := ShardMap{Version: version}
	for i := range n {
		m.Shards = append(m.Shards, Shard{
			ID:   fmt.Sprintf("%s-%d", prefix, i),
			Low:  KeySpace * uint64(i) / uint64(n),
			High: KeySpace * uint64(i+1) / uint64(n),
		})
	}
	return m
}
