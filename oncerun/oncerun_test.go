package oncerun_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/oncerun"
)

func claimErrorKind(t *testing.T, r *oncerun.Runner, key oncerun.Key, query string) api.Kind {
	t.Helper()
	_, err := r.Claim(t.Context(), key, oncerun.Fingerprint("orders", query))
	if err == nil {
		return ""
	}
	return api.KindOf(err)
}

// Guards against accepting keys without a creation time, for which the age check would not work.
func TestParseKey(t *testing.T) {
	key := oncerun.NewKey(time.UnixMilli(1_760_000_000_123))
	for _, text := range []string{key.String(), `"` + key.String() + `"`} {
		got, err := oncerun.ParseKey([]string{text})
		must.NoError(t, err)
		must.Eq(t, key.String(), got.String())
		must.Eq(t, int64(1_760_000_000_123), got.Created().UnixMilli())
	}
	bad := [][]string{
		nil, {""}, {"x"}, {key.String(), key.String()}, {"urn:uuid:" + key.String()}, {"{" + key.String() + "}"},
		{"550e8400-e29b-41d4-a716-446655440000"}, {"00000000-0000-0000-0000-000000000000"},
	}
	for _, values := range bad {
		_, err := oncerun.ParseKey(values)
		must.Eq(t, api.BadKey, api.KindOf(err), must.Sprintf("%q", values))
	}
}

// Guards against error kinds that say wrongly whether the request may have run.
func TestClaimErrorKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		first := oncerun.NewRunner(store, oncerun.Options{Node: "a"})
		second := oncerun.NewRunner(store, oncerun.Options{Node: "b"})
		key := oncerun.NewKey(time.Now())
		must.Eq(t, "", claimErrorKind(t, first, key, "q"))
		must.Eq(t, api.AlreadyDispatched, claimErrorKind(t, first, key, "q"))
		must.Eq(t, api.AlreadyDispatched, claimErrorKind(t, second, key, "q"))
		must.Eq(t, api.KeyConflict, claimErrorKind(t, second, key, "other"))
		must.Eq(t, api.BadKey, claimErrorKind(t, second, oncerun.NewKey(time.Now().Add(6*time.Minute)), "q"))
		must.Eq(t, api.KeyExpired, claimErrorKind(t, second, oncerun.NewKey(time.Now().Add(-25*time.Hour)), "q"))
		store.SetFaults(kvtest.Faults{Unavailable: true})
		must.Eq(t, api.StoreUnavailable, claimErrorKind(t, second, oncerun.NewKey(time.Now()), "q"))
		store.SetFaults(kvtest.Faults{LostResponses: 2})
		must.Eq(t, "", claimErrorKind(t, second, oncerun.NewKey(time.Now()), "q"))
		first.Close()
		second.Close()
	})
}

// Guards against a claim that blocks its key although its request was not dispatched: after an explicit release, after
// the caller's deadline passed during the claim, and after every response of the store was lost.
func TestUndispatchedClaimsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		r := oncerun.NewRunner(store, oncerun.Options{})
		key := oncerun.NewKey(time.Now())
		claim, err := r.Claim(t.Context(), key, oncerun.Fingerprint("orders", "f"))
		must.NoError(t, err)
		must.NoError(t, claim.Release(t.Context()))

		store.SetFaults(kvtest.Faults{Delay: 300 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err = r.Claim(ctx, key, oncerun.Fingerprint("orders", "f"))
		must.Eq(t, api.StoreUnavailable, api.KindOf(err))
		r.Close()

		store.SetFaults(kvtest.Faults{LostResponses: 4})
		// Each attempt requests a new lease first, because a failed attempt invalidates the lease.
		_, err = r.Claim(t.Context(), key, oncerun.Fingerprint("orders", "f"))
		must.Eq(t, api.StoreUnavailable, api.KindOf(err))
		r.Close()

		store.SetFaults(kvtest.Faults{})
		items, _, err := store.List(t.Context(), oncerun.Prefix)
		must.NoError(t, err)
		must.SliceEmpty(t, items)
		claim, err = r.Claim(t.Context(), key, oncerun.Fingerprint("orders", "f"))
		must.NoError(t, err)

		// A second release must not remove the claim of a later holder.
		must.NoError(t, claim.Release(t.Context()))
		_, err = r.Claim(t.Context(), key, oncerun.Fingerprint("orders", "f"))
		must.NoError(t, err)
		must.NoError(t, claim.Release(t.Context()))
		must.Eq(t, api.AlreadyDispatched, claimErrorKind(t, r, key, "f"))
		r.Close()
	})
}

// Guards against a conflict on one key that fails the claims of other keys in the same transaction.
func TestConflictAffectsOnlyItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.NewMemory(nil)
		keys := make([]oncerun.Key, 50)
		for i := range keys {
			keys[i] = oncerun.NewKey(time.Now())
		}
		other := oncerun.NewRunner(store, oncerun.Options{})
		must.Eq(t, "", claimErrorKind(t, other, keys[7], "q"))
		must.Eq(t, "", claimErrorKind(t, other, keys[30], "q"))
		store.SetFaults(kvtest.Faults{Delay: 10 * time.Millisecond})
		r := oncerun.NewRunner(store, oncerun.Options{})
		kinds := make([]api.Kind, len(keys))
		var wg sync.WaitGroup
		for i, key := range keys {
			wg.Go(func() { kinds[i] = claimErrorKind(t, r, key, "q") })
		}
		wg.Wait()
		for i, kind := range kinds {
			want := api.Kind("")
			if i == 7 || i == 30 {
				want = api.AlreadyDispatched
			}
			must.Eq(t, want, kind, must.Sprintf("key %d", i))
		}
		must.LessEq(t, 6, r.Counters().Transactions.Load())
	})
}

// claimRate sends requests to 7 daemons at a constant rate for 5 s. It returns how many of them were claimed within
// 200 ms, and the total.
func claimRate(offered, maxBatch int) (claimed, total int64) {
	store := kvtest.NewRateLimited(kvtest.NewMemory(nil), 300, 2*time.Millisecond)
	var runners []*oncerun.Runner
	for range 7 {
		runners = append(runners, oncerun.NewRunner(store, oncerun.Options{MaxBatch: maxBatch, StoreTimeout: time.Minute}))
	}
	total = int64(offered) * 5
	var wg sync.WaitGroup
	for i := range total {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			_, _ = runners[i%7].Claim(ctx, oncerun.NewKey(time.Now()), "f")
		})
		testseed.Sleep(time.Second / time.Duration(offered))
	}
	wg.Wait()
	for _, r := range runners {
		r.Close()
		claimed += r.Counters().Claimed.Load()
	}
	return claimed, total
}

// Guards against a regression of group commit: a store with 300 writes per second must support 3000 claims per second,
// ten times its rate; without group commit it cannot support more than 300.
func TestGroupCommitExceedsStoreRate(t *testing.T) {
	for _, c := range []struct{ offered, maxBatch int }{
		{200, 1}, {290, 1}, {400, 1}, {1000, 1}, {290, 100}, {1000, 100}, {3000, 100}, {10_000, 100},
	} {
		synctest.Test(t, func(t *testing.T) {
			claimed, total := claimRate(c.offered, c.maxBatch)
			t.Logf("offered %5d/s, batch up to %3d: %7.1f claims/s (%5.1f%% of requests)",
				c.offered, c.maxBatch, float64(claimed)/5, 100*float64(claimed)/float64(total))
			if c.maxBatch == 1 {
				must.LessEq(t, 305*5, claimed)
			} else if c.offered <= 3000 {
				must.Eq(t, total, claimed)
			}
		})
	}
}
