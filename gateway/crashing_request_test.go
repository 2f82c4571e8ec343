package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/quarantine"
)

// crash lets a replica end while it executes the request.
var crash = respondAfter(3*time.Millisecond, Answer{}, failWith(backend.ConnectionLost))

// crashAll lets every replica end while it executes the request.
func (f *fakeSender) crashAll() {
	for id := range f.responses {
		f.responses[id] = crash
	}
}

// sendRepeatedly serves the request several times, a second apart, and returns the number of sub-requests of each time.
func sendRepeatedly(g *Gateway, f *fakeSender, path string, times int) (sends []int) {
	for range times {
		before := len(f.sentTo())
		g.Serve(context.Background(), newRequest(path))
		testseed.Sleep(time.Second)
		sends = append(sends, len(f.sentTo())-before)
	}
	return sends
}

// TestServerErrorsDoNotClearCrashingRequest guards replicas against a request that crashes each of them that executes it
// and is sent again, while other replicas answer every request with status 500: such a response does not show that the
// request was executed without harm.
func TestServerErrorsDoNotClearCrashingRequest(t *testing.T) {
	failure := respondAfter(2*time.Millisecond, Answer{Status: 500, Signature: "x"}, failWith(backend.ServerError))
	for _, test := range []struct {
		path, failing string
	}{{"/q/1", "s3"}, {"/r/1", "o"}} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			f.crashAll()
			f.responses[test.failing+"-1"] = failure
			if test.path == "/q/1" {
				f.responses[test.failing+"-0"] = failure
			}
			sends := sendRepeatedly(g, f, test.path, 6)
			t.Log("sub-requests of each send:", sends)
			must.Eq(t, []int{0, 0, 0, 0}, sends[2:], must.Sprint(test.path))
			must.Eq(t, api.Quarantined, g.Serve(context.Background(), newRequest(test.path)).Err.Kind)
		})
	}
}

// TestErrorsWithoutLostConnectionsAreNotQuarantined guards sound requests: failures alone do not show that a request
// crashes replicas.
func TestErrorsWithoutLostConnectionsAreNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range shardCount {
			for k := range 2 {
				f.responses[fmt.Sprintf("s%d-%d", i, k)] = respondAfter(time.Millisecond, Answer{Status: 500, Signature: "x"}, failWith(backend.ServerError))
			}
		}
		for range 5 {
			must.NotEq(t, api.Quarantined, g.Serve(context.Background(), newRequest("/q/1")).Err.Kind)
		}
		must.SliceEmpty(t, g.Notices())
	})
}

// downTime is how long a replica that a request has crashed refuses connections.
const downTime = 3 * time.Second

// crashingReplica returns the behaviour of a replica that each request crashes, shared by all gateways, and counts its crashes.
func crashingReplica(crashes *int) func(ctx context.Context) (Answer, error) {
	var downUntil time.Time
	return func(context.Context) (Answer, error) {
		if time.Now().Before(downUntil) {
			return Answer{}, failWith(backend.NotSent)
		}
		testseed.Sleep(3 * time.Millisecond)
		downUntil = time.Now().Add(downTime)
		*crashes++
		return Answer{}, failWith(backend.ConnectionLost)
	}
}

// gatewayLink passes the notices and observations of one gateway to the others.
type gatewayLink struct {
	others func() []*Gateway
}

func (l gatewayLink) Publish(n quarantine.Notice) {
	for _, g := range l.others() {
		g.AddRemoteNotice(n)
	}
}

func (l gatewayLink) PublishObservations(o []quarantine.Observation) {
	for _, g := range l.others() {
		g.AddRemoteObservations(o)
	}
}

// newLinkedGateways returns gateways with replicas of their own each, which exchange notices and observations.
func newLinkedGateways(t *testing.T, n int) (gateways []*Gateway, senders []*fakeSender) {
	for i := range n {
		g, f := newGateway(t)
		link := gatewayLink{func() []*Gateway { return append(slices.Clone(gateways[:i]), gateways[i+1:]...) }}
		g.quarantines = newQuarantines(quarantine.DefaultRule(), quarantineDuration, link, link)
		gateways, senders = append(gateways, g), append(senders, f)
	}
	return gateways, senders
}

// TestCrashingRequestAtManyDaemonsIsQuarantined guards replicas against a request that comes again at another daemon each time
// and crashes too few of them at each daemon: the only replica to which it is sent while there is no budget for retries, or the
// replicas of one shard only.
func TestCrashingRequestAtManyDaemonsIsQuarantined(t *testing.T) {
	for _, test := range []struct {
		path, crashing string
		budget         float64
	}{{"/r/1", "o", 0}, {"/q/1", "s3", 700}} {
		synctest.Test(t, func(t *testing.T) {
			gateways, senders := newLinkedGateways(t, 6)
			crashes := 0
			for k := range 3 {
				respond := crashingReplica(&crashes)
				for _, f := range senders {
					f.responses[fmt.Sprintf("%s-%d", test.crashing, k)] = respond
				}
			}
			var crashesBySend []int
			for i := range 24 {
				g := gateways[i%len(gateways)]
				g.opts.BudgetFixed, g.opts.BudgetRatio = test.budget, 0
				before := crashes
				g.Serve(context.Background(), newRequest(test.path))
				crashesBySend = append(crashesBySend, crashes-before)
				testseed.Sleep(time.Second)
			}
			t.Log("crashes by send:", crashesBySend)
			must.LessEq(t, 4, crashes, must.Sprint(test.path))
		})
	}
}

// TestRequestThatStillCrashesIsHalfOpen guards replicas against a request that crashes each of them and comes again whenever
// its quarantine ends: it then crashes one replica more, and is refused for longer.
func TestRequestThatStillCrashesIsHalfOpen(t *testing.T) {
	for _, path := range []string{"/q/1", "/r/1"} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			f.crashAll()
			g.Serve(context.Background(), newRequest(path))
			refusal := g.Serve(context.Background(), newRequest(path)).Err
			must.Eq(t, api.Quarantined, refusal.Kind)
			must.Between(t, quarantineDuration-time.Second, refusal.RetryAfter, quarantineDuration)
			for range 3 {
				testseed.Sleep(g.Serve(context.Background(), newRequest(path)).Err.RetryAfter + time.Second)
				before := len(f.sentTo())
				g.Serve(context.Background(), newRequest(path))
				must.Eq(t, 1, len(f.sentTo())-before, must.Sprint(path))
				refusal = g.Serve(context.Background(), newRequest(path)).Err
				must.Greater(t, quarantine.DefaultExpiry-time.Second, refusal.RetryAfter)
			}
		})
	}
}

// TestSoundRequestIsServedWhenHalfOpen guards callers of a request that was quarantined by mistake: after the quarantine it is
// answered at once, and without restrictions from then on.
func TestSoundRequestIsServedWhenHalfOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, _ := newGateway(t)
		g.AddRemoteNotice(quarantine.Notice{Fingerprint: fingerprint(newRequest("/q/1")), Until: time.Now().Add(quarantineDuration)})
		must.Eq(t, api.Quarantined, g.Serve(context.Background(), newRequest("/q/1")).Err.Kind)
		testseed.Sleep(quarantineDuration + time.Second)
		for _, maxLatency := range []time.Duration{50 * time.Millisecond, 25 * time.Millisecond} {
			begin := time.Now()
			reply := g.Serve(context.Background(), newRequest("/q/1"))
			must.Nil(t, reply.Err)
			must.Eq(t, 0, reply.Query.MissingShards)
			must.LessEq(t, maxLatency, time.Since(begin))
		}
	})
}

// fakeLinks reach replicas unless cutOff is set.
type fakeLinks struct{ cutOff atomic.Bool }

func (p *fakeLinks) CloseIdle() {}

func (p *fakeLinks) Probe(ctx context.Context, _ balancer.Server) error {
	if p.cutOff.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// TestResetLinksDoNotQuarantine guards sound requests on a VM whose connections to all replicas are reset at once: they lose
// several connections within milliseconds and get no answer, as a request does that crashes replicas. If the VM still reaches
// replicas, the request is the cause.
func TestResetLinksDoNotQuarantine(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			links := &fakeLinks{}
			links.cutOff.Store(cutOff)
			g.opts.Links = links
			g.quarantines.byRequest.SetConfirmation(g.reachesReplicas)
			f.crashAll()
			for _, path := range []string{"/q/1", "/r/1"} {
				g.Serve(context.Background(), newRequest(path))
			}
			testseed.Sleep(time.Second)
			for id := range f.responses {
				f.responses[id] = respondAfter(20*time.Millisecond, Answer{Status: 200, Body: make([]byte, 16), Signature: id}, nil)
			}
			for _, path := range []string{"/q/1", "/r/1"} {
				reply := g.Serve(context.Background(), newRequest(path))
				if cutOff {
					must.Nil(t, reply.Err, must.Sprint(path))
				} else {
					must.Eq(t, api.Quarantined, reply.Err.Kind, must.Sprint(path))
				}
			}
		})
	}
}

// TestCrashingCallerIsQuarantinedBesideSoundOnes guards replicas against a request that crashes them for one caller only, which comes again
// while others are answered on the same path: their answers must not clear it, and they must not be refused with it (BUDGET).
func TestCrashingCallerIsQuarantinedBesideSoundOnes(t *testing.T) {
	for _, path := range []string{"/q/1", "/r/1"} {
		synctest.Test(t, func(t *testing.T) {
			gateways, senders := newLinkedGateways(t, 6)
			for _, f := range senders {
				f.crashCookie = "caller=17"
			}
			sent := func(cookie string, i int) Reply {
				request := newRequest(path)
				request.Header = http.Header{"Cookie": {cookie}}
				return gateways[i%len(gateways)].Serve(context.Background(), request)
			}
			crashes := func() (n int) {
				for _, f := range senders {
					n += f.crashes()
				}
				return n
			}
			served, sound, late := 0, 0, 0
			for i := range 40 {
				for k := range 10 {
					sound++
					if sent(fmt.Sprint("caller=", k), i+k).Err == nil {
						served++
					}
					testseed.Sleep(20 * time.Millisecond)
				}
				before := crashes()
				sent("caller=17", i)
				if crashes() > before && before >= 3 {
					late++
				}
			}
			t.Logf("RESULT %s: %d crashes, %d late sends, %d of %d sound requests served", path, crashes(), late, served, sound)
			must.LessEq(t, 3, late)
			must.GreaterEq(t, sound*99/100, served)
		})
	}
}
