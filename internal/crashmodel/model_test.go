package crashmodel_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/chivemill/chivemill/internal/crashmodel"
	"github.com/chivemill/chivemill/quarantine"
)

// seeds is the number of seeds per rule and scenario, starting at 1. The table in docs/decisions/crashing-requests.md
// uses 10. Four keep the test short and include a seed in which a popular request is in flight when all replicas crash.
var seeds = 4

func init() {
	if n, err := strconv.Atoi(os.Getenv("CRASHMODEL_SEEDS")); err == nil && n > 0 {
		seeds = n
	}
}

func sumOutcomes(scenario crashmodel.Scenario, rule quarantine.Rule, peer time.Duration) (sum crashmodel.Outcome) {
	for seed := range uint64(seeds) {
		cfg := crashmodel.DefaultConfig(scenario, rule, seed+1)
		cfg.PeerDelay = peer
		out := crashmodel.Run(cfg)
		sum.ReplicaCrashes += out.ReplicaCrashes
		sum.GoodRequests += out.GoodRequests
		sum.GoodRefused += out.GoodRefused
		sum.GoodWithLostConnection += out.GoodWithLostConnection
	}
	return sum
}

func rule(replicas int, window time.Duration, noAnswer bool) quarantine.Rule {
	return quarantine.Rule{Replicas: replicas, Window: window, RequireNoAnswer: noAnswer}
}

// Guards against a default rule that lets a crashing request continue after its first attempts, or that refuses good
// requests after a mass restart. With -v it prints the table of the decision record.
func TestDefaultRuleAgainstAlternatives(t *testing.T) {
	const ms = time.Millisecond
	graceRule := quarantine.DefaultRule()
	graceRule.RecentAnswerWindow = 0
	rules := []struct {
		name string
		rule quarantine.Rule
	}{
		{"none", quarantine.Rule{}},
		{"2 in 50 ms", rule(2, 50*ms, false)},
		{"3 in 50 ms", rule(3, 50*ms, false)},
		{"2 in 50 ms, no answer", rule(2, 50*ms, true)},
		{"3 in 50 ms, no answer", rule(3, 50*ms, true)},
		{"the same, grace 40 ms", graceRule},
		{"the same, recent answer", quarantine.DefaultRule()},
	}
	byName := map[string][5]crashmodel.Outcome{}
	for _, r := range rules {
		var out [5]crashmodel.Outcome
		var group errgroup.Group
		group.SetLimit(3)
		for i, c := range []struct {
			scenario crashmodel.Scenario
			peer     time.Duration
		}{{crashmodel.CrashingRequest, 40 * ms}, {crashmodel.RollingCrashes, 40 * ms}, {crashmodel.RackCrashes, 40 * ms},
			{crashmodel.FleetCrash, 40 * ms}, {crashmodel.CrashingRequest, time.Second}} {
			group.Go(func() error {
				out[i] = sumOutcomes(c.scenario, r.rule, c.peer)
				return nil
			})
		}
		must.NoError(t, group.Wait())
		t.Logf("%-24s | crashes %4.1f, with slow peers %4.1f | good requests refused: crash %6.1f, rolling %5.1f, rack %6.1f, fleet %6.1f of %.0f",
			r.name, meanPerSeed(out[0].ReplicaCrashes), meanPerSeed(out[4].ReplicaCrashes), meanPerSeed(out[0].GoodRefused),
			meanPerSeed(out[1].GoodRefused), meanPerSeed(out[2].GoodRefused), meanPerSeed(out[3].GoodRefused), meanPerSeed(out[3].GoodRequests))
		byName[r.name] = out
	}
	noRule, defaultRule := byName["none"], byName["the same, recent answer"]
	must.Positive(t, noRule[2].GoodWithLostConnection)
	must.Positive(t, byName["the same, grace 40 ms"][3].GoodRefused)
	// The first attempts are one per shard. A few retries are sent before the last lost connection is noticed.
	must.LessEq(t, 13*seeds, defaultRule[0].ReplicaCrashes)
	must.Greater(t, defaultRule[0].ReplicaCrashes, noRule[0].ReplicaCrashes)
	for i := range 4 {
		must.LessEq(t, defaultRule[i].GoodRequests/1000, defaultRule[i].GoodRefused)
	}
}

func meanPerSeed(n int) float64 { return float64(n) / float64(seeds) }
