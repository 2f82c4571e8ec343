package limit

import (
	"math"
	"sync"
	"time"
)

// Refusal is why a query was refused.
type Refusal string

// Reasons of a refusal. All are decided before anything is sent.
const (
	Admitted       Refusal = ""
	RefusedShare   Refusal = "share"
	RefusedTooLate Refusal = "too_late"
	// RefusedNoRoom means that too many shards have no replica with room. It is decided from the registry's Room.
	RefusedNoRoom Refusal = "no_room"
)

// OverloadSheds is the number of sheds within one query that is a sign of overload of the service; a single one is
// a matter of its replica.
const OverloadSheds = 2

const (
	// halfLife is how fast a profile's claim on unused capacity fades after its demand ends.
	halfLife = time.Second
	// latencyWeight is the weight of a new sample in the moving average of the query latency.
	latencyWeight = 0.05
	// lateFraction of the average latency is the least remaining time that a query is admitted with.
	lateFraction = 0.5
	// burstFactor times its share is what a profile with a demand within its share may use for a moment.
	burstFactor = 3
	// rounding is above the rounding of the bounds of a few thousand shards to whole hash values, and far below the part
	// of one shard.
	rounding = 1e-6
	// overloadPause is the least time between two reductions: the effect of one must be seen before the next.
	overloadPause = 100 * time.Millisecond
)

// Admission admits queries of several profiles to one pool of backend servers. Each profile may always use its
// weighted share of the pool's adaptive limit; what other profiles have not claimed lately may be borrowed. The
// unit is one query in flight of this daemon. It is safe for concurrent use.
type Admission struct {
	mu       sync.Mutex
	limit    Adaptive
	inFlight float64
	profiles map[string]*profileUse
	// order lists the profiles in a fixed order, so that sums do not depend on the order of a map.
	order     []*profileUse
	latency   time.Duration
	latencyAt time.Time
}

type profileUse struct {
	weight   float64
	inFlight float64
	// demand is the largest use that the profile lately asked for, fading with time.
	demand   float64
	demandAt time.Time
	// rate is the average number of queries per second that the profile offered, refused ones included.
	rate   float64
	rateAt time.Time
}

// NewAdmission returns an admission whose limit starts at start queries and stays at or below ceiling.
func NewAdmission(start, ceiling float64) *Admission {
	return &Admission{limit: NewAdaptive(start, ceiling, overloadPause), profiles: make(map[string]*profileUse)}
}

// SetWeight sets the share of a profile. A profile without one has weight 1.
func (a *Admission) SetWeight(profile string, weight float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.use(profile).weight = weight
}

// Limit returns the present limit in queries.
func (a *Admission) Limit() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit.Limit()
}

func (a *Admission) use(profile string) *profileUse {
	p, ok := a.profiles[profile]
	if !ok {
		p = &profileUse{weight: 1}
		a.profiles[profile] = p
		a.order = append(a.order, p)
	}
	return p
}

// Query is what admission needs to know of a query.
type Query struct {
	Profile   string
	Remaining time.Duration
	// Room and Spare are the fractions of the query's shards that have room for one and for two sub-requests, and
	// Least is the fraction that the query needs.
	Room, Spare, Least float64
	// Waits is the fraction of the shards that may wait for room after the start. It counts for a query within its
	// profile's share while other profiles have demand.
	Waits float64
}

// Waits returns the value of Query.Waits: one shard may wait for room if the profile waits for missing shards. Under a
// flood, most queries that find no room lack it in a single shard, whose slow replicas hold all connections.
func Waits(waits bool, shards int) float64 {
	if !waits || shards == 0 {
		return 0
	}
	return 1 / float64(shards)
}

// Admit decides on one query. After Admitted, the caller calls Finish exactly once. While other profiles have demand, a
// query beyond its profile's share needs spare room, and one within it needs room in all shards but those that wait.
func (a *Admission) Admit(q Query, now time.Time) Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.use(q.Profile)
	if float64(q.Remaining) < lateFraction*fade(float64(a.latency), now.Sub(a.latencyAt)) {
		return RefusedTooLate
	}
	p.want(now)
	guaranteed := a.guaranteed(p, now)
	if !a.hasRoom(p, q, guaranteed, now) {
		a.limit.Overload(a.inFlight, now)
		return RefusedNoRoom
	}
	if !guaranteed && a.inFlight+1+a.reserved(p, now) > a.limit.Limit() {
		return RefusedShare
	}
	p.inFlight++
	a.inFlight++
	return Admitted
}

// guaranteed reports whether the profile's share covers one more query. A profile whose average demand lies within
// its share may exceed it for a moment: random arrivals do so often while the share is only a few queries.
func (a *Admission) guaranteed(p *profileUse, now time.Time) bool {
	share := a.shareOf(p, now)
	if p.rate*a.latency.Seconds() <= share {
		share *= burstFactor
	}
	return p.inFlight+1 <= share
}

func (a *Admission) hasRoom(p *profileUse, q Query, guaranteed bool, now time.Time) bool {
	contended := a.contended(p, now)
	switch {
	case guaranteed && contended:
		return q.Room+q.Waits >= q.Least-rounding
	case !contended:
		return q.Room >= q.Least-rounding
	}
	return q.Spare >= q.Least-rounding
}

// contended reports whether another profile has recent demand.
func (a *Admission) contended(p *profileUse, now time.Time) bool {
	for _, q := range a.order {
		if q != p && q.faded(now) >= 0.5 {
			return true
		}
	}
	return false
}

// want counts an offered query and raises the demand to one more than the profile uses now.
func (p *profileUse) want(now time.Time) {
	p.rate = fade(p.rate, now.Sub(p.rateAt)) + math.Ln2/halfLife.Seconds()
	p.rateAt = now
	p.demand = max(p.faded(now), p.inFlight+1)
	p.demandAt = now
}

func (p *profileUse) faded(now time.Time) float64 {
	return fade(p.demand, now.Sub(p.demandAt))
}

// fade halves v once per half-life. A latency fades too: otherwise an average above every remaining time would
// refuse all queries and never be corrected.
func fade(v float64, age time.Duration) float64 {
	if v == 0 || age <= 0 {
		return v
	}
	return v * math.Exp2(-float64(age)/float64(halfLife))
}

// shareOf returns the profile's part of the limit among the profiles with recent demand.
func (a *Admission) shareOf(p *profileUse, now time.Time) float64 {
	var sum float64
	for _, q := range a.order {
		if q == p || q.faded(now) >= 0.5 {
			sum += q.weight
		}
	}
	return a.limit.Limit() * p.weight / sum
}

// reserved returns what the other profiles may still claim of their shares.
func (a *Admission) reserved(p *profileUse, now time.Time) float64 {
	var sum float64
	for _, q := range a.order {
		if q != p {
			sum += max(0, min(a.shareOf(q, now), q.faded(now))-q.inFlight)
		}
	}
	return sum
}

// Finish ends an admitted query. overloaded says that a backend server shed part of it or that a shard had no
// replica with room.
func (a *Admission) Finish(profile string, latency time.Duration, overloaded bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !overloaded:
		a.limit.Good(a.inFlight)
	case a.inFlight*2 >= a.limit.Limit():
		// A limit that is not in use has not caused the overload. Replicas that restart leave shards without room under
		// little load, and cutting the limit to the few queries in flight would refuse the next ones.
		a.limit.Overload(a.inFlight, now)
	}
	a.inFlight--
	a.use(profile).inFlight--
	a.latencyAt = now
	if a.latency == 0 {
		a.latency = latency
		return
	}
	a.latency += time.Duration(latencyWeight * float64(latency-a.latency))
}
