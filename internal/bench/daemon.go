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
	pollEvery = 500 * time.Millisecond
	// pollTimeout bounds one call of a load endpoint, dialTimeout that of a new connection.
	pollTimeout = time.Second
	dialTimeout = time.Second
	// admissionStart and admissionCeiling bound the queries in flight per service and daemon.
	admissionStart   = 30
	admissionCeiling = 1000
)

// pool is a daemon's connections to one replica.
type pool struct {
	idle, open, opening, claimed, share int
	// generation grows when the replica closes all connections.
	generation int
}

func (p *pool) reset() {
	p.idle, p.open, p.opening, p.claimed = 0, 0, 0, 0
	p.generation++
}

// daemon composes the decision code as an entry daemon does.
type daemon struct {
	w        *world
	index    int
	dc       int
	registry *replica.Registry
	pools    map[string]*pool
	state    map[string]*serviceState
	rng      *rand.Rand
	// dominant is set if the strategy places by dominant resource.
	dominant *dominantPlacer
}

// serviceState is what a daemon keeps per service.
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
	latency := d.state[service].latency
	release := func() {}
	if d.dominant != nil {
		release = d.dominant.place(&r)
	}
	return scatter.Target{ID: r.ID, Done: func(took time.Duration, err error) {
		release()
		d.registry.Finish(r.ID, took, err)
		if d.w.strategy.Hedges && (err == nil || err == lost) {
			latency.Observe(took, d.w.time())
		}
	}}, true
}

// poll reads the load endpoints of all replicas.
func (d *daemon) poll() {
	for _, s := range d.w.servers {
		d.pollOne(s)
	}
	d.w.after(pollEvery, d.poll)
}

func (d *daemon) pollOne(s *server) {
	there := d.w.delay(d.dc, s.dc)
	if s.down {
		wait := 2 * there
		if s.silent {
			wait = pollTimeout
		}
		d.w.after(wait, func() { d.registry.MarkUnreachable(s.id) })
		return
	}
	back := d.w.delay(s.dc, d.dc)
	load := s.load()
	d.w.after(there+back, func() {
		d.registry.SetLoad(s.id, load, d.w.time())
		d.warm(s, d.pools[s.id])
	})
}

// admit decides on a query and starts it, or refuses it before anything is sent.
func (d *daemon) admit(q *query) {
	st := d.state[q.service.Name]
	if d.w.strategy.Admission {
		refusal := d.w.strategy.admit(d, st, q)
		if refusal != limit.Admitted {
			d.w.stats.count("admission_" + string(refusal))
			q.refused()
			return
		}
	}
	q.start(d, st)
}

// send carries one attempt to its replica.
func (d *daemon) send(q *query, a scatter.Action) {
	s := d.w.byID[a.Replica]
	p := d.pools[s.id]
	c := &call{d: d, q: q, s: s, pool: p, shard: a.Shard, number: a.Attempt, generation: p.generation}
	q.calls[a.Shard] = append(q.calls[a.Shard], c)
	wait, ok := d.connect(s, p)
	if !ok {
		c.noConnection = true
		d.w.after(wait, func() { c.answered(&backend.Error{Failure: backend.NotSent}) })
		return
	}
	j := &job{call: c, deadline: q.deadline, work: q.work}
	c.job = j
	d.w.after(wait+d.w.delay(d.dc, s.dc), func() {
		if !c.closed {
			s.arrive(j)
		}
	})
}

// warm opens connections in the background until enough are idle. An abandoned attempt closes its connection, and
// without this the next attempt would pay for a new one.
func (d *daemon) warm(s *server, p *pool) {
	for p.idle+p.opening < d.w.strategy.WarmConnections && p.open < p.share && s.conns < s.limit && !s.down {
		s.conns++
		s.peakConns = max(s.peakConns, s.conns)
		p.open++
		p.opening++
		generation := p.generation
		d.w.after(2*d.w.delay(d.dc, s.dc)+d.w.dep.ConnectionCost, func() {
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

// connect takes an idle connection or opens one. It returns the time until the request can be written, or until
// the attempt failed.
func (d *daemon) connect(s *server, p *pool) (time.Duration, bool) {
	if p.idle > 0 {
		p.idle--
		d.warm(s, p)
		return 0, true
	}
	if p.opening > p.claimed {
		// The attempt takes a connection that is being opened; the wait is that of a whole opening at most.
		p.claimed++
		return d.w.delay(d.dc, s.dc) + d.w.delay(s.dc, d.dc) + d.w.dep.ConnectionCost, true
	}
	if p.share > 0 && p.open >= p.share {
		d.w.stats.count("connection_share")
		return 0, false
	}
	roundTrip := d.w.delay(d.dc, s.dc) + d.w.delay(s.dc, d.dc)
	if s.down {
		if s.silent {
			return dialTimeout, false
		}
		return roundTrip, false
	}
	if s.conns >= s.limit {
		d.w.stats.count("connection_limit")
		return roundTrip, false
	}
	s.conns++
	s.peakConns = max(s.peakConns, s.conns)
	p.open++
	return roundTrip + d.w.dep.ConnectionCost, true
}
