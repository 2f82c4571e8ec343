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

// lost is the cause that a machine gives to Done for an attempt that another one beat.
var lost = context.Canceled

// call is one attempt on its way.
type call struct {
	d             *daemon
	q             *query
	s             *server
	pool          *pool
	job           *job
	shard, number int
	generation    int
	closed        bool
	noConnection  bool
}

// answered handles the end of an attempt at the daemon.
func (c *call) answered(err error) {
	if c.closed {
		return
	}
	c.closed = true
	if !c.noConnection && c.pool.generation == c.generation {
		c.pool.idle++
	}
	c.q.settled(c.shard, c.number, err)
}

// cancel closes the connection of the attempt, which the replica notices after the link delay.
func (c *call) cancel() {
	if c.closed {
		return
	}
	c.closed = true
	if c.noConnection || c.pool.generation != c.generation {
		return
	}
	c.pool.open--
	c.s.conns--
	c.d.warm(c.s, c.pool)
	c.d.w.after(c.d.w.delay(c.d.dc, c.s.dc), func() { c.s.cancel(c.job) })
}

// query is one caller's request, driven through a scatter.StateMachine.
type query struct {
	w        *world
	d        *daemon
	st       *serviceState
	service  *Service
	profile  string
	work     float64
	shards   int
	resent   int
	arrived  time.Duration
	deadline time.Duration
	machine  *scatter.StateMachine
	plan     scatter.Plan
	// calls holds the attempts of each shard in order.
	calls  [][]*call
	wakeAt time.Duration
	ended  bool
	// overloaded is set when a shard is missing because its replicas had no room or refused.
	overloaded bool
	sheds      int
}

func (q *query) start(d *daemon, st *serviceState) {
	q.d, q.st = d, st
	q.plan = st.plan
	if q.shards > 0 {
		q.plan.ShardMap.Shards = q.plan.ShardMap.Shards[:q.shards]
		// The machine counts coverage in the whole key space, of which these shards are a part.
		q.plan.MinPartialCoverage *= float64(q.plan.ShardMap.Shards[q.shards-1].High) / float64(snapshot.KeySpace)
	}
	if b := st.budget(q.profile, q.w.strategy); b != nil {
		q.plan.Hedges, q.plan.Retries = b.Hedges(), b.Retries()
	}
	now := q.w.time()
	if q.w.strategy.Hedges {
		q.plan.HedgeDelay = st.latency.HedgeDelay(q.service.Profile.Quantile, time.Millisecond, q.service.Profile.Deadline, now)
	}
	q.calls = make([][]*call, len(q.plan.ShardMap.Shards))
	q.machine = scatter.NewStateMachine(&q.plan, d, epoch.Add(q.deadline))
	q.decide(func() []scatter.Action { return q.machine.Start(now) })
}

// decide runs one step of the machine, with its time counted, and carries out its actions.
func (q *query) decide(step func() []scatter.Action) {
	if q.d.dominant != nil {
		q.d.dominant.work = q.work
	}
	begin := time.Now()
	actions := step()
	q.w.stats.decision += time.Since(begin)
	for _, a := range actions {
		if a.Kind == scatter.ActionCancel {
			q.calls[a.Shard][a.Attempt].cancel()
			continue
		}
		q.d.send(q, a)
	}
	if q.machine.Done() {
		q.finish()
		return
	}
	q.arm()
}

// arm schedules the machine's next wake-up unless an earlier or equal one is scheduled.
func (q *query) arm() {
	wake, ok := q.machine.NextTick()
	if !ok {
		return
	}
	at := wake.Sub(epoch)
	if q.wakeAt > q.w.now && q.wakeAt <= at {
		return
	}
	q.wakeAt = at
	q.w.at(at, func() {
		if !q.ended && q.wakeAt == q.w.now {
			q.wakeAt = 0
			q.decide(func() []scatter.Action { return q.machine.Tick(q.w.time()) })
		}
	})
}

func (q *query) settled(shard, number int, err error) {
	if q.ended {
		return
	}
	var failed *backend.Error
	if errors.As(err, &failed) && failed.Refusal.Reason == backend.RefusedShedding {
		q.sheds++
		q.overloaded = q.overloaded || q.sheds >= limit.MinOverloadSheds
	}
	q.decide(func() []scatter.Action {
		actions, _ := q.machine.HandleResult(shard, number, err, q.w.time())
		return actions
	})
}

func (q *query) finish() {
	q.ended = true
	shards := len(q.plan.ShardMap.Shards)
	answered := 0
	for i := range shards {
		ok, reason := q.machine.Answered(i)
		if ok {
			answered++
			continue
		}
		q.w.stats.count("missing_" + string(reason))
		q.overloaded = q.overloaded || reason == api.MissingNoReplica || reason == api.MissingRefused
	}
	coverage := float64(answered) / float64(shards)
	took := q.w.now - q.arrived
	good := coverage >= q.service.Profile.LeastCoverage
	if q.w.strategy.Admission {
		q.w.strategy.finish(q.st.admission, q, took, q.overloaded, q.w.time())
	}
	q.w.stats.answer(q, took+2*q.w.dep.ClientDelay, coverage, good)
	if !good {
		q.resend()
	}
}

// refused ends a query that was not admitted.
func (q *query) refused() {
	q.ended = true
	q.w.stats.refusal(q)
	q.resend()
}

// resend sends the query again as a caller that retries does.
func (q *query) resend() {
	if q.resent >= q.w.callerRetries {
		return
	}
	again := &query{w: q.w, service: q.service, profile: q.profile, work: q.work, shards: q.shards, resent: q.resent + 1}
	wait := 50*time.Millisecond + time.Duration(q.w.rng.Int64N(int64(100*time.Millisecond)))
	q.w.after(wait, func() { q.w.offer(again) })
}
