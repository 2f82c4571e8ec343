package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// world drives a balancer in virtual time against replicas with a latency and a fault each.
type world struct {
	b   *Balancer
	now time.Time
	// answer returns the time and the outcome of an attempt that begins at now.
	answer map[string]func(now time.Time) (time.Duration, Outcome)
	ends   []ending
}

type ending struct {
	at, begin time.Time
	id        string
	outcome   Outcome
}

var testWork = Work{Kind: "query", Target: 300 * time.Millisecond}

func replicas(ids ...string) []Server {
	var all []Server
	for i, id := range ids {
		distance := SameDataCentre
		if i > 0 {
			distance = OtherRegion
		}
		all = append(all, Server{ID: id, Service: "s", Address: "10.0.0.1:1", Distance: distance, Slots: 5})
	}
	return all
}

func newWorld(servers []Server) *world {
	w := &world{b: New(1), now: time.Unix(1000, 0), answer: make(map[string]func(time.Time) (time.Duration, Outcome))}
	w.b.SetShares(func(Server) Share { return Share{Connections: 8, Idle: 8} })
	w.b.SetServers(servers, w.now)
	for _, s := range servers {
		w.answer[s.ID] = func(time.Time) (time.Duration, Outcome) { return 28*time.Millisecond + 2*linkOf(s), Answered }
	}
	return w
}

func linkOf(s Server) time.Duration { return (&replica{Server: s}).link() / 2 }

// run sends an attempt each interval for a time and returns how many each replica got.
func (w *world) run(d, interval time.Duration) map[string]int {
	counts := make(map[string]int)
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(interval) {
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.at.After(w.now) {
				kept = append(kept, e)
				continue
			}
			w.b.Done(e.id, testWork.Kind, e.begin, e.outcome, e.at)
		}
		w.ends = kept
		c, ok := w.b.Pick("s", testWork, nil, w.now)
		if !ok {
			counts[""]++
			continue
		}
		counts[c.ID]++
		took, outcome := w.answer[c.ID](w.now)
		w.ends = append(w.ends, ending{w.now.Add(took), w.now, c.ID, outcome})
	}
	return counts
}

// TestNearFirst guards the bytes between regions in calm times.
func TestNearFirst(t *testing.T) {
	w := newWorld(replicas("near", "far1", "far2"))
	counts := w.run(10*time.Second, 20*time.Millisecond)
	must.Eq(t, 500, counts["near"])
}

// TestSilentReplicaIsPassedOver answers the pattern of replicas that go dark: after the first silent attempt only
// single trials are lost.
func TestSilentReplicaIsPassedOver(t *testing.T) {
	w := newWorld(replicas("near", "far1", "far2"))
	w.run(2*time.Second, 20*time.Millisecond)
	w.answer["near"] = func(time.Time) (time.Duration, Outcome) { return 170 * time.Millisecond, Abandoned }
	counts := w.run(4*time.Second, 20*time.Millisecond)
	// The attempts of the first 84 ms go out before the silence shows; then trials after pauses of 150, 300, 600 ms.
	must.LessEq(t, 12, counts["near"])
	w.answer["near"] = func(time.Time) (time.Duration, Outcome) { return 28 * time.Millisecond, Answered }
	w.run(8*time.Second, 20*time.Millisecond)
	counts = w.run(2*time.Second, 20*time.Millisecond)
	must.GreaterEq(t, 90, counts["near"], must.Sprint("the replica is used again"))
}

// TestPauseOfACrashedReplicaDoubles answers the pattern of replicas that are down and refuse connections at once: the
// trials that follow each pause fail within it, and still double it.
func TestPauseOfACrashedReplicaDoubles(t *testing.T) {
	w := newWorld(replicas("near", "far1", "far2"))
	w.run(2*time.Second, 20*time.Millisecond)
	w.answer["near"] = func(time.Time) (time.Duration, Outcome) { return time.Millisecond, Broken }
	counts := w.run(6*time.Second, 20*time.Millisecond)
	// Pauses of 0.15, 0.3, 0.6, 1.2 and then 1.6 s.
	must.LessEq(t, 8, counts["near"])
}

// TestShortPauseIsSeenInFlight answers the pattern of replicas that pause for 300 ms: an attempt that is open for longer
// than three times the expected time already counts.
func TestShortPauseIsSeenInFlight(t *testing.T) {
	w := newWorld(replicas("near", "far1"))
	w.run(2*time.Second, 20*time.Millisecond)
	end := w.now.Add(300 * time.Millisecond)
	w.answer["near"] = func(now time.Time) (time.Duration, Outcome) {
		return max(28*time.Millisecond, end.Sub(now)+28*time.Millisecond), Answered
	}
	counts := w.run(300*time.Millisecond, 20*time.Millisecond)
	must.LessEq(t, 6, counts["near"])
}

// TestBusyReplicaIsNotSilent answers the pattern of the last sound replica of a shard under load: it keeps some attempts
// for long and answers others, so it is not passed over for replicas that refuse.
func TestBusyReplicaIsNotSilent(t *testing.T) {
	w := newWorld(replicas("near", "far1"))
	n := 0
	w.answer["near"] = func(time.Time) (time.Duration, Outcome) { return 2 * time.Millisecond, Refused }
	w.answer["far1"] = func(time.Time) (time.Duration, Outcome) {
		n++
		if n%4 == 0 {
			return 200 * time.Millisecond, Abandoned
		}
		return 70 * time.Millisecond, Answered
	}
	w.run(4*time.Second, 20*time.Millisecond)
	counts := w.run(4*time.Second, 20*time.Millisecond)
	must.GreaterEq(t, 180, counts["far1"], must.Sprint(counts))
}

// TestRefusingReplicasAreAskedLess answers the pattern of replicas that refuse 60% while their health is good: the one
// that serves gets most first attempts.
func TestRefusingReplicasAreAskedLess(t *testing.T) {
	w := newWorld(replicas("near", "far1", "far2"))
	n := 0
	shed := func(time.Time) (time.Duration, Outcome) {
		n++
		if n%5 < 3 {
			return 5 * time.Millisecond, Refused
		}
		return 40 * time.Millisecond, Answered
	}
	w.answer["near"], w.answer["far1"] = shed, shed
	w.run(time.Second, 20*time.Millisecond)
	counts := w.run(6*time.Second, 20*time.Millisecond)
	must.GreaterEq(t, 210, counts["far2"], must.Sprint(counts))
}

// TestSlowReplicaIsAvoidedAndReturns answers the pattern of replicas that work eight times as long.
func TestSlowReplicaIsAvoidedAndReturns(t *testing.T) {
	w := newWorld(replicas("near", "far1", "far2"))
	w.run(2*time.Second, 40*time.Millisecond)
	w.answer["near"] = func(time.Time) (time.Duration, Outcome) { return 230 * time.Millisecond, Answered }
	counts := w.run(8*time.Second, 40*time.Millisecond)
	must.LessEq(t, 60, counts["near"], must.Sprint(counts))
	w.answer["near"] = func(time.Time) (time.Duration, Outcome) { return 28 * time.Millisecond, Answered }
	w.run(6*time.Second, 40*time.Millisecond)
	counts = w.run(2*time.Second, 40*time.Millisecond)
	must.GreaterEq(t, 45, counts["near"])
}

// TestUnusableReplicas guards replicas that drain, that are gone, that have no room, and that were tried.
func TestUnusableReplicas(t *testing.T) {
	b := New(1)
	now := time.Unix(1000, 0)
	b.SetShares(func(Server) Share { return Share{Connections: 1, Idle: 1} })
	servers := replicas("a", "b", "c", "d")
	servers[0].State = Draining
	b.SetServers(servers, now)
	must.Eq(t, 1, b.Room([]string{"s", "unknown"}, now))
	first, ok := b.Pick("s", testWork, []string{"c", "d"}, now)
	must.True(t, ok)
	must.Eq(t, "b", first.ID)
	_, ok = b.Pick("s", testWork, []string{"c", "d"}, now)
	must.False(t, ok, must.Sprint("b has no room"))
	must.Eq(t, Left, b.Done("b", testWork.Kind, now, Gone, now))
	_, ok = b.Pick("s", testWork, []string{"c", "d"}, now)
	must.False(t, ok, must.Sprint("b is gone"))
	servers[1].Born = 7
	b.SetServers(servers, now)
	_, ok = b.Pick("s", testWork, []string{"c", "d"}, now)
	must.True(t, ok, must.Sprint("b started again"))
}

// TestSaturated guards the difference between replicas that refuse since they are full and ones that refuse with hardly a
// queue: only the former are helped by less load.
func TestSaturated(t *testing.T) {
	b, now := New(1), time.Unix(1000, 0)
	b.SetShares(func(Server) Share { return Share{Connections: 8, Idle: 8} })
	b.SetServers(replicas("a", "b"), now)
	must.False(t, b.Saturated("s", now), must.Sprint("no report"))
	b.Report("a", Load{Running: 5, Waiting: 8, Slots: 5}, now)
	must.True(t, b.Saturated("s", now))
	b.Report("b", Load{Running: 5, Waiting: 1, Slots: 5}, now)
	must.False(t, b.Saturated("s", now), must.Sprint("b has one soon"))
	b.Report("b", Load{Running: 5, Waiting: 5, Slots: 5}, now)
	must.True(t, b.Saturated("s", now))
	must.False(t, b.Saturated("s", now.Add(2*freshReport)), must.Sprint("old reports"))
}

// TestLeavingReplicaIsTheLastResort answers the pattern of a planned removal beside a failure: while the other replicas of
// a shard are silent, one that leaves gets new work, and none once its time is over or while the others are well.
func TestLeavingReplicaIsTheLastResort(t *testing.T) {
	servers := replicas("leaving", "far1", "far2")
	w := newWorld(servers)
	w.b.UseLeaving(4 * time.Second)
	w.run(time.Second, 20*time.Millisecond)
	servers[0].State, servers[0].ReadyAt = Draining, w.now.Add(-time.Second)
	w.b.SetServers(servers, w.now)
	counts := w.run(time.Second, 20*time.Millisecond)
	must.Eq(t, 0, counts["leaving"], must.Sprint(counts))
	silent := func(time.Time) (time.Duration, Outcome) { return 200 * time.Millisecond, Broken }
	w.answer["far1"], w.answer["far2"] = silent, silent
	counts = w.run(time.Second, 20*time.Millisecond)
	must.GreaterEq(t, 35, counts["leaving"], must.Sprint(counts))
	w.run(time.Second, 20*time.Millisecond)
	counts = w.run(time.Second, 20*time.Millisecond)
	must.Eq(t, 0, counts["leaving"], must.Sprint("its time is over: ", counts))
}

// TestHealthTravels answers the pattern of many daemons that each meet a replica once a second: what one of them learns
// keeps the others from losing a request, and ends when the replica is well.
func TestHealthTravels(t *testing.T) {
	servers := replicas("near", "far1")
	one, other := newWorld(servers), newWorld(servers)
	one.run(2*time.Second, 20*time.Millisecond)
	other.run(2*time.Second, 20*time.Millisecond)
	must.Nil(t, one.b.TakeNews(one.now), must.Sprint("a calm replica is no news"))
	one.answer["near"] = func(time.Time) (time.Duration, Outcome) { return 170 * time.Millisecond, Abandoned }
	one.run(300*time.Millisecond, 20*time.Millisecond)
	news := one.b.TakeNews(one.now)
	must.Len(t, 1, news)
	must.Eq(t, "near", news[0].Replica)
	must.Eq(t, 0, other.b.Hear(news, other.now), must.Sprint("an answer of just now outweighs it"))
	other.now = other.now.Add(time.Second)
	must.Eq(t, 1, other.b.Hear(news, other.now))
	c, ok := other.b.Pick("s", testWork, nil, other.now)
	must.True(t, ok)
	must.Eq(t, "far1", c.ID)
	must.Eq(t, 0, other.b.Hear([]Health{{Replica: "unknown"}, {Replica: "near", Slowness: -1}}, other.now))
}

// TestStatuses guards the status page: each replica has one condition of the closed list.
func TestStatuses(t *testing.T) {
	b := New(1)
	now := time.Unix(1000, 0)
	b.SetServers(replicas("a", "b"), now)
	for _, s := range b.Statuses(now) {
		must.SliceContains(t, Conditions(), s.Condition())
	}
}

// BenchmarkPick is the price of a choice among the replicas of one shard and of one large service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
			}
			w := newWorld(replicas(ids...))
			for b.Loop() {
				c, _ := w.b.Pick("s", testWork, nil, w.now)
				w.b.Done(c.ID, testWork.Kind, w.now, Answered, w.now)
			}
		})
	}
}

// TestFleetSpreadsItsLoad answers the pattern of a fleet that all learned the same of a service, half of whose replicas
// are slow: the daemons, each with a request now and then, share the others evenly and do not all choose the same one.
func TestFleetSpreadsItsLoad(t *testing.T) {
	const (
		daemons, size = 195, 22
		// mostOfMean is how much more than the mean one replica may get.
		mostOfMean = 1.5
	)
	servers := make([]Server, size)
	var news []Health
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprint("r", i), Service: "s", Address: "10.0.0.1:1", Distance: SameRegion, Slots: 2}
		if i%2 == 0 {
			news = append(news, Health{Replica: servers[i].ID, Slowness: 8})
		}
	}
	now := time.Unix(1000, 0)
	var fleet []*Balancer
	for d := range daemons {
		b := New(uint64(d))
		b.SetShares(func(Server) Share { return Share{Connections: 4, Idle: 4} })
		b.SetServers(servers, now)
		fleet = append(fleet, b)
	}
	counts := make(map[string]int)
	const rounds = 40
	for range rounds {
		for _, b := range fleet {
			b.Hear(news, now)
			c, ok := b.Pick("s", testWork, nil, now)
			must.True(t, ok)
			counts[c.ID]++
			// The times of equally fast replicas differ by a fifth from request to request.
			took := time.Duration(100+7*(counts[c.ID]%4)) * time.Millisecond
			b.Report(c.ID, Load{Running: 1, Slots: 2}, now.Add(took))
			b.Done(c.ID, testWork.Kind, now, Answered, now.Add(took))
		}
		now = now.Add(time.Second)
	}
	for id, n := range counts {
		must.LessEq(t, mostOfMean*daemons*rounds/(size/2), float64(n), must.Sprint(id))
	}
}
