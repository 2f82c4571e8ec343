package gateway

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

// fleetView returns the view of a fleet whose data centres have as many daemons and helpers as stated, with a query of
// one shard whose replicas are in the first holders of them, and a service "single" in all of them.
func fleetView(t must.T, limit int, daemons, helpers []int, holders int) topology.View {
	config := routing.Config{
		Version: 1, Services: []routing.Service{{Name: "shard", Connections: limit}, {Name: "single", Connections: limit}},
		Routes: []routing.Route{{
			Name: "q", Host: "h", Prefix: "/q/", MaxAttempts: 1, Timeout: 1, Shards: []string{"shard"}, Top: 1, LeastCoverage: 1,
		}},
	}
	table, err := routing.NewTable(config)
	must.NoError(t, err)
	view := topology.View{Table: table, Generation: 1, Centres: make(map[string]topology.Centre)}
	for c := range daemons {
		name := fmt.Sprint("c", c)
		centre := topology.Centre{Daemons: daemons[c]}
		for h := range helpers[c] {
			centre.Helpers = append(centre.Helpers, topology.Helper{Address: fmt.Sprint(name, "-", h), Cores: 1})
		}
		view.Centres[name] = centre
		if c < holders {
			view.Servers = append(view.Servers, balancer.Server{ID: name, Service: "shard", DataCentre: name})
		}
	}
	return view
}

// TestSharesStayWithinTheWhole guards a replica's limit of connections and the fleet's budget at any size: the parts of
// all daemons sum to at most 1, and so do their unused connections to the limit.
func TestSharesStayWithinTheWhole(t *testing.T) {
	check := func(t must.T, limit int, daemons, helpers []int, holders int) {
		view := fleetView(t, limit, daemons, helpers, holders)
		for _, service := range []string{"shard", "single"} {
			sum, idle := 0.0, 0
			for c, n := range daemons {
				for d := range n {
					self := delegation.Self{DataCentre: fmt.Sprint("c", c), Address: fmt.Sprint("c", c, "-", d)}
					s := newShares(view, self)
					sum += s.part(service)
					share := s.connections(balancer.Server{Service: service})
					must.LessEq(t, share.Connections, share.Idle)
					idle += share.Idle
				}
			}
			must.LessEq(t, 1+1e-9, sum, must.Sprint(service))
			must.LessEq(t, limit, idle, must.Sprint(service))
		}
	}
	// A failure of these sizes was seen: 195 daemons with a least share of two unused connections each, on a limit of 125.
	for _, fleet := range []struct{ limit, daemons, helpers, centres, holders int }{
		{41, 7, 7, 3, 3}, {72, 79, 18, 6, 3}, {125, 195, 18, 6, 3}, {40, 1400, 64, 8, 3},
	} {
		daemons, helpers := make([]int, fleet.centres), make([]int, fleet.centres)
		for i := range fleet.daemons {
			daemons[i%fleet.centres]++
		}
		for i := range fleet.helpers {
			helpers[i%fleet.centres]++
		}
		check(t, fleet.limit, daemons, helpers, fleet.holders)
	}
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.SliceOfN(rapid.IntRange(1, 60), 1, 6).Draw(t, "daemons")
		helpers := make([]int, len(daemons))
		for c, n := range daemons {
			helpers[c] = rapid.IntRange(0, n).Draw(t, "helpers")
		}
		check(t, rapid.IntRange(1, 1500).Draw(t, "limit"), daemons, helpers, rapid.IntRange(0, len(daemons)).Draw(t, "holders"))
	})
}

// TestSharesFollowTheLoad guards the daemons that answer the queries of others, which need most of the connections, and
// a service whose limit is not stated.
func TestSharesFollowTheLoad(t *testing.T) {
	s := &shares{limits: map[string]int{"s": 41}, daemons: 65, helpers: map[string]int{"s": 6}, helping: map[string]bool{"s": true}}
	helping := s.connections(balancer.Server{Service: "s"})
	must.Greater(t, leastConnections, helping.Idle)
	must.Eq(t, helping.Idle, helping.Connections)
	s.helping["s"] = false
	must.Eq(t, balancer.Share{Connections: leastConnections}, s.connections(balancer.Server{Service: "s"}))
	must.Eq(t, unknownConnections, s.connections(balancer.Server{Service: "unknown"}).Connections)
	must.Eq(t, assumedDaemons, newShares(topology.View{}, delegation.Self{}).daemons)
}
