package kv

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestComposedRevisionsRise guards every comparison of revisions against a store that comes back from an older copy: a lower
// revision of a later era is the higher one, and revision 0 stands for no revision in every era.
func TestComposedRevisionsRise(t *testing.T) {
	before, err := ComposeRevision(3, 102)
	must.NoError(t, err)
	after, err := ComposeRevision(4, 90)
	must.NoError(t, err)
	must.Greater(t, before, after)
	era, number := SplitRevision(after)
	must.Eq(t, 4, era)
	must.Eq(t, 90, number)
	none, err := ComposeRevision(4, 0)
	must.NoError(t, err)
	must.Eq(t, 0, none)
	first, err := ComposeRevision(0, 102)
	must.NoError(t, err)
	must.Eq(t, 102, first, must.Sprint("a store without eras keeps its own revisions"))
	for _, c := range [][2]int64{{-1, 1}, {1, -1}, {maxEra + 1, 1}, {1, maxNumber + 1}} {
		_, err := ComposeRevision(c[0], c[1])
		must.ErrorIs(t, err, ErrRevisionRange)
	}
	last, err := ComposeRevision(maxEra, maxNumber)
	must.NoError(t, err)
	must.Positive(t, last)
}

// TestEraTrackerReportsRises checks that each rise of the era is reported once, and neither the first era nor a late response
// of an earlier one.
func TestEraTrackerReportsRises(t *testing.T) {
	var changes [][2]int64
	tracker := NewEraTracker(func(previous, current int64) { changes = append(changes, [2]int64{previous, current}) })
	for _, era := range []int64{7, 7, 8, 7, 8, 10} {
		tracker.Observe(era)
	}
	must.Eq(t, [][2]int64{{7, 8}, {8, 10}}, changes)
	must.Eq(t, 10, tracker.Current())
}
