package limit

import (
	"cmp"
	"math"
	"time"
)

const (
	// permitLifetime is how long a permit of a RateShare can be used after it has become due. It lets a daemon send a short
	// burst, and keeps daemons that were idle from sending what they did not use all at once.
	permitLifetime = time.Second
	// ShortPermitLifetime is the lifetime for a rate that is bounded in each single second: with permitLifetime, the permits of two
	// seconds could be used in one.
	ShortPermitLifetime = 250 * time.Millisecond
	// shortDeviations is how many standard deviations of the number of permits in a second RateWithin leaves free. With 4, about one
	// second in 30,000 exceeds the bound if the daemons draw their first permits independently.
	shortDeviations = 4
)

// RateWithin returns the rate in requests a second at which RateShares with ShortPermitLifetime stay within bound requests in any one
// second. The shares of a large fleet are far below one request a second, so the number of permits in a second varies like that of a
// Poisson process: with mean m its standard deviation is the square root of m.
func RateWithin(bound float64) float64 {
	root := (math.Sqrt(shortDeviations*shortDeviations+4*max(0, bound)) - shortDeviations) / 2
	return root * root / (1 + ShortPermitLifetime.Seconds())
}

// RateShare paces the requests of one daemon to its part of a rate that several daemons share. A permit becomes due in
// regular intervals and expires after permitLifetime or the time that SetLifetime sets. The first one is due at a random time
// within the first interval: parts far below one request a second, as in a large fleet, then add up to the shared rate at any
// time. It is not safe for concurrent use. A zero RateShare has no permits.
type RateShare struct {
	// interval is the time between two permits, next the time at which the next unused one is due.
	interval time.Duration
	next     time.Time
	// lifetime is how long a permit can be used, 0 for permitLifetime.
	lifetime time.Duration
}

// SetLifetime sets how long a permit can be used after it has become due, 0 for permitLifetime.
func (s *RateShare) SetLifetime(lifetime time.Duration) { s.lifetime = lifetime }

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
	expired := now.Sub(s.next) - cmp.Or(s.lifetime, permitLifetime)
	if expired <= 0 {
		return s.next
	}
	return s.next.Add((expired + s.interval - 1) / s.interval * s.interval)
}
