package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/timewindow"
	"github.com/chivemill/chivemill/residency"
)

// limitedFleet simulates daemons with a common demand on a service of which one replica names a request limit.
type limitedFleet struct {
	rng     *rand.Rand
	now     time.Time
	daemons []*Balancer
	limit   float64
	arrived []time.Time
	// due holds the responses and updates that are on their way.
	due []limitedFleetEvent
}

type limitedFleetEvent struct {
	at  time.Time
	run func(now time.Time)
}

const (
	limitedFleetStep = 5 * time.Millisecond
	// limitedFleetLoss is the fraction of the updates that get lost.
	limitedFleetLoss = 0.2
)

func newLimitedFleet(daemons int, seed uint64) *limitedFleet {
	f := &limitedFleet{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), daemons: make([]*Balancer, daemons)}
	for i := range f.daemons {
		f.restart(i)
	}
	return f
}

// restart replaces a daemon by one that knows nothing.
func (f *limitedFleet) restart(i int) {
	b := New(f.rng.Uint64())
	b.SetServers([]Server{
		{ID: "limited", Service: "s", Address: "10.0.0.1:1", Slots: 5, StartedAtMs: 1},
		{ID: "other", Service: "s", Address: "10.0.0.2:1", Distance: OtherRegion, Slots: 5, StartedAtMs: 1},
	}, f.now)
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8, MaxIdle: 8} })
	b.SetRequestShares(func(Server) float64 { return 1 / float64(len(f.daemons)) }, f.now)
	f.daemons[i] = b
}

func (f *limitedFleet) after(d time.Duration, run func(now time.Time)) {
	f.due = append(f.due, limitedFleetEvent{f.now.Add(d), run})
}

// run simulates the fleet with perSecond requests a second in total, of which the first daemon gets the share first.
func (f *limitedFleet) run(length time.Duration, perSecond, first float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(limitedFleetStep) {
		kept := f.due[:0:0]
		pending := f.due
		f.due = nil
		for _, e := range pending {
			if e.at.After(f.now) {
				kept = append(kept, e)
				continue
			}
			e.run(f.now)
		}
		f.due = append(f.due, kept...)
		for f.rng.Float64() < perSecond*limitedFleetStep.Seconds()/(1+perSecond*limitedFleetStep.Seconds()) {
			i := 0
			if f.rng.Float64() >= first {
				i = f.rng.IntN(len(f.daemons))
			}
			f.request(f.daemons[i])
		}
		if f.now.UnixMilli()%40 == 0 {
			f.exchange()
		}
	}
}

func (f *limitedFleet) request(b *Balancer) {
	sentAt := f.now
	c, ok := b.Pick("s", testWork, nil, f.now)
	if !ok {
		return
	}
	report := LimitReport{SentAt: sentAt}
	if c.ID == "limited" {
		f.arrived = append(f.arrived, f.now)
		if f.limit > 0 {
			report.Statement, report.Rate = LimitNamed, f.limit
		}
	}
	f.after(time.Duration(20+f.rng.IntN(60))*time.Millisecond, func(now time.Time) {
		b.Done(c.ID, testWork.Kind, sentAt, Answered, now)
		b.ReportLimit(c.ID, report, now)
	})
}

// exchange sends the updates of all daemons to all others, with delay and loss.
func (f *limitedFleet) exchange() {
	for i, sender := range f.daemons {
		updates := sender.TakeLimitUpdates(f.now)
		if len(updates) == 0 {
			continue
		}
		for j := range f.daemons {
			if i == j || f.rng.Float64() < limitedFleetLoss {
				continue
			}
			f.after(time.Duration(5+f.rng.IntN(40))*time.Millisecond, func(now time.Time) { f.daemons[j].ApplyLimitUpdates(updates, now) })
		}
	}
}

// maxArrivals returns the largest number of requests to the limited replica within 4 s after a time.
func (f *limitedFleet) maxArrivals(after time.Time) int {
	return timewindow.MaxWithin(f.arrived, after, 4*time.Second)
}

// TestFleetKeepsRequestLimit guards a replica in need against the sum of what all daemons send: in any 4 s it gets at most
// one and a half times what its limit allows and 5 requests more, at any fleet size, with lost updates, uneven demand,
// restarts and a demand that pauses. When the limit has ended, the replica gets its usual load again.
func TestFleetKeepsRequestLimit(t *testing.T) {
	for _, c := range []struct {
		daemons               int
		limit, perSecond, own float64
	}{{1, 30, 100, 0}, {7, 30, 100, 0}, {7, 30, 100, 0.5}, {7, 2, 100, 0.5}, {40, 12, 150, 0.2}, {195, 30, 300, 0.1}} {
		f := newLimitedFleet(c.daemons, 1)
		f.run(3*time.Second, c.perSecond, c.own)
		f.limit = c.limit
		begin := f.now
		f.run(8*time.Second, c.perSecond, c.own)
		f.restart(0)
		f.run(4*time.Second, c.perSecond, c.own)
		f.run(20*time.Second, 0, 0)
		f.run(6*time.Second, c.perSecond, c.own)
		name := must.Sprintf("%+v", c)
		must.LessEq(t, int(1.5*c.limit*4)+5, f.maxArrivals(begin.Add(2*time.Second)), name)
		f.limit = 0
		f.run(5*time.Second, c.perSecond, c.own)
		ended := f.now
		f.run(5*time.Second, c.perSecond, c.own)
		must.Greater(t, int(2*c.limit*4), f.maxArrivals(ended), name, must.Sprint("after the limit has ended"))
	}
}

func limitedBalancer(now time.Time) *Balancer {
	b := New(1)
	b.SetServers([]Server{{ID: "a", Service: "s", Slots: 4, StartedAtMs: 1}}, now)
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8, MaxIdle: 8} })
	return b
}

// TestLimitEndsOnlyWithLaterResponse guards a limit against the response to a concurrent request that the replica gave before
// it named the limit, and against values that cannot be read.
func TestLimitEndsOnlyWithLaterResponse(t *testing.T) {
	now := time.Unix(1000, 0)
	b := limitedBalancer(now)
	event, ok := b.ReportLimit("a", LimitReport{Statement: LimitNamed, Rate: 2, SentAt: now}, now.Add(20*time.Millisecond))
	must.True(t, ok)
	must.Eq(t, 2, event.Rate)
	_, ok = b.ReportLimit("a", LimitReport{SentAt: now.Add(10 * time.Millisecond)}, now.Add(30*time.Millisecond))
	must.False(t, ok, must.Sprint("the request was sent before the limit was named"))
	_, ok = b.ReportLimit("a", LimitReport{Statement: LimitUnreadable, SentAt: now.Add(time.Second)}, now.Add(2*time.Second))
	must.False(t, ok)
	must.Eq(t, 2, b.replicas["a"].limit.current(now.Add(2*time.Second)))
	event, ok = b.ReportLimit("a", LimitReport{SentAt: now.Add(2 * time.Second)}, now.Add(3*time.Second))
	must.True(t, ok)
	must.Eq(t, LimitEvent{Server: b.replicas["a"].Server, Previous: 2}, event)
	must.Eq(t, []LimitUpdate{{Replica: "a", StartedAtMs: 1, Ended: true}}, b.TakeLimitUpdates(now.Add(3*time.Second)))
}

// TestLimitOfAnotherDaemon checks which limits of other daemons apply: not those of another start of the replica or with
// impossible values, and not against what a response has just told this daemon.
func TestLimitOfAnotherDaemon(t *testing.T) {
	now := time.Unix(1000, 0)
	b := limitedBalancer(now)
	for _, u := range []LimitUpdate{
		{Replica: "unknown", StartedAtMs: 1, Rate: 3}, {Replica: "a", StartedAtMs: 2, Rate: 3}, {Replica: "a", StartedAtMs: 1},
		{Replica: "a", StartedAtMs: 1, Rate: -1}, {Replica: "a", StartedAtMs: 1, Rate: math.Inf(1)}, {Replica: "a", StartedAtMs: 1, Rate: math.NaN()},
	} {
		must.Len(t, 0, b.ApplyLimitUpdates([]LimitUpdate{u}, now), must.Sprintf("%+v", u))
	}
	events := b.ApplyLimitUpdates([]LimitUpdate{{Replica: "a", StartedAtMs: 1, Rate: 3}}, now)
	must.Len(t, 1, events)
	must.Eq(t, 3, events[0].Rate)
	must.Len(t, 0, b.TakeLimitUpdates(now), must.Sprint("what others sent is not sent again"))
	must.Eq(t, 3, b.replicas["a"].limit.current(now.Add(minLimitLifetime-1)))
	must.Eq(t, 0, b.replicas["a"].limit.current(now.Add(minLimitLifetime)), must.Sprint("a limit that nobody names any more ends"))
	b.ReportLimit("a", LimitReport{Statement: LimitNamed, Rate: 4, SentAt: now}, now)
	must.Len(t, 0, b.ApplyLimitUpdates([]LimitUpdate{{Replica: "a", StartedAtMs: 1, Ended: true}}, now.Add(localPrecedence/2)))
	must.Len(t, 1, b.ApplyLimitUpdates([]LimitUpdate{{Replica: "a", StartedAtMs: 1, Ended: true}}, now.Add(localPrecedence)))
}

// TestRequestDelay checks the time that callers are told to wait while a limit leaves no room.
func TestRequestDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	b := limitedBalancer(now)
	delay, ok := b.RequestDelay("s", residency.Regions{}, now)
	must.True(t, ok)
	must.Eq(t, 0, delay)
	b.ReportLimit("a", LimitReport{Statement: LimitNamed, Rate: 2, SentAt: now}, now)
	for range 2 {
		delay, ok = b.RequestDelay("s", residency.Regions{}, now)
		must.True(t, ok)
		must.Between(t, time.Millisecond, delay, 500*time.Millisecond)
		must.Eq(t, 0, b.CountAvailable([]string{"s"}, residency.Regions{}, now))
		now = now.Add(delay)
		must.Eq(t, 1, b.CountAvailable([]string{"s"}, residency.Regions{}, now))
		_, ok = b.Pick("s", testWork, nil, now)
		must.True(t, ok)
	}
	_, ok = b.RequestDelay("unknown", residency.Regions{}, now)
	must.False(t, ok)
}
