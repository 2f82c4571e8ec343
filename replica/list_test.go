package replica

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

func vmList(state vmlist.State) []vmlist.VM {
	return []vmlist.VM{{ID: "r", Role: vmlist.RoleBackend, Service: "s", Address: "a", State: state}}
}

func readyLoad(incarnation int64) backend.LoadReport {
	return backend.LoadReport{Incarnation: incarnation, State: backend.StateReady, Slots: 1, Connections: 10}
}

func canPick(g *Registry) bool {
	_, ok := g.Pick("s", snapshot.Version{}, "", nil)
	return ok
}

// TestOutdatedListDoesNotMarkNewIncarnation guards against a new incarnation that is marked as leaving because the VM
// list is out of date and shows the state of the previous incarnation during or after the restart. In a forced update,
// no replica would be used after its restart.
func TestOutdatedListDoesNotMarkNewIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	g := NewRegistry(1)
	g.SetClock(func() time.Time { return now })
	g.SetVMList(vmList(vmlist.StateLive))
	g.SetLoad("r", readyLoad(1), now)
	must.True(t, canPick(g))
	must.Eq(t, []LeavingMark{{Replica: "r", Incarnation: 1}}, g.SetVMList(vmList(vmlist.StateLeaving)))
	must.False(t, canPick(g))
	g.SetLoad("r", readyLoad(2), now)
	must.SliceEmpty(t, g.SetVMList(vmList(vmlist.StateLeaving)))
	must.True(t, canPick(g))
	g.SetVMList(vmList(vmlist.StateLive))
	now = now.Add(maxListLag - time.Second)
	must.SliceEmpty(t, g.SetVMList(vmList(vmlist.StateLeaving)))
	must.True(t, canPick(g))
	now = now.Add(time.Second)
	must.Eq(t, []LeavingMark{{Replica: "r", Incarnation: 2}}, g.SetVMList(vmList(vmlist.StateLeaving)))
	must.False(t, canPick(g))
	g.SetVMList(vmList(vmlist.StateLive))
	must.True(t, canPick(g))
}

// TestListedAsLeavingBeforeFirstLoadReport guards against work for a replica that was already listed as leaving when
// the daemon started, and against a replica that stays unused after the list shows it as live again.
func TestListedAsLeavingBeforeFirstLoadReport(t *testing.T) {
	g := NewRegistry(1)
	g.SetVMList(vmList(vmlist.StateLeaving))
	g.SetLoad("r", readyLoad(1), time.Now())
	must.False(t, canPick(g))
	g.SetVMList(vmList(vmlist.StateLive))
	must.True(t, canPick(g))
}
