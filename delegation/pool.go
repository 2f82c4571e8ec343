// Package delegation passes queries, or a part of their shards, from one daemon to another. A query over many shards costs
// processor time and bytes per shard: a daemon with a larger processor share answers it sooner, and one in the data centre
// of the replicas returns one merged answer instead of a part per shard. The fewer daemons ask a replica, the sooner each of them sees that it is slow or silent.
//
// Pool decides which query goes to which daemon and does no I/O; Client and Handler carry the messages.
package delegation

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/topology"
)

const (
	// nearGain is the fraction of a query's shards that a data centre of the same region has to have beyond those of this
	// daemon's data centre, farGain that of another region beyond those of this daemon's region. The rest of the shards then crosses to the helper instead, and
	// a far helper adds a round trip to each query that another region would add to some shards alone.
	nearGain = 0.25
	farGain  = 0.5
	// coresGain is the factor of the own processor share that a helper of the same data centre has at least: below it the
	// additional hop costs what the processor saves.
	coresGain = 1.5
	// leastGroup is the number of shards from which a helper is asked for them: one message replaces so many.
	leastGroup = 3
	// maxDepth is the number of daemons that pass a query on: one to a larger helper, which asks others for the shards whose
	// replicas are in their data centre.
	maxDepth = 2
	// choices is the number of helpers per data centre that a daemon uses. It bounds its connections to daemons.
	choices = 4
	// firstPause is how long a helper that did not answer is passed over; the pause doubles up to longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// refusedPause is how long a helper that refused is passed over: it has another version of the configuration, which
	// is a matter of a second, or it is stopping or busy.
	refusedPause = 500 * time.Millisecond
	// assumedCores is used for a daemon whose settings state no processor share.
	assumedCores = 1.0
)

// Outcome is how a delegated query ended.
type Outcome int

// Values of Outcome.
const (
	// Answered is a helper that answered what it could.
	Answered Outcome = iota
	// Refused is a helper that did not take the shards.
	Refused
	// Silent is a helper that did not take the shards or sent nothing in time, or whose connection broke.
	Silent
	// Abandoned is a query that ended before the helper had to answer. It says nothing of the helper.
	Abandoned
)

// String returns the name that logs and metrics use.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "silent", "abandoned"}[o]
}

// Self is the daemon that delegates.
type Self struct {
	Address    string
	DataCentre string
	// Cores is its processor share in cores, 0 if unknown.
	Cores float64
	// Distance returns how far a data centre is.
	Distance func(dataCentre string) balancer.Distance
}

// Helper is a daemon that was picked for a query.
type Helper struct {
	Address  string
	Distance balancer.Distance
}

type helper struct {
	Helper
	cores       float64
	inFlight    int
	failures    int
	failedAt    time.Time
	pausedUntil time.Time
}

// Pool holds the helpers that a daemon uses. It is safe for concurrent use.
type Pool struct {
	self Self

	mu  sync.Mutex
	rng *rand.Rand
	// centres holds the helpers of each data centre, without this daemon.
	centres map[string][]*helper
	// holders holds the data centres that have a ready replica of each service.
	holders map[string][]string
}

// NewPool returns a pool without helpers. Its random choices follow the seed.
func NewPool(self Self, seed uint64) *Pool {
	if self.Cores <= 0 {
		self.Cores = assumedCores
	}
	return &Pool{self: self, rng: rand.New(rand.NewPCG(seed, seed))}
}

// SetView takes the daemons and replicas of a view. What was learned of a helper is kept.
func (p *Pool) SetView(view *topology.View) {
	holders := view.Holders()
	p.mu.Lock()
	defer p.mu.Unlock()
	old := make(map[string]*helper)
	for _, all := range p.centres {
		for _, h := range all {
			old[h.Address] = h
		}
	}
	p.holders, p.centres = holders, make(map[string][]*helper, len(view.Centres))
	for name, centre := range view.Centres {
		for _, known := range p.preferred(centre.Helpers) {
			h := old[known.Address]
			if h == nil {
				h = &helper{}
			}
			h.Helper, h.cores = Helper{known.Address, p.self.Distance(name)}, known.Cores
			p.centres[name] = append(p.centres[name], h)
		}
	}
}

// preferred returns the helpers that this daemon uses: those that a hash of both addresses puts first, so that the
// daemons spread over a large number of helpers.
func (p *Pool) preferred(helpers []topology.Helper) []topology.Helper {
	others := slices.DeleteFunc(slices.Clone(helpers), func(h topology.Helper) bool { return h.Address == p.self.Address })
	slices.SortFunc(others, func(a, b topology.Helper) int {
		if xxhash.Sum64String(p.self.Address+a.Address) < xxhash.Sum64String(p.self.Address+b.Address) {
			return -1
		}
		return 1
	})
	return others[:min(choices, len(others))]
}

// Group is a set of a query's shards that one helper answers. Shards holds indices of the query's list.
type Group struct {
	Helper
	Shards []int
}

// Plan divides a query over the shards: the returned groups go to helpers, this daemon sends the rest to replicas itself.
// depth is the number of daemons that have passed the query on so far. Done must be called once per group.
func (p *Pool) Plan(shards []string, depth int, now time.Time) []Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	if depth >= maxDepth || len(shards) < leastGroup {
		return nil
	}
	if depth == 0 {
		if h := p.pickWhole(shards, now); h != nil {
			all := make([]int, len(shards))
			for i := range all {
				all[i] = i
			}
			return []Group{{h.Helper, all}}
		}
	}
	byCentre := make(map[string][]int)
	for i, s := range shards {
		if centre := p.nearest(p.holders[s]); centre != "" && centre != p.self.DataCentre {
			byCentre[centre] = append(byCentre[centre], i)
		}
	}
	var groups []Group
	for centre, members := range byCentre {
		least := leastGroup
		if p.self.Distance(centre) == balancer.OtherRegion {
			least = max(least, int(farGain*float64(len(shards))))
		}
		if len(members) < least {
			continue
		}
		if h := p.pick(centre, 0, now); h != nil {
			groups = append(groups, Group{h.Helper, members})
		}
	}
	return groups
}

// PassesOn reports whether Plan would pass a caller's query over the shards on to one helper.
func (p *Pool) PassesOn(shards []string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	centre, least := p.whole(shards)
	return len(shards) >= leastGroup && slices.ContainsFunc(p.centres[centre], func(h *helper) bool { return h.isUsable(least, now) })
}

// whole returns the data centre whose helpers answer a whole query, and the least number of cores that they have.
func (p *Pool) whole(shards []string) (centre string, least float64) {
	centre = p.bestCentre(shards)
	if centre == p.self.DataCentre {
		least = coresGain * p.self.Cores
	}
	return centre, least
}

// pickWhole chooses a helper for a whole query, nil if none is usable.
func (p *Pool) pickWhole(shards []string, now time.Time) *helper {
	centre, least := p.whole(shards)
	return p.pick(centre, least, now)
}

// PlanSingle returns a helper near the replicas of a service for a request to one of them; ok is false if none is usable.
// Done must be called once for a returned helper.
func (p *Pool) PlanSingle(service string, now time.Time) (h Helper, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.pick(p.nearest(p.holders[service]), 0, now)
	if best == nil {
		return Helper{}, false
	}
	return best.Helper, true
}

// nearest returns the nearest of the data centres, empty for none.
func (p *Pool) nearest(centres []string) (best string) {
	for _, c := range centres {
		if d := p.self.Distance(c); best == "" || d < p.self.Distance(best) || d == p.self.Distance(best) && c < best {
			best = c
		}
	}
	return best
}

// pick chooses a helper of the data centre with the least number of cores, nil if none is usable.
func (p *Pool) pick(centre string, leastCores float64, now time.Time) *helper {
	var best *helper
	start := 0
	list := p.centres[centre]
	if len(list) > 1 {
		start = p.rng.IntN(len(list))
	}
	for i := range list {
		h := list[(start+i)%len(list)]
		if !h.isUsable(leastCores, now) {
			continue
		}
		if best == nil || h.load() < best.load() {
			best = h
		}
	}
	if best == nil {
		return nil
	}
	if best.failures > 0 {
		// One query tries the helper again; the others pass it over until that one is answered.
		best.pausedUntil = now.Add(best.pause())
	}
	best.inFlight++
	return best
}

// bestCentre returns the data centre whose daemons are nearest to the replicas of the shards.
func (p *Pool) bestCentre(shards []string) string {
	counts := make(map[string]int)
	region := 0
	for _, s := range shards {
		for _, centre := range p.holders[s] {
			counts[centre]++
		}
		if slices.ContainsFunc(p.holders[s], func(c string) bool { return p.self.Distance(c) != balancer.OtherRegion }) {
			region++
		}
	}
	own := counts[p.self.DataCentre]
	best, bestDistance := p.self.DataCentre, balancer.SameDataCentre
	for centre, n := range counts {
		distance := p.self.Distance(centre)
		gain, present := nearGain, own
		if distance == balancer.OtherRegion {
			gain, present = farGain, region
		}
		if centre == p.self.DataCentre || len(p.centres[centre]) == 0 || float64(n-present) < gain*float64(len(shards)) {
			continue
		}
		nearer := best == p.self.DataCentre || distance < bestDistance
		if nearer || distance == bestDistance && (n > counts[best] || n == counts[best] && centre < best) {
			best, bestDistance = centre, distance
		}
	}
	return best
}

func (h *helper) isUsable(leastCores float64, now time.Time) bool {
	return !now.Before(h.pausedUntil) && h.cores >= leastCores
}

func (h *helper) load() float64 { return float64(h.inFlight+1) / h.cores }

func (h *helper) pause() time.Duration { return min(longestPause, firstPause<<min(h.failures-1, 10)) }

// Done ends a group that Plan returned at begin. It reports whether the helper is passed over from now on, and whether it is used again.
func (p *Pool) Done(address string, outcome Outcome, begin, now time.Time) (paused, recovered bool) {
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
		h.pausedUntil = now.Add(refusedPause)
	case Silent:
		if begin.Before(h.failedAt) {
			// Queries that were in flight together fail together; they count once.
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
