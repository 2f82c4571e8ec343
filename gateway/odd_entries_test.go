package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
)

// oddLinks are links to replicas of which those of services that no configuration names are never reached.
type oddLinks struct{ fakeLinks }

func (l *oddLinks) Probe(ctx context.Context, replica balancer.Server) error {
	if replica.Service[0] == 'x' {
		return context.DeadlineExceeded
	}
	return l.fakeLinks.Probe(ctx, replica)
}

// fewLinks are links to replicas of which probes reach one only.
type fewLinks struct{ fakeLinks }

func (l *fewLinks) Probe(ctx context.Context, replica balancer.Server) error {
	if replica.ID != "o-0" {
		return context.DeadlineExceeded
	}
	return l.fakeLinks.Probe(ctx, replica)
}

// addOddEntries adds replicas of services that no configuration names to the list of a gateway's replicas.
func addOddEntries(g *Gateway, n int) {
	view, _ := g.directory.View()
	list := view.Servers
	for i := range n {
		list = append(list, balancer.Server{ID: fmt.Sprint("x-", i), Service: fmt.Sprint("x", i), Address: "10.0.0.9:1", Slots: 1})
	}
	g.balancer.SetServers(list, time.Now())
}

// TestOddEntriesDoNotProlongIsolation guards callers against a daemon that refuses every request for ever: after a partition its probes went
// to entries of services that no configuration names, which nobody reaches.
func TestOddEntriesDoNotProlongIsolation(t *testing.T) {
	for _, odd := range []int{0, 1, 16, 2000} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			addOddEntries(g, odd)
			links := &oddLinks{}
			heal := isolateWith(t, g, f, links, &links.fakeLinks)
			heal()
			testseed.Sleep(2 * isolatedProbeInterval)
			must.False(t, g.isIsolated(), must.Sprint(odd, " odd entries"))
			reply := g.Serve(context.Background(), newRequest("/q/later"))
			must.Nil(t, reply.Err)
		})
	}
}

// TestRequestsAreTriedInIsolation guards callers against a daemon that refuses every request for ever although replicas respond, since its
// probes reach too few of them. Requests of each kind are tried, but not before the isolation has lasted for a while, nor while no replica
// can be reached.
func TestRequestsAreTriedInIsolation(t *testing.T) {
	for _, path := range []string{"/q/1", "/r/1", "/o/1"} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			links := &fewLinks{}
			heal := isolateWith(t, g, f, links, &links.fakeLinks)
			before := len(f.sentTo())
			ask := func(duration time.Duration) (served int) {
				for end := time.Now().Add(duration); time.Now().Before(end); testseed.Sleep(20 * time.Millisecond) {
					if reply := g.Serve(context.Background(), newRequest(path)); reply.Err == nil {
						served++
					}
				}
				return served
			}
			must.Zero(t, ask(3*time.Second), must.Sprint(path))
			must.Len(t, before, f.sentTo(), must.Sprint(path, ": no replica can be reached"))
			heal()
			must.Positive(t, ask(4*time.Second), must.Sprint(path))
			must.False(t, g.isIsolated(), must.Sprint(path))
		})
	}
}

// TestOddEntriesDoNotCauseIsolation guards callers against a daemon that takes itself for partitioned when a few replicas end, since its
// probes go to entries of services that no configuration names.
func TestOddEntriesDoNotCauseIsolation(t *testing.T) {
	for _, odd := range []int{0, 1, 16, 2000} {
		synctest.Test(t, func(t *testing.T) {
			g, _ := newGateway(t)
			addOddEntries(g, odd)
			g.opts.Links = &oddLinks{}
			now := time.Now()
			for i := range 3 {
				g.reach.OpenFailed(fmt.Sprint("ended-", i), now)
			}
			g.checkReach(t.Context())
			must.False(t, g.isIsolated(), must.Sprint(odd, " odd entries"))
		})
	}
}
