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
			c.Length = min(c.Length, 20*time.Second)
			return c
		}
	}
	t.Fatalf("no case %s", name)
	return Case{}
}

// Guards against measurements that cannot be repeated: a hidden clock, an unseeded choice or the order of a map
// would change the figures of a second run.
func TestRunRepeats(t *testing.T) {
	for _, name := range []string{"calm", "update-loss", "flood"} {
		c := shortCase(t, name)
		first, second := Run(Tutkal(), c, Default(), 3), Run(Tutkal(), c, Default(), 3)
		first.CPU, second.CPU = 0, 0
		must.Eq(t, first, second)
	}
}

// Guards against a forced update that leaves a shard without a live replica, which no policy could answer.
func TestUpdateKeepsOneLiveReplica(t *testing.T) {
	c := shortCase(t, "update")
	w := newWorld(Gravura(), c, Default(), 4)
	c.Prepare(w)
	restarted := make(map[string]int64)
	for at := time.Duration(0); at < w.end; at += 100 * time.Millisecond {
		w.engine.run(at)
		for i := 0; i < len(w.servers); i += replicasPerShard {
			live := 0
			for _, s := range w.servers[i : i+replicasPerShard] {
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

// Guards against an admission that refuses a query after a sub-request was sent, and against one that never refuses.
func TestRefusalsComeBeforeSending(t *testing.T) {
	c := shortCase(t, "load-200")
	c.Length = time.Second
	r := Run(Tutkal(), c, Default(), 5)
	must.Positive(t, r.Refusals["queries"])
	must.Zero(t, r.Refusals["queries_after_sending"])
}

// Guards against connections above a replica's limit summed over all daemons, under twice the load and caller retries.
func TestConnectionsStayWithinLimit(t *testing.T) {
	for _, name := range []string{"load-200", "caller-retries"} {
		c := shortCase(t, name)
		c.Length = time.Second
		r := Run(Tutkal(), c, Default(), 6)
		must.LessEq(t, r.Limit, r.Connections)
		must.Zero(t, r.Refusals["connection_limit"], must.Sprint("a replica refused a connection of a daemon's share"))
	}
}
