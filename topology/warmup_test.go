package topology

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/routing"
)

func (f *fleet) putColdServer(t must.T, sequence int64, left time.Duration) {
	put(t, f.store, testKeys.Servers+"cold", balancer.Server{ID: "cold", Service: "s", Address: "10.0.0.1:1", StartedAtMs: 1,
		Sequence: sequence, WarmupLeft: left})
}

func (d *daemon) server(id string) balancer.Server {
	view, _ := d.dir.View()
	return byID(view.Servers)[id]
}

// TestWarmupReachesAllDaemons guards a replica that becomes cold again without a restart against daemons that don't learn of it: each rise
// of its remaining warm-up time, also during a warm-up, and its end are known to all within 3 s, and a falling time changes no list. A
// daemon that starts gets the current time. Services without a warm-up rate keep their lists as they are.
func TestWarmupReachesAllDaemons(t *testing.T) {
	for _, rate := range []float64{0, 10} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			put(t, f.store, testKeys.Config, routing.Config{Version: 2, Services: []routing.Service{{Name: "s", WarmupRate: rate}}})
			f.putColdServer(t, 1, 0)
			var all []*daemon
			for i := range 6 {
				all = append(all, f.start(fmt.Sprint("d", i), fmt.Sprint("c", i%2), "d0", "d1"))
			}
			defer f.stopAll()
			testseed.Sleep(5 * time.Second)
			for _, step := range []struct {
				sequence int64
				left     time.Duration
				want     int64
			}{
				{2, 0, 0}, {3, 8 * time.Second, 3}, {4, 7 * time.Second, 3}, {5, 3 * time.Second, 3}, {6, 6 * time.Second, 6},
				{7, time.Second, 6}, {8, 0, 0}, {9, 500 * time.Millisecond, 9}, {10, 0, 0},
			} {
				if rate == 0 {
					step.want = 0
				}
				generations := make([]uint64, len(all))
				previous := make([]int64, len(all))
				for i, d := range all {
					view, _ := d.dir.View()
					generations[i], previous[i] = view.Generation, d.server("cold").WarmupSequence
				}
				f.putColdServer(t, step.sequence, step.left)
				testseed.Sleep(inForceTime)
				for i, d := range all {
					s := d.server("cold")
					must.Eq(t, step.want, s.WarmupSequence, must.Sprintf("%s, %+v", d.name, step))
					view, _ := d.dir.View()
					must.Eq(t, previous[i] != step.want, view.Generation != generations[i], must.Sprintf("%s, %+v", d.name, step))
					if previous[i] != step.want {
						must.Eq(t, step.left, s.WarmupLeft, must.Sprintf("%s, %+v", d.name, step))
					}
				}
				if step.sequence == 5 && rate > 0 {
					late := f.start("late", "c0", "d0", "d1")
					testseed.Sleep(3 * time.Second)
					must.Eq(t, 3, late.server("cold").WarmupSequence)
					must.LessEq(t, 8*time.Second, late.server("cold").WarmupLeft)
					all = append(all, late)
				}
			}
		})
	}
}

// TestWarmupIsKeptUpToDate guards against a rise that is missed, and against a daemon that starts and takes a replica for cold for longer
// than it is, because the list still has the remaining time of the beginning of the warm-up. Views in use don't change.
func TestWarmupIsKeptUpToDate(t *testing.T) {
	d := NewDirectory()
	_, err := d.SetConfig(routing.Config{Version: 1, Services: []routing.Service{{Name: "s", WarmupRate: 1}}})
	must.NoError(t, err)
	now := time.Unix(1000, 0)
	set := func(sequence int64, left time.Duration) balancer.Server {
		now = now.Add(time.Second)
		_, ok := d.SetServers(List{Servers: []balancer.Server{{ID: "a", Service: "s", Sequence: sequence, WarmupLeft: left}}, ReadAt: now})
		must.True(t, ok)
		view, _ := d.View()
		return view.Servers[0]
	}
	must.Eq(t, 1, set(1, 4*time.Second).WarmupSequence)
	view, _ := d.View()
	must.Eq(t, 2*time.Second, set(3, 2*time.Second).WarmupLeft)
	must.Eq(t, 4*time.Second, view.Servers[0].WarmupLeft, must.Sprint("a view that is in use"))
	digest := view.Digest
	view, _ = d.View()
	must.Eq(t, digest, view.Digest)
	must.Eq(t, 4, set(4, 3*time.Second).WarmupSequence)
	view, _ = d.View()
	must.NotEq(t, digest, view.Digest)
	must.Eq(t, 0, set(5, 0).WarmupSequence)
	_, err = d.SetConfig(routing.Config{Version: 2, Services: []routing.Service{{Name: "s"}}})
	must.NoError(t, err)
	must.Eq(t, 0, set(6, 4*time.Second).WarmupSequence)
}
