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

// fakeSender answers for each replica in virtual time.
type fakeSender struct {
	mu        sync.Mutex
	responses map[string]func(ctx context.Context) (Answer, error)
	sent      []string
	accounts  []string
	timeLeft  []time.Duration
	// connect, if set, is called before a request is sent; its error ends the attempt.
	connect func(ctx context.Context) error
	// crashCookie is the cookie of a caller whose requests crash each replica, crashed the number of these crashes.
	crashCookie string
	crashed     int
}

// crashes returns the number of crashes by crashCookie.
func (f *fakeSender) crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

func (f *fakeSender) Send(ctx context.Context, r balancer.Choice, request *Request, limits AnswerLimits, dispatch func() bool) (Answer, error) {
	if f.connect != nil {
		if err := f.connect(ctx); err != nil {
			return Answer{}, err
		}
	}
	if !dispatch() {
		return Answer{}, &backend.Error{Failure: backend.NotSent, Cause: errNotListed}
	}
	f.mu.Lock()
	f.sent = append(f.sent, r.ID)
	f.accounts = append(f.accounts, request.Account)
	f.timeLeft = append(f.timeLeft, limits.TimeLeft)
	respond := f.responses[r.ID]
	if f.crashCookie != "" && request.Header.Get("Cookie") == f.crashCookie {
		f.crashed++
		respond = crash
	}
	f.mu.Unlock()
	return respond(ctx)
}

// sentTo returns the replicas to which a request was sent.
func (f *fakeSender) sentTo() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

// allTimeLeft returns the time limits that were passed to the replicas.
func (f *fakeSender) allTimeLeft() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.timeLeft)
}

func respondAfter(d time.Duration, a Answer, err error) func(ctx context.Context) (Answer, error) {
	return func(ctx context.Context) (Answer, error) {
		select {
		case <-time.After(d):
			return a, err
		case <-ctx.Done():
			return Answer{}, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
		}
	}
}

func failWith(f backend.Failure) error { return &backend.Error{Failure: f, Cause: errors.New("test")} }

const shardCount = 10

// newGateway returns a gateway with ten shards of two replicas each, such as "s3-0" and "s3-1" for shard s3, and a
// service "o" with three replicas.
func newGateway(t *testing.T) (*Gateway, *fakeSender) {
	// Attempts that are no longer needed end within attemptLinger.
	t.Cleanup(func() { time.Sleep(attemptLinger) })
	dir := topology.NewDirectory()
	var services []string
	var list []balancer.Server
	f := &fakeSender{responses: make(map[string]func(context.Context) (Answer, error))}
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
			f.responses[id] = respondAfter(20*time.Millisecond, Answer{Status: 200, Body: body, Signature: id}, nil)
		}
	}
	for i := range shardCount {
		services = append(services, fmt.Sprintf("s%d", i))
		add(services[i], 2)
	}
	add("o", 3)
	route := routing.Route{
		Host: "h", MaxAttempts: 2, Timeout: time.Second, TargetLatency: 300 * time.Millisecond,
	}
	query, order, read := route, route, route
	query.Name, query.Prefix, query.Shards, query.MaxRecords, query.RequiredCoverage = "query", "/q/", services, 3, 0.8
	query.Safety = routing.Idempotent
	order.Name, order.Prefix, order.Split = "order", "/o/", []routing.WeightedService{{Service: "o", Weight: 1}}
	read.Name, read.Prefix, read.Split, read.Safety = "read", "/r/", order.Split, routing.Idempotent
	_, err := dir.SetConfig(routing.Config{Version: 1, Routes: []routing.Route{query, order, read}})
	must.NoError(t, err)
	dir.SetServers(topology.List{Servers: list, ReadAt: time.Now()})
	b := balancer.New(1)
	opts := Options{BudgetRatio: 0.2, BudgetFixed: 700, BudgetWindow: 10 * time.Second}
	g, err := New(opts, dir, b, f, func() float64 { return 0.5 }, noop.Meter{}, zap.NewNop())
	must.NoError(t, err)
	b.SetServers(list, time.Now())
	g.setShares(&shares{daemons: 1, daemonsKnown: true})
	b.SetConnectionShares(func(balancer.Server) balancer.ConnectionShare {
		return balancer.ConnectionShare{MaxConnections: 4, MaxIdle: 4}
	})
	g.daemonsKnownSince = time.Now().Add(-opts.BudgetWindow)
	return g, f
}

func newRequest(path string) *Request {
	return &Request{ID: "r1", Method: http.MethodGet, Host: "h", Target: path, Path: path, Received: time.Now(),
		CallerTimeout: 900 * time.Millisecond}
}

// TestQueryReturnsAllShards guards the complete answer: it contains all shards and the greatest records, and takes only
// the first attempts.
func TestQueryReturnsAllShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		reply := g.Serve(context.Background(), newRequest("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 0, reply.Query.MissingShards)
		must.Len(t, shardCount, reply.Query.Signatures)
		must.Eq(t, "s9-0", string(reply.Query.Records[:4]))
		must.Len(t, 48, reply.Query.Records)
		must.Len(t, shardCount, f.sentTo())
		for _, left := range f.allTimeLeft() {
			must.LessEq(t, 900*time.Millisecond, left)
		}
	})
}

// TestSlowShardsGivePartialAnswer guards against two shards without a live replica: the query ends at 0.9 of its target
// latency with the other shards.
func TestSlowShardsGivePartialAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for _, id := range []string{"s1-0", "s1-1", "s2-0", "s2-1"} {
			f.responses[id] = respondAfter(time.Hour, Answer{}, nil)
		}
		begin := time.Now()
		reply := g.Serve(context.Background(), newRequest("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 2, reply.Query.MissingShards)
		must.Len(t, shardCount-2, reply.Query.Signatures)
		must.Eq(t, 270*time.Millisecond, time.Since(begin))
		must.Len(t, shardCount+2, f.sentTo(), must.Sprint("one hedge for each silent shard"))
	})
}

// TestUnreachableCoverageFailsImmediately guards against waiting for an answer that cannot come: three of ten shards
// failed and eight are required.
func TestUnreachableCoverageFailsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			for k := range 2 {
				f.responses[fmt.Sprintf("s%d-%d", i, k)] = respondAfter(5*time.Millisecond, Answer{}, failWith(backend.ServerError))
			}
		}
		begin := time.Now()
		reply := g.Serve(context.Background(), newRequest("/q/1"))
		must.Eq(t, api.CoverageTooLow, reply.Err.Kind)
		must.LessEq(t, 20*time.Millisecond, time.Since(begin))
	})
}

// TestRefusedConnectionsUseNoRetryBudget guards against replicas of many shards that crash at the same time: the
// attempt moves on to the next replica without using budget, within MaxAttempts.
func TestRefusedConnectionsUseNoRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		g.opts.BudgetFixed, g.opts.BudgetRatio = 0, 0
		for i := range shardCount {
			f.responses[fmt.Sprintf("s%d-0", i)] = respondAfter(time.Millisecond, Answer{}, failWith(backend.NotSent))
		}
		reply := g.Serve(context.Background(), newRequest("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 0, reply.Query.MissingShards)
	})
}

// TestNoCapacityIsRefusedImmediately guards against a burst on shards without free connections: nothing is sent, and
// the refusal states when to retry.
func TestNoCapacityIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		g.balancer.SetConnectionShares(func(s balancer.Server) balancer.ConnectionShare {
			if s.Service <= "s2" {
				return balancer.ConnectionShare{}
			}
			return balancer.ConnectionShare{MaxConnections: 4, MaxIdle: 4}
		})
		reply := g.Serve(context.Background(), newRequest("/q/1"))
		must.Eq(t, api.Overloaded, reply.Err.Kind)
		must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
		must.Positive(t, reply.Err.RetryAfter)
		must.Len(t, 0, f.sentTo())
	})
}

// TestNonIdempotentRequestRetries guards requests that may be executed only once: no second attempt follows one that
// may have been executed, and one follows a refusal.
func TestNonIdempotentRequestRetries(t *testing.T) {
	for _, test := range []struct {
		first backend.Failure
		kind  api.Kind
		sent  int
	}{
		{backend.ConnectionLost, api.OutcomeUnknown, 1}, {backend.Truncated, api.OutcomeUnknown, 1},
		{backend.Mismatched, api.OutcomeUnknown, 1}, {backend.Refused, api.BackendRefused, 2},
		// An attempt that was never sent does not count: all three replicas are tried.
		{backend.NotSent, api.BackendRefused, 3},
	} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			for i := range 3 {
				f.responses[fmt.Sprintf("o-%d", i)] = respondAfter(time.Millisecond, Answer{}, failWith(test.first))
			}
			reply := g.Serve(context.Background(), newRequest("/o/1"))
			must.Eq(t, test.kind, reply.Err.Kind, must.Sprint(test.first))
			must.Len(t, test.sent, f.sentTo(), must.Sprint(test.first))
		})
	}
}

// TestNonIdempotentRequestsAreNotHedged guards slow requests that may be executed only once against a second attempt.
func TestNonIdempotentRequestsAreNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.responses[fmt.Sprintf("o-%d", i)] = respondAfter(500*time.Millisecond, Answer{Status: 200, Signature: "x"}, nil)
		}
		reply := g.Serve(context.Background(), newRequest("/o/1"))
		must.Eq(t, "x", reply.Answer.Signature)
		must.Len(t, 1, f.sentTo())
	})
}

// TestCallerDisconnectCancelsAttempts guards against replicas that work for a caller that has disconnected: attempts of
// an idempotent request are cancelled, one that may be executed only once continues.
func TestCallerDisconnectCancelsAttempts(t *testing.T) {
	for path, wantCancelled := range map[string]bool{"/r/1": true, "/o/1": false} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			cancelled := false
			for i := range 3 {
				f.responses[fmt.Sprintf("o-%d", i)] = func(ctx context.Context) (Answer, error) {
					a, err := respondAfter(600*time.Millisecond, Answer{Status: 200, Signature: "x"}, nil)(ctx)
					cancelled = cancelled || err != nil
					return a, err
				}
			}
			ctx, disconnect := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer disconnect()
			g.Serve(ctx, newRequest(path))
			synctest.Wait()
			must.Eq(t, wantCancelled, cancelled, must.Sprint(path))
		})
	}
}

// TestFailedReplicaIsNoPart guards the merged answer against a replica's failure: a signed response whose status is not a
// success, or that is only a range of the body, is not a shard's part. Another replica is asked; without one, the shard is
// missing.
func TestFailedReplicaIsNoPart(t *testing.T) {
	for _, status := range []int{http.StatusPartialContent, http.StatusFound, http.StatusNotModified, http.StatusNotFound,
		http.StatusRequestTimeout, http.StatusTooManyRequests} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := newGateway(t)
				failure := Answer{Status: status, Body: []byte("zzzzzzzzzzzzzzzz"), Signature: "failure"}
				for _, replica := range []string{"s3-0", "s4-0", "s4-1"} {
					f.responses[replica] = respondAfter(20*time.Millisecond, failure, nil)
				}
				reply := g.Serve(context.Background(), newRequest("/q/1"))
				must.Nil(t, reply.Err)
				must.SliceNotContains(t, reply.Query.Signatures, "failure")
				must.SliceContains(t, reply.Query.Signatures, "s3-1")
				must.Eq(t, 1, reply.Query.MissingShards)
				must.Eq(t, "s9-0", string(reply.Query.Records[:4]))
			})
		})
	}
}

// TestServerErrorIsPassedThrough guards against hiding a replica's own error response from the caller.
func TestServerErrorIsPassedThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.responses[fmt.Sprintf("o-%d", i)] = respondAfter(time.Millisecond, Answer{Status: 500, Signature: "x"},
				failWith(backend.ServerError))
		}
		reply := g.Serve(context.Background(), newRequest("/r/1"))
		must.Eq(t, 500, reply.Answer.Status)
		must.Len(t, 2, f.sentTo())
	})
}

// TestSilentReplicaGetsErrorBeforeDeadline guards against a replica that stops responding to a request that may be
// executed only once: the caller gets the final answer before it stops waiting.
func TestSilentReplicaGetsErrorBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.responses[fmt.Sprintf("o-%d", i)] = respondAfter(time.Hour, Answer{}, nil)
		}
		request := newRequest("/o/1")
		reply := g.Serve(context.Background(), request)
		must.Eq(t, api.DeadlineExceeded, reply.Err.Kind)
		must.Eq(t, request.CallerTimeout-answerReserve, time.Since(request.Received))
	})
}

// TestRouteTimeoutLimitsWait guards the operator's timeout, which is shorter than the caller's here.
func TestRouteTimeoutLimitsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.responses[fmt.Sprintf("o-%d", i)] = respondAfter(time.Hour, Answer{}, nil)
		}
		request := newRequest("/o/1")
		request.CallerTimeout = time.Minute
		begin := time.Now()
		reply := g.Serve(context.Background(), request)
		must.Eq(t, api.DeadlineExceeded, reply.Err.Kind)
		must.Eq(t, time.Second, time.Since(begin))
	})
}

// TestPlannedStopAnswersInFlight guards requests in flight at the end of a planned stop: they are answered, and new
// ones get a refusal that states that they were not executed.
func TestPlannedStopAnswersInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 3 {
			f.responses[fmt.Sprintf("o-%d", i)] = respondAfter(time.Hour, Answer{}, nil)
		}
		time.AfterFunc(100*time.Millisecond, func() {
			g.RejectNew()
			g.CancelInFlight()
		})
		reply := g.Serve(context.Background(), newRequest("/o/1"))
		must.Eq(t, api.OutcomeUnknown, reply.Err.Kind)
		reply = g.Serve(context.Background(), newRequest("/o/1"))
		must.Eq(t, api.Stopping, reply.Err.Kind)
		must.False(t, g.Ready())
	})
}

// TestRequestValidation guards the checks that come before any sub-request.
func TestRequestValidation(t *testing.T) {
	g, _ := newGateway(t)
	must.Eq(t, api.NoRoute, g.Serve(context.Background(), newRequest("/none/1")).Err.Kind)
	request := newRequest("/o/1")
	request.ID = ""
	must.Eq(t, api.BadRequest, g.Serve(context.Background(), request).Err.Kind)
	empty, err := New(Options{}, topology.NewDirectory(), balancer.New(1), nil, nil, noop.Meter{}, zap.NewNop())
	must.NoError(t, err)
	must.Eq(t, api.NoConfiguration, empty.Serve(context.Background(), newRequest("/o/1")).Err.Kind)
}

// TestHedgeDelayFollowsExpectedTime guards the hedge delay: for short queries the second attempt is sent while an
// answer can still arrive within the target latency; for long ones not before most first attempts have ended.
func TestHedgeDelayFollowsExpectedTime(t *testing.T) {
	must.Eq(t, 35*time.Millisecond, hedgeDelay(150*time.Millisecond, 10*time.Millisecond))
	must.Eq(t, 85*time.Millisecond, hedgeDelay(400*time.Millisecond, 30*time.Millisecond))
	must.Eq(t, 50*time.Millisecond, hedgeDelay(150*time.Millisecond, 100*time.Millisecond))
	// A tight target leaves no time for a second attempt that has to open a connection to another region, unless it starts earlier.
	must.Eq(t, 24*time.Millisecond, hedgeDelay(120*time.Millisecond, 10*time.Millisecond))
	must.Eq(t, 34*time.Millisecond, hedgeDelay(120*time.Millisecond, 20*time.Millisecond))
}
