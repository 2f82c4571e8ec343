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
	// throttleSlack is how much later than the target latency a query still counts as served in time: the daemon that the
	// caller asked may end it, which this one learns a hop later.
	throttleSlack = 20 * time.Millisecond
	// saturatedFor is how long a helper's word that a shard is saturated holds.
	saturatedFor = 300 * time.Millisecond
	// overloadWait is the mean advised wait after a refusal for overload. The waits are spread over half to one and a half
	// of it, so that callers do not return together.
	overloadWait = 300 * time.Millisecond
)

// throttle returns the throttle of the run's route, nil if this daemon does not decide on the whole query: one daemon
// does, the helper that all shards are passed to or, without one, the daemon that the caller asked.
func (r *run) throttle(now time.Time) *limit.Throttle {
	g := r.gateway
	switch {
	case r.request.From == "":
		if g.opts.Delegates != nil && g.helpers.PassesOn(r.route.Shards, now) {
			return nil
		}
	case r.request.Depth != 1 || len(r.request.Shards) != len(r.route.Shards):
		return nil
	}
	t, _ := g.throttles.LoadOrStore(r.route.Name, limit.NewThrottle())
	return t.(*limit.Throttle)
}

// record tells the throttle how an admitted query ended. A query that was not answered in time counts only if one of its
// shards is saturated: less load does not help against replicas that fail or refuse for other reasons. A caller that
// left early says nothing.
func (r *run) record(ctx context.Context, t *limit.Throttle, now time.Time) {
	took := now.Sub(r.request.Received)
	isCovered := scatter.Reaches(float64(r.included)/float64(len(r.route.Shards)), r.route.LeastCoverage)
	switch {
	case isCovered && took <= r.route.Target+throttleSlack:
		t.Done(true, now)
	case !isCovered && ctx.Err() != nil && took < partialAfter(r.route.Target, r.request.Depth):
	case r.isSaturated(now):
		t.Done(false, now)
	}
}

// isSaturated reports whether a shard of the run is saturated, as far as this daemon and its helpers know.
func (r *run) isSaturated(now time.Time) bool {
	return r.gateway.isSaturated(r.route, now) || slices.ContainsFunc(r.groups, (*group).isSaturated)
}

// isSaturated reports whether a shard of the route is saturated, as far as this daemon knows, or was so by what a helper
// said lately.
func (g *Gateway) isSaturated(route *routing.Route, now time.Time) bool {
	if at, ok := g.saturatedAt.Load(route.Name); ok && now.Sub(at.(time.Time)) < saturatedFor {
		return true
	}
	return slices.ContainsFunc(route.Shards, func(s string) bool { return g.balancer.Saturated(s, now) })
}

// overloadRetryAfter returns the advised wait after a refusal for overload.
func (g *Gateway) overloadRetryAfter() time.Duration {
	return time.Duration((0.5 + g.draw()) * float64(overloadWait))
}
