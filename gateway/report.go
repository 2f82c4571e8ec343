package gateway

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/scatter"
)

// successLogInterval is the number of requests without errors of which one is logged.
const successLogInterval = 64

// recordAttempt records the end of an attempt in the balancer and the metrics, and keeps a failed one for the log.
func (r *run) recordAttempt(choice balancer.Choice, shard string, start time.Time, elapsed time.Duration, err error) {
	outcome := outcomeForError(err)
	g := r.gateway
	transition := g.balancer.Done(choice.ID, r.route.Name, start, outcome, time.Now())
	g.metrics.outcomes.Add(context.Background(), 1, g.metrics.label("outcome", outcome.String()))
	if err != nil {
		failed := failedAttempt{shard, choice.ID, outcome, err, elapsed}
		r.failedAttempts = append(r.failedAttempts, failed)
		g.metrics.failures.Add(context.Background(), 1, g.metrics.label("failure", failed.failure()))
	}
	event := ""
	switch transition {
	case balancer.Paused:
		event = eventlog.ReplicaPaused
	case balancer.Recovered:
		event = eventlog.ReplicaRecovered
	case balancer.Removed:
		event = eventlog.ReplicaGone
	default:
		return
	}
	g.log.Info(event, zap.String("replica", choice.ID), zap.String("service", shard), zap.String("request", r.request.ID),
		zap.String("outcome", outcome.String()), zap.Duration("took_ms", elapsed), zap.Error(err))
}

// report counts a request and logs what determined its answer.
func (g *Gateway) report(ctx context.Context, request *Request, reply Reply, r *run) {
	elapsed := time.Since(request.Received)
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
		result, event = resultCallerLeft, eventlog.CallerLeft
	case reply.Err != nil:
		result, event = string(reply.Err.Kind), eventlog.RequestFailed
		if reply.Err.Kind.Outcome().Run == api.RunNever {
			event = eventlog.RequestRefused
		}
	case reply.Answer != nil && !reply.Answer.OK():
		result, event = resultPassedError, eventlog.RequestFailed
	case reply.Query != nil && reply.Query.MissingShards > 0:
		result, event = resultPartial, eventlog.RequestPartial
	}
	if request.DelegatedBy == "" {
		// Only the daemon that the caller asked counts the request.
		g.metrics.recordRequest(route, kind, result, elapsed)
	}
	if event == eventlog.RequestServed && g.successes.Add(1)%successLogInterval != 1 {
		r.recordMetrics()
		return
	}
	fields := []zap.Field{
		zap.String("request", request.ID), zap.String("result", result), zap.Duration("took_ms", elapsed),
		zap.Duration("wait_ms", request.CallerTimeout),
	}
	if request.DelegatedBy != "" {
		fields = append(fields, zap.String("from", request.DelegatedBy))
	}
	if r != nil {
		if leftAt, ok := r.gate.CallerLeft(); ok {
			fields = append(fields, zap.Duration("left_ms", leftAt.Sub(request.Received)))
		}
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
	r.recordMetrics()
	fields = append(fields, zap.String("route", route), zap.Int64("version", r.view.Table.Version()),
		zap.Duration("list_age_ms", time.Since(r.view.ReadAt)))
	g.log.Info(event, append(fields, r.logFields()...)...)
}

// recordWithheld reports an attempt that began at begin and was not sent because the caller had left.
func (r *run) recordWithheld(a scatter.Action, begin time.Time) {
	g, now := r.gateway, time.Now()
	leftAt, _ := r.gate.CallerLeft()
	g.metrics.withheld.Add(context.Background(), 1)
	g.log.Info(eventlog.AttemptWithheld, zap.String("request", r.request.ID), zap.String("replica", a.Replica),
		zap.Int("attempt", a.Attempt+1), zap.Duration("since_left_ms", now.Sub(leftAt)), zap.Duration("since_begin_ms", now.Sub(begin)),
		zap.String("from", r.request.DelegatedBy))
}

// reportLosses counts and logs a request that lost connections to replicas.
func (g *Gateway) reportLosses(request *Request, s quarantine.Summary) {
	if s.Verdict == quarantine.NoLoss {
		return
	}
	g.metrics.lossVerdicts.Add(context.Background(), 1, g.metrics.label("verdict", string(s.Verdict)))
	g.log.Info(eventlog.RequestLostConnections, zap.String("request", request.ID), zap.String("fingerprint", s.Fingerprint),
		zap.String("verdict", string(s.Verdict)), zap.Strings("replicas", s.Replicas))
}

// recordMetrics adds the run's sub-requests to the metrics.
func (r *run) recordMetrics() {
	if r.machine == nil {
		return
	}
	_, hedges, retries := r.machine.Counts()
	r.gateway.metrics.recordSubRequests(r.sentByThisDaemon(), hedges, retries, r.machine.RetriesAfterRefusal(), r.machine.DeniedByBudget())
	if n := len(r.answers); n > 0 && r.route.IsQuery() {
		if r.request.DelegatedBy == "" {
			r.gateway.metrics.coverage.Record(context.Background(), float64(r.included)/float64(n),
				r.gateway.metrics.labels(r.route.Name, kindQuery, ""))
		}
	}
}

// helpers returns the addresses of the daemons to which the request or some of its shards were delegated.
func (r *run) helpers() []string {
	var addresses []string
	for _, sg := range r.groups {
		addresses = append(addresses, sg.lastHelper())
	}
	if r.relayedTo != "" {
		addresses = append(addresses, r.relayedTo)
	}
	return addresses
}

// maxLoggedAttempts limits the attempts in one log line.
const maxLoggedAttempts = 12

// logFields returns what determined the answer: the numbers of attempts, and the failed attempts for shards without an
// answer or, for a request to a single replica, all failed attempts.
func (r *run) logFields() []zap.Field {
	if r.machine == nil {
		return nil
	}
	_, hedges, retries := r.machine.Counts()
	missing := make(map[string]bool)
	for i := range r.answers {
		if ok, _ := r.machine.Answered(i); !ok {
			missing[r.plan.ShardMap.Shards[i].ID] = true
		}
	}
	var attempts []string
	for _, a := range r.failedAttempts {
		if (missing[a.shard] || !r.route.IsQuery()) && len(attempts) < maxLoggedAttempts {
			attempts = append(attempts, a.String())
		}
	}
	return []zap.Field{
		zap.Int("shards", len(r.answers)), zap.Int("missing", len(missing)), zap.Int("sent", r.sentByThisDaemon()),
		zap.Int("hedges", hedges), zap.Int("retries", retries),
		zap.Int("resends", r.machine.RetriesAfterRefusal()), zap.Int("denied", r.machine.DeniedByBudget()),
		zap.Strings("attempts", attempts),
	}
}

// Values of failedAttempt.failure for an attempt that did not end by itself.
const (
	failureCancelled = "cancelled"
	failureDeadline  = "deadline"
)

// failure returns the class of the failure for metrics and logs: a backend.Failure, or for an abandoned attempt whether
// it was cancelled or reached its deadline.
func (a failedAttempt) failure() string {
	switch {
	case a.outcome != balancer.Abandoned:
		return string(backend.FailureOf(a.cause))
	case errors.Is(a.cause, context.DeadlineExceeded):
		return failureDeadline
	default:
		return failureCancelled
	}
}

// String returns the shard, replica, outcome, failure and duration of an attempt.
func (a failedAttempt) String() string {
	return fmt.Sprintf("%s %s %s %s %dms", a.shard, a.replica, a.outcome, a.failure(), a.elapsed.Milliseconds())
}

// checkPart counts a complete response to a shard of a query by its status class. It logs one that is not a part of the
// query's answer and returns a *backend.Error for it.
func (r *run) checkPart(shard, replica string, answer *Answer) error {
	g := r.gateway
	g.metrics.parts.Add(context.Background(), 1, g.metrics.label("status", statusClass(answer.Status)))
	if answer.isPart() {
		return nil
	}
	g.log.Warn(eventlog.PartNotSuccessful, zap.String("request", r.request.ID), zap.String("service", shard),
		zap.String("replica", replica), zap.Int("status", answer.Status), zap.String("route", r.route.Name))
	return &backend.Error{Failure: backend.ServerError, Cause: eris.Errorf("status %d is not a part of a query", answer.Status)}
}

// statusClass returns the class of a status code, such as 2xx.
func statusClass(status int) string { return strconv.Itoa(status/100) + "xx" }
