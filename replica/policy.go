package replica

import "time"

// Choice names a rule for choosing among the replicas of a shard.
type Choice int

// Values of Choice.
const (
	// ChoiceCost takes the cheaper one of two random candidates.
	ChoiceCost Choice = iota
	// ChoiceUniform takes a random one. It is the baseline of the measurements.
	ChoiceUniform
)

// Policy holds the parameters of replica choice.
type Policy struct {
	Choice Choice
	// RampFor is how long a replica's share of the load rises after a new incarnation was seen; RampStart is the
	// share at the start of the ramp, in (0, 1].
	RampFor   time.Duration
	RampStart float64
	// ReportHalfLife is the age at which a load report counts half.
	ReportHalfLife time.Duration
	// LatencyHalfLife is the age at which a latency that differs from the link delay counts half, so that a
	// replica that was slow is tried again.
	LatencyHalfLife time.Duration
	// AvoidFirst is the pause after a failure; it doubles with each further one up to AvoidMost. A replica in its
	// pause is chosen only if no other is left.
	AvoidFirst, AvoidMost time.Duration
	// LostLimit is the number of attempts lost to hedges in a row that counts as a failure.
	LostLimit int
	// QueueFactor times the typical time of its service is the average time above which a replica's limit shrinks.
	QueueFactor float64
	// Cost, if set, replaces the cost estimate and is compared over all candidates. It is called under the
	// registry's lock and must not call the registry. It serves experiments.
	Cost func(r *Replica) float64
	// Nearest adds the replica with the least link delay to the candidates.
	Nearest bool
}

// DefaultPolicy returns the policy that daemons use.
func DefaultPolicy() Policy {
	return Policy{
		RampFor:         5 * time.Second,
		RampStart:       0.1,
		ReportHalfLife:  500 * time.Millisecond,
		LatencyHalfLife: 5 * time.Second,
		AvoidFirst:      100 * time.Millisecond,
		AvoidMost:       5 * time.Second,
		LostLimit:       3,
		Nearest:         true,
		QueueFactor:     3,
	}
}
