// Package scatter runs one query over the shards of its snapshot: attempts, hedges, retries, deadlines and
// cancellation.
package scatter

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/coverage"
	"github.com/chivemill/chivemill/snapshot"
)

// Target is a replica that was picked for one attempt.
type Target struct {
	ID string
	// Done ends the attempt; err is nil for an answer, context.Canceled for an attempt that lost or was abandoned,
	// and context.DeadlineExceeded for one that was open at the deadline.
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
	// Wait keeps a shard without a usable replica or budget open until the deadline instead of giving it up.
	// MaxAttempts and the budgets still hold.
	Wait bool
	// PartialAfter is the time after the start from which the query ends as soon as the answered shards cover
	// PartialLeast of the key space, a fraction from 0 to 1; 0 waits for all shards until the deadline.
	PartialAfter time.Duration
	PartialLeast float64

	Hedges  Budget
	Retries Budget
	// ShardBudgets, if set, holds one pair of budgets per shard in place of Hedges and Retries.
	ShardBudgets []ShardBudget
	// Once is set if the request may be executed at most once: there are no hedges, and a retry follows only an
	// attempt that certainly was not executed.
	Once bool
	// MayHedge, if set, reports whether a shard gets hedges now. It is called with the Machine's other calls.
	MayHedge func(shard int) bool
	// GiveUpBelow ends the query as soon as the shards that are answered or still open cover less than this fraction
	// of the key space; 0 never does.
	GiveUpBelow float64
}

// ShardBudget holds the budgets of the extra attempts for one shard.
type ShardBudget struct{ Hedges, Retries Budget }

// Result is the gathered answer of a query.
type Result struct {
	Records  []api.Record
	Coverage api.Coverage
	// Attempts, Hedges and Retries count sub-requests; Attempts includes the other two.
	Attempts, Hedges, Retries int
}

// Earner is a Budget that grows with the sub-requests that queries need. A Machine reports them at the start.
type Earner interface {
	Earn(subRequests int)
}

// Refunder is a Budget that takes back an extra attempt that found no replica.
type Refunder interface {
	Refund()
}

// Run sends the query to every shard of the plan and returns when each shard is answered or given up, or when
// ctx ends. Attempts that lost are cancelled before it returns. The decisions are those of a Machine.
func Run(ctx context.Context, plan Plan, picker Picker, sender Sender) Result {
	deadline, _ := ctx.Deadline()
	r := &run{
		plan: &plan, sender: sender,
		machine: NewMachine(&plan, picker, deadline),
		merge:   coverage.NewMerge(plan.Version, plan.Map),
	}
	Drive(ctx, r.machine, r.attempt)
	var result Result
	for i, s := range plan.Map.Shards {
		if ok, reason := r.machine.Answered(i); !ok {
			r.merge.Ticket(s.ID).Miss(reason)
		}
	}
	result.Records, result.Coverage = r.merge.Close()
	result.Attempts, result.Hedges, result.Retries = r.machine.Counts()
	return result
}

// run binds the attempts of Run to its merge.
type run struct {
	plan    *Plan
	sender  Sender
	machine *Machine
	merge   *coverage.Merge
}

func (r *run) attempt(ctx context.Context, a Action) (func(), error) {
	shard := r.plan.Map.Shards[a.Shard].ID
	sub := backend.Sub{
		Service: r.plan.Service,
		Request: r.plan.Request,
		Attempt: r.plan.Request + "/" + shard + "/" + strconv.Itoa(a.Attempt+1),
		Version: r.plan.Version,
		Shard:   shard,
		Query:   r.plan.Query,
	}
	answer, err := r.sender.Send(ctx, a.Replica, sub)
	if err != nil {
		return nil, err
	}
	result, err := r.merge.Ticket(shard).Check(answer)
	if err != nil {
		return nil, err
	}
	return func() { result.Add() }, nil
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
	case backend.Undecodable, backend.Mismatched, backend.TooLarge:
		return api.MissingUndecodable
	case backend.TimedOut:
		return api.MissingTimeout
	default:
		return api.MissingConnection
	}
}
