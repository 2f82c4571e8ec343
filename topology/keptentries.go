package topology

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/chivemill/chivemill/balancer"
)

// RecordStoreAnswer records that the store answered a call of this or another daemon at the given time, and RecordStoreFailure that
// a call failed. Both tell an outage of the store from a gap in the reads of this daemon.
func (d *Directory) RecordStoreAnswer(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.recordAnswer(at)
}

// RecordStoreSpan records that the store answered another daemon from one time to another without a longer gap.
func (d *Directory) RecordStoreSpan(from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.recordSpan(span{from, to})
}

// StoreSpan returns the time for which the store has answered without a longer gap, as far as this daemon knows. found is false if it never
// answered.
func (d *Directory) StoreSpan() (from, to time.Time, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, found := d.history.lastSpan()
	return s.from, s.to, found
}

// RecordStoreFailure records a failed call, see RecordStoreAnswer.
func (d *Directory) RecordStoreFailure(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.recordFailure(at)
}

// IsAfterOutage reports whether the entries that a list lacks are kept, if it was read at the given time.
func (d *Directory) IsAfterOutage(readAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return readAt.Before(d.outageEnd().Add(reregistrationGrace))
}

// UnexplainedGap returns the end of the latest time without an answer of the store that is long enough for entries to lapse, if
// entries that a list lacks would be kept if it was an outage. The other daemons may know better.
func (d *Directory) UnexplainedGap(servers []balancer.Server, readAt time.Time) (end time.Time, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, found := d.history.lastGap()
	if !found || readAt.Sub(g.to) >= reregistrationGrace {
		return time.Time{}, false
	}
	listed := byID(servers)
	isMissing := func(s balancer.Server) bool { _, ok := listed[s.ID]; return !ok && !s.Missing }
	return g.to, slices.ContainsFunc(d.view.Servers, isMissing)
}

// isInUnexplainedGap reports whether a list that was read at the given time follows a gap in which, as far as this daemon knows, nobody
// called the store. d.mu must be held.
func (d *Directory) isInUnexplainedGap(readAt time.Time) bool {
	g, found := d.history.lastGap()
	return found && readAt.Sub(g.to) < reregistrationGrace && d.history.lastOutageEnd().IsZero()
}

// markUncertain marks the last n removals: other daemons may know of an outage in which these entries lapsed. d.mu must be held.
func (d *Directory) markUncertain(n int) {
	for i := len(d.removals) - n; i < len(d.removals); i++ {
		d.removals[i].isUncertain = true
	}
}

// outageEnd returns the time of the first answer of the store after its last outage or after its return from an older copy, zero if
// there was none.
func (d *Directory) outageEnd() time.Time {
	end := d.history.lastOutageEnd()
	if d.view.RestoredAt.After(end) {
		return d.view.RestoredAt
	}
	return end
}

// keepMissing adds the entries to a list from the store that it lacks since they may have lapsed in an outage, and returns their
// number. d.mu must be held.
func (d *Directory) keepMissing(listed map[string]balancer.Server, readAt time.Time) (kept int) {
	graceEnd := d.outageEnd().Add(reregistrationGrace)
	for _, s := range d.view.Servers {
		if _, ok := listed[s.ID]; ok {
			delete(d.keptUntil, s.ID)
			continue
		}
		until, isKept := d.keptUntil[s.ID]
		if !isKept {
			until = graceEnd
		}
		if !readAt.Before(until) {
			continue
		}
		d.keptUntil[s.ID] = until
		s.Missing = true
		listed[s.ID] = s
		kept++
	}
	return kept
}

// adoptKept records until when the entries that another daemon keeps may be kept here, and returns their number. d.mu must be held.
func (d *Directory) adoptKept(listed map[string]balancer.Server, readAt time.Time) (kept int) {
	for id, s := range listed {
		if !s.Missing {
			delete(d.keptUntil, id)
			continue
		}
		if _, ok := d.keptUntil[id]; !ok {
			d.keptUntil[id] = readAt.Add(reregistrationGrace)
		}
		kept++
	}
	return kept
}

// dropDeparted removes the entries that another daemon keeps although this daemon knows that they have left, and returns their number:
// it has removed them itself, or the store has answered all the while, so that they did not lapse in an outage. d.mu must be held.
func (d *Directory) dropDeparted(listed map[string]balancer.Server, readAt time.Time) (dropped int) {
	if !hasMissing(maps.Values(listed)) {
		return 0
	}
	for _, s := range d.departed(listed) {
		delete(listed, s.ID)
		dropped++
	}
	if s, found := d.history.lastSpan(); !found || readAt.Sub(s.from) < outageThreshold+reregistrationGrace || d.view.isRecentlyRestored(readAt) {
		return dropped
	}
	for id, s := range listed {
		if s.Missing {
			delete(listed, id)
			dropped++
		}
	}
	return dropped
}

// hasMissing reports whether any of the servers is marked as missing. As a rule none is.
func hasMissing(servers iter.Seq[balancer.Server]) bool {
	for s := range servers {
		if s.Missing {
			return true
		}
	}
	return false
}

// departed returns the entries of a list that are marked as missing although this daemon has removed the same start of the replica.
// d.mu must be held.
func (d *Directory) departed(listed map[string]balancer.Server) (departed []balancer.Server) {
	current := byID(d.view.Servers)
	for _, removed := range d.removals {
		s, ok := listed[removed.ID]
		if _, inUse := current[removed.ID]; ok && s.Missing && !inUse && !removed.isUncertain && s.StartedAtMs == removed.StartedAtMs {
			departed = append(departed, s)
		}
	}
	return departed
}

// Departed returns those of another daemon's servers that it keeps although this daemon knows that they have left.
func (d *Directory) Departed(servers []balancer.Server) []balancer.Server {
	if !hasMissing(slices.Values(servers)) {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.departed(byID(servers))
}

// RemoveDeparted removes the entries that this daemon keeps as missing and that another daemon knows to have left, and returns their
// number. Entries that the store listed at the last read stay.
func (d *Directory) RemoveDeparted(servers []balancer.Server) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := byID(d.view.Servers)
	for _, departed := range servers {
		if s, ok := listed[departed.ID]; ok && s.Missing && s.StartedAtMs == departed.StartedAtMs {
			delete(listed, s.ID)
		}
	}
	var change Change
	if d.compare(listed, d.view.ReadAt, FromDaemon, &change) {
		d.replaceServers(listed)
	}
	return change.Removed
}
