package bench

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	// maxQueuedPerSlot times the number of slots is the queue length at which a replica sheds requests.
	maxQueuedPerSlot = 6
	// reportInterval is the interval at which a replica refreshes its load report.
	reportInterval = 250 * time.Millisecond
	// coldStartFactor multiplies the service time right after a start.
	coldStartFactor = 3
)

type jobState int

const (
	jobQueued jobState = iota
	jobRunning
	jobFinished
)

// job is one sub-request at a replica.
type job struct {
	call        *call
	deadline    time.Duration
	state       jobState
	incarnation int64
	// workFactor multiplies the service time; it is above 1 for heavy queries.
	workFactor float64
}

// server simulates one replica.
type server struct {
	sim             *simulation
	id              string
	service         string
	dataCentre      int
	slots           int
	connectionLimit int
	holding         snapshot.Holding
	rng             *rand.Rand

	incarnation int64
	draining    bool
	down        bool
	// unresponsive means that a server that is down does not refuse connections, so that callers run into a timeout.
	unresponsive  bool
	startedAt     time.Duration
	coldStartTime time.Duration
	// slowdown multiplies all service times; shedFraction is the fraction of the requests that are shed whatever the load.
	slowdown     float64
	shedFraction float64
	// reportsIdle makes the load report state an idle replica, whatever the load.
	reportsIdle bool

	busySlots       int
	queue           []*job
	running         []*job
	connections     int
	peakConnections int
	cachedReport    backend.LoadReport
	reportedAt      time.Duration
}

// arrive refuses, queues or executes a sub-request.
func (s *server) arrive(j *job) {
	j.incarnation = s.incarnation
	switch {
	case s.down && s.unresponsive:
		return
	case s.down:
		s.reply(j, &backend.Error{Failure: backend.ConnectionLost})
	case s.draining:
		s.refuse(j, backend.RefusedDraining)
	case s.shedFraction > 0 && s.rng.Float64() < s.shedFraction:
		s.refuse(j, backend.RefusedShedding)
	case s.busySlots < s.slots:
		s.start(j)
	case len(s.queue) >= maxQueuedPerSlot*s.slots:
		s.refuse(j, backend.RefusedShedding)
	default:
		s.queue = append(s.queue, j)
	}
}

func (s *server) refuse(j *job, reason backend.RefusalReason) {
	j.state = jobFinished
	s.sim.stats.countRefusal("replica_" + string(reason))
	s.reply(j, &backend.Error{Failure: backend.Refused, Refusal: backend.Refusal{
		Reason: reason, Ran: "never", Replica: s.id, Incarnation: s.incarnation,
	}})
}

func (s *server) reply(j *job, err error) {
	c := j.call
	s.sim.after(s.sim.messageDelay(s.dataCentre, c.daemon.dataCentre), func() { c.complete(err) })
}

func (s *server) start(j *job) {
	s.busySlots++
	j.state = jobRunning
	s.running = append(s.running, j)
	s.sim.after(s.serviceTime(j.workFactor), func() { s.finish(j, true) })
}

func (s *server) serviceTime(workFactor float64) time.Duration {
	t := float64(medianServiceTime) * math.Exp(serviceTimeSigma*s.rng.NormFloat64()) * workFactor
	if s.rng.Float64() < slowRequestFraction {
		t *= slowRequestFactor
	}
	if age := s.sim.now - s.startedAt; age < s.coldStartTime {
		t *= 1 + (coldStartFactor-1)*(1-float64(age)/float64(s.coldStartTime))
	}
	return time.Duration(t * s.slowdown)
}

// finish frees the slot of a job, answers it if it was executed to its end, and starts queued jobs.
func (s *server) finish(j *job, executed bool) {
	if j.state != jobRunning || j.incarnation != s.incarnation {
		return
	}
	j.state = jobFinished
	s.busySlots--
	for i, r := range s.running {
		if r == j {
			s.running[i] = s.running[len(s.running)-1]
			s.running = s.running[:len(s.running)-1]
			break
		}
	}
	if executed {
		s.reply(j, nil)
	}
	s.startQueued()
}

func (s *server) startQueued() {
	for s.busySlots < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if j.state != jobQueued {
			continue
		}
		if s.sim.now >= j.deadline {
			s.refuse(j, backend.RefusedDeadline)
			continue
		}
		s.start(j)
	}
}

// cancel ends the sub-request whose connection was closed by the daemon.
func (s *server) cancel(j *job) {
	switch j.state {
	case jobQueued:
		j.state = jobFinished
		for i, q := range s.queue {
			if q == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				return
			}
		}
	case jobRunning:
		s.finish(j, false)
	}
}

// stop ends the process and breaks its connections.
func (s *server) stop(unresponsive bool) {
	s.down, s.unresponsive = true, unresponsive
	aborted := append(append([]*job(nil), s.running...), s.queue...)
	s.running, s.queue, s.busySlots, s.connections = nil, nil, 0, 0
	for _, d := range s.sim.daemons {
		d.pools[s.id].reset()
	}
	for _, j := range aborted {
		if j.state != jobFinished {
			j.state = jobFinished
			s.reply(j, &backend.Error{Failure: backend.ConnectionLost})
		}
	}
}

// boot starts the next incarnation, whose service times are longer for the given time.
func (s *server) boot(coldStartTime time.Duration) {
	s.incarnation++
	s.down, s.unresponsive, s.draining = false, false, false
	s.startedAt, s.coldStartTime = s.sim.now, coldStartTime
	s.reportedAt = 0
}

// loadReport returns the response of the load endpoint, which is refreshed at intervals and reports a cold replica as
// ready.
func (s *server) loadReport() backend.LoadReport {
	if s.cachedReport.Incarnation == s.incarnation && s.sim.now-s.reportedAt < reportInterval &&
		s.draining == (s.cachedReport.State == backend.StateDraining) {
		return s.cachedReport
	}
	s.reportedAt = s.sim.now
	s.cachedReport = backend.LoadReport{
		Replica: s.id, Service: s.service, Incarnation: s.incarnation, State: backend.StateReady,
		Slots: s.slots, Busy: s.busySlots, Queued: len(s.queue), Connections: s.connectionLimit,
		Holdings: []snapshot.Holding{s.holding},
	}
	if s.draining {
		s.cachedReport.State = backend.StateDraining
	}
	if s.reportsIdle {
		s.cachedReport.Busy, s.cachedReport.Queued = 0, 0
	}
	return s.cachedReport
}
