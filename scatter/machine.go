package scatter

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
)

const (
	// initialBackoff is the first delay of a shard that waits for a replica. The delay doubles each time, up to
	// maxBackoff. The first failed attempt of a shard that has not waited yet is retried immediately.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 40 * time.Millisecond
)

// ActionKind is the operation that the driver of a StateMachine must perform.
type ActionKind int

// Kinds of action.
const (
	// ActionSend sends the attempt to the replica.
	ActionSend ActionKind = iota
	// ActionCancel cancels an attempt whose result is no longer needed.
	ActionCancel
)

// Action is an operation requested by a StateMachine. Shard is the index of the shard in the plan's map. Attempt
// numbers the attempts of a shard from 0.
type Action struct {
	Kind    ActionKind
	Shard   int
	Attempt int
	Replica string
}

// StateMachine decides which attempts a query makes. It does no I/O and reads no clock: the driver passes in events with
// their time and performs the returned actions. It is not safe for concurrent use. A returned slice of actions is valid
// until the next call.
type StateMachine struct {
	plan     *Plan
	picker   Picker
	deadline time.Time
	shards   []shardState
	pending  int
	hedgeAt  time.Time
	// partialAt is the earliest time of a partial answer, or zero if none is allowed. covered is the size of the
	// answered part of the key space.
	partialAt time.Time
	covered   uint64
	waiting   int
	actions   []Action
	exclude   []string

	// sent, hedges and retries count attempts; sent includes the other two. denied counts the extra attempts for
	// which the budget had no token.
	sent, hedges, retries, denied int
	// resends counts the retries that followed a refusal without execution.
	resends int
}

type attempt struct {
	target    Target
	startedAt time.Time
	inFlight  bool
}

type shardState struct {
	attempts []attempt
	// unsent counts the attempts of which nothing was sent, for example because the connection was refused. They do
	// not count towards MaxAttempts, and a retry needs no token while all earlier attempts of the shard were unsent. A
	// token that was withdrawn for an unsent attempt is not refunded.
	unsent   int
	inFlight int
	done     bool
	answered bool
	waiting  bool
	retryAt  time.Time
	backoff  time.Duration
	reason   api.MissingReason
}

// NewStateMachine returns a machine for the plan. A zero deadline means no deadline.
func NewStateMachine(plan *Plan, picker Picker, deadline time.Time) *StateMachine {
	n := len(plan.ShardMap.Shards)
	m := &StateMachine{plan: plan, picker: picker, deadline: deadline, shards: make([]shardState, n), pending: n}
	first := make([]attempt, n)
	for i := range m.shards {
		// The first attempts of all shards share one allocation.
		m.shards[i].attempts = first[i : i : i+1]
	}
	m.actions = make([]Action, 0, n)
	return m
}

// Start sends the first attempt of every shard.
func (m *StateMachine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	m.deposit()
	for i := range m.shards {
		if !m.send(i, now) {
			m.giveUpOrWait(i, api.MissingNoReplica, now)
		}
	}
	m.stopIfUnreachable(now)
	if m.plan.HedgeDelay > 0 && m.plan.MaxAttempts > 1 && !m.plan.AtMostOnce {
		m.hedgeAt = now.Add(m.plan.HedgeDelay)
	}
	if m.plan.PartialAfter > 0 {
		m.partialAt = now.Add(m.plan.PartialAfter)
	}
	return m.actions
}

// Tick handles all timers that have expired by now: the deadline, the time of a partial answer, the hedge delay and
// the backoff of waiting shards.
func (m *StateMachine) Tick(now time.Time) []Action {
	m.actions = m.actions[:0]
	if !m.deadline.IsZero() && !now.Before(m.deadline) {
		m.finish(now, context.DeadlineExceeded)
		return m.actions
	}
	if m.partialDue(now) {
		m.finish(now, context.Canceled)
		return m.actions
	}
	if !m.hedgeAt.IsZero() && !now.Before(m.hedgeAt) {
		m.sendHedges(now)
	}
	if m.waiting > 0 {
		m.retryWaiting(now)
	}
	return m.actions
}

// Stop ends the query early. The attempts in flight end with cause as their error.
func (m *StateMachine) Stop(now time.Time, cause error) []Action {
	m.actions = m.actions[:0]
	m.finish(now, cause)
	return m.actions
}

// HandleResult handles the end of an attempt. err is nil for a valid response. used reports whether the response is
// used: only the first response of a shard is, and never that of a cancelled attempt.
func (m *StateMachine) HandleResult(shard, number int, err error, now time.Time) (actions []Action, used bool) {
	m.actions = m.actions[:0]
	s := &m.shards[shard]
	if s.done || !s.attempts[number].inFlight {
		return m.actions, false
	}
	m.endAttempt(s, number, err, now)
	if err == nil {
		s.answered = true
		m.covered += keyRange(m.plan.ShardMap.Shards[shard])
		m.complete(shard, now, context.Canceled)
		if m.partialDue(now) {
			m.finish(now, context.Canceled)
		}
		return m.actions, true
	}
	s.reason = MissingReasonOf(err)
	if neverSent(err) {
		s.unsent++
	}
	switch {
	case s.inFlight > 0:
	case m.plan.AtMostOnce && mayHaveExecuted(err):
		m.giveUp(shard, s.reason, now)
	default:
		m.retry(shard, now)
	}
	m.stopIfUnreachable(now)
	return m.actions, false
}

// mayHaveExecuted reports whether the replica may have executed the attempt that ended with err.
func mayHaveExecuted(err error) bool {
	var e *backend.Error
	return !errors.As(err, &e) || e.MayHaveExecuted()
}

// neverSent reports whether the attempt failed before any byte was sent.
func neverSent(err error) bool {
	var e *backend.Error
	return errors.As(err, &e) && e.Failure == backend.NotSent
}

// sentAttempts returns the number of attempts that may have reached a replica.
func (s *shardState) sentAttempts() int { return len(s.attempts) - s.unsent }

// newestStart returns the start time of the newest attempt in flight, or zero if there is none.
func (s *shardState) newestStart() time.Time {
	for _, a := range slices.Backward(s.attempts) {
		if a.inFlight {
			return a.startedAt
		}
	}
	return time.Time{}
}

// budgets returns the budgets for hedges and retries of a shard.
func (m *StateMachine) budgets(shard int) ShardBudget {
	if m.plan.ShardBudgets != nil {
		return m.plan.ShardBudgets[shard]
	}
	return ShardBudget{Hedges: m.plan.Hedges, Retries: m.plan.Retries}
}

// deposit credits the budgets with the required sub-requests. A budget shared by hedges and retries is credited
// once.
func (m *StateMachine) deposit() {
	if m.plan.ShardBudgets == nil {
		deposit(m.plan.Hedges, len(m.shards))
		if m.plan.Retries != m.plan.Hedges {
			deposit(m.plan.Retries, len(m.shards))
		}
		return
	}
	for _, b := range m.plan.ShardBudgets {
		deposit(b.Hedges, 1)
		if b.Retries != b.Hedges {
			deposit(b.Retries, 1)
		}
	}
}

// NextTick returns the time at which Tick must be called next. ok is false if no timer is set.
func (m *StateMachine) NextTick() (at time.Time, ok bool) {
	if m.pending == 0 {
		return time.Time{}, false
	}
	at = m.deadline
	at = earliest(at, m.hedgeAt)
	if m.isCovered() {
		// Without sufficient coverage, a partial answer depends on the next response, not on time.
		at = earliest(at, m.partialAt)
	}
	if m.waiting > 0 {
		for i := range m.shards {
			if m.shards[i].waiting {
				at = earliest(at, m.shards[i].retryAt)
			}
		}
	}
	return at, !at.IsZero()
}

// Done reports whether every shard is answered or given up.
func (m *StateMachine) Done() bool { return m.pending == 0 }

// Answered reports whether the shard is answered, and otherwise why it is missing.
func (m *StateMachine) Answered(shard int) (bool, api.MissingReason) {
	return m.shards[shard].answered, m.shards[shard].reason
}

// Counts returns the number of sub-requests sent so far. sent includes hedges and retries.
func (m *StateMachine) Counts() (sent, hedges, retries int) { return m.sent, m.hedges, m.retries }

// RetriesAfterRefusal returns the number of retries that followed a refusal without execution.
func (m *StateMachine) RetriesAfterRefusal() int { return m.resends }

// DeniedByBudget returns the number of extra attempts for which the budget had no token.
func (m *StateMachine) DeniedByBudget() int { return m.denied }

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func deposit(b Budget, n int) {
	if d, ok := b.(Depositor); ok {
		d.Deposit(n)
	}
}

// send starts an attempt on a replica that the shard has not tried yet. It reports whether one was available.
func (m *StateMachine) send(shard int, now time.Time) bool {
	s := &m.shards[shard]
	m.exclude = m.exclude[:0]
	for i := range s.attempts {
		m.exclude = append(m.exclude, s.attempts[i].target.ID)
	}
	target, ok := m.pick(shard)
	if !ok && m.plan.WaitForReplicas && len(s.attempts) > 0 && s.inFlight == 0 {
		// The replica that just refused may be the only live one of the shard, so all replicas are eligible again.
		m.exclude = m.exclude[:0]
		target, ok = m.pick(shard)
	}
	if !ok {
		return false
	}
	s.attempts = append(s.attempts, attempt{target: target, startedAt: now, inFlight: true})
	s.inFlight++
	m.sent++
	m.actions = append(m.actions, Action{ActionSend, shard, len(s.attempts) - 1, target.ID})
	return true
}

func (m *StateMachine) pick(shard int) (Target, bool) {
	return m.picker.Pick(m.plan.Service, m.plan.Version, m.plan.ShardMap.Shards[shard].ID, m.exclude)
}

func (m *StateMachine) endAttempt(s *shardState, number int, err error, now time.Time) {
	a := &s.attempts[number]
	a.inFlight = false
	s.inFlight--
	a.target.Done(now.Sub(a.startedAt), err)
}

// complete marks a shard as done and cancels its attempts in flight.
func (m *StateMachine) complete(shard int, now time.Time, cause error) {
	s := &m.shards[shard]
	s.done = true
	m.pending--
	if s.waiting {
		s.waiting = false
		m.waiting--
	}
	for i := range s.attempts {
		if s.attempts[i].inFlight {
			m.endAttempt(s, i, cause, now)
			m.actions = append(m.actions, Action{ActionCancel, shard, i, s.attempts[i].target.ID})
		}
	}
}

// sendHedges sends one more attempt for each shard whose only attempt in flight is older than the hedge delay. It
// then rearms the timer, because younger attempts reach that age later, and because the budget may allow a hedge
// later that it denied now.
func (m *StateMachine) sendHedges(now time.Time) {
	m.hedgeAt = time.Time{}
	for i := range m.shards {
		s := &m.shards[i]
		if s.done || s.inFlight == 0 || s.inFlight > 1 || s.sentAttempts() >= m.plan.MaxAttempts {
			continue
		}
		if dueAt := s.newestStart().Add(m.plan.HedgeDelay); now.Before(dueAt) {
			m.hedgeAt = earliest(dueAt, m.hedgeAt)
			continue
		}
		m.hedgeAt = earliest(now.Add(m.plan.HedgeDelay), m.hedgeAt)
		if m.plan.HedgeAllowed != nil && !m.plan.HedgeAllowed(i) {
			continue
		}
		budget := m.budgets(i).Hedges
		switch {
		case !budget.Withdraw():
			m.denied++
		case m.send(i, now):
			m.hedges++
		default:
			refund(budget)
		}
	}
}

func refund(b Budget) {
	if r, ok := b.(Refunder); ok {
		r.Refund()
	}
}

// retry handles a failed attempt of a shard that has no other attempt in flight.
func (m *StateMachine) retry(shard int, now time.Time) {
	s := &m.shards[shard]
	if s.sentAttempts() >= m.plan.MaxAttempts {
		m.giveUp(shard, s.reason, now)
		return
	}
	if m.plan.WaitForReplicas && (s.backoff > 0 || len(s.attempts) > 1) {
		// Only the first retry is immediate. Later ones back off to let the replica recover.
		m.giveUpOrWait(shard, s.reason, now)
		return
	}
	m.retryNow(shard, now)
}

// retryNow starts another attempt, which needs a token of the retry budget unless nothing was sent before.
func (m *StateMachine) retryNow(shard int, now time.Time) {
	s := &m.shards[shard]
	isRetry := s.sentAttempts() > 0
	budget := m.budgets(shard).Retries
	if isRetry && !budget.Withdraw() {
		m.denied++
		m.giveUpOrWait(shard, api.MissingBudget, now)
		return
	}
	if m.send(shard, now) {
		if isRetry {
			m.retries++
			if s.reason == api.MissingRefused {
				m.resends++
			}
		}
		return
	}
	if isRetry {
		refund(budget)
	}
	if s.reason == "" {
		s.reason = api.MissingNoReplica
	}
	m.giveUpOrWait(shard, s.reason, now)
}

// giveUpOrWait gives the shard up, or schedules a retry if the plan allows waiting.
func (m *StateMachine) giveUpOrWait(shard int, reason api.MissingReason, now time.Time) {
	s := &m.shards[shard]
	s.reason = reason
	if !m.plan.WaitForReplicas || m.deadline.IsZero() {
		m.giveUp(shard, reason, now)
		return
	}
	s.backoff = min(maxBackoff, max(initialBackoff, 2*s.backoff))
	s.retryAt = now.Add(max(s.backoff, m.retrySpacing(s, now)))
	if !s.waiting {
		s.waiting = true
		m.waiting++
	}
}

// retrySpacing returns a delay that spreads the remaining attempts over the remaining time, once replicas have
// refused an attempt or a connection. Otherwise a burst of refusals would use up all attempts within the first
// tenth of the time until the deadline.
func (m *StateMachine) retrySpacing(s *shardState, now time.Time) time.Duration {
	remaining := max(0, m.plan.MaxAttempts-s.sentAttempts())
	if len(s.attempts) < 2 || s.reason != api.MissingRefused && s.reason != api.MissingConnection {
		return 0
	}
	return m.deadline.Sub(now) / time.Duration(2*(remaining+1))
}

func (m *StateMachine) giveUp(shard int, reason api.MissingReason, now time.Time) {
	m.shards[shard].reason = reason
	m.complete(shard, now, context.Canceled)
}

func (m *StateMachine) retryWaiting(now time.Time) {
	for i := range m.shards {
		s := &m.shards[i]
		if !s.waiting || now.Before(s.retryAt) {
			continue
		}
		s.waiting = false
		m.waiting--
		m.retryNow(i, now)
	}
}

func (m *StateMachine) finish(now time.Time, cause error) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.done {
			continue
		}
		if s.reason == "" || s.inFlight > 0 {
			s.reason = api.MissingTimeout
		}
		m.complete(i, now, cause)
	}
	m.hedgeAt = time.Time{}
}
