package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/scatter"
)

const (
	// throttleSlack is how much later than the target latency a query still counts as served in time: the daemon that the
	// caller asked may end it, which this one learns a hop later.
	throttleSlack = 20 * time.Millisecond
	// overloadWait is the mean advised wait after a refusal for overload. The waits are spread over half to one and a half
	// of it, so that callers do not return together.
	overloadWait = 300 * time.Millisecond
)

// throttle returns the throttle of the run's route, nil if this daemon does not decide on the whole query. The daemon that
// the caller asked decides, and a helper that all shards were passed to, which sees many more queries.
func (r *run) throttle() *limit.Throttle {
	n := len(r.route.Shards)
	if r.request.From != "" && (r.request.Depth != 1 || len(r.request.Shards) != n) {
		return nil
	}
	t, _ := r.gateway.throttles.LoadOrStore(r.route.Name, limit.NewThrottle())
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
	for i, s := range r.plan.Map.Shards {
		if r.grouped[i] == nil && r.gateway.balancer.Saturated(s.ID, now) {
			return true
		}
	}
	return slices.ContainsFunc(r.groups, (*group).isSaturated)
}

// overloadRetryAfter returns the advised wait after a refusal for overload.
func (g *Gateway) overloadRetryAfter() time.Duration {
	return time.Duration((0.5 + g.draw()) * float64(overloadWait))
}
