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

// relay passes a request for one replica of the service to a helper if this daemon keeps no connection to the replicas.
// In a large fleet a connection of each daemon would exceed what a replica accepts, and opening one takes a replica's
// slot. ok is false if no helper took the request: then nothing of it was sent to a replica.
func (r *run) relay(ctx context.Context, service string) (reply Reply, ok bool) {
	g := r.gateway
	if g.opts.Delegates == nil || r.request.From != "" || !g.keepsNone(service) {
		return Reply{}, false
	}
	begin := time.Now()
	helper, ok := g.helpers.PlanSingle(service, begin)
	if !ok {
		return Reply{}, false
	}
	q := r.passedOn(helper)
	q.Service = service
	exchange, cancel := context.WithCancel(ctx)
	defer cancel()
	var begun atomic.Bool
	silent := time.AfterFunc(time.Until(r.request.Received.Add(time.Duration(silentFraction*float64(r.route.Target)))), func() {
		if !begun.Load() {
			cancel()
		}
	})
	defer silent.Stop()
	var single *delegation.Single
	err := g.opts.Delegates.Ask(exchange, helper.Address, q, takenIn(r.route.Target), func(p delegation.Part) {
		begun.Store(true)
		single = p.Single
	})
	r.reportRelay(ctx, helper, service, begin, err)
	switch {
	case errors.Is(err, delegation.ErrNotTaken):
		return Reply{}, false
	case err == nil && isUsable(single):
		r.relayedTo = helper.Address
		return replyOf(single), true
	default:
		r.relayedTo = helper.Address
		return Reply{Err: r.lostRelay(ctx, err)}, true
	}
}

// reportRelay tells the pool, the metrics and the log how an exchange with a helper ended.
func (r *run) reportRelay(ctx context.Context, helper delegation.Helper, service string, begin time.Time, err error) {
	g := r.gateway
	took := time.Since(begin)
	outcome := exchangeOutcome(ctx, err, took)
	paused, recovered := g.helpers.Done(helper.Address, outcome, begin, time.Now())
	g.metrics.delegated.Add(context.Background(), 1, g.metrics.label("outcome", outcome.String()))
	if event := helperEvent(paused, recovered, outcome); event != "" {
		g.log.Info(event, zap.String("request", r.request.ID), zap.String("helper", helper.Address),
			zap.String("outcome", outcome.String()), zap.String("service", service), zap.Duration("took_ms", took), zap.Error(err))
	}
}

// lostRelay returns the error of a request that a helper took and did not answer: a replica may have executed it.
func (r *run) lostRelay(ctx context.Context, err error) *api.Error {
	kind := api.ReplicasFailed
	switch {
	case isPast(ctx):
		kind = api.DeadlineExceeded
	case r.route.Safety == routing.Once:
		kind = api.OutcomeUnknown
	}
	return api.Errorf(kind, "the helper took the request and gave no usable answer: %v", err)
}

// exchangeOutcome returns what the end of an exchange that took so long says of the helper.
func exchangeOutcome(ctx context.Context, err error, took time.Duration) delegation.Outcome {
	switch {
	case err == nil:
		return delegation.Answered
	case ctx.Err() != nil:
		return delegation.Abandoned
	case errors.Is(err, delegation.ErrNotTaken) && took < leastTaken:
		return delegation.Refused
	default:
		return delegation.Silent
	}
}

// helperEvent returns the log event of the end of an exchange, empty for one that says nothing.
func helperEvent(paused, recovered bool, outcome delegation.Outcome) string {
	switch {
	case paused:
		return eventlog.HelperPaused
	case recovered:
		return eventlog.HelperRecovered
	case outcome == delegation.Silent:
		return eventlog.HelperSilent
	case outcome == delegation.Refused:
		return eventlog.ShardsNotTaken
	default:
		return ""
	}
}

// isUsable reports whether a helper gave an answer with a final status, or an error.
func isUsable(single *delegation.Single) bool {
	return single != nil && (single.Error != "" || single.Status >= http.StatusOK && single.Status < 600)
}

// replyOf returns the reply that a helper gave.
func replyOf(single *delegation.Single) Reply {
	if single.Error != "" {
		err := api.Errorf(single.Error, "%s", single.Message)
		err.RetryAfter = single.RetryAfter
		return Reply{Err: err}
	}
	return Reply{Answer: &Answer{Status: single.Status, Header: single.Header, Body: single.Body, Signature: single.Signature}}
}
