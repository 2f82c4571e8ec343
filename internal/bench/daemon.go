package bench

import (
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	pollInterval = 500 * time.Millisecond
	// pollTimeout is the timeout of a request to a load endpoint, dialTimeout that of a new connection.
	pollTimeout = time.Second
	dialTimeout = time.Second
	// initialAdmissionLimit and maxAdmissionLimit are the first and the highest limit of the queries in flight per service
	// and daemon.
	initialAdmissionLimit = 30
	maxAdmissionLimit     = 1000
)

// pool counts a daemon's connections to one replica. claimed is the number of opening connections that an attempt waits
// for, share the maximum number of open ones; 0 means no limit, and no idle connections are opened in advance.
type pool struct {
	idle, open, opening, claimed, share int
	// generation is incremented when the replica closes all connections.
	generation int
}

func (p *pool) reset() {
	p.idle, p.open, p.opening, p.claimed = 0, 0, 0, 0
	p.generation++
}

// daemon combines the decision code as an entry daemon does.
type daemon struct {
	sim        *simulation
	index      int
	dataCentre int
	registry   *replica.Registry
	pools      map[string]*pool
	services   map[string]*serviceState
	rng        *rand.Rand
	// dominantPlacer is set if the strategy places sub-requests by dominant resource.
	dominantPlacer *dominantPlacer
}

// serviceState is the state that a daemon keeps for one service.
type serviceState struct {
	service   *Service
	plan      scatter.Plan
	latency   *hedge.LatencyHistogram
	budgets   map[string]*hedge.Budget
	admission *limit.Admission
}

// Pick implements scatter.Picker.
func (d *daemon) Pick(service string, version snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	r, ok := d.registry.Pick(service, version, shard, exclude)
	if !ok {
		return scatter.Target{}, false
	}
	latency := d.services[service].latency
	release := func() {}
	if d.dominantPlacer != nil {
		release = d.dominantPlacer.place(&r)
	}
	return scatter.Target{ID: r.ID, Done: func(took time.Duration, err error) {
		release()
		d.registry.Finish(r.ID, took, err)
		if d.sim.strategy.Hedges && (err == nil || err == errAttemptCancelled) {
			latency.Observe(took, d.sim.time())
		}
	}}, true
}

// poll requests the load reports of all replicas and schedules the next poll.
func (d *daemon) poll() {
	for _, s := range d.sim.servers {
		d.pollReplica(s)
	}
	d.sim.after(pollInterval, d.poll)
}

func (d *daemon) pollReplica(s *server) {
	requestDelay := d.sim.messageDelay(d.dataCentre, s.dataCentre)
	if s.down {
		failureDelay := 2 * requestDelay
		if s.unresponsive {
			failureDelay = pollTimeout
		}
		d.sim.after(failureDelay, func() { d.registry.MarkUnreachable(s.id) })
		return
	}
	responseDelay := d.sim.messageDelay(s.dataCentre, d.dataCentre)
	load := s.loadReport()
	d.sim.after(requestDelay+responseDelay, func() {
		d.registry.SetLoad(s.id, load, d.sim.time())
		d.openIdleConnections(s, d.pools[s.id])
	})
}

// admit starts a query, or refuses it before any sub-request is sent.
func (d *daemon) admit(q *query) {
	st := d.services[q.service.Name]
	if d.sim.strategy.Admission {
		refusal := d.sim.strategy.admit(d, st, q)
		if refusal != limit.Admitted {
			d.sim.stats.countRefusal("admission_" + string(refusal))
			q.reject()
			return
		}
	}
	q.start(d, st)
}

// send sends one attempt to its replica.
func (d *daemon) send(q *query, a scatter.Action) {
	s := d.sim.byID[a.Replica]
	p := d.pools[s.id]
	c := &call{daemon: d, query: q, server: s, pool: p, shard: a.Shard, attempt: a.Attempt, generation: p.generation}
	q.calls[a.Shard] = append(q.calls[a.Shard], c)
	wait, ok := d.connect(s, p)
	if !ok {
		c.notConnected = true
		d.sim.after(wait, func() { c.complete(&backend.Error{Failure: backend.NotSent}) })
		return
	}
	j := &job{call: c, deadline: q.deadline, workFactor: q.workFactor}
	c.job = j
	d.sim.after(wait+d.sim.messageDelay(d.dataCentre, s.dataCentre), func() {
		if !c.closed {
			s.arrive(j)
		}
	})
}

// openIdleConnections opens connections in the background until enough are idle. An abandoned attempt closes its
// connection, and without idle ones the next attempt would have to wait for a new connection.
func (d *daemon) openIdleConnections(s *server, p *pool) {
	for p.idle+p.opening < d.sim.strategy.IdleConnections && p.open < p.share &&
		s.connections < s.connectionLimit && !s.down {
		s.connections++
		s.peakConnections = max(s.peakConnections, s.connections)
		p.open++
		p.opening++
		generation := p.generation
		d.sim.after(2*d.sim.messageDelay(d.dataCentre, s.dataCentre)+d.sim.deployment.ConnectionCost, func() {
			if p.generation == generation {
				p.opening--
				if p.claimed > 0 {
					p.claimed--
				} else {
					p.idle++
				}
			}
		})
	}
}

// connect takes an idle connection or opens a new one. It returns the time until the request can be written, or, with
// false, until the attempt has failed.
func (d *daemon) connect(s *server, p *pool) (time.Duration, bool) {
	if p.idle > 0 {
		p.idle--
		d.openIdleConnections(s, p)
		return 0, true
	}
	if p.opening > p.claimed {
		// The attempt takes over a connection that is being opened. The full opening time is an upper bound of its wait.
		p.claimed++
		return d.sim.messageDelay(d.dataCentre, s.dataCentre) + d.sim.messageDelay(s.dataCentre, d.dataCentre) +
			d.sim.deployment.ConnectionCost, true
	}
	if p.share > 0 && p.open >= p.share {
		d.sim.stats.countRefusal("connection_share")
		return 0, false
	}
	roundTrip := d.sim.messageDelay(d.dataCentre, s.dataCentre) + d.sim.messageDelay(s.dataCentre, d.dataCentre)
	if s.down {
		if s.unresponsive {
			return dialTimeout, false
		}
		return roundTrip, false
	}
	if s.connections >= s.connectionLimit {
		d.sim.stats.countRefusal("connection_limit")
		return roundTrip, false
	}
	s.connections++
	s.peakConnections = max(s.peakConnections, s.connections)
	p.open++
	return roundTrip + d.sim.deployment.ConnectionCost, true
}
