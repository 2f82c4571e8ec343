// Package scatter runs one query over the shards of its snapshot: attempts, hedges, retries, deadlines and
// cancellation.
package scatter

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/coverage"
	"github.com/chivemill/chivemill/snapshot"
)

// Target is a replica that was picked for one attempt.
type Target struct {
	ID string
	// Done ends the attempt; err is nil for an answer.
	Done func(latency time.Duration, err error)
}

// Picker picks a replica for an attempt. Implementations are safe for concurrent use.
type Picker interface {
	Pick(service string, version snapshot.Version, shard string, exclude []string) (Target, bool)
}

// Sender sends a sub-request to a replica. Implementations are safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, replica string, sub backend.Sub) (backend.SubAnswer, error)
}

// Budget limits extra attempts. Take reports whether one more is allowed.
type Budget interface {
	Take() bool
}

// Plan is a query that is bound to its snapshot.
type Plan struct {
	Service string
	Request string
	Query   string
	Version snapshot.Version
	Map     snapshot.Map
	// HedgeDelay is the wait before a hedge; 0 sends none.
	HedgeDelay  time.Duration
	MaxAttempts int
	Hedges      Budget
	Retries     Budget
}

// Result is the gathered answer of a query.
type Result struct {
	Records  []api.Record
	Coverage api.Coverage
	// Attempts, Hedges and Retries count sub-requests; Attempts includes the other two.
	Attempts, Hedges, Retries int
}

// Run sends the query to every shard of the plan and returns when each shard is answered or given up, or when
// ctx ends. Attempts that lost are cancelled before it returns.
func Run(ctx context.Context, plan Plan, picker Picker, sender Sender) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	merge := coverage.NewMerge(plan.Version, plan.Map)
	runs := make([]shardRun, len(plan.Map.Shards))
	var wg sync.WaitGroup
	for i, s := range plan.Map.Shards {
		runs[i] = shardRun{plan: &plan, shard: s.ID, ticket: merge.Ticket(s.ID), picker: picker, sender: sender}
		wg.Go(func() { runs[i].run(ctx) })
	}
	wg.Wait()
	var result Result
	result.Records, result.Coverage = merge.Close()
	for i := range runs {
		result.Attempts += runs[i].attempts
		result.Hedges += runs[i].hedges
		result.Retries += runs[i].retries
	}
	return result
}

// shardRun is the state of one shard of a query. Only the goroutine of run touches it.
type shardRun struct {
	plan   *Plan
	shard  string
	ticket coverage.Ticket
	picker Picker
	sender Sender

	tried                     []string
	inFlight                  int
	attempts, hedges, retries int
}

type attemptResult struct {
	result coverage.Result
	err    error
}

func (r *shardRun) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, r.plan.MaxAttempts)
	if !r.start(ctx, results) {
		r.ticket.Miss(api.MissingNoReplica)
		return
	}
	hedge := r.hedgeTimer()
	for r.inFlight > 0 {
		select {
		case <-ctx.Done():
			r.ticket.Miss(api.MissingTimeout)
			return
		case <-hedge:
			hedge = nil
			if r.attempts < r.plan.MaxAttempts && r.plan.Hedges.Take() && r.start(ctx, results) {
				r.hedges++
			}
		case got := <-results:
			r.inFlight--
			if got.err == nil {
				got.result.Add()
				return
			}
			r.ticket.Miss(Reason(got.err))
			if r.attempts < r.plan.MaxAttempts && ctx.Err() == nil && r.plan.Retries.Take() && r.start(ctx, results) {
				r.retries++
			}
		}
	}
}

func (r *shardRun) hedgeTimer() <-chan time.Time {
	if r.plan.HedgeDelay <= 0 || r.plan.MaxAttempts < 2 {
		return nil
	}
	return time.After(r.plan.HedgeDelay)
}

// start sends one attempt and reports whether a replica was left for it.
func (r *shardRun) start(ctx context.Context, results chan<- attemptResult) bool {
	target, ok := r.picker.Pick(r.plan.Service, r.plan.Version, r.shard, r.tried)
	if !ok {
		return false
	}
	r.tried = append(r.tried, target.ID)
	r.attempts++
	r.inFlight++
	sub := backend.Sub{
		Service: r.plan.Service,
		Request: r.plan.Request,
		Attempt: r.plan.Request + "/" + r.shard + "/" + strconv.Itoa(r.attempts),
		Version: r.plan.Version,
		Shard:   r.shard,
		Query:   r.plan.Query,
	}
	go func() {
		begin := time.Now()
		answer, err := r.sender.Send(ctx, target.ID, sub)
		var result coverage.Result
		if err == nil {
			result, err = r.ticket.Check(answer)
		}
		target.Done(time.Since(begin), err)
		results <- attemptResult{result, err}
	}()
	return true
}

// Reason maps the error of an attempt to the reason that the coverage states.
func Reason(err error) api.MissingReason {
	if errors.Is(err, coverage.ErrWrongSnapshot) {
		return api.MissingWrongSnapshot
	}
	var e *backend.Error
	if !errors.As(err, &e) {
		return api.MissingConnection
	}
	switch e.Failure {
	case backend.Refused:
		if e.Refusal.Reason == backend.RefusedWrongSnapshot {
			return api.MissingWrongSnapshot
		}
		return api.MissingRefused
	case backend.Truncated:
		return api.MissingTruncated
	case backend.Undecodable, backend.Mismatched:
		return api.MissingUndecodable
	case backend.TimedOut:
		return api.MissingTimeout
	default:
		return api.MissingConnection
	}
}
