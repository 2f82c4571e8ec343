package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func shortCase(t *testing.T, name string) Case {
	t.Helper()
	for _, c := range Cases() {
		if c.Name == name {
			c.Duration = min(c.Duration, 20*time.Second)
			return c
		}
	}
	t.Fatalf("no case is named %q", name)
	return Case{}
}

// Guards against results that are not reproducible: use of the real clock, an unseeded random choice or the iteration
// order of a map would change the results of a second run.
func TestRunIsDeterministic(t *testing.T) {
	for _, name := range []string{"calm", "update-loss", "flood"} {
		c := shortCase(t, name)
		first, second := Run(Tutkal(), c, DefaultStrategy(), 3), Run(Tutkal(), c, DefaultStrategy(), 3)
		first.CPU, second.CPU = 0, 0
		must.Eq(t, first, second)
	}
}

// Guards against a forced update that leaves a shard without a live replica, so that no policy could answer for it.
func TestForcedUpdateKeepsLiveReplica(t *testing.T) {
	c := shortCase(t, "update")
	sim := newSimulation(Gravura(), c, DefaultStrategy(), 4)
	c.Prepare(sim)
	restarted := make(map[string]int64)
	for at := time.Duration(0); at < sim.end; at += 100 * time.Millisecond {
		sim.engine.run(at)
		for i := 0; i < len(sim.servers); i += replicasPerShard {
			live := 0
			for _, s := range sim.servers[i : i+replicasPerShard] {
				restarted[s.id] = s.incarnation
				if !s.draining && !s.down {
					live++
				}
			}
			must.Positive(t, live)
		}
	}
	for id, incarnation := range restarted {
		must.Eq(t, 2, incarnation, must.Sprintf("replica %s has not restarted", id))
	}
}

// Guards against admission control that refuses a query after a sub-request was sent, or that never refuses.
func TestQueriesRefusedBeforeSending(t *testing.T) {
	c := shortCase(t, "load-200")
	c.Duration = time.Second
	r := Run(Tutkal(), c, DefaultStrategy(), 5)
	must.Positive(t, r.Refusals["queries"])
	must.Zero(t, r.Refusals["queries_after_sending"])
}

// Guards against more connections than a replica's limit, summed over all daemons, at twice the load and with caller
// retries.
func TestReplicaConnectionsWithinLimit(t *testing.T) {
	for _, name := range []string{"load-200", "caller-retries"} {
		c := shortCase(t, name)
		c.Duration = time.Second
		r := Run(Tutkal(), c, DefaultStrategy(), 6)
		must.LessEq(t, r.ConnectionLimit, r.PeakConnections)
		must.Zero(t, r.Refusals["connection_limit"], must.Sprint("a replica refused a connection within a daemon's share"))
	}
}
