package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/timewindow"
)

// TestRateSharesStayWithinSharedRate guards a replica's request limit against daemons that use what they saved up at the same
// time: whatever the fleet's size, and however uneven the demand, all parts together allow little more than the shared rate.
func TestRateSharesStayWithinSharedRate(t *testing.T) {
	const window = 4 * time.Second
	for _, c := range []struct {
		daemons   int
		perSecond float64
	}{{1, 30}, {7, 30}, {7, 0.5}, {79, 12}, {195, 30}, {1400, 30}, {1400, 2}} {
		rng := rand.New(rand.NewPCG(uint64(c.daemons), 1))
		now := time.Unix(1000, 0)
		shares := make([]RateShare, c.daemons)
		for i := range shares {
			shares[i].SetRate(c.perSecond/float64(c.daemons), rng.Float64(), now)
		}
		var sent []time.Time
		for end := now.Add(40 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
			// All daemons are idle for some seconds and then want to send as much as they may.
			if now.Unix()%8 < 4 {
				continue
			}
			for i := range shares {
				for shares[i].HasPermit(now) {
					shares[i].Take(now)
					sent = append(sent, now)
				}
			}
		}
		most := timewindow.MaxWithin(sent, time.Time{}, window)
		must.LessEq(t, int(1.5*c.perSecond*window.Seconds())+5, most, must.Sprintf("%d daemons, %v a second", c.daemons, c.perSecond))
		must.GreaterEq(t, int(0.9*c.perSecond*window.Seconds()-1), most, must.Sprintf("%d daemons, %v a second", c.daemons, c.perSecond))
	}
}

// TestRateShareDelay checks the time until the next permit, which callers are told, over bursts and changes of the rate.
func TestRateShareDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	var s RateShare
	must.False(t, s.HasPermit(now), must.Sprint("without a rate there are no permits"))
	s.SetRate(2, 0.5, now)
	must.Eq(t, 250*time.Millisecond, s.Delay(now))
	now = now.Add(10 * time.Second)
	for range 3 {
		must.True(t, s.HasPermit(now), must.Sprint("the permits of the last second are left"))
		s.Take(now)
		if s.Delay(now) > 0 {
			break
		}
	}
	must.Eq(t, 250*time.Millisecond, s.Delay(now))
	s.SetRate(1, 0, now)
	must.Eq(t, 500*time.Millisecond, s.Delay(now), must.Sprint("half of the interval is left at the lower rate too"))
}

// TestRateWithinBoundsEachSecond guards a cold replica against one second with more requests than its bound, at any fleet size: the shares
// of a rate from RateWithin stay within it in every second, also when daemons that were idle send all that they may. A permit of the usual
// lifetime would let through those of two seconds.
func TestRateWithinBoundsEachSecond(t *testing.T) {
	for _, daemons := range []int{1, 7, 58, 195, 1400} {
		for _, bound := range []float64{1, 6.5, 8, 20, 95, 305} {
			rng := rand.New(rand.NewPCG(uint64(daemons), uint64(bound)))
			now := time.Unix(1000, 0)
			shares := make([]RateShare, daemons)
			for i := range shares {
				shares[i].SetLifetime(ShortPermitLifetime)
				shares[i].SetRate(RateWithin(bound)/float64(daemons), rng.Float64(), now)
			}
			var sent []time.Time
			for end := now.Add(20 * time.Second); now.Before(end); now = now.Add(10 * time.Millisecond) {
				if now.UnixMilli()%2000 < 700 {
					continue
				}
				for i := range shares {
					for shares[i].HasPermit(now) {
						shares[i].Take(now)
						sent = append(sent, now)
					}
				}
			}
			most := timewindow.MaxWithin(sent, time.Time{}, time.Second)
			must.LessEq(t, int(bound), most, must.Sprintf("%d daemons, %v a second", daemons, bound))
			if bound > 10 {
				must.GreaterEq(t, int(0.3*bound), most, must.Sprintf("%d daemons, %v a second", daemons, bound))
			}
		}
	}
	must.Eq(t, 0, RateWithin(0))
	must.Eq(t, 0, RateWithin(-1))
}
