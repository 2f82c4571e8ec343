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

// binaries is the directory of the binaries that TestMain builds.
var binaries string

// waitTimeout limits each wait for a condition; it is long enough for a busy machine.
const waitTimeout = 20 * time.Second

// longDeadline is the deadline of the profile in tests that require complete answers, which take long on a busy
// machine.
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
	t.Cleanup(f.Kill)
	must.NoError(t, err)
	return f
}

// checkAnswer requires a search answer with consistent coverage, or an error whose status matches its kind. It reports
// whether the answer has full coverage. Query has checked the nonce.
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

// Guards against wrong answers after a backend server is killed: every answer arrives completely, has the nonce of its
// request and states its coverage, and the coverage becomes complete again through the other replica.
func TestKilledBackendServer(t *testing.T) {
	f := start(t, proctest.Options{Shards: 2, Replicas: 2, Entries: 1})
	for i := range 20 {
		r, err := f.Query(f.Entries[0], fmt.Sprint("before ", i), "item")
		checkAnswer(t, r, err)
	}
	must.NoError(t, f.Backends[0].Signal(syscall.SIGKILL))
	consecutiveComplete := 0
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
		r, err := f.Query(f.Entries[0], fmt.Sprint("after ", consecutiveComplete), "item")
		if checkAnswer(t, r, err) {
			consecutiveComplete++
		} else {
			consecutiveComplete = 0
		}
		return consecutiveComplete == 20
	}))
}

// checkOrders requires that the last reply for each idempotency key agrees with the number of executions: at most one,
// exactly one after a success, none if the reply says that the order never ran and is not a key conflict.
func checkOrders(t *testing.T, f *proctest.Fleet, replies map[string]proctest.Reply) {
	t.Helper()
	executions, err := f.Executions()
	must.NoError(t, err)
	for key, r := range replies {
		n := executions[key]
		must.LessEq(t, 1, n, must.Sprintf("executions of key %s", key))
		switch {
		case r.Status == http.StatusOK:
			must.Eq(t, 1, n)
		case r.Error.Run == api.RunNever && r.Error.Kind != api.KeyConflict:
			must.Eq(t, 0, n, must.Sprintf("key %s was answered with %s", key, r.Error.Kind))
		}
	}
}

// Guards against a second execution of an order: an entry daemon is killed while it handles orders, and the callers
// resend their orders through another daemon.
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
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool { return answered.Load() > 200 }))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGKILL))
	wg.Wait()
	must.Greater(t, 200, len(replies))
	checkOrders(t, f, replies)
}

// Guards against a second execution of an order if a daemon is paused between claiming the idempotency key and
// dispatching the order: the claim blocks the resend through another daemon, the daemon refuses the order if it resumes
// after the deadline, and then the resent order is executed exactly once.
func TestPausedBetweenClaimAndDispatch(t *testing.T) {
	proxy := proctest.NewHoldingProxy()
	f := start(t, proctest.Options{Orders: 2, Entries: 2, FirstEntryStore: proxy.Start})
	t.Cleanup(proxy.Close)
	key := proctest.NewKey()
	first := make(chan proctest.Reply, 1)
	proxy.Arm()
	go func() {
		r, _ := f.Order(f.Entries[0], "plate", key)
		first <- r
	}()
	<-proxy.Held
	// The daemon has already received the order, so its deadline ends before this time plus the deadline of the
	// profile.
	begin := time.Now()
	must.NoError(t, f.Entries[0].Signal(syscall.SIGSTOP))
	must.NoError(t, proctest.WaitUntil(waitTimeout, f.Entries[0].Paused))
	close(proxy.Release)
	// The profile's deadline is 1 s.
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
		r, err := f.Order(f.Entries[1], "plate", key)
		must.NoError(t, err)
		must.Eq(t, api.AlreadyDispatched, r.Error.Kind)
		return time.Since(begin) > 1500*time.Millisecond
	}))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGCONT))
	r := <-first
	must.Eq(t, api.RunNever, r.Error.Run, must.Sprintf("%+v", r))
	checkOrders(t, f, map[string]proctest.Reply{key: r})
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
		r, err := f.Order(f.Entries[1], "plate", key)
		must.NoError(t, err)
		return r.Status == http.StatusOK
	}))
	executions, err := f.Executions()
	must.NoError(t, err)
	must.Eq(t, 1, executions[key])
}

// Guards against requests that fail because of a planned shutdown: callers use only daemons whose readiness check
// succeeds, as the load balancer does, and every request must succeed while one daemon shuts down.
func TestPlannedShutdownUnderLoad(t *testing.T) {
	f := start(t, proctest.Options{Shards: 2, Replicas: 2, Entries: 2})
	var useFirst, stop atomic.Bool
	useFirst.Store(true)
	var total, failed atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = proctest.WaitUntil(time.Minute, func() bool {
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
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool { return total.Load() > 100 }))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGTERM))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGTERM))
	status, err := f.Entries[0].Wait(waitTimeout)
	stop.Store(true)
	wg.Wait()
	must.NoError(t, err)
	must.Eq(t, 0, status)
	must.Eq(t, 0, failed.Load())
}

// Guards against a planned shutdown that aborts requests in flight: a slow query and a slow order that started before
// SIGTERM must be answered although the daemon no longer accepts new requests.
func TestPlannedShutdownFinishesRequestsInFlight(t *testing.T) {
	f := start(t, proctest.Options{Shards: 1, Replicas: 1, Orders: 1, Entries: 1, NoBalancerLag: true, Deadline: longDeadline})
	// The requests take longer than all other waits of a planned shutdown, so they are answered only if it waits for
	// them.
	slow := standin.Control{Faults: []standin.Fault{{DelayMS: 4000}}}
	for _, b := range f.Backends {
		must.NoError(t, f.Control(b, slow))
	}
	statuses := make(chan string, 2)
	send := func(request func() (proctest.Reply, error)) {
		r, err := request()
		statuses <- fmt.Sprint(r.Status, err)
	}
	go send(func() (proctest.Reply, error) { return f.Query(f.Entries[0], "slow", "item") })
	go send(func() (proctest.Reply, error) { return f.Order(f.Entries[0], "slow", proctest.NewKey()) })
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
		searchBusy, _ := f.BusySlots(f.Backends[0])
		orderBusy, _ := f.BusySlots(f.Backends[1])
		return searchBusy == 1 && orderBusy == 1
	}))
	must.NoError(t, f.Entries[0].Signal(syscall.SIGTERM))
	must.Eq(t, "200 <nil>", <-statuses)
	must.Eq(t, "200 <nil>", <-statuses)
	status, err := f.Entries[0].Wait(waitTimeout)
	must.NoError(t, err)
	must.Eq(t, 0, status)
}

// Guards against new sub-requests to a draining backend server: while queries and orders continue, the last one must
// arrive at most 3 s after the start of the drain.
func TestDrainedBackendServerGetsNoWork(t *testing.T) {
	f := start(t, proctest.Options{Shards: 1, Replicas: 2, Orders: 2, Entries: 2, DrainFor: 4500 * time.Millisecond})
	must.NoError(t, f.Backends[0].Signal(syscall.SIGTERM))
	must.NoError(t, f.Backends[2].Signal(syscall.SIGTERM))
	var lastWorkMS [2]int64
	requests := 0
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool {
		for _, e := range f.Entries {
			r, err := f.Query(e, fmt.Sprint(requests), "item")
			checkAnswer(t, r, err)
			_, err = f.Order(e, "plate", proctest.NewKey())
			must.NoError(t, err)
			requests++
		}
		for i, b := range []proctest.ServerProcess{f.Backends[0], f.Backends[2]} {
			if c, err := f.Counters(b); err == nil {
				lastWorkMS[i] = c.LastWorkAfterDrainMS
			}
		}
		return f.Backends[0].Exited() && f.Backends[2].Exited()
	}))
	must.Greater(t, 20, requests)
	must.LessEq(t, 3000, lastWorkMS[0])
	must.LessEq(t, 3000, lastWorkMS[1])
}

// Guards against orders that are executed without a claim and against queries that fail because of the store: during an
// outage of the store, orders are refused with "run: never" and queries are answered. Lost responses of the store must
// not cause a second execution.
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
	for lostAnswers := range 4 {
		must.NoError(t, f.SetStoreFaults(store.FaultsBody{LoseAnswers: lostAnswers}))
		key := proctest.NewKey()
		r, err := f.Order(entry, "plate", key)
		must.NoError(t, err)
		replies[key] = r
	}
	must.NoError(t, f.SetStoreFaults(store.FaultsBody{}))
	checkOrders(t, f, replies)
}
