package hedge

import "time"

// BudgetFraction is the fraction of a fleet-wide budget that one daemon may use. Daemons learn of changes in the size of the
// fleet at different times, so a decrease takes effect immediately and an increase only after a hold period. By
// then, the daemons that must reduce their fraction have done so, and the usage of a stopped daemon has left the
// time window in which it counts. A new daemon gets nothing until its first hold period has passed, since the usage
// of an earlier process of the same daemon may still count.
//
// The fractions of all daemons sum to at most 1 at any time if each daemon learns of a change within the hold
// period. It is not safe for concurrent use.
type BudgetFraction struct {
	hold    time.Duration
	inForce float64
	// observed is the fraction set last. pendingSince is when the observed fraction first exceeded the one in
	// force, or zero, and pendingMin is the lowest fraction observed since then.
	observed, pendingMin float64
	pendingSince         time.Time
}

// NewBudgetFraction returns a fraction of zero.
func NewBudgetFraction(hold time.Duration) *BudgetFraction { return &BudgetFraction{hold: hold} }

// Set updates the fraction, from 0 to 1, that this daemon should have according to its view of the fleet.
func (f *BudgetFraction) Set(fraction float64, now time.Time) {
	f.Fraction(now)
	if fraction <= f.inForce {
		f.inForce, f.pendingSince = fraction, time.Time{}
	} else if f.pendingSince.IsZero() {
		f.pendingSince, f.pendingMin = now, fraction
	}
	f.observed, f.pendingMin = fraction, min(f.pendingMin, fraction)
}

// Fraction returns the fraction that this daemon may use at the given time.
func (f *BudgetFraction) Fraction(now time.Time) float64 {
	if !f.pendingSince.IsZero() && now.Sub(f.pendingSince) >= f.hold {
		f.inForce, f.pendingSince = f.pendingMin, time.Time{}
		if f.observed > f.inForce {
			f.pendingSince, f.pendingMin = now, f.observed
		}
	}
	return f.inForce
}
