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

// TestCheckRejectsDifferentSnapshot guards against mixing snapshots: a response or a single record with a different
// version must not be merged.
func TestCheckRejectsDifferentSnapshot(t *testing.T) {
	merge := coverage.NewMerge(current, snapshot.NewUniformMap(2, "s", 2))
	oldVersion := snapshot.Version{Index: 6, Map: 2}
	responses := []backend.SubResponse{
		{Version: oldVersion, Shard: "s-0"},
		{Version: current, Shard: "s-1"},
		{Version: current, Shard: "s-0", Records: []backend.Record{{Key: "a", Version: oldVersion}}},
	}
	for _, response := range responses {
		_, err := merge.Shard("s-0").Check(response)
		must.ErrorIs(t, err, coverage.ErrWrongSnapshot)
	}
}

// TestAddUsesFirstResultBeforeClose guards against duplicate results, and against results that arrive after the
// response was sent to the caller.
func TestAddUsesFirstResultBeforeClose(t *testing.T) {
	merge := coverage.NewMerge(current, snapshot.NewUniformMap(2, "s", 2))
	firstResult, err := merge.Shard("s-0").Check(backend.SubResponse{
		Version: current, Shard: "s-0", Records: []backend.Record{{Key: "a", Version: current}},
	})
	must.NoError(t, err)
	lateResult, err := merge.Shard("s-1").Check(backend.SubResponse{Version: current, Shard: "s-1"})
	must.NoError(t, err)
	must.True(t, firstResult.Add())
	must.False(t, firstResult.Add())
	merge.Shard("s-1").MarkMissing(api.MissingRefused)
	records, cov := merge.Close()
	must.False(t, lateResult.Add())
	must.Eq(t, []api.Record{{Key: "a", Shard: "s-0"}}, records)
	must.Eq(t, []string{"s-0"}, cov.Included)
	must.Eq(t, []api.MissingShard{{Shard: "s-1", Reason: api.MissingRefused}}, cov.Missing)
	must.Eq(t, 0.5, cov.Fraction)
	must.False(t, cov.Complete)
}
