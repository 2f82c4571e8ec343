package balancer

import (
	"slices"
	"time"
)

// Health is what one daemon tells the others of a replica. With many daemons each of them meets a replica only about
// once a second; alone, each would lose a request to each slow replica before it knew.
type Health struct {
	Replica string `json:"r"`
	// Slowness is the latency in multiples of the expected one.
	Slowness float64 `json:"s"`
	// Failures counts the failures in a row, PauseMS is how much longer the replica is passed over.
	Failures int   `json:"f,omitempty"`
	PauseMS  int64 `json:"p,omitempty"`
}

const (
	// tellInterval is the least time between two messages about one replica.
	tellInterval = 150 * time.Millisecond
	// tellChange is the factor by which the slowness changes before it is told, tellSlowness the slowness below which a
	// replica counts as normal.
	tellChange   = 1.4
	tellSlowness = 1.8
	// ownEvidence is how long an answer to this daemon outweighs what others say.
	ownEvidence = 250 * time.Millisecond
	// maxNews bounds the changes that wait to be told.
	maxNews = 256
)

// health returns what is to be told of the replica.
func (r *replica) health(now time.Time) Health {
	return Health{
		Replica: r.ID, Slowness: r.slownessAt(now), Failures: r.failures,
		PauseMS: max(0, r.pausedUntil.Sub(now).Milliseconds()),
	}
}

// note remembers the replica for TakeNews if its health changed by much.
func (b *Balancer) note(r *replica, now time.Time) {
	if now.Sub(r.toldAt) < tellInterval || len(b.news) >= maxNews || slices.Contains(b.news, r) {
		return
	}
	h := r.health(now)
	told := max(1, r.told.Slowness)
	failed := (h.Failures > 0) != (r.told.Failures > 0) || h.Failures > r.told.Failures
	slower := h.Slowness > tellSlowness && h.Slowness > told*tellChange
	faster := told > tellSlowness && h.Slowness < told/tellChange
	if failed || slower || faster {
		b.news = append(b.news, r)
	}
}

// TakeNews returns the health of the replicas that changed by much since the last call.
func (b *Balancer) TakeNews(now time.Time) []Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.news) == 0 {
		return nil
	}
	all := make([]Health, 0, len(b.news))
	for _, r := range b.news {
		r.told, r.toldAt = r.health(now), now
		all = append(all, r.told)
	}
	b.news = b.news[:0]
	return all
}

// Hear takes what another daemon told. It is believed unless this daemon got an answer of the replica just now, and
// fades like what this daemon learned itself. It returns the number of replicas whose health it changed.
func (b *Balancer) Hear(news []Health, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := 0
	for _, h := range news {
		r := b.replicas[h.Replica]
		if r == nil || now.Sub(r.answeredAt) < ownEvidence || h.Slowness < 0 || h.PauseMS < 0 || h.Failures < 0 {
			continue
		}
		r.slowness, r.sampledAt = min(mostSlowness, max(0.5, h.Slowness)), now
		r.failures = h.Failures
		r.pausedUntil = time.Time{}
		if h.PauseMS > 0 {
			r.pausedUntil = now.Add(min(longestPause, time.Duration(h.PauseMS)*time.Millisecond))
		}
		r.told, r.toldAt = h, now
		changed++
	}
	return changed
}
