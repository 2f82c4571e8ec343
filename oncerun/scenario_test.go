package oncerun_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/oncerun"
)

const (
	retention  = 24 * time.Hour
	margin     = 5 * time.Minute
	leaseShare = 10 * time.Second
)

// claimAction is what happens to a request after its claim.
type claimAction string

type step struct {
	at      time.Duration
	daemon  int
	key     int
	query   string
	pause   time.Duration
	action  claimAction
	timeout time.Duration
}

type scenario struct {
	skews []time.Duration
	// created is the creation time of each key by the caller's clock, relative to the start. The caller's clock
	// may be wrong by more than the margin.
	created []time.Duration
	faults  [][]kvtest.TxnFault
	steps   []step
}

var longDelays = []time.Duration{
	0, 0, 0, time.Millisecond, leaseShare - time.Second, time.Minute, retention - time.Minute, retention + margin,
	retention + 2*margin - time.Second, retention + 2*margin + leaseShare + time.Minute, 3 * retention,
	retention / 2, retention*3/2 - time.Minute,
}

func genScenario() *rapid.Generator[scenario] {
	return rapid.Custom(func(t *rapid.T) scenario {
		var s scenario
		delay := rapid.SampledFrom(longDelays)
		genFault := rapid.Custom(func(t *rapid.T) kvtest.TxnFault {
			switch rapid.SampledFrom([]string{"none", "none", "slow", "lose", "down", "late"}).Draw(t, "fault") {
			case "slow":
				return kvtest.TxnFault{DelayBefore: delay.Draw(t, "before"), DelayAfter: delay.Draw(t, "after")}
			case "lose":
				return kvtest.TxnFault{DelayAfter: delay.Draw(t, "after"), LoseResponse: true}
			case "down":
				return kvtest.TxnFault{Unavailable: true}
			case "late":
				return kvtest.TxnFault{ExecuteAfter: time.Nanosecond + delay.Draw(t, "late")}
			}
			return kvtest.TxnFault{}
		})
		for range 3 {
			s.skews = append(s.skews, rapid.SampledFrom([]time.Duration{0, -margin / 2, margin / 2}).Draw(t, "skew"))
			s.faults = append(s.faults, rapid.SliceOfN(genFault, 0, 6).Draw(t, "faults"))
		}
		offset := rapid.SampledFrom([]time.Duration{0, -margin, margin, margin * 3 / 2, retention / 2})
		s.created = rapid.SliceOfN(offset, 2, 2).Draw(t, "created")
		s.steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				at: delay.Draw(t, "at"), daemon: rapid.IntRange(0, 2).Draw(t, "daemon"),
				key: rapid.IntRange(0, 1).Draw(t, "key"), query: rapid.SampledFrom([]string{"q", "q", "q", "other"}).Draw(t, "query"),
				pause:   delay.Draw(t, "pause"),
				action:  rapid.SampledFrom([]claimAction{"execute", "execute", "unknown", "refuse", "kill"}).Draw(t, "end"),
				timeout: rapid.SampledFrom([]time.Duration{time.Second, time.Second, 5 * retention}).Draw(t, "timeout"),
			}
		}), 2, 8).Draw(t, "steps")
		return s
	})
}

// executionLog records executions as a backend server would.
type executionLog struct {
	mu       sync.Mutex
	byKey    map[int]int
	problems []string
}

func (l *executionLog) execute(key int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey[key]++
	if l.byKey[key] > 1 {
		l.problems = append(l.problems, fmt.Sprintf("key %d executed %d times", key, l.byKey[key]))
	}
}

func (l *executionLog) reportProblem(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, fmt.Sprintf(format, args...))
}

func runScenario(s scenario) []string {
	memory := kvtest.NewMemory(nil)
	l := &executionLog{byKey: map[int]int{}}
	start := time.Now()
	keys := []oncerun.Key{oncerun.NewKey(start.Add(s.created[0])), oncerun.NewKey(start.Add(s.created[1]))}
	var runners []*oncerun.Runner
	for i, skew := range s.skews {
		runners = append(runners, oncerun.NewRunner(kvtest.NewScripted(memory, s.faults[i]), oncerun.Options{
			Node: fmt.Sprint(i), MaxKeyAge: retention, MaxClockSkew: margin, LeaseReuse: leaseShare,
			Now: func() time.Time { return time.Now().Add(skew) },
		}))
	}
	var wg sync.WaitGroup
	for i, st := range s.steps {
		// Distinct times make the order of the steps deterministic.
		st.at += time.Duration(i) * time.Microsecond
		st.pause += time.Duration(i) * 10 * time.Microsecond
		wg.Go(func() { runStep(st, runners[st.daemon], keys[st.key], l) })
	}
	wg.Wait()
	for _, r := range runners {
		r.Close()
	}
	return l.problems
}

func runStep(st step, r *oncerun.Runner, key oncerun.Key, l *executionLog) {
	testseed.Sleep(st.at)
	ctx, cancel := context.WithTimeout(context.Background(), st.timeout)
	defer cancel()
	claim, err := r.Claim(ctx, key, oncerun.Fingerprint("orders", st.query))
	if err != nil {
		var e *api.Error
		if !errors.As(err, &e) {
			l.reportProblem("error %v has no kind", err)
		} else if o := e.Kind.Outcome(); o.Run != api.RunNever && e.Kind != api.AlreadyDispatched {
			l.reportProblem("claim refused with kind %s", e.Kind)
		}
		return
	}
	switch st.action {
	case "kill":
	case "refuse":
		testseed.Sleep(st.pause)
		_ = claim.Release(context.Background())
	default:
		testseed.Sleep(st.pause)
		l.execute(st.key)
	}
}

// Guards against a second execution of a request with the same key. Three daemons have clocks up to the margin apart;
// transactions are slow, late or lose their response; processes are killed or paused before and after the claim for up
// to three retention periods; claims are released after a refusal.
func TestAtMostOnceUnderPausesAndStoreFaults(t *testing.T) {
	gen := genScenario()
	rapid.Check(t, func(rt *rapid.T) {
		s := gen.Draw(rt, "scenario")
		var problems []string
		synctest.Test(t, func(*testing.T) { problems = runScenario(s) })
		if len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}
