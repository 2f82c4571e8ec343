// Package limit implements admission control: concurrency limits that adapt to the capacity of the backend servers,
// admission of queries by their profile's share and their remaining time, and adaptive throttling.
package limit

import "time"

const (
	// decreaseFactor multiplies the limit after an overload signal.
	decreaseFactor = 0.9
	// minLimit keeps a minimum of traffic, without which a recovery would never be detected.
	minLimit = 1
)

// AdaptiveLimit is a concurrency limit with additive increase and multiplicative decrease. While at least half of the
// limit is in use, each success raises it by 1/limit. An overload signal sets it to nine tenths of the smaller of the
// limit and the units in use, but not below 1, at most once per pause. It is not safe for concurrent use; the caller
// must hold a lock.
type AdaptiveLimit struct {
	limit       float64
	ceiling     float64
	pause       time.Duration
	decreasedAt time.Time
}

// NewAdaptiveLimit returns a limit with the initial value start, which stays between 1 and ceiling.
func NewAdaptiveLimit(start, ceiling float64, pause time.Duration) AdaptiveLimit {
	return AdaptiveLimit{limit: max(minLimit, min(start, ceiling)), ceiling: max(minLimit, ceiling), pause: pause}
}

// Limit returns the current limit.
func (a *AdaptiveLimit) Limit() float64 { return a.limit }

// SetCeiling changes the upper bound.
func (a *AdaptiveLimit) SetCeiling(ceiling float64) {
	a.ceiling = max(minLimit, ceiling)
	a.limit = min(a.limit, a.ceiling)
}

// OnSuccess records a success while inFlight units were in use. A limit of which less than half is in use does not
// grow, because nothing shows that the backend servers could sustain a higher one.
func (a *AdaptiveLimit) OnSuccess(inFlight float64) {
	if inFlight*2 >= a.limit {
		a.limit = min(a.ceiling, a.limit+1/a.limit)
	}
}

// OnOverload records an overload signal while inFlight units were in use.
func (a *AdaptiveLimit) OnOverload(inFlight float64, now time.Time) {
	if !a.decreasedAt.IsZero() && now.Sub(a.decreasedAt) < a.pause {
		return
	}
	a.decreasedAt = now
	a.limit = max(minLimit, min(a.limit, max(inFlight, minLimit))*decreaseFactor)
}
