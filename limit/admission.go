package limit

import (
	"math"
	"sync"
	"time"
)

// Refusal is the reason why a query was refused.
type Refusal string

// Reasons for a refusal. Admitted means that the query is not refused. All are decided before anything is sent.
const (
	Admitted       Refusal = ""
	RefusedShare   Refusal = "share"
	RefusedTooLate Refusal = "too_late"
	// RefusedNoCapacity means that too many shards have no replica with a free connection. It is decided from
	// Query.Available and Query.AvailableForTwo, which come from the replica registry.
	RefusedNoCapacity Refusal = "no_room"
)

// MinOverloadSheds is the number of shed sub-requests within one query that counts as an overload of the service. A
// single one is attributed to its replica.
const MinOverloadSheds = 2

const (
	// halfLife is the half-life of a profile's claim on unused capacity after its demand ends.
	halfLife = time.Second
	// latencyWeight is the weight of a new sample in the moving average of the query latency.
	latencyWeight = 0.05
	// minRemainingFraction of the average latency is the minimum remaining time with which a query is admitted.
	minRemainingFraction = 0.5
	// burstFactor times its share is what a profile may briefly use if its average demand is within its share.
	burstFactor = 3
	// coverageTolerance is larger than the rounding error of shard bounds, which are whole hash values, for a few
	// thousand shards, and far smaller than the range of one shard.
	coverageTolerance = 1e-6
	// overloadPause is the minimum time between two decreases, so that the effect of one is visible before the
	// next.
	overloadPause = 100 * time.Millisecond
)

// Admission controls the admission of queries of several profiles to one pool of backend servers. Each profile may
// always use its weighted share of the pool's adaptive limit. Capacity that other profiles have not recently
// claimed may be borrowed. The unit is one query in flight in this daemon. It is safe for concurrent use.
type Admission struct {
	mu       sync.Mutex
	limit    AdaptiveLimit
	inFlight float64
	profiles map[string]*profileState
	// order lists the profiles in a fixed order, so that sums do not depend on map iteration order.
	order     []*profileState
	latency   time.Duration
	latencyAt time.Time
}

type profileState struct {
	weight   float64
	inFlight float64
	// demand is the decaying maximum of the concurrency that the profile recently requested.
	demand   float64
	demandAt time.Time
	// rate is the average number of queries per second that the profile offered, including refused ones.
	rate   float64
	rateAt time.Time
}

// NewAdmission returns an Admission with an initial limit of start queries and a maximum of ceiling.
func NewAdmission(start, ceiling float64) *Admission {
	return &Admission{limit: NewAdaptiveLimit(start, ceiling, overloadPause), profiles: make(map[string]*profileState)}
}

// SetWeight sets the weight of a profile. The default is 1.
func (a *Admission) SetWeight(profile string, weight float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.profileFor(profile).weight = weight
}

// Limit returns the current limit in queries.
func (a *Admission) Limit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit.Limit()
}

func (a *Admission) profileFor(profile string) *profileState {
	p, ok := a.profiles[profile]
	if !ok {
		p = &profileState{weight: 1}
		a.profiles[profile] = p
		a.order = append(a.order, p)
	}
	return p
}

// Query holds the properties of a query that decide on its admission.
type Query struct {
	Profile   string
	Remaining time.Duration
	// Available and AvailableForTwo are the fractions of the query's shards that can take one and two more sub-requests.
	// RequiredCoverage is the required fraction.
	Available, AvailableForTwo, RequiredCoverage float64
	// MayWait is the fraction of the shards that may wait for capacity after the query has started. It applies to a
	// query within its profile's share while other profiles have demand.
	MayWait float64
}

// MayWaitFraction returns the value of Query.MayWait: one shard may wait for capacity if the profile waits for missing
// shards. During a flood from another profile, most queries without sufficient capacity lack it in a single shard,
// whose slow replicas hold all connections.
func MayWaitFraction(waits bool, shards int) float64 {
	if !waits || shards == 0 {
		return 0
	}
	return 1 / float64(shards)
}

// Admit decides whether to admit a query. The caller must call Finish exactly once for each admitted query. While
// other profiles have demand, a query beyond its profile's share needs capacity for two sub-requests (AvailableForTwo)
// in the required fraction of its shards, and one within the share needs capacity for one in that fraction less the
// shards that may wait (MayWait). Without such demand, every query needs capacity for one in the required fraction.
func (a *Admission) Admit(q Query, now time.Time) Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.profileFor(q.Profile)
	if float64(q.Remaining) < minRemainingFraction*decay(float64(a.latency), now.Sub(a.latencyAt)) {
		return RefusedTooLate
	}
	p.recordDemand(now)
	withinShare := a.withinShare(p, now)
	if !a.hasCapacity(p, q, withinShare, now) {
		a.limit.OnOverload(a.inFlight, now)
		return RefusedNoCapacity
	}
	if !withinShare && a.inFlight+1+a.reservedForOthers(p, now) > a.limit.Limit() {
		return RefusedShare
	}
	p.inFlight++
	a.inFlight++
	return Admitted
}

// withinShare reports whether the profile's share covers one more query. A profile whose average demand is within
// its share may exceed the share briefly, because random arrivals often do so when the share is only a few queries.
func (a *Admission) withinShare(p *profileState, now time.Time) bool {
	share := a.shareOf(p, now)
	if p.rate*a.latency.Seconds() <= share {
		share *= burstFactor
	}
	return p.inFlight+1 <= share
}

func (a *Admission) hasCapacity(p *profileState, q Query, withinShare bool, now time.Time) bool {
	contended := a.contended(p, now)
	switch {
	case withinShare && contended:
		return q.Available+q.MayWait >= q.RequiredCoverage-coverageTolerance
	case !contended:
		return q.Available >= q.RequiredCoverage-coverageTolerance
	}
	return q.AvailableForTwo >= q.RequiredCoverage-coverageTolerance
}

// contended reports whether another profile has recent demand.
func (a *Admission) contended(p *profileState, now time.Time) bool {
	for _, q := range a.order {
		if q != p && q.decayedDemand(now) >= 0.5 {
			return true
		}
	}
	return false
}

// recordDemand counts an offered query and raises the demand to at least one more than the current use.
func (p *profileState) recordDemand(now time.Time) {
	p.rate = decay(p.rate, now.Sub(p.rateAt)) + math.Ln2/halfLife.Seconds()
	p.rateAt = now
	p.demand = max(p.decayedDemand(now), p.inFlight+1)
	p.demandAt = now
}

func (p *profileState) decayedDemand(now time.Time) float64 {
	return decay(p.demand, now.Sub(p.demandAt))
}

// decay halves v once per half-life. The average latency decays too. Otherwise, an average above the remaining time
// of every query would refuse all queries and never be corrected.
func decay(v float64, age time.Duration) float64 {
	if v == 0 || age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/float64(halfLife))
}

// shareOf returns the profile's share of the limit among the profiles with recent demand.
func (a *Admission) shareOf(p *profileState, now time.Time) float64 {
	var sum float64
	for _, q := range a.order {
		if q == p || q.decayedDemand(now) >= 0.5 {
			sum += q.weight
		}
	}
	return a.limit.Limit() * p.weight / sum
}

// reservedForOthers returns the part of their shares that the other profiles may still claim.
func (a *Admission) reservedForOthers(p *profileState, now time.Time) float64 {
	var sum float64
	for _, q := range a.order {
		if q != p {
			sum += max(0, min(a.shareOf(q, now), q.decayedDemand(now))-q.inFlight)
		}
	}
	return sum
}

// Finish ends an admitted query. overloaded states that a backend server shed part of the query or that a shard had
// no replica with a free connection.
func (a *Admission) Finish(profile string, latency time.Duration, overloaded bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !overloaded:
		a.limit.OnSuccess(a.inFlight)
	case a.inFlight*2 >= a.limit.Limit():
		// A limit of which less than half is in use has not caused the overload. Restarting replicas leave shards
		// without capacity even at low load, and reducing the limit to the few queries in flight would refuse the
		// next ones.
		a.limit.OnOverload(a.inFlight, now)
	}
	a.inFlight--
	a.profileFor(profile).inFlight--
	a.latencyAt = now
	if a.latency == 0 {
		a.latency = latency
		return
	}
	a.latency += time.Duration(latencyWeight * float64(latency-a.latency))
}
