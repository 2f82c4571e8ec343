package gateway

import (
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
	// takenFraction of the target latency is how long a helper has to ask for a query, within leastTaken and mostTaken:
	// what is left suffices for this daemon to answer it itself. The least covers the opening of a connection between data
	// centres and the processor quota of a busy VM.
	takenFraction = 0.25
	leastTaken    = 30 * time.Millisecond
	mostTaken     = 75 * time.Millisecond
	// silentFraction of the target latency is when a helper without a first part is taken as gone.
	silentFraction = 1.1
	// hopSame, hopRegion and hopFar are the assumed times of a query's way to a helper and back.
	hopSame   = 2 * time.Millisecond
	hopRegion = 10 * time.Millisecond
	hopFar    = 28 * time.Millisecond
)

// Delegates passes queries to other daemons. Implementations are safe for concurrent use.
type Delegates interface {
	// Ask passes shards of a query to the daemon at the address and calls receive with each part of the answer. It takes
	// the query back unless the daemon asks for it within takenIn. An error that wraps delegation.ErrNotTaken states that
	// no replica got anything.
	Ask(ctx context.Context, address string, q delegation.Query, takenIn time.Duration, receive func(delegation.Part)) error
}

// takenIn returns how long a helper has to ask for a request of a route with the target latency.
func takenIn(target time.Duration) time.Duration {
	return min(mostTaken, max(leastTaken, time.Duration(takenFraction*float64(target))))
}

func hop(d balancer.Distance) time.Duration {
	switch d {
	case balancer.SameDataCentre:
		return hopSame
	case balancer.SameRegion:
		return hopRegion
	default:
		return hopFar
	}
}

// group is a set of the run's shards at one helper. The machine sees one attempt per shard, which ends with the part that
// has the shard; no other attempt of the shard is made unless the helper did not take it.
type group struct {
	delegation.Group
	run   *run
	begin time.Time

	mu sync.Mutex
	// parts holds the part that has a shard, by the shard's index. changed is closed at each change.
	parts   map[int]*part
	changed chan struct{}
	// first is set once a part came, ended once none comes any more, for the reason err. notTaken is set if the helper did
	// not take the shards, notRun if no replica executed anything for it.
	first, ended, notTaken, notRun bool
	err                            error
	// retryAfter is the wait that the helper advises with notRun. saturated is set once the helper said so of a shard.
	retryAfter time.Duration
	saturated  bool
}

// part is an answer of one or more shards.
type part struct {
	delegation.Part
	// taken is set once the part counts. The goroutine of the machine's driver owns it.
	taken bool
}

// planGroups divides the services between helpers and this daemon.
func (r *run) planGroups(services []string) {
	g := r.gateway
	if g.opts.Delegates == nil {
		return
	}
	planned := g.helpers.Plan(services, r.request.Depth, time.Now())
	if len(planned) == 0 {
		return
	}
	r.grouped, r.indices = make(map[int]*group), make(map[string]int, len(services))
	for i, s := range services {
		r.indices[s] = i
	}
	for _, set := range planned {
		one := &group{Group: set, run: r, begin: time.Now(), parts: make(map[int]*part), changed: make(chan struct{})}
		r.groups = append(r.groups, one)
		for _, i := range set.Shards {
			r.grouped[i] = one
		}
	}
	// A helper makes all attempts of its shards.
	r.plan.MayHedge = func(shard int) bool { return r.grouped[shard] == nil || r.grouped[shard].isNotTaken() }
}

// sent returns the number of sub-requests that this daemon sent to replicas: the machine counts one attempt for each
// shard that a helper got.
func (r *run) sent() int {
	sent, _, _ := r.machine.Counts()
	return sent - len(r.grouped)
}

// ask passes the group to its helper and returns when that is done. The end of ctx takes the shards back.
func (o *group) ask(ctx context.Context) {
	r := o.run
	g, q := r.gateway, r.request
	defer func() {
		if p := recover(); p != nil {
			o.end(ctx, g.contained(p, inExchange, q.ID))
		}
	}()
	shards := make([]int, len(o.Shards))
	for k, i := range o.Shards {
		shards[k] = r.routeIndex(i)
	}
	query := r.passedOn(o.Helper)
	query.Shards = shards
	if !r.dispatch() {
		g.helpers.Done(o.Address, delegation.Abandoned, o.begin, time.Now())
		return
	}
	target := float64(r.route.Target)
	exchange, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(time.Until(q.Received.Add(time.Duration(silentFraction*target))), func() {
		if !o.hasFirst() {
			cancel()
		}
	})
	defer silent.Stop()
	err := g.opts.Delegates.Ask(exchange, o.Address, query, takenIn(r.route.Target), func(p delegation.Part) { o.receive(p) })
	o.end(ctx, err)
}

// passedOn returns the request as the helper gets it.
func (r *run) passedOn(to delegation.Helper) delegation.Query {
	q := r.request
	return delegation.Query{
		ID: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Path: q.Path, Header: q.Header, Body: q.Body,
		Version: r.view.Table.Version(), Elapsed: time.Since(q.Received) + hop(to.Distance), Wait: q.Wait,
		From: r.gateway.opts.Node, Depth: q.Depth + 1,
	}
}

// dispatch counts something that replicas may execute, and reports whether it may still be sent.
func (r *run) dispatch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.dispatched++
	}
	return !r.closed
}

// countNotRun takes back what was certainly not executed.
func (r *run) countNotRun() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun++
}

// routeIndex returns the index of a shard of the plan in the route's list.
func (r *run) routeIndex(shard int) int {
	if r.request.Shards == nil {
		return shard
	}
	return r.request.Shards[shard]
}

// advisedWait returns the longest wait that a helper advised.
func (r *run) advisedWait() (wait time.Duration) {
	for _, o := range r.groups {
		o.mu.Lock()
		wait = max(wait, o.retryAfter)
		o.mu.Unlock()
	}
	return wait
}

func (o *group) isNotTaken() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.notTaken
}

func (o *group) isSaturated() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.saturated
}

func (o *group) hasFirst() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.first
}

// receive takes a part. Shards that were not asked for, or that came already, make it unusable.
func (o *group) receive(p delegation.Part) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.first, o.notRun, o.retryAfter = true, p.NotRun, p.RetryAfter
	if p.Saturated {
		o.saturated = true
		o.run.gateway.saturatedAt.Store(o.run.route.Name, time.Now())
	}
	received := &part{Part: delegation.Part{Signatures: p.Signatures, Records: p.Records}}
	for _, index := range p.Shards {
		for _, i := range o.Shards {
			if o.run.routeIndex(i) == index && o.parts[i] == nil && !slices.Contains(received.Shards, i) {
				received.Shards = append(received.Shards, i)
			}
		}
	}
	if len(received.Shards) != len(p.Shards) || len(p.Shards) != len(p.Signatures) {
		o.run.gateway.log.Warn(eventlog.PartUnusable, zap.String("request", o.run.request.ID), zap.String("helper", o.Address),
			zap.Ints("shards", p.Shards), zap.Int("signatures", len(p.Signatures)))
		return
	}
	for _, i := range received.Shards {
		o.parts[i] = received
	}
	o.notify()
}

// notify wakes the attempts that wait for the group. The caller holds the lock.
func (o *group) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// end takes the end of the exchange. A query that ended, or whose caller left, says nothing of the helper.
func (o *group) end(ctx context.Context, err error) {
	g := o.run.gateway
	outcome := exchangeOutcome(ctx, err, time.Since(o.begin))
	if err != nil && o.run.over.Load() {
		outcome = delegation.Abandoned
	}
	paused, recovered := g.helpers.Done(o.Address, outcome, o.begin, time.Now())
	g.metrics.delegated.Add(context.Background(), 1, g.metrics.label("outcome", outcome.String()))
	o.log(paused, recovered, outcome, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended, o.err, o.notTaken = true, err, errors.Is(err, delegation.ErrNotTaken)
	if o.notTaken || o.notRun {
		o.run.countNotRun()
	}
	if o.notTaken {
		// This daemon sends the sub-requests itself, so it counts them.
		o.run.earn(o.Shards)
	}
	o.notify()
}

// log reports what the exchange says of the helper.
func (o *group) log(paused, recovered bool, outcome delegation.Outcome, err error) {
	event := helperEvent(paused, recovered, outcome)
	if event == "" {
		return
	}
	o.run.gateway.log.Info(event, zap.String("request", o.run.request.ID), zap.String("helper", o.Address),
		zap.String("outcome", outcome.String()), zap.Int("shards", len(o.Shards)),
		zap.Duration("took_ms", time.Since(o.begin)), zap.Error(err))
}

// wait returns the part that has the shard, or why there is none.
func (o *group) wait(ctx context.Context, shard int) (*part, error) {
	for {
		o.mu.Lock()
		received, ended, err, changed := o.parts[shard], o.ended, o.err, o.changed
		notTaken := o.notTaken
		o.mu.Unlock()
		switch {
		case received != nil:
			return received, nil
		case notTaken:
			return nil, &backend.Error{Failure: backend.NotSent, Cause: err}
		case ended && err != nil:
			return nil, &backend.Error{Failure: backend.ConnectionLost, Cause: err}
		case ended:
			return nil, &backend.Error{Failure: backend.ServerError, Cause: errNoPart}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
		}
	}
}

var errNoPart = errors.New("the helper got no answer of the shard")
