package limit

import (
	"math"
	"sync"
	"time"
)

const (
	// throttleHalfLife is the half-life of the weight of a query's outcome.
	throttleHalfLife = time.Second
	// throttleFactor is the number of admitted queries per served query. The excess over 1 probes for additional
	// capacity.
	throttleFactor = 1.25
	// throttlePrior is the number of recent queries below which their outcomes are of little significance. It keeps
	// the refusal probability low until there are more.
	throttlePrior = 4
)

// Throttle implements adaptive throttling (Site Reliability Engineering, chapter 21): it admits queries in
// proportion to those that were recently served. A query over many shards fails if a few of them refuse it. If
// every shard can serve two thirds of the load, the pool serves almost no query unless a third of them is refused
// up front. It is safe for concurrent use.
type Throttle struct {
	mu sync.Mutex
	// offered and served are exponentially decaying counts of queries; offered includes refused ones.
	offered, served float64
	decayedAt       time.Time
}

// NewThrottle returns a throttle that admits all queries until some are not served.
func NewThrottle() *Throttle { return &Throttle{} }

// Admit decides whether to admit a query; draw is a random number from [0, 1). It admits all queries while the pool
// is not known to be saturated, because the outcomes of the last second are slow to reflect that capacity has
// returned. saturated reports whether the pool is known to be saturated. It is called only if the outcomes speak for a
// refusal, and must not call the Throttle. The caller reports the outcome of an admitted query with Done, unless the
// outcome says nothing about the capacity of the pool.
func (t *Throttle) Admit(draw float64, saturated func() bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	if draw < t.refusalProbability() && saturated() {
		t.offered++
		return false
	}
	return true
}

// refusalProbability returns the fraction of the queries that are refused while the pool is saturated; a negative one means none. The
// caller holds the lock.
func (t *Throttle) refusalProbability() float64 {
	return (t.offered - throttleFactor*t.served) / (t.offered + throttlePrior)
}

// refusedFraction returns the fraction of the queries that are refused while the pool is saturated.
func (t *Throttle) refusedFraction(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	return max(0, t.refusalProbability())
}

// Done records the outcome of an admitted query. A query counts only from this point on, because one in flight has
// no outcome yet.
func (t *Throttle) Done(served bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.offered++
	if served {
		t.served++
	}
}

func (t *Throttle) decay(now time.Time) {
	if age := now.Sub(t.decayedAt); age > 0 {
		factor := math.Exp2(-float64(age) / float64(throttleHalfLife))
		t.offered *= factor
		t.served *= factor
		t.decayedAt = now
	}
}
