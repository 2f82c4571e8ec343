package replica_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

var version = snapshot.Version{Index: 1, Map: 1}

func load(incarnation int64, state backend.State) backend.LoadReport {
	return backend.LoadReport{
		Incarnation: incarnation, State: state, Slots: 5,
		Holdings: []snapshot.Holding{{Version: version, Shard: "s-0"}},
	}
}

func vm(id string, state vmlist.State) vmlist.VM {
	return vmlist.VM{ID: id, Role: vmlist.RoleBackend, Service: "s", DataCentre: "a", Address: id, State: state}
}

// newRegistry returns a registry of ready replicas in incarnation 1 whose clock reads now.
func newRegistry(seed uint64, now *time.Time, ids ...string) *replica.Registry {
	g := replica.NewRegistry(seed)
	g.SetClock(func() time.Time { return *now })
	var vms []vmlist.VM
	for _, id := range ids {
		vms = append(vms, vm(id, vmlist.StateLive))
	}
	g.SetVMList(vms)
	for _, id := range ids {
		g.SetLoad(id, load(1, backend.StateReady), *now)
	}
	return g
}

// TestPickSkipsLeavingIncarnation guards against work for a leaving incarnation, for example because an outdated source
// still reports it as ready, and against a higher incarnation that stays unused. It also guards against more
// sub-requests in flight than the connection share.
func TestPickSkipsLeavingIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		ids := []string{"a", "b", "c"}
		g := newRegistry(1, &now, ids...)
		leaving, known, inFlight := map[string]int64{}, map[string]int64{}, map[string]int{}
		// listMarks holds the incarnations that the list shows as leaving, restarted the times of known restarts.
		listMarks, restarted := map[string]int64{}, map[string]time.Time{}
		const maxInFlight = 3
		for _, id := range ids {
			g.SetConnectionShare(id, maxInFlight)
			known[id] = 1
		}
		id := rapid.SampledFrom(ids)
		incarnation := rapid.Int64Range(1, 4)
		t.Repeat(map[string]func(*rapid.T){
			"load": func(t *rapid.T) {
				id, inc := id.Draw(t, "id"), incarnation.Draw(t, "incarnation")
				state := rapid.SampledFrom([]backend.State{backend.StateReady, backend.StateCold, backend.StateDraining}).Draw(t, "state")
				g.SetLoad(id, load(inc, state), now)
				if inc < known[id] {
					return
				}
				if inc > known[id] {
					restarted[id] = now
				}
				known[id] = inc
				if state == backend.StateDraining {
					leaving[id] = max(leaving[id], inc)
				}
			},
			"mark": func(t *rapid.T) {
				id, inc := id.Draw(t, "id"), incarnation.Draw(t, "incarnation")
				g.MarkLeaving(id, inc)
				leaving[id] = max(leaving[id], inc)
			},
			"list": func(t *rapid.T) {
				leavingID := id.Draw(t, "id")
				vms := []vmlist.VM{}
				for _, id := range ids {
					state := vmlist.StateLive
					if id == leavingID && rapid.Bool().Draw(t, "leaving") {
						state = vmlist.StateLeaving
					}
					// The list is delayed: soon after a restart, it describes the previous incarnation.
					restartedAt, hasRestarted := restarted[id]
					switch {
					case state == vmlist.StateLive:
						listMarks[id] = 0
					case !hasRestarted || now.Sub(restartedAt) >= 5*time.Minute:
						listMarks[id] = known[id]
					}
					vms = append(vms, vm(id, state))
				}
				g.SetVMList(vms)
			},
			"unreachable": func(t *rapid.T) { g.MarkUnreachable(id.Draw(t, "id")) },
			"pick": func(t *rapid.T) {
				r, ok := g.Pick("s", version, "s-0", nil)
				usable := 0
				for _, id := range ids {
					if known[id] > leaving[id] && known[id] != listMarks[id] && inFlight[id] < maxInFlight {
						usable++
					}
				}
				if ok != (usable > 0) {
					t.Fatalf("picked %v with %d usable replicas", ok, usable)
				}
				if !ok {
					return
				}
				if known[r.ID] <= leaving[r.ID] || known[r.ID] == listMarks[r.ID] {
					t.Fatalf("picked %s in incarnation %d, %d is leaving", r.ID, known[r.ID], leaving[r.ID])
				}
				if inFlight[r.ID]++; inFlight[r.ID] > maxInFlight {
					t.Fatalf("%d sub-requests to %s with a share of %d", inFlight[r.ID], r.ID, maxInFlight)
				}
			},
			"done": func(t *rapid.T) {
				id := id.Draw(t, "id")
				if inFlight[id] == 0 {
					return
				}
				inFlight[id]--
				var err error
				if rapid.Bool().Draw(t, "drains") {
					err = &backend.Error{Failure: backend.Refused, Refusal: backend.Refusal{Reason: backend.RefusedDraining,
						Incarnation: known[id]}}
					leaving[id] = max(leaving[id], known[id])
				}
				g.Finish(id, 10*time.Millisecond, err)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"wait long": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "s")) * time.Second)
			},
		})
	})
}

// pickFraction returns the fraction of n picks that choose id. Each sub-request ends before the next pick.
func pickFraction(g *replica.Registry, id string, n int) float64 {
	got := 0
	for range n {
		r, ok := g.Pick("s", version, "s-0", nil)
		if ok && r.ID == id {
			got++
		}
		g.Finish(r.ID, 10*time.Millisecond, nil)
	}
	return float64(got) / float64(n)
}

// TestRestartedReplicaRampsUp guards against full load on a replica that has just restarted, and against a ramp that
// never ends.
func TestRestartedReplicaRampsUp(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newRegistry(2, &now, "a", "b")
	g.SetLoad("a", load(2, backend.StateReady), now)
	g.SetLoad("b", load(1, backend.StateReady), now)
	must.Less(t, 0.1, pickFraction(g, "a", 500))
	now = now.Add(replica.DefaultPolicy().RampDuration)
	g.SetLoad("a", load(2, backend.StateReady), now)
	must.Greater(t, 0.2, pickFraction(g, "a", 500))
}

// TestSheddingReducesConcurrency guards against a replica that sheds load but still gets as many sub-requests as
// before.
func TestSheddingReducesConcurrency(t *testing.T) {
	now := time.Unix(1000, 0)
	g := newRegistry(3, &now, "a")
	for range 10 {
		_, ok := g.Pick("s", version, "s-0", nil)
		must.True(t, ok)
	}
	shed := &backend.Error{Failure: backend.Refused, Refusal: backend.Refusal{Reason: backend.RefusedShedding}}
	g.Finish("a", time.Millisecond, shed)
	_, ok := g.Pick("s", version, "s-0", nil)
	must.False(t, ok, must.Sprint("the limit is 9 in flight after one of 10 was shed"))
	one, _ := g.AvailableFractions("s", version, snapshot.NewUniformMap(1, "s", 1).Shards)
	must.Eq(t, 0.0, one)
}
