package coverage_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/coverage"
	"github.com/chivemill/chivemill/snapshot"
)

var current = snapshot.Version{Index: 7, Map: 2}

// Guards against a blend of snapshots: an answer or a single record of another pair must not enter the merge.
func TestCheckRejectsOtherSnapshot(t *testing.T) {
	merge := coverage.NewMerge(current, snapshot.Uniform(2, "s", 2))
	old := snapshot.Version{Index: 6, Map: 2}
	answers := []backend.SubAnswer{
		{Version: old, Shard: "s-0"},
		{Version: current, Shard: "s-1"},
		{Version: current, Shard: "s-0", Records: []backend.Record{{Key: "a", Version: old}}},
	}
	for _, answer := range answers {
		_, err := merge.Ticket("s-0").Check(answer)
		must.ErrorIs(t, err, coverage.ErrWrongSnapshot)
	}
}

// Guards against duplicated results and against results that arrive after the answer was sent.
func TestAddTakesOneResultBeforeClose(t *testing.T) {
	merge := coverage.NewMerge(current, snapshot.Uniform(2, "s", 2))
	first, err := merge.Ticket("s-0").Check(backend.SubAnswer{
		Version: current, Shard: "s-0", Records: []backend.Record{{Key: "a", Version: current}},
	})
	must.NoError(t, err)
	late, err := merge.Ticket("s-1").Check(backend.SubAnswer{Version: current, Shard: "s-1"})
	must.NoError(t, err)
	must.True(t, first.Add())
	must.False(t, first.Add())
	merge.Ticket("s-1").Miss(api.MissingRefused)
	records, cov := merge.Close()
	must.False(t, late.Add())
	must.Eq(t, []api.Record{{Key: "a", Shard: "s-0"}}, records)
	must.Eq(t, []string{"s-0"}, cov.Included)
	must.Eq(t, []api.MissingShard{{Shard: "s-1", Reason: api.MissingRefused}}, cov.Missing)
	must.Eq(t, 0.5, cov.Fraction)
	must.False(t, cov.Complete)
}
