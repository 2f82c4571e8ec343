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

// ExpectedWaits returns, for each of the services, how long a request is expected to wait for a slot at the available replica in the
// regions where that is shortest. It skips paused replicas and those whose report is older than maxLoadAge. The wait is 0 if a replica
// reports that none is waiting, and for a service without any fresh report.
func (b *Balancer) ExpectedWaits(services []string, regions residency.Regions, now time.Time) []time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	waits := make([]time.Duration, len(services))
	for i, s := range services {
		known := false
		for _, r := range b.services[s] {
			if !regions.Allows(r.Region) || !b.isAvailable(r, now) || now.Before(r.pausedUntil) || now.Sub(r.loadAt) > maxLoadAge {
				continue
			}
			wait := time.Duration(r.turnTime * float64(r.load.Waiting) / float64(max(1, r.load.Slots)))
			if !known || wait < waits[i] {
				waits[i], known = wait, true
			}
		}
	}
	return waits
}

// isAvailable reports whether the replica may get another attempt now.
func (b *Balancer) isAvailable(r *replica, now time.Time) bool {
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
