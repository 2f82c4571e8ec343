package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

// fakeSender answers by replica, in virtual time.
type fakeSender struct {
	mu     sync.Mutex
	answer map[string]func(ctx context.Context) (Answer, error)
	sent   []string
	lefts  []time.Duration
}

func (f *fakeSender) Send(ctx context.Context, r balancer.Choice, _ *Request, bounds Bounds, dispatch func() bool) (Answer, error) {
	if !dispatch() {
		return Answer{}, &backend.Error{Failure: backend.NotSent, Cause: errNotListed}
	}
	f.mu.Lock()
	f.sent = append(f.sent, r.ID)
	f.lefts = append(f.lefts, bounds.Left)
	answer := f.answer[r.ID]
	f.mu.Unlock()
	return answer(ctx)
}

// all returns the replicas that were sent to.
func (f *fakeSender) all() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

// allLefts returns the times that replicas were given.
func (f *fakeSender) allLefts() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.lefts)
}

func after(d time.Duration, a Answer, err error) func(ctx context.Context) (Answer, error) {
	return func(ctx context.Context) (Answer, error) {
		select {
		case <-time.After(d):
			return a, err
		case <-ctx.Done():
			return Answer{}, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
		}
	}
}

func failure(f backend.Failure) error { return &backend.Error{Failure: f, Cause: errors.New("test")} }

const shards = 10

// newGateway returns a gateway with ten shards of two replicas each, "s3-0" and "s3-1" for shard s3, and one service "o"
// of three.
func newGateway(t *testing.T) (*Gateway, *fakeSender) {
	dir := topology.NewDirectory()
	var services []string
	var list []balancer.Server
	f := &fakeSender{answer: make(map[string]func(context.Context) (Answer, error))}
	add := func(service string, n int) {
		for i := range n {
			id := fmt.Sprintf("%s-%d", service, i)
			distance := balancer.SameDataCentre
			if i > 0 {
				distance = balancer.OtherRegion
			}
			list = append(list, balancer.Server{ID: id, Service: service, Address: "10.0.0.1:1", Slots: 4, Distance: distance})
			body := make([]byte, 16)
			copy(body, id)
			f.answer[id] = after(20*time.Millisecond, Answer{Status: 200, Body: body, Signature: id}, nil)
		}
	}
	for i := range shards {
		services = append(services, fmt.Sprintf("s%d", i))
		add(services[i], 2)
	}
	add("o", 3)
	route := routing.Route{
		Host: "h", MaxAttempts: 2, Timeout: time.Second, Target: 300 * time.Millisecond,
	}
	query, order, read := route, route, route
	query.Name, query.Prefix, query.Shards, query.Top, query.LeastCoverage = "query", "/q/", services, 3, 0.8
	query.Safety = routing.Repeatable
	order.Name, order.Prefix, order.Split = "order", "/o/", []routing.Part{{Service: "o", Weight: 1}}
	read.Name, read.Prefix, read.Split, read.Safety = "read", "/r/", order.Split, routing.Repeatable
	_, err := dir.SetConfig(routing.Config{Version: 1, Routes: []routing.Route{query, order, read}})
	must.NoError(t, err)
	dir.SetServers(list, time.Now(), topology.FromStore)
	b := balancer.New(1)
	opts := Options{BudgetRatio: 0.2, BudgetFixed: 700, BudgetSpan: 10 * time.Second}
	g, err := New(opts, dir, b, f, func() float64 { return 0.5 }, noop.Meter{}, zap.NewNop())
	must.NoError(t, err)
	b.SetServers(list, time.Now())
	g.setShares(&shares{daemons: 1, known: true})
	b.SetShares(func(balancer.Server) balancer.Share { return balancer.Share{Connections: 4, Idle: 4} })
	g.counted = time.Now().Add(-opts.BudgetSpan)
	return g, f
}

func requestTo(path string) *Request {
	return &Request{ID: "r1", Method: http.MethodGet, Host: "h", Target: path, Path: path, Received: time.Now(), Wait: 900 * time.Millisecond}
}

// TestQuery guards the whole answer: all shards, the greatest records, nothing beyond the first attempts.
func TestQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		reply := g.Serve(context.Background(), requestTo("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 0, reply.Query.Missing)
		must.Len(t, shards, reply.Query.Signatures)
		must.Eq(t, "s9-0", string(reply.Query.Records[:4]))
		must.Len(t, 48, reply.Query.Records)
		must.Len(t, shards, f.all())
		for _, left := range f.allLefts() {
			must.LessEq(t, 900*time.Millisecond, left)
		}
	})
}

// TestSlowShardsEndAsPartialAnswer answers the pattern of two shards without a live replica: the query ends at 0.9 of
// its target latency with the shards that it has.
func TestSlowShardsEndAsPartialAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for _, id := range []string{"s1-0", "s1-1", "s2-0", "s2-1"} {
			f.answer[id] = after(time.Hour, Answer{}, nil)
		}
		begin := time.Now()
		reply := g.Serve(context.Background(), requestTo("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 2, reply.Query.Missing)
		must.Len(t, shards-2, reply.Query.Signatures)
		must.Eq(t, 270*time.Millisecond, time.Since(begin))
		must.Len(t, shards+2, f.all(), must.Sprint("one hedge for each silent shard"))
	})
}

// TestHopelessQueryEndsAtOnce guards callers against waiting for an answer that cannot come: three of ten shards failed
// and eight are needed.
func TestHopelessQueryEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			for k := range 2 {
				f.answer[fmt.Sprintf("s%d-%d", i, k)] = after(5*time.Millisecond, Answer{}, failure(backend.ServerError))
			}
		}
		begin := time.Now()
		reply := g.Serve(context.Background(), requestTo("/q/1"))
		must.Eq(t, api.CoverageTooLow, reply.Err.Kind)
		must.LessEq(t, 20*time.Millisecond, time.Since(begin))
	})
}

// TestRefusedConnectionsUseNoBudget answers the pattern of replicas that crash in many shards at once: the next replica
// gets the first attempt that arrives, without budget and within MaxAttempts.
func TestRefusedConnectionsUseNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		g.opts.BudgetFixed, g.opts.BudgetRatio = 0, 0
		for i := range shards {
			f.answer[fmt.Sprintf("s%d-0", i)] = after(time.Millisecond, Answer{}, failure(backend.NotSent))
		}
		reply := g.Serve(context.Background(), requestTo("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 0, reply.Query.Missing)
	})
}

// TestNoRoomIsRefusedAtOnce answers the pattern of a burst on shards without room: nothing is sent, the refusal says
// when to come back.
func TestNoRoomIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		g.balancer.SetShares(func(s balancer.Server) balancer.Share {
			if s.Service <= "s2" {
				return balancer.Share{}
			}
			return balancer.Share{Connections: 4, Idle: 4}
		})
		reply := g.Serve(context.Background(), requestTo("/q/1"))
		must.Eq(t, api.Overloaded, reply.Err.Kind)
		must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
		must.Positive(t, reply.Err.RetryAfter)
		must.Len(t, 0, f.all())
	})
}

// TestOnceRequests guards requests that may run once: no second attempt after one that may have run, and one after a
// refusal.
func TestOnceRequests(t *testing.T) {
	for _, c := range []struct {
		first backend.Failure
		kind  api.Kind
		sent  int
	}{
		{backend.ConnectionLost, api.OutcomeUnknown, 1}, {backend.Truncated, api.OutcomeUnknown, 1},
		{backend.Mismatched, api.OutcomeUnknown, 1}, {backend.Refused, api.BackendRefused, 2},
		// What never left uses up no attempt: all three replicas are tried.
		{backend.NotSent, api.BackendRefused, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			for i := range 3 {
				f.answer[fmt.Sprintf("o-%d", i)] = after(time.Millisecond, Answer{}, failure(c.first))
			}
			reply := g.Serve(context.Background(), requestTo("/o/1"))
			must.Eq(t, c.kind, reply.Err.Kind, must.Sprint(c.first))
			must.Len(t, c.sent, f.all(), must.Sprint(c.first))
		})
	}
}

// TestOnceRequestsAreNotHedged guards slow requests that may run once against a second attempt.
func TestOnceRequestsAreNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.answer[fmt.Sprintf("o-%d", i)] = after(500*time.Millisecond, Answer{Status: 200, Signature: "x"}, nil)
		}
		reply := g.Serve(context.Background(), requestTo("/o/1"))
		must.Eq(t, "x", reply.Answer.Signature)
		must.Len(t, 1, f.all())
	})
}

// TestCallerLeaves guards replicas against work for a caller that has left: attempts of a repeatable request end, one
// that may run once runs on.
func TestCallerLeaves(t *testing.T) {
	for path, ends := range map[string]bool{"/r/1": true, "/o/1": false} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			cancelled := false
			for i := range 3 {
				f.answer[fmt.Sprintf("o-%d", i)] = func(ctx context.Context) (Answer, error) {
					a, err := after(600*time.Millisecond, Answer{Status: 200, Signature: "x"}, nil)(ctx)
					cancelled = cancelled || err != nil
					return a, err
				}
			}
			ctx, leave := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer leave()
			g.Serve(ctx, requestTo(path))
			synctest.Wait()
			must.Eq(t, ends, cancelled, must.Sprint(path))
		})
	}
}

// TestServerErrorIsPassedThrough guards the caller's view of a replica's own failure.
func TestServerErrorIsPassedThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.answer[fmt.Sprintf("o-%d", i)] = after(time.Millisecond, Answer{Status: 500, Signature: "x"}, failure(backend.ServerError))
		}
		reply := g.Serve(context.Background(), requestTo("/r/1"))
		must.Eq(t, 500, reply.Answer.Status)
		must.Len(t, 2, f.all())
	})
}

// TestSilentReplicaIsAnsweredBeforeTheDeadline answers the pattern of a replica that goes dark with a request that may run
// once: its caller gets the final answer before it stops waiting, not nothing.
func TestSilentReplicaIsAnsweredBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.answer[fmt.Sprintf("o-%d", i)] = after(time.Hour, Answer{}, nil)
		}
		request := requestTo("/o/1")
		reply := g.Serve(context.Background(), request)
		must.Eq(t, api.DeadlineExceeded, reply.Err.Kind)
		must.Eq(t, request.Wait-answerReserve, time.Since(request.Received))
	})
}

// TestRouteTimeout guards the operator's limit on waiting, which is shorter than the caller's here.
func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.answer[fmt.Sprintf("o-%d", i)] = after(time.Hour, Answer{}, nil)
		}
		request := requestTo("/o/1")
		request.Wait = time.Minute
		begin := time.Now()
		reply := g.Serve(context.Background(), request)
		must.Eq(t, api.DeadlineExceeded, reply.Err.Kind)
		must.Eq(t, time.Second, time.Since(begin))
	})
}

// TestPlannedStopAnswers guards requests in flight at the end of a planned stop: they get an answer, and new ones a
// refusal that says that they have not run.
func TestPlannedStopAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.answer[fmt.Sprintf("o-%d", i)] = after(time.Hour, Answer{}, nil)
		}
		time.AfterFunc(100*time.Millisecond, func() {
			g.Stop()
			g.End()
		})
		reply := g.Serve(context.Background(), requestTo("/o/1"))
		must.Eq(t, api.OutcomeUnknown, reply.Err.Kind)
		reply = g.Serve(context.Background(), requestTo("/o/1"))
		must.Eq(t, api.Stopping, reply.Err.Kind)
		must.False(t, g.Ready())
	})
}

// TestRefusalsBeforeAnything guards the first checks.
func TestRefusalsBeforeAnything(t *testing.T) {
	g, _ := newGateway(t)
	must.Eq(t, api.NoRoute, g.Serve(context.Background(), requestTo("/none/1")).Err.Kind)
	request := requestTo("/o/1")
	request.ID = ""
	must.Eq(t, api.BadRequest, g.Serve(context.Background(), request).Err.Kind)
	empty, err := New(Options{}, topology.NewDirectory(), balancer.New(1), nil, nil, noop.Meter{}, zap.NewNop())
	must.NoError(t, err)
	must.Eq(t, api.NoConfiguration, empty.Serve(context.Background(), requestTo("/o/1")).Err.Kind)
}

// TestHedgeDelayFollowsTheWork guards short queries: the second attempt of a shard leaves while an answer can still come
// within the target latency, and that of long work not before most first attempts have ended.
func TestHedgeDelayFollowsTheWork(t *testing.T) {
	must.Eq(t, 35*time.Millisecond, hedgeDelay(150*time.Millisecond, 10*time.Millisecond))
	must.Eq(t, 85*time.Millisecond, hedgeDelay(400*time.Millisecond, 30*time.Millisecond))
	must.Eq(t, 50*time.Millisecond, hedgeDelay(150*time.Millisecond, 100*time.Millisecond))
}
