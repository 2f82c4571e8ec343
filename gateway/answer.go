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
	// delegatedPerCore bounds the queries of other daemons in flight, per core of the processor share. A query of tens of
	// shards takes about 5 ms of a core, so that many are answered within 0.2 s.
	delegatedPerCore = 40
	// leastDelegated is the bound of a daemon with a small share, or with none stated.
	leastDelegated = 8
)

// collector sends the parts of a query to the daemon that passed it on. It is safe for concurrent use.
type collector struct {
	top int
	// isSaturated reports whether a shard is saturated; nil for a request to one replica.
	isSaturated func() bool
	send        func(delegation.Part)

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
		c.write(delegation.Part{})
	}
}

// flush sends what there is, and from then on each part as it comes.
func (c *collector) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.flushed {
		c.flushed = true
		c.write(delegation.Part{})
	}
}

// end sends the last part; err is the helper's error, nil for none. Nothing is sent afterwards.
func (c *collector) end(err *api.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushed = true
	last := delegation.Part{Last: true}
	if err != nil && err.Kind.Outcome().Run == api.RunNever {
		last.NotRun, last.RetryAfter = true, err.RetryAfter
	}
	c.write(last)
	c.send = func(delegation.Part) {}
}

// endSingle sends the answer to a request to one replica. Nothing is sent afterwards.
func (c *collector) endSingle(answer *delegation.Single) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushed = true
	c.send(delegation.Part{Last: true, Single: answer})
	c.send = func(delegation.Part) {}
}

// write merges the pending parts into one and sends it. The caller holds the lock.
func (c *collector) write(merged delegation.Part) {
	var records [][]byte
	for _, p := range c.pending {
		merged.Shards = append(merged.Shards, p.Shards...)
		merged.Signatures = append(merged.Signatures, p.Signatures...)
		records = append(records, p.Records)
	}
	merged.Records = coverage.Top(records, c.top)
	merged.Saturated = c.isSaturated != nil && c.isSaturated()
	c.pending = nil
	c.send(merged)
}

// Answer implements delegation.Server: it answers what another daemon passes on, shards of a query or a request to one
// replica. What is bound to another version of the configuration is not taken, so that the answers of one daemon never go
// back to an older one.
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
	if route == nil {
		return eris.Wrapf(delegation.ErrNotTaken, "no route for host %q and path %q", q.Host, q.Path)
	}
	request := &Request{
		ID: q.ID, Method: q.Method, Host: q.Host, Target: q.Target, Path: q.Path, Header: q.Header, Body: q.Body,
		Received: time.Now().Add(-q.Elapsed), Wait: q.Wait, From: q.From, Depth: q.Depth,
	}
	if route.IsQuery() {
		return g.answerShards(ctx, q.Shards, route, request, view, send)
	}
	return g.answerSingle(ctx, q.Service, route, request, view, send)
}

// answerShards answers shards of a query.
func (g *Gateway) answerShards(ctx context.Context, shards []int, route *routing.Route, request *Request, view topology.View, send func(delegation.Part)) error {
	asked := make(map[int]bool, len(shards))
	for _, i := range shards {
		if i < 0 || i >= len(route.Shards) || asked[i] {
			return eris.Wrapf(delegation.ErrNotTaken, "shards %v of %d", shards, len(route.Shards))
		}
		asked[i] = true
	}
	if len(shards) == 0 {
		return eris.Wrap(delegation.ErrNotTaken, "no shards")
	}
	request.Shards = shards
	isSaturated := func() bool {
		return slices.ContainsFunc(shards, func(i int) bool { return g.balancer.Saturated(route.Shards[i], time.Now()) })
	}
	out := &collector{top: route.Top, isSaturated: isSaturated, send: send}
	// The daemon that asks needs what there is before it ends the query.
	timer := time.AfterFunc(time.Until(request.Received.Add(partialAfter(route.Target, request.Depth))), out.flush)
	defer timer.Stop()
	request.parts = func(p *part) {
		indices := make([]int, len(p.Shards))
		for k, i := range p.Shards {
			indices[k] = shards[i]
		}
		out.take(&part{Part: delegation.Part{Shards: indices, Signatures: p.Signatures, Records: p.Records}})
	}
	reply := g.serveIn(ctx, request, view)
	out.end(reply.Err)
	return nil
}

// answerSingle answers a request to one replica. A first part without an answer says that this daemon still works on a
// request that takes long.
func (g *Gateway) answerSingle(ctx context.Context, service string, route *routing.Route, request *Request, view topology.View, send func(delegation.Part)) error {
	if !slices.Contains(route.Services(), service) {
		return eris.Wrapf(delegation.ErrNotTaken, "route %q has no service %q", route.Name, service)
	}
	request.Service = service
	out := &collector{send: send}
	timer := time.AfterFunc(time.Until(request.Received.Add(partialAfter(route.Target, request.Depth))), out.flush)
	defer timer.Stop()
	reply := g.serveIn(ctx, request, view)
	single := &delegation.Single{}
	if a := reply.Answer; a != nil {
		single.Status, single.Header, single.Body, single.Signature = a.Status, a.Header, a.Body, a.Signature
	} else {
		single.Error, single.Message, single.RetryAfter = reply.Err.Kind, reply.Err.Message, reply.Err.RetryAfter
	}
	out.endSingle(single)
	return nil
}
