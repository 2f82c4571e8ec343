package replica

import "time"

// Choice is the strategy for choosing among the replicas of a shard.
type Choice int

// Values of Choice.
const (
	// ChoiceCost chooses the one with the lower estimated cost of two random candidates.
	ChoiceCost Choice = iota
	// ChoiceUniform chooses uniformly at random. It is the baseline of the measurements.
	ChoiceUniform
)

// Policy holds the parameters of replica selection.
type Policy struct {
	Choice Choice
	// RampDuration is how long a replica's share of the load increases after a new incarnation of it was seen.
	// InitialRampShare is the share at the start, in (0, 1].
	RampDuration     time.Duration
	InitialRampShare float64
	// ReportHalfLife is the age at which a load report has half its weight.
	ReportHalfLife time.Duration
	// LatencyHalfLife is the age at which a replica's measured service time has half its weight against the mean of the
	// candidates, so that a replica that was slow is tried again.
	LatencyHalfLife time.Duration
	// InitialAvoidance is how long a replica is avoided after a failure. The time doubles with each further failure up to
	// MaxAvoidance. An avoided replica is chosen only if no other one can be used.
	InitialAvoidance, MaxAvoidance time.Duration
	// MaxCancelledInRow is the number of attempts cancelled without an answer in between that count as a failure, whether
	// a hedge answered first or the query ended. 0 disables the rule.
	MaxCancelledInRow int
	// OverloadLatencyFactor is the multiple of the service's typical service time above which the concurrency limit of a
	// replica with that average is reduced. 0 disables the rule.
	OverloadLatencyFactor float64
	// CostFunc, if set, replaces the cost estimate, and the replica with the lowest cost of all candidates is chosen. It
	// is called with the registry's lock held and must not call the registry. It is intended for experiments.
	CostFunc func(r *Replica) float64
	// IncludeNearest makes the replica with the lowest link delay one of the two candidates.
	IncludeNearest bool
}

// DefaultPolicy returns the policy used in production.
func DefaultPolicy() Policy {
	return Policy{
		RampDuration:          5 * time.Second,
		InitialRampShare:      0.1,
		ReportHalfLife:        500 * time.Millisecond,
		LatencyHalfLife:       5 * time.Second,
		InitialAvoidance:      100 * time.Millisecond,
		MaxAvoidance:          5 * time.Second,
		MaxCancelledInRow:     3,
		IncludeNearest:        true,
		OverloadLatencyFactor: 3,
	}
}
