package quarantine

import (
	"context"
	"errors"
	"slices"
	"time"
)

// ErrQuarantined is the cancellation cause of a request that was quarantined while it was running. Replicas may have
// executed such a request, so it must not be answered with api.Quarantined, which states that it was not run.
var ErrQuarantined = errors.New("request is quarantined because it crashes backend servers")

// Verdict states what the losses of connections of a request led to.
type Verdict string

// Values of Verdict.
const (
	// NoLoss means that the request lost no connection.
	NoLoss Verdict = "none"
	// BelowThreshold means that the request lost fewer connections than a suspicion needs.
	BelowThreshold Verdict = "below_threshold"
	// ClearedByAnswer means that a replica answered the request, ClearedByRecentAnswer that an earlier request with its
	// fingerprint was answered.
	ClearedByAnswer       Verdict = "answered"
	ClearedByRecentAnswer Verdict = "recently_answered"
	// ClearedUnreachable means that the daemon reached no replica any more, so that its own links explain the losses.
	ClearedUnreachable Verdict = "unreachable"
	// Ambiguous means that most replicas to which the request lost a connection ended while they executed other requests as well,
	// each of which may be the cause. The fingerprint is half-open.
	Ambiguous Verdict = "ambiguous"
	// Pending means that it is not known yet whether the daemon itself is cut off.
	Pending Verdict = "pending"
	// Quarantined means that the fingerprint was quarantined because of this request.
	Quarantined Verdict = "quarantined"
)

// Summary describes how the connections of a request ended.
type Summary struct {
	Fingerprint string
	// Replicas are the distinct replicas to which the request lost a connection, at most maxSummaryReplicas.
	Replicas []string
	Verdict  Verdict
}

// maxSummaryReplicas limits the replicas in a summary.
const maxSummaryReplicas = 8

// Run is one admitted request. Its methods are safe for concurrent use.
type Run struct {
	guard       *Guard
	fingerprint string
	kind        Kind
	ctx         context.Context
	cancel      context.CancelCauseFunc
	// The fields below are protected by the guard's lock.
	losses    []connectionLoss
	firstLoss time.Time
	answered  bool
	// decisionDone is nil until the request is suspected. It is closed when the request is cleared or quarantined.
	decisionDone chan struct{}
	decided      bool
	// isConfirming is set while the guard finds out whether this daemon still reaches replicas, isDone once Done was called.
	isConfirming, isDone bool
	// halfOpen is set if the fingerprint was quarantined shortly before.
	halfOpen *halfOpenGate
	// unanswered holds the replicas to which the request lost connections, by service, for services without an answer.
	unanswered map[string][]string
	// lost holds the distinct replicas to which a connection was lost, cleared the verdict of a decision that cleared the
	// request, and isQuarantined whether the request was the reason of a quarantine.
	lost          []string
	cleared       Verdict
	isQuarantined bool
}

// Summary returns the state of the request so far. It is final after Done, unless the verdict is Pending.
func (r *Run) Summary() Summary {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	s := Summary{Fingerprint: r.fingerprint, Replicas: slices.Clone(r.lost)}
	switch {
	case len(r.lost) == 0:
		s.Verdict = NoLoss
	case r.isQuarantined:
		s.Verdict = Quarantined
	case r.isConfirming:
		s.Verdict = Pending
	case r.cleared != "":
		s.Verdict = r.cleared
	case r.answered:
		s.Verdict = ClearedByAnswer
	default:
		s.Verdict = BelowThreshold
	}
	return s
}

// Done unregisters the request. A request that is still suspected is quarantined, unless its fingerprint was answered
// recently. The losses of a request that is not quarantined are added to those of others with its fingerprint.
func (r *Run) Done() {
	r.decide()
	g := r.guard
	g.mu.Lock()
	delete(g.running[r.fingerprint], r)
	if len(g.running[r.fingerprint]) == 0 {
		delete(g.running, r.fingerprint)
	}
	if g.trials[r.fingerprint] == r {
		delete(g.trials, r.fingerprint)
	}
	r.isDone = true
	g.mu.Unlock()
	r.cancel(nil)
	r.passOnLosses()
}

// passOnLosses adds the losses of a request that has ended, and about which nothing is to be decided any more, to those of others
// and publishes them.
func (r *Run) passOnLosses() {
	g := r.guard
	g.mu.Lock()
	if !r.isDone || r.isConfirming {
		g.mu.Unlock()
		return
	}
	observations, notice := g.addUnanswered(r)
	r.unanswered = nil
	g.mu.Unlock()
	if len(observations) > 0 && g.observations != nil {
		g.observations.PublishObservations(observations)
	}
	if notice != nil && g.publisher != nil {
		g.publisher.Publish(*notice)
	}
}

// Answered records that a replica of the service executed the request and answered it. A failure such as status 500 does not
// count.
func (r *Run) Answered(service string) {
	g := r.guard
	if g.recordAnswered(r, service) && g.observations != nil {
		g.observations.PublishObservations([]Observation{{Fingerprint: r.fingerprint, Service: service}})
	}
}

// recordAnswered records an answer and reports whether it voids losses of other requests.
func (g *Guard) recordAnswered(r *Run, service string) (voidsLosses bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(r.unanswered, service)
	r.closeHalfOpen()
	voidsLosses = g.tally.answered(lossKey{r.fingerprint, service})
	delete(g.orderLosses, r.fingerprint)
	if !r.answered {
		g.recordAnswer(r.fingerprint)
	}
	r.answered = true
	if r.decisionDone != nil && !r.decided && g.rule.RequireNoAnswer {
		r.clear(ClearedByAnswer)
	}
	return voidsLosses
}

// ConnectionLost records that the connection to a replica of the service was lost while the replica may have been executing the
// request. If the thresholds of the rule are reached, it marks a search request as suspected and quarantines a
// non-idempotent one.
func (r *Run) ConnectionLost(service, replica string, at time.Time) {
	g := r.guard
	g.mu.Lock()
	if r.firstLoss.IsZero() {
		r.firstLoss = at
	}
	if r.unanswered == nil {
		r.unanswered = make(map[string][]string)
	}
	if !slices.Contains(r.unanswered[service], replica) {
		r.unanswered[service] = append(r.unanswered[service], replica)
	}
	if len(r.lost) < maxSummaryReplicas && !slices.Contains(r.lost, replica) {
		r.lost = append(r.lost, replica)
	}
	g.shared.record(r.fingerprint, replica, at, g.rule.Window)
	if !g.recordLoss(r, connectionLoss{replica, at}) || r.decisionDone != nil {
		g.mu.Unlock()
		return
	}
	r.decisionDone = make(chan struct{})
	g.mu.Unlock()
	if r.kind == Order || r.halfOpen != nil || g.rule.GracePeriod == 0 {
		r.decide()
		return
	}
	g.clock.AfterFunc(g.rule.GracePeriod, r.decide)
}

// decide quarantines the request if it is suspected and has not been cleared. If the guard has a confirmation, it decides later.
func (r *Run) decide() {
	g := r.guard
	g.mu.Lock()
	if r.decisionDone == nil || r.decided || r.isConfirming {
		g.mu.Unlock()
		return
	}
	if r.halfOpen == nil && g.consumeRecentAnswer(r.fingerprint) {
		r.clear(ClearedByRecentAnswer)
		g.mu.Unlock()
		return
	}
	r.isConfirming = g.confirm != nil
	isConfirming, since := r.isConfirming, r.firstLoss
	g.mu.Unlock()
	if !isConfirming {
		r.conclude(true)
		return
	}
	go func() { r.conclude(g.confirm(since)) }()
}

// conclude quarantines the request, unless it was cleared meanwhile or this daemon reaches no replica any more.
func (r *Run) conclude(isReachable bool) {
	g := r.guard
	g.mu.Lock()
	r.isConfirming = false
	var published *Notice
	switch {
	case r.decided:
	case !isReachable:
		r.clear(ClearedUnreachable)
	case !g.lostMostAlone(r):
		published = g.setHalfOpen(r)
	default:
		r.decided, r.isQuarantined = true, true
		notice := g.newNotice(r)
		// Cancel the request before releasing the waiting attempts; otherwise they would be sent.
		if g.addNotice(notice) {
			published = &notice
		}
		close(r.decisionDone)
	}
	g.mu.Unlock()
	if published != nil && g.publisher != nil {
		g.publisher.Publish(*published)
	}
	r.passOnLosses()
}

// clear ends the suspicion of the request. The caller must hold the lock.
func (r *Run) clear(verdict Verdict) {
	r.decided, r.cleared = true, verdict
	close(r.decisionDone)
}

// AwaitingDecision reports whether the request is suspected and not yet cleared or quarantined.
func (r *Run) AwaitingDecision() bool {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.decisionDone != nil && !r.decided
}

// Wait blocks while the request is suspected, or while it is half-open and another attempt is in flight, and returns nil
// when an attempt may be sent. The error is the cancellation cause of the request or of ctx.
func (r *Run) Wait(ctx context.Context) error {
	r.guard.mu.Lock()
	decisionDone := r.decisionDone
	r.guard.mu.Unlock()
	if decisionDone != nil {
		select {
		case <-decisionDone:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if r.halfOpen != nil {
		if err := r.halfOpen.await(ctx, r.ctx); err != nil {
			return err
		}
	}
	return context.Cause(r.ctx)
}

// AttemptEnded records that an attempt for which Wait returned nil has ended. It must be called after Answered or ConnectionLost.
func (r *Run) AttemptEnded() {
	if r.halfOpen != nil {
		r.halfOpen.release()
	}
}
