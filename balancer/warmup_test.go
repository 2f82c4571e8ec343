package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func warmupBalancer(now time.Time) *Balancer {
	b := limitedBalancer(now)
	b.SetWarmupLimits(func(Server) WarmupLimit { return WarmupLimit{IsLimited: true, Rate: 1} }, now)
	return b
}

// TestWarmupIsToldToOtherDaemons checks which statements of a cold replica reach the other daemons, and guards the network of a large fleet
// against an update of each daemon for each response: one of them in a second is enough.
func TestWarmupIsToldToOtherDaemons(t *testing.T) {
	now := time.Unix(1000, 0)
	b, other := warmupBalancer(now), warmupBalancer(now)
	must.True(t, b.ReportWarmup("a", 1, 4*time.Second, now))
	updates := b.TakeLimitUpdates(now)
	must.Eq(t, []LimitUpdate{{Replica: "a", StartedAtMs: 1, WarmupLeftMs: 4000}}, updates)
	now = now.Add(10 * time.Millisecond)
	must.False(t, b.ReportWarmup("a", 1, 3990*time.Millisecond, now), must.Sprint("known"))
	must.SliceEmpty(t, b.TakeLimitUpdates(now))
	must.SliceEmpty(t, other.ApplyLimitUpdates(updates, now), must.Sprint("no change of a request limit"))
	must.Eq(t, "cold", other.Statuses(now)[0].Condition())
	must.False(t, other.ReportWarmup("a", 1, 3990*time.Millisecond, now), must.Sprint("known from another daemon"))
	must.SliceEmpty(t, other.TakeLimitUpdates(now), must.Sprint("another daemon has told all"))
	now = now.Add(limitShareInterval)
	must.False(t, other.ReportWarmup("a", 1, 2990*time.Millisecond, now))
	must.Len(t, 1, other.TakeLimitUpdates(now), must.Sprint("repeated after a second, since updates get lost"))
	must.False(t, other.ReportWarmup("a", 1, 9*time.Second, now))
	must.Len(t, 1, other.TakeLimitUpdates(now), must.Sprint("a longer warm-up is told at once"))
	must.Eq(t, "ready", b.Statuses(now.Add(4 * time.Second))[0].Condition())
}

// TestWarmupOfAnotherStartIsIgnored guards a restarted replica, and replicas that are not limited, against statements that don't concern
// them, and all against impossible values of another daemon.
func TestWarmupOfAnotherStartIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, u := range []LimitUpdate{
		{Replica: "unknown", StartedAtMs: 1, WarmupLeftMs: 1000}, {Replica: "a", StartedAtMs: 2, WarmupLeftMs: 1000},
		{Replica: "a", StartedAtMs: 1, WarmupLeftMs: -1}, {Replica: "a", StartedAtMs: 1},
	} {
		b := warmupBalancer(now)
		must.SliceEmpty(t, b.ApplyLimitUpdates([]LimitUpdate{u}, now))
		must.False(t, b.ReportWarmup(u.Replica, u.StartedAtMs, time.Duration(u.WarmupLeftMs)*time.Millisecond, now))
		must.Eq(t, "ready", b.Statuses(now)[0].Condition(), must.Sprintf("%+v", u))
	}
	b := warmupBalancer(now)
	b.ApplyLimitUpdates([]LimitUpdate{{Replica: "a", StartedAtMs: 1, WarmupLeftMs: math.MaxInt64}}, now)
	must.Eq(t, "cold", b.Statuses(now.Add(maxWarmup - 1))[0].Condition())
	must.Eq(t, "ready", b.Statuses(now.Add(maxWarmup))[0].Condition())
	unlimited := limitedBalancer(now)
	must.False(t, unlimited.ReportWarmup("a", 1, time.Second, now))
	unlimited.ApplyLimitUpdates([]LimitUpdate{{Replica: "a", StartedAtMs: 1, WarmupLeftMs: 1000}}, now)
	must.SliceEmpty(t, unlimited.TakeLimitUpdates(now))
	must.Eq(t, "ready", unlimited.Statuses(now)[0].Condition())
}
