package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/coverage"
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
	// delegatedPerCore bounds the queries of other daemons in flight, per core of the processor share. A query of tens of
	// shards takes about 5 ms of a core, so that many are answered within 0.2 s.
	delegatedPerCore = 40
	// leastDelegated is the bound of a daemon with a small share, or with none stated.
	leastDelegated = 8
)

// Delegates passes queries to other daemons. Implementations are safe for concurrent use.
type Delegates interface {
	// Ask passes shards of a query to the daemon at the address and calls receive with each part of the answer. It takes
	// the query back unless the daemon asks for it within takenIn. An error that wraps delegation.ErrNotTaken states that
	// no replica got anything.
	Ask(ctx context.Context, address string, q delegation.Query, takenIn time.Duration, receive func(delegation.Part)) error
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
	shards := make([]int, len(o.Shards))
	for k, i := range o.Shards {
		shards[k] = r.routeIndex(i)
	}
	query := delegation.Query{
		ID: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Path: q.Path, Header: q.Header, Body: q.Body,
		Version: r.view.Table.Version(), Shards: shards, Elapsed: time.Since(q.Received) + hop(o.Distance), Wait: q.Wait,
		From: g.opts.Node, Depth: q.Depth + 1,
	}
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
	takenIn := min(mostTaken, max(leastTaken, time.Duration(takenFraction*target)))
	err := g.opts.Delegates.Ask(exchange, o.Address, query, takenIn, func(p delegation.Part) { o.receive(p) })
	o.end(ctx, err)
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

func (o *group) isNotTaken() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.notTaken
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
	o.first, o.notRun = true, p.NotRun
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
	outcome := delegation.Answered
	switch {
	case err == nil:
	case o.run.over.Load(), ctx.Err() != nil:
		outcome = delegation.Abandoned
	case errors.Is(err, delegation.ErrNotTaken):
		outcome = delegation.Refused
		if time.Since(o.begin) >= leastTaken {
			outcome = delegation.Silent
		}
	default:
		outcome = delegation.Silent
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
	event := eventlog.ShardsNotTaken
	switch {
	case paused:
		event = eventlog.HelperPaused
	case recovered:
		event = eventlog.HelperRecovered
	case outcome == delegation.Silent:
		event = eventlog.HelperSilent
	case outcome == delegation.Answered || outcome == delegation.Abandoned:
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

// collector sends the parts of a query to the daemon that passed it on. It is safe for concurrent use.
type collector struct {
	top  int
	send func(delegation.Part)

	mu      sync.Mutex
	pending []*part
	flushed bool
}

// take sends a part, or keeps it until the first flush.
func (c *collector) take(p *part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, p)
	if c.flushed {
		c.write(false, false)
	}
}

// flush sends what there is, and from then on each part as it comes.
func (c *collector) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.flushed {
		c.flushed = true
		c.write(false, false)
	}
}

// end sends the last part. Nothing is sent afterwards.
func (c *collector) end(notRun bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushed = true
	c.write(true, notRun)
	c.send = func(delegation.Part) {}
}

// write merges the pending parts into one. The caller holds the lock.
func (c *collector) write(last, notRun bool) {
	merged := delegation.Part{Last: last, NotRun: notRun}
	var records [][]byte
	for _, p := range c.pending {
		merged.Shards = append(merged.Shards, p.Shards...)
		merged.Signatures = append(merged.Signatures, p.Signatures...)
		records = append(records, p.Records)
	}
	merged.Records = coverage.Top(records, c.top)
	c.pending = nil
	c.send(merged)
}

// Answer implements delegation.Server: it answers shards of a query that another daemon passes on. A query that is bound
// to another version of the configuration is not taken, so that the answers of one daemon never go back to an older one.
func (g *Gateway) Answer(ctx context.Context, q delegation.Query, send func(delegation.Part)) error {
	limit := max(leastDelegated, int64(delegatedPerCore*g.opts.Self.Cores))
	defer g.delegated.Add(-1)
	view, _ := g.dir.View()
	switch n := g.delegated.Add(1); {
	case !g.Ready(), g.leaving.Load():
		return eris.Wrap(delegation.ErrNotTaken, "not ready or stopping")
	case view.Table.Version() != q.Version:
		return eris.Wrapf(delegation.ErrNotTaken, "version %d is in force, not %d", view.Table.Version(), q.Version)
	case n > limit:
		return eris.Wrapf(delegation.ErrNotTaken, "%d queries of other daemons in flight", limit)
	}
	route := view.Table.Match(q.Host, q.Path)
	if route == nil || !route.IsQuery() {
		return eris.Wrapf(delegation.ErrNotTaken, "host %q and path %q are no query", q.Host, q.Path)
	}
	asked := make(map[int]bool, len(q.Shards))
	for _, i := range q.Shards {
		if i < 0 || i >= len(route.Shards) || asked[i] {
			return eris.Wrapf(delegation.ErrNotTaken, "shards %v of %d", q.Shards, len(route.Shards))
		}
		asked[i] = true
	}
	if len(q.Shards) == 0 {
		return eris.Wrap(delegation.ErrNotTaken, "no shards")
	}
	request := &Request{
		ID: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Path: q.Path, Header: q.Header, Body: q.Body,
		Received: time.Now().Add(-q.Elapsed), Wait: q.Wait, From: q.From, Depth: q.Depth, Shards: q.Shards,
	}
	out := &collector{top: route.Top, send: send}
	// The daemon that asks needs what there is before it ends the query.
	timer := time.AfterFunc(time.Until(request.Received.Add(partialAfter(route.Target, q.Depth))), out.flush)
	defer timer.Stop()
	request.parts = func(p *part) {
		indices := make([]int, len(p.Shards))
		for k, i := range p.Shards {
			indices[k] = q.Shards[i]
		}
		out.take(&part{Part: delegation.Part{Shards: indices, Signatures: p.Signatures, Records: p.Records}})
	}
	reply := g.serveIn(ctx, request, view)
	out.end(reply.Err != nil && reply.Err.Kind.Outcome().Run == api.RunNever)
	return nil
}
