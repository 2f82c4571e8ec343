// Package limit decides how much work a daemon takes on: concurrency limits that adapt to what the backend
// servers can do, and admission of queries by the share of their profile and by their remaining time.
package limit

import "time"

const (
	// shrink is the factor of the limit after a sign of overload.
	shrink = 0.9
	// leastLimit keeps a trickle, without which a recovery would never be noticed.
	leastLimit = 1
)

// Adaptive is a concurrency limit that grows by about one per limit's worth of good results while the limit is
// in use, and shrinks by a tenth after a sign of overload, at most once per pause. It is not safe for concurrent
// use; its owner locks.
type Adaptive struct {
	limit    float64
	ceiling  float64
	pause    time.Duration
	shrunkAt time.Time
}

// NewAdaptive returns a limit that starts at start and stays between 1 and ceiling.
func NewAdaptive(start, ceiling float64, pause time.Duration) Adaptive {
	return Adaptive{limit: max(leastLimit, min(start, ceiling)), ceiling: max(leastLimit, ceiling), pause: pause}
}

// Limit returns the present limit.
func (a *Adaptive) Limit() float64 { return a.limit }

// SetCeiling changes the upper bound.
func (a *Adaptive) SetCeiling(ceiling float64) {
	a.ceiling = max(leastLimit, ceiling)
	a.limit = min(a.limit, a.ceiling)
}

// Good counts a good result while inFlight units were in use. A limit that is not in use does not grow, because
// nothing shows that the larger limit would hold.
func (a *Adaptive) Good(inFlight float64) {
	if inFlight*2 >= a.limit {
		a.limit = min(a.ceiling, a.limit+1/a.limit)
	}
}

// Overload counts a sign of overload seen while inFlight units were in use.
func (a *Adaptive) Overload(inFlight float64, now time.Time) {
	if !a.shrunkAt.IsZero() && now.Sub(a.shrunkAt) < a.pause {
		return
	}
	a.shrunkAt = now
	a.limit = max(leastLimit, min(a.limit, max(inFlight, leastLimit))*shrink)
}
