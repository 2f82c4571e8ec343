package topology

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemill/chivemill/balancer"
)

const (
	// reregistrationGrace is how long missing entries are retained after the end of an outage. According to the platform,
	// live replicas register again within about 2 s.
	reregistrationGrace = 2200 * time.Millisecond
	// restoredGrace is how long after the return of the store from an older copy an entry that is older than a known one is
	// not used. The replicas write again what the store has lost, and the entries of those that have left expire, within three
	// of their reports.
	restoredGrace = 6 * time.Second
)

// Change counts the entries that an update of the list added, removed, marked as draining, or kept after an outage of
// the store although they were missing. Undrained counts those that were draining and are listed as ready by the same start
// of their replica, Outdated the listed entries that were not used because a newer one is known, and Departed those that
// another daemon keeps although this daemon knows that they have left.
type Change struct{ Added, Removed, Draining, Kept, Undrained, Outdated, Departed int }

// Origin is the source of a list.
type Origin int

// Values of Origin.
const (
	// FromStore is a list that this daemon read from the store.
	FromStore Origin = iota
	// FromDaemon is a list pulled from another daemon, in which the entries kept after an outage are marked as missing.
	FromDaemon
)

// List is a complete list of replicas.
type List struct {
	Servers []balancer.Server
	// ReadAt is the earliest time at which the list may have been read from the store. Revision is the store's revision at that
	// read, 0 if unknown.
	ReadAt   time.Time
	Revision int64
	Origin   Origin
}

// isNewerThan reports whether the list reflects a later state of the store than a view. Revisions decide, since the age of a list is
// measured on two VMs, one of which may have stood still. Lists of the same revision are ordered by their time.
func (l *List) isNewerThan(v *View) bool {
	if l.Revision != 0 && v.Revision != 0 && l.Revision != v.Revision {
		return l.Revision > v.Revision
	}
	return l.ReadAt.After(v.ReadAt)
}

// byID returns the servers by ID.
func byID(servers []balancer.Server) map[string]balancer.Server {
	m := make(map[string]balancer.Server, len(servers))
	for _, s := range servers {
		m[s.ID] = s
	}
	return m
}

// SetServers replaces the list of replicas and reports whether it did: a list that is not newer than the current one is
// rejected. Entries that are missing from a list read right after an outage of the store are kept for 2.2 s after the outage
// (reregistrationGrace) and marked; an entry that another daemon keeps is not used if this daemon knows that it has left. After
// the store has come back from an older copy, entries that are older than known ones are not used for 6 s (restoredGrace).
func (d *Directory) SetServers(list List) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Generation > 0 && !list.isNewerThan(&d.view) {
		return Change{}, false
	}
	previousReadAt := d.view.ReadAt
	d.view.ReadAt, d.view.Revision = list.ReadAt, list.Revision
	d.view.Confirmations++
	listed := byID(list.Servers)
	var change Change
	if list.Origin == FromDaemon {
		change.Departed = d.dropDeparted(listed, list.ReadAt)
		change.Kept = d.adoptKept(listed, list.ReadAt)
	} else {
		if d.view.isRecentlyRestored(list.ReadAt) {
			change.Outdated = d.replaceOutdated(listed)
		}
		change.Kept = d.keepMissing(listed, list.ReadAt)
	}
	differs := d.compare(listed, previousReadAt, list.Origin, &change)
	if list.Origin == FromStore && change.Removed > 0 && d.isInUnexplainedGap(list.ReadAt) {
		d.markUncertain(change.Removed)
	}
	if !differs && d.view.Generation > 0 {
		d.updateWarmups(listed)
		d.confirm()
		return change, true
	}
	d.replaceServers(listed)
	return change, true
}

// compare compares a list with the current one and counts and records the changes. It reports whether the lists differ. The entries of
// draining replicas get the time at which they were last ready; previousReadAt is the time of the current list. The entries of
// a list from the store get their WarmupSequence; those of another daemon have it. d.mu must be held.
func (d *Directory) compare(listed map[string]balancer.Server, previousReadAt time.Time, origin Origin, change *Change) (differs bool) {
	next := d.view.Generation + 1
	previousIDs := make(map[string]bool, len(d.view.Servers))
	for _, previous := range d.view.Servers {
		previousIDs[previous.ID] = true
		s, ok := listed[previous.ID]
		if !ok {
			change.Removed++
			delete(d.lastChanges, previous.ID)
			delete(d.keptUntil, previous.ID)
			d.removals = append(d.removals, removal{Server: previous, generation: next})
			continue
		}
		isSameStart := s.StartedAtMs == previous.StartedAtMs
		switch {
		case s.State == balancer.Draining && previous.State != balancer.Draining:
			change.Draining++
			s.LastReadyAt = previousReadAt
		case s.State == balancer.Draining && isSameStart:
			s.LastReadyAt = previous.LastReadyAt
		case s.State == balancer.Ready && previous.State == balancer.Draining && isSameStart:
			change.Undrained++
		}
		if origin == FromStore {
			s.WarmupSequence = d.warmupSequence(previous, s)
		}
		listed[s.ID] = s
		if !equalEntries(previous, s) {
			d.lastChanges[s.ID] = next
			differs = true
		}
	}
	for id, s := range listed {
		if !previousIDs[id] {
			if origin == FromStore {
				s.WarmupSequence = d.warmupSequence(balancer.Server{}, s)
				listed[id] = s
			}
			d.lastChanges[id] = next
			change.Added++
		}
	}
	return differs || change.Added > 0 || change.Removed > 0
}

// warmupSequence returns the WarmupSequence of an entry of the store, of which previous is the known entry. A warm-up begins with the
// first report of a cold replica and with each one that states a longer remaining time than the one before. It is 0 for services that
// don't limit the requests of cold replicas: their lists are the same as those of daemons that don't know the field. d.mu must be held.
func (d *Directory) warmupSequence(previous, s balancer.Server) int64 {
	switch {
	case s.WarmupLeft <= 0 || d.view.Table == nil || d.view.Table.Service(s.Service).WarmupRate <= 0:
		return 0
	case s.StartedAtMs != previous.StartedAtMs || previous.WarmupSequence == 0 || s.WarmupLeft > previous.WarmupLeft:
		return max(1, s.Sequence)
	default:
		return previous.WarmupSequence
	}
}

// updateWarmups updates the remaining warm-up times of cold replicas in a list that is otherwise unchanged, so that a later rise is
// noticed and a daemon that starts gets current ones. The view is shared, so that it gets another slice. d.mu must be held.
func (d *Directory) updateWarmups(listed map[string]balancer.Server) {
	var updated []balancer.Server
	for i, known := range d.view.Servers {
		if left := listed[known.ID].WarmupLeft; known.WarmupSequence != 0 && left != known.WarmupLeft {
			if updated == nil {
				updated = slices.Clone(d.view.Servers)
			}
			updated[i].WarmupLeft = left
		}
	}
	if updated != nil {
		d.view.Servers = updated
	}
}

// replaceServers publishes a list whose changes were recorded by compare. d.mu must be held.
func (d *Directory) replaceServers(listed map[string]balancer.Server) {
	if n := len(d.removals) - maxRemovals; n > 0 {
		d.deltaBase = d.removals[n-1].generation
		d.removals = slices.Delete(d.removals, 0, n)
	}
	d.view.Servers = slices.SortedFunc(maps.Values(listed), func(a, b balancer.Server) int { return cmp.Compare(a.ID, b.ID) })
	d.view.Generation++
	d.view.Digest = digest(d.view.Servers)
	d.publish()
}

// replaceOutdated replaces the listed entries that are older than those of the current list, removes those that are not newer
// than a removed one, and returns their number. The caller holds d.mu.
func (d *Directory) replaceOutdated(listed map[string]balancer.Server) (outdated int) {
	current := make(map[string]bool, len(d.view.Servers))
	for _, known := range d.view.Servers {
		current[known.ID] = true
		if s, ok := listed[known.ID]; ok && isOlderEntry(s, known) {
			listed[known.ID] = known
			outdated++
		}
	}
	for _, removed := range d.removals {
		s, ok := listed[removed.ID]
		if ok && !current[removed.ID] && s.StartedAtMs == removed.StartedAtMs && s.Sequence <= removed.Sequence {
			delete(listed, removed.ID)
			outdated++
		}
	}
	return outdated
}

// isOlderEntry reports whether an entry was written before a known one of the same start of the replica. A replica that is
// draining does not become ready again without a further report.
func isOlderEntry(s, known balancer.Server) bool {
	if s.StartedAtMs != known.StartedAtMs {
		return s.StartedAtMs < known.StartedAtMs
	}
	return s.Sequence < known.Sequence ||
		s.Sequence == known.Sequence && known.State == balancer.Draining && s.State == balancer.Ready
}

// digest returns the hash of a sorted list for View.Digest.
func digest(servers []balancer.Server) uint64 {
	// Writes to this hash never fail.
	h := xxhash.New()
	var numbers []byte
	for _, s := range servers {
		for _, field := range []string{s.ID, s.Service, s.Address, s.DataCentre} {
			_, _ = h.WriteString(field)
			_, _ = h.Write([]byte{0})
		}
		numbers = binary.AppendVarint(numbers[:0], int64(s.State))
		numbers = binary.AppendVarint(numbers, int64(s.Slots))
		numbers = binary.AppendVarint(numbers, s.StartedAtMs)
		if s.Missing {
			// Daemons of earlier versions do not know the mark, so lists without it have the same digest as theirs.
			numbers = binary.AppendVarint(numbers, 1)
		}
		if s.WarmupSequence != 0 {
			// For the same reason, only lists with cold replicas of services with a warm-up limit differ. The sign tells it from the
			// mark above.
			numbers = binary.AppendVarint(numbers, -s.WarmupSequence)
		}
		_, _ = h.Write(numbers)
	}
	return h.Sum64()
}

// equalEntries compares two entries. It ignores the remaining warm-up time, which changes with each report of a replica,
// the number of its reports, and the distance, the region and the time of last readiness, which each daemon sets locally.
func equalEntries(a, b balancer.Server) bool {
	a.WarmupLeft, b.WarmupLeft = 0, 0
	a.Sequence, b.Sequence = 0, 0
	a.Distance, b.Distance = 0, 0
	a.Region, b.Region = "", ""
	a.LastReadyAt, b.LastReadyAt = time.Time{}, time.Time{}
	return a == b
}
