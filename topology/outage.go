package topology

import (
	"slices"
	"time"
)

// outageThreshold is the time without an answer of the store from which entries of live replicas may have lapsed.
const outageThreshold = 2500 * time.Millisecond

const (
	// maxStoreSpans bounds the spans that a storeHistory holds. Only the latest gap counts.
	maxStoreSpans = 8
	// maxStoreFailures bounds the failed calls that a storeHistory holds. A daemon makes a few calls a second.
	maxStoreFailures = 256
)

// span is a time in which the store answered calls that were at most outageThreshold apart.
type span struct{ from, to time.Time }

// storeHistory holds when the store answered and when calls to it failed, as far as this daemon knows: by its own calls and by those
// of other daemons. It tells an outage of the store from a gap in the reads of one daemon, which may have stood still, been cut off
// or not been the reader. Events may be recorded in any order. The zero value is ready for use; it is not safe for concurrent use.
type storeHistory struct {
	// spans and failures are sorted, oldest first. Two spans are more than outageThreshold apart.
	spans    []span
	failures []time.Time
}

// recordAnswer records that the store answered a call at the given time.
func (h *storeHistory) recordAnswer(at time.Time) { h.recordSpan(span{at, at}) }

// recordSpan records a time in which the store answered another daemon.
func (h *storeHistory) recordSpan(s span) {
	merged := make([]span, 0, len(h.spans)+1)
	for _, known := range h.spans {
		if known.to.Add(outageThreshold).Before(s.from) || s.to.Add(outageThreshold).Before(known.from) {
			merged = append(merged, known)
			continue
		}
		s = span{earlier(s.from, known.from), later(s.to, known.to)}
	}
	merged = append(merged, s)
	slices.SortFunc(merged, func(a, b span) int { return a.from.Compare(b.from) })
	h.spans = slices.Delete(merged, 0, max(0, len(merged)-maxStoreSpans))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordFailure records that a call failed at the given time although the daemon that made it was running.
func (h *storeHistory) recordFailure(at time.Time) {
	i, isKnown := slices.BinarySearchFunc(h.failures, at, time.Time.Compare)
	if !isKnown {
		h.failures = slices.Insert(h.failures, i, at)
		h.failures = slices.Delete(h.failures, 0, max(0, len(h.failures)-maxStoreFailures))
	}
}

// lastSpan returns the latest span. found is false if the store never answered.
func (h *storeHistory) lastSpan() (last span, found bool) {
	if len(h.spans) == 0 {
		return span{}, false
	}
	return h.spans[len(h.spans)-1], true
}

// lastGap returns the time between the last two spans. found is false if there is none.
func (h *storeHistory) lastGap() (gap span, found bool) {
	n := len(h.spans)
	if n < 2 {
		return span{}, false
	}
	return span{h.spans[n-2].to, h.spans[n-1].from}, true
}

// lastOutageEnd returns the end of the latest gap if a call failed in it, and zero otherwise. Without a failed call nobody tried to
// reach the store.
func (h *storeHistory) lastOutageEnd() time.Time {
	gap, found := h.lastGap()
	if !found || !slices.ContainsFunc(h.failures, func(at time.Time) bool { return at.After(gap.from) && !at.After(gap.to) }) {
		return time.Time{}
	}
	return gap.to
}
