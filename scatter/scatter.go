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
}

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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	r := &run{
		plan: &plan, sender: sender, ctx: ctx,
		machine: NewMachine(&plan, picker, deadline),
		merge:   coverage.NewMerge(plan.Version, plan.Map),
		results: make(chan settled),
		lanes:   make([]lane, len(plan.Map.Shards)),
	}
	r.loop()
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

// run drives a Machine with goroutines and the real clock. Only the goroutine of loop touches it, apart from the
// channel.
type run struct {
	plan    *Plan
	sender  Sender
	ctx     context.Context
	machine *Machine
	merge   *coverage.Merge
	results chan settled
	lanes   []lane
}

// lane is the context that all attempts of one shard share: they all end when the shard is answered.
type lane struct {
	ctx    context.Context
	cancel context.CancelFunc
}

type settled struct {
	shard, attempt int
	result         coverage.Result
	err            error
}

func (r *run) loop() {
	r.perform(r.machine.Start(time.Now()))
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !r.machine.Done() {
		var wake <-chan time.Time
		if at, ok := r.machine.Wake(); ok {
			timer.Reset(time.Until(at))
			wake = timer.C
		}
		select {
		case <-r.ctx.Done():
			r.perform(r.machine.Stop(time.Now(), r.ctx.Err()))
		case <-wake:
			r.perform(r.machine.Tick(time.Now()))
		case got := <-r.results:
			r.settle(got)
		}
	}
}

func (r *run) settle(got settled) {
	actions, taken := r.machine.Settled(got.shard, got.attempt, got.err, time.Now())
	if taken {
		got.result.Add()
		r.lanes[got.shard].cancel()
	}
	r.perform(actions)
}

func (r *run) perform(actions []Action) {
	for _, a := range actions {
		l := &r.lanes[a.Shard]
		if a.Kind == ActionCancel {
			l.cancel()
			continue
		}
		if l.ctx == nil {
			l.ctx, l.cancel = context.WithCancel(r.ctx)
		}
		go r.attempt(l.ctx, a)
	}
}

func (r *run) attempt(ctx context.Context, a Action) {
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
	got := settled{shard: a.Shard, attempt: a.Attempt, err: err}
	if err == nil {
		got.result, got.err = r.merge.Ticket(shard).Check(answer)
	}
	select {
	case r.results <- got:
	case <-r.ctx.Done():
	}
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
