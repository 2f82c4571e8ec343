package balancer

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/residency"
)

// leavingGrace is how long a leaving replica may still get work in these tests.
const leavingGrace = 2 * time.Second

// newLeavingBalancer returns a balancer with three replicas of service s, which were started at 7.
func newLeavingBalancer(now time.Time) (*Balancer, []Server) {
	b := New(1)
	b.SetDrainingGrace(leavingGrace)
	var servers []Server
	for _, id := range []string{"a", "b", "c"} {
		servers = append(servers, Server{ID: id, Service: "s", Address: id + ":1", StartedAtMs: 7})
	}
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 100, MaxIdle: 100} })
	b.SetServers(servers, now)
	return b, servers
}

// picked returns how often each replica is picked.
func picked(b *Balancer, now time.Time) map[string]int {
	counts := make(map[string]int)
	for range 60 {
		if c, ok := b.Pick("s", RequestClass{Kind: "k", TargetLatency: time.Second}, nil, now); ok {
			counts[c.ID]++
			b.Done(c.ID, "k", now, Answered, now)
		}
	}
	return counts
}

// TestLeavingReplicaGetsNoWork guards the rule for replicas that state that they leave: they get no work after the grace, whatever their
// entry says and in whichever order both come, and however much later (DRAIN).
func TestLeavingReplicaGetsNoWork(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, order := range []string{"header alone", "header then entry", "entry then header", "entry ready again"} {
		b, servers := newLeavingBalancer(start)
		drain := func(state State) {
			servers[0].State, servers[0].LastReadyAt = state, start
			b.SetServers(servers, start)
		}
		if order == "entry then header" {
			drain(Draining)
		}
		must.True(t, b.ReportLeaving("a", 7, start))
		must.False(t, b.ReportLeaving("a", 7, start))
		if order == "header then entry" || order == "entry ready again" {
			drain(Draining)
		}
		if order == "entry ready again" {
			drain(Ready)
		}
		for _, after := range []time.Duration{leavingGrace, time.Minute, time.Hour} {
			counts := picked(b, start.Add(after))
			must.Eq(t, 0, counts["a"], must.Sprint(order, after))
			must.Eq(t, 60, counts["b"]+counts["c"])
		}
	}
}

// TestLeavingReplicaIsAvoidedAtOnce guards requests to a replica that may stop soon: others are preferred from the statement on.
func TestLeavingReplicaIsAvoidedAtOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	b, _ := newLeavingBalancer(start)
	b.ReportLeaving("a", 7, start)
	must.Eq(t, 0, picked(b, start.Add(time.Millisecond))["a"])
}

// TestServiceWithoutStayingReplicas guards callers when all replicas of a service leave: they are served within the grace, and nothing is
// picked after it, so that requests are refused at once.
func TestServiceWithoutStayingReplicas(t *testing.T) {
	start := time.Unix(1000, 0)
	b, servers := newLeavingBalancer(start)
	for _, s := range servers {
		b.ReportLeaving(s.ID, 7, start)
	}
	must.MapNotEmpty(t, picked(b, start.Add(leavingGrace-time.Millisecond)))
	must.MapEmpty(t, picked(b, start.Add(leavingGrace)))
	must.Eq(t, 0, b.CountAvailable([]string{"s"}, residency.Regions{}, start.Add(leavingGrace)))
}

// TestLeavingHoldsForOneStart guards a replica that is started again at its address, under its id, against being avoided as the one that
// left, also by a late response of that one.
func TestLeavingHoldsForOneStart(t *testing.T) {
	start := time.Unix(1000, 0)
	b, servers := newLeavingBalancer(start)
	b.ReportLeaving("a", 7, start)
	servers[0].StartedAtMs = 8
	b.SetServers(servers, start)
	later := start.Add(leavingGrace)
	must.False(t, b.ReportLeaving("a", 7, later))
	b.ApplyLimitUpdates([]LimitUpdate{{Replica: "a", Leaving: true, StartedAtMs: 7}}, later)
	_, ok := b.Pick("s", RequestClass{Kind: "k", TargetLatency: time.Second}, []string{"b", "c"}, later)
	must.True(t, ok)
}

// TestLeavingIsToldToOtherDaemons guards the replicas of daemons that have had no response of a leaving one: they are told, again and again
// since datagrams are lost, and once they know they do not tell others.
func TestLeavingIsToldToOtherDaemons(t *testing.T) {
	start := time.Unix(1000, 0)
	b, _ := newLeavingBalancer(start)
	other, _ := newLeavingBalancer(start)
	b.ReportLeaving("a", 7, start)
	updates := b.TakeLimitUpdates(start)
	must.Len(t, 1, updates)
	other.ApplyLimitUpdates(updates, start)
	must.Eq(t, 0, picked(other, start.Add(leavingGrace))["a"])
	must.Len(t, 0, other.TakeLimitUpdates(start))
	must.Len(t, 0, b.TakeLimitUpdates(start.Add(leavingShareInterval/2)))
	must.Len(t, 1, b.TakeLimitUpdates(start.Add(leavingShareInterval)))
}
