// Package crashmodel compares quarantine rules in virtual time. A small discrete-event simulation of daemons, replicas
// and callers runs quarantine.Guard against a request that crashes each replica that executes it, and against mass
// restarts that no request caused.
package crashmodel

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/quarantine"
)

// Scenario selects the fault that is injected.
type Scenario string

// Values of Scenario.
const (
	// CrashingRequest sends one request that crashes replicas, and that its caller resends through other daemons.
	CrashingRequest Scenario = "crash"
	// RollingCrashes crashes every replica once, at random times within 4 s.
	RollingCrashes Scenario = "rolling"
	// RackCrashes crashes one replica of every shard at the same time, then the next one of every shard 1 s later, until
	// every replica has crashed once.
	RackCrashes Scenario = "rack"
	// FleetCrash crashes all replicas at the same time.
	FleetCrash Scenario = "fleet"
)

// Config configures one run of the simulation.
type Config struct {
	Scenario Scenario
	Rule     quarantine.Rule
	Shards   int
	// Replicas is the number of replicas of each shard.
	Replicas int
	Daemons  int
	// Resends is the number of times that a caller resends a failed request.
	Resends int
	// Queries is the number of good queries, without resends.
	Queries int
	// PeerDelay is the maximum delay of a notice between daemons.
	PeerDelay time.Duration
	Seed      uint64
}

// DefaultConfig returns the configuration in which rules are compared: 10 shards of 3 replicas, 7 daemons, 5 resends,
// 300 good queries per second for 5 s, and notices that reach the peers within 40 ms.
func DefaultConfig(scenario Scenario, rule quarantine.Rule, seed uint64) Config {
	return Config{
		Scenario: scenario, Rule: rule, Shards: 10, Replicas: 3, Daemons: 7, Resends: 5, Queries: 1500,
		PeerDelay: 40 * time.Millisecond, Seed: seed,
	}
}

// Outcome holds the counters of one run.
type Outcome struct {
	// ReplicaCrashes is the number of replica crashes that the crashing request caused.
	ReplicaCrashes int
	// GoodRequests counts the good requests, resends included; GoodRefused those that were refused or cancelled by a
	// quarantine; GoodWithLostConnection those that lost at least one connection.
	GoodRequests, GoodRefused, GoodWithLostConnection int
}

// Parameters of the simulation.
const (
	arrivalInterval = time.Second / 300
	deadline        = 300 * time.Millisecond
	downTime        = time.Second
	minOneWayDelay  = 500 * time.Microsecond
	maxOneWayDelay  = 12 * time.Millisecond
	meanServiceTime = 3 * time.Millisecond
	maxAttempts     = 3
	resendDelay     = 50 * time.Millisecond
	crashAt         = time.Second
	// distinctQueries is the number of different good queries; their popularity follows a Zipf distribution.
	distinctQueries = 2000
	zipfExponent    = 1.1
	crashingRequest = "crashing request"
)

type event struct {
	at  time.Duration
	seq int
	run func()
}

// eventHeap is a binary heap of events, the earliest first. It avoids the allocations of container/heap, which accounted
// for most of the time of a run.
type eventHeap []event

func (h eventHeap) less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	for i := len(*h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		(*h)[i], (*h)[parent] = (*h)[parent], (*h)[i]
		i = parent
	}
}

func (h *eventHeap) pop() event {
	old := *h
	first, last := old[0], len(old)-1
	old[0], old[last] = old[last], event{}
	*h = old[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return first
		}
		old[i], old[child] = old[child], old[i]
		i = child
	}
}

type server struct {
	id        string
	downUntil time.Duration
	// running holds the attempts that the server executes, in the order of their arrival. A crash aborts all of them.
	running []*attempt
}

type daemon struct {
	guard        *quarantine.Guard
	oneWayDelays []time.Duration
	// avoidUntil holds the time until which a replica is not picked after a failure.
	avoidUntil map[*server]time.Duration
}

type model struct {
	cfg     Config
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	seq     int
	servers [][]*server
	daemons []*daemon
	outcome Outcome
}

var epoch = time.Unix(0, 0)

// Run runs the simulation once. Equal configurations give equal outcomes.
func Run(cfg Config) Outcome {
	m := &model{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	m.build()
	m.schedule()
	for len(m.events) > 0 {
		e := m.events.pop()
		m.now = e.at
		e.run()
	}
	return m.outcome
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	m.events.push(event{m.now + d, m.seq, run})
}

// Now implements quarantine.Clock.
func (m *model) Now() time.Time { return epoch.Add(m.now) }

// AfterFunc implements quarantine.Clock.
func (m *model) AfterFunc(d time.Duration, f func()) { m.after(d, f) }

func (m *model) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)))
}

// publisher delivers the quarantine notices and observations of one daemon to the others.
type publisher struct {
	m    *model
	self int
}

// Publish implements quarantine.Publisher.
func (p publisher) Publish(n quarantine.Notice) {
	for i, peer := range p.m.daemons {
		if i != p.self {
			p.m.after(p.m.uniform(p.m.cfg.PeerDelay/4, p.m.cfg.PeerDelay), func() { peer.guard.AddRemoteNotice(n) })
		}
	}
}

// PublishObservations implements quarantine.ObservationPublisher.
func (p publisher) PublishObservations(o []quarantine.Observation) {
	for i, peer := range p.m.daemons {
		if i != p.self {
			p.m.after(p.m.uniform(p.m.cfg.PeerDelay/4, p.m.cfg.PeerDelay), func() { peer.guard.AddObservations(o) })
		}
	}
}

func (m *model) build() {
	for s := range m.cfg.Shards {
		var group []*server
		for r := range m.cfg.Replicas {
			group = append(group, &server{id: fmt.Sprintf("%d/%d", s, r)})
		}
		m.servers = append(m.servers, group)
	}
	for i := range m.cfg.Daemons {
		d := &daemon{avoidUntil: map[*server]time.Duration{}}
		d.guard = quarantine.NewGuard(m.cfg.Rule, quarantine.DefaultExpiry, publisher{m, i}, m)
		d.guard.SetObservationPublisher(publisher{m, i})
		for range m.cfg.Replicas {
			d.oneWayDelays = append(d.oneWayDelays, m.uniform(minOneWayDelay, maxOneWayDelay))
		}
		m.daemons = append(m.daemons, d)
	}
}

func (m *model) schedule() {
	popularity := rand.NewZipf(m.rng, zipfExponent, 1, distinctQueries-1)
	for i := range m.cfg.Queries {
		name := fmt.Sprintf("query %d", popularity.Uint64())
		first := m.rng.IntN(m.cfg.Daemons)
		m.after(time.Duration(i)*arrivalInterval, func() { m.start(name, first, 0) })
	}
	switch m.cfg.Scenario {
	case CrashingRequest:
		m.after(crashAt, func() { m.start(crashingRequest, 0, 0) })
	case RollingCrashes:
		for _, group := range m.servers {
			for _, s := range group {
				m.after(m.uniform(500*time.Millisecond, 4500*time.Millisecond), func() { m.crash(s) })
			}
		}
	case FleetCrash:
		for _, group := range m.servers {
			for _, s := range group {
				m.after(crashAt, func() { m.crash(s) })
			}
		}
	case RackCrashes:
		for r := range m.cfg.Replicas {
			for _, group := range m.servers {
				m.after(time.Duration(1+r)*time.Second, func() { m.crash(group[r]) })
			}
		}
	}
}

func (m *model) crash(s *server) {
	s.downUntil = m.now + downTime
	for _, a := range s.running {
		a.onCrash()
	}
	s.running = nil
}

// start sends a request through a daemon. If it fails, it is resent through the next daemon.
func (m *model) start(name string, daemonIndex, resend int) {
	d := m.daemons[daemonIndex%m.cfg.Daemons]
	if name != crashingRequest {
		m.outcome.GoodRequests++
	}
	ctx, run, err := d.guard.Admit(context.Background(), name, quarantine.Search)
	if err != nil {
		if name != crashingRequest {
			m.outcome.GoodRefused++
		}
		m.resend(name, daemonIndex, resend)
		return
	}
	q := &request{m: m, daemon: d, name: name, ctx: ctx, run: run, daemonIndex: daemonIndex, resends: resend,
		pendingShards: m.cfg.Shards}
	for shard := range m.servers {
		q.sendAttempt(shard, nil)
	}
	m.after(deadline, q.finish)
}

func (m *model) resend(name string, daemonIndex, resend int) {
	if resend < m.cfg.Resends {
		m.after(resendDelay, func() { m.start(name, daemonIndex+1, resend+1) })
	}
}
