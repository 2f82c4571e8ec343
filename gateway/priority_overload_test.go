package gateway

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/routing"
)

// rankedOptions describes the load pattern of docs/design/admission.md: short queries of priority 0 share 36 shards with
// long ones of priority 1.
func rankedOptions() simOptions {
	return simOptions{
		shards: 36, slots: 4, queue: 24, slowdowns: []float64{0.9, 1, 1.2}, shortFraction: 0.39,
		full: routing.Route{TargetLatency: 400 * time.Millisecond, Timeout: 1500 * time.Millisecond, MaxRecords: 50,
			RequiredCoverage: 0.95, Priority: 1},
		short: routing.Route{TargetLatency: 120 * time.Millisecond, Timeout: 800 * time.Millisecond, MaxRecords: 5,
			RequiredCoverage: 0.85, Priority: 0},
	}
}

// Weights of the answers: an answer in time and a late one, of each kind.
const (
	shortInTime, shortLate = 1.7, 0.07
	longInTime, longLate   = 1.8, 0.09
)

// rankedValue returns the value of the answers per query.
func rankedValue(short, long simKind) float64 {
	sum := shortInTime*float64(short.inTime) + shortLate*float64(short.late) + longInTime*float64(long.inTime) + longLate*float64(long.late)
	return sum / float64(short.sent+long.sent)
}

// makeScarce leaves a shard with one replica, slowed down by the factor.
func (f *simFleet) makeScarce(shard int, slowdown float64) {
	f.replicas[simID(shard, (shard+1)%simRegions)].stop()
	f.replicas[simID(shard, (shard+2)%simRegions)].stop()
	f.replicas[simID(shard, shard%simRegions)].slowDown(slowdown)
}

// runRankedLoad simulates the load pattern with the seeds and returns the outcomes of the queries of each kind.
func runRankedLoad(t *testing.T, seeds uint64, slowdown float64) (short, long simKind) {
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(t, seed+1, rankedOptions())
			var wg sync.WaitGroup
			f.generateLoad(80, 3*time.Second, &wg)
			for i := range f.shards {
				switch i % 4 {
				case 0:
					f.makeScarce(i, slowdown)
				case 1:
					f.replicas[simID(i, 0)].stop()
				}
			}
			f.generateLoad(80, 12*time.Second, &wg)
			wg.Wait()
			testseed.Sleep(time.Second) // wait for cancelled attempts to end
			t.Logf("seed %d: short %+v, long %+v", seed+1, *f.callers["/s/"], *f.callers["/f/"])
			short.add(*f.callers["/s/"])
			long.add(*f.callers["/f/"])
		})
	}
	return short, long
}

// TestShortQueriesBehindLongOnes guards against short queries of the highest priority that wait in the replicas' queues behind long ones
// of a lower priority, while the scarcest shards can't serve both. With a throttle per route, the short ones in time were 0.752 and
// 0.347 of those asked, and the value per query 1.536 and 0.914.
func TestShortQueriesBehindLongOnes(t *testing.T) {
	for _, c := range []struct{ slowdown, minShort, minValue float64 }{{2.4, 0.85, 1.536}, {3.0, 0.7, 1.2}} {
		short, long := runRankedLoad(t, 3, c.slowdown)
		value := rankedValue(short, long)
		t.Logf("slowdown %v: short in time %.3f, long in time %.3f, value %.3f; short %+v, long %+v", c.slowdown, short.fractionInTime(),
			long.fractionInTime(), value, short, long)
		must.GreaterEq(t, c.minShort, short.fractionInTime())
		must.GreaterEq(t, c.minValue, value)
		must.GreaterEq(t, 0.25*short.fractionInTime(), long.fractionInTime())
	}
}
