package limit

import (
	"math"
	"sync"
	"time"
)

const (
	// throttleHalfLife is how fast the outcome of a query loses its weight.
	throttleHalfLife = time.Second
	// throttleFactor is how many queries are admitted for each that was served. What exceeds 1 looks for more capacity.
	throttleFactor = 1.25
	// throttlePrior is the number of queries below which their outcomes say little.
	throttlePrior = 4
)

// Throttle admits queries in proportion to those that were served lately (adaptive throttling, Site Reliability
// Engineering, chapter 21). A query over many shards is lost if a few of them refuse: a pool of which every shard can
// serve two thirds of the load serves nearly no query unless a third of them is refused first. It is safe for concurrent
// use.
type Throttle struct {
	mu sync.Mutex
	// offered and served are the fading counts of queries; offered includes the refused ones.
	offered, served float64
	at              time.Time
}

// NewThrottle returns a throttle that admits all queries until some were not served.
func NewThrottle() *Throttle { return &Throttle{} }

// Admit decides on a query; draw is a random number from [0, 1). While the pool is not saturated as far as is known, all
// are admitted: the outcomes of the last second are slow to show that its capacity is back. A query that is admitted ends
// with Done.
func (t *Throttle) Admit(draw float64, saturated func() bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fade(now)
	if draw < (t.offered-throttleFactor*t.served)/(t.offered+throttlePrior) && saturated() {
		t.offered++
		return false
	}
	return true
}

// Done takes the outcome of an admitted query. It counts from now on: queries in flight say nothing yet.
func (t *Throttle) Done(served bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fade(now)
	t.offered++
	if served {
		t.served++
	}
}

func (t *Throttle) fade(now time.Time) {
	if age := now.Sub(t.at); age > 0 {
		factor := math.Exp2(-float64(age) / float64(throttleHalfLife))
		t.offered *= factor
		t.served *= factor
		t.at = now
	}
}
