// Package hedge decides when a slow sub-request gets a second attempt and how many extra attempts a profile may
// send.
package hedge

import (
	"math"
	"sync"
	"time"
)

const (
	// bucketGrowth is the ratio of neighbouring bucket bounds, which bounds the error of a quantile.
	bucketGrowth = 1.05
	// lowestLatency is the upper bound of the first bucket.
	lowestLatency = 100 * time.Microsecond
	buckets       = 300
	// halfLife is the time after which a sample counts half.
	halfLife = 5 * time.Second
	// refresh bounds how often the quantile is computed anew.
	refresh = 50 * time.Millisecond
	// leastSamples is the weight below which no quantile is known.
	leastSamples = 20
)

var logGrowth = math.Log(bucketGrowth)

// Delay keeps the latency distribution of the sub-requests of one service, with older samples counting less,
// and derives the hedge delay as one of its quantiles. It is safe for concurrent use.
type Delay struct {
	mu       sync.Mutex
	counts   [buckets]float64
	total    float64
	halvedAt time.Time

	cached   time.Duration
	cachedQ  float64
	cachedAt time.Time
}

// NewDelay returns an empty distribution.
func NewDelay() *Delay { return &Delay{} }

// Observe adds the latency of an answered sub-request. An attempt that was cancelled because another one
// answered first is added with the time it took so far.
func (d *Delay) Observe(latency time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.age(now)
	d.counts[bucketOf(latency)]++
	d.total++
}

// age halves the weights once per half-life.
func (d *Delay) age(now time.Time) {
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
	if latency <= lowestLatency {
		return 0
	}
	i := 1 + int(math.Log(float64(latency)/float64(lowestLatency))/logGrowth)
	return min(i, buckets-1)
}

// Quantile returns the latency below which the fraction q of the samples lies, rounded up by at most 5%; ok is
// false while too few samples are known.
func (d *Delay) Quantile(q float64, now time.Time) (latency time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.total < leastSamples {
		return 0, false
	}
	if q == d.cachedQ && now.Sub(d.cachedAt) < refresh {
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
	bound := float64(lowestLatency) * math.Pow(bucketGrowth, float64(i))
	d.cached, d.cachedQ, d.cachedAt = time.Duration(bound), q, now
	return d.cached, true
}

// deadlineParts is the number of hedge delays that fit into a deadline at least. When many messages are late, the
// quantile itself comes near the deadline, and a hedge sent then is of no use.
const deadlineParts = 4

// For returns the hedge delay: the quantile q, but at least least and at most a quarter of the deadline. It is 0,
// which sends no hedge, while too few samples are known.
func (d *Delay) For(q float64, least, deadline time.Duration, now time.Time) time.Duration {
	latency, ok := d.Quantile(q, now)
	if !ok {
		return 0
	}
	return min(max(least, latency), deadline/deadlineParts)
}
