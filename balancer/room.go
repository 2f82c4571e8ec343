package balancer

import (
	"slices"
	"time"
)

// freshReport is the age up to which a reported load says whether a replica is saturated.
const freshReport = time.Second

// UseLeaving lets a draining replica get new work for a time after the list had it as ready, when the others of its service
// are worse. It has to be called before the balancer is used.
func (b *Balancer) UseLeaving(d time.Duration) { b.leavingUse = d }

// Room returns the number of the services that have a replica with room.
func (b *Balancer) Room(services []string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range services {
		if slices.ContainsFunc(b.services[s], func(r *replica) bool { return b.isUsable(r, now) }) {
			n++
		}
	}
	return n
}

// Saturated reports whether at each usable replica of the service as many requests waited as it has slots when it reported
// its load last. Replicas whose reports are older than freshReport, or that are paused, have no slot to offer; a service
// without any fresh report is not saturated as far as this daemon knows.
func (b *Balancer) Saturated(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	full := false
	for _, r := range b.services[service] {
		switch {
		case !b.isUsable(r, now), now.Before(r.pausedUntil), now.Sub(r.loadAt) > freshReport:
		case r.load.Waiting < r.load.Slots:
			return false
		default:
			full = true
		}
	}
	return full
}

func (b *Balancer) isUsable(r *replica, now time.Time) bool {
	serves := r.State == Ready || !r.ReadyAt.IsZero() && now.Sub(r.ReadyAt) < b.leavingUse
	return serves && !r.gone && len(r.open) < r.share.Connections
}
