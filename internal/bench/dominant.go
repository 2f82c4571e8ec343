package bench

import (
	"slices"

	"github.com/chivemill/chivemill/replica"
)

// Resources of a sub-request that the simulated replica has. CPU and bytes are not simulated and hence never dominant.
const (
	resourceConnections = iota
	resourceSlots
	resourceCount
)

// dominantPlacer places sub-requests by their dominant resource, following the paper on multi-resource fair scheduling
// (MRFS): a sub-request goes to the replica where the counts of tasks per dominant resource stay most balanced
// and, among equals, where the total dominant demand is lowest. It belongs to one daemon and is not safe for concurrent
// use.
type dominantPlacer struct {
	deployment     Deployment
	taskCountsByID map[string]*[resourceCount]int
	totalDemand    map[string]float64
	// workFactor is that of the query being placed.
	workFactor float64
}

func newDominantPlacer(deployment Deployment) *dominantPlacer {
	return &dominantPlacer{deployment: deployment, taskCountsByID: make(map[string]*[resourceCount]int),
		totalDemand: make(map[string]float64)}
}

// demand returns the dominant resource of a sub-request at the replica and the fraction that it needs of it.
func (p *dominantPlacer) demand(r *replica.Replica) (int, float64) {
	share := float64(r.Load.Connections) / float64(len(p.deployment.Daemons))
	connections, slots := 1/share, p.workFactor/float64(r.Load.Slots)
	if connections > slots {
		return resourceConnections, connections
	}
	return resourceSlots, slots
}

func (p *dominantPlacer) taskCounts(id string) *[resourceCount]int {
	counts, ok := p.taskCountsByID[id]
	if !ok {
		counts = new([resourceCount]int)
		p.taskCountsByID[id] = counts
	}
	return counts
}

// cost orders replicas by the imbalance after the placement, then by the total dominant demand.
func (p *dominantPlacer) cost(r *replica.Replica) float64 {
	resource, demand := p.demand(r)
	after := *p.taskCounts(r.ID)
	after[resource]++
	imbalance := slices.Max(after[:]) - slices.Min(after[:])
	const imbalanceWeight = 1e6
	return float64(imbalance)*imbalanceWeight + p.totalDemand[r.ID] + demand
}

// place counts a sub-request and returns the function that releases it.
func (p *dominantPlacer) place(r *replica.Replica) func() {
	resource, demand := p.demand(r)
	p.taskCounts(r.ID)[resource]++
	p.totalDemand[r.ID] += demand
	return func() {
		p.taskCounts(r.ID)[resource]--
		p.totalDemand[r.ID] -= demand
	}
}

// DominantResourceStrategy returns the default policy with the replica choice replaced by the dominantPlacer.
func DominantResourceStrategy() Strategy {
	s := DefaultStrategy()
	s.Name = "dominant"
	s.Dominant = true
	return s
}
