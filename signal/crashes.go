package signal

import (
	"time"
)

// Crash marks the fingerprint of a request that crashed backend servers. The mark ends at Until, the Unix time in seconds.
type Crash struct {
	Fingerprint uint64
	Until       uint64
}

// CrashSet is a bounded set of marked fingerprints. It is not safe for concurrent use.
type CrashSet struct {
	// ends holds the ends of the marks by fingerprint, as Unix time in seconds.
	ends  map[uint64]uint64
	limit int
}

// NewCrashSet returns an empty set of at most MaxCrashes fingerprints.
func NewCrashSet() *CrashSet { return &CrashSet{ends: make(map[uint64]uint64), limit: MaxCrashes} }

// Merge adds or extends a mark and reports whether the set changed. If the set is full, the mark with the earliest end is
// evicted, or the new one is rejected with ErrFull if it ends no later. ErrInvalid is returned for a mark that ends too far
// in the future.
func (c *CrashSet) Merge(now time.Time, crash Crash) (bool, error) {
	if crash.Until > unix(now.Add(maxLifetime)) {
		return false, ErrInvalid
	}
	if crash.Until <= unix(now) || c.ends[crash.Fingerprint] >= crash.Until {
		return false, nil
	}
	if _, known := c.ends[crash.Fingerprint]; !known && len(c.ends) >= c.limit && !c.evict(now, crash.Until) {
		return false, ErrFull
	}
	c.ends[crash.Fingerprint] = crash.Until
	return true, nil
}

// evict removes the marks that have ended or, if there are none, the one with the earliest end, provided that this is before
// the given time. It reports whether another mark can be added.
func (c *CrashSet) evict(now time.Time, before uint64) bool {
	var earliest uint64
	found := false
	for fingerprint, until := range c.ends {
		if until <= unix(now) {
			delete(c.ends, fingerprint)
			continue
		}
		if !found || until < c.ends[earliest] || until == c.ends[earliest] && fingerprint < earliest {
			earliest, found = fingerprint, true
		}
	}
	if len(c.ends) < c.limit {
		return true
	}
	if c.ends[earliest] >= before {
		return false
	}
	delete(c.ends, earliest)
	return true
}

// Has reports whether the fingerprint has a mark that has not ended.
func (c *CrashSet) Has(now time.Time, fingerprint uint64) bool {
	return c.ends[fingerprint] > unix(now)
}

// Len returns the number of fingerprints, including those whose marks have ended.
func (c *CrashSet) Len() int { return len(c.ends) }
