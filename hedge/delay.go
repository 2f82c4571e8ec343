// Package hedge decides when a slow sub-request is hedged and how many extra sub-requests may be sent.
package hedge

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketGrowth is the ratio of adjacent bucket bounds. It limits the relative error of a quantile.
	bucketGrowth = 1.05
	// lowestLatency is the upper bound of the first bucket.
	minLatency = 100 * time.Microsecond
	buckets    = 300
	// halfLife is the time after which the weight of a sample is halved.
	halfLife = 5 * time.Second
	// refreshInterval is how long a computed quantile is reused.
	refreshInterval = 50 * time.Millisecond
	// minSamples is the total weight of samples required to compute a quantile.
	minSamples = 20
)

var logGrowth = math.Log(bucketGrowth)

// LatencyHistogram is an exponentially decaying latency histogram of the sub-requests of one service. It derives the
// hedge delay as a quantile. It is safe for concurrent use.
type LatencyHistogram struct {
	mu       sync.Mutex
	counts   [buckets]float64
	total    float64
	halvedAt time.Time

	cached         time.Duration
	cachedQuantile float64
	cachedAt       time.Time
}

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram { return &LatencyHistogram{} }

// Observe adds the latency of an answered sub-request. An attempt that was cancelled because another one answered
// first is added with the time until its cancellation.
func (d *LatencyHistogram) Observe(latency time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.counts[bucketOf(latency)]++
	d.total++
}

// decay halves the weights once per half-life.
func (d *LatencyHistogram) decay(now time.Time) {
	if d.halvedAt.IsZero() {
		d.halvedAt = now
	}
	for now.Sub(d.halvedAt) >= halfLife && d.total > 0 {
		d.halvedAt = d.halvedAt.Add(halfLife)
		d.total = 0
		for i := range d.counts {
			d.counts[i] /= 2
			d.total += d.counts[i]
		}
		if d.total < 1 {
			d.counts, d.total, d.halvedAt = [buckets]float64{}, 0, now
		}
	}
}

func bucketOf(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	i := 1 + int(math.Log(float64(latency)/float64(minLatency))/logGrowth)
	return min(i, buckets-1)
}

// Quantile returns the latency below which the fraction q of the samples lies, rounded up by at most 5%. ok is
// false if there are too few samples.
func (d *LatencyHistogram) Quantile(q float64, now time.Time) (latency time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.total < minSamples {
		return 0, false
	}
	if q == d.cachedQuantile && now.Sub(d.cachedAt) < refreshInterval {
		return d.cached, true
	}
	rank := q * d.total
	var sum float64
	i := 0
	for ; i < buckets-1; i++ {
		if sum += d.counts[i]; sum >= rank {
			break
		}
	}
	bound := float64(minLatency) * math.Pow(bucketGrowth, float64(i))
	d.cached, d.cachedQuantile, d.cachedAt = time.Duration(bound), q, now
	return d.cached, true
}

// deadlineParts limits the hedge delay to this fraction of the deadline. When many responses are late, the quantile
// itself approaches the deadline, and a hedge sent that late is useless.
const deadlineParts = 4

// HedgeDelay returns the hedge delay: the quantile q, but at least minDelay and at most a quarter of the deadline. It
// returns 0, which disables hedging, if there are too few samples.
func (d *LatencyHistogram) HedgeDelay(q float64, minDelay, deadline time.Duration, now time.Time) time.Duration {
	latency, ok := d.Quantile(q, now)
	if !ok {
		return 0
	}
	return min(max(minDelay, latency), deadline/deadlineParts)
}
