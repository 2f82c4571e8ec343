package hedge

import "time"

// Quota is one daemon's part of what all daemons share. The daemons learn at different times how many they are, so a
// smaller part is in force at once and a larger one after a hold: by then the daemons that have to give something up
// have done so, and what an ended daemon used has left the span in which it counts. A starting daemon has nothing
// until its first hold is over, since what it used in an earlier life may still count. The parts of all daemons sum to
// at most 1 at any time if each learns of a change within the hold. It is not safe for concurrent use.
type Quota struct {
	hold time.Duration
	used float64
	// seen is the part observed last, lowest the least one since rising, when it first exceeded the one in use.
	seen, lowest float64
	rising       time.Time
}

// NewQuota returns a quota without a part.
func NewQuota(hold time.Duration) *Quota { return &Quota{hold: hold} }

// Set takes the part that this daemon has by its view, from 0 to 1.
func (q *Quota) Set(part float64, now time.Time) {
	q.Part(now)
	if part <= q.used {
		q.used, q.rising = part, time.Time{}
	} else if q.rising.IsZero() {
		q.rising, q.lowest = now, part
	}
	q.seen, q.lowest = part, min(q.lowest, part)
}

// Part returns the part that this daemon may use at the time.
func (q *Quota) Part(now time.Time) float64 {
	if !q.rising.IsZero() && now.Sub(q.rising) >= q.hold {
		q.used, q.rising = q.lowest, time.Time{}
		if q.seen > q.used {
			q.rising, q.lowest = now, q.seen
		}
	}
	return q.used
}
