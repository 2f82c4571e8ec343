package hedge_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }

// TestQuantileIsWithinOneBucket checks that a quantile is not below the exact value and at most one bucket (5%)
// above it.
func TestQuantileIsWithinOneBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		d := hedge.NewLatencyHistogram()
		n := rapid.IntRange(20, 300).Draw(t, "n")
		samples := make([]time.Duration, n)
		for i := range samples {
			samples[i] = time.Duration(rapid.IntRange(200, 500_000).Draw(t, "us")) * time.Microsecond
			d.Observe(samples[i], now)
		}
		q := rapid.Float64Range(0.05, 0.99).Draw(t, "q")
		got, ok := d.Quantile(q, now)
		must.True(t, ok)
		slices.Sort(samples)
		rank := q * float64(n)
		i := int(rank)
		if float64(i) < rank {
			i++
		}
		exact := samples[max(0, i-1)]
		if float64(got) < float64(exact)*0.999 || float64(got) > float64(exact)*1.051 {
			t.Fatalf("quantile %.3f of %d samples is %s, exact value %s", q, n, got, exact)
		}
	})
}

// TestDelayBoundsAndDecay guards against hedging before the latency is known, delays outside their bounds, and old
// samples that do not decay.
func TestDelayBoundsAndDecay(t *testing.T) {
	now := time.Unix(1000, 0)
	d := hedge.NewLatencyHistogram()
	must.Eq(t, 0, d.HedgeDelay(0.95, time.Millisecond, time.Second, now))
	for range 100 {
		d.Observe(900*time.Millisecond, now)
	}
	must.Eq(t, 250*time.Millisecond, d.HedgeDelay(0.95, time.Millisecond, time.Second, now))
	now = now.Add(40 * time.Second)
	for range 100 {
		d.Observe(2*time.Millisecond, now)
	}
	must.Less(t, 5*time.Millisecond, d.HedgeDelay(0.95, time.Millisecond, time.Second, now))
	must.Eq(t, 7*time.Millisecond, d.HedgeDelay(0.5, 7*time.Millisecond, time.Second, now.Add(time.Second)))
}

// TestBudgetLimitsExtraSubRequests checks that hedges stay within their fraction and all extra sub-requests within
// the sum of both fractions, plus the initial token.
func TestBudgetLimitsExtraSubRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hedges := rapid.Float64Range(0, 0.5).Draw(t, "hedges")
		retries := rapid.Float64Range(0, 0.5).Draw(t, "retries")
		b := hedge.NewBudget(hedges, retries)
		var required, hedged, extra float64
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(1, 30).Draw(t, "n")
				b.Hedges().Deposit(n)
				required += float64(n)
			case 1:
				if b.Hedges().Withdraw() {
					hedged++
					extra++
				}
			case 2:
				if b.Retries().Withdraw() {
					extra++
				}
			case 3:
				if b.Hedges().Withdraw() {
					b.Hedges().Refund()
				}
			}
			const rounding = 1e-6
			if hedged > required*hedges+rounding || extra > 1+required*(hedges+retries)+rounding {
				t.Fatalf("%g hedges, %g extra for %g required sub-requests at rates %g and %g", hedged, extra, required, hedges, retries)
			}
		}
	})
}
