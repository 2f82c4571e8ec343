package limit

import (
	"math"
	"sync"
	"time"
)

const (
	// presenceHalfLife is the half-life of the counts by which the served shares of classes are compared. It is longer than
	// throttleHalfLife, because a daemon decides on a few queries a second only.
	presenceHalfLife = 5 * time.Second
	// minPresence is the number of recent queries from which a class makes others give way.
	minPresence = 0.5
	// shedFrom and shedFull are the expected waits of a higher rank, as fractions of the wait with which it just reaches its target,
	// at which lower ranks begin to be shed and are shed down to their floor. They are below 1 because the queues grow for another
	// answer's time before a report shows it.
	shedFrom, shedFull = 0.25, 1.0
	// floorShare is the least admitted share of a class, as a fraction of the share that all classes are served. The requirement is a
	// quarter; the rest allows for admitted queries that are late.
	floorShare = 0.35
	// minSuccess bounds the increase of the floor of a class whose admitted queries are late or fail.
	minSuccess = 0.5
	// yieldHold is how long lower ranks stay at their floor after a query of a higher rank was refused for load.
	yieldHold = 500 * time.Millisecond
)

// Class identifies the queries of a route that have the same rank; 0 is the highest rank.
type Class struct {
	Route string
	Rank  int
}

// Load tells a PriorityThrottle about the replicas, by their reports of the last second. Its methods must not call the throttle.
type Load interface {
	// Saturated reports whether a shard of the query is saturated.
	Saturated() bool
	// WaitRatio returns the wait that queries of the route have to expect at the shards that they share with the query, as a fraction
	// of the wait with which they just reach their target latency. It is 0 if a free slot is reported at these shards, or if they
	// share none.
	WaitRatio(route string) float64
}

// Reasons for a refusal by a PriorityThrottle.
const (
	// RefusedLoad means that too few queries of the class were answered in time lately.
	RefusedLoad Refusal = "load"
	// RefusedRank means that a higher rank has to wait too long at shards that it shares with the query.
	RefusedRank Refusal = "rank"
)

// PriorityThrottle decides on the queries of all routes of a daemon. Each class has a Throttle. In addition, while queries of a higher
// rank have to wait too long for slots of shared shards, queries of lower ranks are refused in proportion to that wait, down to a floor.
// It is safe for concurrent use.
type PriorityThrottle struct {
	mu      sync.Mutex
	classes map[Class]*classState
}

// classState is the state of a class. asked, admitted, done and served are exponentially decaying counts of its queries.
type classState struct {
	throttle                      *Throttle
	asked, admitted, done, served float64
	decayedAt                     time.Time
	// yieldsUntil is the end of the time in which lower ranks stay at their floor in favour of the class.
	yieldsUntil time.Time
}

// NewPriorityThrottle returns a throttle without any outcomes, which admits all queries.
func NewPriorityThrottle() *PriorityThrottle {
	return &PriorityThrottle{classes: make(map[Class]*classState)}
}

func (t *PriorityThrottle) class(c Class, now time.Time) *classState {
	s := t.classes[c]
	if s == nil {
		s = &classState{throttle: NewThrottle(), decayedAt: now}
		t.classes[c] = s
	}
	s.decay(now)
	return s
}

func (s *classState) decay(now time.Time) {
	if age := now.Sub(s.decayedAt); age > 0 {
		factor := math.Exp2(-float64(age) / float64(presenceHalfLife))
		s.asked *= factor
		s.admitted *= factor
		s.done *= factor
		s.served *= factor
		s.decayedAt = now
	}
}

// Admit decides whether to admit a query of the class; draw is a random number from [0, 1). The caller reports the outcome of an
// admitted query with Done, unless it says nothing about the capacity of the replicas.
func (t *PriorityThrottle) Admit(c Class, draw float64, load Load, now time.Time) Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.class(c, now)
	s.asked++
	if shed := t.shedFraction(c, s, load, now); shed > 0 {
		if draw < shed {
			return RefusedRank
		}
		draw = (draw - shed) / (1 - shed)
	}
	if !s.throttle.Admit(draw, load.Saturated, now) {
		// From now on, lower ranks stay at their floor: a rank isn't refused while lower ones are admitted beyond theirs.
		s.yieldsUntil = now.Add(yieldHold)
		return RefusedLoad
	}
	s.admitted++
	return Admitted
}

// shedFraction returns the fraction of the queries of the class that are refused in favour of higher ranks.
func (t *PriorityThrottle) shedFraction(c Class, s *classState, load Load, now time.Time) float64 {
	ratio := 0.0
	for other, o := range t.classes {
		if other.Rank >= c.Rank {
			continue
		}
		if o.decay(now); o.asked < minPresence {
			continue
		}
		r := load.WaitRatio(other.Route)
		if r > 0 && now.Before(o.yieldsUntil) {
			r = shedFull
		}
		ratio = max(ratio, r)
	}
	excess := min(1, max(0, (ratio-shedFrom)/(shedFull-shedFrom)))
	if excess == 0 {
		return 0
	}
	return excess * (1 - t.floor(s, now))
}

// floor returns the least admitted share of a class.
func (t *PriorityThrottle) floor(s *classState, now time.Time) float64 {
	var asked, served float64
	for _, o := range t.classes {
		o.decay(now)
		asked += o.asked
		served += o.served
	}
	if asked == 0 {
		return 1
	}
	success := max(minSuccess, (s.served+1)/(s.done+1))
	return min(1, floorShare*served/asked/success)
}

// Done records the outcome of an admitted query of the class: whether it was answered in time.
func (t *PriorityThrottle) Done(c Class, served bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.class(c, now)
	s.done++
	if served {
		s.served++
	}
	s.throttle.Done(served, now)
}
