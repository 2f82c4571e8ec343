package kv

import (
	"errors"
	"fmt"
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

// EraTracker follows the era of a store. It is safe for concurrent use.
type EraTracker struct {
	onChange func(previous, current int64)

	mu      sync.Mutex
	known   bool
	current int64
}

// NewEraTracker returns a tracker that knows no era yet. onChange is called when a known era changes; it may be nil.
func NewEraTracker(onChange func(previous, current int64)) *EraTracker {
	if onChange == nil {
		onChange = func(int64, int64) {}
	}
	return &EraTracker{onChange: onChange}
}

// Observe records the era in which the store answered a call.
func (t *EraTracker) Observe(era int64) {
	t.mu.Lock()
	previous, changed := t.current, t.known && era > t.current
	if !t.known || changed {
		t.known, t.current = true, era
	}
	t.mu.Unlock()
	if changed {
		t.onChange(previous, era)
	}
}

// Current returns the latest era, 0 if none is known.
func (t *EraTracker) Current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}
