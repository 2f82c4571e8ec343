package delegation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/topology"
)

// distance is that of a fleet whose data centres are named after their region: "n1" and "n2" are in region n.
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

// newPool returns the pool of a daemon in data centre n1, whose fleet has large daemons of 0.8 cores in each data centre
// and shards with one replica in each data centre that holders lists.
func newPool(cores float64, holders ...string) (*Pool, []string) {
	p := NewPool(Self{Address: "n1-self:1", DataCentre: "n1", Cores: cores, Distance: distance("n1")}, 1)
	view := topology.View{Centres: make(map[string]topology.Centre)}
	for _, centre := range []string{"n1", "n2", "s1"} {
		view.Centres[centre] = topology.Centre{Helpers: []topology.Helper{
			{Address: centre + "-a:1", Cores: 0.8}, {Address: centre + "-b:1", Cores: 0.8},
		}}
	}
	var shards []string
	for i, centres := range holders {
		shards = append(shards, fmt.Sprint("s", i))
		for _, c := range strings.Fields(centres) {
			view.Servers = append(view.Servers, balancer.Server{ID: fmt.Sprint(i, c), Service: shards[i], DataCentre: c})
		}
	}
	p.SetView(&view)
	return p, shards
}

var now = time.Unix(1000, 0)

// TestLargerDaemonAnswers answers the pattern of daemons with a small processor share: a query over many shards goes
// whole to a daemon with several times the share. A daemon of equal share answers itself.
func TestLargerDaemonAnswers(t *testing.T) {
	small, shards := newPool(0.2, "n1 s1", "n1 s1", "n1 s1", "n1 s1")
	groups := small.Plan(shards, 0, now)
	must.Len(t, 1, groups)
	must.Eq(t, []int{0, 1, 2, 3}, groups[0].Shards)
	must.Eq(t, balancer.SameDataCentre, groups[0].Distance)
	equal, shards := newPool(0.8, "n1 s1", "n1 s1", "n1 s1", "n1 s1")
	must.Nil(t, equal.Plan(shards, 0, now))
	must.Nil(t, small.Plan(shards[:leastGroup-1], 0, now), must.Sprint("a message costs more than two sub-requests"))
}

// TestShardsOfANeighbourGoTogether answers the pattern of shards whose replicas are in another data centre of the region:
// one merged answer crosses instead of a part per shard.
func TestShardsOfANeighbourGoTogether(t *testing.T) {
	p, shards := newPool(0.8, "n1 s1", "n2 s1", "n1 s1", "n2 s1", "n2 s1", "s1")
	groups := p.Plan(shards, 0, now)
	must.Len(t, 1, groups)
	must.Eq(t, []int{1, 3, 4}, groups[0].Shards)
	must.Eq(t, balancer.SameRegion, groups[0].Distance)
	must.Len(t, 1, p.Plan(shards, 1, now), must.Sprint("a helper passes on what is nearer to others"))
	must.Nil(t, p.Plan(shards, maxDepth, now))
}

// TestDataCentreWithoutReplicas answers the pattern of daemons far from all replicas: the whole query goes to a daemon
// near them, of another region only if most shards are there.
func TestDataCentreWithoutReplicas(t *testing.T) {
	p, shards := newPool(0.8, "n2", "n2", "n2 s1", "s1")
	groups := p.Plan(shards, 0, now)
	must.Len(t, 1, groups)
	must.Len(t, 4, groups[0].Shards)
	must.Eq(t, balancer.SameRegion, groups[0].Distance)
	p, shards = newPool(0.8, "s1", "s1", "s1", "s1")
	groups = p.Plan(shards, 0, now)
	must.Len(t, 1, groups)
	must.Eq(t, balancer.OtherRegion, groups[0].Distance)
}

// TestSilentHelperIsPassedOver answers the pattern of a helper that lost its power: one query in each pause tries it, and
// the pause doubles; the other helper gets the rest.
func TestSilentHelperIsPassedOver(t *testing.T) {
	p, shards := newPool(0.2, "n1", "n1", "n1", "n1")
	silent, at, tried := "n1-a:1", now, 0
	for range 200 {
		at = at.Add(50 * time.Millisecond)
		for _, g := range p.Plan(shards, 0, at) {
			outcome := Answered
			if g.Address == silent {
				outcome = Silent
				tried++
			}
			p.Done(g.Address, outcome, at, at)
		}
	}
	// Pauses of 0.25, 0.5, 1, 2 and 4 s within 10 s.
	must.Between(t, 3, tried, 6)
	paused, recovered := p.Done(silent, Answered, at, at)
	must.False(t, paused)
	must.True(t, recovered)
	must.Eq(t, 0, p.centres["n1"][0].failures+p.centres["n1"][1].failures)
}

// TestRefusingHelperIsLeftForAMoment guards a helper with another version of the configuration against a refusal per query.
func TestRefusingHelperIsLeftForAMoment(t *testing.T) {
	p, shards := newPool(0.2, "n1", "n1", "n1", "n1")
	for _, g := range append(p.Plan(shards, 0, now), p.Plan(shards, 0, now)...) {
		p.Done(g.Address, Refused, now, now)
	}
	must.Nil(t, p.Plan(shards, 0, now.Add(refusedPause/2)))
	must.Len(t, 1, p.Plan(shards, 0, now.Add(refusedPause)))
}

// TestGroupsAreDisjoint guards the answer: for any layout each shard is in at most one group, at a daemon that is not
// this one, and a group's shards are in the order of the query's list.
func TestGroupsAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := []string{"", "n1", "n2", "s1", "n1 n2", "n1 s1", "n2 s1", "n1 n2 s1"}
		holders := rapid.SliceOfN(rapid.SampledFrom(centres), 1, 40).Draw(t, "holders")
		p, shards := newPool(rapid.SampledFrom([]float64{0, 0.2, 0.8}).Draw(t, "cores"), holders...)
		seen := make(map[int]bool)
		for _, g := range p.Plan(shards, rapid.IntRange(0, 3).Draw(t, "depth"), now) {
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

// TestHelpersArePreferredByHash guards the connections of a large fleet: a daemon uses a few helpers of a data centre, and
// the daemons together use all of them.
func TestHelpersArePreferredByHash(t *testing.T) {
	var helpers []topology.Helper
	for i := range 16 {
		helpers = append(helpers, topology.Helper{Address: fmt.Sprintf("10.0.0.%d:1", i), Cores: 0.8})
	}
	used := make(map[string]int)
	for i := range 200 {
		p := NewPool(Self{Address: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "n1", Distance: distance("n1")}, 1)
		mine := p.preferred(helpers)
		must.Len(t, choices, mine)
		for _, h := range mine {
			used[h.Address]++
		}
	}
	must.MapLen(t, 16, used)
	for address, n := range used {
		// 50 each if evenly spread.
		must.Between(t, 20, n, 90, must.Sprint(address))
	}
}
