package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/eventlog"
)

const (
	// acceptTimeoutFraction of the target latency is how long a helper has to accept a query, bounded by
	// minAcceptTimeout and maxAcceptTimeout. The remaining time suffices for this daemon to answer the query itself.
	// The minimum covers opening a connection between data centres and the CPU quota of a busy VM.
	acceptTimeoutFraction = 0.25
	minAcceptTimeout      = 30 * time.Millisecond
	maxAcceptTimeout      = 75 * time.Millisecond
	// firstPartTimeoutFraction of the target latency is when a helper that has sent no part is considered lost.
	firstPartTimeoutFraction = 1.1
	// roundTripSameDataCentre, roundTripSameRegion and roundTripOtherRegion are the assumed round-trip times to a
	// helper.
	roundTripSameDataCentre = 2 * time.Millisecond
	roundTripSameRegion     = 10 * time.Millisecond
	roundTripOtherRegion    = 28 * time.Millisecond
)

// DelegationClient sends queries to other daemons. Implementations are safe for concurrent use.
type DelegationClient interface {
	// Delegate sends shards of a query to the daemon at the address and calls receive with each part of the answer. It
	// withdraws the query unless the daemon accepts it within acceptTimeout. An error that wraps delegation.ErrNotAccepted
	// states that nothing was sent to a replica.
	Delegate(ctx context.Context, address string, q delegation.Query, acceptTimeout time.Duration,
		receive func(delegation.PartialAnswer)) error
}

// acceptTimeout returns how long a helper has to accept a request of a route with the target latency.
func acceptTimeout(target time.Duration) time.Duration {
	return min(maxAcceptTimeout, max(minAcceptTimeout, time.Duration(acceptTimeoutFraction*float64(target))))
}

func assumedRoundTrip(distance balancer.Distance) time.Duration {
	switch distance {
	case balancer.SameDataCentre:
		return roundTripSameDataCentre
	case balancer.SameRegion:
		return roundTripSameRegion
	default:
		return roundTripOtherRegion
	}
}

// shardGroup is a set of the run's shards that is delegated to one helper. The state machine sees one attempt per
// shard, which ends with the part that contains the shard. No other attempt for the shard is made unless the helper did
// not accept the group.
type shardGroup struct {
	delegation.Group
	run   *run
	start time.Time

	mu sync.Mutex
	// parts holds the part that contains a shard, by the shard's index. changed is closed and replaced at each change.
	parts   map[int]*part
	changed chan struct{}
	// firstPartReceived is set once a part arrived; ended once no more parts can arrive, for the reason err.
	// notAccepted is set if the helper did not accept the shards, notExecuted if no replica executed anything on the
	// helper's behalf.
	firstPartReceived, ended, notAccepted, notExecuted bool
	err                                                error
	// handedBack is set if the helper has lost all replicas meanwhile, so that this daemon sends the remaining shards itself.
	handedBack bool
	// acceptedBy is the helper that accepted the shards, after others had refused them.
	acceptedBy string
	// retryAfter is the Retry-After that the helper sent with notExecuted. saturated is set once the helper reported a
	// saturated shard.
	retryAfter time.Duration
	saturated  bool
}

// part is a part of an answer, for one or more shards.
type part struct {
	delegation.PartialAnswer
	// counted is set once the part is in the answer. Only the goroutine that drives the state machine accesses it.
	counted bool
}

// planDelegation divides the services between helpers and this daemon.
func (r *run) planDelegation(services []string) {
	g := r.gateway
	if g.opts.DelegationClient == nil {
		return
	}
	plannedGroups := r.planGroups(services)
	if len(plannedGroups) == 0 {
		return
	}
	r.groupByShard, r.shardIndexes = make(map[int]*shardGroup), make(map[string]int, len(services))
	for i, s := range services {
		r.shardIndexes[s] = i
	}
	for _, planned := range plannedGroups {
		sg := &shardGroup{Group: planned, run: r, start: time.Now(), parts: make(map[int]*part), changed: make(chan struct{})}
		r.groups = append(r.groups, sg)
		for _, i := range planned.Shards {
			r.groupByShard[i] = sg
		}
	}
	// The helper makes all attempts for its shards.
	r.plan.HedgeAllowed = func(shard int) bool { return r.groupByShard[shard] == nil || r.groupByShard[shard].mustSendItself() }
}

// sentByThisDaemon returns the number of sub-requests that this daemon sent to replicas: the state machine counts one
// attempt for each delegated shard.
func (r *run) sentByThisDaemon() int {
	sent, _, _ := r.machine.Counts()
	return sent - len(r.groupByShard)
}

// delegate sends the group to its helper and returns when the exchange has ended. The end of ctx cancels it.
func (sg *shardGroup) delegate(ctx context.Context) {
	run := sg.run
	gateway, request := run.gateway, run.request
	defer func() {
		if p := recover(); p != nil {
			sg.finish(gateway.recordPanic(p, panicInDelegation, request.ID), sg.Helper)
		}
	}()
	shards := make([]int, len(sg.Shards))
	for k, i := range sg.Shards {
		shards[k] = run.routeIndex(i)
	}
	if !run.gate.Begin() {
		gateway.helpers.RecordOutcome(sg.Address, delegation.Abandoned, sg.start, time.Now())
		return
	}
	exchangeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	firstPartTimer := time.AfterFunc(time.Until(run.firstPartDeadline()), func() {
		if !sg.hasFirstPart() {
			cancel()
		}
	})
	defer firstPartTimer.Stop()
	helper, err := run.exchange(ctx, sg.Helper, zap.Int("shards", len(shards)), func(helper delegation.Helper) error {
		query := run.delegatedQuery(helper)
		query.Shards = shards
		run.recordHelperRequest(helper, egressDelegated)
		err := gateway.opts.DelegationClient.Delegate(exchangeCtx, helper.Address, query, acceptTimeout(run.route.TargetLatency),
			func(p delegation.PartialAnswer) {
				run.recordHelperAnswer(helper, egressDelegated, len(p.Records))
				sg.addPart(p)
			})
		if err == nil && sg.isHandedBack() {
			return errHandedBack
		}
		return err
	})
	sg.finish(err, helper)
}

// errHandedBack means that a helper accepted a request and then lost all replicas. They may have executed some of it.
var errHandedBack = errors.New("the helper has lost all replicas meanwhile")

// exchange calls ask for the helper, and for others while this daemon cannot serve the request itself and none has accepted it. It
// reports each exchange to the helper pool, the metrics and the log, where subject describes what was delegated, and returns the last
// helper and its result.
func (r *run) exchange(ctx context.Context, helper delegation.Helper, subject zap.Field, ask func(delegation.Helper) error) (delegation.Helper, error) {
	tried := []string{helper.Address}
	for {
		begin := time.Now()
		err := ask(helper)
		r.recordExchange(ctx, helper, begin, subject, err)
		next, ok := r.nextHelper(ctx, tried, err)
		if !ok {
			return helper, err
		}
		helper, tried = next, append(tried, next.Address)
	}
}

// firstPartDeadline returns the time at which a helper that has sent no part is considered lost.
func (r *run) firstPartDeadline() time.Time {
	return r.request.Received.Add(time.Duration(firstPartTimeoutFraction * float64(r.route.TargetLatency)))
}

// delegatedQuery returns the request in the form that the helper receives.
func (r *run) delegatedQuery(helper delegation.Helper) delegation.Query {
	request := r.request
	return delegation.Query{
		ID: request.ID, Method: request.Method, Host: request.Host, Target: request.Target, Path: request.Path, Header: request.Header, Body: request.Body,
		Version: r.view.Table.Version(), Elapsed: time.Since(request.Received) + assumedRoundTrip(helper.Distance), CallerTimeout: request.CallerTimeout,
		From: r.gateway.opts.Node, Depth: request.DelegationDepth + 1, Account: request.Account,
	}
}

// routeIndex converts the index of a shard in the plan to its index in the route.
func (r *run) routeIndex(shard int) int {
	if r.request.Shards == nil {
		return shard
	}
	return r.request.Shards[shard]
}

// maxRetryAfter returns the longest Retry-After that a helper sent.
func (r *run) maxRetryAfter() (retryAfter time.Duration) {
	for _, sg := range r.groups {
		sg.mu.Lock()
		retryAfter = max(retryAfter, sg.retryAfter)
		sg.mu.Unlock()
	}
	return retryAfter
}

// wasNotAccepted reports whether no helper accepted the group, so that nothing of it was executed.
func (sg *shardGroup) wasNotAccepted() bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.notAccepted
}

// mustSendItself reports whether this daemon has to send the sub-requests of the group's remaining shards itself.
func (sg *shardGroup) mustSendItself() bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.notAccepted || sg.handedBack
}

func (sg *shardGroup) isHandedBack() bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.handedBack
}

// lastHelper returns the address of the helper that accepted the shards, or of the first one that was asked.
func (sg *shardGroup) lastHelper() string {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return cmp.Or(sg.acceptedBy, sg.Address)
}

func (sg *shardGroup) isSaturated() bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.saturated
}

func (sg *shardGroup) hasFirstPart() bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.firstPartReceived
}

// addPart stores a part. The records of a part are discarded if it has a shard that was not requested or was already
// received, or if its numbers of signatures and shards differ; its other fields still count.
func (sg *shardGroup) addPart(p delegation.PartialAnswer) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	sg.firstPartReceived, sg.notExecuted, sg.retryAfter, sg.handedBack = true, p.NotExecuted, p.RetryAfter, p.Isolated
	if p.Saturated {
		sg.saturated = true
		sg.run.gateway.helperSaturatedAt.Store(sg.run.route.Name, time.Now())
	}
	received := &part{PartialAnswer: delegation.PartialAnswer{Signatures: p.Signatures, Records: p.Records}}
	for _, index := range p.Shards {
		for _, i := range sg.Shards {
			if sg.run.routeIndex(i) == index && sg.parts[i] == nil && !slices.Contains(received.Shards, i) {
				received.Shards = append(received.Shards, i)
			}
		}
	}
	if len(received.Shards) != len(p.Shards) || len(p.Shards) != len(p.Signatures) {
		sg.run.gateway.log.Warn(eventlog.HelperPartUnusable, zap.String("request", sg.run.request.ID), zap.String("helper", sg.Address),
			zap.Ints("shards", p.Shards), zap.Int("signatures", len(p.Signatures)))
		return
	}
	for _, i := range received.Shards {
		sg.parts[i] = received
	}
	sg.notifyLocked()
}

// notifyLocked wakes the attempts that wait for the group. The caller holds the lock.
func (sg *shardGroup) notifyLocked() {
	close(sg.changed)
	sg.changed = make(chan struct{})
}

// recordExchange reports the end of an exchange with a helper that began at begin. If the request has been answered otherwise or its
// caller has left, the outcome does not count for or against the helper.
func (r *run) recordExchange(ctx context.Context, helper delegation.Helper, begin time.Time, subject zap.Field, err error) {
	g := r.gateway
	outcome := exchangeOutcome(ctx, err, time.Since(begin))
	if err != nil && r.finished.Load() {
		outcome = delegation.Abandoned
	}
	paused, recovered := g.helpers.RecordOutcome(helper.Address, outcome, begin, time.Now())
	g.metrics.delegated.Add(context.Background(), 1, g.metrics.label("outcome", outcome.String()))
	if event := helperEvent(paused, recovered, outcome); event != "" {
		g.log.Info(event, zap.String("request", r.request.ID), zap.String("helper", helper.Address),
			zap.String("outcome", outcome.String()), subject, zap.Duration("took_ms", time.Since(begin)), zap.Error(err))
	}
}

// finish records that no more parts can arrive; helper is the one of the last exchange.
func (sg *shardGroup) finish(err error, helper delegation.Helper) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	sg.ended, sg.err, sg.notAccepted = true, err, errors.Is(err, delegation.ErrNotAccepted)
	if !sg.notAccepted {
		sg.acceptedBy = helper.Address
	}
	if sg.notAccepted || sg.notExecuted {
		sg.run.gate.NotExecuted()
	}
	if sg.notAccepted || sg.handedBack {
		// This daemon now sends the sub-requests itself, so it counts them for the budget.
		sg.run.depositBudget(slices.DeleteFunc(slices.Clone(sg.Shards), func(i int) bool { return sg.parts[i] != nil }))
	}
	sg.notifyLocked()
}

// waitForPart returns the part that contains the shard, or the error that explains why there is none.
func (sg *shardGroup) waitForPart(ctx context.Context, shard int) (*part, error) {
	for {
		sg.mu.Lock()
		received, ended, err, changed := sg.parts[shard], sg.ended, sg.err, sg.changed
		notAccepted, handedBack := sg.notAccepted, sg.handedBack
		sg.mu.Unlock()
		switch {
		case received != nil:
			return received, nil
		case notAccepted:
			return nil, &backend.Error{Failure: backend.NotSent, Cause: err}
		case ended && handedBack:
			return nil, &backend.Error{Failure: backend.NotSent, Cause: errIsolated}
		case ended && err != nil:
			return nil, &backend.Error{Failure: backend.ConnectionLost, Cause: err}
		case ended:
			return nil, &backend.Error{Failure: backend.ServerError, Cause: errShardMissing}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
		}
	}
}

var errShardMissing = errors.New("the helper returned no answer for the shard")
