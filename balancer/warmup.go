package balancer

import (
	"math"
	"time"

	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/residency"
)

// WarmupLimit describes how this daemon limits its requests to a replica while that is cold. The zero value limits nothing.
type WarmupLimit struct {
	IsLimited bool
	// Rate is this daemon's part, in requests a second, of what the replica may receive from all daemons while it is cold. With 0, the
	// replica gets no request from this daemon until it is warm.
	Rate float64
	// From is the earliest time at which this daemon's first permit may be due.
	From time.Time
	// Time is how long a replica takes to warm up, 0 if it is not known.
	Time time.Duration
}

// isCold reports whether the requests to the replica are limited because it is cold.
func (l *requestLimit) isCold(now time.Time) bool {
	return l.warmup.IsLimited && now.Before(l.coldUntil)
}

// SetWarmupLimits sets the function that returns how this daemon limits its requests to a cold replica. The rates of all daemons must
// add up to what the replica may receive. By default, nothing is limited.
func (b *Balancer) SetWarmupLimits(limitOf func(Server) WarmupLimit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmupLimitOf = limitOf
	for _, r := range b.replicas {
		previous := r.limit.warmup
		r.limit.warmup = limitOf(r.Server)
		if r.limit.isCold(now) && r.limit.warmup != previous {
			r.warmupUntil = r.limit.coldUntil
			b.setPace(r, now)
		}
	}
}

// setCold records that the replica is cold for at least the duration left. The caller holds the lock.
func (b *Balancer) setCold(r *replica, left time.Duration, now time.Time) {
	until := now.Add(left)
	if !until.After(r.limit.coldUntil) {
		return
	}
	l := &r.limit
	wasPaced := l.isPaced(now)
	l.coldUntil = until
	if l.warmup.IsLimited {
		r.warmupUntil = until
	}
	if !l.isCold(now) || wasPaced && l.pacesWarmup {
		// The replica has no warm-up limit, or its pace is already that of a warm-up.
		return
	}
	if !wasPaced {
		// The first permit is due at a random time again, so that daemons do not use permits of an earlier warm-up at once.
		l.pace = limit.RateShare{}
	}
	b.setPace(r, now)
}

// updatePace sets the pace of a replica again if it has become warm or its request limit has ended since. The caller holds the lock.
func (b *Balancer) updatePace(r *replica, now time.Time) {
	l := &r.limit
	if l.pacesWarmup && l.isPaced(now) && (!l.isCold(now) || l.pacesLimit && !l.isInForce(now)) {
		b.setPace(r, now)
	}
}

// updateWarmup applies the remaining warm-up time in the entry of a replica, of which previous is the earlier entry of the same start.
// The caller holds the lock.
func (b *Balancer) updateWarmup(r *replica, previous, s Server, now time.Time) {
	if s.WarmupSequence != 0 && s.WarmupSequence != previous.WarmupSequence {
		b.setCold(r, s.WarmupLeft, now)
	}
}

// setColdAfterEvacuation records that the replicas of data centres whose evacuation has ended are cold. They may have been restarted
// meanwhile, and the list that states it may reach this daemon later than the end of the evacuation. The caller holds the lock.
func (b *Balancer) setColdAfterEvacuation(wasEvacuated map[string]bool, now time.Time) {
	for _, r := range b.replicas {
		if wasEvacuated[r.DataCentre] && !b.evacuated[r.DataCentre] && r.limit.warmup.IsLimited {
			b.setCold(r, r.limit.warmup.Time, now)
		}
	}
}

// ReportWarmup records that a response of the replica states how long it will be cold. isNew is set if this daemon considered it warm.
// Replicas of services without a warm-up limit are ignored.
func (b *Balancer) ReportWarmup(id string, startedAtMs int64, left time.Duration, now time.Time) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil || r.StartedAtMs != startedAtMs || !r.limit.warmup.IsLimited || left <= 0 {
		return false
	}
	isNew = !r.limit.isCold(now)
	// Each response repeats the statement, and rounding makes the end vary.
	isLonger := now.Add(left).Sub(r.limit.coldUntil) >= minWarmupExtension
	b.setCold(r, left, now)
	if isLonger || now.Sub(r.limit.warmupSharedAt) >= limitShareInterval {
		r.limit.warmupUpdate = true
		b.queueLimitUpdate(r)
	}
	return isNew
}

const (
	// minWarmupExtension is the time by which the end of a warm-up must move for a statement to be sent to the other daemons before
	// limitShareInterval is over.
	minWarmupExtension = 200 * time.Millisecond
	// maxWarmup limits the warm-up time that another daemon can state.
	maxWarmup = 10 * time.Minute
	// maxRetrySpread limits the time over which callers are spread. It keeps the delay of a daemon without any part of a limit, which has
	// no end, from overflowing.
	maxRetrySpread = time.Hour
)

// RetryDelay returns the time after which a caller may send a request to the service again, given how long this daemon has to wait. draw
// is a random number from [0, 1), by which callers are spread: over another such time, and over half the lifetime of a permit if a
// permit for a cold replica is next. ok is false if no replica accepts work for another reason.
func (b *Balancer) RetryDelay(service string, regions residency.Regions, draw float64, now time.Time) (delay time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.services[service] {
		if !regions.Allows(r.Region) || !b.hasConnection(r, now) {
			continue
		}
		b.updatePace(r, now)
		d := r.limit.delay(now)
		spread := min(d, maxRetrySpread)
		if r.limit.isCold(now) && now.Add(d).Before(r.limit.coldUntil) {
			spread = min(d, limit.ShortPermitLifetime/2)
		}
		if d < math.MaxInt64-maxRetrySpread {
			d += time.Duration(draw * float64(spread))
		}
		if !ok || d < delay {
			delay, ok = d, true
		}
	}
	return delay, ok
}
