package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/coverage"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

const (
	// maxDelegatedPerCore limits the delegated queries in flight per core of the CPU share. A query over tens of shards
	// takes about 5 ms of a core, so this many are answered within 0.2 s.
	maxDelegatedPerCore = 40
	// minDelegatedLimit is the limit for a daemon with a small CPU share or an unspecified one.
	minDelegatedLimit = 8
)

// partCollector sends the parts of a query's answer to the daemon that delegated it. It is safe for concurrent use.
type partCollector struct {
	top int
	// isSaturated reports whether a shard is saturated; nil for a request to a single replica.
	isSaturated func() bool
	send        func(delegation.PartialAnswer)

	mu      sync.Mutex
	pending []*part
	flushed bool
}

// add sends a part, or buffers it until the first flush.
func (c *partCollector) add(p *part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, p)
	if c.flushed {
		c.sendPending(delegation.PartialAnswer{})
	}
}

// flush sends the buffered parts; later parts are sent as they arrive.
func (c *partCollector) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.flushed {
		c.flushed = true
		c.sendPending(delegation.PartialAnswer{})
	}
}

// finish sends the last part; err is the error of this daemon, or nil, and isIsolated whether it reaches no replica. Nothing is sent
// afterwards.
func (c *partCollector) finish(err *api.Error, isIsolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushed = true
	last := delegation.PartialAnswer{Last: true, Isolated: isIsolated}
	if err != nil && err.Kind.Outcome().Run == api.RunNever {
		last.NotExecuted, last.RetryAfter = true, err.RetryAfter
	}
	c.sendPending(last)
	c.send = func(delegation.PartialAnswer) {}
}

// finishSingle sends the answer to a request to a single replica, and whether this daemon has none because it reaches no replica.
// Nothing is sent afterwards.
func (c *partCollector) finishSingle(answer *delegation.ReplicaAnswer, isIsolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushed = true
	c.send(delegation.PartialAnswer{Last: true, ReplicaAnswer: answer, Isolated: isIsolated})
	c.send = func(delegation.PartialAnswer) {}
}

// sendPending merges the pending parts into one and sends it. The caller holds the lock.
func (c *partCollector) sendPending(merged delegation.PartialAnswer) {
	var records [][]byte
	for _, p := range c.pending {
		merged.Shards = append(merged.Shards, p.Shards...)
		merged.Signatures = append(merged.Signatures, p.Signatures...)
		records = append(records, p.Records)
	}
	merged.Records = coverage.TopRecords(records, c.top)
	merged.Saturated = c.isSaturated != nil && c.isSaturated()
	c.pending = nil
	c.send(merged)
}

// Answer implements delegation.Server: it answers shards of a query, or a request to a single replica, for another
// daemon. It rejects requests made under another configuration version, so that the version behind one daemon's answers
// never decreases.
func (g *Gateway) Answer(ctx context.Context, q delegation.Query, send func(delegation.PartialAnswer)) error {
	limit := max(minDelegatedLimit, int64(maxDelegatedPerCore*g.opts.Self.Cores))
	defer g.delegatedInFlight.Add(-1)
	view, _ := g.directory.View()
	switch n := g.delegatedInFlight.Add(1); {
	case g.isIsolated():
		return delegation.ErrIsolated
	case !g.Ready(), g.rejectDelegated.Load():
		return eris.Wrap(delegation.ErrNotAccepted, "not ready or stopping")
	case view.Table.Version() != q.Version:
		return eris.Wrapf(delegation.ErrNotAccepted, "version %d is in force, not %d", view.Table.Version(), q.Version)
	case n > limit:
		return eris.Wrapf(delegation.ErrNotAccepted, "%d queries of other daemons in flight", limit)
	}
	path := routing.PathOf(q.Target)
	route := view.Table.Match(q.Host, path)
	if route == nil || route != view.Table.Match(q.Host, q.Path) {
		// A daemon of an earlier version matches the decoded path, and may take the request for that of another route.
		return eris.Wrapf(delegation.ErrNotAccepted, "no route for host %q and path %q, or another one than that of %q", q.Host, path, q.Path)
	}
	if accounts := view.Table.Accounts(); accounts != nil && !route.Public {
		if _, ok := accounts.Find(q.Account); !ok {
			return eris.Wrapf(delegation.ErrNotAccepted, "no account %q in version %d", q.Account, q.Version)
		}
	}
	request := &Request{
		ID: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Path: path, Header: q.Header, Body: q.Body,
		Received: time.Now().Add(-q.Elapsed), CallerTimeout: q.CallerTimeout, DelegatedBy: q.From, DelegationDepth: q.Depth,
		Account: q.Account,
	}
	if route.IsQuery() {
		return g.answerShards(ctx, q.Shards, route, request, view, send)
	}
	return g.answerSingle(ctx, q.Service, route, request, view, send)
}

// answerShards answers shards of a query.
func (g *Gateway) answerShards(ctx context.Context, shards []int, route *routing.Route, request *Request, view topology.View,
	send func(delegation.PartialAnswer)) error {
	requested := make(map[int]bool, len(shards))
	for _, i := range shards {
		if i < 0 || i >= len(route.Shards) || requested[i] {
			return eris.Wrapf(delegation.ErrNotAccepted, "shards %v of %d", shards, len(route.Shards))
		}
		requested[i] = true
	}
	if len(shards) == 0 {
		return eris.Wrap(delegation.ErrNotAccepted, "no shards")
	}
	request.Shards = shards
	isSaturated := func() bool {
		return slices.ContainsFunc(shards, func(i int) bool { return g.balancer.Saturated(route.Shards[i], time.Now()) })
	}
	collector := &partCollector{top: route.MaxRecords, isSaturated: isSaturated, send: send}
	// The delegating daemon needs the available parts before it ends the query.
	timer := time.AfterFunc(time.Until(request.Received.Add(partialAfter(route.TargetLatency, request.DelegationDepth))), collector.flush)
	defer timer.Stop()
	request.parts = func(p *part) {
		indices := make([]int, len(p.Shards))
		for k, i := range p.Shards {
			indices[k] = shards[i]
		}
		collector.add(&part{PartialAnswer: delegation.PartialAnswer{Shards: indices, Signatures: p.Signatures, Records: p.Records}})
	}
	reply := g.serveWithView(ctx, request, view)
	collector.finish(reply.Err, g.isIsolated())
	return nil
}

// answerSingle answers a request to a single replica. A first part without an answer tells the delegating daemon that a
// slow request is still in progress.
func (g *Gateway) answerSingle(ctx context.Context, service string, route *routing.Route, request *Request, view topology.View,
	send func(delegation.PartialAnswer)) error {
	if !slices.Contains(route.Services(), service) {
		return eris.Wrapf(delegation.ErrNotAccepted, "route %q has no service %q", route.Name, service)
	}
	request.DelegatedService = service
	collector := &partCollector{send: send}
	timer := time.AfterFunc(time.Until(request.Received.Add(partialAfter(route.TargetLatency, request.DelegationDepth))), collector.flush)
	defer timer.Stop()
	reply := g.serveWithView(ctx, request, view)
	single := &delegation.ReplicaAnswer{}
	if answer := reply.Answer; answer != nil {
		single.Status, single.Header, single.Body, single.Signature = answer.Status, answer.Header, answer.Body, answer.Signature
	} else {
		single.Error, single.Message, single.RetryAfter = reply.Err.Kind, reply.Err.Message, reply.Err.RetryAfter
	}
	collector.finishSingle(single, reply.Answer == nil && g.isIsolated())
	return nil
}
