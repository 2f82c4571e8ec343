package balancer

import (
	"slices"
	"time"

	"github.com/chivemill/chivemill/residency"
)

// maxLoadAge is the maximum age at which a reported load is used to detect saturation.
const maxLoadAge = time.Second

// SetDrainingGrace allows draining replicas to get new work for the duration d after the list last showed them as
// ready, if the other replicas of their service are worse. It must be called before the balancer is used.
func (b *Balancer) SetDrainingGrace(d time.Duration) { b.drainingGrace = d }

// CountAvailable returns how many of the services have at least one replica in the regions that is available for a new attempt.
func (b *Balancer) CountAvailable(services []string, regions residency.Regions, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range services {
		if slices.ContainsFunc(b.services[s], func(r *replica) bool { return regions.Allows(r.Region) && b.isAvailable(r, now) }) {
			n++
		}
	}
	return n
}

// Saturated reports whether every available replica of the service last reported at least as many waiting requests
// as it has slots. It skips paused replicas and those whose report is older than maxLoadAge. A service without any
// fresh report does not count as saturated.
func (b *Balancer) Saturated(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	saturated := false
	for _, r := range b.services[service] {
		switch {
		case !b.isAvailable(r, now), now.Before(r.pausedUntil), now.Sub(r.loadAt) > maxLoadAge:
		case r.load.Waiting < r.load.Slots:
			return false
		default:
			saturated = true
		}
	}
	return saturated
}

// ExpectedTime is what a request has to expect at the best replica of a service.
type ExpectedTime struct {
	// Wait is the time until a slot is free. Work is the time from then on, and on the way to the replica and back.
	Wait, Work time.Duration
}

// ExpectedTimes returns what a request of the class has to expect at each of the services, at the available replica in its regions
// where the wait is shortest. It skips replicas whose report is older than maxLoadAge, and paused ones unless there is no other: those
// get attempts then, and a long queue is a common reason for the pause. Both times are 0 for a service without any fresh report.
func (b *Balancer) ExpectedTimes(services []string, class RequestClass, now time.Time) []ExpectedTime {
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := float64(b.expectedLatencyFor(class.Kind))
	times := make([]ExpectedTime, len(services))
	for i, s := range services {
		var best *replica
		var bestWait time.Duration
		bestPaused := true
		for _, r := range b.services[s] {
			if !class.Regions.Allows(r.Region) || !b.isAvailable(r, now) || now.Sub(r.loadAt) > maxLoadAge {
				continue
			}
			wait, paused := time.Duration(r.turnTime*float64(r.load.Waiting)/float64(max(1, r.load.Slots))), now.Before(r.pausedUntil)
			if best == nil || bestPaused && !paused || bestPaused == paused && wait < bestWait {
				best, bestWait, bestPaused = r, wait, paused
			}
		}
		if best == nil {
			continue
		}
		relative := 1.0
		if b.turnTime > 0 && best.turnTime > 0 {
			relative = best.turnTime / b.turnTime
		}
		times[i] = ExpectedTime{Wait: bestWait, Work: best.assumedRTT() + time.Duration(expected*relative)}
	}
	return times
}

// HasWaiting reports whether requests waited at the replica by its last report, which must be at most maxLoadAge old.
func (b *Balancer) HasWaiting(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	return r != nil && r.load.Waiting > 0 && now.Sub(r.loadAt) <= maxLoadAge
}

// isAvailable reports whether the replica may get another attempt now.
func (b *Balancer) isAvailable(r *replica, now time.Time) bool {
	b.updatePace(r, now)
	return b.hasConnection(r, now) && r.limit.allows(now)
}

// hasConnection reports whether the replica accepts work and this daemon has a free connection for it.
func (b *Balancer) hasConnection(r *replica, now time.Time) bool {
	acceptsWork := r.State == Ready || !r.LastReadyAt.IsZero() && now.Sub(r.LastReadyAt) < b.drainingGrace
	if !r.leavingSince.IsZero() && now.Sub(r.leavingSince) >= b.drainingGrace {
		acceptsWork = false
	}
	return acceptsWork && !r.removed && !b.evacuated[r.DataCentre] && len(r.inFlight) < r.share.MaxConnections
}
