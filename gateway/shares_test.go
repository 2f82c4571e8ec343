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

// fleetView returns the view of a fleet with the given numbers of daemons and helpers per data centre. Its query has
// one shard, with replicas in the first centresWithReplica data centres, and a service "single" that is in none of its routes.
func fleetView(t must.T, limit int, daemons, helpers []int, centresWithReplica int) topology.View {
	config := routing.Config{
		Version: 1, Services: []routing.Service{{Name: "shard", Connections: limit}, {Name: "single", Connections: limit}},
		Routes: []routing.Route{{
			Name: "q", Host: "h", Prefix: "/q/", MaxAttempts: 1, Timeout: 1, Shards: []string{"shard"}, MaxRecords: 1, RequiredCoverage: 1,
		}},
	}
	table, err := routing.NewTable(config)
	must.NoError(t, err)
	view := topology.View{Table: table, Generation: 1, DataCentres: make(map[string]topology.DataCentre)}
	for c := range daemons {
		name := fmt.Sprint("c", c)
		centre := topology.DataCentre{Daemons: daemons[c]}
		for h := range helpers[c] {
			centre.Helpers = append(centre.Helpers, topology.Helper{Address: fmt.Sprint(name, "-", h), Cores: 1})
		}
		view.DataCentres[name] = centre
		if c < centresWithReplica {
			view.Servers = append(view.Servers, balancer.Server{ID: name, Service: "shard", DataCentre: name})
		}
	}
	return view
}

// sumOfRequestFractions returns the sum of the parts of all daemons in the request limit of a replica in a data centre.
func sumOfRequestFractions(view topology.View, daemons []int, service, dataCentre string) (sum float64) {
	for c, n := range daemons {
		for d := range n {
			s := newShares(view, delegation.Self{DataCentre: fmt.Sprint("c", c), Address: fmt.Sprint("c", c, "-", d)})
			sum += s.requestFraction(balancer.Server{Service: service, DataCentre: dataCentre})
		}
	}
	return sum
}

// TestSharesStayWithinLimit guards a replica's connection and request limits and the fleet's budget at any fleet size: the
// fractions of all daemons sum to at most 1, and their idle connections to at most the limit.
func TestSharesStayWithinLimit(t *testing.T) {
	check := func(t must.T, limit int, daemons, helpers []int, centresWithReplica int) {
		view := fleetView(t, limit, daemons, helpers, centresWithReplica)
		for _, service := range []string{"shard", "single"} {
			sum, idle := 0.0, 0
			for c, n := range daemons {
				for d := range n {
					self := delegation.Self{DataCentre: fmt.Sprint("c", c), Address: fmt.Sprint("c", c, "-", d)}
					s := newShares(view, self)
					sum += s.fraction(service)
					share := s.connections(balancer.Server{Service: service})
					must.LessEq(t, share.MaxConnections, share.MaxIdle)
					idle += share.MaxIdle
				}
			}
			must.LessEq(t, 1+1e-9, sum, must.Sprint(service))
			must.LessEq(t, limit, idle, must.Sprint(service))
			for replicaCentre := range daemons {
				must.LessEq(t, 1+1e-9, sumOfRequestFractions(view, daemons, service, fmt.Sprint("c", replicaCentre)), must.Sprint(service))
			}
		}
	}
	// Regression: 195 daemons with a minimum share of two idle connections each exceeded a limit of 125.
	for _, fleet := range []struct{ limit, daemons, helpers, centres, centresWithReplica int }{
		{41, 7, 7, 3, 3}, {72, 79, 18, 6, 3}, {125, 195, 18, 6, 3}, {40, 1400, 64, 8, 3},
	} {
		daemons, helpers := make([]int, fleet.centres), make([]int, fleet.centres)
		for i := range fleet.daemons {
			daemons[i%fleet.centres]++
		}
		for i := range fleet.helpers {
			helpers[i%fleet.centres]++
		}
		check(t, fleet.limit, daemons, helpers, fleet.centresWithReplica)
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

// TestHelpersGetLargerShares guards the shares of helpers, which need most of the connections, and of a service without
// a configured limit.
func TestHelpersGetLargerShares(t *testing.T) {
	s := &shares{limits: map[string]int{"s": 41}, daemons: 65, helperCounts: map[string]int{"s": 6}, isHelper: map[string]bool{"s": true}}
	helping := s.connections(balancer.Server{Service: "s"})
	must.Greater(t, minConnections, helping.MaxIdle)
	must.Eq(t, helping.MaxIdle, helping.MaxConnections)
	s.isHelper["s"] = false
	must.Eq(t, balancer.ConnectionShare{MaxConnections: minConnections}, s.connections(balancer.Server{Service: "s"}))
	must.Eq(t, defaultConnections, s.connections(balancer.Server{Service: "unknown"}).MaxConnections)
	must.Eq(t, assumedDaemons, newShares(topology.View{}, delegation.Self{}).daemons)
}
