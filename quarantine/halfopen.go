package quarantine

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// halfOpenGate lets a request whose quarantine has expired make one attempt at a time until a replica answers it, so that one that
// still crashes replicas crashes one of them and is quarantined again, as a circuit breaker does. It is safe for concurrent use, but
// isEnded is protected by the guard's lock.
type halfOpenGate struct {
	// slot holds a value while an attempt is in flight.
	slot chan struct{}
	// ended is closed when a replica has answered.
	ended   chan struct{}
	isEnded bool
}

func newHalfOpenGate() *halfOpenGate {
	return &halfOpenGate{slot: make(chan struct{}, 1), ended: make(chan struct{})}
}

// await blocks until an attempt may be sent. The error is the cancellation cause of one of the contexts.
func (g *halfOpenGate) await(attempt, request context.Context) error {
	select {
	case <-g.ended:
		return nil
	default:
	}
	select {
	case <-g.ended:
		return nil
	case g.slot <- struct{}{}:
		return nil
	case <-attempt.Done():
		return context.Cause(attempt)
	case <-request.Done():
		return context.Cause(request)
	}
}

// release lets the next attempt start.
func (g *halfOpenGate) release() {
	select {
	case <-g.slot:
	default:
	}
}

// closeHalfOpen ends the half-open state of the fingerprint, because a replica answered the request. The caller must hold the lock.
func (r *Run) closeHalfOpen() {
	if r.halfOpen == nil || r.halfOpen.isEnded {
		return
	}
	r.halfOpen.isEnded = true
	close(r.halfOpen.ended)
	if until, ok := r.guard.notices[r.fingerprint]; ok && !r.guard.clock.Now().Before(until) {
		r.guard.removeNotice(r.fingerprint)
	}
}

// trialInterval is the time in which the number of daemons doubles that admit a request after its quarantine. A notice reaches all daemons
// in a fraction of it, so that few of them admit one that still crashes replicas.
const trialInterval = 3 * time.Second

// SetFleet sets the name of this daemon and the number of daemons, which decide when this one admits a request after its quarantine.
func (g *Guard) SetFleet(node string, daemons int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.node, g.daemons = node, daemons
}

// trialDelay returns how long after the end of its quarantine this daemon refuses a request. The daemons take positions from 0 to their
// number at random, though each always the same for a fingerprint. The caller must hold the lock.
func (g *Guard) trialDelay(fingerprint string) time.Duration {
	if g.daemons <= 1 {
		return 0
	}
	hash := xxhash.Sum64String(g.node + "\x00" + fingerprint)
	position := float64(hash) / math.MaxUint64 * float64(g.daemons)
	return time.Duration(math.Log2(1+position) * float64(trialInterval))
}

// meanTrialRetryAfter is the mean Retry-After while another request with the fingerprint is being tried.
const meanTrialRetryAfter = time.Second

// trialRetryAfter returns a Retry-After between half and one and a half times the mean, so that callers do not return together.
func trialRetryAfter() time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(meanTrialRetryAfter))
}

// firstExpiry returns how long a fingerprint is quarantined for the first time.
func (g *Guard) firstExpiry() time.Duration {
	if g.rule.FirstExpiry > 0 {
		return min(g.rule.FirstExpiry, g.expiry)
	}
	return g.expiry
}

// newNotice returns the notice about a request that is quarantined.
func (g *Guard) newNotice(r *Run) Notice {
	expiry := g.firstExpiry()
	if r.halfOpen != nil {
		expiry = g.expiry
	}
	return Notice{Fingerprint: r.fingerprint, Until: g.clock.Now().Add(expiry)}
}
