package proctest_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/proctest"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/store"
)

var binaries string

// waitLimit bounds each wait for a condition, with room for a busy machine.
const waitLimit = 20 * time.Second

// longDeadline is the profile's deadline in tests that require whole answers, which a busy machine can delay.
const longDeadline = 10 * time.Second

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proctest")
	if err == nil {
		binaries = dir
		err = proctest.Build(context.Background(), "../..", dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func start(t *testing.T, opt proctest.Options) *proctest.Fleet {
	t.Helper()
	f, err := proctest.StartFleet(binaries, t.TempDir(), opt)
	t.Cleanup(f.Stop)
	must.NoError(t, err)
	return f
}

// checkAnswer checks a search reply: complete with its own nonce, or an error of a known kind.
func checkAnswer(t *testing.T, r proctest.Reply, err error) bool {
	t.Helper()
	must.NoError(t, err)
	if r.Status != http.StatusOK {
		must.Eq(t, r.Error.Kind.Outcome().Status, r.Status)
		return false
	}
	must.Eq(t, len(r.Answer.Coverage.Missing) == 0, r.Answer.Coverage.Complete)
	return r.Answer.Coverage.Complete
}

// Guards against wrong answers while a backend server is killed: every answer is whole, carries its request's nonce
// and states its coverage, and the queries become complete again through the other replica.
func TestKilledBackendServer(t *testing.T) {
	f := start(t, proctest.Options{Shards: 2, Replicas: 2, Entries: 1})
	for i := range 20 {
		r, err := f.Query(f.Entries[0], fmt.Sprint("before ", i), "item")
		checkAnswer(t, r, err)
	}
	must.NoError(t, f.Backends[0].Signal(syscall.SIGKILL))
	complete := 0
	must.NoError(t, proctest.Until(waitLimit, func() bool {
		r, err := f.Query(f.Entries[0], fmt.Sprint("after ", complete), "item")
		if checkAnswer(t, r, err) {
			complete++
		} else {
			complete = 0
		}
		return complete == 20
	}))
}

// checkOrders compares the last reply to each key with the execution log.
func checkOrders(t *testing.T, f *proctest.Fleet, replies map[string]proctest.Reply) {
	t.Helper()
	executions, err := f.Executions()
	must.NoError(t, err)
	for key, r := range replies {
		n := executions[key]
		must.LessEq(t, 1, n, must.Sprintf("executions of %s", key))
		switch {
		case r.Status == http.StatusOK:
			must.Eq(t, 1, n)
		case r.Error.Run == api.RunNever && r.Error.Kind != api.KeyConflict:
			must.Eq(t, 0, n, must.Sprintf("%s answered %s", key, r.Error.Kind))
		}
	}
}

// Guards against a second execution after an entry daemon was killed during orders and their callers resent every
// order through another daemon.
func TestKilledEntryDaemonDuringOrders(t *testing.T) {
	f := start(t, proctest.Options{Orders: 2, Entries: 2})
	replies := make(map[string]proctest.Reply)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answered atomic.Int64
	for range 8 {
		wg.Go(func() {
			for f.Ready(f.Entries[0]) {
				key := proctest.NewKey()
				r, err := f.Order(f.Entries[0], "plate", key)
				if err != nil {
					r, err = f.Order(f.Entries[1], "plate", key)
				}
				if err == nil {
					mu.Lock()
					replies[key] = r
					mu.Unlock()
				}
				answered.Add(1)
			}
		})
	}
	must.NoError(t, proctest.Until(waitLimit, func() bool { return answered.Load() > 200 }))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGKILL))
	wg.Wait()
	must.Greater(t, 200, len(replies))
	checkOrders(t, f, replies)
}

// Guards against a dispatch by a daemon that was stopped between its claim and the dispatch: its claim holds off
// the resend through another daemon, it refuses the order after its deadline, and the resend runs once.
func TestPausedBetweenClaimAndDispatch(t *testing.T) {
	proxy := proctest.NewHoldingProxy()
	f := start(t, proctest.Options{Orders: 2, Entries: 2, EntryStore: proxy.Start})
	t.Cleanup(proxy.Close)
	key := proctest.NewKey()
	first := make(chan proctest.Reply, 1)
	proxy.Arm()
	go func() {
		r, _ := f.Order(f.Entries[0], "plate", key)
		first <- r
	}()
	<-proxy.Held
	// The daemon has received the order, so its deadline runs from an earlier time than this.
	begin := time.Now()
	must.NoError(t, f.Entries[0].Signal(syscall.SIGSTOP))
	must.NoError(t, proctest.Until(waitLimit, f.Entries[0].Paused))
	close(proxy.Release)
	// The profile's deadline is 1 s.
	must.NoError(t, proctest.Until(waitLimit, func() bool {
		r, err := f.Order(f.Entries[1], "plate", key)
		must.NoError(t, err)
		must.Eq(t, api.AlreadyDispatched, r.Error.Kind)
		return time.Since(begin) > 1500*time.Millisecond
	}))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGCONT))
	r := <-first
	must.Eq(t, api.RunNever, r.Error.Run, must.Sprintf("%+v", r))
	checkOrders(t, f, map[string]proctest.Reply{key: r})
	must.NoError(t, proctest.Until(waitLimit, func() bool {
		r, err := f.Order(f.Entries[1], "plate", key)
		must.NoError(t, err)
		return r.Status == http.StatusOK
	}))
	executions, err := f.Executions()
	must.NoError(t, err)
	must.Eq(t, 1, executions[key])
}

// Guards against requests that a planned shutdown interrupts: callers use the daemons whose readiness check
// succeeds, as the load balancer does, and every request is answered while one daemon stops.
func TestPlannedShutdownUnderLoad(t *testing.T) {
	f := start(t, proctest.Options{Shards: 2, Replicas: 2, Entries: 2})
	var useFirst, stop atomic.Bool
	useFirst.Store(true)
	var total, failed atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = proctest.Until(time.Minute, func() bool {
			useFirst.Store(f.Ready(f.Entries[0]))
			return stop.Load()
		})
	})
	for range 4 {
		wg.Go(func() {
			for !stop.Load() {
				e := f.Entries[1]
				if useFirst.Load() && total.Load()%2 == 0 {
					e = f.Entries[0]
				}
				r, err := f.Query(e, fmt.Sprint(total.Add(1)), "item-000")
				if err != nil || r.Status != http.StatusOK {
					failed.Add(1)
					t.Logf("%s: %v %+v", e.Name, err, r.Error)
				}
			}
		})
	}
	must.NoError(t, proctest.Until(waitLimit, func() bool { return total.Load() > 100 }))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGTERM))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGTERM))
	status, err := f.Entries[0].Wait(waitLimit)
	stop.Store(true)
	wg.Wait()
	must.NoError(t, err)
	must.Eq(t, 0, status)
	must.Eq(t, 0, failed.Load())
}

// Guards against a shutdown that cuts requests in flight: a slow query and a slow order that started before SIGTERM
// are answered although the daemon accepts nothing new.
func TestPlannedShutdownFinishesRequestsInFlight(t *testing.T) {
	f := start(t, proctest.Options{Shards: 1, Replicas: 1, Orders: 1, Entries: 1, NoBalancerLag: true, Deadline: longDeadline})
	// The requests take longer than all other waits of a stop, so that only the wait for them can save them.
	slow := standin.Control{Faults: []standin.Fault{{DelayMS: 4000}}}
	for _, b := range f.Backends {
		must.NoError(t, f.Control(b, slow))
	}
	statuses := make(chan string, 2)
	send := func(fn func() (proctest.Reply, error)) {
		r, err := fn()
		statuses <- fmt.Sprint(r.Status, err)
	}
	go send(func() (proctest.Reply, error) { return f.Query(f.Entries[0], "slow", "item") })
	go send(func() (proctest.Reply, error) { return f.Order(f.Entries[0], "slow", proctest.NewKey()) })
	must.NoError(t, proctest.Until(waitLimit, func() bool {
		search, _ := f.Busy(f.Backends[0])
		order, _ := f.Busy(f.Backends[1])
		return search == 1 && order == 1
	}))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGTERM))
	must.Eq(t, "200 <nil>", <-statuses)
	must.Eq(t, "200 <nil>", <-statuses)
	status, err := f.Entries[0].Wait(waitLimit)
	must.NoError(t, err)
	must.Eq(t, 0, status)
}

// Guards against new work for a backend server that is leaving: the latest sub-request that reaches it arrives at
// most 3 s after it started to drain, while queries and orders continue.
func TestDrainedBackendServerGetsNoWork(t *testing.T) {
	f := start(t, proctest.Options{Shards: 1, Replicas: 2, Orders: 2, Entries: 2, DrainFor: 4500 * time.Millisecond})
	must.NoError(t, f.Backends[0].Signal(syscall.SIGTERM))
	must.NoError(t, f.Backends[2].Signal(syscall.SIGTERM))
	var last [2]int64
	requests := 0
	must.NoError(t, proctest.Until(waitLimit, func() bool {
		for _, e := range f.Entries {
			r, err := f.Query(e, fmt.Sprint(requests), "item")
			checkAnswer(t, r, err)
			_, err = f.Order(e, "plate", proctest.NewKey())
			must.NoError(t, err)
			requests++
		}
		for i, b := range []proctest.Member{f.Backends[0], f.Backends[2]} {
			if c, err := f.Counters(b); err == nil {
				last[i] = c.LastWorkAfterDrainMS
			}
		}
		return f.Backends[0].Exited() && f.Backends[2].Exited()
	}))
	must.Greater(t, 20, requests)
	must.LessEq(t, 3000, last[0])
	must.LessEq(t, 3000, last[1])
}

// Guards against orders that run without a claim and against queries that stop with the store: during an outage
// orders are refused with run: never and queries are answered; lost store answers do not cause a second execution.
func TestStoreDownAndLostAnswers(t *testing.T) {
	f := start(t, proctest.Options{Shards: 1, Replicas: 1, Orders: 1, Entries: 1})
	entry := f.Entries[0]
	must.NoError(t, f.SetStoreFaults(store.FaultsBody{Down: true}))
	replies := make(map[string]proctest.Reply)
	for i := range 5 {
		key := proctest.NewKey()
		r, err := f.Order(entry, "plate", key)
		must.NoError(t, err)
		must.Eq(t, api.StoreUnavailable, r.Error.Kind)
		replies[key] = r
		r, err = f.Query(entry, fmt.Sprint(i), "item")
		must.True(t, checkAnswer(t, r, err))
	}
	checkOrders(t, f, replies)
	for lost := range 4 {
		must.NoError(t, f.SetStoreFaults(store.FaultsBody{LoseAnswers: lost}))
		key := proctest.NewKey()
		r, err := f.Order(entry, "plate", key)
		must.NoError(t, err)
		replies[key] = r
	}
	must.NoError(t, f.SetStoreFaults(store.FaultsBody{}))
	checkOrders(t, f, replies)
}
