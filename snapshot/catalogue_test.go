package snapshot_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/snapshot"
)

func TestMain(m *testing.M) { testseed.Main(m, 2000) }

// holdingsOf returns holdings of the first n shards of the map at the given index version.
func holdingsOf(index int64, m snapshot.ShardMap, n int) []snapshot.Holding {
	var holdings []snapshot.Holding
	for _, s := range m.Shards[:n] {
		holdings = append(holdings, snapshot.Holding{Version: snapshot.Version{Index: index, Map: m.Version}, Shard: s.ID})
	}
	return holdings
}

func newCatalogue(t *testing.T, maps ...snapshot.ShardMap) *snapshot.Catalogue {
	t.Helper()
	c := snapshot.NewCatalogue()
	for _, m := range maps {
		must.NoError(t, c.AddMap(m))
	}
	return c
}

func concat(lists ...[]snapshot.Holding) []snapshot.Holding {
	var all []snapshot.Holding
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// TestConflictingMapsUsePlurality guards against a wrong coverage caused by a faulty replica that sends other ranges
// for a known map version. The content with the most votes wins, in any order of arrival, and a tied version does not
// become current.
func TestConflictingMapsUsePlurality(t *testing.T) {
	good, bad := snapshot.NewUniformMap(1, "s", 2), snapshot.NewUniformMap(1, "s", 2)
	bad.Shards[0].High, bad.Shards[1].Low = 10, 10
	c := snapshot.NewCatalogue()
	must.NoError(t, c.AddMapFrom("faulty", bad))
	must.ErrorIs(t, c.AddMapFrom("r1", good), snapshot.ErrMapConflict)
	must.True(t, c.SelectSnapshot(holdingsOf(1, good, 2)).IsZero())
	must.ErrorIs(t, c.AddMapFrom("r2", good), snapshot.ErrMapConflict)
	must.Eq(t, snapshot.Version{Index: 1, Map: 1}, c.SelectSnapshot(holdingsOf(1, good, 2)))
	_, m, ok := c.Current()
	must.True(t, ok)
	must.Eq(t, good, m)
	must.True(t, c.HasMapFrom("r2", 1))
	must.False(t, c.HasMapFrom("r3", 1))
	must.Error(t, c.AddMapFrom("r4", snapshot.ShardMap{Version: 2, Shards: good.Shards[:1]}))
}

// TestLargestSnapshotDuringIncompleteRollout guards against answers with hardly any coverage during a rollout in which
// no snapshot is complete: the snapshot that covers the larger range is used.
func TestLargestSnapshotDuringIncompleteRollout(t *testing.T) {
	m := snapshot.NewUniformMap(1, "s", 10)
	c := newCatalogue(t, m)
	v1, v2 := snapshot.Version{Index: 1, Map: 1}, snapshot.Version{Index: 2, Map: 1}
	must.Eq(t, v1, c.SelectSnapshot(holdingsOf(1, m, 10)))
	must.Eq(t, v1, c.SelectSnapshot(concat(holdingsOf(1, m, 6), holdingsOf(2, m, 4))))
	must.Eq(t, v2, c.SelectSnapshot(concat(holdingsOf(1, m, 3), holdingsOf(2, m, 7))))
	must.Eq(t, v2, c.SelectSnapshot(holdingsOf(2, m, 10)))
}

// TestRestartsWithOldIndexDoNotCauseFlapping guards against alternating between snapshots when a replica that restarts
// with an old index and reloads makes the newer snapshot complete at every other update.
func TestRestartsWithOldIndexDoNotCauseFlapping(t *testing.T) {
	m := snapshot.NewUniformMap(1, "s", 2)
	c := newCatalogue(t, m)
	v1, v2 := snapshot.Version{Index: 1, Map: 1}, snapshot.Version{Index: 2, Map: 1}
	full := concat(holdingsOf(1, m, 2), holdingsOf(2, m, 2))
	reduced := concat(holdingsOf(1, m, 2), holdingsOf(2, m, 1))
	must.Eq(t, v2, c.SelectSnapshot(full))
	for range 20 {
		must.Eq(t, v1, c.SelectSnapshot(reduced))
		must.Eq(t, v1, c.SelectSnapshot(full))
	}
	for range 4 {
		must.Eq(t, v1, c.SelectSnapshot(full))
	}
	must.Eq(t, v2, c.SelectSnapshot(full))
}

// TestSelectSnapshotPrefersCompleteSnapshot guards against selecting an incomplete snapshot while a complete one
// exists, and against going back from a complete snapshot to an older one, for any order of holdings and with maps of
// different shard counts.
func TestSelectSnapshotPrefersCompleteSnapshot(t *testing.T) {
	maps := []snapshot.ShardMap{snapshot.NewUniformMap(1, "a", 2), snapshot.NewUniformMap(2, "b", 3)}
	rapid.Check(t, func(rt *rapid.T) {
		c := newCatalogue(t, maps...)
		var before snapshot.Version
		for range rapid.IntRange(1, 30).Draw(rt, "updates") {
			counts := map[snapshot.Version]int{}
			var holdings []snapshot.Holding
			for i, m := range maps {
				for index := int64(1); index <= 3; index++ {
					n := rapid.IntRange(0, len(m.Shards)).Draw(rt, "held")
					counts[snapshot.Version{Index: index, Map: m.Version}] = n * 100 / len(maps[i].Shards)
					holdings = append(holdings, holdingsOf(index, m, n)...)
				}
			}
			got := c.SelectSnapshot(rapid.Permutation(holdings).Draw(rt, "order"))
			for v, percent := range counts {
				if percent == 100 && counts[got] != 100 {
					rt.Fatalf("chose %s with %d%% although %s is complete", got, counts[got], v)
				}
			}
			if counts[before] == 100 && got.Less(before) {
				rt.Fatalf("went back from the complete %s to the older %s", before, got)
			}
			if len(holdings) > 0 && counts[got] == 0 {
				rt.Fatalf("chose %s, which no replica has", got)
			}
			before = got
		}
	})
}
