// Package quarantine detects requests that crash backend servers and refuses their resends.
//
// The signal is one request that loses the connections to several replicas within milliseconds and is answered by
// none. From the last of these losses on it sends no further attempt. If no replica answers within a grace period,
// its remaining attempts are cancelled, and its fingerprint is remembered for a time and handed to a publisher, so
// that the other daemons refuse it as well. An answer clears it: in a mass restart, a request that does no harm is
// answered by the replicas that still run.
package quarantine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/chivemill/chivemill/api"
)

// ErrQuarantined is the cause of the cancellation of a request that was quarantined while it ran. Such a request
// was executed, so it must not be answered with api.Quarantined, which states that it was not run.
var ErrQuarantined = errors.New("request crashes backend servers")

// Rule states when a request is quarantined.
type Rule struct {
	// Replicas is the number of distinct replicas whose connections the request lost; 0 never quarantines.
	Replicas int
	// Window is the time in which a search request loses them.
	Window time.Duration
	// NoAnswer requires that no replica has answered the request before, because a request that crashes each
	// backend server that runs it gets no answer.
	NoAnswer bool
	// Grace is how long a suspected request waits for an answer that clears it; it needs NoAnswer.
	Grace time.Duration
	// OrderReplicas and OrderWindow are the limits for non-idempotent requests. Each is sent to one replica only,
	// so the losses of requests with equal fingerprints count together; an answer to one of them clears them.
	OrderReplicas int
	OrderWindow   time.Duration
	// AnsweredWithin clears a suspected search whose fingerprint was answered that recently, once per answer. If all
	// replicas fail at once, it keeps the popular requests, whose refusal would cost most, out of quarantine.
	AnsweredWithin time.Duration
}

// DefaultRule returns the rule that docs/decisions/crashing-requests.md selects.
func DefaultRule() Rule {
	return Rule{
		Replicas: 3, Window: 50 * time.Millisecond, NoAnswer: true, Grace: 40 * time.Millisecond,
		OrderReplicas: 2, OrderWindow: 10 * time.Minute, AnsweredWithin: 10 * time.Second,
	}
}

const (
	// DefaultExpiry is how long a fingerprint stays quarantined.
	DefaultExpiry = 5 * time.Minute
	// maxNotices bounds the remembered fingerprints; the one that expires first makes room.
	maxNotices = 10_000
	// maxOrders bounds the order fingerprints whose losses are remembered.
	maxOrders = 10_000
	// maxAnswered bounds the fingerprints whose last answer is remembered.
	maxAnswered = 10_000
)

// Notice is a quarantined fingerprint.
type Notice struct {
	Fingerprint string
	Until       time.Time
}

// Publisher sends notices to the other daemons. Publish must not block; it is called without locks held.
type Publisher interface {
	Publish(Notice)
}

// Kind tells how a request is executed.
type Kind int

// Values of Kind.
const (
	// Search is a request that is sent to many replicas.
	Search Kind = iota
	// Order is a non-idempotent request that is sent to one replica.
	Order
)

// Clock is the time that a guard uses. Implementations are safe for concurrent use.
type Clock interface {
	Now() time.Time
	// AfterFunc calls f after the duration.
	AfterFunc(d time.Duration, f func())
}

type systemClock struct{}

// Now implements Clock.
func (systemClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (systemClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

type loss struct {
	replica string
	at      time.Time
}

// Guard holds the quarantined fingerprints of a daemon. It is safe for concurrent use.
type Guard struct {
	rule      Rule
	expiry    time.Duration
	publisher Publisher
	clock     Clock

	mu      sync.Mutex
	notices map[string]time.Time
	running map[string]map[*Run]bool
	orders  map[string][]loss
	// answered holds when a search fingerprint was last answered.
	answered map[string]time.Time
	// swept is when answered was last searched for old entries, which is done at most once per second.
	swept time.Time
}

// NewGuard returns a guard. publisher may be nil; a nil clock is the system's clock.
func NewGuard(rule Rule, expiry time.Duration, publisher Publisher, clock Clock) *Guard {
	if clock == nil {
		clock = systemClock{}
	}
	return &Guard{
		rule: rule, expiry: expiry, publisher: publisher, clock: clock,
		notices:  make(map[string]time.Time),
		running:  make(map[string]map[*Run]bool),
		orders:   make(map[string][]loss),
		answered: make(map[string]time.Time),
	}
}

// Run is one admitted request. Its methods are safe for concurrent use.
type Run struct {
	guard       *Guard
	fingerprint string
	kind        Kind
	ctx         context.Context
	cancel      context.CancelCauseFunc
	// The guard's lock protects the fields below.
	losses   []loss
	answered bool
	// suspected is open while the request waits for its verdict, and nil before.
	suspected chan struct{}
	decided   bool
}

// Admit registers a request that is about to run. Its attempts use the returned context, which ends with the
// cause ErrQuarantined if the fingerprint is quarantined meanwhile. The caller calls Done at the end. A
// quarantined fingerprint is refused with an *api.Error of kind api.Quarantined.
func (g *Guard) Admit(ctx context.Context, fingerprint string, kind Kind) (context.Context, *Run, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if until, ok := g.notices[fingerprint]; ok {
		if g.clock.Now().Before(until) {
			return ctx, nil, api.Errorf(api.Quarantined, "this request crashed backend servers; it is refused until %s",
				until.UTC().Format(time.RFC3339))
		}
		delete(g.notices, fingerprint)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	run := &Run{guard: g, fingerprint: fingerprint, kind: kind, ctx: ctx, cancel: cancel}
	if g.running[fingerprint] == nil {
		g.running[fingerprint] = make(map[*Run]bool)
	}
	g.running[fingerprint][run] = true
	return ctx, run, nil
}

// Done ends the request. A suspected request that ends without an answer is quarantined.
func (r *Run) Done() {
	r.decide()
	g := r.guard
	g.mu.Lock()
	delete(g.running[r.fingerprint], r)
	if len(g.running[r.fingerprint]) == 0 {
		delete(g.running, r.fingerprint)
	}
	g.mu.Unlock()
	r.cancel(nil)
}

// Answered records that a replica executed the request and answered it.
func (r *Run) Answered() {
	g := r.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.kind == Order {
		delete(g.orders, r.fingerprint)
	} else if !r.answered {
		g.recordAnswer(r.fingerprint)
	}
	r.answered = true
	if r.suspected != nil && !r.decided && g.rule.NoAnswer {
		r.decided = true
		close(r.suspected)
	}
}

// Lost records that the connection to a replica broke while the replica may have been executing the request. It
// suspects or quarantines the fingerprint if the rule says so.
func (r *Run) Lost(replica string, at time.Time) {
	g := r.guard
	g.mu.Lock()
	if !g.suspect(r, loss{replica, at}) || r.suspected != nil {
		g.mu.Unlock()
		return
	}
	r.suspected = make(chan struct{})
	g.mu.Unlock()
	if r.kind == Order || g.rule.Grace == 0 {
		r.decide()
		return
	}
	g.clock.AfterFunc(g.rule.Grace, r.decide)
}

// decide quarantines the request if it is suspected and was not cleared.
func (r *Run) decide() {
	g := r.guard
	g.mu.Lock()
	if r.suspected == nil || r.decided {
		g.mu.Unlock()
		return
	}
	r.decided = true
	if r.kind == Search && g.clearedByAnswer(r.fingerprint) {
		close(r.suspected)
		g.mu.Unlock()
		return
	}
	notice := Notice{Fingerprint: r.fingerprint, Until: g.clock.Now().Add(g.expiry)}
	// The waiting attempts are released after the cancellation: before it they would be sent.
	fresh := g.add(notice)
	close(r.suspected)
	g.mu.Unlock()
	if fresh && g.publisher != nil {
		g.publisher.Publish(notice)
	}
}

// Held reports whether the request waits for its verdict.
func (r *Run) Held() bool {
	r.guard.mu.Lock()
	defer r.guard.mu.Unlock()
	return r.suspected != nil && !r.decided
}

// Wait returns when an attempt may be sent: at once, or after the verdict on a suspected request. The error is
// the cause of the end of the request or of ctx.
func (r *Run) Wait(ctx context.Context) error {
	r.guard.mu.Lock()
	suspected := r.suspected
	r.guard.mu.Unlock()
	if suspected != nil {
		select {
		case <-suspected:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return context.Cause(r.ctx)
}

// recordAnswer remembers that the fingerprint was answered. The caller holds the lock.
func (g *Guard) recordAnswer(fingerprint string) {
	now := g.clock.Now()
	if len(g.answered) >= maxAnswered && now.Sub(g.swept) >= time.Second {
		g.swept = now
		for f, at := range g.answered {
			if now.Sub(at) > g.rule.AnsweredWithin {
				delete(g.answered, f)
			}
		}
	}
	if len(g.answered) < maxAnswered {
		g.answered[fingerprint] = now
	}
}

// clearedByAnswer reports whether the fingerprint was answered recently, and uses the answer up. The caller holds
// the lock.
func (g *Guard) clearedByAnswer(fingerprint string) bool {
	at, ok := g.answered[fingerprint]
	delete(g.answered, fingerprint)
	return ok && g.clock.Now().Sub(at) <= g.rule.AnsweredWithin
}

// suspect adds a loss and applies the rule. The caller holds the lock.
func (g *Guard) suspect(r *Run, l loss) bool {
	if r.kind == Order {
		losses := addLoss(g.orders[r.fingerprint], l, g.rule.OrderWindow)
		if _, known := g.orders[r.fingerprint]; known || len(g.orders) < maxOrders || g.forgetOrders(l.at) {
			g.orders[r.fingerprint] = losses
		}
		return g.rule.OrderReplicas > 0 && len(losses) >= g.rule.OrderReplicas
	}
	r.losses = addLoss(r.losses, l, g.rule.Window)
	if g.rule.NoAnswer && r.answered {
		return false
	}
	return g.rule.Replicas > 0 && len(r.losses) >= g.rule.Replicas
}

// addLoss returns the losses of distinct replicas within the window before l, l included.
func addLoss(losses []loss, l loss, window time.Duration) []loss {
	kept := []loss{l}
	for _, old := range losses {
		if old.replica != l.replica && l.at.Sub(old.at) <= window {
			kept = append(kept, old)
		}
	}
	return kept
}

// forgetOrders drops order losses that are too old to count and reports whether there is room.
func (g *Guard) forgetOrders(now time.Time) bool {
	for fingerprint, losses := range g.orders {
		if now.Sub(losses[0].at) > g.rule.OrderWindow {
			delete(g.orders, fingerprint)
		}
	}
	return len(g.orders) < maxOrders
}

// Learn takes a notice of another daemon. A notice that lasts longer than this daemon's own expiry is shortened,
// so that a peer with a wrong clock cannot block a request for good.
func (g *Guard) Learn(n Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit := g.clock.Now().Add(g.expiry); n.Until.After(limit) {
		n.Until = limit
	}
	if n.Until.After(g.clock.Now()) {
		g.add(n)
	}
}

// add remembers a notice, cancels the running requests with its fingerprint and reports whether it is new. The
// caller holds the lock.
func (g *Guard) add(n Notice) bool {
	until, known := g.notices[n.Fingerprint]
	if !known && len(g.notices) >= maxNotices {
		g.evict()
	}
	if n.Until.After(until) {
		g.notices[n.Fingerprint] = n.Until
	}
	for run := range g.running[n.Fingerprint] {
		run.cancel(ErrQuarantined)
	}
	return !known || !g.clock.Now().Before(until)
}

func (g *Guard) evict() {
	var first string
	for fingerprint, until := range g.notices {
		if first == "" || until.Before(g.notices[first]) {
			first = fingerprint
		}
	}
	delete(g.notices, first)
}

// Notices returns the quarantined fingerprints, for status pages and for daemons that join.
func (g *Guard) Notices() []Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	notices := make([]Notice, 0, len(g.notices))
	for fingerprint, until := range g.notices {
		if g.clock.Now().Before(until) {
			notices = append(notices, Notice{fingerprint, until})
		}
	}
	return notices
}
