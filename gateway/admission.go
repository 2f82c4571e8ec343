package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
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
	// minAdmissionRoom is the least time that a query is assumed to have for waiting at replicas, however tight its target is.
	minAdmissionRoom = 10 * time.Millisecond
)

// decidesAdmission reports whether this daemon makes the admission decision for the whole query. Exactly one daemon makes it: the
// helper that receives all shards or, if there is none, the daemon that the caller asked.
func (r *run) decidesAdmission(now time.Time) bool {
	g := r.gateway
	if r.request.DelegatedBy == "" {
		return g.opts.DelegationClient == nil || !g.helpers.DelegatesWhole(r.route.Shards, r.regions, now)
	}
	return r.request.DelegationDepth == 1 && len(r.request.Shards) == len(r.route.Shards)
}

// class returns the class of the query for admission.
func (r *run) class() limit.Class { return limit.Class{Route: r.route.Name, Rank: r.rank()} }

// rank returns the rank of the request: that of its client account, if the account has one, or else that of its route.
func (r *run) rank() int {
	if accounts := r.view.Table.Accounts(); accounts != nil && r.request.Account != "" {
		if a, ok := accounts.Find(r.request.Account); ok {
			return a.Rank(r.route.Priority)
		}
	}
	return r.route.Priority
}

// admit decides whether the query runs now; ok is false if it is refused with the reply.
func (r *run) admit(now time.Time) (refusal Reply, ok bool) {
	g, class := r.gateway, r.class()
	decision := g.throttle.Admit(class, r.request.Account, g.random(), runLoad{r, now}, now)
	g.metrics.recordAdmission(class.Rank, decision.Refusal)
	for _, c := range decision.Changes {
		g.log.Info(eventlog.SheddingChanged, zap.Int("priority", c.Rank), zap.Bool("active", c.Active), zap.Int("refused", c.Refused),
			zap.String("request", r.request.ID))
	}
	if decision.Refusal == limit.Admitted {
		return Reply{}, true
	}
	retryAfter := time.Duration((0.5 + g.random()) * float64(decision.MeanRetryAfter))
	return errorReply(api.Overloaded, retryAfter, admissionReasons[decision.Refusal]), false
}

// admissionReasons are the reasons of refusals as callers and logs see them.
var admissionReasons = map[limit.Refusal]string{
	limit.RefusedLoad:  "too few queries were answered in time lately",
	limit.RefusedRank:  "queries of a higher priority wait for the same shards",
	limit.RefusedBurst: "the route gets several times its usual queries, and a shard is saturated",
}

// runLoad implements limit.ClassLoad for the query of a run.
type runLoad struct {
	*run
	now time.Time
}

// Saturated implements limit.ClassLoad.
func (l runLoad) Saturated() bool { return l.gateway.isSaturated(l.route, l.now) }

// WaitRatio implements limit.ClassLoad. A query needs only as many shards as its required coverage, so its wait is the longest at the
// shards with the shortest waits that reach the coverage.
func (l runLoad) WaitRatio(routeName string) float64 {
	routes := l.view.Table.Config().Routes
	index := slices.IndexFunc(routes, func(r routing.Route) bool { return r.Name == routeName && r.IsQuery() })
	if index < 0 {
		return 0
	}
	route := &routes[index]
	shared := make(map[string]bool, len(l.route.Shards))
	for _, s := range l.route.Shards {
		shared[s] = true
	}
	class := balancer.RequestClass{Kind: route.Name, TargetLatency: route.TargetLatency, Regions: l.regions}
	budget := partialAfter(route.TargetLatency, 1)
	ratios := make([]float64, len(route.Shards))
	// longestShared is the largest ratio at a shard of both routes.
	longestShared := 0.0
	for i, t := range l.gateway.balancer.ExpectedTimes(route.Shards, class, l.now) {
		ratios[i] = float64(t.Wait) / float64(max(minAdmissionRoom, budget-t.Work))
		if shared[route.Shards[i]] {
			longestShared = max(longestShared, ratios[i])
		}
	}
	slices.Sort(ratios)
	needed := 0
	for !scatter.CoverageReached(float64(needed)/float64(len(ratios)), route.RequiredCoverage) {
		needed++
	}
	if needed == 0 {
		return 0
	}
	return min(ratios[needed-1], longestShared)
}

// WorkRatio implements limit.ClassLoad.
func (l runLoad) WorkRatio(routeName string) float64 {
	work, other := l.gateway.balancer.ExpectedLatency(l.route.Name), l.gateway.balancer.ExpectedLatency(routeName)
	return min(1, float64(work)/float64(other))
}

// recordForThrottle reports the outcome of an admitted query to the throttle. A query that was not answered in time
// counts only if one of its shards is saturated: reducing load does not help against replicas that fail or refuse for
// other reasons. A query whose caller disconnected early is not counted.
func (r *run) recordForThrottle(ctx context.Context, now time.Time) {
	elapsed := now.Sub(r.request.Received)
	throttle := r.gateway.throttle
	isCovered := scatter.CoverageReached(float64(r.included)/float64(len(r.route.Shards)), r.route.RequiredCoverage)
	switch {
	case isCovered && elapsed <= r.route.TargetLatency+throttleLatencyTolerance:
		throttle.Done(r.class(), true, now)
	case !isCovered && ctx.Err() != nil && elapsed < partialAfter(r.route.TargetLatency, r.request.DelegationDepth):
	case r.isSaturated(now):
		throttle.Done(r.class(), false, now)
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
