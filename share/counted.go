package share

import (
	"slices"
	"time"
)

// Defaults and limits of Tracker.
const (
	// DefaultHoldTime is how long a member remains counted after it has disappeared from both lists. It covers short gaps
	// in which neither list contains a live member, and the time until the connections of a stopped process are closed.
	DefaultHoldTime = 30 * time.Second
	// DefaultJoinDelay is how long a daemon does not use its share after joining. It must be longer than the time until
	// every other daemon sees the new one in at least one of the two lists.
	DefaultJoinDelay = 30 * time.Second
	// MaxMembers is the largest number of counted members.
	MaxMembers = 8192
)

// Tracker tracks the counted members: those among which a daemon divides the connections of a replica. It is not safe
// for concurrent use.
type Tracker struct {
	self      string
	holdTime  time.Duration
	joinDelay time.Duration
	joinedAt  time.Time
	updatedAt time.Time
	// lastSeen holds the last time at which each member was in a list.
	lastSeen map[string]time.Time
}

// NewTracker returns a tracker that counts only self. If the hold time or the join delay is 0, the default is used.
func NewTracker(self string, holdTime, joinDelay time.Duration) *Tracker {
	if holdTime == 0 {
		holdTime = DefaultHoldTime
	}
	if joinDelay == 0 {
		joinDelay = DefaultJoinDelay
	}
	return &Tracker{self: self, holdTime: holdTime, joinDelay: joinDelay, lastSeen: make(map[string]time.Time)}
}

// StartJoinDelay starts the join delay. It must be called when the daemon has a complete member list for the first
// time, and again when the daemon learns that others considered it failed.
func (c *Tracker) StartJoinDelay(now time.Time) { c.joinedAt = now }

// Update applies the live members of the member list and the entry VMs on the platform's VM list, including those that
// are leaving. A member is removed after it has been missing from both lists for the hold time. Update reports whether
// all members are counted; it is false if some exceeded MaxMembers.
//
// A gap between two updates restarts the join delay if it reaches the hold time, because others may have removed this
// daemon. During the join delay, a gap of staleAfter restarts it too, because the daemon must have seen the lists
// throughout the delay.
func (c *Tracker) Update(now time.Time, live, listed []string) bool {
	if !c.joinedAt.IsZero() && now.Sub(c.lastUpdate()) >= c.maxUpdateGap() {
		c.joinedAt = now
	}
	c.updatedAt = now
	allFit := true
	for _, list := range [][]string{live, listed} {
		for _, id := range list {
			if _, known := c.lastSeen[id]; !known && len(c.lastSeen) >= MaxMembers {
				allFit = false
				continue
			}
			c.lastSeen[id] = now
		}
	}
	for id, at := range c.lastSeen {
		if now.Sub(at) >= c.holdTime {
			delete(c.lastSeen, id)
		}
	}
	return allFit
}

// minStaleAfter prevents short join delays, as used in tests, from making a share unusable between two updates.
const minStaleAfter = time.Second

// staleAfter returns how long after its last update a daemon may still use its share. A paused daemon may have missed
// that another one joined, which uses its share after the join delay. A third of the join delay leaves the rest for the
// delay of the lists.
func (c *Tracker) staleAfter() time.Duration { return max(c.joinDelay/3, minStaleAfter) }

// lastUpdate returns the time of the last update, or of the join if there was none since.
func (c *Tracker) lastUpdate() time.Time {
	if c.updatedAt.Before(c.joinedAt) {
		return c.joinedAt
	}
	return c.updatedAt
}

// maxUpdateGap returns the time between two updates from which on the join delay restarts.
func (c *Tracker) maxUpdateGap() time.Duration {
	if c.lastUpdate().Before(c.joinedAt.Add(c.joinDelay)) {
		return min(c.staleAfter(), c.holdTime)
	}
	return c.holdTime
}

// MayUseShare reports whether the daemon may use its share. This requires an update after the end of the join delay and
// a recent update. Without the former, a daemon that was paused shortly before the end of the delay would use a share
// although it has not seen the lists since.
func (c *Tracker) MayUseShare(now time.Time) bool {
	return !c.joinedAt.IsZero() && c.updatedAt.Sub(c.joinedAt) >= c.joinDelay && now.Sub(c.updatedAt) < c.staleAfter()
}

// Members returns the counted members including self, sorted.
func (c *Tracker) Members() []string {
	ids := make([]string, 0, len(c.lastSeen)+1)
	for id := range c.lastSeen {
		ids = append(ids, id)
	}
	if _, ok := c.lastSeen[c.self]; !ok {
		ids = append(ids, c.self)
	}
	slices.Sort(ids)
	return ids
}

// Connections returns the number of connections that this daemon may hold to the replica at the given time. limit is
// the replica's connection limit.
func (c *Tracker) Connections(now time.Time, limit int, replica string) int {
	if !c.MayUseShare(now) {
		return 0
	}
	return Connections(limit, replica, c.self, c.Members())
}
