package burn

import (
	"sort"
	"time"
)

// Row is the burn rate of one objective over one window.
type Row struct {
	Objective Objective `json:"objective"`
	Window    Window    `json:"window"`
	// CoveredTime is the length of the part of the window for which samples exist.
	CoveredTime time.Duration `json:"covered_ns"`
	Good        uint64        `json:"good"`
	Total       uint64        `json:"total"`
	// BurnRate is the rate at which the error budget is consumed; at 1 it is used up exactly at the end of its period.
	BurnRate   float64 `json:"burn"`
	IsAlerting bool    `json:"alert"`
}

// Point is the burn rate of one objective in the interval that ends at Time.
type Point struct {
	Time     time.Time `json:"time"`
	BurnRate float64   `json:"burn"`
}

// counts holds the numbers of good requests and of all requests.
type counts struct{ good, total uint64 }

// countRequests returns the counts of an objective in a sample. A latency or coverage threshold between two histogram bounds is
// rounded to the stricter one, so that the reported burn rate is never too low.
func (o Objective) countRequests(s Sample) counts {
	c := s.Services[o.Service]
	if o.Measure == MeasureLatency {
		good, _ := c.Latency.atMost(o.MaxLatency.AsDuration().Seconds())
		return counts{good, c.Latency.Total + c.Failed}
	}
	bad := c.Coverage.Total
	for _, b := range c.Coverage.Buckets {
		if b.Bound >= o.CoverageAbove {
			bad = b.Count
			break
		}
	}
	return counts{c.Coverage.Total - bad, c.Coverage.Total}
}

// increase returns the increase of the counters between two samples of a daemon. After a restart, counters start at 0, so
// the later value is the increase.
func increase(previous, current counts) counts {
	if current.total < previous.total || current.good < previous.good {
		return current
	}
	return counts{current.good - previous.good, current.total - previous.total}
}

// delta is the increase of a daemon's counts since its previous sample.
type delta struct {
	at time.Time
	counts
}

// deltas returns the increases between successive samples of each daemon, sorted by time. The first sample of a daemon is
// only a baseline.
func deltas(samples []Sample, o Objective) []delta {
	sorted := append([]Sample(nil), samples...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Time.Before(sorted[j].Time) })
	previousByTarget := make(map[string]counts)
	var out []delta
	for _, s := range sorted {
		current := o.countRequests(s)
		if previous, ok := previousByTarget[s.Target]; ok {
			out = append(out, delta{s.Time, increase(previous, current)})
		}
		previousByTarget[s.Target] = current
	}
	return out
}

func (c counts) burn(target float64) float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.total-c.good) / float64(c.total) / (1 - target)
}

// Compute returns the burn rate of every objective over every window. All windows end at the newest sample.
func Compute(config Config, samples []Sample) []Row {
	var rows []Row
	start, end := timeRange(samples)
	for _, o := range config.Objectives {
		increases := deltas(samples, o)
		for _, w := range config.Windows {
			from := end.Add(-w.Length.AsDuration())
			var sum counts
			for _, d := range increases {
				if d.at.After(from) {
					sum.good += d.good
					sum.total += d.total
				}
			}
			row := Row{Objective: o, Window: w, Good: sum.good, Total: sum.total, BurnRate: sum.burn(o.Target)}
			row.CoveredTime = min(w.Length.AsDuration(), end.Sub(start))
			row.IsAlerting = row.BurnRate > w.AlertThreshold
			rows = append(rows, row)
		}
	}
	return rows
}

// Series returns the burn rate of an objective in successive intervals of the given length, without intervals that have
// no samples.
func Series(o Objective, samples []Sample, interval time.Duration) []Point {
	byInterval := make(map[time.Time]counts)
	for _, d := range deltas(samples, o) {
		at := d.at.Truncate(interval).Add(interval)
		c := byInterval[at]
		byInterval[at] = counts{c.good + d.good, c.total + d.total}
	}
	points := make([]Point, 0, len(byInterval))
	for at, c := range byInterval {
		points = append(points, Point{at, c.burn(o.Target)})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].Time.Before(points[j].Time) })
	return points
}

func timeRange(samples []Sample) (start, end time.Time) {
	for i, s := range samples {
		if i == 0 || s.Time.Before(start) {
			start = s.Time
		}
		if s.Time.After(end) {
			end = s.Time
		}
	}
	return start, end
}
