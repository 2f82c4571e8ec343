package share

import (
	"slices"
	"time"
)

// Delays of the counted set.
const (
	// DefaultHold is how long a member stays counted after both lists dropped it. It covers short gaps in which
	// neither list shows a live member, and the time that an ended process's connections take to close.
	DefaultHold = 30 * time.Second
	// DefaultJoinDelay is how long a daemon uses no share after it joined. It has to exceed the time until at least
	// one of the two lists shows the daemon to every other one.
	DefaultJoinDelay = 30 * time.Second
	// MaxCounted bounds the counted members.
	MaxCounted = 8192
)

// Counted tracks the members that a daemon counts. It is not safe for concurrent use.
type Counted struct {
	self      string
	hold      time.Duration
	joinDelay time.Duration
	joined    time.Time
	updated   time.Time
	// seen is the last time at which a list showed the member.
	seen map[string]time.Time
}

// NewCounted returns a tracker that counts only self. A zero hold or join delay is replaced by the default.
func NewCounted(self string, hold, joinDelay time.Duration) *Counted {
	if hold == 0 {
		hold = DefaultHold
	}
	if joinDelay == 0 {
		joinDelay = DefaultJoinDelay
	}
	return &Counted{self: self, hold: hold, joinDelay: joinDelay, seen: make(map[string]time.Time)}
}

// Join starts the join delay. It is called when the daemon holds a complete member list for the first time, and
// again when it learns that others took it as failed.
func (c *Counted) Join(now time.Time) { c.joined = now }

// Update takes the live members of the member list and the entry VMs that the platform lists, leaving ones
// included. A member is dropped when both lists have been without it for the hold time. It reports whether all
// members fit MaxCounted. A daemon that was paused starts its join delay again: after the hold time, because others
// may have dropped it, and during the join delay already after a shorter time, because it has to have seen the lists
// throughout the delay.
func (c *Counted) Update(now time.Time, live, listed []string) bool {
	if !c.joined.IsZero() && now.Sub(c.lastUpdate()) >= c.longestGap() {
		c.joined = now
	}
	c.updated = now
	fits := true
	for _, list := range [][]string{live, listed} {
		for _, id := range list {
			if _, known := c.seen[id]; !known && len(c.seen) >= MaxCounted {
				fits = false
				continue
			}
			c.seen[id] = now
		}
	}
	for id, at := range c.seen {
		if now.Sub(at) >= c.hold {
			delete(c.seen, id)
		}
	}
	return fits
}

// leastStale keeps short join delays, as tests use them, from stopping the use of a share between two updates.
const leastStale = time.Second

// stale is how long after its last update a daemon still uses its share. A daemon that was paused may not have seen
// another one join, which uses its share a join delay after its start; a third of the join delay leaves the rest for
// the lag of the lists.
func (c *Counted) stale() time.Duration { return max(c.joinDelay/3, leastStale) }

// lastUpdate returns the time of the last update, or of the join if there was none since.
func (c *Counted) lastUpdate() time.Time {
	if c.updated.Before(c.joined) {
		return c.joined
	}
	return c.updated
}

// longestGap is the time between two updates after which the join delay starts again.
func (c *Counted) longestGap() time.Duration {
	if c.lastUpdate().Before(c.joined.Add(c.joinDelay)) {
		return min(c.stale(), c.hold)
	}
	return c.hold
}

// Active reports whether the daemon may use its share: it was updated after the join delay, and lately. Without an
// update after the delay, a daemon that was paused shortly before its end would use a share that others did not see
// coming.
func (c *Counted) Active(now time.Time) bool {
	return !c.joined.IsZero() && c.updated.Sub(c.joined) >= c.joinDelay && now.Sub(c.updated) < c.stale()
}

// Members returns the counted members, self included, sorted.
func (c *Counted) Members() []string {
	ids := make([]string, 0, len(c.seen)+1)
	for id := range c.seen {
		ids = append(ids, id)
	}
	if _, ok := c.seen[c.self]; !ok {
		ids = append(ids, c.self)
	}
	slices.Sort(ids)
	return ids
}

// Connections returns the number of connections that this daemon may hold to the replica at present.
func (c *Counted) Connections(now time.Time, limit int, replica string) int {
	if !c.Active(now) {
		return 0
	}
	return Connections(limit, replica, c.self, c.Members())
}
