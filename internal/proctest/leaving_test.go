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

// leavingBound is the time after the first sign at any daemon from which a leaving backend server gets no new work.
const leavingBound = 3 * time.Second

// work sends searches and orders to an entry daemon, and requires that all are answered.
func work(t *testing.T, f *proctest.Fleet, e proctest.Member, n int) {
	t.Helper()
	for i := range n {
		r, err := f.Query(e, fmt.Sprint(e.Name, i), "item")
		must.True(t, checkAnswer(t, r, err), must.Sprintf("%+v", r))
		r, err = f.Order(e, "plate", proctest.NewKey())
		must.NoError(t, err)
		must.Eq(t, 200, r.Status, must.Sprintf("%+v", r.Error))
	}
}

// received returns the number of sub-requests that reached the backend servers, warm-up included.
func received(t *testing.T, f *proctest.Fleet, backends ...int) (n int64) {
	t.Helper()
	for _, i := range backends {
		c, err := f.Counters(f.Backends[i])
		must.NoError(t, err)
		n += c.Received
	}
	return n
}

// passed returns a condition that holds when the time has passed.
func passed(d time.Duration) func() bool {
	begin := time.Now()
	return func() bool { return time.Since(begin) >= d }
}

// Guards against work for a leaving backend server from a daemon that learns of it only from its peers: the load
// endpoint and the VM list keep saying that the replicas take work, and only the first daemon meets the refusals.
// After their restart both daemons use the replicas again.
func TestDrainLearnedFromPeers(t *testing.T) {
	t.Parallel()
	f := start(t, proctest.Options{Shards: 1, Replicas: 2, Orders: 2, Entries: 2, Deadline: longDeadline})
	observer, other := f.Entries[0], f.Entries[1]
	for _, i := range []int{0, 2} {
		must.NoError(t, f.Control(f.Backends[i], standin.Control{Drain: true, ReportState: backend.StateReady}))
	}
	before := [2]int64{received(t, f, 0), received(t, f, 2)}
	must.NoError(t, proctest.Until(waitLimit, func() bool {
		work(t, f, observer, 1)
		return received(t, f, 0) > before[0] && received(t, f, 2) > before[1]
	}))
	must.NoError(t, proctest.Until(waitLimit, passed(leavingBound)))
	quiet := received(t, f, 0, 2)
	work(t, f, other, 40)
	work(t, f, observer, 40)
	must.Eq(t, quiet, received(t, f, 0, 2))
	requireUse(t, f)
}

// requireUse restarts the leaving replicas 0 and 2, ends the other ones, which a daemon would prefer while the restarted
// ones are cold, and requires that requests through each daemon reach the new incarnations.
func requireUse(t *testing.T, f *proctest.Fleet) {
	t.Helper()
	for _, i := range []int{0, 2} {
		must.NoError(t, f.RestartBackend(i))
		must.NoError(t, proctest.Until(waitLimit, func() bool {
			_, err := f.Counters(f.Backends[i])
			return err == nil
		}))
		f.Backends[i+1].Stop()
	}
	for _, e := range f.Entries {
		for _, i := range []int{0, 2} {
			before := received(t, f, i)
			must.NoError(t, proctest.Until(waitLimit, func() bool {
				// Connections of the ended processes are found broken here, so a failed request is no fault.
				_, _ = f.Query(e, "after the restart", "item")
				_, _ = f.Order(e, "plate", proctest.NewKey())
				return received(t, f, i) > before
			}))
		}
	}
}

// listLeaving starts a fleet, lets the VM list call one search and one order replica leaving, and waits for the bound.
// The replicas themselves say ready and take work. It returns the sub-requests that they had received by then.
func listLeaving(t *testing.T, opt proctest.Options) (*proctest.Fleet, int64) {
	t.Helper()
	opt.Shards, opt.Replicas, opt.Orders, opt.Entries, opt.Deadline = 1, 2, 2, 2, longDeadline
	f := start(t, opt)
	for _, i := range []int{0, 2} {
		must.NoError(t, f.SetListed(f.Backends[i], vmlist.StateLeaving))
	}
	must.NoError(t, proctest.Until(waitLimit, passed(leavingBound)))
	return f, received(t, f, 0, 2)
}

// Guards against work for replicas that only the VM list calls leaving, and against replicas that stay unused after
// a restart because the list lags and still calls them leaving.
func TestLeavingInVMList(t *testing.T) {
	t.Parallel()
	f, quiet := listLeaving(t, proctest.Options{})
	for _, e := range f.Entries {
		work(t, f, e, 40)
	}
	must.Eq(t, quiet, received(t, f, 0, 2))
	requireUse(t, f)
}

// Guards against work from a daemon whose VM list lags while another daemon's list already calls the replicas
// leaving: their load endpoints say ready, so only the peer can tell.
func TestLeavingInVMListReachesPeers(t *testing.T) {
	t.Parallel()
	list := &proctest.FrozenList{}
	f, quiet := listLeaving(t, proctest.Options{EntryList: list.Start})
	t.Cleanup(list.Close)
	work(t, f, f.Entries[1], 40)
	must.Eq(t, quiet, received(t, f, 0, 2))
}
