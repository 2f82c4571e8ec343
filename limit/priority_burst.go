package limit

import (
	"math"
	"time"
)

// A burst is a demand of a class far beyond its usual one.
const (
	// burstHalfLife is the half-life of the count by which a burst is detected, short so that it is detected before queues fill.
	burstHalfLife = 1500 * time.Millisecond
	// usualHalfLife is the half-life of the count that a burst is compared with.
	usualHalfLife = 2 * time.Minute
	// minBurstHistory is how long a class must have been known before its demand can count as a burst.
	minBurstHistory = 10 * time.Second
	// maxBurst is how long a burst lasts at most; a demand that has stayed for longer becomes the usual one.
	maxBurst = 30 * time.Second
	// burstDemandFactor times the usual demand of a class is the demand from which it is in a burst. Retries of refused queries raise
	// the demand of a class too, but by less than this factor unless three fifths of its queries are refused.
	burstDemandFactor = 2.5
	// minCommonGrowth is the growth of the demand of all other classes from which it raises the bound for a burst.
	minCommonGrowth = 1.5
)

// expectedRecent returns the value of recent at the usual demand of the class. The usual demand is that of the queries before those in
// recent, and during a burst that of the queries before the burst.
func (s *classState) expectedRecent(now time.Time) float64 {
	if !s.burstSince.IsZero() {
		return s.expectedBeforeBurst
	}
	weight := 1 - remainingWeight(now.Sub(s.since), usualHalfLife)
	// earlier is the expected ratio of the queries in usual without those in recent to those in recent.
	earlier := float64(usualHalfLife)/float64(burstHalfLife)*weight - 1
	if earlier <= 1 {
		return s.recent
	}
	return max(0, s.usual-s.recent) / earlier
}

// hasBurstDemand reports whether the demand of a class has grown far beyond its usual demand, and beyond the growth of the other classes:
// on a daemon that becomes a helper, the demand of all classes grows at once.
func (t *PriorityThrottle) hasBurstDemand(s *classState, now time.Time) bool {
	if now.Sub(s.since) < minBurstHistory {
		return false
	}
	expected := burstDemandFactor * s.expectedRecent(now) * t.growthOfOthers(s, now)
	// The margin of two standard deviations and two queries keeps random variation from counting as a burst.
	return expected > 0 && s.recent > expected+2*math.Sqrt(expected)+2
}

// updateUsual counts a query of a class in its usual demand, and updates whether it is in a burst.
func (t *PriorityThrottle) updateUsual(s *classState, now time.Time) {
	switch {
	case !t.hasBurstDemand(s, now):
		s.burstSince = time.Time{}
		s.usual++
	case s.burstSince.IsZero():
		s.expectedBeforeBurst = s.expectedRecent(now)
		s.burstSince = now
	case now.Sub(s.burstSince) > maxBurst:
		s.usual *= s.recent / s.expectedBeforeBurst
		s.burstSince = time.Time{}
	default:
		// With this weight, the usual demand stays as it was before the burst.
		s.usual += s.expectedBeforeBurst / s.recent
	}
}

// growthOfOthers returns the demand of the other classes as a multiple of their usual one, at least 1, or 0 if there are none.
func (t *PriorityThrottle) growthOfOthers(s *classState, now time.Time) float64 {
	var recent, expected float64
	for _, o := range t.order {
		if o != s {
			o.decay(now)
			recent += o.recent
			expected += o.expectedRecent(now)
		}
	}
	if expected < minDemand {
		return 0
	}
	if recent < minCommonGrowth*expected {
		return 1
	}
	return recent / expected
}

// burstFraction returns the fraction of the queries of the class that are refused because they are a burst, while a shard is
// saturated or the class itself waits.
func (t *PriorityThrottle) burstFraction(s *classState, load ClassLoad, now time.Time) float64 {
	if s.burstSince.IsZero() || load.WaitRatio(s.Route) < shedFrom && !load.Saturated() {
		return 0
	}
	allowed := s.expectedRecent(now) * t.growthOfOthers(s, now)
	return 1 - max(t.floor(s, now), min(1, allowed/s.recent))
}
