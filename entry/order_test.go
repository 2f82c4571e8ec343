package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/standin/backend"
	"github.com/chivemill/chivemill/internal/standin/memfleet"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
)

// Guards against an order that runs as a search, and against keys that the claim cannot use.
func TestReadOrderMark(t *testing.T) {
	key := oncerun.NewKey(time.Now()).String()
	cases := []struct {
		keys, marks []string
		want        api.Kind
		order       bool
	}{
		{nil, nil, "", false},
		{nil, []string{"false"}, "", false},
		{[]string{key}, []string{"true"}, "", true},
		{[]string{key}, nil, api.BadRequest, false},
		{[]string{key}, []string{"yes"}, api.BadRequest, false},
		{[]string{key}, []string{"true", "true"}, api.BadRequest, false},
		{nil, []string{"true"}, api.BadKey, false},
		{[]string{key, key}, []string{"true"}, api.BadKey, false},
	}
	for _, c := range cases {
		h := http.Header{api.HeaderKey: c.keys, api.HeaderNonIdempotent: c.marks}
		mark, err := readOrderMark(h)
		if c.want == "" {
			must.NoError(t, err)
			must.Eq(t, c.order, mark.order)
			continue
		}
		must.Eq(t, c.want, api.KindOf(err), must.Sprintf("%v", c))
	}
}

type orderStep struct {
	at, deadline time.Duration
	daemon, key  int
	query        string
	callerGone   time.Duration
}

type orderScenario struct {
	store    [][]kvtest.TxnFault
	replicas [][]backend.Fault
	steps    []orderStep
}

var orderDelays = []time.Duration{
	0, 0, 0, 3 * time.Millisecond, 40 * time.Millisecond, 700 * time.Millisecond, 25 * time.Hour, 60 * time.Hour,
}

func genOrderScenario() *rapid.Generator[orderScenario] {
	delay := rapid.SampledFrom(orderDelays)
	storeFault := rapid.Custom(func(t *rapid.T) kvtest.TxnFault {
		switch rapid.IntRange(0, 7).Draw(t, "fault") {
		case 0:
			return kvtest.TxnFault{DelayBefore: delay.Draw(t, "before"), DelayAfter: delay.Draw(t, "after")}
		case 1:
			return kvtest.TxnFault{LoseResponse: true}
		case 2:
			return kvtest.TxnFault{Unavailable: true}
		case 3:
			return kvtest.TxnFault{ExecuteAfter: time.Nanosecond + delay.Draw(t, "late")}
		case 4:
			return kvtest.TxnFault{KillBefore: true}
		case 5:
			return kvtest.TxnFault{KillAfter: true}
		}
		return kvtest.TxnFault{}
	})
	replicaFault := rapid.Custom(func(t *rapid.T) backend.Fault {
		return backend.Fault{
			Mode:    rapid.SampledFrom(backend.FaultModes()).Draw(t, "mode"),
			DelayMS: rapid.SampledFrom([]int64{0, 0, 30, 2000}).Draw(t, "delay"),
		}
	})
	step := rapid.Custom(func(t *rapid.T) orderStep {
		return orderStep{
			at: delay.Draw(t, "at"), daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
			deadline:   rapid.SampledFrom([]time.Duration{20 * time.Millisecond, time.Second, 100 * time.Hour}).Draw(t, "deadline"),
			key:        rapid.IntRange(0, 2).Draw(t, "key"),
			query:      rapid.SampledFrom([]string{"plate", "plate", "plate", "heater", backend.CrashQuery}).Draw(t, "query"),
			callerGone: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 100 * time.Millisecond}).Draw(t, "gone"),
		}
	})
	return rapid.Custom(func(t *rapid.T) orderScenario {
		return orderScenario{
			store:    rapid.SliceOfN(rapid.SliceOfN(storeFault, 0, 4), 3, 3).Draw(t, "store"),
			replicas: rapid.SliceOfN(rapid.SliceOfN(replicaFault, 0, 4), 3, 3).Draw(t, "replicas"),
			steps:    rapid.SliceOfN(step, 1, 8).Draw(t, "steps"),
		}
	})
}

// orderResult is what a caller saw.
type orderResult struct {
	id     string
	step   orderStep
	output string
	err    error
	killed bool
}

func runOrders(s orderScenario) ([]orderResult, []backend.Execution, []oncerun.Key) {
	fleet := memfleet.New()
	for i, faults := range s.replicas {
		set := backend.Default()
		set.Replica, set.Service, set.ServiceTime = fmt.Sprintf("r%d", i), "orders", 0
		fleet.Start(set).Apply(backend.Control{Faults: faults})
	}
	memory := kvtest.NewMemory(nil)
	var paths []*orderPath
	var daemons []*memfleet.Daemon
	for _, faults := range s.store {
		daemon := fleet.NewDaemon()
		store := kvtest.NewScripted(memory, faults)
		store.OnKill = daemon.Kill
		guard := quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, nil, nil)
		paths = append(paths, &orderPath{runner: oncerun.NewRunner(store, oncerun.Options{}), guard: guard, picker: fleet, sender: daemon})
		daemons = append(daemons, daemon)
	}
	keys := []oncerun.Key{oncerun.NewKey(time.Now()), oncerun.NewKey(time.Now()), oncerun.NewKey(time.Now())}
	results := make([]orderResult, len(s.steps))
	var wg sync.WaitGroup
	for i, step := range s.steps {
		wg.Go(func() {
			testseed.Wait(step.at + time.Duration(i)*time.Microsecond)
			ctx, cancel := context.WithTimeout(context.Background(), step.deadline)
			defer cancel()
			if step.callerGone > 0 {
				time.AfterFunc(step.callerGone, cancel)
			}
			r := orderResult{id: fmt.Sprintf("request-%d", i), step: step}
			r.output, r.err = paths[step.daemon].run(ctx, r.id, api.Query{Service: "orders", Query: step.query}, keys[step.key])
			r.killed = daemons[step.daemon].Dead()
			results[i] = r
		})
	}
	wg.Wait()
	for i := range paths {
		paths[i].runner.Close()
		daemons[i].Close()
	}
	fleet.Stop()
	return results, fleet.Executed(), keys
}

func checkOrders(results []orderResult, executions []backend.Execution, keys []oncerun.Key) error {
	byKey, byRequest := map[string]int{}, map[string]int{}
	for _, e := range executions {
		byKey[e.Key]++
		byRequest[e.Request]++
	}
	for _, key := range keys {
		if n := byKey[key.String()]; n > 1 {
			return fmt.Errorf("key %s executed %d times", key, n)
		}
	}
	for _, r := range results {
		n := byRequest[r.id]
		var e *api.Error
		switch {
		case r.err == nil && (n != 1 || r.output != "done: "+r.step.query):
			return fmt.Errorf("%s: answer %q after %d executions", r.id, r.output, n)
		case r.err == nil || r.killed:
		case !errors.As(r.err, &e):
			return fmt.Errorf("%s: error without kind: %v", r.id, r.err)
		case e.Kind.Outcome().Run == api.RunNever && n != 0:
			return fmt.Errorf("%s: %v after %d executions", r.id, r.err, n)
		case e.Kind.Outcome().Run == api.RunYes && n == 0:
			return fmt.Errorf("%s: %v without execution", r.id, r.err)
		}
	}
	return nil
}

// Guards against a second execution of an order and against a refusal that says run: never after an execution.
// Daemons are killed before and after the store write or paused beyond the retention, store answers are lost or
// late, replicas close, cut, delay, refuse or repeat answers and crash, callers go away and resend through other
// daemons.
func TestOrdersAtMostOnce(t *testing.T) {
	gen := genOrderScenario()
	kinds, executed := map[api.Kind]int{}, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := gen.Draw(rt, "scenario")
		var err error
		synctest.Test(t, func(*testing.T) {
			results, executions, keys := runOrders(s)
			err = checkOrders(results, executions, keys)
			executed += len(executions)
			for _, r := range results {
				if r.err != nil {
					kinds[api.KindOf(r.err)]++
				}
			}
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("%d executions, errors by kind: %v", executed, kinds)
	must.Positive(t, executed)
	for _, kind := range []api.Kind{
		api.AlreadyDispatched, api.KeyConflict, api.KeyExpired, api.OutcomeUnknown, api.StoreUnavailable, api.BackendRefused,
	} {
		must.Positive(t, kinds[kind], must.Sprint(kind))
	}
}

// Guards against a dispatch without time to answer, and against a claim that stays behind after it: the deadline
// ends while the daemon is paused between its claim and the dispatch.
func TestNoTimeLeftRefusesAndReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := []kvtest.TxnFault{{DelayAfter: 997 * time.Millisecond}}
		step := orderStep{deadline: time.Second, query: "plate"}
		resend := orderStep{at: 3 * time.Second, daemon: 1, deadline: time.Second, query: "plate"}
		results, executions, keys := runOrders(orderScenario{
			store: [][]kvtest.TxnFault{pause, nil}, replicas: [][]backend.Fault{nil}, steps: []orderStep{step, resend},
		})
		must.NoError(t, checkOrders(results, executions, keys))
		must.Eq(t, api.BackendRefused, api.KindOf(results[0].err))
		must.Eq(t, "done: plate", results[1].output, must.Sprint(results[1].err))
		must.NoError(t, results[1].err)
		must.Eq(t, 1, len(executions))
	})
}
