package delegation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/residency"
	"github.com/chivemill/chivemill/topology"
)

// distance returns the distance function of a daemon in data centre self. The first letter of the name of a data centre is
// its region: "n1" and "n2" are in region n.
func distance(self string) func(string) balancer.Distance {
	return func(centre string) balancer.Distance {
		switch {
		case centre == self:
			return balancer.SameDataCentre
		case strings.HasPrefix(centre, self[:1]):
			return balancer.SameRegion
		default:
			return balancer.OtherRegion
		}
	}
}

// newTestPool returns the pool of a daemon in data centre n1, and a list of shards. Each data centre has two helpers with 0.8
// cores. Each element of centresByShard lists the data centres with a replica of one shard.
func newTestPool(cores float64, centresByShard ...string) (*Pool, []string) {
	p := NewPool(Self{Address: "n1-self:1", DataCentre: "n1", Cores: cores, Distance: distance("n1"),
		Region: func(centre string) string { return centre[:1] }}, 1)
	view := topology.View{DataCentres: make(map[string]topology.DataCentre)}
	for _, centre := range []string{"n1", "n2", "s1"} {
		view.DataCentres[centre] = topology.DataCentre{Helpers: []topology.Helper{
			{Address: centre + "-a:1", Cores: 0.8}, {Address: centre + "-b:1", Cores: 0.8},
		}}
	}
	var shards []string
	for i, centres := range centresByShard {
		shards = append(shards, fmt.Sprint("s", i))
		for _, c := range strings.Fields(centres) {
			view.Servers = append(view.Servers, balancer.Server{ID: fmt.Sprint(i, c), Service: shards[i], DataCentre: c})
		}
	}
	p.SetView(&view)
	return p, shards
}

var now = time.Unix(1000, 0)

// TestPlanDelegatesToLargerDaemon guards against slow answers of daemons with a small CPU share: a query over many
// shards is delegated as a whole to a daemon with several times the share, but not to one with an equal share.
func TestPlanDelegatesToLargerDaemon(t *testing.T) {
	small, shards := newTestPool(0.2, "n1 s1", "n1 s1", "n1 s1", "n1 s1")
	groups := small.Plan(shards, residency.Regions{}, 0, now)
	must.Len(t, 1, groups)
	must.Eq(t, []int{0, 1, 2, 3}, groups[0].Shards)
	must.Eq(t, balancer.SameDataCentre, groups[0].Distance)
	equalSize, shards := newTestPool(0.8, "n1 s1", "n1 s1", "n1 s1", "n1 s1")
	must.Nil(t, equalSize.Plan(shards, residency.Regions{}, 0, now))
	must.Nil(t, small.Plan(shards[:minGroupSize-1], residency.Regions{}, 0, now), must.Sprint("a message costs more than two sub-requests"))
}

// TestPlanGroupsShardsOfSameRegion guards against one transfer per shard for shards whose replicas are in another data
// centre of the region: they are delegated as one group, which returns one merged answer.
func TestPlanGroupsShardsOfSameRegion(t *testing.T) {
	p, shards := newTestPool(0.8, "n1 s1", "n2 s1", "n1 s1", "n2 s1", "n2 s1", "s1")
	groups := p.Plan(shards, residency.Regions{}, 0, now)
	must.Len(t, 1, groups)
	must.Eq(t, []int{1, 3, 4}, groups[0].Shards)
	must.Eq(t, balancer.SameRegion, groups[0].Distance)
	must.Len(t, 1, p.Plan(shards, residency.Regions{}, 1, now), must.Sprint("a helper delegates shards that are nearer to other helpers"))
	must.Nil(t, p.Plan(shards, residency.Regions{}, maxDepth, now))
}

// TestPlanWithoutLocalReplicas guards against slow answers of daemons without nearby replicas: the whole query is delegated
// to a daemon near the replicas, in another region only if most shards are there.
func TestPlanWithoutLocalReplicas(t *testing.T) {
	p, shards := newTestPool(0.8, "n2", "n2", "n2 s1", "s1")
	groups := p.Plan(shards, residency.Regions{}, 0, now)
	must.Len(t, 1, groups)
	must.Len(t, 4, groups[0].Shards)
	must.Eq(t, balancer.SameRegion, groups[0].Distance)
	p, shards = newTestPool(0.8, "s1", "s1", "s1", "s1")
	groups = p.Plan(shards, residency.Regions{}, 0, now)
	must.Len(t, 1, groups)
	must.Eq(t, balancer.OtherRegion, groups[0].Distance)
}

// TestSilentHelperIsPaused guards against repeated delegation to a helper that lost power: after each pause one query probes
// it, the pause doubles, and the other helper receives the other queries.
func TestSilentHelperIsPaused(t *testing.T) {
	p, shards := newTestPool(0.2, "n1", "n1", "n1", "n1")
	silent, at, tried := "n1-a:1", now, 0
	for range 200 {
		at = at.Add(50 * time.Millisecond)
		for _, g := range p.Plan(shards, residency.Regions{}, 0, at) {
			outcome := Answered
			if g.Address == silent {
				outcome = Silent
				tried++
			}
			p.RecordOutcome(g.Address, outcome, at, at)
		}
	}
	// Pauses of 0.25, 0.5, 1, 2 and 4 s within 10 s.
	must.Between(t, 3, tried, 6)
	paused, recovered := p.RecordOutcome(silent, Answered, at, at)
	must.False(t, paused)
	must.True(t, recovered)
	must.Eq(t, 0, p.centres["n1"][0].failures+p.centres["n1"][1].failures)
}

// TestRefusingHelperIsPaused guards against a refusal of each query by a helper with another version of the configuration.
func TestRefusingHelperIsPaused(t *testing.T) {
	p, shards := newTestPool(0.2, "n1", "n1", "n1", "n1")
	for _, g := range append(p.Plan(shards, residency.Regions{}, 0, now), p.Plan(shards, residency.Regions{}, 0, now)...) {
		p.RecordOutcome(g.Address, Refused, now, now)
	}
	must.Nil(t, p.Plan(shards, residency.Regions{}, 0, now.Add(refusalPause/2)))
	must.Len(t, 1, p.Plan(shards, residency.Regions{}, 0, now.Add(refusalPause)))
}

// TestGroupsAreDisjoint guards against incorrect answers: for any placement of replicas, each shard is in at most one group,
// no group is delegated to the daemon itself, and the shards of a group are in the order of the query's list.
func TestGroupsAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := []string{"", "n1", "n2", "s1", "n1 n2", "n1 s1", "n2 s1", "n1 n2 s1"}
		centresByShard := rapid.SliceOfN(rapid.SampledFrom(centres), 1, 40).Draw(t, "holders")
		p, shards := newTestPool(rapid.SampledFrom([]float64{0, 0.2, 0.8}).Draw(t, "cores"), centresByShard...)
		seen := make(map[int]bool)
		for _, g := range p.Plan(shards, residency.Regions{}, rapid.IntRange(0, 3).Draw(t, "depth"), now) {
			must.NotEq(t, p.self.Address, g.Address)
			last := -1
			for _, i := range g.Shards {
				must.Greater(t, last, i)
				must.Less(t, len(shards), i)
				must.False(t, seen[i])
				seen[i], last = true, i
			}
		}
	})
}

// TestPreferredDistributesHelpers guards against too many connections in a large fleet, and against an uneven load: each
// daemon uses a few helpers of a data centre, and all daemons together use all of them.
func TestPreferredDistributesHelpers(t *testing.T) {
	var helpers []topology.Helper
	for i := range 16 {
		helpers = append(helpers, topology.Helper{Address: fmt.Sprintf("10.0.0.%d:1", i), Cores: 0.8})
	}
	used := make(map[string]int)
	for i := range 200 {
		p := NewPool(Self{Address: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "n1", Distance: distance("n1")}, 1)
		selected := p.preferred(helpers)
		must.Len(t, maxHelpersPerCentre, selected)
		for _, h := range selected {
			used[h.Address]++
		}
	}
	must.MapLen(t, 16, used)
	for address, n := range used {
		// An even distribution has 50 daemons per helper.
		must.Between(t, 20, n, 90, must.Sprint(address))
	}
}

// TestHelpersStayInAllowedRegions guards requests that may be served in some regions only against helpers elsewhere, whatever
// the places of the replicas.
func TestHelpersStayInAllowedRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.SliceOfN(rapid.SampledFrom([]string{"n1", "n2", "s1", "n1 s1", "n2 s1", "n1 n2 s1"}), minGroupSize, 8).Draw(t, "places")
		p, shards := newTestPool(rapid.SampledFrom([]float64{0.2, 0.8}).Draw(t, "cores"), places...)
		names := rapid.SampledFrom([][]string{{"n"}, {"s"}, {"n", "s"}, {"unknown"}}).Draw(t, "regions")
		regions := residency.Of(names)
		depth := rapid.IntRange(0, 1).Draw(t, "depth")
		for _, g := range p.Plan(shards, regions, depth, now) {
			must.True(t, regions.Allows(g.Address[:1]), must.Sprint(g.Address))
		}
		if h, ok := p.PlanSingle(shards[0], regions, now); ok {
			must.True(t, regions.Allows(h.Address[:1]), must.Sprint(h.Address))
		}
		if p.DelegatesWhole(shards, regions, now) {
			must.Len(t, 1, p.Plan(shards, regions, 0, now))
		}
	})
}
