package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/residency"
)

// simulation runs a balancer in virtual time against replicas with configurable latency and outcome.
type simulation struct {
	b   *Balancer
	now time.Time
	// respond returns the duration and outcome of an attempt that starts at now, per replica.
	respond map[string]func(now time.Time) (time.Duration, Outcome)
	pending []completion
}

type completion struct {
	at, startedAt time.Time
	id            string
	outcome       Outcome
}

var testWork = RequestClass{Kind: "query", TargetLatency: 300 * time.Millisecond}

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

func newSimulation(servers []Server) *simulation {
	w := &simulation{b: New(1), now: time.Unix(1000, 0), respond: make(map[string]func(time.Time) (time.Duration, Outcome))}
	w.b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8, MaxIdle: 8} })
	w.b.SetServers(servers, w.now)
	for _, s := range servers {
		w.respond[s.ID] = func(time.Time) (time.Duration, Outcome) { return 28*time.Millisecond + 2*oneWayDelay(s), Answered }
	}
	return w
}

func oneWayDelay(s Server) time.Duration { return (&replica{Server: s}).assumedRTT() / 2 }

// run starts an attempt per interval for the duration d and returns the number of attempts per replica. The key ""
// counts failed picks.
func (w *simulation) run(d, interval time.Duration) map[string]int {
	counts := make(map[string]int)
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(interval) {
		kept := w.pending[:0]
		for _, e := range w.pending {
			if e.at.After(w.now) {
				kept = append(kept, e)
				continue
			}
			w.b.Done(e.id, testWork.Kind, e.startedAt, e.outcome, e.at)
		}
		w.pending = kept
		c, ok := w.b.Pick("s", testWork, nil, w.now)
		if !ok {
			counts[""]++
			continue
		}
		counts[c.ID]++
		took, outcome := w.respond[c.ID](w.now)
		w.pending = append(w.pending, completion{w.now.Add(took), w.now, c.ID, outcome})
	}
	return counts
}

// TestPrefersNearReplica guards against unnecessary traffic between regions while all replicas are healthy.
func TestPrefersNearReplica(t *testing.T) {
	w := newSimulation(replicas("near", "far1", "far2"))
	counts := w.run(10*time.Second, 20*time.Millisecond)
	must.Eq(t, 500, counts["near"])
}

// TestAvoidsUnresponsiveReplica guards against losing requests to a replica that stops responding: once the first
// attempts time out, only single probes after each pause may be lost.
func TestAvoidsUnresponsiveReplica(t *testing.T) {
	w := newSimulation(replicas("near", "far1", "far2"))
	w.run(2*time.Second, 20*time.Millisecond)
	w.respond["near"] = func(time.Time) (time.Duration, Outcome) { return 170 * time.Millisecond, Abandoned }
	counts := w.run(4*time.Second, 20*time.Millisecond)
	// Attempts started in the first 84 ms precede the detection. Single probes follow after pauses of 150, 300 and
	// 600 ms.
	must.LessEq(t, 12, counts["near"])
	w.respond["near"] = func(time.Time) (time.Duration, Outcome) { return 28 * time.Millisecond, Answered }
	w.run(8*time.Second, 20*time.Millisecond)
	counts = w.run(2*time.Second, 20*time.Millisecond)
	must.GreaterEq(t, 90, counts["near"], must.Sprint("the replica must be used again"))
}

// TestPauseDoublesForCrashedReplica guards against a constant pause for a crashed replica that refuses connections
// immediately: each probe fails within the pause that it started, and must still double it.
func TestPauseDoublesForCrashedReplica(t *testing.T) {
	w := newSimulation(replicas("near", "far1", "far2"))
	w.run(2*time.Second, 20*time.Millisecond)
	w.respond["near"] = func(time.Time) (time.Duration, Outcome) { return time.Millisecond, ConnectionFailed }
	counts := w.run(6*time.Second, 20*time.Millisecond)
	// The pauses are 0.15, 0.3, 0.6, 1.2 and then 1.6 s.
	must.LessEq(t, 8, counts["near"])
}

// TestDetectsStallFromInFlightAttempts guards against sending requests to a replica that stalls for 300 ms. The
// stall must be detected from attempts still in flight, once one is older than three times the expected latency.
func TestDetectsStallFromInFlightAttempts(t *testing.T) {
	w := newSimulation(replicas("near", "far1"))
	w.run(2*time.Second, 20*time.Millisecond)
	end := w.now.Add(300 * time.Millisecond)
	w.respond["near"] = func(now time.Time) (time.Duration, Outcome) {
		return max(28*time.Millisecond, end.Sub(now)+28*time.Millisecond), Answered
	}
	counts := w.run(300*time.Millisecond, 20*time.Millisecond)
	must.LessEq(t, 6, counts["near"])
}

// TestBusyReplicaIsNotUnresponsive guards against avoiding the last healthy replica of a shard under load. It holds
// some attempts for long but answers others, so it must stay preferred over replicas that refuse requests.
func TestBusyReplicaIsNotUnresponsive(t *testing.T) {
	w := newSimulation(replicas("near", "far1"))
	n := 0
	w.respond["near"] = func(time.Time) (time.Duration, Outcome) { return 2 * time.Millisecond, Refused }
	w.respond["far1"] = func(time.Time) (time.Duration, Outcome) {
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

// TestRefusingReplicasGetFewerAttempts guards against replicas that refuse 60% of the attempts although they look
// healthy: the replica that serves requests must get most first attempts.
func TestRefusingReplicasGetFewerAttempts(t *testing.T) {
	w := newSimulation(replicas("near", "far1", "far2"))
	n := 0
	refuseMost := func(time.Time) (time.Duration, Outcome) {
		n++
		if n%5 < 3 {
			return 5 * time.Millisecond, Refused
		}
		return 40 * time.Millisecond, Answered
	}
	w.respond["near"], w.respond["far1"] = refuseMost, refuseMost
	w.run(time.Second, 20*time.Millisecond)
	counts := w.run(6*time.Second, 20*time.Millisecond)
	must.GreaterEq(t, 210, counts["far2"], must.Sprint(counts))
}

// TestAvoidsSlowReplicaUntilItRecovers guards against using a replica that takes eight times as long, and against
// avoiding it after it has recovered.
func TestAvoidsSlowReplicaUntilItRecovers(t *testing.T) {
	w := newSimulation(replicas("near", "far1", "far2"))
	w.run(2*time.Second, 40*time.Millisecond)
	w.respond["near"] = func(time.Time) (time.Duration, Outcome) { return 230 * time.Millisecond, Answered }
	counts := w.run(8*time.Second, 40*time.Millisecond)
	must.LessEq(t, 60, counts["near"], must.Sprint(counts))
	w.respond["near"] = func(time.Time) (time.Duration, Outcome) { return 28 * time.Millisecond, Answered }
	w.run(6*time.Second, 40*time.Millisecond)
	counts = w.run(2*time.Second, 40*time.Millisecond)
	must.GreaterEq(t, 45, counts["near"])
}

// TestPickSkipsUnavailableReplicas checks that Pick skips replicas that are draining, removed, excluded or out of
// connections.
func TestPickSkipsUnavailableReplicas(t *testing.T) {
	b := New(1)
	now := time.Unix(1000, 0)
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 1, MaxIdle: 1} })
	servers := replicas("a", "b", "c", "d")
	servers[0].State = Draining
	b.SetServers(servers, now)
	must.Eq(t, 1, b.CountAvailable([]string{"s", "unknown"}, residency.Regions{}, now))
	first, ok := b.Pick("s", testWork, []string{"c", "d"}, now)
	must.True(t, ok)
	must.Eq(t, "b", first.ID)
	_, ok = b.Pick("s", testWork, []string{"c", "d"}, now)
	must.False(t, ok, must.Sprint("b has no free connection"))
	must.Eq(t, Removed, b.Done("b", testWork.Kind, now, ReplicaRemoved, now))
	_, ok = b.Pick("s", testWork, []string{"c", "d"}, now)
	must.False(t, ok, must.Sprint("b was removed"))
	servers[1].StartedAtMs = 7
	b.SetServers(servers, now)
	_, ok = b.Pick("s", testWork, []string{"c", "d"}, now)
	must.True(t, ok, must.Sprint("b was restarted"))
}

// TestSaturated checks that replicas with a full queue are distinguished from replicas that refuse with a short
// queue: reducing the load helps only the former.
func TestSaturated(t *testing.T) {
	b, now := New(1), time.Unix(1000, 0)
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8, MaxIdle: 8} })
	b.SetServers(replicas("a", "b"), now)
	must.False(t, b.Saturated("s", now), must.Sprint("no load report"))
	b.ReportLoad("a", Load{Running: 5, Waiting: 8, Slots: 5}, now)
	must.True(t, b.Saturated("s", now))
	b.ReportLoad("b", Load{Running: 5, Waiting: 1, Slots: 5}, now)
	must.False(t, b.Saturated("s", now), must.Sprint("b has a short queue"))
	b.ReportLoad("b", Load{Running: 5, Waiting: 5, Slots: 5}, now)
	must.True(t, b.Saturated("s", now))
	must.False(t, b.Saturated("s", now.Add(2*maxLoadAge)), must.Sprint("reports are stale"))
}

// TestDrainingReplicaIsLastResort covers a planned removal that coincides with a failure: a draining replica gets
// new work while the other replicas of the shard are unresponsive, but none while they are healthy or after its
// grace period.
func TestDrainingReplicaIsLastResort(t *testing.T) {
	servers := replicas("leaving", "far1", "far2")
	w := newSimulation(servers)
	w.b.SetDrainingGrace(4 * time.Second)
	w.run(time.Second, 20*time.Millisecond)
	servers[0].State, servers[0].LastReadyAt = Draining, w.now.Add(-time.Second)
	w.b.SetServers(servers, w.now)
	counts := w.run(time.Second, 20*time.Millisecond)
	must.Eq(t, 0, counts["leaving"], must.Sprint(counts))
	unresponsive := func(time.Time) (time.Duration, Outcome) { return 200 * time.Millisecond, ConnectionFailed }
	w.respond["far1"], w.respond["far2"] = unresponsive, unresponsive
	counts = w.run(time.Second, 20*time.Millisecond)
	must.GreaterEq(t, 35, counts["leaving"], must.Sprint(counts))
	w.run(time.Second, 20*time.Millisecond)
	counts = w.run(time.Second, 20*time.Millisecond)
	must.Eq(t, 0, counts["leaving"], must.Sprint("grace period is over: ", counts))
}

// TestHealthPropagatesBetweenDaemons covers a large fleet in which each daemon reaches a replica about once a
// second: an update from one daemon must keep the others from losing a request, unless they received a response
// just now.
func TestHealthPropagatesBetweenDaemons(t *testing.T) {
	servers := replicas("near", "far1")
	one, other := newSimulation(servers), newSimulation(servers)
	one.run(2*time.Second, 20*time.Millisecond)
	other.run(2*time.Second, 20*time.Millisecond)
	must.Nil(t, one.b.TakeHealthUpdates(one.now), must.Sprint("a healthy replica needs no update"))
	one.respond["near"] = func(time.Time) (time.Duration, Outcome) { return 170 * time.Millisecond, Abandoned }
	one.run(300*time.Millisecond, 20*time.Millisecond)
	updates := one.b.TakeHealthUpdates(one.now)
	must.Len(t, 1, updates)
	must.Eq(t, "near", updates[0].Replica)
	must.Eq(t, 0, other.b.ApplyHealthUpdates(updates, other.now), must.Sprint("a recent local response takes precedence"))
	other.now = other.now.Add(time.Second)
	must.Eq(t, 1, other.b.ApplyHealthUpdates(updates, other.now))
	c, ok := other.b.Pick("s", testWork, nil, other.now)
	must.True(t, ok)
	must.Eq(t, "far1", c.ID)
	must.Eq(t, 0, other.b.ApplyHealthUpdates([]Health{{Replica: "unknown"}, {Replica: "near", Slowness: -1}}, other.now))
}

// TestConditionsAreListed checks that every replica's condition is one of Conditions.
func TestConditionsAreListed(t *testing.T) {
	b := New(1)
	now := time.Unix(1000, 0)
	b.SetServers(replicas("a", "b"), now)
	for _, s := range b.Statuses(now) {
		must.SliceContains(t, Conditions(), s.Condition())
	}
}

// BenchmarkPick measures one pick among the replicas of a shard and of a large service.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{3, 40} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ids := make([]string, n)
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
			}
			w := newSimulation(replicas(ids...))
			for b.Loop() {
				c, _ := w.b.Pick("s", testWork, nil, w.now)
				w.b.Done(c.ID, testWork.Kind, w.now, Answered, w.now)
			}
		})
	}
}

// TestDaemonsSpreadLoadEvenly guards against herding: when all daemons have received the same health updates, half
// of the replicas are slow and each daemon sends a request only occasionally, the daemons must spread the load
// evenly over the healthy replicas.
func TestDaemonsSpreadLoadEvenly(t *testing.T) {
	const (
		daemons, size = 195, 22
		// maxOverMean is the maximum load of one replica relative to the mean.
		maxOverMean = 1.5
	)
	servers := make([]Server, size)
	var updates []Health
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprint("r", i), Service: "s", Address: "10.0.0.1:1", Distance: SameRegion, Slots: 2}
		if i%2 == 0 {
			updates = append(updates, Health{Replica: servers[i].ID, Slowness: 8})
		}
	}
	now := time.Unix(1000, 0)
	var fleet []*Balancer
	for d := range daemons {
		b := New(uint64(d))
		b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 4, MaxIdle: 4} })
		b.SetServers(servers, now)
		fleet = append(fleet, b)
	}
	counts := make(map[string]int)
	const rounds = 40
	for range rounds {
		for _, b := range fleet {
			b.ApplyHealthUpdates(updates, now)
			c, ok := b.Pick("s", testWork, nil, now)
			must.True(t, ok)
			counts[c.ID]++
			// The latency of equally fast replicas varies by a fifth between requests.
			took := time.Duration(100+7*(counts[c.ID]%4)) * time.Millisecond
			b.ReportLoad(c.ID, Load{Running: 1, Slots: 2}, now.Add(took))
			b.Done(c.ID, testWork.Kind, now, Answered, now.Add(took))
		}
		now = now.Add(time.Second)
	}
	for id, n := range counts {
		must.LessEq(t, maxOverMean*daemons*rounds/(size/2), float64(n), must.Sprint(id))
	}
}

// TestEvacuatedReplicasGetNoRequest guards an evacuated data centre against attempts of any kind, also if no other replica is left.
func TestEvacuatedReplicasGetNoRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(1)
	b.SetServers([]Server{
		{ID: "a", Service: "s", DataCentre: "c0", Slots: 4, Distance: OtherRegion}, {ID: "b", Service: "s", DataCentre: "c1", Slots: 4},
	}, now)
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8} })
	b.SetEvacuated([]string{"c1"}, now)
	for range 5 {
		c, ok := b.Pick("s", testWork, nil, now)
		must.True(t, ok)
		must.Eq(t, "a", c.ID)
	}
	_, ok := b.Pick("s", testWork, []string{"a"}, now)
	must.False(t, ok)
	b.SetEvacuated([]string{"c0", "c1"}, now)
	must.Eq(t, 0, b.CountAvailable([]string{"s"}, residency.Regions{}, now))
	b.SetEvacuated(nil, now)
	c, ok := b.Pick("s", testWork, nil, now)
	must.True(t, ok)
	must.Eq(t, "b", c.ID)
}

// TestAvoidsReplicaOnSlowMachine guards against new work for a replica whose machine is slow at the moment, as it has just reported,
// and against a report that is used for longer than it holds.
func TestAvoidsReplicaOnSlowMachine(t *testing.T) {
	servers := []Server{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	now := time.Unix(1000, 0)
	newPair := func(percentA, percentB float64) *Balancer {
		b := New(1)
		b.SetServers(servers, now)
		b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8, MaxIdle: 8} })
		b.ReportLoad("a", Load{Slots: 4, WorkPercent: percentA}, now)
		b.ReportLoad("b", Load{Slots: 4, WorkPercent: percentB}, now)
		return b
	}
	share := func(b *Balancer, at time.Time) (n int) {
		for range 100 {
			c, ok := b.Pick("s", testWork, nil, at)
			must.True(t, ok)
			b.Done(c.ID, testWork.Kind, at, Refused, at)
			b.replicas[c.ID].refusalRate = 0
			if c.ID == "a" {
				n++
			}
		}
		return n
	}
	must.Eq(t, 0, share(newPair(300, 100), now.Add(20*time.Millisecond)))
	must.Eq(t, 100, share(newPair(100, 300), now.Add(20*time.Millisecond)))
	must.Between(t, 20, share(newPair(100, 100), now), 80)
	must.Between(t, 20, share(newPair(0, 0), now), 80)
	b := newPair(300, 100)
	b.ReportLoad("a", Load{Slots: 4}, now.Add(10*time.Millisecond))
	must.Eq(t, 0, share(b, now.Add(20*time.Millisecond)), must.Sprint("a report without the number says nothing of it"))
	must.Between(t, 20, share(newPair(300, 100), now.Add(4*time.Second)), 80, must.Sprint("an old report says nothing"))
	b = newPair(0, 100)
	b.replicas["a"].slowness = 0.5
	b.replicas["a"].slownessUpdatedAt = now
	must.Eq(t, 0.5, b.replicas["a"].slownessWithReportAt(now), must.Sprint("without the number, the measured slowness counts"))
	b = newPair(1e6, 100)
	must.Less(t, 50.0, b.replicas["a"].cost(time.Millisecond, now)/b.replicas["b"].cost(time.Millisecond, now),
		must.Sprint("a replica is never avoided for good"))
}

// TestExpectedTimes guards admission against waits that are taken from old reports, or from the busier of two replicas, and against a
// replica that is paused for its long queue and counts as one without a queue.
func TestExpectedTimes(t *testing.T) {
	b, now := New(1), time.Unix(1000, 0)
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 10} })
	b.SetServers([]Server{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}, now)
	class := RequestClass{Kind: "k", TargetLatency: 100 * time.Millisecond}
	expect := func(string) ExpectedTime { return b.ExpectedTimes([]string{"s"}, class, now)[0] }
	must.Eq(t, ExpectedTime{}, expect("no report"))

	// Three turns of 20 ms: two of waiting requests and the answered one.
	answer := func(id string, load Load) {
		start := now
		now = now.Add(60*time.Millisecond + rttSameDataCentre)
		b.ReportLoad(id, load, now)
		b.Done(id, "k", start, Answered, now)
	}
	answer("a", Load{Running: 4, Waiting: 8, Slots: 4})
	must.Eq(t, 40*time.Millisecond, expect("the only report").Wait)
	answer("b", Load{Running: 4, Waiting: 0, Slots: 4})
	must.Eq(t, 0, expect("b has nothing waiting").Wait)
	b.Done("b", "k", now, ConnectionFailed, now)
	must.Eq(t, 40*time.Millisecond, expect("b is paused").Wait)
	b.Done("a", "k", now, ConnectionFailed, now)
	must.Eq(t, 0, expect("both are paused").Wait)
	now = now.Add(maxLoadAge + time.Millisecond)
	must.Eq(t, ExpectedTime{}, expect("the reports are old"))
}
