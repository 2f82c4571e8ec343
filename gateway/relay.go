package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/routing"
)

// relaySingle delegates a request to a single replica of the service to a helper if this daemon keeps no connections to
// the replicas. In a large fleet, one connection per daemon would exceed what a replica accepts, and opening one
// occupies a slot of the replica. A daemon that reaches no replica delegates each request. ok is false if no helper accepted the
// request, so that nothing of it was sent to a replica, or if one has handed back a request that may be repeated.
func (r *run) relaySingle(ctx context.Context, service string) (reply Reply, ok bool) {
	g := r.gateway
	if g.opts.DelegationClient == nil || r.request.DelegatedBy != "" {
		return Reply{}, false
	}
	var helper delegation.Helper
	switch {
	case r.passesOn:
		helper, ok = g.helpers.PickAnywhere(r.regions, nil, time.Now())
	case g.needsRelay(service):
		helper, ok = g.helpers.PlanSingle(service, r.regions, time.Now())
	}
	if !ok {
		return Reply{}, false
	}
	var single *delegation.ReplicaAnswer
	helper, err := r.exchange(ctx, helper, zap.String("service", service), func(helper delegation.Helper) (err error) {
		r.recordHelperRequest(helper, egressRelayed)
		if single, err = r.askForSingle(ctx, helper, service); single != nil {
			r.recordHelperAnswer(helper, egressRelayed, len(single.Body))
		}
		return err
	})
	if errors.Is(err, delegation.ErrNotAccepted) {
		return Reply{}, false
	}
	r.relayedTo = helper.Address
	switch {
	case err == nil && isValidSingle(single):
		return replyFromSingle(single), true
	case errors.Is(err, errHandedBack) && r.takesBack(service):
		return Reply{}, false
	default:
		return Reply{Err: r.lostRelayError(ctx, err)}, true
	}
}

// takesBack reports whether this daemon sends a request to a replica itself that a helper has accepted and handed back.
func (r *run) takesBack(service string) bool {
	if r.passesOn || r.route.Safety == routing.AtMostOnce ||
		r.gateway.balancer.CountAvailable([]string{service}, r.regions, time.Now()) == 0 {
		return false
	}
	// A replica may have executed the request on the helper's behalf, so that it cannot be reported as not executed any more.
	return r.gate.Begin()
}

// askForSingle delegates a request to a single replica to the helper and returns its answer.
func (r *run) askForSingle(ctx context.Context, helper delegation.Helper, service string) (single *delegation.ReplicaAnswer, err error) {
	query := r.delegatedQuery(helper)
	query.Service = service
	exchangeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var firstPartReceived, isHandedBack atomic.Bool
	firstPartTimer := time.AfterFunc(time.Until(r.firstPartDeadline()), func() {
		if !firstPartReceived.Load() {
			cancel()
		}
	})
	defer firstPartTimer.Stop()
	err = r.gateway.opts.DelegationClient.Delegate(exchangeCtx, helper.Address, query, acceptTimeout(r.route.TargetLatency),
		func(p delegation.PartialAnswer) {
			firstPartReceived.Store(true)
			isHandedBack.Store(p.Isolated)
			single = p.ReplicaAnswer
		})
	if err == nil && isHandedBack.Load() {
		return nil, errHandedBack
	}
	return single, err
}

// lostRelayError returns the error for a request that a helper accepted and did not answer: a replica may have executed
// it.
func (r *run) lostRelayError(ctx context.Context, err error) *api.Error {
	kind := api.ReplicasFailed
	switch {
	case deadlinePassed(ctx):
		kind = api.DeadlineExceeded
	case r.route.Safety == routing.AtMostOnce:
		kind = api.OutcomeUnknown
	}
	return api.Errorf(kind, "the helper took the request and gave no usable answer: %v", err)
}

// exchangeOutcome returns the outcome that counts for the helper after an exchange of the given duration. An exchange
// that the helper did not accept counts as refused if it ended within minAcceptTimeout, before an accept timeout can
// expire, and as silent otherwise.
func exchangeOutcome(ctx context.Context, err error, elapsed time.Duration) delegation.Outcome {
	switch {
	case err == nil:
		return delegation.Answered
	case ctx.Err() != nil:
		return delegation.Abandoned
	case errors.Is(err, delegation.ErrIsolated), errors.Is(err, errHandedBack):
		return delegation.Isolated
	case errors.Is(err, delegation.ErrNotAccepted) && elapsed < minAcceptTimeout:
		return delegation.Refused
	default:
		return delegation.Silent
	}
}

// helperEvent returns the log event for the end of an exchange, empty if nothing is to be logged.
func helperEvent(paused, recovered bool, outcome delegation.Outcome) string {
	switch {
	case paused:
		return eventlog.HelperPaused
	case recovered:
		return eventlog.HelperRecovered
	case outcome == delegation.Silent:
		return eventlog.HelperSilent
	case outcome == delegation.Refused, outcome == delegation.Isolated:
		return eventlog.ShardsNotTaken
	default:
		return ""
	}
}

// isValidSingle reports whether a helper's answer has a final status or an error.
func isValidSingle(single *delegation.ReplicaAnswer) bool {
	return single != nil && (single.Error != "" || single.Status >= http.StatusOK && single.Status < 600)
}

// replyFromSingle converts a helper's answer to a reply.
func replyFromSingle(single *delegation.ReplicaAnswer) Reply {
	if single.Error != "" {
		err := api.Errorf(single.Error, "%s", single.Message)
		err.RetryAfter = single.RetryAfter
		return Reply{Err: err}
	}
	return Reply{Answer: &Answer{Status: single.Status, Header: single.Header, Body: single.Body, Signature: single.Signature}}
}
