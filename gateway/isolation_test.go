package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/topology"
)

// partition lets no replica respond and no connection be opened; the returned function ends the partition.
func (f *fakeSender) partition(links *fakeLinks) (heal func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	links.cutOff.Store(true)
	before := f.responses
	f.responses = make(map[string]func(context.Context) (Answer, error))
	for id := range before {
		f.responses[id] = respondAfter(time.Hour, Answer{}, nil)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		links.cutOff.Store(false)
		f.responses = before
	}
}

// isolate partitions a gateway from its replicas and waits until it knows.
func isolate(t *testing.T, g *Gateway, f *fakeSender) (heal func()) {
	links := &fakeLinks{}
	return isolateWith(t, g, f, links, links)
}

// isolateWith is like isolate, with links of another type; cut are those that the partition cuts.
func isolateWith(t *testing.T, g *Gateway, f *fakeSender, links ReplicaLinks, cut *fakeLinks) (heal func()) {
	g.opts.Links = links
	heal = f.partition(cut)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.WatchReach(ctx)
	go g.Serve(context.Background(), newRequest("/q/first"))
	testseed.Sleep(time.Second)
	must.True(t, g.isIsolated())
	return heal
}

// TestIsolatedHelperTakesNoQueries guards callers of other daemons against a helper that is partitioned from all replicas and goes
// on taking queries, which lose the shards that it took. It refuses them at once, until it reaches replicas again.
func TestIsolatedHelperTakesNoQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		query := delegation.Query{ID: "r1", Method: "GET", Host: "h", Target: "/q/1", Path: "/q/1", Version: 1, Shards: []int{0, 1, 2},
			From: "other", Depth: 1, CallerTimeout: 900 * time.Millisecond}
		ask := func() (parts int, err error) {
			err = g.Answer(context.Background(), query, func(p delegation.PartialAnswer) { parts += len(p.Shards) })
			return parts, err
		}
		heal := isolate(t, g, f)
		before, begin := len(f.sentTo()), time.Now()
		_, err := ask()
		must.ErrorIs(t, err, delegation.ErrIsolated)
		must.ErrorIs(t, err, delegation.ErrNotAccepted)
		must.Eq(t, 0, time.Since(begin))
		must.Len(t, before, f.sentTo())
		heal()
		testseed.Sleep(time.Second)
		parts, err := ask()
		must.NoError(t, err)
		must.Eq(t, 3, parts)
	})
}

// TestIsolatedHelperIsPaused guards the delegating daemon's callers: the daemon itself sends the shards that an isolated helper
// did not take, and does not ask this helper again for a while.
func TestIsolatedHelperIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegatingGateway(t)
		f.respond = func(context.Context, delegation.Query, time.Duration, func(delegation.PartialAnswer)) error {
			return delegation.ErrIsolated
		}
		for range 3 {
			reply := g.Serve(t.Context(), newRequest("/q/x"))
			must.Nil(t, reply.Err)
			must.Eq(t, 0, reply.Query.MissingShards)
			testseed.Sleep(600 * time.Millisecond)
		}
		must.Len(t, 1, f.sentQueries())
		must.Len(t, 3*shardCount, sender.sentTo())
	})
}

// TestQuickRefusalBlamesNoReplica guards replicas against being taken for broken when a helper refuses a query before its first attempts
// are picked: these then go to the preferred replicas, and none of them is paused. The order of the goroutines is drawn by the runtime.
func TestQuickRefusalBlamesNoReplica(t *testing.T) {
	for range 1000 {
		synctest.Test(t, func(t *testing.T) {
			g, sender, f := newDelegatingGateway(t)
			f.respond = func(context.Context, delegation.Query, time.Duration, func(delegation.PartialAnswer)) error {
				return delegation.ErrIsolated
			}
			must.Nil(t, g.Serve(t.Context(), newRequest("/q/x")).Err)
			for _, id := range sender.sentTo() {
				must.StrHasSuffix(t, "-0", id)
			}
			for _, s := range g.balancer.Statuses(time.Now()) {
				must.False(t, s.Paused, must.Sprint(s.ID))
			}
		})
	}
}

// TestLostReplicasDoNotIsolate guards callers against a daemon that takes the loss of most replicas for a partition of its own.
func TestLostReplicasDoNotIsolate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		g.opts.Links = &fakeLinks{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go g.WatchReach(ctx)
		for id := range f.responses {
			f.responses[id] = respondAfter(time.Millisecond, Answer{}, &backend.Error{Failure: backend.NotSent, Cause: errors.New("refused")})
		}
		for range 20 {
			g.Serve(context.Background(), newRequest("/q/1"))
			testseed.Sleep(100 * time.Millisecond)
			must.False(t, g.isIsolated())
		}
	})
}

// elsewhereClient answers delegated requests for the helpers in reach. Isolated ones refuse.
type elsewhereClient struct {
	mu      sync.Mutex
	inReach map[string]bool
	asked   []string
	// takesAndLoses lets each helper take a request and then lose all replicas.
	takesAndLoses bool
	// delay is the time that a helper takes to answer.
	delay time.Duration
}

func (c *elsewhereClient) Delegate(_ context.Context, address string, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, address)
	testseed.Sleep(c.delay)
	if c.takesAndLoses {
		receive(delegation.PartialAnswer{Last: true, Isolated: true})
		return nil
	}
	if !c.inReach[address] {
		return delegation.ErrIsolated
	}
	last := delegation.PartialAnswer{Last: true, ReplicaAnswer: &delegation.ReplicaAnswer{Status: 200, Signature: "x"}}
	if q.Service == "" {
		last = partForShards(q.Shards...)
		last.Last = true
	}
	receive(last)
	return nil
}

// newIsolatedGateway returns a gateway that is partitioned from all replicas, with two helpers in each of three data centres.
func newIsolatedGateway(t *testing.T) (g *Gateway, f *fakeSender, client *elsewhereClient, heal func()) {
	g, f = newGateway(t)
	client = &elsewhereClient{inReach: make(map[string]bool)}
	g.opts.DelegationClient = client
	g.helpers = delegation.NewPool(delegation.Self{Address: "self:1", DataCentre: "near", Cores: 0.4, Distance: func(centre string) balancer.Distance {
		return map[string]balancer.Distance{"near": balancer.SameDataCentre, "region": balancer.SameRegion, "far": balancer.OtherRegion}[centre]
	}}, 1)
	centres := make(map[string]topology.DataCentre)
	for _, centre := range []string{"near", "region", "far"} {
		centres[centre] = topology.DataCentre{Daemons: 2, Helpers: []topology.Helper{{Address: centre + "1:1", Cores: 0.4}, {Address: centre + "2:1", Cores: 0.4}}}
	}
	g.directory.SetDataCentres(centres)
	view, _ := g.directory.View()
	g.helpers.SetView(&view)
	heal = isolate(t, g, f)
	// The helpers refused the request by which the daemon noticed, and are paused for that.
	testseed.Sleep(5 * time.Second)
	client.mu.Lock()
	defer client.mu.Unlock()
	client.asked = nil
	return g, f, client, heal
}

// TestIsolatedDaemonPassesRequestsOn guards callers of a VM that is partitioned from all replicas: their requests are answered by the
// nearest daemon that reaches replicas, without an attempt of the VM itself, and at most once.
func TestIsolatedDaemonPassesRequestsOn(t *testing.T) {
	for inReach, minAsked := range map[string]int{"near2:1": 1, "region1:1": 3, "far2:1": 5} {
		for _, path := range []string{"/q/1", "/r/1", "/o/1"} {
			synctest.Test(t, func(t *testing.T) {
				g, f, client, heal := newIsolatedGateway(t)
				client.inReach[inReach] = true
				before := len(f.sentTo())
				reply := g.Serve(context.Background(), newRequest(path))
				must.Nil(t, reply.Err, must.Sprint(inReach, path))
				if path == "/q/1" {
					must.Eq(t, 0, reply.Query.MissingShards)
				} else {
					must.Eq(t, 200, reply.Answer.Status)
				}
				must.GreaterEq(t, minAsked, len(client.asked))
				must.Eq(t, inReach, client.asked[len(client.asked)-1])
				must.Len(t, before, f.sentTo())

				heal()
				testseed.Sleep(time.Second)
				asked := len(client.asked)
				must.Nil(t, g.Serve(context.Background(), newRequest(path)).Err)
				must.Len(t, asked, client.asked, must.Sprint("after the partition"))
			})
		}
	}
}

// TestIsolatedDaemonRefusesAtOnce guards callers against waiting until their deadline for a request that no daemon can serve: it is
// refused at once with a time to return, and nothing of it is sent to a replica.
func TestIsolatedDaemonRefusesAtOnce(t *testing.T) {
	for _, path := range []string{"/q/1", "/r/1", "/o/1"} {
		synctest.Test(t, func(t *testing.T) {
			g, f, client, _ := newIsolatedGateway(t)
			before, begin := len(f.sentTo()), time.Now()
			for range 2 {
				reply := g.Serve(context.Background(), newRequest(path))
				must.Eq(t, api.NoReplica, reply.Err.Kind, must.Sprint(path))
				must.Eq(t, isolatedRetryAfter, reply.Err.RetryAfter)
			}
			must.Eq(t, 0, time.Since(begin))
			must.Len(t, before, f.sentTo())
			must.Len(t, 6, client.asked, must.Sprint("a helper that refused is not asked again soon"))
		})
	}
}

// TestRequestsInFlightAreServedElsewhere guards callers whose requests were in flight when a VM was partitioned from all replicas:
// as soon as the daemon knows, another one serves those that may be repeated.
func TestRequestsInFlightAreServedElsewhere(t *testing.T) {
	for path, isRepeated := range map[string]bool{"/q/1": true, "/r/1": true, "/o/1": false} {
		synctest.Test(t, func(t *testing.T) {
			g, _, client, heal := newIsolatedGateway(t)
			client.inReach["near1:1"] = true
			heal()
			testseed.Sleep(time.Second)
			must.False(t, g.isIsolated())
			asked := len(client.asked)
			links := g.opts.Links.(*fakeLinks)
			g.sender.(*fakeSender).partition(links)
			request, begin := newRequest(path), time.Now()
			reply := g.Serve(context.Background(), request)
			if isRepeated {
				must.Nil(t, reply.Err, must.Sprint(path))
				must.LessEq(t, 800*time.Millisecond, time.Since(begin))
				must.Greater(t, asked, len(client.asked))
			} else {
				must.NotNil(t, reply.Err)
				must.Len(t, asked, client.asked)
			}
		})
	}
}

// TestShardsAreHandedBack guards callers whose shards were delegated to a helper that then lost all replicas: the delegating daemon
// sends those without an answer itself.
func TestShardsAreHandedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegatingGateway(t)
		f.respond = func(ctx context.Context, q delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			receive(partForShards(q.Shards[:4]...))
			testseed.Sleep(50 * time.Millisecond)
			receive(delegation.PartialAnswer{Last: true, Isolated: true})
			return nil
		}
		reply := g.Serve(t.Context(), newRequest("/q/x"))
		must.Nil(t, reply.Err)
		must.Eq(t, 0, reply.Query.MissingShards)
		must.Len(t, shardCount-4, sender.sentTo())
	})
}

// TestRefusalAfterIsolationIsTrue guards callers against a refusal that says that nothing was executed, when attempts of the request had
// been sent before the daemon noticed that it is isolated, or when a helper had taken the request.
func TestRefusalAfterIsolationIsTrue(t *testing.T) {
	for _, path := range []string{"/q/1", "/r/1", "/o/1"} {
		synctest.Test(t, func(t *testing.T) {
			g, f, client, heal := newIsolatedGateway(t)
			heal()
			testseed.Sleep(time.Second)
			f.partition(g.opts.Links.(*fakeLinks))
			reply := g.Serve(context.Background(), newRequest(path))
			must.NotNil(t, reply.Err)
			must.NotEq(t, api.RunNever, reply.Err.Kind.Outcome().Run, must.Sprint(path))

			must.True(t, g.isIsolated())
			testseed.Sleep(3 * time.Second)
			client.takesAndLoses = true
			reply = g.Serve(context.Background(), newRequest(path))
			must.NotNil(t, reply.Err)
			must.NotEq(t, api.RunNever, reply.Err.Kind.Outcome().Run, must.Sprint(path))
		})
	}
}

// TestHelperThatHandsBackIsPaused guards callers against a helper that has lost all replicas while it had their requests: it is asked no
// more for a while, as if it had refused. An exchange that ended without its shards counted as answered.
func TestHelperThatHandsBackIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _, f := newDelegatingGateway(t)
		f.respond = func(_ context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
			receive(delegation.PartialAnswer{Last: true, Isolated: true})
			return nil
		}
		for range 3 {
			must.Nil(t, g.Serve(t.Context(), newRequest("/q/x")).Err)
			testseed.Sleep(600 * time.Millisecond)
		}
		must.Len(t, 1, f.sentQueries())
	})
}

// TestHandedBackSingleIsSent guards callers whose request to one replica a helper took and handed back: the daemon sends it itself if it
// may be repeated, and reports it as not executed in no case.
func TestHandedBackSingleIsSent(t *testing.T) {
	for path, isRepeated := range map[string]bool{"/r/1": true, "/o/1": false} {
		synctest.Test(t, func(t *testing.T) {
			g, sender, f := newDelegatingGateway(t)
			g.setShares(&shares{daemons: 1000, daemonsKnown: true, limits: map[string]int{"o": 10}, helperCounts: map[string]int{"o": 2}})
			f.respond = func(_ context.Context, _ delegation.Query, _ time.Duration, receive func(delegation.PartialAnswer)) error {
				receive(delegation.PartialAnswer{Last: true, Isolated: true, ReplicaAnswer: &delegation.ReplicaAnswer{Error: api.ReplicasFailed}})
				return nil
			}
			reply := g.Serve(t.Context(), newRequest(path))
			must.Len(t, 1, f.sentQueries())
			if isRepeated {
				must.Nil(t, reply.Err, must.Sprint(path))
				must.Len(t, 1, sender.sentTo())
				return
			}
			must.Len(t, 0, sender.sentTo())
			must.NotEq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
		})
	}
}
