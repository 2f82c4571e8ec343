package signal

import (
	"time"
)

// Crash is the fingerprint of a request that crashed backend servers. It ends at the Unix time Until in seconds.
type Crash struct {
	Fingerprint uint64
	Until       uint64
}

// Crashes is a bounded set of fingerprints. It is not safe for concurrent use.
type Crashes struct {
	ends map[uint64]uint64
	max  int
}

// NewCrashes returns an empty set of at most MaxCrashes fingerprints.
func NewCrashes() *Crashes { return &Crashes{ends: make(map[uint64]uint64), max: MaxCrashes} }

// Merge takes a fingerprint and reports whether the set changed. A full set drops the fingerprint that ends first.
func (c *Crashes) Merge(now time.Time, crash Crash) (bool, error) {
	if crash.Until > unix(now.Add(maxLifetime)) {
		return false, ErrInvalid
	}
	if crash.Until <= unix(now) || c.ends[crash.Fingerprint] >= crash.Until {
		return false, nil
	}
	if _, known := c.ends[crash.Fingerprint]; !known && len(c.ends) >= c.max && !c.makeRoom(now, crash.Until) {
		return false, ErrFull
	}
	c.ends[crash.Fingerprint] = crash.Until
	return true, nil
}

// makeRoom drops what has ended, or else what ends first if that is before the given time.
func (c *Crashes) makeRoom(now time.Time, before uint64) bool {
	var first uint64
	found := false
	for fp, until := range c.ends {
		if until <= unix(now) {
			delete(c.ends, fp)
			continue
		}
		if !found || until < c.ends[first] || until == c.ends[first] && fp < first {
			first, found = fp, true
		}
	}
	if len(c.ends) < c.max {
		return true
	}
	if c.ends[first] >= before {
		return false
	}
	delete(c.ends, first)
	return true
}

// Has reports whether the fingerprint is marked at present.
func (c *Crashes) Has(now time.Time, fingerprint uint64) bool { return c.ends[fingerprint] > unix(now) }

// Len returns the number of fingerprints, ended ones included.
func (c *Crashes) Len() int { return len(c.ends) }
