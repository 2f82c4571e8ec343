package bench

import (
	"context"
	"errors"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// errAttemptCancelled is the error that the state machine passes to Done for an attempt that it cancelled because
// another attempt of the shard won.
var errAttemptCancelled = context.Canceled

// call is one attempt in flight.
type call struct {
	daemon         *daemon
	query          *query
	server         *server
	pool           *pool
	job            *job
	shard, attempt int
	generation     int
	closed         bool
	notConnected   bool
}

// complete handles the result of an attempt at the daemon.
func (c *call) complete(err error) {
	if c.closed {
		return
	}
	c.closed = true
	if !c.notConnected && c.pool.generation == c.generation {
		c.pool.idle++
	}
	c.query.handleResult(c.shard, c.attempt, err)
}

// cancel closes the connection of the attempt, which the replica notices after the link delay.
func (c *call) cancel() {
	if c.closed {
		return
	}
	c.closed = true
	if c.notConnected || c.pool.generation != c.generation {
		return
	}
	c.pool.open--
	c.server.connections--
	c.daemon.openIdleConnections(c.server, c.pool)
	c.daemon.sim.after(c.daemon.sim.messageDelay(c.daemon.dataCentre, c.server.dataCentre),
		func() { c.server.cancel(c.job) })
}

// query is one request of a caller, driven by a scatter.StateMachine.
type query struct {
	sim        *simulation
	daemon     *daemon
	state      *serviceState
	service    *Service
	profile    string
	workFactor float64
	shards     int
	resends    int
	arrived    time.Duration
	deadline   time.Duration
	machine    *scatter.StateMachine
	plan       scatter.Plan
	// calls holds the attempts of each shard in the order of their start.
	calls    [][]*call
	tickAt   time.Duration
	finished bool
	// overloaded is set when a shard is missing because no replica was available or all refused, or when replicas shed
	// at least limit.MinOverloadSheds attempts.
	overloaded bool
	sheds      int
}

func (q *query) start(d *daemon, st *serviceState) {
	q.daemon, q.state = d, st
	q.plan = st.plan
	if q.shards > 0 {
		q.plan.ShardMap.Shards = q.plan.ShardMap.Shards[:q.shards]
		// The state machine counts coverage in the whole key space, of which these shards cover only a part.
		q.plan.MinPartialCoverage *= float64(q.plan.ShardMap.Shards[q.shards-1].High) / float64(snapshot.KeySpace)
	}
	if b := st.budget(q.profile, q.sim.strategy); b != nil {
		q.plan.Hedges, q.plan.Retries = b.Hedges(), b.Retries()
	}
	now := q.sim.time()
	if q.sim.strategy.Hedges {
		q.plan.HedgeDelay = st.latency.HedgeDelay(q.service.Profile.HedgeQuantile, time.Millisecond,
			q.service.Profile.Deadline, now)
	}
	q.calls = make([][]*call, len(q.plan.ShardMap.Shards))
	q.machine = scatter.NewStateMachine(&q.plan, d, epoch.Add(q.deadline))
	q.runStep(func() []scatter.Action { return q.machine.Start(now) })
}

// runStep runs one step of the state machine, measures the time that it takes, and executes its actions.
func (q *query) runStep(step func() []scatter.Action) {
	if q.daemon.dominantPlacer != nil {
		q.daemon.dominantPlacer.workFactor = q.workFactor
	}
	begin := time.Now()
	actions := step()
	q.sim.stats.decisionTime += time.Since(begin)
	for _, a := range actions {
		if a.Kind == scatter.ActionCancel {
			q.calls[a.Shard][a.Attempt].cancel()
			continue
		}
		q.daemon.send(q, a)
	}
	if q.machine.Done() {
		q.finish()
		return
	}
	q.scheduleTick()
}

// scheduleTick schedules the next tick of the state machine unless an earlier or equal one is scheduled.
func (q *query) scheduleTick() {
	tickTime, ok := q.machine.NextTick()
	if !ok {
		return
	}
	at := tickTime.Sub(epoch)
	if q.tickAt > q.sim.now && q.tickAt <= at {
		return
	}
	q.tickAt = at
	q.sim.at(at, func() {
		if !q.finished && q.tickAt == q.sim.now {
			q.tickAt = 0
			q.runStep(func() []scatter.Action { return q.machine.Tick(q.sim.time()) })
		}
	})
}

func (q *query) handleResult(shard, attempt int, err error) {
	if q.finished {
		return
	}
	var failed *backend.Error
	if errors.As(err, &failed) && failed.Refusal.Reason == backend.RefusedShedding {
		q.sheds++
		q.overloaded = q.overloaded || q.sheds >= limit.MinOverloadSheds
	}
	q.runStep(func() []scatter.Action {
		actions, _ := q.machine.HandleResult(shard, attempt, err, q.sim.time())
		return actions
	})
}

func (q *query) finish() {
	q.finished = true
	shards := len(q.plan.ShardMap.Shards)
	answered := 0
	for i := range shards {
		ok, reason := q.machine.Answered(i)
		if ok {
			answered++
			continue
		}
		q.sim.stats.countRefusal("missing_" + string(reason))
		q.overloaded = q.overloaded || reason == api.MissingNoReplica || reason == api.MissingRefused
	}
	coverage := float64(answered) / float64(shards)
	took := q.sim.now - q.arrived
	sufficient := coverage >= q.service.Profile.RequiredCoverage
	if q.sim.strategy.Admission {
		q.sim.strategy.finish(q.state.admission, q, took, q.overloaded, q.sim.time())
	}
	q.sim.stats.recordAnswer(q, took+2*q.sim.deployment.ClientDelay, coverage, sufficient)
	if !sufficient {
		q.resend()
	}
}

// reject ends a query that was not admitted.
func (q *query) reject() {
	q.finished = true
	q.sim.stats.countRefusedQuery(q)
	q.resend()
}

// resend sends the query again, as a caller with retries does.
func (q *query) resend() {
	if q.resends >= q.sim.callerRetries {
		return
	}
	again := &query{sim: q.sim, service: q.service, profile: q.profile, workFactor: q.workFactor, shards: q.shards,
		resends: q.resends + 1}
	wait := 50*time.Millisecond + time.Duration(q.sim.routingRand.Int64N(int64(100*time.Millisecond)))
	q.sim.after(wait, func() { q.sim.dispatch(again) })
}
