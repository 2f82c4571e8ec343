package topology

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv"
)

func (f *fleet) evacuate(t must.T, dataCentre string) {
	put(t, f.store, testKeys.Evacuations+dataCentre, map[string]any{})
}

func (f *fleet) endEvacuation(t must.T, dataCentre string) {
	_, err := f.store.Txn(context.Background(), kv.Txn{Deletes: []string{testKeys.Evacuations + dataCentre}})
	must.NoError(t, err)
}

func checkEvacuated(t must.T, all []*daemon, want ...string) {
	for _, d := range all {
		view, _ := d.dir.View()
		must.Eq(t, want, view.Evacuations.DataCentres, must.Sprint(d.name))
	}
}

func startEvacuationFleet(t *testing.T) (*fleet, []*daemon) {
	f := newFleet(t)
	var all []*daemon
	for i := range 6 {
		all = append(all, f.start(fmt.Sprint("d", i), fmt.Sprint("c", i%2), "d0", "d1"))
	}
	testseed.Sleep(5 * time.Second)
	return f, all
}

// TestEvacuationsAreInForceInTime guards an evacuated data centre against daemons that do not learn of it, or of its end, within
// the time in which a change has to be in force: followers, daemons that start, and all of them while a reader is replaced.
func TestEvacuationsAreInForceInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all := startEvacuationFleet(t)
		defer f.stopAll()
		f.evacuate(t, "c1")
		testseed.Sleep(inForceTime)
		checkEvacuated(t, all, "c1")
		f.evacuate(t, "c0")
		for i := range all {
			f.stop(all[i])
			all[i] = f.start(all[i].name, fmt.Sprint("c", i%2), "d0", "d1")
			testseed.Sleep(inForceTime)
			checkEvacuated(t, all, "c0", "c1")
		}
		f.putConfig(t, 2)
		f.endEvacuation(t, "c1")
		testseed.Sleep(inForceTime)
		checkEvacuated(t, all, "c0")
		for _, d := range all {
			must.Eq(t, 2, d.version())
		}
		f.endEvacuation(t, "c0")
		testseed.Sleep(inForceTime)
		checkEvacuated(t, all)
	})
}

// TestEvacuationSurvivesRestoredStore guards an evacuated data centre against a store that comes back from an older copy without
// the evacuation, and daemons against one that remains although it had ended.
func TestEvacuationSurvivesRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all := startEvacuationFleet(t)
		defer f.stopAll()
		older := f.store.Copy()
		f.evacuate(t, "c1")
		testseed.Sleep(inForceTime)
		f.store.Restore(older)
		for range rewriteDelay / (50 * time.Millisecond) {
			testseed.Sleep(50 * time.Millisecond)
			checkEvacuated(t, all, "c1")
		}
		f.evacuate(t, "c1")
		testseed.Sleep(2 * restoredGrace)
		checkEvacuated(t, all, "c1")

		older = f.store.Copy()
		f.evacuate(t, "c0")
		testseed.Sleep(inForceTime)
		f.store.Restore(older)
		testseed.Sleep(2 * restoredGrace)
		checkEvacuated(t, all, "c1")
	})
}

// TestEvacuatedDataCentreHasNoServices guards helpers in an evacuated data centre against requests that they could only send
// elsewhere.
func TestEvacuatedDataCentreHasNoServices(t *testing.T) {
	view := View{Servers: []balancer.Server{{ID: "a", Service: "s", DataCentre: "c0"}, {ID: "b", Service: "s", DataCentre: "c1"}},
		Evacuations: Evacuations{DataCentres: []string{"c1"}}}
	must.Eq(t, map[string][]string{"s": {"c0"}}, view.DataCentresByService())
}

// TestEvacuationsAreOrderedByRevision guards against an evacuation that comes back from a daemon which does not know its end.
func TestEvacuationsAreOrderedByRevision(t *testing.T) {
	d := NewDirectory()
	must.True(t, d.SetEvacuations(Evacuations{5, []string{"c1"}}, false))
	must.False(t, d.SetEvacuations(Evacuations{6, nil}, true), must.Sprint("kept"))
	must.True(t, d.SetEvacuations(Evacuations{7, nil}, false))
	must.False(t, d.SetEvacuations(Evacuations{6, []string{"c1"}}, false))
	view, _ := d.View()
	must.Len(t, 0, view.Evacuations.DataCentres)
	e := Evacuations{}.with("b", true, 3).with("a", true, 4).with("b", true, 5)
	must.True(t, slices.Equal([]string{"a", "b"}, e.DataCentres))
	must.Eq(t, Evacuations{6, []string{"b"}}, e.with("a", false, 6))
}

// oldReadStore answers stale reads with old data and the latest revision.
type oldReadStore struct {
	kv.Store
	old []kv.Item
}

func (s oldReadStore) GetStale(ctx context.Context, key string) (kv.Item, bool, error) {
	return s.Get(ctx, key)
}

func (s oldReadStore) ListStale(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	items, revision, err := s.List(ctx, prefix)
	if prefix == testKeys.Operator {
		items = s.old
	}
	return items, revision, err
}

// TestStaleEvacuationsAreReplaced guards an evacuated data centre against a daemon that starts with a stale read, whose revision
// says nothing about its age.
func TestStaleEvacuationsAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, all := startEvacuationFleet(t)
		defer f.stopAll()
		old, _, err := f.store.List(t.Context(), testKeys.Operator)
		must.NoError(t, err)
		f.evacuate(t, "c1")
		testseed.Sleep(inForceTime)
		f.putServer(t, "r9", balancer.Ready)
		started := f.startAt(oldReadStore{f.store, old}, "late", "c1")
		testseed.Sleep(inForceTime)
		checkEvacuated(t, append(all, started), "c1")
	})
}
