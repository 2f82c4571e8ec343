package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/internal/dispatch"
	"github.com/chivemill/chivemill/routing"
)

// serveOrPassOn answers the request, or has another daemon answer it if this one reaches no replica. It returns the run that
// determined the reply.
func (r *run) serveOrPassOn(ctx context.Context) (Reply, *run) {
	isDirect := r.request.DelegatedBy == ""
	r.passesOn = isDirect && r.gateway.isIsolated()
	if r.passesOn {
		reply := r.serve(ctx)
		if !r.isUnplaced || !r.gateway.reach.Try(time.Now()) {
			return reply, r
		}
		trial := r.again(r.gate)
		return trial.serve(ctx), trial
	}
	if r.route.Safety == routing.AtMostOnce {
		return r.serve(ctx), r
	}
	runCtx, endRun := r.gateway.withIsolation(ctx)
	reply := r.serve(runCtx)
	isLost := errors.Is(context.Cause(runCtx), errIsolated)
	endRun()
	if !isLost || !isDirect || reply.Err == nil || ctx.Err() != nil {
		return reply, r
	}
	// What was sent before the isolation was noticed has had no response, and the request may be repeated.
	gate, ctx := dispatch.NewGate(ctx, ctx)
	defer gate.Release()
	next := r.again(gate)
	next.passesOn = true
	nextReply := next.serve(ctx)
	if nextReply.Err != nil && nextReply.Err.Kind.Outcome().Run == api.RunNever && !r.gate.Close() {
		// That holds for the second run only: replicas may have executed what the first one sent.
		return reply, r
	}
	return nextReply, next
}

// again returns another run of the same request.
func (r *run) again(gate *dispatch.Gate) *run {
	return &run{gateway: r.gateway, request: r.request, route: r.route, regions: r.regions, view: r.view, quarantineRun: r.quarantineRun,
		gate: gate}
}

// isolatedRetryAfter is the Retry-After of a daemon that reaches no replica and found no other daemon to serve a request: the time
// until it probes the replicas again.
const isolatedRetryAfter = isolatedProbeInterval

// isolatedReply returns the refusal of a request that neither this daemon nor another one could serve.
func (r *run) isolatedReply() Reply {
	r.isUnplaced = true
	return errorReply(api.NoReplica, isolatedRetryAfter, "this daemon reaches no replica and no other daemon took the request")
}

// wasNotPassedOn reports whether the query was to be served by another daemon and none accepted it.
func (r *run) wasNotPassedOn() bool {
	return r.passesOn && (len(r.groups) == 0 || r.groups[0].wasNotAccepted())
}

// planGroups returns the groups of the services to delegate. A daemon that reaches no replica delegates all of them.
func (r *run) planGroups(services []string) []delegation.Group {
	g, now := r.gateway, time.Now()
	if !r.passesOn {
		return g.helpers.Plan(services, r.regions, r.request.DelegationDepth, now)
	}
	helper, ok := g.helpers.PickAnywhere(r.regions, nil, now)
	if !ok {
		return nil
	}
	all := make([]int, len(services))
	for i := range all {
		all[i] = i
	}
	return []delegation.Group{{Helper: helper, Shards: all}}
}

// maxPassOnTries is the number of helpers that a daemon that reaches no replica asks to take a request. In a partition of most VMs
// several of them are cut off too, and refuse within a round trip.
const maxPassOnTries = 6

// nextHelper returns another helper for a request that this daemon cannot serve itself, if those in tried did not accept it; err is
// the result of the last one.
func (r *run) nextHelper(ctx context.Context, tried []string, err error) (helper delegation.Helper, ok bool) {
	if !r.passesOn || !errors.Is(err, delegation.ErrNotAccepted) || len(tried) >= maxPassOnTries || ctx.Err() != nil {
		return delegation.Helper{}, false
	}
	return r.gateway.helpers.PickAnywhere(r.regions, tried, time.Now())
}
