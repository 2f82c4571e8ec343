package balancer

import (
	"slices"
	"time"
)

// leavingShareInterval is the time between two updates that tell the other daemons that a replica leaves. They may be lost, and a daemon
// that knows gets no further response that would repeat them.
const leavingShareInterval = time.Second

// ReportLeaving records that a response of the replica that was started at startedAtMs states that it leaves. It gets no new work after the
// draining grace, until it is started again. isNew is set if this daemon did not know.
func (b *Balancer) ReportLeaving(id string, startedAtMs int64, now time.Time) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil || r.StartedAtMs != startedAtMs {
		return false
	}
	if isNew = r.leavingSince.IsZero(); isNew {
		r.leavingSince = now
	}
	if !slices.Contains(b.leaving, r) {
		b.leaving = append(b.leaving, r)
	}
	return isNew
}

// takeLeavingUpdates returns the replicas of which the other daemons have to be told again that they leave. The caller holds the lock.
func (b *Balancer) takeLeavingUpdates(now time.Time) (all []LimitUpdate) {
	b.leaving = slices.DeleteFunc(b.leaving, func(r *replica) bool { return b.replicas[r.ID] != r })
	for _, r := range b.leaving {
		if now.Sub(r.leavingSentAt) >= leavingShareInterval {
			r.leavingSentAt = now
			all = append(all, LimitUpdate{Replica: r.ID, StartedAtMs: r.StartedAtMs, Leaving: true})
		}
	}
	return all
}
