// Package topology maintains a daemon's local copy of the data in the platform's store: the operator's configuration, the
// list of replicas and the known daemons. In each data centre one elected daemon, the reader, obtains the data and the
// other daemons pull it from there, so that the number of store calls does not grow with the number of daemons.
package topology

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/routing"
)

const (
	// outageThreshold is the time without a successful read of the store after which the next successful read counts as
	// the end of an outage. During an outage the leases of live replicas may expire and their entries disappear.
	outageThreshold = 2500 * time.Millisecond
	// reregistrationGrace is how long missing entries are retained after the end of an outage. According to the platform,
	// live replicas register again within about 2 s.
	reregistrationGrace = 2200 * time.Millisecond
	// restoredGrace is how long after the return of the store from an older copy an entry that is older than a known one is
	// not used. The replicas write again what the store has lost, and the entries of those that have left expire, within three
	// of their reports.
	restoredGrace = 6 * time.Second
)

// View is an immutable snapshot of the data that a daemon has.
type View struct {
	// Table is the routing table of the configuration, nil until a configuration was received.
	Table *routing.Table
	// Servers is the list of replicas, sorted by ID. Generation increases with each change of the list and is 0 until a
	// list was received.
	Servers    []balancer.Server
	Generation uint64
	// Digest is a hash of Servers that ignores Distance, WarmupLeft, Sequence and LastReadyAt.
	Digest uint64
	// ReadAt is the time of the last store read that the list reflects. Confirmations counts these reads, including those
	// that left the list unchanged.
	ReadAt        time.Time
	Confirmations uint64
	// Era is the era of the store if eraKnown is set, RestoredAt the time at which it came back from an older copy, zero if that
	// is not known.
	Era        int64
	eraKnown   bool
	RestoredAt time.Time
	// Evacuations are the data centres whose replicas must get no requests.
	Evacuations Evacuations
	// DataCentres describes the daemons of each data centre by the name of the data centre, nil if unknown. It is
	// read-only.
	DataCentres map[string]DataCentre
	// DataCentresHash is a hash of DataCentres.
	DataCentresHash uint64
}

// DataCentre describes the daemons of a data centre, as published by its reader.
type DataCentre struct {
	// Daemons is the number of daemons, Reader the address of the daemon that the others pull from.
	Daemons int    `json:"daemons"`
	Reader  string `json:"reader"`
	// Helpers are the daemons that accept delegated queries, ordered by descending CPU share.
	Helpers []Helper `json:"helpers,omitempty"`
}

// Helper is a daemon that accepts delegated queries of other daemons.
type Helper struct {
	Address string `json:"address"`
	// Cores is its CPU share in cores.
	Cores float64 `json:"cores"`
}

// Daemons returns the total number of daemons in all data centres, 0 if unknown.
func (v *View) Daemons() int {
	n := 0
	for _, c := range v.DataCentres {
		n += c.Daemons
	}
	return n
}

// DataCentresByService returns, for each service, the data centres that have at least one ready replica of it and are not
// evacuated.
func (v *View) DataCentresByService() map[string][]string {
	centres := make(map[string][]string)
	for _, s := range v.Servers {
		if s.State == balancer.Ready && !v.Evacuations.Has(s.DataCentre) && !slices.Contains(centres[s.Service], s.DataCentre) {
			centres[s.Service] = append(centres[s.Service], s.DataCentre)
		}
	}
	return centres
}

func equalCentres(a, b DataCentre) bool {
	return a.Daemons == b.Daemons && a.Reader == b.Reader && slices.Equal(a.Helpers, b.Helpers)
}

// IsComplete reports whether the view holds a configuration and a list of replicas, without which a daemon can't serve.
func (v *View) IsComplete() bool { return v.Table != nil && v.Generation > 0 }

// isRecentlyRestored reports whether the store may still list entries of an older copy at the given time.
func (v *View) isRecentlyRestored(at time.Time) bool {
	return !v.RestoredAt.IsZero() && at.Sub(v.RestoredAt) < restoredGrace
}

// Directory stores the current view. It does no I/O and is safe for concurrent use.
type Directory struct {
	mu   sync.Mutex
	view View
	// lastChanges holds the generation of the last change of each entry by replica ID; removals holds the removed entries
	// with the generation of their removal, oldest first. Deltas can be computed for generations from deltaBase on.
	lastChanges map[string]uint64
	removals    []removal
	deltaBase   uint64
	// outageEnd is the time of the first successful read after the last outage of the store, or after its return from an older
	// copy.
	outageEnd time.Time
	// changed is closed when the view changes, confirmed also when a read of the store leaves the list unchanged.
	changed, confirmed chan struct{}
}

// removal records the generation in which a replica was removed from the list, with its last entry.
type removal struct {
	balancer.Server
	generation uint64
}

// maxRemovals bounds the recorded removals. A follower that lags behind the oldest one receives the complete list.
const maxRemovals = 1000

// NewDirectory returns a directory with an empty view.
func NewDirectory() *Directory {
	return &Directory{
		changed: make(chan struct{}), confirmed: make(chan struct{}), lastChanges: make(map[string]uint64),
	}
}

// View returns the current view and a channel that is closed when it changes.
func (d *Directory) View() (View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view, d.changed
}

// ConfirmedView returns the current view and a channel that is closed when it changes, or when the list is confirmed
// unchanged by a newer read of the store.
func (d *Directory) ConfirmedView() (View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view, d.confirmed
}

// publish wakes all waiters after a change of the view. d.mu must be held.
func (d *Directory) publish() {
	close(d.changed)
	d.changed = make(chan struct{})
	d.confirm()
}

// confirm wakes the waiters for a confirmation. d.mu must be held.
func (d *Directory) confirm() {
	close(d.confirmed)
	d.confirmed = make(chan struct{})
}

// SetConfig replaces the configuration if its version is higher than the current one; applied reports whether it did.
// An invalid configuration is rejected with an error that states the reason.
func (d *Directory) SetConfig(config routing.Config) (applied bool, err error) {
	table, err := routing.NewTable(config)
	if err != nil {
		return false, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Table != nil && config.Version <= d.view.Table.Version() {
		return false, nil
	}
	d.view.Table = table
	d.publish()
	return true, nil
}

// SetDataCentres replaces the descriptions of the daemons of all data centres. The map must not be modified afterwards.
// An empty map is ignored.
func (d *Directory) SetDataCentres(centres map[string]DataCentre) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(centres) > 0 && !maps.EqualFunc(centres, d.view.DataCentres, equalCentres) {
		// The hash is deterministic, since fmt prints maps in the order of their keys.
		d.view.DataCentres, d.view.DataCentresHash = centres, xxhash.Sum64String(fmt.Sprint(centres))
		d.publish()
	}
}

// Change counts the entries that an update of the list added, removed, marked as draining, or kept after an outage of
// the store although they were missing. Undrained counts those that were draining and are listed as ready by the same start
// of their replica, Outdated the listed entries that were not used because a newer one is known.
type Change struct{ Added, Removed, Draining, Kept, Undrained, Outdated int }

// Origin is the source of a list.
type Origin int

// Values of Origin.
const (
	// FromStore is a list that this daemon read from the store.
	FromStore Origin = iota
	// FromDaemon is a list pulled from another daemon, which already includes the entries kept after an outage.
	FromDaemon
)

// Delta returns the view and the changes of the list since a generation: the added or changed entries and the IDs of the
// removed ones. If the recorded changes don't reach back that far, whole is set and changed is the complete list.
func (d *Directory) Delta(generation uint64) (view View, changed []balancer.Server, removed []string, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if generation < d.deltaBase || generation > d.view.Generation {
		return d.view, d.view.Servers, nil, true
	}
	for _, s := range d.view.Servers {
		if d.lastChanges[s.ID] > generation {
			changed = append(changed, s)
		}
	}
	for _, r := range d.removals {
		if r.generation > generation {
			removed = append(removed, r.ID)
		}
	}
	return d.view, changed, removed, false
}

// ObserveEra records the era of a list, before the list is passed to SetServers. at is the time of the read of a list from the
// store, and for one from another daemon the time at which the store came back from an older copy, zero if it did not lately.
func (d *Directory) ObserveEra(era int64, at time.Time, origin Origin) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isFirst := !d.view.eraKnown
	if !isFirst && era <= d.view.Era {
		return
	}
	d.view.eraKnown, d.view.Era = true, era
	if isFirst && origin == FromStore || at.IsZero() {
		return
	}
	// Replicas that registered after the copy was made register again, as after an outage.
	d.view.RestoredAt, d.outageEnd = at, at
}

// RemovedServers returns the last entries of recently removed replicas, oldest first.
func (d *Directory) RemovedServers() []balancer.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []balancer.Server
	for _, r := range d.removals {
		all = append(all, r.Server)
	}
	return all
}

// AddRemovedServers adds replicas that other daemons have seen leave, unless this daemon knows as many as it records.
func (d *Directory) AddRemovedServers(servers []balancer.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Generation 0 precedes all that a follower may know, so these removals are in no delta.
	var earlier []removal
	for _, s := range servers[:min(len(servers), max(0, maxRemovals-len(d.removals)))] {
		earlier = append(earlier, removal{Server: s})
	}
	d.removals = append(earlier, d.removals...)
}

// SetServers replaces the list of replicas by the complete list that was read from the store at readAt, and reports
// whether it did: a list that is not newer than the current one is rejected. Entries that are missing from a list read
// right after an outage of the store are kept for 2.2 s after the outage (reregistrationGrace). After the store has come back
// from an older copy, entries that are older than known ones are not used for 6 s (restoredGrace).
func (d *Directory) SetServers(servers []balancer.Server, readAt time.Time, origin Origin) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Generation > 0 && !readAt.After(d.view.ReadAt) {
		return Change{}, false
	}
	if d.view.Generation > 0 && readAt.Sub(d.view.ReadAt) > outageThreshold {
		d.outageEnd = readAt
	}
	previousReadAt := d.view.ReadAt
	d.view.ReadAt = readAt
	d.view.Confirmations++
	listed := make(map[string]balancer.Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
	}
	var change Change
	if origin == FromStore && d.view.isRecentlyRestored(readAt) {
		change.Outdated = d.replaceOutdated(listed)
	}
	if origin == FromStore && !d.outageEnd.IsZero() && readAt.Sub(d.outageEnd) < reregistrationGrace {
		for _, s := range d.view.Servers {
			if _, ok := listed[s.ID]; !ok {
				listed[s.ID] = s
				change.Kept++
			}
		}
	}
	next := d.view.Generation + 1
	differs := d.view.Generation == 0
	previousIDs := make(map[string]bool, len(d.view.Servers))
	for _, previous := range d.view.Servers {
		previousIDs[previous.ID] = true
		s, ok := listed[previous.ID]
		switch {
		case !ok:
			change.Removed++
			delete(d.lastChanges, previous.ID)
			d.removals = append(d.removals, removal{previous, next})
		case s.State == balancer.Draining && previous.State != balancer.Draining:
			change.Draining++
			s.LastReadyAt = previousReadAt
			listed[s.ID] = s
		case s.State == balancer.Draining && s.StartedAtMs == previous.StartedAtMs:
			s.LastReadyAt = previous.LastReadyAt
			listed[s.ID] = s
		}
		if ok && s.State == balancer.Ready && previous.State == balancer.Draining && s.StartedAtMs == previous.StartedAtMs {
			change.Undrained++
		}
		if ok && !equalEntries(previous, s) {
			d.lastChanges[s.ID] = next
			differs = true
		}
	}
	for id := range listed {
		if !previousIDs[id] {
			d.lastChanges[id] = next
			change.Added++
		}
	}
	if !differs && change.Added == 0 && change.Removed == 0 {
		d.confirm()
		return change, true
	}
	if n := len(d.removals) - maxRemovals; n > 0 {
		d.deltaBase = d.removals[n-1].generation
		d.removals = slices.Delete(d.removals, 0, n)
	}
	d.view.Servers = slices.SortedFunc(maps.Values(listed), func(a, b balancer.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	d.view.Generation++
	d.view.Digest = digest(d.view.Servers)
	d.publish()
	return change, true
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
