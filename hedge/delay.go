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
	// minLatency is the upper bound of the first bucket; buckets is the number of buckets.
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
func (h *LatencyHistogram) Observe(latency time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decay(now)
	h.counts[bucketOf(latency)]++
	h.total++
}

// decay halves the weights once per half-life.
func (h *LatencyHistogram) decay(now time.Time) {
	if h.halvedAt.IsZero() {
		h.halvedAt = now
	}
	for now.Sub(h.halvedAt) >= halfLife && h.total > 0 {
		h.halvedAt = h.halvedAt.Add(halfLife)
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
		if h.total < 1 {
			h.counts, h.total, h.halvedAt = [buckets]float64{}, 0, now
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
func (h *LatencyHistogram) Quantile(q float64, now time.Time) (latency time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.total < minSamples {
		return 0, false
	}
	if q == h.cachedQuantile && now.Sub(h.cachedAt) < refreshInterval {
		return h.cached, true
	}
	rank := q * h.total
	var sum float64
	i := 0
	for ; i < buckets-1; i++ {
		if sum += h.counts[i]; sum >= rank {
			break
		}
	}
	bound := float64(minLatency) * math.Pow(bucketGrowth, float64(i))
	h.cached, h.cachedQuantile, h.cachedAt = time.Duration(bound), q, now
	return h.cached, true
}

// maxDelayDivisor limits the hedge delay to the deadline divided by it. When many responses are late, the quantile
// itself approaches the deadline, and a hedge sent that late is useless.
const maxDelayDivisor = 4

// HedgeDelay returns the hedge delay: the quantile q, but at least minDelay and at most a quarter of the deadline. It
// returns 0, which disables hedging, if there are too few samples.
func (h *LatencyHistogram) HedgeDelay(q float64, minDelay, deadline time.Duration, now time.Time) time.Duration {
	latency, ok := h.Quantile(q, now)
	if !ok {
		return 0
	}
	return min(max(minDelay, latency), deadline/maxDelayDivisor)
}
