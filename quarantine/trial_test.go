package quarantine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/quarantine"
)

const (
	// noticeDelay is how long a notice takes to the other daemons, crashTime how long a request runs until its replica crashes.
	noticeDelay = 300 * time.Millisecond
	crashTime   = 10 * time.Millisecond
	// sendInterval is the mean time between two sends of the crashing request.
	sendInterval = 125 * time.Millisecond
	// maxTrials is how many sends of a crashing request may reach replicas once it is known to crash them.
	maxTrials = 3
)

// delayedLink passes the notices of one guard to the others after noticeDelay.
type delayedLink struct {
	all  *peerGuards
	self int
}

func (l *delayedLink) Publish(n quarantine.Notice) {
	time.AfterFunc(noticeDelay, func() { (&peerLink{l.all, l.self}).Publish(n) })
}

// newFleet returns the guards of a fleet of n daemons.
func newFleet(n int) peerGuards {
	var all peerGuards
	rule := quarantine.DefaultRule()
	rule.FirstExpiry = time.Minute
	for i := range n {
		g := quarantine.NewGuard(rule, quarantine.DefaultExpiry, &delayedLink{&all, i}, nil)
		g.SetFleet(fmt.Sprint("edge-", i), n)
		all = append(all, g)
	}
	return all
}

// TestFewTrialsAfterQuarantine guards replicas against a crashing request whose quarantine ends on all daemons at the same moment, while
// several callers send it: few of their sends may reach replicas before all daemons know that it still crashes them (BUDGET).
func TestFewTrialsAfterQuarantine(t *testing.T) {
	for _, daemons := range []int{1, 7, 79, 195} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, uint64(daemons)))
				fleet := newFleet(daemons)
				fingerprint := fmt.Sprint("crash", seed)
				for _, g := range fleet {
					g.AddRemoteNotice(quarantine.Notice{Fingerprint: fingerprint, Until: time.Now().Add(time.Minute)})
				}
				testseed.Sleep(time.Minute)
				admitted := 0
				for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); {
					_, run, err := fleet[rng.IntN(daemons)].Admit(context.Background(), fingerprint, quarantine.Order)
					if err == nil {
						admitted++
						replica := fmt.Sprint("replica-", admitted)
						time.AfterFunc(crashTime, func() {
							run.ConnectionLost("s", replica, time.Now())
							run.Done()
						})
					}
					testseed.Sleep(time.Duration(rng.ExpFloat64() * float64(sendInterval)))
				}
				must.Between(t, 1, admitted, maxTrials, must.Sprintf("%d daemons, seed %d", daemons, seed))
			})
		}
	}
}

// TestTrialThatIsAnsweredEndsQuarantine guards callers of a sound request that was quarantined by mistake: once a replica has answered one
// of them, all are accepted. Until then the others are refused with a time to return.
func TestTrialThatIsAnsweredEndsQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newFleet(1)[0]
		g.AddRemoteNotice(quarantine.Notice{Fingerprint: "f", Until: time.Now().Add(time.Minute)})
		testseed.Sleep(time.Minute)
		_, trial, err := g.Admit(context.Background(), "f", quarantine.Order)
		must.NoError(t, err)
		_, _, err = g.Admit(context.Background(), "f", quarantine.Order)
		must.Eq(t, api.Quarantined, api.KindOf(err))
		must.Positive(t, err.(*api.Error).RetryAfter)
		trial.Answered("s")
		for range 3 {
			_, run, err := g.Admit(context.Background(), "f", quarantine.Order)
			must.NoError(t, err)
			defer run.Done()
		}
		trial.Done()
	})
}

// TestSoundRequestReturnsToWholeFleet guards callers of a sound request that was quarantined by mistake: half a minute after the end of the
// quarantine each daemon of a large fleet accepts it.
func TestSoundRequestReturnsToWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(195)
		for _, g := range fleet {
			g.AddRemoteNotice(quarantine.Notice{Fingerprint: "f", Until: time.Now().Add(time.Minute)})
		}
		testseed.Sleep(90 * time.Second)
		for _, g := range fleet {
			_, run, err := g.Admit(context.Background(), "f", quarantine.Order)
			must.NoError(t, err)
			run.Done()
		}
	})
}
