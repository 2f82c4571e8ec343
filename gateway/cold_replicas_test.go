package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/internal/timewindow"
	"github.com/chivemill/chivemill/residency"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

const (
	testWarmupOverage, testWarmupSlack = 1.5, 5.0
	coldFleetStep                      = 5 * time.Millisecond
)

// coldFleet simulates the balancers of a fleet, each with the shares that follow from its own view, in virtual time. The service has
// replicasPerCentre replicas in each data centre.
type coldFleet struct {
	rng      *rand.Rand
	now      time.Time
	perS     float64
	warmup   time.Duration
	counts   []int
	helpers  int
	servers  []balancer.Server
	daemons  []*balancer.Balancer
	centreOf []int
	arrived  map[string][]time.Time
	served   int
	failed   int
	due      []coldFleetEvent
	// stateHeader returns the remaining warm-up time that a response of the replica states, 0 for none.
	stateHeader func(id string, now time.Time) time.Duration
	isNear      func(balancer.Server) bool
}

type coldFleetEvent struct {
	at  time.Time
	run func(now time.Time)
}

const replicasPerCentre = 3

func newColdFleet(daemons, centres, helpers int, perS float64, isNear func(balancer.Server) bool) *coldFleet {
	f := &coldFleet{rng: rand.New(rand.NewPCG(uint64(daemons), 7)), now: time.Unix(1000, 0), perS: perS, warmup: 6 * time.Second,
		counts: make([]int, centres), helpers: helpers, arrived: make(map[string][]time.Time),
		stateHeader: func(string, time.Time) time.Duration { return 0 }, isNear: isNear}
	for c := range centres {
		for k := range replicasPerCentre {
			f.servers = append(f.servers, balancer.Server{ID: fmt.Sprintf("c%d-%d", c, k), Service: "s", Address: "10.0.0.1:1",
				DataCentre: fmt.Sprint("c", c), Slots: 1000, StartedAtMs: 1, Sequence: 1})
		}
	}
	for i := range daemons {
		f.counts[i%centres]++
		f.centreOf = append(f.centreOf, i%centres)
		b := balancer.New(f.rng.Uint64())
		b.SetConnectionShares(func(balancer.Server) balancer.ConnectionShare {
			return balancer.ConnectionShare{MaxConnections: 1000, MaxIdle: 1}
		})
		f.daemons = append(f.daemons, b)
	}
	for i := range f.daemons {
		f.setShares(i, f.counts, true)
		f.setServers(i, f.servers)
	}
	return f
}

// setShares sets the shares of a daemon that takes the data centres for having the given numbers of daemons.
func (f *coldFleet) setShares(i int, counts []int, known bool) {
	config := routing.Config{Version: 1, Services: []routing.Service{{Name: "s", WarmupTime: f.warmup, WarmupRate: f.perS}}}
	if f.helpers > 0 {
		config.Routes = []routing.Route{{Name: "q", Host: "h", Prefix: "/q/", MaxAttempts: 1, Timeout: 1, Shards: []string{"s"},
			MaxRecords: 1, RequiredCoverage: 1}}
	}
	table, err := routing.NewTable(config)
	if err != nil {
		panic(err)
	}
	view := topology.View{Table: table, Servers: f.servers, DataCentres: make(map[string]topology.DataCentre)}
	for c, n := range counts {
		centre := topology.DataCentre{Daemons: n}
		for h := range f.helpers {
			centre.Helpers = append(centre.Helpers, topology.Helper{Address: fmt.Sprintf("c%d-%d", c, h), Cores: 1})
		}
		view.DataCentres[fmt.Sprint("c", c)] = centre
	}
	if !known {
		view.DataCentres = nil
	}
	self := delegation.Self{DataCentre: fmt.Sprint("c", f.centreOf[i]), Address: fmt.Sprintf("c%d-%d", f.centreOf[i], i/len(f.counts))}
	s := newShares(view, self)
	f.daemons[i].SetRequestShares(s.requestFraction, f.now)
	f.daemons[i].SetWarmupLimits(func(server balancer.Server) balancer.WarmupLimit {
		return s.warmupLimit(server, testWarmupOverage, testWarmupSlack, f.now)
	}, f.now)
}

// setServers gives a daemon a list. All daemons prefer the near replicas, also while these are cold.
func (f *coldFleet) setServers(i int, servers []balancer.Server) {
	own := make([]balancer.Server, len(servers))
	for k, s := range servers {
		s.Distance = balancer.OtherRegion
		if f.isNear(s) {
			s.Distance = balancer.SameDataCentre
		}
		own[k] = s
	}
	f.daemons[i].SetServers(own, f.now)
}

// coldEntry returns the entry of a replica that becomes cold with the report of the sequence.
func coldEntry(s balancer.Server, sequence int64, left time.Duration) balancer.Server {
	s.Sequence, s.WarmupSequence, s.WarmupLeft = sequence, sequence, left
	return s
}

// becomesCold tells all daemons, each within the delay, that the replicas are cold for the time left from now on.
func (f *coldFleet) becomesCold(isCold func(balancer.Server) bool, sequence int64, left, delay time.Duration) {
	for k, s := range f.servers {
		if isCold(s) {
			f.servers[k] = coldEntry(s, sequence, left)
		}
	}
	servers := append([]balancer.Server(nil), f.servers...)
	for i := range f.daemons {
		f.after(time.Duration(f.rng.Float64()*float64(delay)), func(time.Time) { f.setServers(i, servers) })
	}
}

func (f *coldFleet) after(d time.Duration, run func(now time.Time)) {
	f.due = append(f.due, coldFleetEvent{f.now.Add(d), run})
}

// run simulates perSecond requests a second in total, at random daemons.
func (f *coldFleet) run(length time.Duration, perSecond float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(coldFleetStep) {
		pending := f.due
		f.due = nil
		for _, e := range pending {
			if e.at.After(f.now) {
				f.due = append(f.due, e)
			} else {
				e.run(f.now)
			}
		}
		mean := perSecond * coldFleetStep.Seconds()
		for n := mean; n > 0; n-- {
			if f.rng.Float64() < n {
				f.request(f.rng.IntN(len(f.daemons)))
			}
		}
	}
}

func (f *coldFleet) request(i int) {
	b, sentAt := f.daemons[i], f.now
	work := balancer.RequestClass{Kind: "k", TargetLatency: 300 * time.Millisecond}
	c, ok := b.Pick("s", work, nil, f.now)
	if !ok {
		f.failed++
		return
	}
	f.served++
	f.arrived[c.ID] = append(f.arrived[c.ID], f.now)
	left := f.stateHeader(c.ID, f.now)
	f.after(time.Duration(15+f.rng.IntN(30))*time.Millisecond, func(now time.Time) {
		b.Done(c.ID, "k", sentAt, balancer.Answered, now)
		if left > 0 {
			b.ReportWarmup(c.ID, 1, left, now)
			for _, u := range b.TakeLimitUpdates(now) {
				f.share(i, u)
			}
		}
	})
}

// share sends an update of one daemon to the others; one in five is lost.
func (f *coldFleet) share(from int, u balancer.LimitUpdate) {
	f.after(40*time.Millisecond, func(now time.Time) {
		for i, b := range f.daemons {
			if i != from && f.rng.Float64() >= 0.2 {
				b.ApplyLimitUpdates([]balancer.LimitUpdate{u}, now)
			}
		}
	})
}

// maxPerSecond returns the largest number of requests that one of the replicas received in any one second between two times.
func (f *coldFleet) maxPerSecond(isCold func(balancer.Server) bool, from, to time.Time) (most int) {
	for _, s := range f.servers {
		if !isCold(s) {
			continue
		}
		all := f.arrived[s.ID]
		for len(all) > 0 && !all[len(all)-1].Before(to) {
			all = all[:len(all)-1]
		}
		most = max(most, timewindow.MaxWithin(all, from, time.Second))
	}
	return most
}

func (f *coldFleet) bound() int { return int(f.perS*testWarmupOverage + testWarmupSlack) }

// demand is the number of requests a second of a fleet, of which each replica gets far more than it may receive while cold.
func (f *coldFleet) demand() float64 { return max(400, float64(len(f.daemons))) * max(1, f.perS/10) }

func isReplica(id string) func(balancer.Server) bool {
	return func(s balancer.Server) bool { return s.ID == id }
}

func isIn(centre string) func(balancer.Server) bool {
	return func(s balancer.Server) bool { return s.DataCentre == centre }
}

// coldFleetSizes holds the target fleet sizes with their data centres.
var coldFleetSizes = []struct{ daemons, centres int }{{7, 3}, {58, 6}, {195, 6}, {1400, 8}}

// TestFleetKeepsWarmupLimit guards a cold replica against the sum of what all daemons send in any one second, at each fleet size, with and
// without helpers, and also when all daemons were idle and then send at once. The other replicas serve what the cold one can't take, and
// when it is warm it gets its usual load again. The same replica becomes cold a second time without a restart.
func TestFleetKeepsWarmupLimit(t *testing.T) {
	for _, size := range coldFleetSizes {
		for _, helpers := range []int{0, 2} {
			for _, perS := range []float64{1, 10, 60} {
				f := newColdFleet(size.daemons, size.centres, helpers, perS, isReplica("c0-0"))
				name := must.Sprintf("%d daemons, %d helpers, %v a second", size.daemons, helpers, perS)
				cold := isReplica("c0-0")
				f.run(2*time.Second, f.demand())
				for sequence := int64(2); sequence <= 3; sequence++ {
					f.becomesCold(cold, sequence, 6*time.Second, 0)
					begin := f.now
					f.run(2*time.Second, f.demand())
					f.run(2*time.Second, 0)
					f.run(1900*time.Millisecond, f.demand())
					most := f.maxPerSecond(cold, begin, begin.Add(6*time.Second))
					must.LessEq(t, f.bound(), most, name, must.Sprintf("warm-up %d", sequence))
					if size.daemons == 7 && perS > 1 {
						must.GreaterEq(t, int(perS/3), most, name, must.Sprint("a cold replica gets some of the load"))
					}
					f.run(2*time.Second, f.demand())
					warm := f.now
					f.run(2*time.Second, f.demand())
					must.GreaterEq(t, int(0.5*f.demand()/float64(len(f.servers))), f.maxPerSecond(cold, warm, f.now), name, must.Sprint("warm"))
				}
				must.Eq(t, 0, f.failed, name)
			}
		}
	}
}

// TestFleetWithoutWarmupRateIsUnlimited guards deployments that don't limit cold replicas against any new limit.
func TestFleetWithoutWarmupRateIsUnlimited(t *testing.T) {
	f := newColdFleet(7, 3, 0, 0, isReplica("c0-0"))
	f.run(2*time.Second, 400)
	before := len(f.arrived["c0-0"])
	f.becomesCold(isReplica("c0-0"), 2, 6*time.Second, 0)
	for _, b := range f.daemons {
		b.SetEvacuated([]string{"c0"}, f.now)
		b.SetEvacuated(nil, f.now)
		must.False(t, b.ReportWarmup("c0-0", 1, time.Second, f.now))
		must.SliceEmpty(t, b.TakeLimitUpdates(f.now))
	}
	f.run(2*time.Second, 400)
	must.GreaterEq(t, before/2, len(f.arrived["c0-0"])-before)
}

// TestDataCentreReturnsCold guards the replicas of a data centre that all return cold when its evacuation ends. Daemons learn of the end
// up to 3 s apart, and from the list that the replicas are cold only later. The others keep the load.
func TestDataCentreReturnsCold(t *testing.T) {
	for _, size := range coldFleetSizes {
		f := newColdFleet(size.daemons, size.centres, 0, 10, isIn("c0"))
		for _, b := range f.daemons {
			b.SetEvacuated([]string{"c0"}, f.now)
		}
		f.run(2*time.Second, f.demand())
		must.Eq(t, 0, f.maxPerSecond(isIn("c0"), time.Time{}, f.now))
		begin := f.now
		for _, b := range f.daemons {
			f.after(time.Duration(f.rng.Float64()*float64(3*time.Second)), func(now time.Time) { b.SetEvacuated(nil, now) })
		}
		f.run(time.Second, f.demand())
		f.becomesCold(isIn("c0"), 2, 5*time.Second, 4*time.Second)
		f.run(4900*time.Millisecond, f.demand())
		must.LessEq(t, f.bound(), f.maxPerSecond(isIn("c0"), begin, f.now), must.Sprint(size))
		f.run(8*time.Second, f.demand())
		warm := f.now
		f.run(2*time.Second, f.demand())
		must.GreaterEq(t, int(0.5*f.demand()/float64(len(f.servers))), f.maxPerSecond(isIn("c0"), warm, f.now), must.Sprint(size))
		must.Eq(t, 0, f.failed, must.Sprint(size))
	}
}

// TestWarmupLimitWithDifferentFleetSizes guards a cold replica while daemons disagree on their number: a third has been cut off from the
// store, so that the others count two thirds, and some have just started and know no number.
func TestWarmupLimitWithDifferentFleetSizes(t *testing.T) {
	for _, size := range coldFleetSizes {
		f := newColdFleet(size.daemons, size.centres, 0, 10, isIn("c0"))
		fewer := make([]int, len(f.counts))
		for c, n := range f.counts {
			fewer[c] = max(1, n*2/3)
		}
		for i := range f.daemons {
			switch {
			case i%20 == 0:
				f.setShares(i, nil, false)
			case i%3 > 0:
				f.setShares(i, fewer, true)
			}
		}
		f.becomesCold(isIn("c0"), 2, 6*time.Second, 0)
		begin := f.now
		f.run(6*time.Second, f.demand())
		must.LessEq(t, f.bound(), f.maxPerSecond(isIn("c0"), begin, f.now), must.Sprint(size))
		must.Eq(t, 0, f.failed, must.Sprint(size))
	}
}

// TestWarmupLimitAfterMassRestart guards a cold replica while all daemons have just started and know no number, for which a request limit
// assumes a small fleet. The other replicas serve the requests.
func TestWarmupLimitAfterMassRestart(t *testing.T) {
	for _, size := range coldFleetSizes {
		f := newColdFleet(size.daemons, size.centres, 0, 10, isReplica("c0-0"))
		for i := range f.daemons {
			f.setShares(i, nil, false)
		}
		f.becomesCold(isReplica("c0-0"), 2, 8*time.Second, 0)
		begin := f.now
		f.run(3*time.Second, f.demand())
		for i := range f.daemons {
			f.after(time.Duration(f.rng.Float64()*float64(2*time.Second)), func(time.Time) { f.setShares(i, f.counts, true) })
		}
		f.run(4900*time.Millisecond, f.demand())
		must.LessEq(t, f.bound(), f.maxPerSecond(isReplica("c0-0"), begin, f.now), must.Sprint(size))
		must.Eq(t, 0, f.failed, must.Sprint(size))
	}
}

// TestColdReplicaIsKnownFromItsResponses guards a replica that becomes cold at any moment and states it in its responses: a few tenths of
// a second later, and long before the list says so, all daemons together stay within the bound. Updates between daemons get lost.
func TestColdReplicaIsKnownFromItsResponses(t *testing.T) {
	for _, size := range coldFleetSizes {
		f := newColdFleet(size.daemons, size.centres, 0, 10, isReplica("c0-0"))
		f.run(time.Second, f.demand())
		begin := f.now
		f.stateHeader = func(id string, now time.Time) time.Duration {
			if id == "c0-0" {
				return begin.Add(5 * time.Second).Sub(now)
			}
			return 0
		}
		f.run(4900*time.Millisecond, f.demand())
		most := f.maxPerSecond(isReplica("c0-0"), begin.Add(500*time.Millisecond), f.now)
		must.LessEq(t, f.bound(), most, must.Sprint(size))
		must.Eq(t, 0, f.failed, must.Sprint(size))
	}
}

// TestOnlyColdReplicasRefuseWithTimeToReturn guards callers of a service all of whose replicas are cold: a request without a permit is
// refused at once and nothing is sent. A caller that returns at the stated time is served, as is one when the replicas are warm, also by a
// daemon that may send nothing to cold replicas.
func TestOnlyColdReplicasRefuseWithTimeToReturn(t *testing.T) {
	for name, limit := range map[string]balancer.WarmupLimit{
		"own part":         {IsLimited: true, Rate: 0.5},
		"no part":          {IsLimited: true},
		"rate of the next": {IsLimited: true, Rate: 4},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := newGateway(t)
				view, _ := g.directory.View()
				now := time.Now()
				g.balancer.SetWarmupLimits(func(balancer.Server) balancer.WarmupLimit { return limit }, now)
				for k := range view.Servers {
					view.Servers[k].WarmupSequence, view.Servers[k].WarmupLeft = 1, 3*time.Second
				}
				g.balancer.SetServers(view.Servers, now)
				for path, kind := range map[string]api.Kind{"/q/1": api.Overloaded, "/o/1": api.NoReplica} {
					reply := g.Serve(context.Background(), newRequest(path))
					must.NotNil(t, reply.Err, must.Sprint(path))
					must.Eq(t, kind, reply.Err.Kind)
					must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
					must.Eq(t, now, time.Now(), must.Sprint("refused at once"))
					must.Between(t, minRetryAfterRefusal, reply.Err.RetryAfter, 6*time.Second)
					must.Len(t, 0, f.sentTo())
				}
				reply := g.Serve(context.Background(), newRequest("/o/1"))
				<-time.After(reply.Err.RetryAfter)
				reply = g.Serve(context.Background(), newRequest("/o/1"))
				must.Nil(t, reply.Err)
				<-time.After(time.Until(now.Add(3 * time.Second)))
				reply = g.Serve(context.Background(), newRequest("/q/1"))
				must.Nil(t, reply.Err, must.Sprint("the replicas are warm"))
			})
		})
	}
}

// TestLowerOfBothLimitsHolds guards a replica that is cold and names a request limit: the lower of both holds while it is cold, and its
// request limit holds afterwards, whichever ends first.
func TestLowerOfBothLimitsHolds(t *testing.T) {
	for _, c := range []struct {
		limit, warmup      float64
		whileCold, whenEnd [2]int
	}{
		{limit: 5, warmup: 50, whileCold: [2]int{12, 17}, whenEnd: [2]int{12, 17}},
		{limit: 50, warmup: 5, whileCold: [2]int{12, 17}, whenEnd: [2]int{130, 210}},
	} {
		now := time.Unix(1000, 0)
		b := balancer.New(3)
		b.SetConnectionShares(func(balancer.Server) balancer.ConnectionShare { return balancer.ConnectionShare{MaxConnections: 1000} })
		b.SetWarmupLimits(func(balancer.Server) balancer.WarmupLimit {
			return balancer.WarmupLimit{IsLimited: true, Rate: c.warmup}
		}, now)
		b.SetServers([]balancer.Server{{ID: "a", Service: "s", StartedAtMs: 1, WarmupSequence: 1, WarmupLeft: 3 * time.Second}}, now)
		b.ReportLimit("a", balancer.LimitReport{Statement: balancer.LimitNamed, Rate: c.limit, SentAt: now}, now)
		count := func(length time.Duration) (n int) {
			for end := now.Add(length); now.Before(end); now = now.Add(5 * time.Millisecond) {
				if _, ok := b.Pick("s", balancer.RequestClass{Kind: "k"}, nil, now); ok {
					n++
				}
			}
			return n
		}
		must.Between(t, c.whileCold[0], count(3*time.Second), c.whileCold[1], must.Sprintf("%+v", c))
		must.Between(t, c.whenEnd[0], count(3*time.Second), c.whenEnd[1], must.Sprintf("%+v", c))
		delay, ok := b.RequestDelay("s", residency.Regions{}, now)
		must.True(t, ok)
		must.Less(t, time.Second, delay)
	}
	// The limit ends while the replica is cold.
	now := time.Unix(1000, 0)
	b := balancer.New(3)
	b.SetConnectionShares(func(balancer.Server) balancer.ConnectionShare { return balancer.ConnectionShare{MaxConnections: 1000} })
	b.SetWarmupLimits(func(balancer.Server) balancer.WarmupLimit { return balancer.WarmupLimit{IsLimited: true, Rate: 10} }, now)
	b.SetServers([]balancer.Server{{ID: "a", Service: "s", StartedAtMs: 1, WarmupSequence: 1, WarmupLeft: 3 * time.Second}}, now)
	b.ReportLimit("a", balancer.LimitReport{Statement: balancer.LimitNamed, Rate: 2, SentAt: now}, now)
	b.ReportLimit("a", balancer.LimitReport{SentAt: now.Add(time.Millisecond)}, now.Add(2*time.Millisecond))
	n := 0
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
		if _, ok := b.Pick("s", balancer.RequestClass{Kind: "k"}, nil, now); ok {
			n++
		}
	}
	must.Between(t, 17, n, 23)
}

// TestColdReplicasWaitForNumberOfDaemons guards cold replicas while the number of daemons is unknown, or has just become known and may be
// incomplete: this daemon sends nothing to them.
func TestColdReplicasWaitForNumberOfDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		g.opts.WarmupOverage, g.opts.WarmupSlack, g.daemonsKnownSince = testWarmupOverage, testWarmupSlack, time.Time{}
		s := &shares{daemons: 1, warmups: map[string]routing.Service{"o": {WarmupRate: 100}}}
		g.setShares(s)
		view, _ := g.directory.View()
		for k := range view.Servers {
			view.Servers[k].WarmupSequence, view.Servers[k].WarmupLeft = 1, 20*time.Second
		}
		g.balancer.SetServers(view.Servers, time.Now())
		allows := func(want bool) {
			t.Helper()
			before := len(f.sentTo())
			reply := g.Serve(context.Background(), newRequest("/o/1"))
			must.Eq(t, want, reply.Err == nil)
			must.Eq(t, want, len(f.sentTo()) > before)
		}
		<-time.After(5 * time.Second)
		allows(false)
		known := *s
		known.daemonsKnown = true
		g.setShares(&known)
		<-time.After(warmupSettleTime - time.Millisecond)
		allows(false)
		<-time.After(100 * time.Millisecond)
		allows(true)
	})
}
