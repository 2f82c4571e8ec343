package topology

import (
	"slices"
	"time"
)

// outageThreshold is the time without an answer of the store from which entries of live replicas may have lapsed.
const outageThreshold = 2500 * time.Millisecond

// maxStoreEvents bounds the answers and the failures that a storeHistory holds. A daemon makes a few calls a second.
const maxStoreEvents = 256

// storeHistory holds when the store answered and when calls to it failed, as far as this daemon knows: by its own calls and by those
// of other daemons. It tells an outage of the store from a gap in the reads of one daemon, which may have stood still, been cut off
// or not been the reader. Events may be recorded in any order. The zero value is ready for use; it is not safe for concurrent use.
type storeHistory struct {
	// answers and failures are sorted, oldest first.
	answers, failures []time.Time
}

// recordAnswer records that the store answered a call at the given time.
func (h *storeHistory) recordAnswer(at time.Time) { h.answers = insertTime(h.answers, at) }

// recordFailure records that a call failed at the given time although the daemon that made it was running.
func (h *storeHistory) recordFailure(at time.Time) { h.failures = insertTime(h.failures, at) }

func insertTime(times []time.Time, at time.Time) []time.Time {
	i, isKnown := slices.BinarySearchFunc(times, at, time.Time.Compare)
	if isKnown {
		return times
	}
	times = slices.Insert(times, i, at)
	return slices.Delete(times, 0, max(0, len(times)-maxStoreEvents))
}

// gap is a time between two consecutive answers of the store that exceeds outageThreshold.
type gap struct{ from, to time.Time }

// lastGap returns the latest gap. found is false if there is none.
func (h *storeHistory) lastGap() (last gap, found bool) {
	for i := len(h.answers) - 1; i > 0; i-- {
		if g := (gap{h.answers[i-1], h.answers[i]}); g.to.Sub(g.from) > outageThreshold {
			return g, true
		}
	}
	return gap{}, false
}

// lastOutageEnd returns the end of the latest gap if a call failed in it, and zero otherwise. Without a failed call nobody tried to
// reach the store.
func (h *storeHistory) lastOutageEnd() time.Time {
	g, found := h.lastGap()
	if !found || !slices.ContainsFunc(h.failures, func(at time.Time) bool { return at.After(g.from) && !at.After(g.to) }) {
		return time.Time{}
	}
	return g.to
}
