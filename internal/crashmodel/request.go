package crashmodel

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chivemill/chivemill/quarantine"
)

// request is one run of a query on a daemon.
type request struct {
	m       *model
	node    *node
	name    string
	ctx     context.Context
	run     *quarantine.Run
	daemon  int
	resends int
	// open is the number of shards without a result.
	open     int
	failed   bool
	lostAny  bool
	finished bool
}

// attempt is a sub-request that a replica executes. lost is called when the replica crashes.
type attempt struct{ lost func() }

// try sends an attempt for a shard to a replica that was not tried.
func (q *request) try(shard int, tried []int) {
	if q.cancelled() {
		return
	}
	r, ok := q.pick(shard, tried)
	if !ok || len(tried) == maxAttempts {
		q.shardDone(true)
		return
	}
	tried = append(slices.Clone(tried), r)
	s := q.m.servers[shard][r]
	oneWay := q.node.oneWay[r]
	q.m.after(oneWay, func() { q.arrive(s, shard, tried, oneWay) })
}

func (q *request) pick(shard int, tried []int) (int, bool) {
	var candidates []int
	for r, s := range q.m.servers[shard] {
		if !slices.Contains(tried, r) && q.node.avoid[s] <= q.m.now {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[q.m.rng.IntN(len(candidates))], true
}

// arrive is the moment at which the sub-request reaches the replica. Cancellation may still be on its way.
func (q *request) arrive(s *server, shard int, tried []int, oneWay time.Duration) {
	if s.downTil > q.m.now {
		q.m.after(oneWay, func() { q.fail(s, shard, tried, false) })
		return
	}
	a := &attempt{lost: func() {
		q.m.after(oneWay, func() { q.fail(s, shard, tried, true) })
	}}
	s.running = append(s.running, a)
	if q.name == poison {
		q.m.after(q.m.uniform(100*time.Microsecond, time.Millisecond), func() {
			if slices.Contains(s.running, a) {
				q.m.out.Crashed++
				q.m.kill(s)
			}
		})
		return
	}
	work := time.Duration(q.m.rng.ExpFloat64() * float64(serviceTime))
	q.m.after(work, func() {
		i := slices.Index(s.running, a)
		if i < 0 {
			return
		}
		s.running = slices.Delete(s.running, i, i+1)
		q.m.after(oneWay, q.answered)
	})
}

func (q *request) answered() {
	if q.finished {
		return
	}
	q.run.Answered()
	q.shardDone(false)
}

func (q *request) fail(s *server, shard int, tried []int, lost bool) {
	q.node.avoid[s] = q.m.now + downFor
	if q.finished {
		return
	}
	if lost {
		q.lostAny = true
		q.run.ConnectionLost(s.id, q.m.Now())
	}
	q.retry(shard, tried)
}

// retry sends the next attempt, after the verdict if the request is suspected.
func (q *request) retry(shard int, tried []int) {
	if q.run.AwaitingDecision() {
		q.m.after(time.Millisecond, func() { q.retry(shard, tried) })
		return
	}
	q.try(shard, tried)
}

func (q *request) shardDone(failed bool) {
	q.failed = q.failed || failed
	q.open--
	if q.open == 0 {
		q.finish()
	}
}

// cancelled ends the request if its fingerprint was quarantined meanwhile.
func (q *request) cancelled() bool {
	if q.finished {
		return true
	}
	if !errors.Is(context.Cause(q.ctx), quarantine.ErrQuarantined) {
		return false
	}
	q.finish()
	return true
}

func (q *request) finish() {
	if q.finished {
		return
	}
	q.finished = true
	quarantined := errors.Is(context.Cause(q.ctx), quarantine.ErrQuarantined)
	if q.name != poison {
		if quarantined {
			q.m.out.Refused++
		}
		if q.lostAny {
			q.m.out.Lost++
		}
	}
	failed := q.failed || quarantined || q.open > 0
	q.run.Done()
	if failed {
		q.m.resend(q.name, q.daemon, q.resends)
	}
}
