package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/internal/rendezvous"
)

func generateIDs(prefix string, n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return ids
}

// TestRanksMatchSet guards against incrementally updated ranks that differ from those computed from scratch after members
// are added and removed.
func TestRanksMatchSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, keys := generateIDs("entry", 20), generateIDs("replica", 30)
		ranks := rendezvous.NewRanks(all[0], keys)
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			members := rapid.SliceOf(rapid.SampledFrom(all)).Draw(t, "members")
			ranks.SetMembers(members)
			set := rendezvous.NewSet(append(members, all[0]))
			for _, key := range keys {
				want, _ := set.Rank(key, all[0])
				got, ok := ranks.Rank(key)
				if !ok || got != want || ranks.Len() != set.Len() {
					t.Fatalf("rank of %s is %d of %d, want %d of %d", key, got, ranks.Len(), want, set.Len())
				}
				if slices.Contains(set.Top(key, 2), all[0]) != slices.Contains(ranks.TopKeys(2), key) {
					t.Fatalf("first two of %s differ", key)
				}
			}
		}
	})
}

// TestTopMatchesRank guards against a Top in another order than Rank: Top selects the owners of a key, and Rank decides
// which of them hold connections.
func TestTopMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := rendezvous.NewSet(generateIDs("entry", rapid.IntRange(1, 30).Draw(t, "members")))
		n := rapid.IntRange(0, 40).Draw(t, "n")
		key := rapid.String().Draw(t, "key")
		top := set.Top(key, n)
		if len(top) != min(n, set.Len()) {
			t.Fatalf("%d members, want %d", len(top), min(n, set.Len()))
		}
		for i, id := range top {
			if rank, ok := set.Rank(key, id); !ok || rank != i {
				t.Fatalf("%s has rank %d at place %d", id, rank, i)
			}
		}
	})
}
