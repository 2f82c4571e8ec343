// Package replica keeps what a daemon knows of each backend server replica and picks replicas for sub-requests.
package replica

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

// latencyWeight is the weight of a new sample in the moving average of the latency.
const latencyWeight = 0.1

// Replica is what is known of one replica. Latency is the moving average of answered sub-requests.
type Replica struct {
	ID         string
	Service    string
	DataCentre string
	Address    string
	Load       backend.Load
	LoadAt     time.Time
	// Leaving is the incarnation that is leaving, or 0. A higher incarnation is a new start of the replica.
	Leaving  int64
	InFlight int
	Latency  time.Duration
	// Failures counts failures since the last success.
	Failures int
}

// Accepts reports whether new work may be sent.
func (r *Replica) Accepts() bool {
	return r.Load.Incarnation > r.Leaving && r.Load.State == backend.StateReady
}

// Registry holds all replicas of a daemon. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	rng      *rand.Rand
	replicas map[string]*Replica
}

// NewRegistry returns an empty registry whose choices follow the seed.
func NewRegistry(seed uint64) *Registry {
	return &Registry{rng: rand.New(rand.NewPCG(seed, seed)), replicas: make(map[string]*Replica)}
}

// SetList takes the platform's list: new replicas are added, and replicas that are no longer listed are removed
// unless they still answer. A leaving VM marks the replica's present incarnation.
func (g *Registry) SetList(vms []vmlist.VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != vmlist.RoleBackend {
			continue
		}
		listed[vm.ID] = true
		r, ok := g.replicas[vm.ID]
		if !ok || r.Address != vm.Address {
			r = &Replica{ID: vm.ID, Service: vm.Service, DataCentre: vm.DataCentre, Address: vm.Address}
			g.replicas[vm.ID] = r
		}
		if vm.State == vmlist.StateLeaving {
			r.Leaving = max(r.Leaving, r.Load.Incarnation)
		}
	}
	for id, r := range g.replicas {
		if !listed[id] && r.Failures > 0 {
			delete(g.replicas, id)
		}
	}
}

// SetLoad takes an answer of the load endpoint. An answer of an older incarnation is ignored.
func (g *Registry) SetLoad(id string, load backend.Load, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[id]
	if !ok || load.Incarnation < r.Load.Incarnation {
		return
	}
	r.Load, r.LoadAt = load, now
	if load.State == backend.StateDraining {
		r.Leaving = max(r.Leaving, load.Incarnation)
	}
}

// MarkLeaving records that an incarnation is leaving. The mark is never taken back for that incarnation.
func (g *Registry) MarkLeaving(id string, incarnation int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		r.Leaving = max(r.Leaving, incarnation)
	}
}

// Unreachable records that the load endpoint did not answer.
func (g *Registry) Unreachable(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		r.Failures++
		r.Load.State = ""
	}
}

// All returns a copy of every replica.
func (g *Registry) All() []Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Replica, 0, len(g.replicas))
	for _, r := range g.replicas {
		all = append(all, *r)
	}
	return all
}

// Holdings returns the holdings of the service's replicas that accept work.
func (g *Registry) Holdings(service string) []snapshot.Holding {
	g.mu.Lock()
	defer g.mu.Unlock()
	var holdings []snapshot.Holding
	for _, r := range g.replicas {
		if r.Service == service && r.Accepts() {
			holdings = append(holdings, r.Load.Holdings...)
		}
	}
	return holdings
}

// Pick chooses a replica for a shard of a snapshot, or any replica of the service if shard is empty, and counts
// a sub-request in flight. Replicas in exclude are not chosen. ok is false if none is left.
func (g *Registry) Pick(service string, version snapshot.Version, shard string, exclude []string) (Replica, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []*Replica
	want := snapshot.Holding{Version: version, Shard: shard}
	for _, r := range g.replicas {
		if r.Service != service || !r.Accepts() || slices.Contains(exclude, r.ID) {
			continue
		}
		if shard == "" || slices.Contains(r.Load.Holdings, want) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return Replica{}, false
	}
	slices.SortFunc(candidates, func(a, b *Replica) int { return compareIDs(a.ID, b.ID) })
	best := candidates[g.rng.IntN(len(candidates))]
	if other := candidates[g.rng.IntN(len(candidates))]; cost(other) < cost(best) {
		best = other
	}
	best.InFlight++
	return *best, true
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func cost(r *Replica) float64 {
	return float64(r.InFlight+1) * float64(r.Latency+time.Millisecond) * float64(r.Failures+1)
}

// Done ends a sub-request that Pick counted. err is nil for an answer.
func (g *Registry) Done(id string, latency time.Duration, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[id]
	if !ok {
		return
	}
	r.InFlight--
	if err != nil {
		r.Failures++
		return
	}
	r.Failures = 0
	if r.Latency == 0 {
		r.Latency = latency
		return
	}
	r.Latency += time.Duration(latencyWeight * float64(latency-r.Latency))
}

// Address returns the address of a replica.
func (g *Registry) Address(id string) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[id]
	if !ok {
		return "", false
	}
	return r.Address, true
}

// ConnectionLimit returns the connection limit that a replica reported, or 0.
func (g *Registry) ConnectionLimit(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		return r.Load.Connections
	}
	return 0
}
