package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/limit"
)

const queryTime = 20 * time.Millisecond

// simulateLoad offers queries of two profiles at fixed rates for a number of seconds of virtual time, and returns
// the admitted fraction of each.
func simulateLoad(a *limit.Admission, seconds int, rates map[string]float64) map[string]float64 {
	type completion struct {
		at      time.Time
		profile string
	}
	rng := rand.New(rand.NewPCG(11, 11))
	now := time.Unix(1000, 0)
	var active []completion
	offered, admitted := map[string]float64{}, map[string]float64{}
	for range seconds * 10_000 {
		now = now.Add(100 * time.Microsecond)
		for len(active) > 0 && !active[0].at.After(now) {
			a.Finish(active[0].profile, queryTime, false, now)
			active = active[1:]
		}
		for _, profile := range []string{"flood", "main"} {
			if rng.Float64() > rates[profile]/10_000 {
				continue
			}
			offered[profile]++
			if a.Admit(limit.Query{Profile: profile, Remaining: time.Second, Available: 1, AvailableForTwo: 1,
				RequiredCoverage: 1}, now) == limit.Admitted {
				admitted[profile]++
				active = append(active, completion{now.Add(queryTime), profile})
			}
		}
	}
	return map[string]float64{"main": admitted["main"] / offered["main"], "flood": admitted["flood"] / offered["flood"]}
}

// TestShareIsKeptDuringFlood guards against a profile losing its share to another one that floods the daemon. A
// limit of 10 queries of 20 ms allows 500 queries per second.
func TestShareIsKeptDuringFlood(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	admitted := simulateLoad(a, 5, map[string]float64{"main": 200, "flood": 5000})
	must.Greater(t, 0.95, admitted["main"])
	must.Less(t, 0.2, admitted["flood"])
}

// TestUnusedShareIsBorrowed guards against capacity left unused because it is reserved for a profile with little
// demand.
func TestUnusedShareIsBorrowed(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	a.SetWeight("main", 9)
	admitted := simulateLoad(a, 5, map[string]float64{"main": 20, "flood": 200})
	must.Greater(t, 0.9, admitted["flood"])
	must.Greater(t, 0.95, admitted["main"])
}

// TestRefusesQueriesThatCannotSucceed guards against admitting queries with too little remaining time or too few
// available shards, and against refusing queries forever after a slow period.
func TestRefusesQueriesThatCannotSucceed(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	now := time.Unix(1000, 0)
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "p", Remaining: time.Second, Available: 1, AvailableForTwo: 1,
		RequiredCoverage: 1}, now))
	a.Finish("p", 400*time.Millisecond, false, now)
	must.Eq(t, limit.RefusedTooLate, a.Admit(limit.Query{Profile: "p", Remaining: 100 * time.Millisecond, Available: 1,
		AvailableForTwo: 1, RequiredCoverage: 1}, now))
	must.Eq(t, limit.RefusedNoCapacity, a.Admit(limit.Query{Profile: "p", Remaining: time.Second, Available: 0.6,
		AvailableForTwo: 0.6, RequiredCoverage: 0.7}, now))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "p", Remaining: time.Second, Available: 0.8, AvailableForTwo: 0.8,
		RequiredCoverage: 0.7}, now))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "p", Remaining: 100 * time.Millisecond, Available: 1,
		AvailableForTwo: 1, RequiredCoverage: 1}, now.Add(5*time.Second)))
}

// TestAdaptiveFollowsOverload guards against a limit that ignores overload, falls to zero, or grows while it is not
// in use.
func TestAdaptiveFollowsOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	l := limit.NewAdaptiveLimit(20, 100, 10*time.Millisecond)
	for range 100 {
		l.OnSuccess(2)
	}
	must.Eq(t, 20.0, l.Limit())
	l.OnOverload(20, now)
	l.OnOverload(20, now)
	must.Eq(t, 18.0, l.Limit())
	for i := range 100 {
		l.OnOverload(20, now.Add(time.Duration(i+1)*time.Second))
	}
	must.Eq(t, 1.0, l.Limit())
	for range 20 {
		l.OnSuccess(l.Limit())
	}
	must.Greater(t, 5.0, l.Limit())
}

// TestBorrowersLeaveSpareCapacity guards against a query beyond its profile's share taking the last connection of a
// shard while another profile has demand.
func TestBorrowersLeaveSpareCapacity(t *testing.T) {
	a := limit.NewAdmission(2, 2)
	now := time.Unix(1000, 0)
	lastConnection := limit.Query{Profile: "flood", Remaining: time.Second, Available: 1, AvailableForTwo: 0.5, RequiredCoverage: 1}
	must.Eq(t, limit.Admitted, a.Admit(lastConnection, now), must.Sprint("no other profile has demand"))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "main", Remaining: time.Second, Available: 1, RequiredCoverage: 1}, now))
	a.Finish("main", queryTime, false, now)
	for range 100 {
		a.Admit(lastConnection, now)
	}
	must.Eq(t, limit.RefusedNoCapacity, a.Admit(lastConnection, now))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "main", Remaining: time.Second, Available: 1, RequiredCoverage: 1}, now))
}

// TestOneShardMayWaitDuringFlood guards against a flood that blocks another profile because a single shard is full.
// It also checks that a query is refused if two shards are full, if its profile does not wait, if no other profile
// has demand, or if it is beyond its share.
func TestOneShardMayWaitDuringFlood(t *testing.T) {
	now := time.Unix(1000, 0)
	admit := func(profile string, shards, full int, waits, flooded bool) limit.Refusal {
		a := limit.NewAdmission(4, 4)
		if flooded {
			for range 4 {
				a.Admit(limit.Query{Profile: "flood", Remaining: time.Second, Available: 1, AvailableForTwo: 1, RequiredCoverage: 1}, now)
			}
		}
		available := float64(shards-full) / float64(shards)
		return a.Admit(limit.Query{
			Profile: profile, Remaining: time.Second, Available: available, AvailableForTwo: available, RequiredCoverage: 1, MayWait: limit.MayWaitFraction(waits, shards),
		}, now)
	}
	for shards := 1; shards < 200; shards++ {
		must.Eq(t, limit.Admitted, admit("main", shards, 1, true, true), must.Sprintf("%d shards", shards))
	}
	must.Eq(t, limit.RefusedNoCapacity, admit("main", 10, 2, true, true))
	must.Eq(t, limit.RefusedNoCapacity, admit("main", 10, 1, false, true))
	must.Eq(t, limit.RefusedNoCapacity, admit("main", 10, 1, true, false))
	must.Eq(t, limit.RefusedNoCapacity, admit("flood", 10, 1, true, true))
}

// TestOverloadReducesOnlyLimitInUse guards against reducing the limit to a low current load when single shards lose
// their replicas, and against keeping it while it is in use.
func TestOverloadReducesOnlyLimitInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	limitAfter := func(inFlight int) float64 {
		a := limit.NewAdmission(10, 10)
		for range inFlight {
			a.Admit(limit.Query{Profile: "main", Remaining: time.Second, Available: 1, AvailableForTwo: 1, RequiredCoverage: 1}, now)
		}
		a.Finish("main", queryTime, true, now)
		return a.Limit()
	}
	must.Eq(t, 10, limitAfter(4))
	must.Less(t, 10, limitAfter(5))
	must.Less(t, 10, limitAfter(10))
}

// TestAdmissionToleratesRounding guards against refusals due to rounding: the bounds of equal shards are whole hash
// values, so 7 of 10 shards cover 0.69999999995 of the key space.
func TestAdmissionToleratesRounding(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	now := time.Unix(1000, 0)
	query := limit.Query{Profile: "p", Remaining: time.Second, Available: 0.69999999995, AvailableForTwo: 0.69999999995,
		RequiredCoverage: 0.7}
	must.Eq(t, limit.Admitted, a.Admit(query, now))
	query.Available = 0.69
	must.Eq(t, limit.RefusedNoCapacity, a.Admit(query, now))
}
