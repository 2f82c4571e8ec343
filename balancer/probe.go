package balancer

import (
	"slices"
	"time"
)

// ProbeCandidates returns at most n replicas to which requests may go: those of the given services that are ready and not in an evacuated
// data centre. Replicas that are not avoided after a failure come first, and of these one of each service, then a second one of each, and
// so on. Services and their replicas take turns, so that each is probed after a bounded number of calls; the order is random otherwise.
func (b *Balancer) ProbeCandidates(n int, services map[string]bool, now time.Time) []Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sound, failed [][]*replica
	for service := range services {
		soundOfService, failedOfService := b.probeCandidatesOf(service, now)
		sound, failed = append(sound, soundOfService), append(failed, failedOfService)
	}
	candidates := append(interleave(sound), interleave(failed)...)
	var servers []Server
	for _, r := range candidates[:min(n, len(candidates))] {
		r.probedAt = now
		servers = append(servers, r.Server)
	}
	return servers
}

// probeCandidatesOf returns the replicas of a service that may be probed, those that were probed least recently first: those that are not
// avoided after a failure, and the others. The caller holds b.mu.
func (b *Balancer) probeCandidatesOf(service string, now time.Time) (sound, failed []*replica) {
	replicas := slices.Clone(b.services[service])
	b.rng.Shuffle(len(replicas), func(i, k int) { replicas[i], replicas[k] = replicas[k], replicas[i] })
	slices.SortStableFunc(replicas, func(a, c *replica) int { return a.probedAt.Compare(c.probedAt) })
	for _, r := range replicas {
		switch {
		case r.State != Ready || r.removed || b.evacuated[r.DataCentre]:
		case r.failures == 0 && !now.Before(r.pausedUntil):
			sound = append(sound, r)
		default:
			failed = append(failed, r)
		}
	}
	return sound, failed
}

// interleave returns the first elements of all lists, then the second ones, and so on. The list whose first element was probed least
// recently comes first.
func interleave(lists [][]*replica) (all []*replica) {
	lists = slices.DeleteFunc(lists, func(list []*replica) bool { return len(list) == 0 })
	slices.SortStableFunc(lists, func(a, c []*replica) int { return a[0].probedAt.Compare(c[0].probedAt) })
	for i := 0; ; i++ {
		before := len(all)
		for _, list := range lists {
			if i < len(list) {
				all = append(all, list[i])
			}
		}
		if len(all) == before {
			return all
		}
	}
}

const (
	// silentAfter is the minimum time without a response after which an attempt in flight counts as silent. Kinds of request that
	// take longer have unresponsiveFactor times their expected latency.
	silentAfter = 150 * time.Millisecond
	// recentFailure is how long a failed attempt counts as one without a response.
	recentFailure = time.Second
)

// CountSilent returns the number of replicas of which an attempt in flight has had no response for longer than any kind of request
// usually takes, or to which a connection was lost or could not be opened within the last second.
func (b *Balancer) CountSilent(now time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := silentAfter
	for _, expected := range b.expectedLatency {
		limit = max(limit, time.Duration(unresponsiveFactor*expected))
	}
	for _, r := range b.replicas {
		isWaiting := len(r.inFlight) > 0 && now.Sub(r.inFlight[0]) >= limit && now.Sub(r.answeredAt) >= limit
		if isWaiting || r.failures > 0 && now.Sub(r.failedAt) < recentFailure {
			n++
		}
	}
	return n
}

// SetIsolated records whether this daemon is partitioned from all replicas. What an isolated daemon observes of the health of
// replicas is not sent to other daemons, and is forgotten at the end.
func (b *Balancer) SetIsolated(isolated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isIsolated = isolated
	b.healthUpdates = nil
	if isolated {
		return
	}
	for _, r := range b.replicas {
		r.clearFailures()
		r.slowness = 1
	}
}
