// Package balancer picks replicas from what a daemon learns of them in its own traffic: answers, refusals, broken
// connections and silence. It sends no probes and does no I/O.
package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Distance is how far a replica is from this daemon.
type Distance int

// Values of Distance.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// State is what the platform's list says of a replica.
type State int

// Values of State.
const (
	Ready State = iota
	Draining
)

// Server is one replica as the platform's list has it.
type Server struct {
	ID      string
	Service string
	Address string
	// DataCentre is the data centre of the replica, Distance its distance from this daemon.
	DataCentre string
	Distance   Distance
	State      State
	// ReadyAt is the last time at which the list had a draining replica as ready; zero if it never did here. Each daemon
	// sets it itself.
	ReadyAt time.Time `json:"-"`
	// Slots is the number of requests that the replica executes at the same time.
	Slots int
	// ColdFor is how much longer the replica is slow after its start.
	ColdFor time.Duration
	// Born is the time of the replica's start in Unix milliseconds; 0 if unknown. Another value under the same ID is a
	// new start.
	Born int64
}

// Load is what a replica reports of itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// Outcome is how an attempt ended.
type Outcome int

// String returns the name that logs and metrics use.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "failed", "broken", "abandoned", "gone"}[o]
}

// Values of Outcome.
const (
	// Answered is a valid answer of the replica.
	Answered Outcome = iota
	// Refused is a refusal without execution.
	Refused
	// Failed is an error that the replica answered, or an answer that could not be used.
	Failed
	// Broken is a connection that could not be opened or that broke.
	Broken
	// Abandoned is an attempt that was cancelled, or open at its deadline.
	Abandoned
	// Gone is a replica that is not at its address any more.
	Gone
)

const (
	// linkSame, linkRegion and linkFar are the assumed round trips of the distances. They only order replicas; the
	// learned slowness corrects them.
	linkSame   = 500 * time.Microsecond
	linkRegion = 8 * time.Millisecond
	linkFar    = 25 * time.Millisecond

	// farFraction of the target latency is what a replica of another region has to be faster to be chosen: bytes between
	// regions are expensive, and a delay that stays well within the target costs the caller nothing.
	farFraction = 0.15

	// assumedLatency is the expected time of a kind of work before its first answer.
	assumedLatency = 30 * time.Millisecond
	// expectedWeight is the weight of a new sample in the expected time of a kind of work.
	expectedWeight = 0.05
	// slownessWeight is the weight of a new sample in a replica's slowness.
	slownessWeight = 0.25
	// slownessHalfLife is how fast a replica without samples is taken as normal again.
	slownessHalfLife = 2 * time.Second
	// mostSlowness bounds the slowness, so that a replica returns from it within a few half-lives.
	mostSlowness = 20

	// refusalWeight is the weight of a new sample in the fraction of refused attempts.
	refusalWeight = 0.2
	// refusalHalfLife is how fast a refusal is forgotten without samples.
	refusalHalfLife = 1500 * time.Millisecond
	// leastServed bounds the cost of a replica that refuses everything, so that it is still tried at times.
	leastServed = 0.05

	// reportHalfLife is how fast a reported load loses its weight.
	reportHalfLife = 150 * time.Millisecond

	// silenceFactor times the expected time is the age of an attempt from which its replica counts as silent.
	silenceFactor = 3
	// leastSilence is the least such age; jitter and short queues stay below it.
	leastSilence = 45 * time.Millisecond
	// firstPause is how long a replica is passed over after it broke a connection or fell silent; the pause doubles with
	// each further failure up to longestPause.
	firstPause   = 150 * time.Millisecond
	longestPause = 1600 * time.Millisecond
	// coldCost multiplies the expected time of a replica that has just started.
	coldCost = 2

	// leavingCost multiplies the expected time of a draining replica: it gets new work only while the others of its service
	// are away, refuse, or are much slower.
	leavingCost = 6

	// assumedSlots is used for a replica whose number of slots is not known.
	assumedSlots = 4
)

// Share is this daemon's part of the connections that a replica accepts from all daemons.
type Share struct {
	// Connections is the largest number of connections, and so of attempts in flight; Idle is the number of them that may
	// stay open unused.
	Connections, Idle int
}

// replica is what is known of one replica. The balancer's lock protects it.
type replica struct {
	Server
	share Share
	// open holds the begin of each attempt in flight, the oldest first.
	open []time.Time

	load      Load
	loadAt    time.Time
	slowness  float64
	sampledAt time.Time
	refused   float64
	refusedAt time.Time
	coldUntil time.Time

	failures    int
	failedAt    time.Time
	pausedUntil time.Time
	gone        bool

	// answeredAt is the last valid answer to this daemon.
	answeredAt time.Time
	// told is what the other daemons were told last.
	told   Health
	toldAt time.Time
}

// Balancer holds all replicas. It is safe for concurrent use.
type Balancer struct {
	mu      sync.Mutex
	rng     *rand.Rand
	shareOf func(Server) Share
	// leavingUse is how long after ReadyAt a draining replica may get new work.
	leavingUse time.Duration
	replicas   map[string]*replica
	services   map[string][]*replica
	// expected is the expected time per kind of work without the link, in nanoseconds.
	expected map[string]float64
	// news holds the replicas whose health changed since TakeNews, in the order of the change.
	news []*replica
}

// New returns a balancer without replicas. Its random choices follow the seed.
func New(seed uint64) *Balancer {
	return &Balancer{
		rng: rand.New(rand.NewPCG(seed, seed)), shareOf: func(Server) Share { return Share{Connections: 1} },
		replicas: make(map[string]*replica), services: make(map[string][]*replica), expected: make(map[string]float64),
	}
}

// SetServers takes the platform's list. What was learned of a replica is kept while its ID, address and start stay.
func (b *Balancer) SetServers(servers []Server, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.replicas
	b.replicas = make(map[string]*replica, len(servers))
	b.services = make(map[string][]*replica)
	for _, s := range servers {
		r := old[s.ID]
		if r == nil || r.Address != s.Address || r.Born != s.Born || r.Service != s.Service {
			r = &replica{slowness: 1}
			if s.ColdFor > 0 {
				r.coldUntil = now.Add(s.ColdFor)
			}
		}
		r.Server = s
		r.share = b.shareOf(s)
		b.replicas[s.ID] = r
		b.services[s.Service] = append(b.services[s.Service], r)
	}
}

// SetShares takes the function that returns this daemon's share of a replica, at least one connection.
func (b *Balancer) SetShares(shareOf func(Server) Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shareOf = shareOf
	for _, r := range b.replicas {
		r.share = shareOf(r.Server)
	}
}

// Choice is a replica that was picked.
type Choice struct {
	Server
	Share Share
}

// Work is a kind of work: requests of one route.
type Work struct {
	// Kind tells requests apart that take different times.
	Kind string
	// Target is the latency within which an answer is of full use.
	Target time.Duration
}

// Pick chooses a replica of the service for the work and counts an attempt in flight. Replicas in exclude and those
// without room are not chosen. ok is false if none is left. Done must be called once per choice.
func (b *Balancer) Pick(service string, work Work, exclude []string, now time.Time) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := b.expectedTime(work.Kind)
	far := time.Duration(farFraction * float64(work.Target))
	var best *replica
	var bestCost float64
	bestSuspect := true
	list := b.services[service]
	start := 0
	if len(list) > 1 {
		start = b.rng.IntN(len(list))
	}
	for i := range list {
		r := list[(start+i)%len(list)]
		if !b.isUsable(r, now) || slices.Contains(exclude, r.ID) {
			continue
		}
		suspect := r.isSuspect(expected, now)
		cost := r.cost(expected, now)
		if r.Distance == OtherRegion {
			cost += float64(far)
		}
		if best == nil || bestSuspect && !suspect || bestSuspect == suspect && cost < bestCost {
			best, bestCost, bestSuspect = r, cost, suspect
		}
	}
	if best == nil {
		return Choice{}, false
	}
	if best.failures > 0 {
		// One attempt tries the replica again; the others pass it over until that one is answered.
		best.pausedUntil = now.Add(best.pause())
	}
	best.open = append(best.open, now)
	return Choice{Server: best.Server, Share: best.share}, true
}

// Lookup returns a replica that was picked; ok is false if the list no longer has it.
func (b *Balancer) Lookup(id string) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return Choice{}, false
	}
	return Choice{Server: r.Server, Share: r.share}, true
}

// isSuspect reports whether the replica is in a pause after a failure, or has kept an attempt and answered nothing for so
// long that it is likely paused or gone.
func (r *replica) isSuspect(expected time.Duration, now time.Time) bool {
	if now.Before(r.pausedUntil) {
		return true
	}
	return len(r.open) > 0 && r.isSilent(r.open[0], expected, now)
}

// isSilent reports whether the replica has answered nothing for long since an attempt began. One that answers others is
// busy or slow, which its cost says.
func (r *replica) isSilent(begin time.Time, expected time.Duration, now time.Time) bool {
	since := begin
	if r.answeredAt.After(since) {
		since = r.answeredAt
	}
	return now.Sub(since) > r.link()+max(leastSilence, time.Duration(silenceFactor*float64(expected)))
}

func (r *replica) pause() time.Duration {
	return min(longestPause, firstPause<<min(r.failures-1, 10))
}

func (r *replica) link() time.Duration {
	switch r.Distance {
	case SameDataCentre:
		return linkSame
	case SameRegion:
		return linkRegion
	default:
		return linkFar
	}
}

// cost estimates the time of one more attempt in nanoseconds.
func (r *replica) cost(expected time.Duration, now time.Time) float64 {
	slots := r.Slots
	if r.load.Slots > 0 {
		slots = r.load.Slots
	}
	if slots <= 0 {
		slots = assumedSlots
	}
	reported := float64(r.load.Running+r.load.Waiting) * halved(now.Sub(r.loadAt), reportHalfLife)
	busy := max(float64(len(r.open)), reported)
	work := float64(expected) * r.slownessAt(now)
	if now.Before(r.coldUntil) {
		work *= coldCost
	}
	if r.State == Draining {
		work *= leavingCost
	}
	// A small part of the load counts below the number of slots too, so that equal replicas share the work.
	queue := 0.15*busy/float64(slots) + max(0, busy+1-float64(slots))/float64(slots)
	served := max(leastServed, 1-r.refusedFraction(now))
	return (float64(r.link()) + work*(1+queue)) / (served * served)
}

func (r *replica) slownessAt(now time.Time) float64 {
	return 1 + (r.slowness-1)*halved(now.Sub(r.sampledAt), slownessHalfLife)
}

func (r *replica) refusedFraction(now time.Time) float64 {
	return r.refused * halved(now.Sub(r.refusedAt), refusalHalfLife)
}

func (b *Balancer) expectedTime(kind string) time.Duration {
	if e := b.expected[kind]; e > 0 {
		return time.Duration(e)
	}
	return assumedLatency
}

// Expected returns the expected time of an attempt of the kind, without the link.
func (b *Balancer) Expected(kind string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expectedTime(kind)
}

// Report takes the load that a replica sent with an answer.
func (b *Balancer) Report(id string, load Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.load, r.loadAt = load, now
	}
}

// Transition is a change of what the balancer believes of a replica.
type Transition int

// Values of Transition.
const (
	Unchanged Transition = iota
	// Paused replicas are passed over for a while.
	Paused
	// Recovered replicas answered after a pause.
	Recovered
	// Left replicas are not at their address any more.
	Left
)

// Done ends an attempt that Pick chose at begin, and returns what that changed.
func (b *Balancer) Done(id, kind string, begin time.Time, outcome Outcome, now time.Time) Transition {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return Unchanged
	}
	failures, gone := r.failures, r.gone
	b.end(r, kind, begin, outcome, now)
	switch {
	case r.gone && !gone:
		return Left
	case r.failures > 0 && failures == 0:
		return Paused
	case r.failures == 0 && failures > 0:
		return Recovered
	default:
		return Unchanged
	}
}

func (b *Balancer) end(r *replica, kind string, begin time.Time, outcome Outcome, now time.Time) {
	defer b.note(r, now)
	if i := slices.IndexFunc(r.open, begin.Equal); i >= 0 {
		r.open = slices.Delete(r.open, i, i+1)
	}
	expected := b.expectedTime(kind)
	switch outcome {
	case Answered:
		own := max(time.Millisecond, now.Sub(begin)-r.link())
		r.sample(float64(own)/float64(expected), now)
		r.refused, r.refusedAt = r.refusedFraction(now)*(1-refusalWeight), now
		r.recovered()
		r.answeredAt = now
		b.learn(kind, own)
	case Refused, Failed:
		r.refused, r.refusedAt = r.refusedFraction(now)*(1-refusalWeight)+refusalWeight, now
		r.recovered()
	case Broken:
		r.failed(begin, now)
	case Abandoned:
		if r.isSilent(begin, expected, now) {
			r.failed(begin, now)
		}
		if ratio := float64(now.Sub(begin)-r.link()) / float64(expected); ratio > max(silenceFactor, r.slownessAt(now)) {
			r.sample(ratio, now)
		}
	case Gone:
		r.gone = true
	}
}

func (r *replica) recovered() { r.failures, r.pausedUntil = 0, time.Time{} }

// failed takes the failure of an attempt that began at begin.
func (r *replica) failed(begin, now time.Time) {
	if begin.Before(r.failedAt) {
		// Attempts that were in flight together fail together; they count once.
		return
	}
	r.failures++
	r.failedAt = now
	r.pausedUntil = now.Add(r.pause())
}

func (r *replica) sample(ratio float64, now time.Time) {
	ratio = min(mostSlowness, ratio)
	r.slowness = r.slownessAt(now)*(1-slownessWeight) + ratio*slownessWeight
	r.sampledAt = now
}

// learn updates the expected time of a kind of work. An outlier counts at most twice the present value, so that an
// incident does not become the norm.
func (b *Balancer) learn(kind string, own time.Duration) {
	e := b.expected[kind]
	if e == 0 {
		b.expected[kind] = float64(own)
		return
	}
	b.expected[kind] = e*(1-expectedWeight) + min(float64(own), 2*e)*expectedWeight
}

// halved returns the factor by which something of the age has faded.
func halved(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	n := float64(age) / float64(halfLife)
	if n > 30 {
		return 0
	}
	return math.Exp2(-n)
}
