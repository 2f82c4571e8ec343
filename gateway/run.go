package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/coverage"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/topology"
)

const (
	// hedgeFraction of a route's target latency is the longest wait before a second attempt. The wait is shorter where the
	// work is: hedgeFactor times the expected time of an attempt, and hedgeLink for the way there and back.
	hedgeFraction = 1.0 / 3
	hedgeFactor   = 2.5
	hedgeLink     = 10 * time.Millisecond
	// partialReserve is the fraction of the target latency before its end when a query ends with the shards that it has;
	// leastReserve is the least such time: the opening of the caller's connection and the answer take two round trips to
	// it, and a daemon with a small processor share ends a query some milliseconds late.
	partialReserve = 0.1
	leastReserve   = 26 * time.Millisecond
	// groupReserve is how much earlier a query ends that helpers answer, and how much earlier a helper sends what it has
	// for each further daemon in between.
	groupReserve = 5 * time.Millisecond
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
	// groups holds the shards that helpers answer, grouped the group of each of these shards, indices the index of each
	// service in the plan.
	groups  []*group
	grouped map[int]*group
	indices map[string]int
	// relayedTo is the helper that took a request to one replica.
	relayedTo string
	// parts holds what a query's answer consists of, included the number of its shards. The goroutine of the machine's
	// driver owns them.
	parts    []*part
	included int
	// over is set once the answer is decided.
	over atomic.Bool
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
	r.plan.HedgeDelay = hedgeDelay(r.route.Target, r.gateway.balancer.Expected(r.route.Name))
	r.plan.Once = r.route.Safety == routing.Once
	if r.route.IsQuery() {
		r.planGroups(services)
	}
	for i, s := range services {
		w := r.gateway.budget(s)
		if r.grouped[i] == nil {
			r.earn([]int{i})
		}
		r.plan.ShardBudgets = append(r.plan.ShardBudgets, scatter.ShardBudget{
			Hedges: &hedge.View{Window: w, Reserve: hedgeReserve}, Retries: &hedge.View{Window: w},
		})
	}
	deadline, _ := ctx.Deadline()
	r.machine = scatter.NewMachine(&r.plan, r, deadline)
}

// hedgeDelay returns the wait before a second attempt of work with a target latency and an expected time.
func hedgeDelay(target, expected time.Duration) time.Duration {
	return min(time.Duration(hedgeFraction*float64(target)), hedgeLink+time.Duration(hedgeFactor*float64(expected)))
}

// earn counts the needed sub-requests for shards that this daemon sends itself.
func (r *run) earn(shards []int) {
	for _, i := range shards {
		r.gateway.budget(r.plan.Map.Shards[i].ID).Earn(1, time.Now())
	}
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

// query answers a query over shards. A query that another daemon passes on has no least coverage: that daemon decides.
func (r *run) query(ctx context.Context) Reply {
	route := r.route
	now := time.Now()
	shards := float64(len(route.Shards))
	if r.request.From == "" {
		if room := r.gateway.balancer.Room(route.Shards, now); !scatter.Reaches(float64(room)/shards, route.LeastCoverage) {
			return refuse(api.Overloaded, retryAfterRefusal,
				fmt.Sprintf("%d of %d shards have a replica with room", room, len(route.Shards)))
		}
	}
	if t := r.throttle(now); t != nil {
		saturated := func() bool { return r.gateway.isSaturated(route, now) }
		if !t.Admit(r.gateway.draw(), saturated, now) {
			return refuse(api.Overloaded, r.gateway.overloadRetryAfter(), "too few queries were answered in time lately")
		}
		defer func() { r.record(ctx, t, time.Now()) }()
	}
	if r.request.From != "" {
		services := make([]string, len(r.request.Shards))
		for k, i := range r.request.Shards {
			services[k] = route.Shards[i]
		}
		r.gather(ctx, services)
		if r.neverRan() {
			return refuse(api.BackendRefused, retryAfterRefusal, r.reasons())
		}
		return Reply{Query: r.merged()}
	}
	r.plan.GiveUpBelow = route.LeastCoverage
	r.plan.PartialLeast = route.LeastCoverage
	r.gather(ctx, route.Shards)
	if r.included == 0 || !scatter.Reaches(float64(r.included)/shards, route.LeastCoverage) {
		return r.failed(ctx, fmt.Sprintf("%d of %d shards answered: %s", r.included, len(route.Shards), r.reasons()))
	}
	return Reply{Query: r.merged()}
}

// partialAfter returns the time after a query's receipt when the daemon that the caller asked ends it with the shards
// that it has, if daemons pass it on depth times.
func partialAfter(target time.Duration, depth int) time.Duration {
	reserve := max(leastReserve, time.Duration(partialReserve*float64(target)))
	return max(target/2, target-reserve-time.Duration(depth)*groupReserve)
}

// gather runs the plan over the services.
func (r *run) gather(ctx context.Context, services []string) {
	r.prepare(ctx, services)
	if r.request.From == "" {
		after := partialAfter(r.route.Target, min(1, len(r.groups)))
		r.plan.PartialAfter = max(1, after-time.Since(r.request.Received))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, g := range r.groups {
		go g.ask(ctx)
	}
	scatter.Drive(ctx, r.machine, r.attempt)
	r.over.Store(true)
}

// take adds a part to the answer. A part of several shards comes once for each of them.
func (r *run) take(p *part) {
	if p.taken {
		return
	}
	p.taken = true
	r.parts = append(r.parts, p)
	r.included += len(p.Shards)
	if r.request.parts != nil {
		r.request.parts(p)
	}
}

// merged returns the answer of the parts. A part of several shards counts whole if one of them counted in time.
func (r *run) merged() *QueryAnswer {
	answer := &QueryAnswer{Missing: len(r.plan.Map.Shards) - r.included}
	records := make([][]byte, 0, len(r.parts))
	for _, p := range r.parts {
		answer.Signatures = append(answer.Signatures, p.Signatures...)
		records = append(records, p.Records)
	}
	answer.Records = coverage.Top(records, r.route.Top)
	return answer
}

// single passes a request to one replica of the route's service.
func (r *run) single(ctx context.Context) Reply {
	service := r.request.Service
	if service == "" {
		service = r.route.Choose(r.gateway.draw())
	}
	if reply, ok := r.relay(ctx, service); ok {
		return reply
	}
	if r.gateway.balancer.Room([]string{service}, time.Now()) == 0 {
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
	switch {
	case r.neverRan():
		return refuse(api.BackendRefused, max(retryAfterRefusal, r.advisedWait()), message)
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

// neverRan reports whether no replica executed anything. Nothing is dispatched afterwards.
func (r *run) neverRan() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	return r.dispatched == r.notRun
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
	if g := r.grouped[r.indices[shard]]; g != nil && !g.isNotTaken() {
		if len(exclude) > 0 {
			// The helper makes all attempts of the shard.
			return scatter.Target{}, false
		}
		done := func(took time.Duration, err error) {
			if err != nil {
				r.trail = append(r.trail, trailEntry{shard, g.Address, outcomeOf(err), err, took})
			}
		}
		return scatter.Target{ID: g.Address, Done: done}, true
	}
	choice, ok := b.Pick(shard, balancer.Work{Kind: r.route.Name, Target: r.route.Target}, exclude, begin)
	if !ok {
		return scatter.Target{}, false
	}
	done := func(took time.Duration, err error) { r.ended(choice, shard, begin, took, err) }
	return scatter.Target{ID: choice.ID, Done: done}, true
}

// attempt implements scatter.SendFunc. After a panic the replica may have executed the request.
func (r *run) attempt(ctx context.Context, a scatter.Action) (take func(), err error) {
	defer func() {
		if p := recover(); p != nil {
			take, err = nil, &backend.Error{Failure: backend.ConnectionLost, Cause: r.gateway.contained(p, inAttempt, r.request.ID)}
		}
	}()
	if g := r.grouped[a.Shard]; g != nil && a.Attempt == 0 {
		p, err := g.wait(ctx, a.Shard)
		return func() { r.take(p) }, err
	}
	choice, ok := r.gateway.balancer.Lookup(a.Replica)
	if !ok {
		return nil, &backend.Error{Failure: backend.NotSent, Cause: errNotListed}
	}
	if err := r.watch.Wait(ctx); err != nil {
		return nil, &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	deadline, _ := ctx.Deadline()
	dispatched := false
	bounds := Bounds{Left: time.Until(deadline), Bytes: maxAnswer}
	if r.route.IsQuery() {
		bounds.Bytes = maxPart
	}
	answer, err := r.gateway.sender.Send(ctx, choice, r.request, bounds, func() bool {
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
		r.recordFailure(answer, err, dispatched)
		return nil, err
	}
	if r.route.IsQuery() && len(answer.Body) > largePart {
		answer.Body = coverage.Top([][]byte{answer.Body}, r.route.Top)
	}
	return func() {
		r.answers[a.Shard] = &answer
		if r.route.IsQuery() {
			r.take(&part{Part: delegation.Part{
				Shards: []int{a.Shard}, Signatures: []string{answer.Signature}, Records: answer.Body,
			}})
		}
	}, nil
}

var errNotListed = errors.New("the replica is no longer listed")

func (r *run) recordFailure(answer Answer, err error, dispatched bool) {
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
	case backend.NotSent, backend.ConnectionLost, backend.TooLarge:
		// A replica that sends bytes without end costs each further attempt as much as a broken connection and more.
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
