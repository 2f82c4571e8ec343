package snapshot

// Catalogue holds the shard maps of one service and the snapshot in use. It is not safe for concurrent use.
type Catalogue struct {
	maps    map[int64]Map
	current Version
}

// NewCatalogue returns an empty catalogue.
func NewCatalogue() *Catalogue {
	return &Catalogue{maps: make(map[int64]Map)}
}

// AddMap records a shard map. A map that fails Check is rejected. The first map of a version is kept, because
// maps are immutable.
func (c *Catalogue) AddMap(m Map) error {
	if err := m.Check(); err != nil {
		return err
	}
	if _, ok := c.maps[m.Version]; !ok {
		c.maps[m.Version] = m
	}
	return nil
}

// Map returns the map of a version.
func (c *Catalogue) Map(version int64) (Map, bool) {
	m, ok := c.maps[version]
	return m, ok
}

// Update chooses the snapshot for new queries from the holdings of all replicas that accept work: the newest
// complete one. When none is complete, the current snapshot stays, and the answers say what they lack; without
// a current snapshot the one with the largest covered range is taken.
func (c *Catalogue) Update(holdings []Holding) Version {
	held := make(map[Version]map[string]bool)
	for _, h := range holdings {
		if held[h.Version] == nil {
			held[h.Version] = make(map[string]bool)
		}
		held[h.Version][h.Shard] = true
	}
	var best, widest Version
	var widestRange uint64
	for v, shards := range held {
		m, ok := c.maps[v.Map]
		if !ok {
			continue
		}
		covered := coveredRange(m, shards)
		if covered == KeySpace && best.Less(v) {
			best = v
		}
		if covered > widestRange || covered == widestRange && covered > 0 && widest.Less(v) {
			widest, widestRange = v, covered
		}
	}
	switch {
	case !best.IsZero() && (c.current.Less(best) || coveredRange(c.maps[c.current.Map], held[c.current]) < KeySpace):
		c.current = best
	case c.current.IsZero():
		c.current = widest
	case len(held[c.current]) == 0 && widestRange > 0:
		// No replica holds the current snapshot any more, so keeping it would answer nothing.
		c.current = widest
	}
	return c.current
}

// Current returns the snapshot in use and its map; ok is false until one is known.
func (c *Catalogue) Current() (Version, Map, bool) {
	m, ok := c.maps[c.current.Map]
	return c.current, m, ok && !c.current.IsZero()
}

func coveredRange(m Map, shards map[string]bool) uint64 {
	var sum uint64
	for _, s := range m.Shards {
		if shards[s.ID] {
			sum += s.High - s.Low
		}
	}
	return sum
}
