package scatter

import (
	"context"
	"time"

	"github.com/chivemill/chivemill/snapshot"
)

// stopIfUnreachable ends the query once it can no longer reach the coverage that the plan requires.
func (m *StateMachine) stopIfUnreachable(now time.Time) {
	if m.plan.MinReachableCoverage == 0 || m.pending == 0 || CoverageReached(m.reachable(), m.plan.MinReachableCoverage) {
		return
	}
	m.finish(now, context.Canceled)
}

// reachable returns the fraction of the key space covered by shards that are answered or still pending.
func (m *StateMachine) reachable() float64 {
	var sum uint64
	for i := range m.shards {
		if s := &m.shards[i]; s.answered || !s.done {
			sum += keyRange(m.plan.ShardMap.Shards[i])
		}
	}
	return float64(sum) / float64(snapshot.KeySpace)
}

func keyRange(s snapshot.Shard) uint64 { return s.High - s.Low }

// partialDue reports whether the query may end with a partial answer now.
func (m *StateMachine) partialDue(now time.Time) bool {
	return !m.partialAt.IsZero() && !now.Before(m.partialAt) && m.isCovered()
}

// isCovered reports whether the answered shards cover at least MinPartialCoverage of the key space.
func (m *StateMachine) isCovered() bool {
	return CoverageReached(float64(m.covered)/float64(snapshot.KeySpace), m.plan.MinPartialCoverage)
}

// coverageTolerance is larger than the rounding error of shard bounds, which are whole hash values, for a few
// thousand shards, and far smaller than the range of one shard.
const coverageTolerance = 1e-6

// CoverageReached reports whether a fraction of the key space is at least the required one. Shards of nominally equal
// size differ by one hash value, so without a tolerance some sets of 7 out of 10 shards would fall below 0.7.
func CoverageReached(fraction, required float64) bool { return fraction >= required-coverageTolerance }
