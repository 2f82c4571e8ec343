// Package replica tracks the state of the replicas of backend servers and selects replicas for sub-requests.
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

// Replica is the known state of one replica. MeanLatency is the moving average of the latency of its answered
// sub-requests and of those that failed or were cancelled after more than the average; refused ones do not count. It is
// 0 until the first one counts after a start of the replica.
type Replica struct {
	ID             string
	Service        string
	DataCentre     string
	Address        string
	Load           backend.LoadReport
	LoadReportedAt time.Time
	// LeavingIncarnation is the highest incarnation known to be leaving, or 0. A higher incarnation means that the replica
	// has restarted.
	LeavingIncarnation int64
	InFlight           int
	MeanLatency        time.Duration
	// Failures counts the failures since the last success.
	Failures int

	// listLeaving is the incarnation that the VM list shows as leaving, or 0. It is reset when the list shows the
	// replica as live again.
	listLeaving int64
	// listLeavingUnknown means that the VM list shows the replica as leaving, but its incarnation was not known when
	// the list was read.
	listLeavingUnknown bool
	latencyUpdatedAt   time.Time
	// rampStartedAt is when the last restart was seen, or zero.
	rampStartedAt time.Time
	avoidUntil    time.Time
	// cancelledInRow counts the attempts cancelled since the last answer, for example because a hedge answered first. It
	// starts again at 0 when they count as a failure.
	cancelledInRow int
	// shedRate is the moving average of the fraction of sub-requests that the replica refused because of its load or
	// because it was cold.
	shedRate float64
	// linkDelay is the one-way delay to the replica's data centre.
	linkDelay time.Duration
	// connections is this daemon's share of the replica's connections, or 0 if it is not known.
	connections int
	// concurrency limits the sub-requests in flight once the replica has been overloaded.
	concurrency limit.AdaptiveLimit
}

// AcceptsWork reports whether the replica is ready and not leaving, so that new work may be sent to it.
func (r *Replica) AcceptsWork() bool {
	return !r.isLeaving() && r.Load.State == backend.StateReady
}

// isLeaving reports whether the present incarnation is leaving. It is true until the first load report.
func (r *Replica) isLeaving() bool {
	return r.Load.Incarnation <= r.LeavingIncarnation || r.Load.Incarnation == r.listLeaving || r.listLeavingUnknown
}

// Registry holds all replicas known to a daemon. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	rng      *rand.Rand
	policy   Policy
	clock    func() time.Time
	delayTo  func(dataCentre string) time.Duration
	replicas map[string]*Replica
	// byHolding and byService index the replicas, sorted by identifier. byHolding is set to nil when the index has to
	// be rebuilt.
	byHolding map[holdingKey][]*Replica
	byService map[string][]*Replica
	// filterBuffer is reused by filter to avoid allocations.
	filterBuffer []*Replica
	// typicalTimes holds a slow moving average of the service time of each service in nanoseconds.
	typicalTimes map[string]float64
}

type holdingKey struct {
	service string
	holding snapshot.Holding
}

// NewRegistry returns an empty registry with the default policy. The seed determines its random choices.
func NewRegistry(seed uint64) *Registry {
	return &Registry{
		rng: rand.New(rand.NewPCG(seed, seed)), policy: DefaultPolicy(), clock: time.Now,
		replicas: make(map[string]*Replica), typicalTimes: make(map[string]float64),
	}
}

// SetPolicy replaces the selection policy.
func (g *Registry) SetPolicy(p Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
}

// SetClock replaces the clock, for tests and measurements in virtual time.
func (g *Registry) SetClock(clock func() time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clock = clock
}

// SetLinkDelay sets the function that returns the one-way delay to a data centre.
func (g *Registry) SetLinkDelay(link func(dataCentre string) time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delayTo = link
	for _, r := range g.replicas {
		r.linkDelay = link(r.DataCentre)
	}
}

// SetConnectionShare sets this daemon's share of a replica's connections. Pick does not choose a replica whose share is
// used up.
func (g *Registry) SetConnectionShare(id string, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		r.connections = connections
		r.concurrency.SetCeiling(float64(connections))
	}
}

// LeavingMark identifies an incarnation of a replica that is leaving.
type LeavingMark struct {
	Replica     string
	Incarnation int64
}

// SetVMList applies the platform's VM list: new replicas are added, and replicas that are no longer listed are removed
// unless they still answer. When the list first shows a VM as leaving, the replica's present incarnation is marked as
// leaving. The new marks are returned, so that the caller can send them to other daemons.
func (g *Registry) SetVMList(vms []vmlist.VM) []LeavingMark {
	g.mu.Lock()
	defer g.mu.Unlock()
	var marks []LeavingMark
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
			g.byHolding = nil
		}
		if r.setListState(vm.State, g.clock()) {
			marks = append(marks, LeavingMark{Replica: r.ID, Incarnation: r.Load.Incarnation})
		}
	}
	for id, r := range g.replicas {
		if !listed[id] && r.Failures > 0 {
			delete(g.replicas, id)
			g.byHolding = nil
		}
	}
	return marks
}

func (g *Registry) newReplica(vm vmlist.VM) *Replica {
	r := &Replica{ID: vm.ID, Service: vm.Service, DataCentre: vm.DataCentre, Address: vm.Address}
	r.concurrency = limit.NewAdaptiveLimit(unlimited, unlimited, minDecreaseInterval)
	if g.delayTo != nil {
		r.linkDelay = g.delayTo(vm.DataCentre)
	}
	return r
}

// maxListLag is the longest assumed delay of the VM list. A list that shows a replica as leaving within this time after
// a restart describes the previous incarnation: in a forced update, each replica has restarted before a delayed list
// shows it as leaving.
const maxListLag = 5 * time.Minute

// setListState applies the state in the VM list and reports whether it newly marked an incarnation as leaving. A
// replica that was listed as leaving before its incarnation was known is not reported.
func (r *Replica) setListState(state vmlist.State, now time.Time) bool {
	if state != vmlist.StateLeaving {
		r.listLeaving, r.listLeavingUnknown = 0, false
		return false
	}
	if r.Load.Incarnation == 0 {
		r.listLeavingUnknown = true
		return false
	}
	if r.listLeaving == r.Load.Incarnation || !r.rampStartedAt.IsZero() && now.Sub(r.rampStartedAt) < maxListLag {
		return false
	}
	r.listLeaving = r.Load.Incarnation
	return !r.listLeavingUnknown
}

// SetLoad applies a load report, which is ignored if it is from an older incarnation. After a restart, the replica's
// share of the load ramps up, whatever state it reports.
func (g *Registry) SetLoad(id string, load backend.LoadReport, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.replicas[id]
	if !ok || load.Incarnation < r.Load.Incarnation {
		return
	}
	if r.Load.Incarnation > 0 && load.Incarnation > r.Load.Incarnation {
		r.resetForRestart(now)
	}
	if !slices.Equal(r.Load.Holdings, load.Holdings) {
		g.byHolding = nil
	}
	if r.Load.State == "" {
		r.Failures = 0
	}
	r.Load, r.LoadReportedAt = load, now
	if load.State == backend.StateDraining {
		r.LeavingIncarnation = max(r.LeavingIncarnation, load.Incarnation)
	}
}

// resetForRestart discards the measurements of the previous incarnation and starts the ramp.
func (r *Replica) resetForRestart(now time.Time) {
	r.rampStartedAt = now
	r.avoidUntil = time.Time{}
	r.Failures, r.cancelledInRow = 0, 0
	r.MeanLatency, r.shedRate = 0, 0
	ceiling := unlimited
	if r.connections > 0 {
		ceiling = float64(r.connections)
	}
	r.concurrency = limit.NewAdaptiveLimit(ceiling, ceiling, minDecreaseInterval)
}

// MarkLeaving marks an incarnation and all earlier ones as leaving. The mark is never removed.
func (g *Registry) MarkLeaving(id string, incarnation int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		r.LeavingIncarnation = max(r.LeavingIncarnation, incarnation)
	}
}

// MarkUnreachable records that the replica's load endpoint did not answer.
func (g *Registry) MarkUnreachable(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		r.Failures++
		r.Load.State = ""
	}
}

// Replicas returns copies of all replicas.
func (g *Registry) Replicas() []Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]Replica, 0, len(g.replicas))
	for _, r := range g.replicas {
		all = append(all, *r)
	}
	return all
}

// AvailableHoldings returns the holdings of the service's replicas that accept work.
func (g *Registry) AvailableHoldings(service string) []snapshot.Holding {
	g.mu.Lock()
	defer g.mu.Unlock()
	var holdings []snapshot.Holding
	for _, r := range g.replicas {
		if r.Service == service && r.AcceptsWork() {
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

// ConnectionLimit returns the connection limit that a replica reported, or 0 if it is not known.
func (g *Registry) ConnectionLimit(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.replicas[id]; ok {
		return r.Load.Connections
	}
	return 0
}

// buildIndex rebuilds byHolding and byService if necessary. The caller must hold g.mu.
func (g *Registry) buildIndex() {
	if g.byHolding != nil {
		return
	}
	g.byHolding = make(map[holdingKey][]*Replica)
	g.byService = make(map[string][]*Replica)
	for _, r := range g.replicas {
		g.byService[r.Service] = append(g.byService[r.Service], r)
		for _, h := range r.Load.Holdings {
			key := holdingKey{r.Service, h}
			g.byHolding[key] = append(g.byHolding[key], r)
		}
	}
	byID := func(a, b *Replica) int { return cmp.Compare(a.ID, b.ID) }
	for _, list := range g.byHolding {
		slices.SortFunc(list, byID)
	}
	for _, list := range g.byService {
		slices.SortFunc(list, byID)
	}
}
