package balancer

import (
	"math"
	"slices"
	"time"
)

// Outcome is the result of an attempt.
type Outcome int

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "failed", "broken", "abandoned", "gone"}[o]
}

// Values of Outcome.
const (
	// Answered means that the replica returned a valid response.
	Answered Outcome = iota
	// Refused means that the replica refused the request without executing it.
	Refused
	// Failed means that the replica returned an error or an unusable response.
	Failed
	// ConnectionFailed means that the connection could not be opened or was lost.
	ConnectionFailed
	// Abandoned means that the attempt was cancelled or exceeded its deadline.
	Abandoned
	// ReplicaRemoved means that the replica no longer runs at its address.
	ReplicaRemoved
)

func (r *replica) slownessAt(now time.Time) float64 {
	return 1 + (r.slowness-1)*decayFactor(now.Sub(r.slownessUpdatedAt), slownessHalfLife)
}

func (r *replica) refusalRateAt(now time.Time) float64 {
	return r.refusalRate * decayFactor(now.Sub(r.refusalUpdatedAt), refusalHalfLife)
}

// Transition is a change in the assessed state of a replica.
type Transition int

// Values of Transition.
const (
	Unchanged Transition = iota
	// Paused means that the replica is avoided for a limited time after a failure.
	Paused
	// Recovered means that the replica responded after one or more failures.
	Recovered
	// Removed means that the replica no longer runs at its address.
	Removed
)

// Done ends an attempt that Pick started at startedAt, and returns the resulting transition of the replica.
func (b *Balancer) Done(id, kind string, startedAt time.Time, outcome Outcome, now time.Time) Transition {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return Unchanged
	}
	failures, wasRemoved := r.failures, r.removed
	b.recordOutcome(r, kind, startedAt, outcome, now)
	switch {
	case r.removed && !wasRemoved:
		return Removed
	case r.failures > 0 && failures == 0:
		return Paused
	case r.failures == 0 && failures > 0:
		return Recovered
	default:
		return Unchanged
	}
}

func (b *Balancer) recordOutcome(r *replica, kind string, startedAt time.Time, outcome Outcome, now time.Time) {
	defer b.queueHealthUpdate(r, now)
	if i := slices.IndexFunc(r.inFlight, startedAt.Equal); i >= 0 {
		r.inFlight = slices.Delete(r.inFlight, i, i+1)
	}
	expectedLatency := b.expectedLatencyFor(kind)
	if outcome == Answered || outcome == Refused || outcome == Failed {
		b.respondedAt = now
	}
	switch outcome {
	case Answered:
		serviceTime := max(time.Millisecond, now.Sub(startedAt)-r.assumedRTT())
		r.addSlownessSample(float64(serviceTime)/float64(expectedLatency), now)
		b.addTurnTimeSample(r, serviceTime, now)
		r.refusalRate, r.refusalUpdatedAt = r.refusalRateAt(now)*(1-refusalSampleWeight), now
		r.clearFailures()
		r.answeredAt = now
		b.updateLatency(kind, serviceTime)
	case Refused, Failed:
		r.refusalRate, r.refusalUpdatedAt = r.refusalRateAt(now)*(1-refusalSampleWeight)+refusalSampleWeight, now
		r.clearFailures()
	case ConnectionFailed:
		r.recordFailure(startedAt, now)
	case Abandoned:
		if r.isUnresponsive(startedAt, expectedLatency, now) {
			r.recordFailure(startedAt, now)
		}
		if ratio := float64(now.Sub(startedAt)-r.assumedRTT()) / float64(expectedLatency); ratio > max(unresponsiveFactor, r.slownessAt(now)) {
			r.addSlownessSample(ratio, now)
		}
	case ReplicaRemoved:
		r.removed = true
	}
}

func (r *replica) clearFailures() { r.failures, r.pausedUntil = 0, time.Time{} }

// recordFailure records the failure of an attempt that started at startedAt.
func (r *replica) recordFailure(startedAt, now time.Time) {
	if startedAt.Before(r.failedAt) {
		// Concurrent attempts usually fail for the same reason, so they count as one failure.
		return
	}
	r.failures++
	r.failedAt = now
	r.pausedUntil = now.Add(r.pauseDuration())
}

func (r *replica) addSlownessSample(ratio float64, now time.Time) {
	ratio = min(maxSlowness, ratio)
	r.slowness = r.slownessAt(now)*(1-slownessSampleWeight) + ratio*slownessSampleWeight
	r.slownessUpdatedAt = now
}

// addTurnTimeSample records an answer that took serviceTime at the replica. The load that came with it tells how many turns of a slot
// that was: its own and those of the requests before it.
func (b *Balancer) addTurnTimeSample(r *replica, serviceTime time.Duration, now time.Time) {
	if r.load.Slots <= 0 || now.Sub(r.loadAt) > maxTurnLoadAge {
		return
	}
	sample := float64(serviceTime) / (1 + float64(r.load.Waiting)/float64(r.load.Slots))
	update := func(average *float64, weight float64) {
		if *average == 0 {
			*average = sample
		}
		*average += (sample - *average) * weight
	}
	update(&r.turnTime, turnTimeSampleWeight)
	update(&b.turnTime, meanTurnTimeSampleWeight)
}

// updateLatency updates the expected latency of a kind of request. A sample counts as at most twice the current value,
// so that an incident does not become the new normal.
func (b *Balancer) updateLatency(kind string, serviceTime time.Duration) {
	e := b.expectedLatency[kind]
	if e == 0 {
		b.expectedLatency[kind] = float64(serviceTime)
		return
	}
	b.expectedLatency[kind] = e*(1-latencySampleWeight) + min(float64(serviceTime), 2*e)*latencySampleWeight
}

// decayFactor returns the exponential decay factor of a value of the given age.
func decayFactor(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	n := float64(age) / float64(halfLife)
	if n > 30 {
		return 0
	}
	return math.Exp2(-n)
}
