package replica

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	// latencyWeight is the weight of a new sample in the moving averages of a replica's latency and shed rate.
	latencyWeight = 0.1
	// unlimited is the initial concurrency limit of a replica whose connection share is not known.
	unlimited = 1e6
	// maxNearDelay is the largest one-way link delay of a replica that counts as near.
	maxNearDelay = time.Millisecond
	// typicalTimeWeight is the weight of a new sample in the typical service time of a service. It is so small that an
	// incident hardly changes the typical time.
	typicalTimeWeight = 0.0005
	// minDecreaseInterval is the minimum time between two reductions of a replica's concurrency limit.
	minDecreaseInterval = 50 * time.Millisecond
	// minServedFraction limits the cost of a replica that sheds all requests, so that it is still tried occasionally.
	minServedFraction = 0.2
	// servedExponent is the exponent of the served fraction, by which the cost is divided. With an exponent of 2, a
	// nearest replica that shed half of its requests still received so many that their retries exhausted the retry
	// budget.
	servedExponent = 4
	// defaultSlots is the number of slots assumed for a replica that has not reported it.
	defaultSlots = 4
)

// Pick chooses a replica for a shard of a snapshot, or any replica of the service if shard is empty, and counts a
// sub-request in flight to it; the caller must call Finish when the sub-request ends. Replicas in exclude are not
// chosen. The result is false if no replica can be used.
func (g *Registry) Pick(service string, version snapshot.Version, shard string, exclude []string) (Replica, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.buildIndex()
	list := g.byService[service]
	if shard != "" {
		list = g.byHolding[holdingKey{service, snapshot.Holding{Version: version, Shard: shard}}]
	}
	r := g.choose(list, exclude, g.clock())
	if r == nil {
		return Replica{}, false
	}
	r.InFlight++
	return *r, true
}

// choose prefers usable replicas to those that are avoided after a failure, and these to replicas whose load endpoint
// does not answer.
func (g *Registry) choose(list []*Replica, exclude []string, now time.Time) *Replica {
	if g.policy.Choice == ChoiceUniform {
		return g.random(g.filter(list, exclude, (*Replica).AcceptsWork))
	}
	preferred := g.filter(list, exclude, func(r *Replica) bool { return r.isUsable() && !now.Before(r.avoidUntil) })
	if len(preferred) > 0 {
		return g.lowestCost(preferred, now)
	}
	if avoided := g.filter(list, exclude, (*Replica).isUsable); len(avoided) > 0 {
		return g.lowestCost(avoided, now)
	}
	return g.random(g.filter(list, exclude, func(r *Replica) bool { return !r.isLeaving() && !r.isFull() }))
}

// isUsable reports whether the replica's load endpoint answers, the replica is not leaving and can take another
// sub-request.
func (r *Replica) isUsable() bool {
	state := r.Load.State
	return !r.isLeaving() && !r.isFull() && (state == backend.StateReady || state == backend.StateCold)
}

// isFull reports whether the connection share or the concurrency limit is used up.
func (r *Replica) isFull() bool {
	return r.available() == 0
}

func (g *Registry) filter(list []*Replica, exclude []string, keep func(*Replica) bool) []*Replica {
	g.filterBuffer = g.filterBuffer[:0]
	for _, r := range list {
		if keep(r) && !slices.Contains(exclude, r.ID) {
			g.filterBuffer = append(g.filterBuffer, r)
		}
	}
	return g.filterBuffer
}

func (g *Registry) random(list []*Replica) *Replica {
	if len(list) == 0 {
		return nil
	}
	return list[g.rng.IntN(len(list))]
}

// lowestCost returns the one with the lower estimated cost of two candidates drawn without replacement. With
// Policy.CostFunc, it returns the one with the lowest cost of all.
func (g *Registry) lowestCost(list []*Replica, now time.Time) *Replica {
	if len(list) == 1 {
		return list[0]
	}
	if g.policy.CostFunc != nil {
		return g.lowestPolicyCost(list)
	}
	i := g.rng.IntN(len(list))
	j := g.rng.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	if g.policy.IncludeNearest {
		// One candidate is the nearest replica; the other one remains random.
		if n := nearestIndex(list); n != j {
			i = n
		}
	}
	mean := meanServiceTime(list)
	best, other := list[i], list[j]
	if g.estimateCost(other, mean, now) < g.estimateCost(best, mean, now) {
		best = other
	}
	return best
}

// lowestPolicyCost returns the replica with the lowest cost according to Policy.CostFunc. The search starts at a random
// replica, so that ties are broken randomly.
func (g *Registry) lowestPolicyCost(list []*Replica) *Replica {
	start := g.rng.IntN(len(list))
	best, bestCost := list[start], g.policy.CostFunc(list[start])
	for i := 1; i < len(list); i++ {
		r := list[(start+i)%len(list)]
		if cost := g.policy.CostFunc(r); cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// nearestIndex returns the index of the replica with the lowest link delay.
func nearestIndex(list []*Replica) int {
	least := 0
	for i, r := range list {
		if r.linkDelay < list[least].linkDelay {
			least = i
		}
	}
	return least
}

// meanServiceTime returns the mean service time of the replicas whose latency has been measured, or 1 ms if there are
// none.
func meanServiceTime(list []*Replica) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range list {
		if r.MeanLatency > 0 {
			sum += r.serviceTime()
			n++
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(n)
}

// serviceTime returns the average latency minus the link delay of both directions, at least 1 ms.
func (r *Replica) serviceTime() time.Duration {
	return max(time.Millisecond, r.MeanLatency-2*r.linkDelay)
}

// estimateCost returns the estimated latency of one more sub-request in nanoseconds, increased for a replica that
// failed, shed load or restarted recently.
func (g *Registry) estimateCost(r *Replica, mean time.Duration, now time.Time) float64 {
	estimate := float64(mean)
	if r.MeanLatency > 0 {
		w := halfLifeDecay(now.Sub(r.latencyUpdatedAt), g.policy.LatencyHalfLife)
		estimate = w*float64(r.serviceTime()) + (1-w)*float64(mean)
	}
	slots := float64(r.Load.Slots)
	if slots <= 0 {
		slots = defaultSlots
	}
	reported := float64(r.Load.Busy+r.Load.Queued) * halfLifeDecay(now.Sub(r.LoadReportedAt), g.policy.ReportHalfLife)
	cost := estimate*(1+(float64(r.InFlight)+reported)/slots) + 2*float64(r.linkDelay)
	served := math.Pow(max(minServedFraction, 1-r.shedRate), servedExponent)
	return cost * float64(1+r.Failures) / (g.rampShare(r, now) * served)
}

// halfLifeDecay returns the weight of a value of the given age, which halves with each half-life.
func halfLifeDecay(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// rampShare returns the fraction of its normal load that a replica gets after a restart, from Policy.InitialRampShare
// to 1.
func (g *Registry) rampShare(r *Replica, now time.Time) float64 {
	if r.rampStartedAt.IsZero() || g.policy.RampDuration <= 0 {
		return 1
	}
	done := float64(now.Sub(r.rampStartedAt)) / float64(g.policy.RampDuration)
	return min(1, g.policy.InitialRampShare+(1-g.policy.InitialRampShare)*max(0, done))
}

// Finish records the end of a sub-request that Pick counted; err is nil if it was answered. A cancelled attempt is not
// a failure of the replica by itself, and its latency is only a lower bound.
func (g *Registry) Finish(id string, latency time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[id]
	if !ok {
		return
	}
	now := g.clock()
	inFlight := float64(r.InFlight)
	r.InFlight--
	var failed *backend.Error
	switch {
	case err == nil:
		r.concurrency.OnSuccess(inFlight)
		r.Failures, r.cancelledInRow = 0, 0
		r.shedRate -= latencyWeight * r.shedRate
		r.recordLatency(latency, now)
		g.limitQueue(r, inFlight, now)
	case errors.Is(err, context.Canceled):
		g.recordCancelled(r, latency, now)
	case errors.As(err, &failed) && failed.Failure == backend.Refused:
		r.recordRefusal(failed.Refusal, inFlight, now)
	default:
		if latency > r.MeanLatency {
			r.recordLatency(latency, now)
		}
		g.recordFailure(r, now)
	}
}

// limitQueue reduces the concurrency limit of a replica whose average service time is far above the typical one of its
// service. Otherwise, its queue would grow up to the connection share, and each query would wait for the whole queue.
// The rule applies only to near replicas, because delays on a long link can't be told from a queue.
func (g *Registry) limitQueue(r *Replica, inFlight float64, now time.Time) {
	if r.linkDelay > maxNearDelay {
		return
	}
	serviceTime := float64(r.serviceTime())
	typical := g.typicalTimes[r.Service]
	if typical == 0 {
		typical = serviceTime
	}
	typical += typicalTimeWeight * (min(serviceTime, 2*typical) - typical)
	g.typicalTimes[r.Service] = typical
	if g.policy.OverloadLatencyFactor > 0 && serviceTime > g.policy.OverloadLatencyFactor*typical {
		r.concurrency.OnOverload(inFlight, now)
	}
}

func (r *Replica) recordLatency(latency time.Duration, now time.Time) {
	r.latencyUpdatedAt = now
	if r.MeanLatency == 0 {
		r.MeanLatency = latency
		return
	}
	r.MeanLatency += time.Duration(latencyWeight * float64(latency-r.MeanLatency))
}

// recordCancelled counts a cancelled attempt. Several in a row without an answer count as a failure; otherwise, a
// replica that never answers would only appear to have a latency equal to the hedge delay.
func (g *Registry) recordCancelled(r *Replica, latency time.Duration, now time.Time) {
	if latency > r.MeanLatency {
		r.recordLatency(latency, now)
	}
	r.cancelledInRow++
	if g.policy.MaxCancelledInRow > 0 && r.cancelledInRow >= g.policy.MaxCancelledInRow {
		r.cancelledInRow = 0
		g.recordFailure(r, now)
	}
}

// recordFailure counts a failure and avoids the replica for a time that doubles with each failure in a row.
func (g *Registry) recordFailure(r *Replica, now time.Time) {
	r.Failures++
	avoidance := g.policy.InitialAvoidance << min(r.Failures-1, 10)
	r.avoidUntil = now.Add(min(avoidance, g.policy.MaxAvoidance))
}

// recordRefusal handles a refusal before execution. A draining replica is marked as leaving; the concurrency limit of a
// replica that sheds load or is cold is reduced immediately.
func (r *Replica) recordRefusal(refusal backend.Refusal, inFlight float64, now time.Time) {
	switch refusal.Reason {
	case backend.RefusedDraining:
		r.LeavingIncarnation = max(r.LeavingIncarnation, refusal.Incarnation)
	case backend.RefusedShedding, backend.RefusedCold:
		r.shedRate += latencyWeight * (1 - r.shedRate)
		r.concurrency.OnOverload(inFlight, now)
	}
}

// AvailableFractions returns the fraction of the shards whose replicas can take one more sub-request, and the fraction
// whose replicas can take two. A query that needs a higher coverage than the first fraction should be refused before
// anything is sent; the second fraction leaves capacity for queries of other profiles.
func (g *Registry) AvailableFractions(service string, version snapshot.Version, shards []snapshot.Shard) (one, two float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.buildIndex()
	for _, s := range shards {
		free := 0
		for _, r := range g.byHolding[holdingKey{service, snapshot.Holding{Version: version, Shard: s.ID}}] {
			if !r.isLeaving() {
				free += r.available()
			}
		}
		if free >= 1 {
			one++
		}
		if free >= 2 {
			two++
		}
	}
	n := float64(max(1, len(shards)))
	return one / n, two / n
}

// available returns the number of further sub-requests that the replica can take.
func (r *Replica) available() int {
	free := int(math.Ceil(r.concurrency.Limit())) - r.InFlight
	if r.connections > 0 {
		free = min(free, r.connections-r.InFlight)
	}
	return max(0, free)
}
