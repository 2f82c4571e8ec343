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

// Guards against a non-idempotent request that is executed as a search, and against invalid keys.
func TestParseIdempotencyHeaders(t *testing.T) {
	key := oncerun.NewKey(time.Now()).String()
	cases := []struct {
		keys, flags   []string
		want          api.Kind
		nonIdempotent bool
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
		h := http.Header{api.HeaderIdempotencyKey: c.keys, api.HeaderNonIdempotent: c.flags}
		headers, err := parseIdempotencyHeaders(h)
		if c.want == "" {
			must.NoError(t, err)
			must.Eq(t, c.nonIdempotent, headers.nonIdempotent)
			continue
		}
		must.Eq(t, c.want, api.KindOf(err), must.Sprintf("%v", c))
	}
}

type nonIdempotentStep struct {
	at, deadline time.Duration
	daemon, key  int
	query        string
	cancelAfter  time.Duration
}

// nonIdempotentScenario is a list of requests with the faults of the store, per daemon, and of the replicas.
type nonIdempotentScenario struct {
	store    [][]kvtest.TxnFault
	replicas [][]backend.Fault
	steps    []nonIdempotentStep
}

var requestDelays = []time.Duration{
	0, 0, 0, 3 * time.Millisecond, 40 * time.Millisecond, 700 * time.Millisecond, 25 * time.Hour, 60 * time.Hour,
}

func genNonIdempotentScenario() *rapid.Generator[nonIdempotentScenario] {
	delay := rapid.SampledFrom(requestDelays)
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
	step := rapid.Custom(func(t *rapid.T) nonIdempotentStep {
		return nonIdempotentStep{
			at: delay.Draw(t, "at"), daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
			deadline:    rapid.SampledFrom([]time.Duration{20 * time.Millisecond, time.Second, 100 * time.Hour}).Draw(t, "deadline"),
			key:         rapid.IntRange(0, 2).Draw(t, "key"),
			query:       rapid.SampledFrom([]string{"plate", "plate", "plate", "heater", backend.CrashQuery}).Draw(t, "query"),
			cancelAfter: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 100 * time.Millisecond}).Draw(t, "gone"),
		}
	})
	return rapid.Custom(func(t *rapid.T) nonIdempotentScenario {
		return nonIdempotentScenario{
			store:    rapid.SliceOfN(rapid.SliceOfN(storeFault, 0, 4), 3, 3).Draw(t, "store"),
			replicas: rapid.SliceOfN(rapid.SliceOfN(replicaFault, 0, 4), 3, 3).Draw(t, "replicas"),
			steps:    rapid.SliceOfN(step, 1, 8).Draw(t, "steps"),
		}
	})
}

// nonIdempotentResult is the result of one request as its caller received it.
type nonIdempotentResult struct {
	id     string
	step   nonIdempotentStep
	output string
	err    error
	killed bool
}

func runNonIdempotent(s nonIdempotentScenario) ([]nonIdempotentResult, []backend.Execution, []oncerun.Key) {
	fleet := memfleet.New()
	for i, faults := range s.replicas {
		cfg := backend.Default()
		cfg.Replica, cfg.Service, cfg.ServiceTime = fmt.Sprintf("r%d", i), "orders", 0
		fleet.Start(cfg).ApplyControl(backend.Control{Faults: faults})
	}
	memory := kvtest.NewMemory(nil)
	var runners []*nonIdempotentRunner
	var daemons []*memfleet.Daemon
	for _, faults := range s.store {
		daemon := fleet.NewDaemon()
		store := kvtest.NewScripted(memory, faults)
		store.OnKill = daemon.Kill
		guard := quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, nil, nil)
		runners = append(runners, &nonIdempotentRunner{runner: oncerun.NewRunner(store, oncerun.Options{}), guard: guard,
			picker: fleet, sender: daemon})
		daemons = append(daemons, daemon)
	}
	keys := []oncerun.Key{oncerun.NewKey(time.Now()), oncerun.NewKey(time.Now()), oncerun.NewKey(time.Now())}
	results := make([]nonIdempotentResult, len(s.steps))
	var wg sync.WaitGroup
	for i, step := range s.steps {
		wg.Go(func() {
			testseed.Sleep(step.at + time.Duration(i)*time.Microsecond)
			ctx, cancel := context.WithTimeout(context.Background(), step.deadline)
			defer cancel()
			if step.cancelAfter > 0 {
				time.AfterFunc(step.cancelAfter, cancel)
			}
			r := nonIdempotentResult{id: fmt.Sprintf("request-%d", i), step: step}
			r.output, r.err = runners[step.daemon].run(ctx, r.id, api.Query{Service: "orders", Query: step.query}, keys[step.key])
			r.killed = daemons[step.daemon].Killed()
			results[i] = r
		})
	}
	wg.Wait()
	for i := range runners {
		runners[i].runner.Close()
		daemons[i].Close()
	}
	fleet.Stop()
	return results, fleet.Executions(), keys
}

// checkAtMostOnce compares the results that callers received with the executions on the backend servers.
func checkAtMostOnce(results []nonIdempotentResult, executions []backend.Execution, keys []oncerun.Key) error {
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

// Guards against a second execution of a non-idempotent request and against an error that states run: never after an
// execution. Daemons are killed before and after the store write or paused beyond the retention of claims; store
// answers are lost or late; replicas crash, refuse, close connections, and truncate, delay or repeat answers; callers
// disconnect and resend through other daemons.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	gen := genNonIdempotentScenario()
	kinds, executed := map[api.Kind]int{}, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := gen.Draw(rt, "scenario")
		var err error
		synctest.Test(t, func(*testing.T) {
			results, executions, keys := runNonIdempotent(s)
			err = checkAtMostOnce(results, executions, keys)
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

// Guards against a dispatch without enough time left, and against a claim that is not released in that case. The
// deadline passes while the daemon is paused between its claim and the dispatch.
func TestNoTimeLeftReleasesClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pause := []kvtest.TxnFault{{DelayAfter: 997 * time.Millisecond}}
		step := nonIdempotentStep{deadline: time.Second, query: "plate"}
		resend := nonIdempotentStep{at: 3 * time.Second, daemon: 1, deadline: time.Second, query: "plate"}
		results, executions, keys := runNonIdempotent(nonIdempotentScenario{
			store: [][]kvtest.TxnFault{pause, nil}, replicas: [][]backend.Fault{nil}, steps: []nonIdempotentStep{step, resend},
		})
		must.NoError(t, checkAtMostOnce(results, executions, keys))
		must.Eq(t, api.BackendRefused, api.KindOf(results[0].err))
		must.Eq(t, "done: plate", results[1].output, must.Sprint(results[1].err))
		must.NoError(t, results[1].err)
		must.Eq(t, 1, len(executions))
	})
}
