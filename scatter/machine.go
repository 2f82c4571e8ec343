package scatter

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	// firstWait is the pause of a waiting shard after its first immediate retry; it doubles up to maxWait.
	firstWait = 5 * time.Millisecond
	maxWait   = 40 * time.Millisecond
)

// ActionKind is what the driver of a Machine has to do.
type ActionKind int

// Kinds of action.
const (
	// ActionSend sends the attempt to the replica.
	ActionSend ActionKind = iota
	// ActionCancel ends an attempt whose result is not needed any more.
	ActionCancel
)

// Action is one output of a Machine. Shard is the index in the plan's map, Attempt counts from 0 per shard.
type Action struct {
	Kind    ActionKind
	Shard   int
	Attempt int
	Replica string
}

// Machine decides the attempts of one query. It does no I/O and reads no clock: the driver passes events with
// their time and carries out the returned actions. It is not safe for concurrent use. The returned slice of
// actions is valid until the next call.
type Machine struct {
	plan     *Plan
	picker   Picker
	deadline time.Time
	shards   []shardState
	pending  int
	hedgeAt  time.Time
	// partialAt is when a partial answer is first allowed, zero for never; covered is the answered part of the key
	// space.
	partialAt time.Time
	covered   uint64
	waiting   int
	actions   []Action
	exclude   []string

	// sent, hedges and retries count attempts; sent includes the other two. denied counts extra attempts that a budget
	// refused.
	sent, hedges, retries, denied int
	// resends counts the retries that followed a refusal without execution.
	resends int
}

type attempt struct {
	target Target
	begin  time.Time
	open   bool
}

type shardState struct {
	attempts []attempt
	// unsent counts the attempts that never left, such as refused connections: they use up neither MaxAttempts nor the
	// budget.
	unsent   int
	open     int
	done     bool
	answered bool
	waiting  bool
	wakeAt   time.Time
	wait     time.Duration
	reason   api.MissingReason
}

// NewMachine returns a machine for the plan. A zero deadline means none.
func NewMachine(plan *Plan, picker Picker, deadline time.Time) *Machine {
	n := len(plan.Map.Shards)
	m := &Machine{plan: plan, picker: picker, deadline: deadline, shards: make([]shardState, n), pending: n}
	first := make([]attempt, n)
	for i := range m.shards {
		// The first attempt of each shard lives in one common allocation.
		m.shards[i].attempts = first[i : i : i+1]
	}
	m.actions = make([]Action, 0, n)
	return m
}

// Start sends the first attempt of every shard.
func (m *Machine) Start(now time.Time) []Action {
	m.actions = m.actions[:0]
	m.earn()
	for i := range m.shards {
		if !m.send(i, now) {
			m.settle(i, api.MissingNoReplica, now)
		}
	}
	m.giveUpUncovered(now)
	if m.plan.HedgeDelay > 0 && m.plan.MaxAttempts > 1 && !m.plan.Once {
		m.hedgeAt = now.Add(m.plan.HedgeDelay)
	}
	if m.plan.PartialAfter > 0 {
		m.partialAt = now.Add(m.plan.PartialAfter)
	}
	return m.actions
}

// Tick handles the times that have passed: the deadline, the time of a partial answer, the hedge delay and the
// pauses of waiting shards.
func (m *Machine) Tick(now time.Time) []Action {
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
		m.hedge(now)
	}
	if m.waiting > 0 {
		m.resume(now)
	}
	return m.actions
}

// Stop ends the query early; cause is what the open attempts are ended with.
func (m *Machine) Stop(now time.Time, cause error) []Action {
	m.actions = m.actions[:0]
	m.finish(now, cause)
	return m.actions
}

// Settled handles the end of an attempt; err is nil for a valid answer. taken reports whether the answer counts:
// the first answer of a shard does, a result of a cancelled attempt does not.
func (m *Machine) Settled(shard, number int, err error, now time.Time) (actions []Action, taken bool) {
	m.actions = m.actions[:0]
	s := &m.shards[shard]
	if s.done || !s.attempts[number].open {
		return m.actions, false
	}
	m.close(s, number, err, now)
	if err == nil {
		s.answered = true
		m.covered += width(m.plan.Map.Shards[shard])
		m.complete(shard, now, context.Canceled)
		if m.partialDue(now) {
			m.finish(now, context.Canceled)
		}
		return m.actions, true
	}
	s.reason = Reason(err)
	if neverSent(err) {
		s.unsent++
	}
	switch {
	case s.open > 0:
	case m.plan.Once && mayHaveRun(err):
		m.giveUp(shard, s.reason, now)
	default:
		m.retry(shard, now)
	}
	m.giveUpUncovered(now)
	return m.actions, false
}

// mayHaveRun reports whether the replica may have executed the attempt that ended with err.
func mayHaveRun(err error) bool {
	var e *backend.Error
	return !errors.As(err, &e) || e.Executed()
}

// neverSent reports whether no byte of the attempt left.
func neverSent(err error) bool {
	var e *backend.Error
	return errors.As(err, &e) && e.Failure == backend.NotSent
}

// tried returns the number of attempts that a replica may have got.
func (s *shardState) tried() int { return len(s.attempts) - s.unsent }

// openSince returns the begin of the newest open attempt.
func (s *shardState) openSince() time.Time {
	for _, a := range slices.Backward(s.attempts) {
		if a.open {
			return a.begin
		}
	}
	return time.Time{}
}

// giveUpUncovered ends the query if it cannot reach the coverage that the plan requires any more.
func (m *Machine) giveUpUncovered(now time.Time) {
	if m.plan.GiveUpBelow == 0 || m.pending == 0 || Reaches(m.reachable(), m.plan.GiveUpBelow) {
		return
	}
	m.finish(now, context.Canceled)
}

// reachable returns the fraction of the key space of the shards that are answered or still open.
func (m *Machine) reachable() float64 {
	var sum uint64
	for i := range m.shards {
		if s := &m.shards[i]; s.answered || !s.done {
			sum += width(m.plan.Map.Shards[i])
		}
	}
	return float64(sum) / float64(snapshot.KeySpace)
}

// budgets returns the budgets of the extra attempts for a shard.
func (m *Machine) budgets(shard int) ShardBudget {
	if m.plan.ShardBudgets != nil {
		return m.plan.ShardBudgets[shard]
	}
	return ShardBudget{Hedges: m.plan.Hedges, Retries: m.plan.Retries}
}

// earn reports the needed sub-requests to the budgets; a budget that serves hedges and retries gets them once.
func (m *Machine) earn() {
	if m.plan.ShardBudgets == nil {
		earn(m.plan.Hedges, len(m.shards))
		if m.plan.Retries != m.plan.Hedges {
			earn(m.plan.Retries, len(m.shards))
		}
		return
	}
	for _, b := range m.plan.ShardBudgets {
		earn(b.Hedges, 1)
		if b.Retries != b.Hedges {
			earn(b.Retries, 1)
		}
	}
}

// Wake returns when Tick is due next; ok is false if it is not needed.
func (m *Machine) Wake() (at time.Time, ok bool) {
	if m.pending == 0 {
		return time.Time{}, false
	}
	at = m.deadline
	at = earlier(at, m.hedgeAt)
	if m.isCovered() {
		// Without enough coverage the next answer decides, not the time.
		at = earlier(at, m.partialAt)
	}
	if m.waiting > 0 {
		for i := range m.shards {
			if m.shards[i].waiting {
				at = earlier(at, m.shards[i].wakeAt)
			}
		}
	}
	return at, !at.IsZero()
}

// Done reports whether every shard is answered or given up.
func (m *Machine) Done() bool { return m.pending == 0 }

// Answered reports whether the shard has an answer, and the reason if it does not.
func (m *Machine) Answered(shard int) (bool, api.MissingReason) {
	return m.shards[shard].answered, m.shards[shard].reason
}

// Counts returns the numbers of sub-requests; sent includes hedges and retries.
func (m *Machine) Counts() (sent, hedges, retries int) { return m.sent, m.hedges, m.retries }

// Resends returns the number of retries that followed a refusal without execution.
func (m *Machine) Resends() int { return m.resends }

// Denied returns the number of extra attempts that a budget refused.
func (m *Machine) Denied() int { return m.denied }

func width(s snapshot.Shard) uint64 { return s.High - s.Low }

// partialDue reports whether the query may end with the answers that it has.
func (m *Machine) partialDue(now time.Time) bool {
	return !m.partialAt.IsZero() && !now.Before(m.partialAt) && m.isCovered()
}

// isCovered reports whether the answered shards reach the plan's least fraction.
func (m *Machine) isCovered() bool {
	return Reaches(float64(m.covered)/float64(snapshot.KeySpace), m.plan.PartialLeast)
}

// coverageRounding is above the rounding of the bounds of a few thousand shards to whole hash values, and far below the
// part of one shard.
const coverageRounding = 1e-6

// Reaches reports whether a fraction of the key space reaches the least one. Shards of equal size differ by one hash
// value: without the allowance, some sets of 7 of 10 shards would be below 0.7.
func Reaches(fraction, least float64) bool { return fraction >= least-coverageRounding }

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func earn(b Budget, n int) {
	if e, ok := b.(Earner); ok {
		e.Earn(n)
	}
}

// send picks a replica that the shard has not tried, and reports whether one was left.
func (m *Machine) send(shard int, now time.Time) bool {
	s := &m.shards[shard]
	m.exclude = m.exclude[:0]
	for i := range s.attempts {
		m.exclude = append(m.exclude, s.attempts[i].target.ID)
	}
	target, ok := m.pick(shard)
	if !ok && m.plan.Wait && len(s.attempts) > 0 && s.open == 0 {
		// A replica that refused a moment ago may be the shard's last live one.
		m.exclude = m.exclude[:0]
		target, ok = m.pick(shard)
	}
	if !ok {
		return false
	}
	s.attempts = append(s.attempts, attempt{target: target, begin: now, open: true})
	s.open++
	m.sent++
	m.actions = append(m.actions, Action{ActionSend, shard, len(s.attempts) - 1, target.ID})
	return true
}

func (m *Machine) pick(shard int) (Target, bool) {
	return m.picker.Pick(m.plan.Service, m.plan.Version, m.plan.Map.Shards[shard].ID, m.exclude)
}

func (m *Machine) close(s *shardState, number int, err error, now time.Time) {
	a := &s.attempts[number]
	a.open = false
	s.open--
	a.target.Done(now.Sub(a.begin), err)
}

// complete ends a shard and cancels its open attempts.
func (m *Machine) complete(shard int, now time.Time, cause error) {
	s := &m.shards[shard]
	s.done = true
	m.pending--
	if s.waiting {
		s.waiting = false
		m.waiting--
	}
	for i := range s.attempts {
		if s.attempts[i].open {
			m.close(s, i, cause, now)
			m.actions = append(m.actions, Action{ActionCancel, shard, i, s.attempts[i].target.ID})
		}
	}
}

// hedge sends one more attempt for each shard whose only open attempt is older than the hedge delay, and rearms itself: a
// younger attempt turns old, and a hedge that the budget refused now may be allowed later.
func (m *Machine) hedge(now time.Time) {
	m.hedgeAt = time.Time{}
	for i := range m.shards {
		s := &m.shards[i]
		if s.done || s.open == 0 || s.open > 1 || s.tried() >= m.plan.MaxAttempts {
			continue
		}
		if due := s.openSince().Add(m.plan.HedgeDelay); now.Before(due) {
			m.hedgeAt = earlier(due, m.hedgeAt)
			continue
		}
		m.hedgeAt = earlier(now.Add(m.plan.HedgeDelay), m.hedgeAt)
		if m.plan.MayHedge != nil && !m.plan.MayHedge(i) {
			continue
		}
		budget := m.budgets(i).Hedges
		switch {
		case !budget.Take():
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

// retry follows a failed attempt when no other attempt of the shard is open.
func (m *Machine) retry(shard int, now time.Time) {
	s := &m.shards[shard]
	if s.tried() >= m.plan.MaxAttempts {
		m.giveUp(shard, s.reason, now)
		return
	}
	if m.plan.Wait && (s.wait > 0 || len(s.attempts) > 1) {
		// Only the first retry is immediate; the others wait for the replica to recover.
		m.settle(shard, s.reason, now)
		return
	}
	m.retryNow(shard, now)
}

// retryNow spends from the budget for one more attempt.
func (m *Machine) retryNow(shard int, now time.Time) {
	s := &m.shards[shard]
	again := s.tried() > 0
	budget := m.budgets(shard).Retries
	if again && !budget.Take() {
		m.denied++
		m.settle(shard, api.MissingBudget, now)
		return
	}
	if m.send(shard, now) {
		if again {
			m.retries++
			if s.reason == api.MissingRefused {
				m.resends++
			}
		}
		return
	}
	if again {
		refund(budget)
	}
	if s.reason == "" {
		s.reason = api.MissingNoReplica
	}
	m.settle(shard, s.reason, now)
}

// settle gives the shard up, or lets it wait if the plan says so.
func (m *Machine) settle(shard int, reason api.MissingReason, now time.Time) {
	s := &m.shards[shard]
	s.reason = reason
	if !m.plan.Wait || m.deadline.IsZero() {
		m.giveUp(shard, reason, now)
		return
	}
	s.wait = min(maxWait, max(firstWait, 2*s.wait))
	s.wakeAt = now.Add(max(s.wait, m.spread(s, now)))
	if !s.waiting {
		s.waiting = true
		m.waiting++
	}
}

// spread returns the pause that spreads the attempts left over the remaining time, once replicas have refused
// some. Otherwise a burst of refusals uses up the attempts in the first tenth of the deadline.
func (m *Machine) spread(s *shardState, now time.Time) time.Duration {
	left := m.plan.MaxAttempts - len(s.attempts)
	if len(s.attempts) < 2 || s.reason != api.MissingRefused && s.reason != api.MissingConnection {
		return 0
	}
	return m.deadline.Sub(now) / time.Duration(2*(left+1))
}

func (m *Machine) giveUp(shard int, reason api.MissingReason, now time.Time) {
	m.shards[shard].reason = reason
	m.complete(shard, now, context.Canceled)
}

func (m *Machine) resume(now time.Time) {
	for i := range m.shards {
		s := &m.shards[i]
		if !s.waiting || now.Before(s.wakeAt) {
			continue
		}
		s.waiting = false
		m.waiting--
		m.retryNow(i, now)
	}
}

func (m *Machine) finish(now time.Time, cause error) {
	for i := range m.shards {
		s := &m.shards[i]
		if s.done {
			continue
		}
		if s.reason == "" || s.open > 0 {
			s.reason = api.MissingTimeout
		}
		m.complete(i, now, cause)
	}
	m.hedgeAt = time.Time{}
}
