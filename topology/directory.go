// Package topology is a daemon's copy of what the platform's store holds: the operator's configuration, the list of
// replicas and the number of daemons. Per data centre one daemon reads the store and the others follow it, so that the
// calls to the store do not grow with the number of daemons.
package topology

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/routing"
)

const (
	// outageAfter is the time without a successful read of the store from which its return is treated as the end of an
	// outage, in which entries of live replicas may have lapsed.
	outageAfter = 2500 * time.Millisecond
	// returnTime is how long after the end of an outage a missing entry is kept. The platform states that entries of live
	// replicas are back within about 2 s.
	returnTime = 2200 * time.Millisecond
)

// View is what a daemon knows at one moment. It is not changed after it was published.
type View struct {
	// Table is nil until a configuration is known.
	Table *routing.Table
	// Servers is the list of replicas, sorted by ID; Generation grows with each change of it and is 0 until it is known.
	Servers    []balancer.Server
	Generation uint64
	// ReadAt is when the store confirmed the list last; Confirmed counts these confirmations.
	ReadAt    time.Time
	Confirmed uint64
	// Daemons is the number of daemons of each data centre, nil if unknown. It is not changed.
	Daemons map[string]int
}

// Known reports whether the daemon knows enough to serve.
func (v *View) Known() bool { return v.Table != nil && v.Generation > 0 }

// Directory holds the newest view. It does no I/O. It is safe for concurrent use.
type Directory struct {
	mu   sync.Mutex
	view View
	// outageEnd is when the store was read again after its last outage.
	outageEnd time.Time
	// changed is closed at a change of the view, confirmed at a confirmation too.
	changed, confirmed chan struct{}
}

// NewDirectory returns a directory that knows nothing.
func NewDirectory() *Directory {
	return &Directory{changed: make(chan struct{}), confirmed: make(chan struct{})}
}

// View returns the newest view and a channel that is closed at its next change.
func (d *Directory) View() (View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view, d.changed
}

// Confirmation returns the newest view and a channel that is closed at its next change or confirmation.
func (d *Directory) Confirmation() (View, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view, d.confirmed
}

func (d *Directory) publish() {
	close(d.changed)
	d.changed = make(chan struct{})
	d.confirm()
}

func (d *Directory) confirm() {
	close(d.confirmed)
	d.confirmed = make(chan struct{})
}

// SetConfig takes a configuration. A version that is not above the present one changes nothing; applied reports
// whether it was taken. The error states what is wrong with the configuration, which is not taken then.
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

// SetDaemons takes the number of daemons of each data centre. The map must not be changed afterwards.
func (d *Directory) SetDaemons(daemons map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(daemons) > 0 && !maps.Equal(daemons, d.view.Daemons) {
		d.view.Daemons = daemons
		d.publish()
	}
}

// Change is what a list changed.
type Change struct{ Added, Removed, Draining, Kept int }

// SetServers takes a complete list that the store confirmed at readAt. A list that is older than the present one is
// not taken. Entries that are missing right after an outage of the store are kept for returnTime.
func (d *Directory) SetServers(servers []balancer.Server, readAt time.Time) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Generation > 0 && !readAt.After(d.view.ReadAt) {
		return Change{}, false
	}
	if d.view.Generation > 0 && readAt.Sub(d.view.ReadAt) > outageAfter {
		d.outageEnd = readAt
	}
	d.view.ReadAt = readAt
	d.view.Confirmed++
	listed := make(map[string]balancer.Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
	}
	var change Change
	if !d.outageEnd.IsZero() && readAt.Sub(d.outageEnd) < returnTime {
		for _, s := range d.view.Servers {
			if _, ok := listed[s.ID]; !ok {
				listed[s.ID] = s
				change.Kept++
			}
		}
	}
	differs := d.view.Generation == 0 || len(listed) != len(d.view.Servers)
	for _, old := range d.view.Servers {
		s, ok := listed[old.ID]
		switch {
		case !ok:
			change.Removed++
		case s.State == balancer.Draining && old.State != balancer.Draining:
			change.Draining++
		}
		differs = differs || !ok || !same(old, s)
	}
	if !differs {
		d.confirm()
		return change, true
	}
	change.Added = len(listed) - (len(d.view.Servers) - change.Removed)
	d.view.Servers = slices.SortedFunc(maps.Values(listed), func(a, b balancer.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	d.view.Generation++
	d.publish()
	return change, true
}

// same compares entries without the remaining cold time, which changes with each report of a replica.
func same(a, b balancer.Server) bool {
	a.ColdFor, b.ColdFor = 0, 0
	return a == b
}
