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
	"github.com/chivemill/chivemill/internal/dispatch"
	"github.com/chivemill/chivemill/residency"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/topology"
)

const (
	// maxHedgeDelayFraction of a route's target latency is the longest delay before a second attempt. Where attempts
	// are expected to be faster, the delay is hedgeDelayFactor times the expected time of an attempt plus
	// hedgeRoundTrip for the network.
	maxHedgeDelayFraction = 1.0 / 3
	hedgeDelayFactor      = 2.5
	hedgeRoundTrip        = 10 * time.Millisecond
	// hedgeConnectTime is the time that a second attempt may need beside its work: opening a connection to a replica in
	// another region and the round trip of the request. A second attempt that starts later than that before the partial
	// answer cannot be part of it.
	hedgeConnectTime = 55 * time.Millisecond
	// minHedgeDelayFactor times the expected time of an attempt, plus minHedgeRoundTrip, is the shortest delay. Most attempts
	// are answered by then, so that few second attempts are sent for replicas that work normally.
	minHedgeDelayFactor = 1.4
	minHedgeRoundTrip   = 6 * time.Millisecond
	// partialReserveFraction of the target latency is how long before the target a query ends with the shards that have
	// answered. It is at least minPartialReserve: opening the caller's connection and sending the answer take two round
	// trips, and a daemon with a small CPU share ends a query some milliseconds late.
	partialReserveFraction = 0.1
	minPartialReserve      = 26 * time.Millisecond
	// delegationReserve is how much earlier a query with delegated shards ends, and how much earlier a helper sends its
	// available parts for each further daemon on the path.
	delegationReserve = 5 * time.Millisecond
	// retryReserveFraction is the fraction of a service's budget that hedges leave to retries, since retries repair an
	// answer.
	retryReserveFraction = 0.25
	// attemptLinger is how long an attempt whose answer is no longer needed may still be answered: about one round trip to another
	// region and the work of a short query.
	attemptLinger = 60 * time.Millisecond
	// minRetryAfterRefusal is the shortest Retry-After when replicas refused or had no free slots: about one service time.
	minRetryAfterRefusal = 50 * time.Millisecond
)

// run is the processing of one request over its shards; a request to a single replica has one shard.
type run struct {
	gateway *Gateway
	request *Request
	route   *routing.Route
	// passesOn is set if this daemon reaches no replica, so that another daemon has to serve the request.
	passesOn bool
	// isUnplaced is set if no other daemon took such a request.
	isUnplaced bool
	// regions are those in which the request may be served.
	regions       residency.Regions
	view          *topology.View
	quarantineRun *quarantineRun
	plan          scatter.Plan
	// groups holds the delegated shards by helper, groupByShard the group of each of these shards, shardIndexes the
	// index of each service in the plan.
	groups       []*shardGroup
	groupByShard map[int]*shardGroup
	shardIndexes map[string]int
	// relayedTo is the helper that accepted a request to a single replica.
	relayedTo string
	// parts holds the parts of a query's answer, included the number of their shards. Only the goroutine that drives
	// the state machine accesses them.
	parts    []*part
	included int
	// finished is set once the answer is decided.
	finished atomic.Bool
	// machine is nil until the plan is made.
	machine *scatter.StateMachine
	// failedAttempts holds the attempts that ended without an answer. Only the goroutine that drives the state machine
	// accesses it.
	failedAttempts []failedAttempt

	// gate counts the attempts that replicas may be executing. It is closed once the caller's answer depends on their number.
	gate *dispatch.Gate

	mu sync.Mutex
	// errorAnswer is the last error response of a replica.
	errorAnswer *Answer
	answers     []*Answer
	// egress holds why attempts left the data centre, by replica.
	egress map[string]balancer.EgressReason
}

// failedAttempt is an attempt that ended without an answer.
type failedAttempt struct {
	shard, replica string
	outcome        balancer.Outcome
	cause          error
	elapsed        time.Duration
}

// prepare makes the plan and the state machine for the services of the request.
func (r *run) prepare(ctx context.Context, services []string) {
	r.answers = make([]*Answer, len(services))
	r.plan.Request, r.plan.ShardMap, r.plan.MaxAttempts = r.request.ID, evenShardMap(services), r.route.MaxAttempts
	r.plan.HedgeDelay = hedgeDelay(r.route.TargetLatency, r.gateway.balancer.ExpectedLatency(r.route.Name))
	r.plan.AtMostOnce = r.route.Safety == routing.AtMostOnce
	if r.route.IsQuery() {
		r.planDelegation(services)
	}
	for i, s := range services {
		window := r.gateway.budget(s)
		if r.groupByShard[i] == nil {
			r.depositBudget([]int{i})
		}
		r.plan.ShardBudgets = append(r.plan.ShardBudgets, scatter.ShardBudget{
			Hedges: &hedge.WindowBudget{Window: window, Reserve: retryReserveFraction}, Retries: &hedge.WindowBudget{Window: window},
		})
	}
	deadline, _ := ctx.Deadline()
	r.machine = scatter.NewStateMachine(&r.plan, r, deadline)
}

// hedgeDelay returns the delay before a second attempt, given the target latency and the expected time of an attempt. Unless that
// is shorter than the least delay, a second attempt starts early enough to be part of the partial answer, even if it needs a new
// connection to another region.
func hedgeDelay(target, expected time.Duration) time.Duration {
	delay := min(time.Duration(maxHedgeDelayFraction*float64(target)), hedgeRoundTrip+time.Duration(hedgeDelayFactor*float64(expected)))
	latest := partialAfter(target, 1) - hedgeConnectTime - expected
	earliest := minHedgeRoundTrip + time.Duration(minHedgeDelayFactor*float64(expected))
	return min(delay, max(latest, earliest))
}

// depositBudget credits the budgets with the first sub-requests that this daemon itself sends for the shards.
func (r *run) depositBudget(shards []int) {
	for _, i := range shards {
		r.gateway.budget(r.plan.ShardMap.Shards[i].ID).Deposit(1, time.Now())
	}
}

// evenShardMap gives each service an equal part of the key space.
func evenShardMap(services []string) snapshot.ShardMap {
	shards := make([]snapshot.Shard, len(services))
	n := uint64(len(services))
	for i, s := range services {
		shards[i] = snapshot.Shard{
			ID: s, Low: uint64(i) * snapshot.KeySpace / n, High: uint64(i+1) * snapshot.KeySpace / n,
		}
	}
	return snapshot.ShardMap{Shards: shards}
}

// serve answers the request.
func (r *run) serve(ctx context.Context) Reply {
	if r.route.IsQuery() {
		return r.serveQuery(ctx)
	}
	return r.serveSingle(ctx)
}

// serveQuery answers a query over shards. A delegated query has no minimum coverage: the delegating daemon applies it.
func (r *run) serveQuery(ctx context.Context) Reply {
	route := r.route
	now := time.Now()
	shardCount := float64(len(route.Shards))
	if r.request.DelegatedBy == "" && !r.passesOn {
		if available := r.gateway.balancer.CountAvailable(route.Shards, r.regions, now); !scatter.CoverageReached(
			float64(available)/shardCount, route.RequiredCoverage) {
			return errorReply(api.Overloaded, r.retryAfterRefusal(route.Shards, route.RequiredCoverage, now),
				fmt.Sprintf("%d of %d shards have a replica with room", available, len(route.Shards)))
		}
	}
	if !r.passesOn && r.decidesAdmission(now) {
		if refusal, ok := r.admit(now); !ok {
			return refusal
		}
		defer func() { r.recordForThrottle(ctx, time.Now()) }()
	}
	if r.request.DelegatedBy != "" {
		services := make([]string, len(r.request.Shards))
		for k, i := range r.request.Shards {
			services[k] = route.Shards[i]
		}
		r.runPlan(ctx, services)
		if r.gate.Close() {
			return errorReply(api.BackendRefused, r.retryAfterRefusal(services, route.RequiredCoverage, time.Now()), r.missingReasons())
		}
		return Reply{Query: r.mergedAnswer()}
	}
	r.plan.MinReachableCoverage = route.RequiredCoverage
	r.plan.MinPartialCoverage = route.RequiredCoverage
	r.runPlan(ctx, route.Shards)
	if r.wasNotPassedOn() {
		return r.isolatedReply()
	}
	if r.included == 0 || !scatter.CoverageReached(float64(r.included)/shardCount, route.RequiredCoverage) {
		return r.failureReply(ctx, fmt.Sprintf("%d of %d shards answered: %s", r.included, len(route.Shards), r.missingReasons()))
	}
	return Reply{Query: r.mergedAnswer()}
}

// partialAfter returns the time from the receipt of a query by the first daemon until its partial answer, at least half
// of the target latency. In the first daemon, depth is 1 if part of the query is delegated and 0 otherwise. In a helper,
// depth is the number of delegations so far, and the helper sends its first part at this time at the latest.
func partialAfter(target time.Duration, depth int) time.Duration {
	reserve := max(minPartialReserve, time.Duration(partialReserveFraction*float64(target)))
	return max(target/2, target-reserve-time.Duration(depth)*delegationReserve)
}

// runPlan executes the plan over the services.
func (r *run) runPlan(ctx context.Context, services []string) {
	r.prepare(ctx, services)
	if r.request.DelegatedBy == "" {
		partialTime := partialAfter(r.route.TargetLatency, min(1, len(r.groups)))
		r.plan.PartialAfter = max(1, partialTime-time.Since(r.request.Received))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, sg := range r.groups {
		go sg.delegate(ctx)
	}
	scatter.Drive(ctx, r.machine, r.sendAttempt)
	r.finished.Store(true)
}

// addPart adds a part to the answer. It is called for each shard of the part; only the first call counts.
func (r *run) addPart(p *part) {
	if p.counted {
		return
	}
	p.counted = true
	r.parts = append(r.parts, p)
	r.included += len(p.Shards)
	if r.request.parts != nil {
		r.request.parts(p)
	}
}

// mergedAnswer returns the answer of all parts. A part with several shards counts completely if one of its shards
// counted in time.
func (r *run) mergedAnswer() *QueryAnswer {
	answer := &QueryAnswer{MissingShards: len(r.plan.ShardMap.Shards) - r.included}
	records := make([][]byte, 0, len(r.parts))
	for _, p := range r.parts {
		answer.Signatures = append(answer.Signatures, p.Signatures...)
		records = append(records, p.Records)
	}
	answer.Records = coverage.TopRecords(records, r.route.MaxRecords)
	return answer
}

// serveSingle forwards a request to one replica of the route's service.
func (r *run) serveSingle(ctx context.Context) Reply {
	service := r.request.DelegatedService
	if service == "" {
		service = r.route.SelectService(r.gateway.random())
	}
	if reply, ok := r.relaySingle(ctx, service); ok {
		return reply
	}
	if r.passesOn {
		return r.isolatedReply()
	}
	if r.gateway.balancer.CountAvailable([]string{service}, r.regions, time.Now()) == 0 {
		return errorReply(api.NoReplica, r.retryAfterRefusal([]string{service}, 1, time.Now()), fmt.Sprintf("service %q has no replica with room", service))
	}
	r.prepare(ctx, []string{service})
	scatter.Drive(ctx, r.machine, r.sendAttempt)
	if answer := r.answers[0]; answer != nil {
		return Reply{Answer: answer}
	}
	r.mu.Lock()
	errorAnswer := r.errorAnswer
	r.mu.Unlock()
	if errorAnswer != nil {
		return Reply{Answer: errorAnswer}
	}
	return r.failureReply(ctx, r.missingReasons())
}

// failureReply returns the error for a request without a usable answer.
func (r *run) failureReply(ctx context.Context, message string) Reply {
	switch {
	case r.gate.Close():
		return errorReply(api.BackendRefused, max(r.retryAfterMissing(), r.maxRetryAfter()), message)
	case deadlinePassed(ctx):
		return Reply{Err: api.Errorf(api.DeadlineExceeded, "%s", message)}
	case r.route.Safety == routing.AtMostOnce:
		return Reply{Err: api.Errorf(api.OutcomeUnknown, "%s", message)}
	case r.route.IsQuery():
		return Reply{Err: api.Errorf(api.CoverageTooLow, "%s", message)}
	default:
		return Reply{Err: api.Errorf(api.ReplicasFailed, "%s", message)}
	}
}

// deadlinePassed reports whether the deadline of ctx has passed. The state machine uses its own clock and may see the
// deadline before ctx ends.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// missingReasons counts the shards without an answer by reason.
func (r *run) missingReasons() string {
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
	replicas := r.gateway.balancer
	start := time.Now()
	sg := r.groupByShard[r.shardIndexes[shard]]
	isDelegated := sg != nil && !sg.mustSendItself()
	if r.passesOn && !isDelegated {
		return scatter.Target{}, false
	}
	if isDelegated {
		if len(exclude) > 0 {
			// The helper makes all attempts for the shard.
			return scatter.Target{}, false
		}
		done := func(elapsed time.Duration, err error) {
			if err != nil {
				r.failedAttempts = append(r.failedAttempts, failedAttempt{shard, sg.Address, outcomeForError(err), err, elapsed})
			}
		}
		return scatter.Target{ID: sg.Address, Done: done}, true
	}
	choice, ok := replicas.Pick(shard, r.requestClass(), exclude, start)
	if !ok {
		return scatter.Target{}, false
	}
	r.recordChoice(choice)
	if choice.HasRequestLimit {
		r.gateway.metrics.recordLimitedAttempt(len(exclude) > 0)
	}
	done := func(elapsed time.Duration, err error) { r.recordAttempt(choice, shard, start, elapsed, err) }
	return scatter.Target{ID: choice.ID, Done: done}, true
}

// sendAttempt implements scatter.SendFunc. After a panic it reports that the replica may have executed the request.
func (r *run) sendAttempt(ctx context.Context, a scatter.Action) (accept func(), err error) {
	defer func() {
		if p := recover(); p != nil {
			accept, err = nil, &backend.Error{Failure: backend.ConnectionLost,
				Cause: r.gateway.recordPanic(p, panicInAttempt, r.request.ID)}
		}
	}()
	// The helper may have refused before the first attempt was picked, which is then one at a replica.
	if sg := r.groupByShard[a.Shard]; sg != nil && a.Replica == sg.Address {
		p, err := sg.waitForPart(ctx, a.Shard)
		return func() { r.addPart(p) }, err
	}
	choice, ok := r.gateway.balancer.Lookup(a.Replica)
	if !ok {
		return nil, &backend.Error{Failure: backend.NotSent, Cause: errNotListed}
	}
	if err := r.quarantineRun.Wait(ctx); err != nil {
		return nil, &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	defer r.quarantineRun.AttemptEnded()
	deadline, _ := ctx.Deadline()
	begin, dispatched := time.Now(), false
	service := r.plan.ShardMap.Shards[a.Shard].ID
	limits := AnswerLimits{TimeLeft: time.Until(deadline), MaxBodyBytes: maxAnswerBytes}
	if r.route.IsQuery() {
		limits.MaxBodyBytes, limits.IsPart = maxPartBytes, true
	}
	sendCtx, release := r.attemptContext(ctx, choice.ID)
	defer release()
	answer, err := r.gateway.sender.Send(sendCtx, choice, r.request, limits, func() bool {
		if ctx.Err() != nil {
			return false
		}
		switch {
		case dispatched:
			return !r.gate.IsClosed()
		case r.gate.Begin():
			dispatched = true
		}
		return dispatched
	})
	if _, left := r.gate.CallerLeft(); left && err != nil && !dispatched {
		r.recordWithheld(a, begin)
		return nil, &backend.Error{Failure: backend.NotSent, Cause: errCallerLeft}
	}
	if ctx.Err() != nil && err != nil && backend.FailureOf(err) != backend.NotSent {
		// What happens to an attempt after its answer is no longer needed says nothing about the request.
		err = &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
	}
	r.gateway.recordResponse(err)
	if dispatched {
		r.recordExchangedBytes(service, choice.ID, answer)
	}
	if err == nil && ctx.Err() != nil {
		// The attempt was only continued to keep its connection for later requests.
		return nil, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
	}
	if err == nil && r.route.IsQuery() {
		err = r.checkPart(service, choice.ID, &answer)
	}
	switch {
	case err == nil:
		// A replica that fails the request may have done so before it came to what crashes others.
		r.quarantineRun.Answered(service)
	case backend.IsConnectionLost(err):
		r.quarantineRun.ConnectionLost(service, choice.ID, time.Now())
	}
	if err != nil {
		r.recordFailure(answer, err, dispatched)
		return nil, err
	}
	if r.route.IsQuery() && len(answer.Body) > earlyTruncateBytes {
		answer.Body = coverage.TopRecords([][]byte{answer.Body}, r.route.MaxRecords)
	}
	return func() {
		r.answers[a.Shard] = &answer
		if r.route.IsQuery() {
			r.addPart(&part{PartialAnswer: delegation.PartialAnswer{
				Shards: []int{a.Shard}, Signatures: []string{answer.Signature}, Records: answer.Body,
			}})
		}
	}, nil
}

// attemptContext returns the context in which an attempt at a replica is sent. An attempt at a shard of a query whose
// answer is no longer needed ends attemptLinger later, so that its connection can be reused: cancelling it would close the
// connection, and the next second attempt at this replica would again be too late because it has to open one. If other requests
// wait at the replica, the attempt ends at once, so that it takes no slot from them.
func (r *run) attemptContext(ctx context.Context, replica string) (context.Context, context.CancelFunc) {
	if !r.route.IsQuery() {
		return ctx, func() {}
	}
	attemptCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if r.gateway.balancer.HasWaiting(replica, time.Now()) {
			cancel()
			return
		}
		time.AfterFunc(attemptLinger, cancel)
	})
	return attemptCtx, func() {
		stop()
		cancel()
	}
}

var errCallerLeft = errors.New("the caller left before the request was sent")

var errNotListed = errors.New("the replica is no longer in the replica list")

func (r *run) recordFailure(answer Answer, err error, dispatched bool) {
	var backendErr *backend.Error
	if errors.As(err, &backendErr) && !backendErr.MayHaveExecuted() {
		if dispatched {
			r.gate.NotExecuted()
		}
		return
	}
	if answer.Status != 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errorAnswer = &answer
	}
}

// outcomeForError maps the error of an attempt to the outcome that the balancer records for the replica.
func outcomeForError(err error) balancer.Outcome {
	var backendErr *backend.Error
	switch {
	case err == nil:
		return balancer.Answered
	case errors.As(err, &backendErr):
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
	if errors.Is(backendErr, errCallerLeft) {
		return balancer.Abandoned
	}
	switch backendErr.Failure {
	case backend.NotSent, backend.ConnectionLost, backend.TooLarge:
		// A replica that sends an endless response costs each further attempt at least as much as a broken connection.
		return balancer.ConnectionFailed
	case backend.Refused:
		if backendErr.Refusal.Reason == backend.RefusedMisdirected {
			return balancer.ReplicaRemoved
		}
		return balancer.Refused
	case backend.TimedOut:
		return balancer.Abandoned
	default:
		return balancer.Failed
	}
}
