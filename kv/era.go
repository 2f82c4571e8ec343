package kv

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
)

// A store can come back from an older copy of its data: it starts a new era, in which revisions go back and are given out
// again. ComposeRevision puts the era in front of the store's own revision, so that composed revisions only rise.
const (
	// revisionBits is the number of bits of a composed revision that hold the store's own revision: at a thousand changes a
	// second they suffice for 30 years.
	revisionBits = 40
	maxNumber    = 1<<revisionBits - 1
	maxEra       = 1<<(62-revisionBits) - 1
)

// ErrRevisionRange means that an era or a revision of the store is negative or too large for a composed revision.
var ErrRevisionRange = errors.New("store era or revision out of range")

// ComposeRevision returns the composed revision of a store's own revision in an era. Revision 0, which stands for no
// revision, remains 0 in every era. It returns ErrRevisionRange for values out of range.
func ComposeRevision(era, number int64) (int64, error) {
	if era < 0 || era > maxEra || number < 0 || number > maxNumber {
		return 0, fmt.Errorf("%w: era %d, revision %d", ErrRevisionRange, era, number)
	}
	if number == 0 {
		return 0, nil
	}
	return era<<revisionBits | number, nil
}

// SplitRevision returns the era and the store's own revision of a composed revision.
func SplitRevision(revision int64) (era, number int64) {
	return revision >> revisionBits, revision & maxNumber
}

// FormatRevision returns a composed revision for logs: the store's own revision, after the era and a slash unless the era
// is 0.
func FormatRevision(revision int64) string {
	era, number := SplitRevision(revision)
	if era == 0 {
		return strconv.FormatInt(number, 10)
	}
	return fmt.Sprintf("%d/%d", era, number)
}

// ErrEarlierEra means that a response is from an era before the latest known one, so that what it says may be lost.
var ErrEarlierEra = errors.New("response of an earlier era of the store")

// ErrLostLease means that a transaction uses a lease that was granted before the store came back from an older copy.
var ErrLostLease = errors.New("lease of an earlier era of the store")

// maxTrackedLeases bounds the leases that an EraTracker remembers.
const maxTrackedLeases = 1024

// EraTracker follows the era of a store, and tells which revisions and leases of a daemon are of an earlier one: the store
// may have given them out again since. It is safe for concurrent use.
type EraTracker struct {
	onChange func(previous, current int64)

	mu      sync.Mutex
	known   bool
	current int64
	// leases holds the eras in which leases were granted to this daemon.
	leases map[LeaseID]int64
}

// NewEraTracker returns a tracker that knows no era yet. onChange is called when a known era changes; it may be nil.
func NewEraTracker(onChange func(previous, current int64)) *EraTracker {
	if onChange == nil {
		onChange = func(int64, int64) {}
	}
	return &EraTracker{onChange: onChange, leases: make(map[LeaseID]int64)}
}

// Observe records the era in which the store answered a call. It returns ErrEarlierEra or ErrRevisionRange if the response
// must not be used.
func (t *EraTracker) Observe(era int64) error {
	if era < 0 || era > maxEra {
		return fmt.Errorf("%w: era %d", ErrRevisionRange, era)
	}
	t.mu.Lock()
	previous, changed := t.current, t.known && era > t.current
	if !t.known || changed {
		t.known, t.current = true, era
	}
	t.mu.Unlock()
	switch {
	case changed:
		t.onChange(previous, era)
	case era < previous:
		return fmt.Errorf("%w: %d after %d", ErrEarlierEra, era, previous)
	}
	return nil
}

// Current returns the latest era, 0 if none is known.
func (t *EraTracker) Current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// Number returns the store's own revision of a composed one. ok is false if the revision is of an earlier era.
func (t *EraTracker) Number(revision int64) (number int64, ok bool) {
	era, number := SplitRevision(revision)
	return number, revision == 0 || era == t.Current()
}

// Granted records the era in which the store granted a lease.
func (t *EraTracker) Granted(lease LeaseID, era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.leases) >= maxTrackedLeases {
		clear(t.leases)
	}
	t.leases[lease] = era
}

// IsLost reports whether a lease was granted in an earlier era. Lease 0, which stands for no lease, is never lost.
func (t *EraTracker) IsLost(lease LeaseID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	era, ok := t.leases[lease]
	return lease != 0 && ok && era != t.current
}

// Check returns ErrEarlierEra if a condition of the transaction names a revision of an earlier era, so that it cannot hold any
// more, and ErrLostLease if it uses a lease of one.
func (t *EraTracker) Check(txn Txn) error {
	for _, cond := range txn.If {
		if _, ok := t.Number(cond.ModRevision); !ok {
			return ErrEarlierEra
		}
	}
	for _, p := range txn.Puts {
		if t.IsLost(p.Lease) {
			return ErrLostLease
		}
	}
	return nil
}

// Forget removes a lease that has ended.
func (t *EraTracker) Forget(lease LeaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.leases, lease)
}
