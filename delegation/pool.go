// Package delegation lets a daemon delegate queries, or some of their shards, to other daemons, the helpers. A query over
// many shards costs CPU time and traffic per shard: a daemon with a larger CPU share answers it sooner, and a daemon in the
// data centre of the replicas returns one merged answer instead of one per shard. In addition, the fewer daemons send
// requests to a replica, the sooner each of them detects that it is slow or unresponsive.
//
// Pool selects the helpers of a query and does no I/O. Client and Handler exchange the messages.
package delegation

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/residency"
	"github.com/chivemill/chivemill/topology"
)

const (
	// sameRegionGain is by how much the fraction of a query's shards with a replica in another data centre of the same region
	// has to exceed that fraction in this daemon's data centre, for the whole query to be delegated there. otherRegionGain is
	// the same for a data centre of another region, compared with this daemon's region. The answers of the other shards then
	// travel to the helper instead, and a helper in another region adds a round trip to the whole query, not only to the
	// shards of that region. otherRegionGain is also the minimum fraction of a query's shards that is delegated as a group to
	// another region.
	sameRegionGain  = 0.25
	otherRegionGain = 0.5
	// minCoresRatio is the minimum ratio of the CPU share of a helper in the same data centre to that of this daemon. Below
	// it the additional hop costs as much as the faster CPU saves.
	minCoresRatio = 1.5
	// minGroupSize is the minimum number of shards to delegate: the message to the helper has to replace that many
	// sub-requests.
	minGroupSize = 3
	// maxDepth bounds the daemons that delegate a query: the first to a larger helper, and that one to helpers in the data
	// centres of the replicas.
	maxDepth = 2
	// maxHelpersPerCentre is the number of helpers per data centre that a daemon uses. It bounds the connections between
	// daemons.
	maxHelpersPerCentre = 4
	// minPause is how long a helper is not used after it failed to respond. The pause doubles with each failure up to
	// maxPause.
	minPause = 250 * time.Millisecond
	maxPause = 4 * time.Second
	// refusalPause is how long a helper is not used after a refusal: it has another version of the configuration, which lasts
	// about a second, or it is stopping or overloaded.
	refusalPause = 500 * time.Millisecond
	// isolationPause is how long a helper is not used after it has stated that it reaches no replica.
	isolationPause = 2 * time.Second
	// defaultCores is the CPU share of a daemon whose settings specify none.
	defaultCores = 1.0
)

// Outcome is how a delegated query ended.
type Outcome int

// Values of Outcome.
const (
	// Answered means that the helper sent its last part, even if some shards are missing.
	Answered Outcome = iota
	// Refused means that the helper did not accept the query.
	Refused
	// Silent means that the helper did not accept the query or send a part in time, or that the connection failed.
	Silent
	// Abandoned means that the query ended before the helper had to respond, which says nothing about the helper.
	Abandoned
	// Isolated means that the helper did not accept the query, because it reaches no replica.
	Isolated
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "silent", "abandoned", "isolated"}[o]
}

// Self is the daemon that delegates.
type Self struct {
	Address    string
	DataCentre string
	// Cores is the CPU share of the daemon in cores, 0 if unknown.
	Cores float64
	// Distance returns the distance to a data centre, Region its region, empty if unknown.
	Distance func(dataCentre string) balancer.Distance
	Region   func(dataCentre string) string
}

// allows reports whether a request that is restricted to the regions may be sent to a daemon in the data centre.
func (s Self) allows(regions residency.Regions, dataCentre string) bool {
	if !regions.IsRestricted() {
		return true
	}
	return s.Region != nil && regions.Allows(s.Region(dataCentre))
}

// Helper is a daemon that was selected for a query.
type Helper struct {
	Address  string
	Distance balancer.Distance
}

// helper is the state of a helper in a pool.
type helper struct {
	Helper
	cores    float64
	inFlight int
	// failures is the number of consecutive failures, failedAt the time of the last one.
	failures    int
	failedAt    time.Time
	pausedUntil time.Time
	// isolatedUntil is the end of the pause after the helper has stated that it reaches no replica.
	isolatedUntil time.Time
}

// Pool selects helpers for the queries of a daemon. It is safe for concurrent use.
type Pool struct {
	self Self

	mu  sync.Mutex
	rng *rand.Rand
	// centres holds the helpers in each data centre, without this daemon.
	centres map[string][]*helper
	// centresByService holds the data centres with a ready replica of each service.
	centresByService map[string][]string
}

// NewPool returns a pool without helpers. The seed determines its random choices.
func NewPool(self Self, seed uint64) *Pool {
	if self.Cores <= 0 {
		self.Cores = defaultCores
	}
	return &Pool{self: self, rng: rand.New(rand.NewPCG(seed, seed))}
}

// SetView updates the helpers and replicas from a view. The state of helpers that are still in use is kept.
func (p *Pool) SetView(view *topology.View) {
	centresByService := view.DataCentresByService()
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := make(map[string]*helper)
	for _, all := range p.centres {
		for _, h := range all {
			previous[h.Address] = h
		}
	}
	p.centresByService, p.centres = centresByService, make(map[string][]*helper, len(view.DataCentres))
	for name, centre := range view.DataCentres {
		for _, known := range p.preferred(centre.Helpers) {
			h := previous[known.Address]
			if h == nil {
				h = &helper{}
			}
			h.Helper, h.cores = Helper{known.Address, p.self.Distance(name)}, known.Cores
			p.centres[name] = append(p.centres[name], h)
		}
	}
}

// preferred returns the helpers that this daemon uses: those with the lowest hash of both addresses, so that the daemons
// are distributed over all helpers.
func (p *Pool) preferred(helpers []topology.Helper) []topology.Helper {
	others := slices.DeleteFunc(slices.Clone(helpers), func(h topology.Helper) bool { return h.Address == p.self.Address })
	slices.SortFunc(others, func(a, b topology.Helper) int {
		if xxhash.Sum64String(p.self.Address+a.Address) < xxhash.Sum64String(p.self.Address+b.Address) {
			return -1
		}
		return 1
	})
	return others[:min(maxHelpersPerCentre, len(others))]
}

// Group is a set of shards of a query that is delegated to one helper. Shards holds indices in the query's list.
type Group struct {
	Helper
	Shards []int
}

// Plan selects the shards of a query to delegate: the returned groups go to helpers in the regions, and this daemon sends the
// requests for the other shards to replicas itself. depth is the number of daemons that have delegated the query so far.
// RecordOutcome must be called once per group.
func (p *Pool) Plan(shards []string, regions residency.Regions, depth int, now time.Time) []Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if depth >= maxDepth || len(shards) < minGroupSize {
		return nil
	}
	if depth == 0 {
		if h := p.pickForWholeQuery(shards, regions, now); h != nil {
			all := make([]int, len(shards))
			for i := range all {
				all[i] = i
			}
			return []Group{{h.Helper, all}}
		}
	}
	byCentre := make(map[string][]int)
	for i, s := range shards {
		if centre := p.nearestCentre(p.centresOf(s, regions)); centre != "" && centre != p.self.DataCentre {
			byCentre[centre] = append(byCentre[centre], i)
		}
	}
	var groups []Group
	for centre, members := range byCentre {
		minShards := minGroupSize
		if p.self.Distance(centre) == balancer.OtherRegion {
			minShards = max(minShards, int(otherRegionGain*float64(len(shards))))
		}
		if len(members) < minShards {
			continue
		}
		if h := p.pick(centre, 0, now); h != nil {
			groups = append(groups, Group{h.Helper, members})
		}
	}
	return groups
}

// PickAnywhere returns a helper for a whole request that this daemon cannot serve itself: one in the nearest data centre of the
// regions with a usable one that is not among the addresses in tried; ok is false if there is none. RecordOutcome must be called once
// for a returned helper.
func (p *Pool) PickAnywhere(regions residency.Regions, tried []string, now time.Time) (h Helper, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.pickAnywhere(regions, 0, tried, now)
	if best == nil {
		return Helper{}, false
	}
	return best.Helper, true
}

// pickAnywhere selects the least loaded of the nearest helpers in any data centre of the regions that have at least minCores, nil if
// none is usable. Ties are broken at random.
func (p *Pool) pickAnywhere(regions residency.Regions, minCores float64, tried []string, now time.Time) *helper {
	var best *helper
	ties := 0
	for centre, list := range p.centres {
		if !p.self.allows(regions, centre) {
			continue
		}
		for _, h := range list {
			if !h.isUsable(minCores, now) || slices.Contains(tried, h.Address) {
				continue
			}
			switch {
			case best == nil || h.Distance < best.Distance || h.Distance == best.Distance && h.load() < best.load():
				best, ties = h, 1
			case h.Distance == best.Distance && h.load() == best.load():
				if ties++; p.rng.IntN(ties) == 0 {
					best = h
				}
			}
		}
	}
	return p.begin(best, now)
}

// centresOf returns the data centres in the regions that have a ready replica of a service.
func (p *Pool) centresOf(service string, regions residency.Regions) []string {
	centres := p.centresByService[service]
	if !regions.IsRestricted() {
		return centres
	}
	return slices.DeleteFunc(slices.Clone(centres), func(c string) bool { return !p.self.allows(regions, c) })
}

// DelegatesWhole reports whether Plan would delegate a caller's query over the shards as a whole to one helper.
func (p *Pool) DelegatesWhole(shards []string, regions residency.Regions, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	centre, minCores := p.wholeQueryTarget(shards, regions)
	return p.self.allows(regions, centre) && len(shards) >= minGroupSize && slices.ContainsFunc(p.centres[centre], func(h *helper) bool { return h.isUsable(minCores, now) })
}

// wholeQueryTarget returns the data centre whose helpers are used for a whole query, and the minimum CPU share that they
// need.
func (p *Pool) wholeQueryTarget(shards []string, regions residency.Regions) (centre string, minCores float64) {
	centre = p.bestCentre(shards, regions)
	if centre == p.self.DataCentre {
		minCores = minCoresRatio * p.self.Cores
	}
	return centre, minCores
}

// pickForWholeQuery selects a helper for a whole query, nil if none is usable.
func (p *Pool) pickForWholeQuery(shards []string, regions residency.Regions, now time.Time) *helper {
	centre, minCores := p.wholeQueryTarget(shards, regions)
	if !p.self.allows(regions, centre) {
		return nil
	}
	if h := p.pick(centre, minCores, now); h != nil {
		return h
	}
	if !p.areIsolated(centre, minCores, now) {
		return nil
	}
	return p.pickAnywhere(regions, minCores, nil, now)
}

// areIsolated reports whether a helper of the data centre that has at least minCores has stated lately that it reaches no replica.
func (p *Pool) areIsolated(centre string, minCores float64, now time.Time) bool {
	return slices.ContainsFunc(p.centres[centre], func(h *helper) bool { return h.cores >= minCores && now.Before(h.isolatedUntil) })
}

// PlanSingle returns a helper for a request to one replica of a service, in the nearest data centre of the regions with a
// replica; ok is false if none is usable. RecordOutcome must be called once for a returned helper.
func (p *Pool) PlanSingle(service string, regions residency.Regions, now time.Time) (h Helper, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.pick(p.nearestCentre(p.centresOf(service, regions)), 0, now)
	if best == nil {
		return Helper{}, false
	}
	return best.Helper, true
}

// nearestCentre returns the nearest of the data centres, empty if there are none. Ties are broken by name.
func (p *Pool) nearestCentre(centres []string) (best string) {
	for _, c := range centres {
		if d := p.self.Distance(c); best == "" || d < p.self.Distance(best) || d == p.self.Distance(best) && c < best {
			best = c
		}
	}
	return best
}

// pick selects the least loaded helper of the data centre that has at least minCores, nil if none is usable. Ties are
// broken at random.
func (p *Pool) pick(centre string, minCores float64, now time.Time) *helper {
	var best *helper
	start := 0
	list := p.centres[centre]
	if len(list) > 1 {
		start = p.rng.IntN(len(list))
	}
	for i := range list {
		h := list[(start+i)%len(list)]
		if !h.isUsable(minCores, now) {
			continue
		}
		if best == nil || h.load() < best.load() {
			best = h
		}
	}
	return p.begin(best, now)
}

// begin counts a query in flight at a helper, which may be nil, and returns it.
func (p *Pool) begin(h *helper, now time.Time) *helper {
	if h == nil {
		return nil
	}
	if h.failures > 0 {
		// Only this query probes the failed helper; others don't use it until the query is answered or the pause ends.
		h.pausedUntil = now.Add(h.pause())
	}
	h.inFlight++
	return h
}

// bestCentre returns the data centre whose helpers are best placed for a whole query: the nearest one that has replicas of
// sufficiently more shards than this daemon has nearby, or else this daemon's data centre.
func (p *Pool) bestCentre(shards []string, regions residency.Regions) string {
	counts := make(map[string]int)
	regionShards := 0
	for _, s := range shards {
		centres := p.centresOf(s, regions)
		for _, centre := range centres {
			counts[centre]++
		}
		if slices.ContainsFunc(centres, func(c string) bool { return p.self.Distance(c) != balancer.OtherRegion }) {
			regionShards++
		}
	}
	localShards := counts[p.self.DataCentre]
	best, bestDistance := p.self.DataCentre, balancer.SameDataCentre
	for centre, n := range counts {
		distance := p.self.Distance(centre)
		minGain, baseline := sameRegionGain, localShards
		if distance == balancer.OtherRegion {
			minGain, baseline = otherRegionGain, regionShards
		}
		if centre == p.self.DataCentre || len(p.centres[centre]) == 0 || float64(n-baseline) < minGain*float64(len(shards)) {
			continue
		}
		isNearer := best == p.self.DataCentre || distance < bestDistance
		if isNearer || distance == bestDistance && (n > counts[best] || n == counts[best] && centre < best) {
			best, bestDistance = centre, distance
		}
	}
	return best
}

// isUsable reports whether the helper is not paused and has at least minCores.
func (h *helper) isUsable(minCores float64, now time.Time) bool {
	return !now.Before(h.pausedUntil) && h.cores >= minCores
}

// load returns the queries in flight per core, with one more query.
func (h *helper) load() float64 { return float64(h.inFlight+1) / h.cores }

// pause returns the pause after the last failure.
func (h *helper) pause() time.Duration { return min(maxPause, minPause<<min(h.failures-1, 10)) }

// RecordOutcome records the outcome of a query that was delegated at begin to the helper at address, which Plan or PlanSingle
// returned. A failure is not counted if begin is before the helper's last counted failure. RecordOutcome reports whether the
// helper is paused because of its first failure, and whether it recovered from failures.
func (p *Pool) RecordOutcome(address string, outcome Outcome, begin, now time.Time) (paused, recovered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range p.centres {
		for _, h := range all {
			if h.Address == address {
				return h.done(outcome, begin, now)
			}
		}
	}
	return false, false
}

func (h *helper) done(outcome Outcome, begin, now time.Time) (paused, recovered bool) {
	h.inFlight = max(0, h.inFlight-1)
	switch outcome {
	case Answered:
		recovered = h.failures > 0
		h.failures, h.pausedUntil = 0, time.Time{}
	case Refused:
		h.pausedUntil = now.Add(refusalPause)
	case Isolated:
		h.pausedUntil, h.isolatedUntil = now.Add(isolationPause), now.Add(isolationPause)
	case Silent:
		if begin.Before(h.failedAt) {
			// Queries that were in flight at the time of a failure fail for the same reason, so they are not counted.
			return false, false
		}
		h.failures++
		h.failedAt = now
		h.pausedUntil = now.Add(h.pause())
		paused = h.failures == 1
	case Abandoned:
	}
	return paused, recovered
}
