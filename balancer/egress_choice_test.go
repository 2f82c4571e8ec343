package balancer

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/egress"
	"github.com/chivemill/chivemill/residency"
)

// egressServers returns a near replica and one in each of two other data centres of the region and one in another region.
func egressServers() []Server {
	server := func(id, dataCentre, region string, d Distance) Server {
		return Server{ID: id, Service: "s", Address: "10.0.0.1:1", DataCentre: dataCentre, Region: region, Distance: d, Slots: 4}
	}
	return []Server{server("near", "c0", "north", SameDataCentre), server("far1", "c1", "north", SameRegion),
		server("far2", "c2", "south", SameRegion), server("distant", "c3", "south", OtherRegion)}
}

// crowdedNear returns a balancer whose near replica has had a long queue for some seconds, by reports that are too old for the
// comparison of single replicas.
func crowdedNear(settings egress.Settings, class RequestClass) (b *Balancer, now time.Time) {
	now = time.Unix(1000, 0)
	b = New(1)
	b.SetEgress(egress.New(settings, 1))
	b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8} })
	b.SetServers(egressServers(), now)
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		for id, r := range b.replicas {
			r.slowness, r.slownessUpdatedAt = 1, now
			b.ReportLoad(id, Load{Running: 1, Slots: 4}, now.Add(-700*time.Millisecond))
		}
		b.replicas["near"].slowness, b.replicas["near"].slownessUpdatedAt = 6, now.Add(-20*time.Second)
		b.ReportLoad("near", Load{Running: 4, Waiting: 20, Slots: 4}, now.Add(-700*time.Millisecond))
		pickOnce(b, class, nil, now)
	}
	return b, now
}

// pickOnce picks a replica and ends the attempt without an outcome that would count.
func pickOnce(b *Balancer, class RequestClass, exclude []string, now time.Time) Choice {
	c, ok := b.Pick("s", class, exclude, now)
	if ok {
		r := b.replicas[c.ID]
		r.inFlight = r.inFlight[:len(r.inFlight)-1]
	}
	return c
}

// pickMany returns the number of choices by replica and the reasons of those that left.
func pickMany(b *Balancer, class RequestClass, exclude []string, now time.Time) (counts map[string]int, reasons []EgressReason) {
	counts = make(map[string]int)
	for range 100 {
		c := pickOnce(b, class, exclude, now)
		counts[c.ID]++
		if c.Egress != StaysNear && !slices.Contains(reasons, c.Egress) {
			reasons = append(reasons, c.Egress)
		}
	}
	return counts, reasons
}

// Guards against a crowded data centre whose requests all stay because its reports are old, and against requests that all leave
// for one neighbour.
func TestShareLeavesCrowdedDataCentre(t *testing.T) {
	b, now := crowdedNear(egress.Settings{}, testWork)
	counts, reasons := pickMany(b, testWork, nil, now)
	must.Between(t, 20, counts["far1"], 70)
	must.Between(t, 20, counts["far2"], 70)
	must.Between(t, 5, counts["near"], 45)
	must.Eq(t, 0, counts["distant"])
	must.Eq(t, []EgressReason{EgressShare}, reasons)
	must.Between(t, 0.5, b.EgressShares()["s"], 0.95)

	b.egress = nil
	counts, _ = pickMany(b, testWork, nil, now)
	must.Eq(t, map[string]int{"near": 100}, counts)
}

// Guards against a share that leaves for where the request may not be served, or where it would be refused, fail or wait.
func TestShareKeepsToPolicy(t *testing.T) {
	north := RequestClass{Kind: testWork.Kind, TargetLatency: testWork.TargetLatency, Regions: residency.Of([]string{"north"})}
	for _, c := range []struct {
		name   string
		class  RequestClass
		change func(b *Balancer, now time.Time)
		not    []string
	}{
		{"region not allowed", north, func(*Balancer, time.Time) {}, []string{"far2", "distant"}},
		{"evacuated", testWork, func(b *Balancer, now time.Time) { b.SetEvacuated([]string{"c1"}, now) }, []string{"far1"}},
		{"draining", testWork, func(b *Balancer, _ time.Time) { b.replicas["far1"].State = Draining }, []string{"far1"}},
		{"leaving", testWork, func(b *Balancer, now time.Time) { b.ReportLeaving("far1", 0, now) }, []string{"far1"}},
		{"no connection", testWork, func(b *Balancer, _ time.Time) { b.replicas["far1"].share.MaxConnections = 0 }, []string{"far1"}},
		{"paused", testWork, func(b *Balancer, now time.Time) { b.replicas["far1"].pausedUntil = now.Add(time.Second) }, []string{"far1"}},
		{"request limit", testWork, func(b *Balancer, now time.Time) {
			b.SetRequestShares(func(Server) float64 { return 0 }, now)
			b.ReportLimit("far1", LimitReport{Statement: LimitNamed, Rate: 1, SentAt: now}, now)
		}, []string{"far1"}},
		{"all elsewhere unusable", testWork, func(b *Balancer, now time.Time) { b.SetEvacuated([]string{"c1", "c2", "c3"}, now) }, []string{"far1", "far2", "distant"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, now := crowdedNear(egress.Settings{}, c.class)
			c.change(b, now)
			counts, _ := pickMany(b, c.class, nil, now)
			sum := 0
			for id, n := range counts {
				must.NotEq(t, "", id)
				sum += n
			}
			must.Eq(t, 100, sum)
			for _, id := range c.not {
				must.Eq(t, 0, counts[id])
			}
			must.Positive(t, counts["near"])
		})
	}
}

// Guards against a control that changes where retries and hedges go.
func TestExtraAttemptsAreNotControlled(t *testing.T) {
	b, now := crowdedNear(egress.Settings{}, testWork)
	counts, _ := pickMany(b, testWork, []string{"far1"}, now)
	must.Eq(t, map[string]int{"near": 100}, counts)
	counts, reasons := pickMany(b, testWork, []string{"near"}, now)
	must.Eq(t, 0, counts["near"])
	must.Eq(t, []EgressReason{EgressExtra}, reasons)
}

// Guards against requests that are refused or wait because a price or a share would keep them near.
func TestUnusableNearReplicas(t *testing.T) {
	for _, c := range []struct {
		change func(b *Balancer, now time.Time)
		reason EgressReason
	}{
		{func(b *Balancer, now time.Time) { b.SetEvacuated([]string{"c0"}, now) }, EgressEvacuated},
		{func(b *Balancer, _ time.Time) { b.replicas["near"].share.MaxConnections = 0 }, EgressNoReplica},
		{func(b *Balancer, now time.Time) { b.replicas["near"].pausedUntil = now.Add(time.Second) }, EgressNoReplica},
	} {
		b, now := crowdedNear(egress.Settings{PricePerKiB: time.Hour}, testWork)
		b.RecordSize("s", testWork, 1024)
		c.change(b, now)
		counts, reasons := pickMany(b, testWork, nil, now)
		must.Eq(t, 0, counts["near"]+counts[""])
		must.Eq(t, []EgressReason{c.reason}, reasons)
	}
}

// Guards against a price that does not hold requests, and against one that holds those that save more.
func TestPriceHoldsRequests(t *testing.T) {
	for _, c := range []struct {
		price  time.Duration
		leaves bool
	}{{0, true}, {5 * time.Millisecond, true}, {500 * time.Millisecond, false}} {
		now := time.Unix(1000, 0)
		b := New(1)
		b.SetEgress(egress.New(egress.Settings{PricePerKiB: c.price}, 1))
		b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 8} })
		b.SetServers(egressServers(), now)
		b.RecordSize("s", testWork, 2048)
		b.ReportLoad("near", Load{Running: 4, Waiting: 8, Slots: 4}, now)
		choice := pickOnce(b, testWork, nil, now)
		must.Eq(t, c.leaves, choice.ID != "near")
		must.Eq(t, !c.leaves, choice.IsHeld)
		if c.leaves {
			must.Eq(t, EgressFaster, choice.Egress)
		}
	}
}
