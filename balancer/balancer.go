// Package balancer selects a replica for each attempt. It relies on passive health checking only: the outcomes,
// latencies and load reports of this daemon's own traffic, plus the health updates of other daemons. It sends no
// probes and does no I/O.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chivemill/chivemill/egress"
	"github.com/chivemill/chivemill/residency"
)

// Distance is the network distance between a replica and this daemon.
type Distance int

// Values of Distance.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// State is the lifecycle state of a replica in the platform's replica list.
type State int

// Values of State.
const (
	Ready State = iota
	Draining
)

// Server describes one replica as listed by the platform.
type Server struct {
	ID      string
	Service string
	Address string
	// DataCentre is where the replica runs and Distance how far that is from this daemon. Region is the region of the data
	// centre, empty if unknown; each daemon sets it locally, so it is not encoded.
	DataCentre string
	Distance   Distance
	Region     string `json:"-"`
	State      State
	// LastReadyAt is the last time at which the list showed a replica that is now draining as ready. It is zero if this
	// daemon never saw it ready. Each daemon sets it locally, so it is not encoded.
	LastReadyAt time.Time `json:"-"`
	// Slots is the number of requests that the replica executes concurrently.
	Slots int
	// WarmupLeft is the remaining warm-up time after the replica's start, during which it is slower than usual.
	WarmupLeft time.Duration `json:"ColdFor"`
	// StartedAtMs is the replica's start time in Unix milliseconds, or 0 if unknown. A different value under the same ID
	// means that the replica was restarted.
	StartedAtMs int64 `json:"Born"`
	// Sequence is the number of reports of the replica since its start when the entry was written. It tells which of two
	// entries of the same start is older.
	Sequence int64 `json:"Sequence,omitempty"`
	// Missing is set for a replica that the platform no longer lists and that is kept for a short time, since its entry may have
	// lapsed while it could not be renewed.
	Missing bool `json:",omitempty"`
	// WarmupSequence is the Sequence of the report with which the current warm-up began, at least 1, or 0 if the replica is warm or the
	// requests to its service are not limited during warm-up. A replica may become cold again without a restart.
	WarmupSequence int64 `json:",omitempty"`
}

// Load is the load that a replica reports in its responses.
type Load struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work currently takes on the replica's machine, with 100 for as usual, or 0 if the replica does not
	// state it.
	WorkPercent float64
}

const (
	// Assumed round-trip times per distance. They only rank the replicas; measured slowness corrects them.
	rttSameDataCentre = 500 * time.Microsecond
	rttSameRegion     = 8 * time.Millisecond
	rttOtherRegion    = 25 * time.Millisecond

	// crossRegionPenalty of the target latency is added to the cost of a replica in another region, so it must be
	// faster by that much to be chosen: traffic between regions is expensive, and a delay well within the target
	// does not hurt the caller.
	crossRegionPenalty = 0.15

	// initialLatency is the expected latency of a kind of request before its first response.
	initialLatency = 30 * time.Millisecond
	// latencySampleWeight is the weight of a new sample in the moving average of the latency of a kind of request.
	latencySampleWeight = 0.05
	// slownessSampleWeight is the weight of a new sample in the moving average of a replica's slowness.
	slownessSampleWeight = 0.25
	// slownessHalfLife is the half-life with which the slowness of a replica without new samples returns to normal.
	slownessHalfLife = 2 * time.Second
	// maxSlowness caps the slowness, so that a replica recovers from it within a few half-lives.
	maxSlowness = 20

	// turnTimeSampleWeight is the weight of a new sample in the moving average of a replica's time per request. maxTurnLoadAge is
	// how long after the report of the load an answer is still taken for the one that carried it.
	turnTimeSampleWeight = 0.25
	// meanTurnTimeSampleWeight is the weight of a new sample in the moving average over all replicas.
	meanTurnTimeSampleWeight = 0.01
	maxTurnLoadAge           = 20 * time.Millisecond

	// refusalSampleWeight is the weight of a new sample in the moving average of refused and failed attempts.
	refusalSampleWeight = 0.2
	// refusalHalfLife is the half-life of the refusal rate when there are no new samples.
	refusalHalfLife = 1500 * time.Millisecond
	// minServedFraction caps the cost of a replica that refuses everything, so that it is still tried occasionally.
	minServedFraction = 0.05

	// loadHalfLife is the half-life of a reported load.
	loadHalfLife = 150 * time.Millisecond
	// workPercentHalfLife is the half-life of a reported WorkPercent. It is shorter than that of the load, since the speed of a machine
	// changes many times a second.
	workPercentHalfLife = 100 * time.Millisecond

	// A replica counts as unresponsive once an attempt in flight has waited for longer than the round trip plus
	// unresponsiveFactor times the expected latency, counted from its start or from the replica's last response,
	// whichever is later.
	unresponsiveFactor = 3
	// minUnresponsiveAge is the minimum of that time without the round trip. Jitter and short queues stay below it.
	minUnresponsiveAge = 45 * time.Millisecond
	// initialPause is how long a replica is avoided after a connection failure or after it became unresponsive.
	// Each further failure doubles the pause, up to maxPause.
	initialPause = 150 * time.Millisecond
	maxPause     = 1600 * time.Millisecond
	// warmupCostFactor multiplies the expected latency of a replica that has just started.
	warmupCostFactor = 2

	// drainingCostFactor multiplies the expected latency of a draining replica. It gets new work only while the
	// other replicas of its service are unavailable, refuse requests or are much slower.
	drainingCostFactor = 6

	// defaultSlots is the number of slots assumed for a replica that does not state it.
	defaultSlots = 4
)

// ConnectionShare is this daemon's part of the connections that a replica accepts from all daemons together.
type ConnectionShare struct {
	// MaxConnections is the maximum number of connections, and therefore of attempts in flight. MaxIdle is the maximum
	// number of idle connections kept open.
	MaxConnections, MaxIdle int
}

// replica is the state kept for one replica. It is protected by the mutex of the Balancer.
type replica struct {
	Server
	share ConnectionShare
	// inFlight holds the start time of each attempt in flight, oldest first.
	inFlight []time.Time

	load              Load
	loadAt            time.Time
	workPercent       float64
	workPercentAt     time.Time
	slowness          float64
	slownessUpdatedAt time.Time
	refusalRate       float64
	refusalUpdatedAt  time.Time
	// turnTime is the moving average of the time that a slot takes for one request of the current mix, in nanoseconds; 0 if unknown.
	turnTime    float64
	warmupUntil time.Time
	// probedAt is when the replica was a candidate for a probe last.
	probedAt time.Time

	failures    int
	failedAt    time.Time
	pausedUntil time.Time
	removed     bool
	// leavingSince is when the replica first stated that it leaves, zero if it has not. It holds as long as the replica is not
	// started again. leavingSentAt is when this daemon last told the others.
	leavingSince, leavingSentAt time.Time

	// answeredAt is the time of the last valid response to this daemon.
	answeredAt time.Time
	// limit is the replica's request limit.
	limit requestLimit
	// published is the health last exchanged with the other daemons.
	published   Health
	publishedAt time.Time
}

// Balancer holds the state of all replicas. It is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	rng     *rand.Rand
	shareOf func(Server) ConnectionShare
	// drainingGrace is how long after LastReadyAt a draining replica may still get new work, and one that states that it leaves after
	// its first such statement.
	drainingGrace time.Duration
	replicas      map[string]*replica
	services      map[string][]*replica
	// expectedLatency holds the expected latency per kind of request in nanoseconds, without the network round trip.
	expectedLatency map[string]float64
	// turnTime is the moving average of the turnTime samples of all replicas.
	turnTime float64
	// healthUpdates lists the replicas whose health changed since the last TakeHealthUpdates, in order of change.
	healthUpdates []*replica
	// isIsolated is set while this daemon is partitioned from all replicas.
	isIsolated bool
	// respondedAt is the time of the last response of any replica to this daemon.
	respondedAt time.Time
	// limitUpdates lists the replicas whose request limit has to be sent to the other daemons.
	limitUpdates []*replica
	// leaving lists the replicas that have stated to this daemon that they leave.
	leaving []*replica
	// evacuated holds the data centres whose replicas get no requests.
	evacuated map[string]bool
	// requestFractionOf returns this daemon's part of a replica's request limit.
	requestFractionOf func(Server) float64
	// warmupLimitOf returns how this daemon limits its requests to a cold replica.
	warmupLimitOf func(Server) WarmupLimit
	// egress decides which share of the requests leaves the data centre; nil for none.
	egress *egress.Controller
}

// New returns an empty balancer. The seed determines its random choices.
func New(seed uint64) *Balancer {
	return &Balancer{
		rng: rand.New(rand.NewPCG(seed, seed)), shareOf: func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 1} },
		replicas: make(map[string]*replica), services: make(map[string][]*replica), expectedLatency: make(map[string]float64),
		requestFractionOf: func(Server) float64 { return 1 }, warmupLimitOf: func(Server) WarmupLimit { return WarmupLimit{} },
	}
}

// SetServers replaces the replica list. The state of a replica is kept as long as its ID, address, service and
// start time stay the same.
func (b *Balancer) SetServers(servers []Server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.replicas
	b.replicas = make(map[string]*replica, len(servers))
	b.services = make(map[string][]*replica)
	for _, s := range servers {
		r := old[s.ID]
		if r == nil || r.Address != s.Address || r.StartedAtMs != s.StartedAtMs || r.Service != s.Service {
			r = &replica{Server: s, slowness: 1}
			r.limit.warmup = b.warmupLimitOf(s)
			if s.WarmupLeft > 0 {
				r.warmupUntil = now.Add(s.WarmupLeft)
				b.setCold(r, s.WarmupLeft, now)
			}
		} else {
			b.updateWarmup(r, r.Server, s, now)
		}
		r.Server = s
		r.share = b.shareOf(s)
		b.replicas[s.ID] = r
		b.services[s.Service] = append(b.services[s.Service], r)
	}
	b.dropEgress()
}

// SetEvacuated sets the data centres whose replicas get no requests. Those of a data centre whose evacuation ends count as cold if their
// service has a warm-up limit.
func (b *Balancer) SetEvacuated(dataCentres []string, now time.Time) {
	evacuated := make(map[string]bool, len(dataCentres))
	for _, c := range dataCentres {
		evacuated[c] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	wasEvacuated := b.evacuated
	b.evacuated = evacuated
	b.setColdAfterEvacuation(wasEvacuated, now)
}

// SetConnectionShares sets the function that returns this daemon's connection share for a replica. The share must allow
// at least one connection.
func (b *Balancer) SetConnectionShares(shareOf func(Server) ConnectionShare) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shareOf = shareOf
	for _, r := range b.replicas {
		r.share = shareOf(r.Server)
	}
}

// Choice is a replica selected for an attempt.
type Choice struct {
	Server
	Share ConnectionShare
	// HasRequestLimit is set if the replica names a request limit.
	HasRequestLimit bool
	// Egress is why the attempt leaves the data centre. IsHeld is set if it stays there although its cost would be lower elsewhere.
	Egress EgressReason
	IsHeld bool
}

// RequestClass describes a class of requests, such as those of one route.
type RequestClass struct {
	// Kind identifies the class. Latency is tracked separately for each kind.
	Kind string
	// TargetLatency is the latency up to which a response has its full value to the caller.
	TargetLatency time.Duration
	// Regions are the regions in which the request may be served.
	Regions residency.Regions
}

// Pick selects a replica of the service for a request of the class and counts an attempt in flight. It skips the
// replicas in exclude and those that are in a region that is not allowed or an evacuated data centre, removed, draining beyond
// the grace time, without a free connection, or whose request limit or warm-up leaves this daemon no further request now. It
// selects a paused or unresponsive replica only if there is no other. ok is false if none is left. Every successful call must be
// followed by exactly one call of Done.
func (b *Balancer) Pick(service string, class RequestClass, exclude []string, now time.Time) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expectedLatency := b.expectedLatencyFor(class.Kind)
	penalty := time.Duration(crossRegionPenalty * float64(class.TargetLatency))
	var best *replica
	var bestCost float64
	bestSuspect := true
	list := b.services[service]
	offset := 0
	if len(list) > 1 {
		offset = b.rng.IntN(len(list))
	}
	for i := range list {
		r := list[(offset+i)%len(list)]
		if !class.Regions.Allows(r.Region) || !b.isAvailable(r, now) || slices.Contains(exclude, r.ID) {
			continue
		}
		suspect := r.isSuspect(expectedLatency, now)
		cost := r.cost(expectedLatency, now)
		if r.Distance == OtherRegion {
			cost += float64(penalty)
		}
		if best == nil || bestSuspect && !suspect || bestSuspect == suspect && cost < bestCost {
			best, bestCost, bestSuspect = r, cost, suspect
		}
	}
	if best == nil {
		return Choice{}, false
	}
	best, reason, held := b.chooseSide(service, class, best, len(exclude) > 0, now)
	if best.failures > 0 {
		// Only this attempt probes the failed replica. The others avoid it until the probe succeeds.
		best.pausedUntil = now.Add(best.pauseDuration())
	}
	best.inFlight = append(best.inFlight, now)
	best.limit.countAttempt(now)
	return Choice{Server: best.Server, Share: best.share, HasRequestLimit: best.limit.isInForce(now), Egress: reason, IsHeld: held}, true
}

// Lookup returns a replica by its ID. ok is false if it is not in the current list.
func (b *Balancer) Lookup(id string) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return Choice{}, false
	}
	return Choice{Server: r.Server, Share: r.share}, true
}

// isSuspect reports whether the replica is in a pause after a failure, or has been unresponsive since the start of
// its oldest attempt in flight and is therefore likely stalled or crashed.
func (r *replica) isSuspect(expectedLatency time.Duration, now time.Time) bool {
	if now.Before(r.pausedUntil) {
		return true
	}
	return len(r.inFlight) > 0 && r.isUnresponsive(r.inFlight[0], expectedLatency, now)
}

// isUnresponsive reports whether the replica has sent no response for too long since an attempt started. A replica
// that answers other attempts in the meantime is only busy or slow, which its cost accounts for.
func (r *replica) isUnresponsive(startedAt time.Time, expectedLatency time.Duration, now time.Time) bool {
	since := startedAt
	if r.answeredAt.After(since) {
		since = r.answeredAt
	}
	return now.Sub(since) > r.assumedRTT()+max(minUnresponsiveAge, time.Duration(unresponsiveFactor*float64(expectedLatency)))
}

func (r *replica) pauseDuration() time.Duration {
	return min(maxPause, initialPause<<min(r.failures-1, 10))
}

func (r *replica) assumedRTT() time.Duration {
	switch r.Distance {
	case SameDataCentre:
		return rttSameDataCentre
	case SameRegion:
		return rttSameRegion
	default:
		return rttOtherRegion
	}
}

// cost estimates the duration of one more attempt in nanoseconds.
func (r *replica) cost(expectedLatency time.Duration, now time.Time) float64 {
	slots := r.Slots
	if r.load.Slots > 0 {
		slots = r.load.Slots
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	reported := float64(r.load.Running+r.load.Waiting) * decayFactor(now.Sub(r.loadAt), loadHalfLife)
	busy := max(float64(len(r.inFlight)), reported)
	work := float64(expectedLatency) * r.slownessWithReportAt(now)
	if now.Before(r.warmupUntil) {
		work *= warmupCostFactor
	}
	if r.State == Draining || !r.leavingSince.IsZero() {
		work *= drainingCostFactor
	}
	// Load below the number of slots also adds a small cost, so that equally fast replicas share the work.
	queue := 0.15*busy/float64(slots) + max(0, busy+1-float64(slots))/float64(slots)
	served := max(minServedFraction, 1-r.refusalRateAt(now))
	return (float64(r.assumedRTT()) + work*(1+queue)) / (served * served)
}

// slownessWithReportAt returns the measured slowness or, if it is greater, what the replica's latest report says of its machine, weighted
// by its age. It is not the product, because the measured attempts have been slowed down by the same machine.
func (r *replica) slownessWithReportAt(now time.Time) float64 {
	measured, reported := r.slownessAt(now), min(maxSlowness, r.workPercent/100)
	return measured + max(0, reported-measured)*decayFactor(now.Sub(r.workPercentAt), workPercentHalfLife)
}

func (b *Balancer) expectedLatencyFor(kind string) time.Duration {
	if e := b.expectedLatency[kind]; e > 0 {
		return time.Duration(e)
	}
	return initialLatency
}

// ExpectedLatency returns the expected latency of an attempt of the kind, without the network round trip.
func (b *Balancer) ExpectedLatency(kind string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expectedLatencyFor(kind)
}

// ReportLoad records the load that a replica sent with a response.
func (b *Balancer) ReportLoad(id string, load Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.load, r.loadAt = load, now
		if load.WorkPercent > 0 {
			r.workPercent, r.workPercentAt = load.WorkPercent, now
		}
	}
}
