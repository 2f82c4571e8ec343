// Package replica keeps what a daemon knows of each backend server replica and picks replicas for sub-requests.
package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

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

	// listMark is the incarnation that the platform's list calls leaving, or 0. It ends when the list says live again.
	listMark int64
	// listUnsure is set while the list says leaving and the incarnation is not known yet.
	listUnsure bool
	latencyAt  time.Time
	// rampFrom is when an incarnation above the first known one was seen.
	rampFrom   time.Time
	avoidUntil time.Time
	// lost counts attempts in a row that were cancelled because a hedge answered first.
	lost int
	// shedRate is the moving average of the fraction of sub-requests that the replica shed.
	shedRate float64
	// linkDelay is the one-way delay to the replica's data centre.
	linkDelay time.Duration
	// connections is the daemon's share of the replica's connections, 0 if unknown.
	connections int
	// adaptive limits the sub-requests in flight after the replica shed load.
	adaptive limit.Adaptive
}

// Accepts reports whether new work may be sent.
func (r *Replica) Accepts() bool {
	return !r.isLeaving() && r.Load.State == backend.StateReady
}

// isLeaving reports whether the known incarnation is leaving. It is true until a load report gave one.
func (r *Replica) isLeaving() bool {
	return r.Load.Incarnation <= r.Leaving || r.Load.Incarnation == r.listMark || r.listUnsure
}

// Registry holds all replicas of a daemon. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	rng      *rand.Rand
	policy   Policy
	clock    func() time.Time
	link     func(dataCentre string) time.Duration
	replicas map[string]*Replica
	// holders and services index the replicas by what they serve, sorted by id; nil after a change.
	holders  map[holderKey][]*Replica
	services map[string][]*Replica
	scratch  []*Replica
	// typical is the slow moving average of the time without link delay, per service, in nanoseconds.
	typical map[string]float64
}

type holderKey struct {
	service string
	holding snapshot.Holding
}

// NewRegistry returns an empty registry with the default policy, whose choices follow the seed.
func NewRegistry(seed uint64) *Registry {
	return &Registry{
		rng: rand.New(rand.NewPCG(seed, seed)), policy: DefaultPolicy(), clock: time.Now,
		replicas: make(map[string]*Replica), typical: make(map[string]float64),
	}
}

// SetPolicy changes the parameters of the choice.
func (g *Registry) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
}

// SetClock replaces the clock, for measurements in virtual time.
func (g *Registry) SetClock(clock func() time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock = clock
}

// SetLinkDelay sets the function that returns the one-way delay to a data centre.
func (g *Registry) SetLinkDelay(link func(dataCentre string) time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.link = link
	for _, r := range g.replicas {
		r.linkDelay = link(r.DataCentre)
	}
}

// SetConnections sets the daemon's share of a replica's connections. Pick does not choose a replica whose share
// is in use.
func (g *Registry) SetConnections(id string, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		r.connections = connections
		r.adaptive.SetCeiling(float64(connections))
	}
}

// Mark names the incarnation of a replica that is leaving.
type Mark struct {
	Replica     string
	Incarnation int64
}

// SetList takes the platform's list: new replicas are added, and replicas that are no longer listed are removed
// unless they still answer. A VM that the list calls leaving for the first time marks the replica's present
// incarnation; these marks are returned, so that the other daemons can be told.
func (g *Registry) SetList(vms []vmlist.VM) []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	var marks []Mark
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != vmlist.RoleBackend {
			continue
		}
		listed[vm.ID] = true
		r, ok := g.replicas[vm.ID]
		if !ok || r.Address != vm.Address {
			r = g.newReplica(vm)
			g.replicas[vm.ID] = r
			g.holders = nil
		}
		if r.setListed(vm.State, g.clock()) {
			marks = append(marks, Mark{Replica: r.ID, Incarnation: r.Load.Incarnation})
		}
	}
	for id, r := range g.replicas {
		if !listed[id] && r.Failures > 0 {
			delete(g.replicas, id)
			g.holders = nil
		}
	}
	return marks
}

func (g *Registry) newReplica(vm vmlist.VM) *Replica {
	r := &Replica{ID: vm.ID, Service: vm.Service, DataCentre: vm.DataCentre, Address: vm.Address}
	r.adaptive = limit.NewAdaptive(unlimited, unlimited, shedPause)
	if g.link != nil {
		r.linkDelay = g.link(vm.DataCentre)
	}
	return r
}

// listLag is the longest lag of the platform's list that is allowed for. A list that says leaving within this time
// after a restart speaks of the incarnation before: in a forced update each replica returns before a list that lags
// calls it leaving.
const listLag = 5 * time.Minute

// setListed takes the state in the platform's list. It reports whether it marked a known incarnation anew.
func (r *Replica) setListed(state vmlist.State, now time.Time) bool {
	if state != vmlist.StateLeaving {
		r.listMark, r.listUnsure = 0, false
		return false
	}
	if r.Load.Incarnation == 0 {
		r.listUnsure = true
		return false
	}
	if r.listMark == r.Load.Incarnation || !r.rampFrom.IsZero() && now.Sub(r.rampFrom) < listLag {
		return false
	}
	r.listMark = r.Load.Incarnation
	return !r.listUnsure
}

// SetLoad takes an answer of the load endpoint. An answer of an older incarnation is ignored. A new incarnation
// of a known replica starts a cold ramp, whatever state it reports.
func (g *Registry) SetLoad(id string, load backend.Load, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[id]
	if !ok || load.Incarnation < r.Load.Incarnation {
		return
	}
	if r.Load.Incarnation > 0 && load.Incarnation > r.Load.Incarnation {
		r.restarted(now)
	}
	if !slices.Equal(r.Load.Holdings, load.Holdings) {
		g.holders = nil
	}
	if r.Load.State == "" {
		r.Failures = 0
	}
	r.Load, r.LoadAt = load, now
	if load.State == backend.StateDraining {
		r.Leaving = max(r.Leaving, load.Incarnation)
	}
}

// restarted forgets what was learned of the previous incarnation.
func (r *Replica) restarted(now time.Time) {
	r.rampFrom = now
	r.avoidUntil = time.Time{}
	r.Failures, r.lost = 0, 0
	r.Latency, r.shedRate = 0, 0
	ceiling := unlimited
	if r.connections > 0 {
		ceiling = float64(r.connections)
	}
	r.adaptive = limit.NewAdaptive(ceiling, ceiling, shedPause)
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

// index rebuilds the lists of replicas by what they serve. The caller holds g.mu.
func (g *Registry) index() {
	if g.holders != nil {
		return
	}
	g.holders = make(map[holderKey][]*Replica)
	g.services = make(map[string][]*Replica)
	for _, r := range g.replicas {
		g.services[r.Service] = append(g.services[r.Service], r)
		for _, h := range r.Load.Holdings {
			key := holderKey{r.Service, h}
			g.holders[key] = append(g.holders[key], r)
		}
	}
	byID := func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) }
	for _, list := range g.holders {
		slices.SortFunc(list, byID)
	}
	for _, list := range g.services {
		slices.SortFunc(list, byID)
	}
}
