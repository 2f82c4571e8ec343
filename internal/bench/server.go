package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	// queuePerSlot times the slots is the queue length above which a replica sheds.
	queuePerSlot = 6
	// reportEvery is how often a replica refreshes the load that its load endpoint states.
	reportEvery = 250 * time.Millisecond
	// coldFactor is how much longer a request takes right after a start.
	coldFactor = 3
)

type jobState int

const (
	jobQueued jobState = iota
	jobRunning
	jobEnded
)

// job is one sub-request at a replica.
type job struct {
	call        *call
	deadline    time.Duration
	state       jobState
	incarnation int64
	// work multiplies the service time; it is above 1 for heavy queries.
	work float64
}

// server is the stand-in of one replica.
type server struct {
	w       *world
	id      string
	service string
	dc      int
	slots   int
	limit   int
	holding snapshot.Availability
	rng     *rand.Rand

	incarnation int64
	draining    bool
	down        bool
	// silent means that a server that is down does not even refuse connections.
	silent    bool
	startedAt time.Duration
	coldFor   time.Duration
	// slow multiplies all service times; shed is the share of requests that are shed whatever the load.
	slow float64
	shed float64
	// lies makes the load report state an idle replica.
	lies bool

	busy       int
	queue      []*job
	running    []*job
	conns      int
	peakConns  int
	report     backend.LoadReport
	reportedAt time.Duration
}

// arrive handles a sub-request. It refuses, queues or runs it.
func (s *server) arrive(j *job) {
	j.incarnation = s.incarnation
	switch {
	case s.down && s.silent:
		return
	case s.down:
		s.reply(j, &backend.Error{Failure: backend.ConnectionLost})
	case s.draining:
		s.refuse(j, backend.RefusedDraining)
	case s.shed > 0 && s.rng.Float64() < s.shed:
		s.refuse(j, backend.RefusedShedding)
	case s.busy < s.slots:
		s.start(j)
	case len(s.queue) >= queuePerSlot*s.slots:
		s.refuse(j, backend.RefusedShedding)
	default:
		s.queue = append(s.queue, j)
	}
}

func (s *server) refuse(j *job, reason backend.RefusalReason) {
	j.state = jobEnded
	s.w.stats.count("replica_" + string(reason))
	s.reply(j, &backend.Error{Failure: backend.Refused, Refusal: backend.Refusal{
		Reason: reason, Ran: "never", Replica: s.id, Incarnation: s.incarnation,
	}})
}

func (s *server) reply(j *job, err error) {
	c := j.call
	s.w.after(s.w.delay(s.dc, c.d.dc), func() { c.answered(err) })
}

func (s *server) start(j *job) {
	s.busy++
	j.state = jobRunning
	s.running = append(s.running, j)
	s.w.after(s.serviceTime(j.work), func() { s.end(j, true) })
}

func (s *server) serviceTime(work float64) time.Duration {
	t := float64(medianService) * math.Exp(sigmaService*s.rng.NormFloat64()) * work
	if s.rng.Float64() < tailShare {
		t *= tailFactor
	}
	if age := s.w.now - s.startedAt; age < s.coldFor {
		t *= 1 + (coldFactor-1)*(1-float64(age)/float64(s.coldFor))
	}
	return time.Duration(t * s.slow)
}

// end frees the slot of a job, answers it if it ran to its end, and starts the next one.
func (s *server) end(j *job, complete bool) {
	if j.state != jobRunning || j.incarnation != s.incarnation {
		return
	}
	j.state = jobEnded
	s.busy--
	for i, r := range s.running {
		if r == j {
			s.running[i] = s.running[len(s.running)-1]
			s.running = s.running[:len(s.running)-1]
			break
		}
	}
	if complete {
		s.reply(j, nil)
	}
	s.next()
}

func (s *server) next() {
	for s.busy < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.state != jobQueued {
			continue
		}
		if s.w.now >= j.deadline {
			s.refuse(j, backend.RefusedDeadline)
			continue
		}
		s.start(j)
	}
}

// cancel handles the closed connection of an abandoned sub-request.
func (s *server) cancel(j *job) {
	switch j.state {
	case jobQueued:
		j.state = jobEnded
		for i, q := range s.queue {
			if q == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				return
			}
		}
	case jobRunning:
		s.end(j, false)
	}
}

// stop ends the process; open connections break.
func (s *server) stop(silent bool) {
	s.down, s.silent = true, silent
	lost := append(append([]*job(nil), s.running...), s.queue...)
	s.running, s.queue, s.busy, s.conns = nil, nil, 0, 0
	for _, d := range s.w.daemons {
		d.pools[s.id].reset()
	}
	for _, j := range lost {
		if j.state != jobEnded {
			j.state = jobEnded
			s.reply(j, &backend.Error{Failure: backend.ConnectionLost})
		}
	}
}

// boot starts the next incarnation, which is cold for a while.
func (s *server) boot(coldFor time.Duration) {
	s.incarnation++
	s.down, s.silent, s.draining = false, false, false
	s.startedAt, s.coldFor = s.w.now, coldFor
	s.reportedAt = 0
}

// load returns the body of the load endpoint, which is refreshed at intervals and states a cold replica as ready.
func (s *server) load() backend.LoadReport {
	if s.report.Incarnation == s.incarnation && s.w.now-s.reportedAt < reportEvery && s.draining == (s.report.State == backend.StateDraining) {
		return s.report
	}
	s.reportedAt = s.w.now
	s.report = backend.LoadReport{
		Replica: s.id, Service: s.service, Incarnation: s.incarnation, State: backend.StateReady,
		Slots: s.slots, Busy: s.busy, Queued: len(s.queue), Connections: s.limit,
		Holdings: []snapshot.Availability{s.holding},
	}
	if s.draining {
		s.report.State = backend.StateDraining
	}
	if s.lies {
		s.report.Busy, s.report.Queued = 0, 0
	}
	return s.report
}
