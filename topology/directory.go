// Package topology maintains a daemon's local copy of the data in the platform's store: the operator's configuration, the
// list of replicas and the known daemons. In each data centre one elected daemon, the reader, obtains the data and the
// other daemons pull it from there, so that the number of store calls does not grow with the number of daemons.
package topology

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/routing"
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
	// ReadAt is the time of the last store read that the list reflects, and Revision the store's revision at that read, 0 if
	// unknown. Confirmations counts these reads, including those that left the list unchanged. An entry that is marked as
	// missing is not in the list of that read.
	ReadAt        time.Time
	Revision      int64
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
	// history tells outages of the store. keptUntil holds until when an entry that the store does not list is retained, by
	// replica ID.
	history   storeHistory
	keptUntil map[string]time.Time
	// changed is closed when the view changes, confirmed also when a read of the store leaves the list unchanged.
	changed, confirmed chan struct{}
}

// removal records the generation in which a replica was removed from the list, with its last entry. isUncertain is set if the entry may
// have lapsed in an outage of the store that this daemon did not notice.
type removal struct {
	balancer.Server
	generation  uint64
	isUncertain bool
}

// maxRemovals bounds the recorded removals. A follower that lags behind the oldest one receives the complete list.
const maxRemovals = 1000

// NewDirectory returns a directory with an empty view.
func NewDirectory() *Directory {
	return &Directory{
		changed: make(chan struct{}), confirmed: make(chan struct{}), lastChanges: make(map[string]uint64),
		keptUntil: make(map[string]time.Time),
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
	d.view.RestoredAt = at
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
