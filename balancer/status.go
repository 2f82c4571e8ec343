package balancer

import "time"

// Status is the state of one replica for status pages and metrics.
type Status struct {
	Server
	InFlight int
	// Slowness is the latency as a multiple of the expected latency. Refused is the decaying fraction of attempts with
	// the outcome Refused or Failed, from 0 to 1.
	Slowness float64
	Refused  float64
	Paused   bool
	Removed  bool
	// Leaving is set if the replica has stated that it leaves.
	Leaving bool
	// Cold is set while the requests to the replica are limited because it warms up.
	Cold bool
}

// Conditions returns all possible results of Status.Condition.
func Conditions() []string {
	return []string{"ready", "draining", "paused", "refusing", "slow", "cold", "gone"}
}

// slowThreshold and refusingThreshold are the thresholds of slowness and refusal rate from which a replica is
// reported as slow or refusing.
const (
	slowThreshold     = 2.5
	refusingThreshold = 0.2
)

// Condition summarizes the status in one word.
func (s Status) Condition() string {
	switch {
	case s.Removed:
		return "gone"
	case s.State == Draining, s.Leaving:
		return "draining"
	case s.Paused:
		return "paused"
	case s.Refused >= refusingThreshold:
		return "refusing"
	case s.Slowness >= slowThreshold:
		return "slow"
	case s.Cold:
		return "cold"
	default:
		return "ready"
	}
}

// Statuses returns the status of every replica, in no particular order.
func (b *Balancer) Statuses(now time.Time) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Status, 0, len(b.replicas))
	for _, r := range b.replicas {
		all = append(all, Status{
			Server: r.Server, InFlight: len(r.inFlight), Slowness: r.slownessAt(now), Refused: r.refusalRateAt(now),
			Paused: now.Before(r.pausedUntil), Removed: r.removed,
			Leaving: !r.leavingSince.IsZero(), Cold: r.limit.isCold(now),
		})
	}
	return all
}
