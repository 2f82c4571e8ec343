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
	for _, era := range []int64{7, 7, 8, 8, 10} {
		must.NoError(t, tracker.Observe(era))
	}
	must.ErrorIs(t, tracker.Observe(8), ErrEarlierEra)
	must.ErrorIs(t, tracker.Observe(-1), ErrRevisionRange)
	must.ErrorIs(t, tracker.Observe(maxEra+1), ErrRevisionRange)
	must.Eq(t, [][2]int64{{7, 8}, {8, 10}}, changes)
	must.Eq(t, 10, tracker.Current())
}

// TestEarlierEraIsNotCurrent guards conditions, watches and leases from before the store came back from an older copy against
// being taken for those that it has given out again.
func TestEarlierEraIsNotCurrent(t *testing.T) {
	tracker := NewEraTracker(nil)
	must.NoError(t, tracker.Observe(1))
	revision, err := ComposeRevision(1, 102)
	must.NoError(t, err)
	tracker.Granted(7, 1)
	number, ok := tracker.Number(revision)
	must.True(t, ok)
	must.Eq(t, 102, number)
	must.False(t, tracker.IsLost(7))
	must.NoError(t, tracker.Observe(2))
	_, ok = tracker.Number(revision)
	must.False(t, ok)
	_, ok = tracker.Number(0)
	must.True(t, ok, must.Sprint("a key that must not exist"))
	must.True(t, tracker.IsLost(7))
	must.False(t, tracker.IsLost(0))
	must.ErrorIs(t, tracker.Check(Txn{If: []Compare{{Key: "a"}, {Key: "b", ModRevision: revision}}}), ErrEarlierEra)
	must.ErrorIs(t, tracker.Check(Txn{Puts: []Put{{Key: "a"}, {Key: "b", Lease: 7}}}), ErrLostLease)
	must.NoError(t, tracker.Check(Txn{If: []Compare{{Key: "a"}}, Puts: []Put{{Key: "a"}}}))
	tracker.Granted(7, 2)
	must.False(t, tracker.IsLost(7))
	for lease := range LeaseID(2 * maxTrackedLeases) {
		tracker.Granted(lease, 2)
	}
	must.LessEq(t, maxTrackedLeases, len(tracker.leases))
	must.Eq(t, "1/102", FormatRevision(revision))
	must.Eq(t, "102", FormatRevision(102))
}
