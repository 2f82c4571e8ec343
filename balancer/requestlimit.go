package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/residency"
)

const (
	// limitShareInterval is the time after which a limit that is still in force is reported and shared again.
	limitShareInterval = time.Second
	// limitChangeFraction is the relative difference from which a limit counts as changed.
	limitChangeFraction = 0.05
	// minLimitLifetime is how long a limit stays in force after it was last named to any daemon. A slow limit stays in force
	// for limitConfirmations requests at its rate, because it is only named again in responses.
	minLimitLifetime   = 10 * time.Second
	limitConfirmations = 5
	// minLimitRate is the lowest rate in requests a second. Without any request, the end of a limit would not be noticed.
	minLimitRate = 0.1
	// maxLimitUpdates bounds the number of pending updates.
	maxLimitUpdates = 256
)

// LimitStatement is what a response says of the replica's request limit.
type LimitStatement int

// Values of LimitStatement.
const (
	// NoLimit means that the response names no limit.
	NoLimit LimitStatement = iota
	// LimitNamed means that the response names a limit.
	LimitNamed
	// LimitUnreadable means that the response names a limit that cannot be read, so nothing is known about it.
	LimitUnreadable
)

// LimitReport is the statement of one response about the replica's request limit: the requests a second that the replica
// accepts from all daemons together.
type LimitReport struct {
	Statement LimitStatement
	// Rate is the limit in requests a second, 0 unless the Statement is LimitNamed.
	Rate float64
	// SentAt is when the request was sent.
	SentAt time.Time
}

// LimitEvent describes a limit that has been named, has changed or has ended. It is repeated while the limit is in force.
type LimitEvent struct {
	Server Server
	// Rate is the limit in requests a second, 0 if it has ended. Previous is the limit before the event.
	Rate, Previous float64
	// Attempts is the number of attempts that this daemon started since the previous event.
	Attempts int
}

// LimitUpdate is what a replica states of the work that it takes, as exchanged between daemons: its request limit, or that it leaves. All
// of them have to keep to it from the first response that states it.
type LimitUpdate struct {
	Replica string `json:"r"`
	// StartedAtMs identifies the start of the replica that named the limit.
	StartedAtMs int64 `json:"b,omitempty"`
	// Rate is the limit in requests a second. Ended is set, and Rate is 0, if the replica no longer names one.
	Rate  float64 `json:"q,omitempty"`
	Ended bool    `json:"e,omitempty"`
	// Leaving is set if the replica leaves. The update then says nothing of a limit, and daemons of earlier versions ignore it.
	Leaving bool `json:"l,omitempty"`
	// WarmupLeftMs is how long the replica will be cold, in milliseconds, 0 if the update says nothing of it. Daemons of earlier
	// versions ignore an update with nothing else.
	WarmupLeftMs int64 `json:"c,omitempty"`
}

// requestLimit is the request limit of a replica.
type requestLimit struct {
	// rate is the limit in requests a second, at least minLimitRate, or 0 if there is none. expiresAt is when it ends unless
	// it is named again.
	rate      float64
	expiresAt time.Time
	// pace holds this daemon's part of the limit, or of what the replica may receive while it is cold if that is less.
	pace limit.RateShare
	// warmup limits the requests while the replica is cold, until coldUntil.
	warmup    WarmupLimit
	coldUntil time.Time
	// pacesLimit and pacesWarmup tell whether pace was last set for a limit in force and for a cold replica.
	pacesLimit, pacesWarmup bool
	// hasUpdate and warmupUpdate are set if the other daemons have to be told of the limit, and that the replica is cold.
	hasUpdate, warmupUpdate bool
	// warmupSharedAt is when the other daemons were last told that the replica is cold, or one of them told this daemon.
	warmupSharedAt time.Time
	// namedAt and endedAt are when a response to this daemon last named the limit and last ended one.
	namedAt, endedAt time.Time
	// sharedAt is when the limit was last sent to the other daemons or received from one.
	sharedAt time.Time
	// reportedAt is the time of the last LimitEvent, attempts the number of attempts since.
	reportedAt time.Time
	attempts   int
}

func (l *requestLimit) isInForce(now time.Time) bool { return l.rate > 0 && now.Before(l.expiresAt) }

// current returns the limit in force in requests a second, 0 if there is none.
func (l *requestLimit) current(now time.Time) float64 {
	if !l.isInForce(now) {
		return 0
	}
	return l.rate
}

// allows reports whether this daemon may send a request.
func (l *requestLimit) allows(now time.Time) bool { return !l.isPaced(now) || l.pace.HasPermit(now) }

// isPaced reports whether each request needs a permit.
func (l *requestLimit) isPaced(now time.Time) bool { return l.isInForce(now) || l.isCold(now) }

// delay returns the time until this daemon may send a request.
func (l *requestLimit) delay(now time.Time) time.Duration {
	switch {
	case !l.isPaced(now):
		return 0
	case l.isCold(now):
		// When the replica is warm, no permit is needed, or those of its request limit are due again.
		return min(l.pace.Delay(now), l.coldUntil.Sub(now))
	default:
		return l.pace.Delay(now)
	}
}

// countAttempt counts an attempt that allows has permitted.
func (l *requestLimit) countAttempt(now time.Time) {
	l.attempts++
	if l.isPaced(now) {
		l.pace.Take(now)
	}
}

// end removes the limit.
func (l *requestLimit) end() { l.rate, l.pace = 0, limit.RateShare{} }

// event returns the event for a change from the previous rate and starts a new count of attempts.
func (l *requestLimit) event(s Server, previous float64, now time.Time) LimitEvent {
	e := LimitEvent{Server: s, Rate: l.rate, Previous: previous, Attempts: l.attempts}
	l.reportedAt, l.attempts = now, 0
	return e
}

// isLimitChange reports whether two limits in requests a second differ significantly.
func isLimitChange(a, b float64) bool { return math.Abs(a-b) > limitChangeFraction*max(a, b) }

// limitLifetime returns how long a limit stays in force without being named again.
func limitLifetime(rate float64) time.Duration {
	return max(minLimitLifetime, time.Duration(limitConfirmations/rate*float64(time.Second)))
}

// SetRequestShares sets the function that returns this daemon's part, from 0 to 1, of a replica's request limit. The parts
// of all daemons must add up to at most 1. By default, the daemon has the whole limit.
func (b *Balancer) SetRequestShares(fractionOf func(Server) float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requestFractionOf = fractionOf
	for _, r := range b.replicas {
		if r.limit.rate > 0 || r.limit.isCold(now) {
			b.setPace(r, now)
		}
	}
}

// setLimit puts a limit in force. The caller holds the lock.
func (b *Balancer) setLimit(r *replica, rate float64, now time.Time) {
	if !r.limit.isInForce(now) {
		r.limit.end()
	}
	r.limit.rate = max(minLimitRate, rate)
	r.limit.expiresAt = now.Add(limitLifetime(r.limit.rate))
	b.setPace(r, now)
}

// setPace sets this daemon's part of a limit in force, or of what the replica may receive while it is cold, whichever is less. The
// caller holds the lock.
func (b *Balancer) setPace(r *replica, now time.Time) {
	l := &r.limit
	rate, begin := l.rate*b.requestFractionOf(r.Server), now
	l.pacesLimit, l.pacesWarmup = l.isInForce(now), l.isCold(now)
	if l.pacesWarmup {
		if !l.pacesLimit || l.warmup.Rate < rate {
			rate = l.warmup.Rate
		}
		if l.warmup.From.After(now) {
			begin, l.pace = l.warmup.From, limit.RateShare{}
		}
		l.pace.SetLifetime(limit.ShortPermitLifetime)
	} else {
		l.pace.SetLifetime(0)
	}
	if rate > 0 {
		l.pace.SetRate(rate, b.rng.Float64(), begin)
	} else {
		l.pace = limit.RateShare{}
	}
}

// ReportLimit records what a response says of the request limit of its replica. ok reports whether the event is worth a log
// line. A response without a limit ends the limit only if its request was sent after the limit was last named, because
// responses to concurrent requests can overtake one another.
func (b *Balancer) ReportLimit(id string, report LimitReport, now time.Time) (event LimitEvent, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return LimitEvent{}, false
	}
	l := &r.limit
	previous := l.current(now)
	switch {
	case report.Statement == LimitNamed:
		b.setLimit(r, report.Rate, now)
		l.namedAt = now
	case report.Statement == NoLimit && l.rate > 0 && report.SentAt.After(l.namedAt):
		l.end()
		l.endedAt = now
	default:
		return LimitEvent{}, false
	}
	isChange := isLimitChange(l.rate, previous)
	if isChange || now.Sub(l.sharedAt) >= limitShareInterval {
		l.hasUpdate = true
		b.queueLimitUpdate(r)
	}
	if !isChange && now.Sub(l.reportedAt) < limitShareInterval {
		return LimitEvent{}, false
	}
	return l.event(r.Server, previous, now), true
}

// queueLimitUpdate queues the replica for TakeLimitUpdates.
func (b *Balancer) queueLimitUpdate(r *replica) {
	if len(b.limitUpdates) < maxLimitUpdates && !slices.Contains(b.limitUpdates, r) {
		b.limitUpdates = append(b.limitUpdates, r)
	}
}

// TakeLimitUpdates returns the request limits to send to the other daemons: those that were named or have ended in responses
// to this daemon and that none of the others has sent within the last second.
func (b *Balancer) TakeLimitUpdates(now time.Time) []LimitUpdate {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.takeLeavingUpdates(now)
	for _, r := range b.limitUpdates {
		if r.limit.warmupUpdate {
			r.limit.warmupUpdate, r.limit.warmupSharedAt = false, now
			if left := r.limit.coldUntil.Sub(now); left > 0 {
				all = append(all, LimitUpdate{Replica: r.ID, StartedAtMs: r.StartedAtMs, WarmupLeftMs: left.Milliseconds()})
			}
			if !r.limit.hasUpdate {
				continue
			}
		}
		r.limit.hasUpdate = false
		r.limit.sharedAt = now
		all = append(all, LimitUpdate{Replica: r.ID, StartedAtMs: r.StartedAtMs, Rate: r.limit.rate, Ended: r.limit.rate == 0})
	}
	b.limitUpdates = b.limitUpdates[:0]
	return all
}

// ApplyLimitUpdates applies the request limits that another daemon sent, and returns an event for each one that changed. An
// update is ignored if it is malformed, concerns another start of its replica, or contradicts what a response to this daemon
// said within the last localPrecedence.
func (b *Balancer) ApplyLimitUpdates(updates []LimitUpdate, now time.Time) []LimitEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []LimitEvent
	for _, u := range updates {
		r := b.replicas[u.Replica]
		if r != nil && r.StartedAtMs == u.StartedAtMs && u.Leaving && r.leavingSince.IsZero() {
			r.leavingSince = now
		}
		if r != nil && r.StartedAtMs == u.StartedAtMs && u.WarmupLeftMs > 0 && r.limit.warmup.IsLimited {
			b.setCold(r, time.Duration(min(u.WarmupLeftMs, maxWarmup.Milliseconds()))*time.Millisecond, now)
			r.limit.warmupUpdate, r.limit.warmupSharedAt = false, now
		}
		if r == nil || r.StartedAtMs != u.StartedAtMs || !u.Ended && !(u.Rate > 0 && !math.IsInf(u.Rate, 0)) {
			continue
		}
		l := &r.limit
		previous := l.current(now)
		switch {
		case u.Ended && now.Sub(l.namedAt) >= localPrecedence:
			l.end()
		case !u.Ended && now.Sub(l.endedAt) >= localPrecedence:
			b.setLimit(r, u.Rate, now)
			l.sharedAt = now
		}
		if isLimitChange(l.rate, previous) {
			events = append(events, l.event(r.Server, previous, now))
		}
	}
	return events
}

// RequestDelay returns how long this daemon has to wait until a replica of the service in the regions may get a request within
// its request limit, 0 if one may now. ok is false if no replica accepts work for another reason.
func (b *Balancer) RequestDelay(service string, regions residency.Regions, now time.Time) (delay time.Duration, ok bool) {
	return b.RetryDelay(service, regions, 0, now)
}
