// Package topology is a daemon's copy of what the platform's store holds: the operator's configuration, the list of
// replicas and the number of daemons. Per data centre one daemon reads the store and the others follow it, so that the
// calls to the store do not grow with the number of daemons.
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
	// Digest names the contents of Servers: lists that differ at most in distances and remaining cold times have equal ones.
	Digest uint64
	// ReadAt is when the store confirmed the list last; Confirmed counts these confirmations.
	ReadAt    time.Time
	Confirmed uint64
	// Centres holds what is known of the daemons of each data centre, nil if unknown. It is not changed.
	Centres map[string]Centre
	// CentresSum names the contents of Centres: equal contents have equal sums.
	CentresSum uint64
}

// Centre is what the reader of a data centre tells of its daemons.
type Centre struct {
	// Daemons is the number of daemons, Reader the address of the one that reads for them.
	Daemons int    `json:"daemons"`
	Reader  string `json:"reader"`
	// Helpers are the daemons that take queries of others, the one with the most cores first.
	Helpers []Helper `json:"helpers,omitempty"`
}

// Helper is a daemon that takes queries of others.
type Helper struct {
	Address string `json:"address"`
	// Cores is its processor share in cores.
	Cores float64 `json:"cores"`
}

// Daemons returns the number of known daemons, 0 if unknown.
func (v *View) Daemons() int {
	n := 0
	for _, c := range v.Centres {
		n += c.Daemons
	}
	return n
}

// Holders returns the data centres that have a ready replica of each service.
func (v *View) Holders() map[string][]string {
	holders := make(map[string][]string)
	for _, s := range v.Servers {
		if s.State == balancer.Ready && !slices.Contains(holders[s.Service], s.DataCentre) {
			holders[s.Service] = append(holders[s.Service], s.DataCentre)
		}
	}
	return holders
}

func sameCentre(a, b Centre) bool {
	return a.Daemons == b.Daemons && a.Reader == b.Reader && slices.Equal(a.Helpers, b.Helpers)
}

// Known reports whether the daemon knows enough to serve.
func (v *View) Known() bool { return v.Table != nil && v.Generation > 0 }

// Directory holds the newest view. It does no I/O. It is safe for concurrent use.
type Directory struct {
	mu   sync.Mutex
	view View
	// since holds the generation in which each entry changed last, removed the entries that went with theirs, the oldest
	// first. Changes after the generation known are complete.
	since   map[string]uint64
	removed []removal
	known   uint64
	// outageEnd is when the store was read again after its last outage.
	outageEnd time.Time
	// changed is closed at a change of the view, confirmed at a confirmation too.
	changed, confirmed chan struct{}
}

type removal struct {
	id         string
	generation uint64
}

// maxRemoved bounds the remembered removals. A follower that lacks more of them gets the whole list.
const maxRemoved = 1000

// NewDirectory returns a directory that knows nothing.
func NewDirectory() *Directory {
	return &Directory{
		changed: make(chan struct{}), confirmed: make(chan struct{}), since: make(map[string]uint64),
	}
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

// SetCentres takes what is known of the daemons of all data centres, which must not be changed afterwards. An empty map
// changes nothing.
func (d *Directory) SetCentres(centres map[string]Centre) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(centres) > 0 && !maps.EqualFunc(centres, d.view.Centres, sameCentre) {
		// Maps are printed in the order of their keys.
		d.view.Centres, d.view.CentresSum = centres, xxhash.Sum64String(fmt.Sprint(centres))
		d.publish()
	}
}

// Change is what a list changed.
type Change struct{ Added, Removed, Draining, Kept int }

// Origin is where a list came from.
type Origin int

// Values of Origin.
const (
	// FromStore is a list that this daemon read.
	FromStore Origin = iota
	// FromDaemon is the list of another daemon, which has kept what it had to keep.
	FromDaemon
)

// Delta returns the view and what changed in the list after a generation of it: the changed entries and the IDs of
// those that went. whole is set if that is not known any more; then changed is the whole list.
func (d *Directory) Delta(generation uint64) (view View, changed []balancer.Server, removed []string, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if generation < d.known || generation > d.view.Generation {
		return d.view, d.view.Servers, nil, true
	}
	for _, s := range d.view.Servers {
		if d.since[s.ID] > generation {
			changed = append(changed, s)
		}
	}
	for _, r := range d.removed {
		if r.generation > generation {
			removed = append(removed, r.id)
		}
	}
	return d.view, changed, removed, false
}

// SetServers takes a complete list that the store confirmed at readAt. A list that is older than the present one is
// not taken. Entries that are missing right after an outage of the store are kept for returnTime.
func (d *Directory) SetServers(servers []balancer.Server, readAt time.Time, origin Origin) (Change, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Generation > 0 && !readAt.After(d.view.ReadAt) {
		return Change{}, false
	}
	if d.view.Generation > 0 && readAt.Sub(d.view.ReadAt) > outageAfter {
		d.outageEnd = readAt
	}
	before := d.view.ReadAt
	d.view.ReadAt = readAt
	d.view.Confirmed++
	listed := make(map[string]balancer.Server, len(servers))
	for _, s := range servers {
		listed[s.ID] = s
	}
	var change Change
	if origin == FromStore && !d.outageEnd.IsZero() && readAt.Sub(d.outageEnd) < returnTime {
		for _, s := range d.view.Servers {
			if _, ok := listed[s.ID]; !ok {
				listed[s.ID] = s
				change.Kept++
			}
		}
	}
	next := d.view.Generation + 1
	differs := d.view.Generation == 0
	olds := make(map[string]bool, len(d.view.Servers))
	for _, old := range d.view.Servers {
		olds[old.ID] = true
		s, ok := listed[old.ID]
		switch {
		case !ok:
			change.Removed++
			delete(d.since, old.ID)
			d.removed = append(d.removed, removal{old.ID, next})
		case s.State == balancer.Draining && old.State != balancer.Draining:
			change.Draining++
			s.ReadyAt = before
			listed[s.ID] = s
		case s.State == balancer.Draining && s.Born == old.Born:
			s.ReadyAt = old.ReadyAt
			listed[s.ID] = s
		}
		if ok && !same(old, s) {
			d.since[s.ID] = next
			differs = true
		}
	}
	for id := range listed {
		if !olds[id] {
			d.since[id] = next
			change.Added++
		}
	}
	if !differs && change.Added == 0 && change.Removed == 0 {
		d.confirm()
		return change, true
	}
	if n := len(d.removed) - maxRemoved; n > 0 {
		d.known = d.removed[n-1].generation
		d.removed = slices.Delete(d.removed, 0, n)
	}
	d.view.Servers = slices.SortedFunc(maps.Values(listed), func(a, b balancer.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	d.view.Generation++
	d.view.Digest = digestOf(d.view.Servers)
	d.publish()
	return change, true
}

// digestOf returns the digest of a sorted list.
func digestOf(servers []balancer.Server) uint64 {
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
		numbers = binary.AppendVarint(numbers, s.Born)
		_, _ = h.Write(numbers)
	}
	return h.Sum64()
}

// same compares entries without the remaining cold time, which changes with each report of a replica, and without the
// distance and the time at which it was ready, which each daemon sets itself.
func same(a, b balancer.Server) bool {
	a.ColdFor, b.ColdFor = 0, 0
	a.Distance, b.Distance = 0, 0
	a.ReadyAt, b.ReadyAt = time.Time{}, time.Time{}
	return a == b
}
