package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
)

// servedSample is the number of requests without trouble of which one is logged.
const servedSample = 64

// ended takes the end of an attempt: it tells the balancer and remembers what a log line needs.
func (r *run) ended(choice balancer.Choice, shard string, begin time.Time, took time.Duration, err error) {
	outcome := outcomeOf(err)
	g := r.gateway
	transition := g.balancer.Done(choice.ID, r.route.Name, begin, outcome, time.Now())
	g.metrics.outcomes.Add(context.Background(), 1, g.metrics.label("outcome", outcome.String()))
	if err != nil {
		r.trail = append(r.trail, trailEntry{shard, choice.ID, outcome, err, took})
	}
	event := ""
	switch transition {
	case balancer.Paused:
		event = eventlog.ReplicaPaused
	case balancer.Recovered:
		event = eventlog.ReplicaRecovered
	case balancer.Left:
		event = eventlog.ReplicaGone
	default:
		return
	}
	g.log.Info(event, zap.String("replica", choice.ID), zap.String("service", shard), zap.String("request", r.request.ID),
		zap.String("outcome", outcome.String()), zap.Duration("took_ms", took), zap.Error(err))
}

// report counts a request and logs what decided its answer.
func (g *Gateway) report(ctx context.Context, request *Request, reply Reply, r *run) {
	took := time.Since(request.Received)
	kind, route, event := kindSingle, "", eventlog.RequestServed
	if r != nil {
		route = r.route.Name
		if r.route.IsQuery() {
			kind = kindQuery
		}
	}
	result := resultOK
	switch {
	case ctx.Err() != nil:
		result, event = resultLeft, eventlog.RequestLeft
	case reply.Err != nil:
		result, event = string(reply.Err.Kind), eventlog.RequestFailed
		if reply.Err.Kind.Outcome().Run == api.RunNever {
			event = eventlog.RequestRefused
		}
	case reply.Answer != nil && !reply.Answer.OK():
		result, event = resultPassed, eventlog.RequestFailed
	case reply.Query != nil && reply.Query.Missing > 0:
		result, event = resultPartial, eventlog.RequestPartial
	}
	if request.From == "" {
		// The daemon that the caller asked counts the request.
		g.metrics.ended(route, kind, result, took)
	}
	if event == eventlog.RequestServed && g.served.Add(1)%servedSample != 1 {
		r.count()
		return
	}
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("result", result), zap.Duration("took_ms", took),
		zap.Duration("wait_ms", request.Wait),
	}
	if request.From != "" {
		fields = append(fields, zap.String("from", request.From))
	}
	if r != nil {
		if helpers := r.helpers(); len(helpers) > 0 {
			fields = append(fields, zap.Strings("helpers", helpers))
		}
	}
	if reply.Err != nil {
		fields = append(fields, zap.String("reason", reply.Err.Message), zap.Duration("retry_after_ms", reply.Err.RetryAfter))
	}
	if reply.Answer != nil {
		fields = append(fields, zap.Int("status", reply.Answer.Status))
	}
	if r == nil {
		g.log.Info(event, append(fields, zap.String("host", request.Host), zap.String("path", request.Path))...)
		return
	}
	r.count()
	fields = append(fields, zap.String("route", route), zap.Int64("version", r.view.Table.Version()),
		zap.Duration("list_age_ms", time.Since(r.view.ReadAt)))
	g.log.Info(event, append(fields, r.fields()...)...)
}

// count adds the run's sub-requests to the metrics.
func (r *run) count() {
	if r.machine == nil {
		return
	}
	_, hedges, retries := r.machine.Counts()
	r.gateway.metrics.sent(r.sent(), hedges, retries, r.machine.Resends(), r.machine.Denied())
	if n := len(r.answers); n > 0 && r.route.IsQuery() {
		if r.request.From == "" {
			r.gateway.metrics.coverage.Record(context.Background(), float64(r.included)/float64(n),
				r.gateway.metrics.labels(r.route.Name, kindQuery, ""))
		}
	}
}

// helpers returns the addresses of the daemons that answered the request or shards of it.
func (r *run) helpers() []string {
	var addresses []string
	for _, g := range r.groups {
		addresses = append(addresses, g.Address)
	}
	if r.relayedTo != "" {
		addresses = append(addresses, r.relayedTo)
	}
	return addresses
}

// maxTrail bounds the attempts that one log line names.
const maxTrail = 12

// fields returns what decided the request: the numbers of attempts, and the attempts of the shards without an answer.
func (r *run) fields() []zap.Field {
	if r.machine == nil {
		return nil
	}
	_, hedges, retries := r.machine.Counts()
	missing := make(map[string]bool)
	for i := range r.answers {
		if ok, _ := r.machine.Answered(i); !ok {
			missing[r.plan.Map.Shards[i].ID] = true
		}
	}
	var attempts []string
	for _, t := range r.trail {
		if missing[t.shard] && len(attempts) < maxTrail {
			attempts = append(attempts, t.String())
		}
	}
	return []zap.Field{
		zap.Int("shards", len(r.answers)), zap.Int("missing", len(missing)), zap.Int("sent", r.sent()),
		zap.Int("hedges", hedges), zap.Int("retries", retries), zap.Int("resends", r.machine.Resends()), zap.Int("denied", r.machine.Denied()),
		zap.Strings("attempts", attempts),
	}
}

// String returns shard, replica, outcome, cause and time of an attempt.
func (t trailEntry) String() string {
	cause := string(backend.FailureOf(t.cause))
	if t.outcome == balancer.Abandoned {
		cause = "cancelled"
		if errors.Is(t.cause, context.DeadlineExceeded) {
			cause = "deadline"
		}
	}
	return fmt.Sprintf("%s %s %s %s %dms", t.shard, t.replica, t.outcome, cause, t.took.Milliseconds())
}
