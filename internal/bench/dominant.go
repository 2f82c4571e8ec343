package bench

import (
	"slices"

	"github.com/chivemill/chivemill/replica"
)

// Resources of a sub-request that the stand-in models. CPU and bytes are not modelled and hence never dominant.
const (
	resourceConnections = iota
	resourceSlots
	resources
)

// dominantPlacer places sub-requests by their dominant resource, after the paper on multi-resource fair scheduling
// (MRFS): a sub-request goes to the replica where the counts of tasks per dominant resource stay most balanced
// and, among equals, where the total dominant demand is least. It is used by one daemon in one goroutine.
type dominantPlacer struct {
	dep    Deployment
	counts map[string]*[resources]int
	total  map[string]float64
	// work is that of the query being placed.
	work float64
}

func newDominantPlacer(dep Deployment) *dominantPlacer {
	return &dominantPlacer{dep: dep, counts: make(map[string]*[resources]int), total: make(map[string]float64)}
}

// demand returns the dominant resource of a sub-request at the replica and the fraction that it needs of it.
func (p *dominantPlacer) demand(r *replica.Replica) (int, float64) {
	share := float64(r.Load.Connections) / float64(len(p.dep.Daemons))
	connections, slots := 1/share, p.work/float64(r.Load.Slots)
	if connections > slots {
		return resourceConnections, connections
	}
	return resourceSlots, slots
}

func (p *dominantPlacer) of(id string) *[resources]int {
	c, ok := p.counts[id]
	if !ok {
		c = new([resources]int)
		p.counts[id] = c
	}
	return c
}

// cost orders by the imbalance after the placement, then by the total dominant demand.
func (p *dominantPlacer) cost(r *replica.Replica) float64 {
	resource, demand := p.demand(r)
	after := *p.of(r.ID)
	after[resource]++
	imbalance := slices.Max(after[:]) - slices.Min(after[:])
	const first = 1e6
	return float64(imbalance)*first + p.total[r.ID] + demand
}

// place counts a sub-request and returns the function that ends it.
func (p *dominantPlacer) place(r *replica.Replica) func() {
	resource, demand := p.demand(r)
	p.of(r.ID)[resource]++
	p.total[r.ID] += demand
	return func() {
		p.of(r.ID)[resource]--
		p.total[r.ID] -= demand
	}
}

// DominantResource is the default policy with the replica choice replaced by the dominantPlacer.
func DominantResource() Strategy {
	s := Default()
	s.Name = "dominant"
	s.Dominant = true
	return s
}
