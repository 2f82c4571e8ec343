package proctest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/proctest"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/vmlist"
)

// drainingGrace is how long a leaving backend server may still get new requests after the first daemon could notice
// that it is leaving.
const drainingGrace = 3 * time.Second

// sendRequests sends n searches and n orders to an entry daemon, and requires that all are answered completely.
func sendRequests(t *testing.T, f *proctest.Fleet, e proctest.ServerProcess, n int) {
	t.Helper()
	for i := range n {
		r, err := f.Query(e, fmt.Sprint(e.Name, i), "item")
		must.True(t, checkAnswer(t, r, err), must.Sprintf("%+v", r))
		r, err = f.Order(e, "plate", proctest.NewKey())
		must.NoError(t, err)
		must.Eq(t, 200, r.Status, must.Sprintf("%+v", r.Error))
	}
}

// receivedCount returns the number of sub-requests that reached the backend servers, including those of StartFleet.
func receivedCount(t *testing.T, f *proctest.Fleet, backends ...int) (n int64) {
	t.Helper()
	for _, i := range backends {
		c, err := f.Counters(f.Backends[i])
		must.NoError(t, err)
		n += c.Received
	}
	return n
}

// elapsed returns a condition that is met once the duration has elapsed.
func elapsed(d time.Duration) func() bool {
	begin := time.Now()
	return func() bool { return time.Since(begin) >= d }
}

// Guards against requests to a draining backend server from a daemon that can learn of the drain only from its peers:
// the load endpoint and the VM list still report that the replicas accept requests, and only the first daemon receives
// refusals. After a restart of the replicas both daemons must use them again.
func TestDrainLearnedFromPeers(t *testing.T) {
	t.Parallel()
	f := start(t, proctest.Options{Shards: 1, Replicas: 2, Orders: 2, Entries: 2, Deadline: longDeadline})
	informed, uninformed := f.Entries[0], f.Entries[1]
	for _, i := range []int{0, 2} {
		must.NoError(t, f.Control(f.Backends[i], standin.Control{Drain: true, ReportState: backend.StateReady}))
	}
	before := [2]int64{receivedCount(t, f, 0), receivedCount(t, f, 2)}
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
		sendRequests(t, f, informed, 1)
		return receivedCount(t, f, 0) > before[0] && receivedCount(t, f, 2) > before[1]
	}))
	must.NoError(t, proctest.WaitUntil(waitTimeout, elapsed(drainingGrace)))
	receivedBefore := receivedCount(t, f, 0, 2)
	sendRequests(t, f, uninformed, 40)
	sendRequests(t, f, informed, 40)
	must.Eq(t, receivedBefore, receivedCount(t, f, 0, 2))
	requireReplicasUsed(t, f)
}

// requireReplicasUsed restarts the leaving replicas 0 and 2 and requires that requests through each daemon reach the
// new incarnations. It kills the other replicas, which a daemon would prefer while the restarted ones are warming up.
func requireReplicasUsed(t *testing.T, f *proctest.Fleet) {
	t.Helper()
	for _, i := range []int{0, 2} {
		must.NoError(t, f.RestartBackend(i))
		must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
			_, err := f.Counters(f.Backends[i])
			return err == nil
		}))
		f.Backends[i+1].Kill()
	}
	for _, e := range f.Entries {
		for _, i := range []int{0, 2} {
			before := receivedCount(t, f, i)
			must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
				// A request may fail here, because daemons find out only now that connections to the killed processes
				// are broken.
				_, _ = f.Query(e, "after the restart", "item")
				_, _ = f.Order(e, "plate", proctest.NewKey())
				return receivedCount(t, f, i) > before
			}))
		}
	}
}

// startWithLeavingReplicas starts a fleet, marks one search and one order replica as leaving in the VM list and waits
// for drainingGrace. The replicas themselves report that they are ready and accept requests. It returns the number of
// sub-requests that they have received until then.
func startWithLeavingReplicas(t *testing.T, opt proctest.Options) (*proctest.Fleet, int64) {
	t.Helper()
	opt.Shards, opt.Replicas, opt.Orders, opt.Entries, opt.Deadline = 1, 2, 2, 2, longDeadline
	f := start(t, opt)
	for _, i := range []int{0, 2} {
		must.NoError(t, f.SetVMState(f.Backends[i], vmlist.StateLeaving))
	}
	must.NoError(t, proctest.WaitUntil(waitTimeout, elapsed(drainingGrace)))
	return f, receivedCount(t, f, 0, 2)
}

// Guards against requests to replicas that are leaving according to the VM list alone, and against replicas that stay
// unused after a restart because the VM list is out of date and still has them as leaving.
func TestReplicasLeavingInVMList(t *testing.T) {
	t.Parallel()
	f, receivedBefore := startWithLeavingReplicas(t, proctest.Options{})
	for _, e := range f.Entries {
		sendRequests(t, f, e, 40)
	}
	must.Eq(t, receivedBefore, receivedCount(t, f, 0, 2))
	requireReplicasUsed(t, f)
}

// Guards against requests to leaving replicas from a daemon whose VM list is out of date: the load endpoints report
// that the replicas are ready, so the daemon can learn it only from another daemon, which has the current list.
func TestLeavingStateReachesPeers(t *testing.T) {
	t.Parallel()
	staleList := &proctest.StaleVMList{}
	f, receivedBefore := startWithLeavingReplicas(t, proctest.Options{LastEntryVMList: staleList.Start})
	t.Cleanup(staleList.Close)
	sendRequests(t, f, f.Entries[1], 40)
	must.Eq(t, receivedBefore, receivedCount(t, f, 0, 2))
}
