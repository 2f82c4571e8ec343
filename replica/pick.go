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
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.1
	// unlimited is the concurrency limit of a replica that never shed.
	unlimited = 1e6
	// nearDelay is the one-way delay up to which a replica counts as near.
	nearDelay = time.Millisecond
	// typicalWeight is the weight of a new sample in the typical time of a service. It is small, so that an
	// incident does not become typical.
	typicalWeight = 0.0005
	// shedPause is the least time between two reductions of a replica's limit.
	shedPause = 50 * time.Millisecond
	// leastServed bounds the cost of a replica that sheds everything, so that it is still tried at times.
	leastServed = 0.2
	// shedPower is the power of the served fraction that divides the cost. With 2, the nearest replica that shed half
	// of its requests still got so many that their retries used up the retry budget.
	shedPower = 4
	// assumedSlots is used while a replica has not reported its slots.
	assumedSlots = 4
)

// Pick chooses a replica for a shard of a snapshot, or any replica of the service if shard is empty, and counts
// a sub-request in flight. Replicas in exclude are not chosen. ok is false if none is left.
func (g *Registry) Pick(service string, version snapshot.Version, shard string, exclude []string) (Replica, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index()
	list := g.services[service]
	if shard != "" {
		list = g.holders[holderKey{service, snapshot.Holding{Version: version, Shard: shard}}]
	}
	r := g.choose(list, exclude, g.clock())
	if r == nil {
		return Replica{}, false
	}
	r.InFlight++
	return *r, true
}

// choose prefers replicas that accept work over those in a pause after a failure and those that do not answer.
func (g *Registry) choose(list []*Replica, exclude []string, now time.Time) *Replica {
	if g.policy.Choice == ChoiceUniform {
		return g.uniform(g.filter(list, exclude, (*Replica).Accepts))
	}
	good := g.filter(list, exclude, func(r *Replica) bool { return r.usable() && !now.Before(r.avoidUntil) })
	if len(good) > 0 {
		return g.cheapest(good, now)
	}
	if paused := g.filter(list, exclude, (*Replica).usable); len(paused) > 0 {
		return g.cheapest(paused, now)
	}
	return g.uniform(g.filter(list, exclude, func(r *Replica) bool { return !r.isLeaving() && !r.isFull() }))
}

// usable reports whether the replica answers its load endpoint, is not leaving and has room.
func (r *Replica) usable() bool {
	state := r.Load.State
	return !r.isLeaving() && !r.isFull() && (state == backend.StateReady || state == backend.StateCold)
}

// isFull reports whether the connection share or the limit after load shedding is in use.
func (r *Replica) isFull() bool {
	return r.free() == 0
}

func (g *Registry) filter(list []*Replica, exclude []string, keep func(*Replica) bool) []*Replica {
	g.scratch = g.scratch[:0]
	for _, r := range list {
		if keep(r) && !slices.Contains(exclude, r.ID) {
			g.scratch = append(g.scratch, r)
		}
	}
	return g.scratch
}

func (g *Registry) uniform(list []*Replica) *Replica {
	if len(list) == 0 {
		return nil
	}
	return list[g.rng.IntN(len(list))]
}

// cheapest takes the cheaper one of two candidates that are drawn without replacement.
func (g *Registry) cheapest(list []*Replica, now time.Time) *Replica {
	if len(list) == 1 {
		return list[0]
	}
	if g.policy.Cost != nil {
		return g.least(list)
	}
	i := g.rng.IntN(len(list))
	j := g.rng.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	if g.policy.Nearest {
		// One candidate is the nearest replica; the other one stays random.
		if n := nearest(list); n != j {
			i = n
		}
	}
	mean := meanService(list)
	best, other := list[i], list[j]
	if g.cost(other, mean, now) < g.cost(best, mean, now) {
		best = other
	}
	return best
}

// least takes the replica with the least cost by the policy's own estimate; the search starts at a random one, so
// that ties are spread.
func (g *Registry) least(list []*Replica) *Replica {
	start := g.rng.IntN(len(list))
	best, bestCost := list[start], g.policy.Cost(list[start])
	for i := 1; i < len(list); i++ {
		r := list[(start+i)%len(list)]
		if cost := g.policy.Cost(r); cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// nearest returns the index of the replica with the least link delay.
func nearest(list []*Replica) int {
	least := 0
	for i, r := range list {
		if r.linkDelay < list[least].linkDelay {
			least = i
		}
	}
	return least
}

// meanService returns the average latency without the link delay over the replicas that have one.
func meanService(list []*Replica) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range list {
		if r.Latency > 0 {
			sum += r.service()
			n++
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(n)
}

// service returns the average latency without the link delay.
func (r *Replica) service() time.Duration {
	return max(time.Millisecond, r.Latency-2*r.linkDelay)
}

// cost estimates the latency of one more sub-request in nanoseconds.
func (g *Registry) cost(r *Replica, mean time.Duration, now time.Time) float64 {
	own := float64(mean)
	if r.Latency > 0 {
		w := halved(now.Sub(r.latencyAt), g.policy.LatencyHalfLife)
		own = w*float64(r.service()) + (1-w)*float64(mean)
	}
	slots := float64(r.Load.Slots)
	if slots <= 0 {
		slots = assumedSlots
	}
	reported := float64(r.Load.Busy+r.Load.Queued) * halved(now.Sub(r.LoadAt), g.policy.ReportHalfLife)
	cost := own*(1+(float64(r.InFlight)+reported)/slots) + 2*float64(r.linkDelay)
	served := math.Pow(max(leastServed, 1-r.shedRate), shedPower)
	return cost * float64(1+r.Failures) / (g.ramp(r, now) * served)
}

func halved(age, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

// ramp returns the share of the load that a restarted replica takes, from RampStart to 1.
func (g *Registry) ramp(r *Replica, now time.Time) float64 {
	if r.rampFrom.IsZero() || g.policy.RampFor <= 0 {
		return 1
	}
	done := float64(now.Sub(r.rampFrom)) / float64(g.policy.RampFor)
	return min(1, g.policy.RampStart+(1-g.policy.RampStart)*max(0, done))
}

// Done ends a sub-request that Pick counted. err is nil for an answer. A cancelled attempt is no failure of the
// replica; its latency is a lower bound.
func (g *Registry) Done(id string, latency time.Duration, err error) {
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
		r.adaptive.Good(inFlight)
		r.Failures, r.lost = 0, 0
		r.shedRate -= latencyWeight * r.shedRate
		r.observe(latency, now)
		g.watchQueue(r, inFlight, now)
	case errors.Is(err, context.Canceled):
		g.lose(r, latency, now)
	case errors.As(err, &failed) && failed.Failure == backend.Refused:
		r.refused(failed.Refusal, inFlight, now)
	default:
		if latency > r.Latency {
			r.observe(latency, now)
		}
		g.fail(r, now)
	}
}

// watchQueue lowers the limit of a replica whose average time is far above what is typical for its service. Its
// queue would otherwise grow to its connection share, and each query would wait for the whole queue. Only near
// replicas are judged, because late messages on a long link look the same as a queue.
func (g *Registry) watchQueue(r *Replica, inFlight float64, now time.Time) {
	if r.linkDelay > nearDelay {
		return
	}
	took := float64(r.service())
	typical := g.typical[r.Service]
	if typical == 0 {
		typical = took
	}
	typical += typicalWeight * (min(took, 2*typical) - typical)
	g.typical[r.Service] = typical
	if g.policy.QueueFactor > 0 && took > g.policy.QueueFactor*typical {
		r.adaptive.Overload(inFlight, now)
	}
}

func (r *Replica) observe(latency time.Duration, now time.Time) {
	r.latencyAt = now
	if r.Latency == 0 {
		r.Latency = latency
		return
	}
	r.Latency += time.Duration(latencyWeight * float64(latency-r.Latency))
}

// lose counts an attempt that was cancelled. Several in a row without an answer are taken as a failure, because
// a replica that does not answer at all would otherwise only look as slow as the hedge delay.
func (g *Registry) lose(r *Replica, latency time.Duration, now time.Time) {
	if latency > r.Latency {
		r.observe(latency, now)
	}
	r.lost++
	if g.policy.LostLimit > 0 && r.lost >= g.policy.LostLimit {
		r.lost = 0
		g.fail(r, now)
	}
}

func (g *Registry) fail(r *Replica, now time.Time) {
	r.Failures++
	pause := g.policy.AvoidFirst << min(r.Failures-1, 10)
	r.avoidUntil = now.Add(min(pause, g.policy.AvoidMost))
}

// refused handles a refusal before execution. A draining replica is leaving; a shedding one gets less at once.
func (r *Replica) refused(refusal backend.Refusal, inFlight float64, now time.Time) {
	switch refusal.Reason {
	case backend.RefusedDraining:
		r.Leaving = max(r.Leaving, refusal.Incarnation)
	case backend.RefusedShedding, backend.RefusedCold:
		r.shedRate += latencyWeight * (1 - r.shedRate)
		r.adaptive.Overload(inFlight, now)
	}
}

// Room returns the fraction of the shards that have a replica which accepts work and has room for one more
// sub-request, and the fraction with room for two. A query that needs more than the first is better refused before
// anything is sent; the second leaves room for queries of other profiles.
func (g *Registry) Room(service string, version snapshot.Version, shards []snapshot.Shard) (one, two float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.index()
	for _, s := range shards {
		free := 0
		for _, r := range g.holders[holderKey{service, snapshot.Holding{Version: version, Shard: s.ID}}] {
			if !r.isLeaving() {
				free += r.free()
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

// free returns the number of further sub-requests that the replica has room for.
func (r *Replica) free() int {
	free := int(math.Ceil(r.adaptive.Limit())) - r.InFlight
	if r.connections > 0 {
		free = min(free, r.connections-r.InFlight)
	}
	return max(0, free)
}
