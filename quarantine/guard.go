// Package quarantine detects requests that crash backend servers and refuses their resends.
//
// A request is suspected if it loses the connections to several replicas within milliseconds and no replica has
// answered it. A suspected request sends no further attempts. If no replica answers within a grace period, its
// remaining attempts are cancelled, and its fingerprint is stored until it expires and passed to a publisher, so that
// the other daemons refuse it as well. An answer clears the request: when many replicas restart at once, a harmless
// request is still answered by those that keep running.
//
// A request that crashes the replicas of one service only, or that is sent to one replica at a time, loses too few
// connections for that. The losses of all requests with the same fingerprint at a service are therefore added up, also
// those that other daemons have observed, until a replica of the service answers one of them.
//
// After the quarantine, a request is half-open: it makes one attempt at a time until a replica answers it. The same holds for
// a request of which it cannot be told whether it or another one crashed the replicas that executed both. After a quarantine, a daemon
// also admits one such request at a time, and the daemons begin with that one after the other.
package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/chivemill/chivemill/api"
)

const (
	// DefaultExpiry is how long a fingerprint stays quarantined.
	DefaultExpiry = 5 * time.Minute
	// maxNotices limits the quarantined fingerprints. When it is reached, the one that expires first is evicted.
	maxNotices = 10_000
	// maxOrderEntries limits the fingerprints of non-idempotent requests whose losses are stored.
	maxOrderEntries = 10_000
	// maxAnsweredEntries limits the fingerprints whose last answer is stored.
	maxAnsweredEntries = 10_000
)

// Notice is a quarantined fingerprint and the time at which its quarantine ends. A notice that ends when it is made makes the
// fingerprint half-open.
type Notice struct {
	Fingerprint string
	Until       time.Time
}

// Publisher sends notices to the other daemons. Publish must not block; it is called without locks held.
type Publisher interface {
	Publish(Notice)
}

// Clock is the time source of a guard. Implementations must be safe for concurrent use.
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

type connectionLoss struct {
	replica string
	at      time.Time
}

// Guard tracks running requests and holds the quarantined fingerprints of a daemon. It is safe for concurrent use.
type Guard struct {
	rule      Rule
	expiry    time.Duration
	publisher Publisher
	clock     Clock
	// observations is nil if losses are not exchanged with other daemons.
	observations ObservationPublisher
	// confirm reports whether this daemon still reaches replicas; nil if it is taken to do so.
	confirm func(since time.Time) bool

	mu sync.Mutex
	// The maps below have fingerprints as keys. The values of notices are the times at which the quarantine ends. A request is
	// half-open for the expiry from then on.
	notices map[string]time.Time
	// wasQuarantined has the fingerprints of notices whose requests were refused, trials the only run of each of them that is admitted
	// while it is half-open.
	wasQuarantined map[string]bool
	trials         map[string]*Run
	// node is the name of this daemon, daemons their number.
	node        string
	daemons     int
	running     map[string]map[*Run]bool
	orderLosses map[string][]connectionLoss
	// answered holds the time of the last answer.
	answered map[string]time.Time
	// tally holds the losses of requests that have ended without an answer.
	tally tally
	// shared tells which requests lost connections to a replica at the same time.
	shared sharedLosses
	// lastCleanup is when expired entries were last removed from answered, which is done at most once per second.
	lastCleanup time.Time
}

// NewGuard returns a guard. publisher may be nil; if clock is nil, the system clock is used.
func NewGuard(rule Rule, expiry time.Duration, publisher Publisher, clock Clock) *Guard {
	if clock == nil {
		clock = systemClock{}
	}
	return &Guard{
		rule: rule, expiry: expiry, publisher: publisher, clock: clock,
		notices:        make(map[string]time.Time),
		wasQuarantined: make(map[string]bool),
		trials:         make(map[string]*Run),
		running:        make(map[string]map[*Run]bool),
		orderLosses:    make(map[string][]connectionLoss),
		answered:       make(map[string]time.Time),
		tally:          tally{rule: rule, losses: make(map[lossKey][]connectionLoss)},
		shared:         sharedLosses{byReplica: make(map[string]crash)},
	}
}

// SetObservationPublisher sets the publisher of observations. It must be called before the guard is used.
func (g *Guard) SetObservationPublisher(p ObservationPublisher) { g.observations = p }

// SetConfirmation sets a function that reports whether this daemon has reached a replica since a point in time, or does so now. It
// may block for a short time. Without it, a daemon whose links to the replicas are reset takes the requests that it is running for
// requests that crash replicas. It must be called before the guard is used.
func (g *Guard) SetConfirmation(confirm func(since time.Time) bool) { g.confirm = confirm }

// Admit registers a request that is about to run. Its attempts must use the returned context, which is cancelled with
// the cause ErrQuarantined if the fingerprint is quarantined while the request runs. The caller must call Done when the
// request ends. A quarantined fingerprint is refused with an *api.Error of kind api.Quarantined.
func (g *Guard) Admit(ctx context.Context, fingerprint string, kind Kind) (context.Context, *Run, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	until, isKnown := g.notices[fingerprint]
	isTrial := isKnown && g.wasQuarantined[fingerprint]
	if isTrial {
		until = until.Add(g.trialDelay(fingerprint))
	}
	remaining := until.Sub(g.clock.Now())
	switch {
	case !isKnown:
	case remaining > 0:
		err := api.Errorf(api.Quarantined, "this request crashed backend servers; it is refused until %s", until.UTC().Format(time.RFC3339))
		err.RetryAfter = remaining
		return ctx, nil, err
	case remaining < -g.expiry:
		g.removeNotice(fingerprint)
		isKnown, isTrial = false, false
	case isTrial && g.trials[fingerprint] != nil:
		err := api.Errorf(api.Quarantined, "this request crashed backend servers; another one like it is being tried")
		err.RetryAfter = trialRetryAfter()
		return ctx, nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	run := &Run{guard: g, fingerprint: fingerprint, kind: kind, ctx: ctx, cancel: cancel}
	if isKnown {
		run.halfOpen = newHalfOpenGate()
	}
	if isTrial {
		g.trials[fingerprint] = run
	}
	if g.running[fingerprint] == nil {
		g.running[fingerprint] = make(map[*Run]bool)
	}
	g.running[fingerprint][run] = true
	return ctx, run, nil
}

// recordAnswer stores the time of an answer to the fingerprint. The caller must hold the lock.
func (g *Guard) recordAnswer(fingerprint string) {
	now := g.clock.Now()
	if len(g.answered) >= maxAnsweredEntries && now.Sub(g.lastCleanup) >= time.Second {
		g.lastCleanup = now
		for f, at := range g.answered {
			if now.Sub(at) > g.rule.RecentAnswerWindow {
				delete(g.answered, f)
			}
		}
	}
	if len(g.answered) < maxAnsweredEntries {
		g.answered[fingerprint] = now
	}
}

// consumeRecentAnswer reports whether the fingerprint was answered recently, and removes that answer, so that it clears
// one suspicion only. The caller must hold the lock.
func (g *Guard) consumeRecentAnswer(fingerprint string) bool {
	at, ok := g.answered[fingerprint]
	delete(g.answered, fingerprint)
	return ok && g.clock.Now().Sub(at) <= g.rule.RecentAnswerWindow
}

// recordLoss adds a loss and reports whether the thresholds of the rule are reached. The caller must hold the lock.
func (g *Guard) recordLoss(r *Run, l connectionLoss) bool {
	if r.halfOpen != nil && !r.halfOpen.isEnded {
		return true
	}
	if r.kind == Order {
		losses := addLoss(g.orderLosses[r.fingerprint], l, g.rule.OrderWindow)
		if _, known := g.orderLosses[r.fingerprint]; known || len(g.orderLosses) < maxOrderEntries || g.dropOldOrderLosses(l.at) {
			g.orderLosses[r.fingerprint] = losses
		}
		return g.rule.OrderReplicas > 0 && len(losses) >= g.rule.OrderReplicas
	}
	r.losses = addLoss(r.losses, l, g.rule.Window)
	if g.rule.RequireNoAnswer && r.answered {
		return false
	}
	return g.rule.Replicas > 0 && len(r.losses) >= g.rule.Replicas
}

// addLoss returns l and the losses of other replicas within the window before it.
func addLoss(losses []connectionLoss, l connectionLoss, window time.Duration) []connectionLoss {
	kept := []connectionLoss{l}
	for _, earlier := range losses {
		if earlier.replica != l.replica && l.at.Sub(earlier.at) <= window {
			kept = append(kept, earlier)
		}
	}
	return kept
}

// dropOldOrderLosses removes the losses of non-idempotent requests that are older than the window, and reports
// whether another fingerprint can be added.
func (g *Guard) dropOldOrderLosses(now time.Time) bool {
	for fingerprint, losses := range g.orderLosses {
		if now.Sub(losses[0].at) > g.rule.OrderWindow {
			delete(g.orderLosses, fingerprint)
		}
	}
	return len(g.orderLosses) < maxOrderEntries
}

// AddRemoteNotice adds a notice received from another daemon. The end of the quarantine is limited to the current
// time plus this guard's expiry, so that a peer with a wrong clock cannot block a request permanently. It reports whether the
// fingerprint was not quarantined before.
func (g *Guard) AddRemoteNotice(n Notice) (isNew bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit := g.clock.Now().Add(g.expiry); n.Until.After(limit) {
		n.Until = limit
	}
	remaining := n.Until.Sub(g.clock.Now())
	if remaining <= 0 {
		if remaining > -g.expiry {
			g.addHalfOpen(n)
		}
		return false
	}
	return g.addNotice(n)
}

// addNotice stores a notice, cancels the running requests with its fingerprint, and reports whether the fingerprint
// was not quarantined before. The caller must hold the lock.
func (g *Guard) addNotice(n Notice) bool {
	until, known := g.notices[n.Fingerprint]
	if !known && len(g.notices) >= maxNotices {
		g.evictEarliest()
	}
	if n.Until.After(until) {
		g.notices[n.Fingerprint] = n.Until
		g.wasQuarantined[n.Fingerprint] = true
	}
	for run := range g.running[n.Fingerprint] {
		run.cancel(ErrQuarantined)
	}
	return !known || !g.clock.Now().Before(until)
}

// evictEarliest removes the notice that expires first.
func (g *Guard) evictEarliest() {
	var earliest string
	for fingerprint, until := range g.notices {
		if earliest == "" || until.Before(g.notices[earliest]) {
			earliest = fingerprint
		}
	}
	g.removeNotice(earliest)
}

// removeNotice removes a notice. The caller must hold the lock.
func (g *Guard) removeNotice(fingerprint string) {
	delete(g.notices, fingerprint)
	delete(g.wasQuarantined, fingerprint)
	delete(g.trials, fingerprint)
}

// Notices returns the fingerprints in quarantine, for status pages and for daemons that join.
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
