package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/limit"
)

const queryTime = 20 * time.Millisecond

// offerFor offers two profiles with equal shares at fixed rates for seconds of virtual time and returns the admitted
// fraction of each.
func offerFor(a *limit.Admission, seconds int, rates map[string]float64) map[string]float64 {
	type end struct {
		at      time.Time
		profile string
	}
	rng := rand.New(rand.NewPCG(11, 11))
	now := time.Unix(1000, 0)
	var open []end
	offered, admitted := map[string]float64{}, map[string]float64{}
	for range seconds * 10_000 {
		now = now.Add(100 * time.Microsecond)
		for len(open) > 0 && !open[0].at.After(now) {
			a.Finish(open[0].profile, queryTime, false, now)
			open = open[1:]
		}
		for _, profile := range []string{"flood", "main"} {
			if rng.Float64() > rates[profile]/10_000 {
				continue
			}
			offered[profile]++
			if a.Admit(limit.Query{Profile: profile, Remaining: time.Second, Room: 1, Spare: 1, Least: 1}, now) == limit.Admitted {
				admitted[profile]++
				open = append(open, end{now.Add(queryTime), profile})
			}
		}
	}
	return map[string]float64{"main": admitted["main"] / offered["main"], "flood": admitted["flood"] / offered["flood"]}
}

// Guards against a profile that loses its share to another one that floods: 10 queries in flight hold 500 per second.
func TestShareIsKeptUnderFlood(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	admitted := offerFor(a, 5, map[string]float64{"main": 200, "flood": 5000})
	must.Greater(t, 0.95, admitted["main"])
	must.Less(t, 0.2, admitted["flood"])
}

// Guards against capacity that stays unused because it is reserved for a profile with little demand.
func TestUnusedShareIsBorrowed(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	a.SetWeight("main", 9)
	admitted := offerFor(a, 5, map[string]float64{"main": 20, "flood": 200})
	must.Greater(t, 0.9, admitted["flood"])
	must.Greater(t, 0.95, admitted["main"])
}

// Guards against queries that are admitted although their remaining time or the room of their shards is too small,
// and against a slow period that refuses queries for ever.
func TestHopelessQueriesAreRefused(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	now := time.Unix(1000, 0)
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "p", Remaining: time.Second, Room: 1, Spare: 1, Least: 1}, now))
	a.Finish("p", 400*time.Millisecond, false, now)
	must.Eq(t, limit.RefusedTooLate, a.Admit(limit.Query{Profile: "p", Remaining: 100 * time.Millisecond, Room: 1, Spare: 1, Least: 1}, now))
	must.Eq(t, limit.RefusedNoRoom, a.Admit(limit.Query{Profile: "p", Remaining: time.Second, Room: 0.6, Spare: 0.6, Least: 0.7}, now))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "p", Remaining: time.Second, Room: 0.8, Spare: 0.8, Least: 0.7}, now))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "p", Remaining: 100 * time.Millisecond, Room: 1, Spare: 1, Least: 1}, now.Add(5*time.Second)))
}

// Guards against a limit that ignores overload, falls to zero, or grows while it is not in use.
func TestAdaptiveFollowsOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	l := limit.NewAdaptive(20, 100, 10*time.Millisecond)
	for range 100 {
		l.Good(2)
	}
	must.Eq(t, 20.0, l.Limit())
	l.Overload(20, now)
	l.Overload(20, now)
	must.Eq(t, 18.0, l.Limit())
	for i := range 100 {
		l.Overload(20, now.Add(time.Duration(i+1)*time.Second))
	}
	must.Eq(t, 1.0, l.Limit())
	for range 20 {
		l.Good(l.Limit())
	}
	must.Greater(t, 5.0, l.Limit())
}

// Guards against a query beyond its profile's share that takes a shard's last room while another profile has demand.
func TestSpareRoomIsLeftToOthers(t *testing.T) {
	a := limit.NewAdmission(2, 2)
	now := time.Unix(1000, 0)
	last := limit.Query{Profile: "flood", Remaining: time.Second, Room: 1, Spare: 0.5, Least: 1}
	must.Eq(t, limit.Admitted, a.Admit(last, now), must.Sprint("no other profile has demand"))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "main", Remaining: time.Second, Room: 1, Least: 1}, now))
	a.Finish("main", queryTime, false, now)
	for range 100 {
		a.Admit(last, now)
	}
	must.Eq(t, limit.RefusedNoRoom, a.Admit(last, now))
	must.Eq(t, limit.Admitted, a.Admit(limit.Query{Profile: "main", Remaining: time.Second, Room: 1, Least: 1}, now))
}

// Guards against a flood that keeps the other profile out through one full shard, and against queries beyond their share,
// with two full shards or of a profile that does not wait that are admitted without room.
func TestOneShardMayWaitUnderFlood(t *testing.T) {
	now := time.Unix(1000, 0)
	admit := func(profile string, shards, full int, waits, flooded bool) limit.Refusal {
		a := limit.NewAdmission(4, 4)
		if flooded {
			for range 4 {
				a.Admit(limit.Query{Profile: "flood", Remaining: time.Second, Room: 1, Spare: 1, Least: 1}, now)
			}
		}
		room := float64(shards-full) / float64(shards)
		return a.Admit(limit.Query{
			Profile: profile, Remaining: time.Second, Room: room, Spare: room, Least: 1, Waits: limit.Waits(waits, shards),
		}, now)
	}
	for shards := 1; shards < 200; shards++ {
		must.Eq(t, limit.Admitted, admit("main", shards, 1, true, true), must.Sprintf("%d shards", shards))
	}
	must.Eq(t, limit.RefusedNoRoom, admit("main", 10, 2, true, true))
	must.Eq(t, limit.RefusedNoRoom, admit("main", 10, 1, false, true))
	must.Eq(t, limit.RefusedNoRoom, admit("main", 10, 1, true, false))
	must.Eq(t, limit.RefusedNoRoom, admit("flood", 10, 1, true, true))
}

// Guards against a limit that falls to the little load of the moment when single shards lose their replicas, and against
// one that does not fall while it is in use.
func TestOverloadCutsOnlyLimitInUse(t *testing.T) {
	now := time.Unix(1000, 0)
	limitAfter := func(inFlight int) float64 {
		a := limit.NewAdmission(10, 10)
		for range inFlight {
			a.Admit(limit.Query{Profile: "main", Remaining: time.Second, Room: 1, Spare: 1, Least: 1}, now)
		}
		a.Finish("main", queryTime, true, now)
		return a.Limit()
	}
	must.Eq(t, 10, limitAfter(4))
	must.Less(t, 10, limitAfter(5))
	must.Less(t, 10, limitAfter(10))
}

// Guards against a refusal by rounding: ranges of equal shards are whole numbers, so 7 of 10 cover 0.69999999995.
func TestRoomAllowsRounding(t *testing.T) {
	a := limit.NewAdmission(10, 10)
	now := time.Unix(1000, 0)
	query := limit.Query{Profile: "p", Remaining: time.Second, Room: 0.69999999995, Spare: 0.69999999995, Least: 0.7}
	must.Eq(t, limit.Admitted, a.Admit(query, now))
	query.Room = 0.69
	must.Eq(t, limit.RefusedNoRoom, a.Admit(query, now))
}
