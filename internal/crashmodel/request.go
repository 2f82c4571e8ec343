package crashmodel

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/chivemill/chivemill/quarantine"
)

// request is one execution of a query by a daemon.
type request struct {
	m           *model
	daemon      *daemon
	name        string
	ctx         context.Context
	run         *quarantine.Run
	daemonIndex int
	resends     int
	// pendingShards is the number of shards without a result.
	pendingShards  int
	anyShardFailed bool
	lostConnection bool
	finished       bool
}

// attempt is a sub-request that a replica executes. onCrash is called when the replica crashes.
type attempt struct{ onCrash func() }

// sendAttempt sends an attempt for a shard to a replica that was not tried yet.
func (q *request) sendAttempt(shard int, tried []int) {
	if q.finishIfQuarantined() {
		return
	}
	r, ok := q.pickReplica(shard, tried)
	if !ok || len(tried) == maxAttempts {
		q.shardDone(true)
		return
	}
	tried = append(slices.Clone(tried), r)
	s := q.m.servers[shard][r]
	oneWayDelay := q.daemon.oneWayDelays[r]
	q.m.after(oneWayDelay, func() { q.arrive(s, shard, tried, oneWayDelay) })
}

func (q *request) pickReplica(shard int, tried []int) (int, bool) {
	var candidates []int
	for r, s := range q.m.servers[shard] {
		if !slices.Contains(tried, r) && q.daemon.avoidUntil[s] <= q.m.now {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return candidates[q.m.rng.IntN(len(candidates))], true
}

// arrive handles the arrival of the sub-request at the replica. It executes the sub-request even if the request was
// cancelled meanwhile, because the cancellation may not have reached the replica yet.
func (q *request) arrive(s *server, shard int, tried []int, oneWayDelay time.Duration) {
	if s.downUntil > q.m.now {
		q.m.after(oneWayDelay, func() { q.handleFailure(s, shard, tried, false) })
		return
	}
	a := &attempt{onCrash: func() {
		q.m.after(oneWayDelay, func() { q.handleFailure(s, shard, tried, true) })
	}}
	s.running = append(s.running, a)
	if q.name == crashingRequest {
		q.m.after(q.m.uniform(100*time.Microsecond, time.Millisecond), func() {
			if slices.Contains(s.running, a) {
				q.m.outcome.ReplicaCrashes++
				q.m.crash(s)
			}
		})
		return
	}
	work := time.Duration(q.m.rng.ExpFloat64() * float64(meanServiceTime))
	q.m.after(work, func() {
		i := slices.Index(s.running, a)
		if i < 0 {
			return
		}
		s.running = slices.Delete(s.running, i, i+1)
		q.m.after(oneWayDelay, func() { q.handleAnswer(shard) })
	})
}

func (q *request) handleAnswer(shard int) {
	if q.finished {
		return
	}
	q.run.Answered(strconv.Itoa(shard))
	q.shardDone(false)
}

func (q *request) handleFailure(s *server, shard int, tried []int, connectionLost bool) {
	q.daemon.avoidUntil[s] = q.m.now + downTime
	if q.finished {
		return
	}
	if connectionLost {
		q.lostConnection = true
		q.run.ConnectionLost(strconv.Itoa(shard), s.id, q.m.Now())
	}
	q.retryAfterDecision(shard, tried)
}

// retryAfterDecision sends the next attempt. If the request may be quarantined, it waits for the decision.
func (q *request) retryAfterDecision(shard int, tried []int) {
	if q.run.AwaitingDecision() {
		q.m.after(time.Millisecond, func() { q.retryAfterDecision(shard, tried) })
		return
	}
	q.sendAttempt(shard, tried)
}

func (q *request) shardDone(failed bool) {
	q.anyShardFailed = q.anyShardFailed || failed
	q.pendingShards--
	if q.pendingShards == 0 {
		q.finish()
	}
}

// finishIfQuarantined finishes the request if its fingerprint was quarantined meanwhile. It returns whether the request
// has finished.
func (q *request) finishIfQuarantined() bool {
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
	if q.name != crashingRequest {
		if quarantined {
			q.m.outcome.GoodRefused++
		}
		if q.lostConnection {
			q.m.outcome.GoodWithLostConnection++
		}
	}
	failed := q.anyShardFailed || quarantined || q.pendingShards > 0
	q.run.Done()
	if failed {
		q.m.resend(q.name, q.daemonIndex, q.resends)
	}
}
