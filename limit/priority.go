package limit

import (
	"math"
	"sync"
	"time"
)

// Counts of queries, by which classes and accounts are compared.
const (
	// demandHalfLife is the half-life of the counts by which classes and accounts are compared. It is longer than throttleHalfLife,
	// because a daemon decides on a few queries a second only.
	demandHalfLife = 5 * time.Second
	// minDemand is the decaying count of queries from which a class is considered in decisions on others.
	minDemand = 0.5
)

// Shedding refuses queries of lower ranks in favour of higher ones.
const (
	// shedFrom and shedFull are the expected waits of a higher rank, as fractions of the wait with which it just reaches its target,
	// at which lower ranks begin to be shed and are shed down to their floor. Shedding begins early, because the queues grow for
	// another answer's time before a report shows it.
	shedFrom, shedFull = 0.3, 1.3
	// meanShedHalfLife is the half-life of the weight of a shed fraction in the mean that applies during a burst of another class.
	meanShedHalfLife = 10 * time.Second
	// burstShedFactor times its mean is the largest shed fraction of a class during a burst of another one. It is above 1 because the
	// fraction varies with the queues: with 1, its mean would fall.
	burstShedFactor = 1.5
	// floorHold is how long lower ranks stay at their floor after a query of a higher rank was refused for load.
	floorHold = 500 * time.Millisecond
	// sheddingEnd is how long after the last refusal in favour of a higher rank the shedding of a rank has ended.
	sheddingEnd = 2 * time.Second
)

// The floor is what shedding leaves to a class.
const (
	// floorShare is the least admitted share of a class, as a fraction of the share that all classes are served. The requirement is a
	// quarter; the rest allows for admitted queries that are late.
	floorShare = 0.35
	// minSuccess bounds the increase of the floor of a class whose admitted queries are late or fail.
	minSuccess = 0.5
)

// meanRetryAfter is the mean wait that a refusal advises if nearly all queries are admitted, maxMeanRetryAfter the longest mean.
const meanRetryAfter, maxMeanRetryAfter = 300 * time.Millisecond, time.Second

// Reasons for a refusal by a PriorityThrottle.
const (
	// RefusedLoad means that too few queries of the class were answered in time lately.
	RefusedLoad Refusal = "load"
	// RefusedRank means that a higher rank has to wait too long at shards that it shares with the query.
	RefusedRank Refusal = "rank"
	// RefusedBurst means that the demand of the class is several times its usual one while a shard is saturated or the class waits.
	RefusedBurst Refusal = "burst"
)

// Class identifies the queries of a route that have the same rank; 0 is the highest rank.
type Class struct {
	Route string
	Rank  int
}

// ClassLoad gives a PriorityThrottle the load of the replicas for one query, by their reports of the last second. Its methods must not
// call the throttle.
type ClassLoad interface {
	// Saturated reports whether a shard of the query is saturated.
	Saturated() bool
	// WaitRatio returns the wait that queries of the route have to expect at the shards that they share with the query, as a fraction
	// of the wait with which they just reach their target latency. It is 0 if these shards have a replica at which none waits, or if
	// the queries share no shard.
	WaitRatio(route string) float64
	// WorkRatio returns the work of the query as a fraction of that of a query of the route, at most 1.
	WorkRatio(route string) float64
}

// Decision is the result of PriorityThrottle.Admit.
type Decision struct {
	// Refusal is the reason of a refusal, or Admitted.
	Refusal Refusal
	// MeanRetryAfter is the mean wait to advise with a refusal; the values should be spread around it.
	MeanRetryAfter time.Duration
	// Changes lists the ranks whose shedding started or stopped.
	Changes []SheddingChange
}

// SheddingChange reports that the shedding of a rank in favour of higher ranks has started or stopped.
type SheddingChange struct {
	Rank   int
	Active bool
	// Refused is the number of queries refused since the start, 0 at the start.
	Refused int
}

// PriorityThrottle decides on the queries of all routes of a daemon. Each class has a Throttle. In addition, while queries of a higher
// rank have to wait too long for slots of shared shards, queries of lower ranks are refused in proportion to that wait, down to a floor.
// Demand far beyond the usual of a class, or far beyond that of other accounts, is refused before that of the others. It is safe for
// concurrent use.
type PriorityThrottle struct {
	mu      sync.Mutex
	classes map[Class]*classState
	// order lists the classes in a fixed order, so that sums do not depend on map iteration order.
	order    []*classState
	accounts map[accountKey]*demand
	shedding map[int]*shedding
}

// demand is an exponentially decaying count of queries.
type demand struct {
	count float64
	at    time.Time
}

func (d *demand) decay(now time.Time) {
	if age := now.Sub(d.at); age > 0 {
		d.count *= remainingWeight(age, demandHalfLife)
		d.at = now
	}
}

// remainingWeight returns the weight of a query after a time, relative to its initial one.
func remainingWeight(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// classState is the state of a class.
type classState struct {
	Class
	throttle *Throttle
	// offered, completed and served are exponentially decaying counts of the queries that asked for admission, that ended after they were
	// admitted, and that were answered in time.
	offered, completed, served float64
	// recent and usual count the offered queries with burstHalfLife and usualHalfLife. In usual, those of a burst have less weight.
	recent, usual float64
	// since is when the class became known, decayedAt the time to which the counts have decayed.
	since, decayedAt time.Time
	// burstSince is the beginning of the burst that the class is in, zero if it is in none.
	burstSince time.Time
	// expectedBeforeBurst is the result of expectedRecent at that time.
	expectedBeforeBurst float64
	// meanShed is the moving average of the fraction refused in favour of higher ranks while no other class was in a burst.
	meanShed   float64
	meanShedAt time.Time
	// othersAtFloorUntil is the end of the time in which lower ranks stay at their floor in favour of the class.
	othersAtFloorUntil time.Time
}

// shedding is the state of a rank of which queries are refused in favour of higher ranks.
type shedding struct {
	refused int
	lastAt  time.Time
}

// NewPriorityThrottle returns a throttle without any outcomes, which admits all queries.
func NewPriorityThrottle() *PriorityThrottle {
	return &PriorityThrottle{
		classes: make(map[Class]*classState), accounts: make(map[accountKey]*demand), shedding: make(map[int]*shedding),
	}
}

// class returns the state of a class with its counts decayed to now.
func (t *PriorityThrottle) class(c Class, now time.Time) *classState {
	s := t.classes[c]
	if s == nil {
		s = &classState{Class: c, throttle: NewThrottle(), since: now, decayedAt: now, meanShedAt: now}
		t.classes[c] = s
		t.order = append(t.order, s)
	}
	s.decay(now)
	return s
}

func (s *classState) decay(now time.Time) {
	if age := now.Sub(s.decayedAt); age > 0 {
		factor := remainingWeight(age, demandHalfLife)
		s.offered *= factor
		s.completed *= factor
		s.served *= factor
		s.recent *= remainingWeight(age, burstHalfLife)
		s.usual *= remainingWeight(age, usualHalfLife)
		s.decayedAt = now
	}
}

// Admit decides whether to admit a query of the class for the account, which may be empty; draw is a random number from [0, 1). The
// caller reports the outcome of an admitted query with Done, unless it says nothing about the capacity of the replicas.
func (t *PriorityThrottle) Admit(c Class, account string, draw float64, load ClassLoad, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.class(c, now)
	s.offered++
	s.recent++
	t.updateUsual(s, now)
	load = &cachedLoad{ClassLoad: load}
	shed, burst := t.shedFraction(s, load, now), t.burstFraction(s, load, now)
	admitted := 1 - shed
	if burst > 0 {
		admitted = min(admitted, max(t.floor(s, now), admitted*(1-burst)))
	}
	draw = t.scaleForAccount(accountKey{account, c.Rank}, s, draw, admitted, load, now)
	decision := Decision{Changes: t.endShedding(now)}
	// A draw below shed refuses the query for its rank, one from there to 1-admitted for a burst. The rest of the range, scaled to
	// [0, 1), is the draw for the throttle of the class.
	switch {
	case draw < shed:
		decision.Refusal = RefusedRank
		decision.Changes = append(decision.Changes, t.countShed(c.Rank, now)...)
	case draw < 1-admitted:
		decision.Refusal = RefusedBurst
	case !s.throttle.Admit((draw-(1-admitted))/admitted, load.Saturated, now):
		decision.Refusal = RefusedLoad
		// No rank is refused for load while lower ones are admitted beyond their floor.
		s.othersAtFloorUntil = now.Add(floorHold)
		admitted *= 1 - s.throttle.refusedFraction(now)
	}
	if decision.Refusal != Admitted {
		decision.MeanRetryAfter = min(maxMeanRetryAfter, time.Duration(float64(meanRetryAfter)/max(0.01, admitted)))
	}
	return decision
}

// cachedLoad remembers the wait ratios of routes for one decision.
type cachedLoad struct {
	ClassLoad
	ratios map[string]float64
}

// WaitRatio implements ClassLoad.
func (l *cachedLoad) WaitRatio(route string) float64 {
	ratio, ok := l.ratios[route]
	if !ok {
		if l.ratios == nil {
			l.ratios = make(map[string]float64)
		}
		ratio = l.ClassLoad.WaitRatio(route)
		l.ratios[route] = ratio
	}
	return ratio
}

// shedFraction returns the fraction of the queries of the class that are refused in favour of higher ranks.
func (t *PriorityThrottle) shedFraction(s *classState, load ClassLoad, now time.Time) float64 {
	excess, otherBurst := 0.0, false
	for _, o := range t.order {
		if o == s {
			continue
		}
		if o.decay(now); o.offered < minDemand {
			continue
		}
		if !o.burstSince.IsZero() && t.hasBurstDemand(o, now) && load.WaitRatio(o.Route) > 0 {
			otherBurst = true
		}
		if o.Rank >= s.Rank {
			continue
		}
		r := load.WaitRatio(o.Route)
		if r > 0 && now.Before(o.othersAtFloorUntil) {
			r = shedFull
		}
		// Shedding queries that take less work than those they wait for frees less room than it refuses.
		excess = max(excess, min(1, (r-shedFrom)/(shedFull-shedFrom))*load.WorkRatio(o.Route))
	}
	shed := 0.0
	if excess > 0 {
		shed = excess * (1 - t.floor(s, now))
	}
	if otherBurst {
		// The burst of another class must not increase the fraction of this one that is shed.
		return min(shed, burstShedFactor*s.meanShed)
	}
	s.meanShed += (shed - s.meanShed) * (1 - remainingWeight(now.Sub(s.meanShedAt), meanShedHalfLife))
	s.meanShedAt = now
	return shed
}

// floor returns the least admitted share of a class.
func (t *PriorityThrottle) floor(s *classState, now time.Time) float64 {
	var offered, served float64
	for _, o := range t.order {
		o.decay(now)
		offered += o.offered
		served += o.served
	}
	if offered == 0 {
		return 1
	}
	success := max(minSuccess, (s.served+1)/(s.completed+1))
	return min(1, floorShare*served/offered/success)
}

// countShed records a refusal in favour of a higher rank.
func (t *PriorityThrottle) countShed(rank int, now time.Time) (changes []SheddingChange) {
	s := t.shedding[rank]
	if s == nil {
		s = &shedding{}
		t.shedding[rank] = s
		changes = []SheddingChange{{Rank: rank, Active: true}}
	}
	s.refused++
	s.lastAt = now
	return changes
}

// endShedding ends the shedding of ranks without a recent refusal.
func (t *PriorityThrottle) endShedding(now time.Time) (changes []SheddingChange) {
	for rank, s := range t.shedding {
		if now.Sub(s.lastAt) >= sheddingEnd {
			delete(t.shedding, rank)
			changes = append(changes, SheddingChange{Rank: rank, Refused: s.refused})
		}
	}
	return changes
}

// Done records the outcome of an admitted query of the class: whether it was answered in time.
func (t *PriorityThrottle) Done(c Class, served bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.class(c, now)
	s.completed++
	if served {
		s.served++
	}
	s.throttle.Done(served, now)
}
