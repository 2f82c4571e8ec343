package balancer

import "time"

// Status is what a balancer knows of one replica, for status pages and metrics.
type Status struct {
	Server
	InFlight int
	// Slowness is the latency in multiples of the expected one, Refused the fraction of refused attempts.
	Slowness float64
	Refused  float64
	Paused   bool
	Gone     bool
}

// Conditions returns the possible results of Status.Condition.
func Conditions() []string {
	return []string{"ready", "draining", "paused", "refusing", "slow", "gone"}
}

// slowCondition and refusingCondition are the slowness and the refused fraction from which a status says so.
const (
	slowCondition     = 2.5
	refusingCondition = 0.2
)

// Condition sums the status up in one word.
func (s Status) Condition() string {
	switch {
	case s.Gone:
		return "gone"
	case s.State == Draining:
		return "draining"
	case s.Paused:
		return "paused"
	case s.Refused >= refusingCondition:
		return "refusing"
	case s.Slowness >= slowCondition:
		return "slow"
	default:
		return "ready"
	}
}

// Statuses returns what is known of each replica.
func (b *Balancer) Statuses(now time.Time) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Status, 0, len(b.replicas))
	for _, r := range b.replicas {
		all = append(all, Status{
			Server: r.Server, InFlight: len(r.open), Slowness: r.slownessAt(now), Refused: r.refusedFraction(now),
			Paused: now.Before(r.pausedUntil), Gone: r.gone,
		})
	}
	return all
}
