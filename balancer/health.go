package balancer

import (
	"slices"
	"time"
)

// Health is the state of a replica as exchanged between daemons. In a large fleet each daemon sends a request to a
// given replica only about once a second. Without the exchange, every daemon would lose a request to each slow
// replica before detecting it.
type Health struct {
	Replica string `json:"r"`
	// Slowness is the latency as a multiple of the expected latency.
	Slowness float64 `json:"s"`
	// Failures counts consecutive failures. PauseMS is the remaining time for which the replica is avoided.
	Failures int   `json:"f,omitempty"`
	PauseMS  int64 `json:"p,omitempty"`
}

const (
	// minUpdateInterval is the minimum time between two updates about the same replica.
	minUpdateInterval = 150 * time.Millisecond
	// updateChangeFactor is the factor by which the slowness must change to trigger an update. A slowness up to
	// normalSlowness counts as normal.
	updateChangeFactor = 1.4
	normalSlowness     = 1.8
	// localPrecedence is how long a response to this daemon takes precedence over the updates of other daemons.
	localPrecedence = 250 * time.Millisecond
	// maxHealthUpdates bounds the number of pending updates.
	maxHealthUpdates = 256
)

// healthAt returns the state to send to the other daemons.
func (r *replica) healthAt(now time.Time) Health {
	return Health{
		Replica: r.ID, Slowness: r.slownessAt(now), Failures: r.failures,
		PauseMS: max(0, r.pausedUntil.Sub(now).Milliseconds()),
	}
}

// queueHealthUpdate queues the replica for TakeHealthUpdates if its health changed significantly since the last update.
func (b *Balancer) queueHealthUpdate(r *replica, now time.Time) {
	if b.isIsolated || now.Sub(r.publishedAt) < minUpdateInterval || len(b.healthUpdates) >= maxHealthUpdates || slices.Contains(b.healthUpdates, r) {
		return
	}
	h := r.healthAt(now)
	published := max(1, r.published.Slowness)
	failureChanged := (h.Failures > 0) != (r.published.Failures > 0) || h.Failures > r.published.Failures
	slower := h.Slowness > normalSlowness && h.Slowness > published*updateChangeFactor
	faster := published > normalSlowness && h.Slowness < published/updateChangeFactor
	if failureChanged || slower || faster {
		b.healthUpdates = append(b.healthUpdates, r)
	}
}

// TakeHealthUpdates returns the current health of the replicas that changed significantly since the last call. After a failure it
// returns none until another response shows that this daemon itself is not cut off.
func (b *Balancer) TakeHealthUpdates(now time.Time) []Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.healthUpdates) == 0 || slices.ContainsFunc(b.healthUpdates, func(r *replica) bool { return r.failedAt.After(b.respondedAt) }) {
		return nil
	}
	all := make([]Health, 0, len(b.healthUpdates))
	for _, r := range b.healthUpdates {
		r.published, r.publishedAt = r.healthAt(now), now
		all = append(all, r.published)
	}
	b.healthUpdates = b.healthUpdates[:0]
	return all
}

// ApplyHealthUpdates applies the health updates of another daemon. An update is ignored if its replica is not in the
// list, if one of its values is negative, or if this daemon received a valid response from the replica within the last
// localPrecedence; otherwise it decays like a local observation.
// ApplyHealthUpdates returns the number of replicas that it updated.
func (b *Balancer) ApplyHealthUpdates(healthUpdates []Health, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := 0
	for _, h := range healthUpdates {
		r := b.replicas[h.Replica]
		if r == nil || now.Sub(r.answeredAt) < localPrecedence || h.Slowness < 0 || h.PauseMS < 0 || h.Failures < 0 {
			continue
		}
		r.slowness, r.slownessUpdatedAt = min(maxSlowness, max(0.5, h.Slowness)), now
		r.failures = h.Failures
		r.pausedUntil = time.Time{}
		if h.PauseMS > 0 {
			r.pausedUntil = now.Add(min(maxPause, time.Duration(h.PauseMS)*time.Millisecond))
		}
		r.published, r.publishedAt = h, now
		changed++
	}
	return changed
}
