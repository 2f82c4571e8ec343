package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/coverage"
	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/topology"
)

const (
	// hedgeFraction of a route's target latency is the wait before a second attempt.
	hedgeFraction = 1.0 / 3
	// partialFraction of the target latency is when a query ends with the shards that it has.
	partialFraction = 0.9
	// hedgeReserve is the part of a service's budget that hedges leave to retries, which repair an answer.
	hedgeReserve = 0.25
	// retryAfterRefusal is the advised wait after replicas refused or had no room: about one service time.
	retryAfterRefusal = 50 * time.Millisecond
)

// run is one request over its shards; a request to one replica has one shard.
type run struct {
	gateway *Gateway
	request *Request
	route   *routing.Route
	view    *topology.View
	watch   *quarantine.Run
	plan    scatter.Plan
	// machine is nil until the first attempts are decided.
	machine *scatter.Machine
	// trail holds the attempts that ended without an answer. The goroutine of the machine's driver owns it.
	trail []trailEntry

	mu sync.Mutex
	// dispatched counts the attempts of which a byte may have left, notRun those of them that certainly were not
	// executed. closed is set once the caller's answer depends on these counts: nothing is dispatched any more.
	dispatched, notRun int
	closed             bool
	// failure is the last answer of a replica that is an error.
	failure *Answer
	answers []*Answer
}

// trailEntry is an attempt that ended without an answer.
type trailEntry struct {
	shard, replica string
	outcome        balancer.Outcome
	cause          error
	took           time.Duration
}

// prepare makes the plan and the machine for the services that the request goes to.
func (r *run) prepare(ctx context.Context, services []string) {
	r.answers = make([]*Answer, len(services))
	r.plan.Request, r.plan.Map, r.plan.MaxAttempts = r.request.ID, evenMap(services), r.route.MaxAttempts
	r.plan.HedgeDelay = time.Duration(hedgeFraction * float64(r.route.Target))
	r.plan.Once = r.route.Safety == routing.Once
	now := time.Now()
	for _, s := range services {
		w := r.gateway.budget(s)
		w.Earn(1, now)
		r.plan.ShardBudgets = append(r.plan.ShardBudgets, scatter.ShardBudget{
			Hedges: &hedge.View{Window: w, Reserve: hedgeReserve}, Retries: &hedge.View{Window: w},
		})
	}
	deadline, _ := ctx.Deadline()
	r.machine = scatter.NewMachine(&r.plan, r, deadline)
}

// evenMap gives each service an equal part of the key space.
func evenMap(services []string) snapshot.Map {
	shards := make([]snapshot.Shard, len(services))
	n := uint64(len(services))
	for i, s := range services {
		shards[i] = snapshot.Shard{
			ID: s, Low: uint64(i) * snapshot.KeySpace / n, High: uint64(i+1) * snapshot.KeySpace / n,
		}
	}
	return snapshot.Map{Shards: shards}
}

// query answers a query over shards.
func (r *run) query(ctx context.Context) Reply {
	route := r.route
	shards := float64(len(route.Shards))
	if room := r.gateway.balancer.Room(route.Shards); !scatter.Reaches(float64(room)/shards, route.LeastCoverage) {
		return refuse(api.Overloaded, retryAfterRefusal,
			fmt.Sprintf("%d of %d shards have a replica with room", room, len(route.Shards)))
	}
	r.plan.GiveUpBelow = route.LeastCoverage
	r.plan.PartialLeast = route.LeastCoverage
	r.plan.PartialAfter = max(1, time.Duration(partialFraction*float64(route.Target))-time.Since(r.request.Received))
	r.prepare(ctx, route.Shards)
	scatter.Drive(ctx, r.machine, r.attempt)

	var parts [][]byte
	answer := &QueryAnswer{}
	for _, a := range r.answers {
		if a != nil {
			parts = append(parts, a.Body)
			answer.Signatures = append(answer.Signatures, a.Signature)
		}
	}
	answer.Missing = len(route.Shards) - len(parts)
	if len(parts) == 0 || !scatter.Reaches(float64(len(parts))/shards, route.LeastCoverage) {
		return r.failed(ctx, fmt.Sprintf("%d of %d shards answered: %s", len(parts), len(route.Shards), r.reasons()))
	}
	answer.Records = coverage.Top(parts, route.Top)
	return Reply{Query: answer}
}

// single passes a request to one replica of the route's service.
func (r *run) single(ctx context.Context) Reply {
	service := r.route.Choose(r.gateway.draw())
	if r.gateway.balancer.Room([]string{service}) == 0 {
		return refuse(api.NoReplica, retryAfterRefusal, fmt.Sprintf("service %q has no replica with room", service))
	}
	r.prepare(ctx, []string{service})
	scatter.Drive(ctx, r.machine, r.attempt)
	if a := r.answers[0]; a != nil {
		return Reply{Answer: a}
	}
	r.mu.Lock()
	failure := r.failure
	r.mu.Unlock()
	if failure != nil {
		return Reply{Answer: failure}
	}
	return r.failed(ctx, r.reasons())
}

// failed returns the error of a request without a usable answer.
func (r *run) failed(ctx context.Context, message string) Reply {
	r.mu.Lock()
	r.closed = true
	neverRun := r.dispatched == r.notRun
	r.mu.Unlock()
	switch {
	case neverRun:
		return refuse(api.BackendRefused, retryAfterRefusal, message)
	case isPast(ctx):
		return Reply{Err: api.Errorf(api.DeadlineExceeded, "%s", message)}
	case r.route.Safety == routing.Once:
		return Reply{Err: api.Errorf(api.OutcomeUnknown, "%s", message)}
	case r.route.IsQuery():
		return Reply{Err: api.Errorf(api.CoverageTooLow, "%s", message)}
	default:
		return Reply{Err: api.Errorf(api.ReplicasFailed, "%s", message)}
	}
}

// isPast reports whether the deadline of ctx has come. The machine sees it by its own clock, at times before ctx ends.
func isPast(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// reasons counts the shards that were not answered by their reason.
func (r *run) reasons() string {
	counts := make(map[api.MissingReason]int)
	for i := range r.answers {
		if ok, reason := r.machine.Answered(i); !ok {
			counts[reason]++
		}
	}
	return fmt.Sprint(counts)
}

// Pick implements scatter.Picker.
func (r *run) Pick(_ string, _ snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	b := r.gateway.balancer
	begin := time.Now()
	choice, ok := b.Pick(shard, balancer.Work{Kind: r.route.Name, Target: r.route.Target}, exclude, begin)
	if !ok {
		return scatter.Target{}, false
	}
	done := func(took time.Duration, err error) { r.ended(choice, shard, begin, took, err) }
	return scatter.Target{ID: choice.ID, Done: done}, true
}

// attempt implements scatter.SendFunc.
func (r *run) attempt(ctx context.Context, a scatter.Action) (func(), error) {
	choice, ok := r.gateway.balancer.Lookup(a.Replica)
	if !ok {
		return nil, &backend.Error{Failure: backend.NotSent, Cause: errNotListed}
	}
	if err := r.watch.Wait(ctx); err != nil {
		return nil, &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	deadline, _ := ctx.Deadline()
	dispatched := false
	answer, err := r.gateway.sender.Send(ctx, choice, r.request, time.Until(deadline), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.closed && !dispatched {
			r.dispatched++
			dispatched = true
		}
		return !r.closed
	})
	switch {
	case err == nil, backend.FailureOf(err) == backend.ServerError:
		r.watch.Answered()
	case backend.Lost(err):
		r.watch.Lost(choice.ID, time.Now())
	}
	if err != nil {
		r.record(answer, err, dispatched)
		return nil, err
	}
	return func() { r.answers[a.Shard] = &answer }, nil
}

var errNotListed = errors.New("the replica is no longer listed")

func (r *run) record(answer Answer, err error, dispatched bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var e *backend.Error
	if errors.As(err, &e) && !e.Executed() {
		if dispatched {
			r.notRun++
		}
		return
	}
	if answer.Status != 0 {
		r.failure = &answer
	}
}

// outcomeOf maps the error of an attempt to what it says of the replica.
func outcomeOf(err error) balancer.Outcome {
	var e *backend.Error
	switch {
	case err == nil:
		return balancer.Answered
	case errors.As(err, &e):
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
	switch e.Failure {
	case backend.NotSent, backend.ConnectionLost:
		return balancer.Broken
	case backend.Refused:
		if e.Refusal.Reason == backend.RefusedMisdirected {
			return balancer.Gone
		}
		return balancer.Refused
	case backend.TimedOut:
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
}
