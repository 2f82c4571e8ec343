package limit

import (
	"math"
	"time"
)

// permitLifetime is how long a permit of a RateShare can be used after it has become due. It lets a daemon send a short
// burst, and keeps daemons that were idle from sending what they did not use all at once.
const permitLifetime = time.Second

// RateShare paces the requests of one daemon to its part of a rate that several daemons share. A permit becomes due in
// regular intervals and expires after permitLifetime. The first one is due at a random time within the first interval:
// parts far below one request a second, as in a large fleet, then add up to the shared rate at any time. It is not safe for
// concurrent use. A zero RateShare has no permits.
type RateShare struct {
	// interval is the time between two permits, next the time at which the next unused one is due.
	interval time.Duration
	next     time.Time
}

// SetRate sets the part of this daemon in requests a second, which must be positive. draw is a random number from [0, 1);
// it places the first permit.
func (s *RateShare) SetRate(perSecond, draw float64, now time.Time) {
	interval := time.Duration(min(float64(time.Second)/perSecond, math.MaxInt64/4))
	switch {
	case s.interval == 0:
		s.next = now.Add(time.Duration(draw * float64(interval)))
	case s.next.After(now):
		remaining := float64(s.next.Sub(now)) / float64(s.interval)
		s.next = now.Add(time.Duration(remaining * float64(interval)))
	}
	s.interval = max(1, interval)
}

// HasPermit reports whether a permit is due.
func (s *RateShare) HasPermit(now time.Time) bool { return s.Delay(now) == 0 }

// Delay returns the time until a permit is due, 0 if one is due now.
func (s *RateShare) Delay(now time.Time) time.Duration {
	if s.interval == 0 {
		return math.MaxInt64
	}
	return max(0, s.nextUsable(now).Sub(now))
}

// Take uses the permit that is due. It must only be called after HasPermit has returned true for the same time.
func (s *RateShare) Take(now time.Time) { s.next = s.nextUsable(now).Add(s.interval) }

// nextUsable returns the time at which the next unused permit that has not expired is or was due.
func (s *RateShare) nextUsable(now time.Time) time.Time {
	expired := now.Sub(s.next) - permitLifetime
	if expired <= 0 {
		return s.next
	}
	return s.next.Add((expired + s.interval - 1) / s.interval * s.interval)
}
