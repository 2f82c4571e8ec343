// Package reach decides whether this daemon is isolated: partitioned from all backend servers, while callers and other daemons
// may still reach it. A replica that does not respond may have ended; a daemon to which no replica responds is more likely cut off
// itself.
//
// Tracker collects what the daemon's own traffic shows. It only suspects an isolation; Decide takes the result of probes, which
// open connections to several replicas, as the proof. The package does no I/O.
package reach

import (
	"sync"
	"time"
)

const (
	// minSilence is how long no replica has responded before the silence is suspicious. It exceeds the time of most attempts and
	// the pauses of single replicas.
	minSilence = 250 * time.Millisecond
	// longSilence is the same for a daemon with so little traffic that it waits for one replica only.
	longSilence = time.Second
	// minSilentReplicas is the number of replicas with unanswered attempts, and minRefusingReplicas that of replicas to which no
	// connection could be opened, from which on an isolation is suspected.
	minSilentReplicas   = 2
	minRefusingReplicas = 3
	// refusalWindow is how long a failure to open a connection counts.
	refusalWindow = 2 * time.Second
	// suspicionPause is the time after probes have refuted a suspicion in which no other one is raised.
	suspicionPause = time.Second
	// minReachedFraction is the fraction of the probed replicas that an isolated daemon has to reach to be no longer isolated.
	minReachedFraction = 0.5
	// trialDelay is how long a daemon is isolated before it tries requests, trialInterval the time between two of them. Requests are tried
	// for trialWindow after probes have reached a replica.
	trialDelay    = 2 * time.Second
	trialInterval = 300 * time.Millisecond
	trialWindow   = 2 * time.Second
)

// State is what a daemon knows of its links to the replicas.
type State int

// Values of State.
const (
	// Connected means that there is no sign of an isolation, or that probes have refuted it.
	Connected State = iota
	// Suspected means that the daemon's traffic looks like an isolation and probes have to decide.
	Suspected
	// Isolated means that probes reached no replica.
	Isolated
)

// String returns the name of the state in logs and metrics.
func (s State) String() string { return [...]string{"connected", "suspected", "isolated"}[s] }

// Tracker holds the state of a daemon. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	state State
	// respondedAt is the time of the last response of any replica.
	respondedAt time.Time
	// refused holds the time of the last failure to open a connection by replica, since the last one that was opened.
	refused map[string]time.Time
	// refutedAt is when probes last refuted a suspicion.
	refutedAt time.Time
	// isolatedAt is when the isolation began, reachedAt when probes reached a replica last, too few to end it, and triedAt when a request
	// was tried last. All are zero while the daemon is not isolated.
	isolatedAt, reachedAt, triedAt time.Time
}

// NewTracker returns the tracker of a daemon that starts now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{respondedAt: now, refused: make(map[string]time.Time)}
}

// Responded records a response of any replica, whatever it says. It ends an isolation in which a request was tried.
func (t *Tracker) Responded(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.respondedAt = now
	if !t.triedAt.IsZero() {
		t.connect(now)
	}
}

// Try reports whether an isolated daemon may try a request that it would refuse otherwise. Some replicas can be reached then, but too few
// of those that are probed: after a while one request is tried from time to time, and a response ends the isolation. While no replica can
// be reached, every request is refused at once.
func (t *Tracker) Try(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	isReaching := !t.reachedAt.IsZero() && now.Sub(t.reachedAt) < trialWindow
	if t.state != Isolated || !isReaching || now.Sub(t.isolatedAt) < trialDelay || now.Sub(t.triedAt) < trialInterval {
		return false
	}
	t.triedAt = now
	return true
}

// connect ends a suspicion or an isolation. The caller holds the lock.
func (t *Tracker) connect(now time.Time) {
	t.state, t.refutedAt = Connected, now
	t.isolatedAt, t.reachedAt, t.triedAt = time.Time{}, time.Time{}, time.Time{}
	clear(t.refused)
}

// HasRespondedSince reports whether a replica responded at or after a time.
func (t *Tracker) HasRespondedSince(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.respondedAt.Before(at)
}

// Opened records that a connection to a replica was opened.
func (t *Tracker) Opened() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.refused)
}

// OpenFailed records that a connection to the replica could not be opened.
func (t *Tracker) OpenFailed(replica string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for r, at := range t.refused {
		if now.Sub(at) > refusalWindow {
			delete(t.refused, r)
		}
	}
	t.refused[replica] = now
}

// State returns the current state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// Update returns the state after taking into account the number of replicas with an attempt in flight, or failed, that have not
// responded for longer than expected. While it is Suspected or Isolated, the caller probes replicas and passes the result to Decide.
func (t *Tracker) Update(silentReplicas int, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state == Isolated {
		return t.state
	}
	silence := now.Sub(t.respondedAt)
	isSilent := silence >= minSilence && silentReplicas >= minSilentReplicas || silence >= longSilence && silentReplicas > 0
	isRefused := t.recentRefusals(now) >= minRefusingReplicas
	t.state = Connected
	if (isSilent || isRefused) && now.Sub(t.refutedAt) >= suspicionPause {
		t.state = Suspected
	}
	return t.state
}

// recentRefusals returns the number of replicas to which no connection could be opened lately. The caller holds the lock.
func (t *Tracker) recentRefusals(now time.Time) (n int) {
	for _, at := range t.refused {
		if now.Sub(at) <= refusalWindow {
			n++
		}
	}
	return n
}

// Decide takes the number of replicas that were probed and of those that were reached, and returns the state before and after.
// Nothing changes if no replica was probed.
func (t *Tracker) Decide(probed, reached int, now time.Time) (before, after State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = t.state
	switch {
	case probed == 0:
	case t.state == Suspected && reached == 0:
		t.state, t.isolatedAt = Isolated, now
	case t.state == Suspected, float64(reached) >= minReachedFraction*float64(probed):
		t.connect(now)
	case reached > 0:
		t.reachedAt = now
	}
	return before, t.state
}
