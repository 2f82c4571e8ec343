package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/scatter"
)

const (
	// throttleLatencyTolerance is how far past the target latency a query still counts as answered in time. The daemon
	// that the caller asked may end the query, and this daemon learns of that one hop later.
	throttleLatencyTolerance = 20 * time.Millisecond
	// saturationTTL is how long a helper's report that a shard is saturated stays valid.
	saturationTTL = 300 * time.Millisecond
	// meanOverloadRetryAfter is the mean Retry-After of a refusal for overload. The values are spread between half and
	// one and a half times the mean, so that callers do not retry all at once.
	meanOverloadRetryAfter = 300 * time.Millisecond
)

// throttle returns the throttle of the route, or nil if this daemon does not make the admission decision for the whole
// query. Exactly one daemon makes it: the helper that receives all shards or, if there is none, the daemon that the
// caller asked.
func (r *run) throttle(now time.Time) *limit.Throttle {
	g := r.gateway
	switch {
	case r.request.DelegatedBy == "":
		if g.opts.DelegationClient != nil && g.helpers.DelegatesWhole(r.route.Shards, r.regions, now) {
			return nil
		}
	case r.request.DelegationDepth != 1 || len(r.request.Shards) != len(r.route.Shards):
		return nil
	}
	throttle, _ := g.throttles.LoadOrStore(r.route.Name, limit.NewThrottle())
	return throttle.(*limit.Throttle)
}

// recordForThrottle reports the outcome of an admitted query to the throttle. A query that was not answered in time
// counts only if one of its shards is saturated: reducing load does not help against replicas that fail or refuse for
// other reasons. A query whose caller disconnected early is not counted.
func (r *run) recordForThrottle(ctx context.Context, throttle *limit.Throttle, now time.Time) {
	elapsed := now.Sub(r.request.Received)
	isCovered := scatter.CoverageReached(float64(r.included)/float64(len(r.route.Shards)), r.route.RequiredCoverage)
	switch {
	case isCovered && elapsed <= r.route.TargetLatency+throttleLatencyTolerance:
		throttle.Done(true, now)
	case !isCovered && ctx.Err() != nil && elapsed < partialAfter(r.route.TargetLatency, r.request.DelegationDepth):
	case r.isSaturated(now):
		throttle.Done(false, now)
	}
}

// isSaturated reports whether a shard of the run is saturated, according to this daemon and its helpers.
func (r *run) isSaturated(now time.Time) bool {
	return r.gateway.isSaturated(r.route, now) || slices.ContainsFunc(r.groups, (*shardGroup).isSaturated)
}

// isSaturated reports whether a shard of the route is saturated, according to this daemon or a recent report of a
// helper.
func (g *Gateway) isSaturated(route *routing.Route, now time.Time) bool {
	if at, ok := g.helperSaturatedAt.Load(route.Name); ok && now.Sub(at.(time.Time)) < saturationTTL {
		return true
	}
	return slices.ContainsFunc(route.Shards, func(s string) bool { return g.balancer.Saturated(s, now) })
}

// overloadRetryAfter returns the Retry-After of a refusal for overload.
func (g *Gateway) overloadRetryAfter() time.Duration {
	return time.Duration((0.5 + g.random()) * float64(meanOverloadRetryAfter))
}

// retryAfterRefusal returns the Retry-After of a refusal because too few of the services have a replica with room: at least
// minRetryAfterRefusal, and at least the time until the request limits of replicas leave room for enough of them. The values
// are spread over another such time, so that callers do not retry all at once.
func (r *run) retryAfterRefusal(services []string, requiredCoverage float64, now time.Time) time.Duration {
	var delays []time.Duration
	draw := r.gateway.random()
	for _, service := range services {
		if delay, ok := r.gateway.balancer.RetryDelay(service, r.regions, draw, now); ok {
			delays = append(delays, delay)
		}
	}
	slices.Sort(delays)
	for i, delay := range delays {
		if scatter.CoverageReached(float64(i+1)/float64(len(services)), requiredCoverage) {
			return max(minRetryAfterRefusal, delay)
		}
	}
	return minRetryAfterRefusal
}

// retryAfterMissing returns the Retry-After of a request of which no replica executed anything.
func (r *run) retryAfterMissing() time.Duration {
	var services []string
	for i, shard := range r.plan.ShardMap.Shards {
		if r.groupByShard[i] == nil {
			services = append(services, shard.ID)
		}
	}
	required := 1.0
	if r.route.IsQuery() {
		required = r.route.RequiredCoverage
	}
	return r.retryAfterRefusal(services, required, time.Now())
}
