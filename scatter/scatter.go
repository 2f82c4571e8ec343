// Package scatter sends one query to all shards of its snapshot and gathers the responses. It handles hedging,
// retries, deadlines and cancellation.
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

// Target is the replica selected for one attempt.
type Target struct {
	ID string
	// Done ends the attempt. err is nil for a valid response, context.Canceled for an attempt that was cancelled or
	// superseded by another one, and context.DeadlineExceeded for one that was in flight at the deadline.
	Done func(latency time.Duration, err error)
}

// Picker selects the replica for an attempt. Pick returns false if no replica is available. exclude holds the IDs of
// the targets that must not be selected and is valid only during the call. A StateMachine calls Pick and Target.Done
// only from its own methods; a Picker that several queries share must be safe for concurrent use.
type Picker interface {
	Pick(service string, version snapshot.Version, shard string, exclude []string) (Target, bool)
}

// Sender sends a sub-request to a replica. Implementations must be safe for concurrent use.
type Sender interface {
	Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error)
}

// Budget limits the extra attempts, that is, hedges and retries. Withdraw withdraws a token and reports whether one was
// available.
type Budget interface {
	Withdraw() bool
}

// Plan is a query bound to a snapshot.
type Plan struct {
	Service  string
	Request  string
	Query    string
	Version  snapshot.Version
	ShardMap snapshot.ShardMap
	// HedgeDelay is the age of an attempt at which a hedge is sent; 0 disables hedging.
	HedgeDelay time.Duration
	// MaxAttempts is the maximum number of attempts per shard, including the first. An attempt of which nothing was sent
	// does not count.
	MaxAttempts int
	// WaitForReplicas keeps a shard that has no usable replica or no budget pending until the deadline instead of giving
	// it up. MaxAttempts and the budgets still apply. Without a deadline, such a shard is given up nevertheless.
	WaitForReplicas bool
	// PartialAfter is the time after the start from which the query ends as soon as the answered shards cover
	// MinPartialCoverage of the key space, a fraction from 0 to 1. If it is 0, the query waits for all shards until the
	// deadline.
	PartialAfter       time.Duration
	MinPartialCoverage float64

	// Hedges and Retries limit the extra attempts of the query. They must be set unless ShardBudgets is set; Hedges may
	// be nil if HedgeDelay is 0.
	Hedges  Budget
	Retries Budget
	// ShardBudgets, if set, holds the budgets of each shard and replaces Hedges and Retries.
	ShardBudgets []ShardBudget
	// AtMostOnce is set for a request that may be executed at most once. It disables hedging, and limits retries to
	// attempts that were certainly not executed.
	AtMostOnce bool
	// HedgeAllowed, if set, reports whether the shard may be hedged at the moment. It is called from within the methods
	// of the StateMachine.
	HedgeAllowed func(shard int) bool
	// MinReachableCoverage ends the query as soon as the answered and pending shards together cover less than this
	// fraction of the key space; 0 disables the check.
	MinReachableCoverage float64
}

// ShardBudget holds the hedge and retry budgets of one shard.
type ShardBudget struct{ Hedges, Retries Budget }

// Result is the merged result of a query.
type Result struct {
	Records  []api.Record
	Coverage api.Coverage
	// Attempts, Hedges and Retries count sub-requests; Attempts includes the other two.
	Attempts, Hedges, Retries int
}

// Depositor is a Budget that is credited with the required sub-requests of queries. A StateMachine reports them when it
// starts.
type Depositor interface {
	Deposit(subRequests int)
}

// Refunder is a Budget that accepts the return of a token for which no replica was available.
type Refunder interface {
	Refund()
}

// Run sends the query to every shard of the plan. It returns when each shard is answered or given up, or when ctx
// ends. Attempts that are no longer needed are cancelled before it returns. A StateMachine makes the decisions.
func Run(ctx context.Context, plan Plan, picker Picker, sender Sender) Result {
	deadline, _ := ctx.Deadline()
	r := &run{
		plan: &plan, sender: sender,
		machine: NewStateMachine(&plan, picker, deadline),
		merge:   coverage.NewMerge(plan.Version, plan.ShardMap),
	}
	Drive(ctx, r.machine, r.attempt)
	var result Result
	for i, s := range plan.ShardMap.Shards {
		if ok, reason := r.machine.Answered(i); !ok {
			r.merge.Shard(s.ID).MarkMissing(reason)
		}
	}
	result.Records, result.Coverage = r.merge.Close()
	result.Attempts, result.Hedges, result.Retries = r.machine.Counts()
	return result
}

// run connects the attempts of Run to its merge.
type run struct {
	plan    *Plan
	sender  Sender
	machine *StateMachine
	merge   *coverage.Merge
}

func (r *run) attempt(ctx context.Context, a Action) (func(), error) {
	shard := r.plan.ShardMap.Shards[a.Shard].ID
	sub := backend.SubRequest{
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
	result, err := r.merge.Shard(shard).Check(answer)
	if err != nil {
		return nil, err
	}
	return func() { result.Add() }, nil
}

// MissingReasonOf maps the error of an attempt to the reason reported in the coverage.
func MissingReasonOf(err error) api.MissingReason {
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
