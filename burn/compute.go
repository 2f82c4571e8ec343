package burn

import (
	"sort"
	"time"
)

// Row is the burn of one objective over one window.
type Row struct {
	Objective Objective `json:"objective"`
	Window    Window    `json:"window"`
	// Covered is the part of the window for which samples exist.
	Covered time.Duration `json:"covered_ns"`
	Good    uint64        `json:"good"`
	Total   uint64        `json:"total"`
	// Burn is the rate at which the error budget is used: 1 uses it up exactly in its period.
	Burn  float64 `json:"burn"`
	Alert bool    `json:"alert"`
}

// Point is the burn of one objective in the interval that ends at Time.
type Point struct {
	Time time.Time `json:"time"`
	Burn float64   `json:"burn"`
}

// counts of good and all requests.
type counts struct{ good, total uint64 }

// evaluate reads the counts of an objective off a sample. A latency bound or coverage that lies between two
// histogram bounds is read at the stricter one, so that the report never looks better than the truth.
func (o Objective) evaluate(s Sample) counts {
	c := s.Services[o.Service]
	if o.Measure == MeasureLatency {
		good, _ := c.Latency.atMost(o.Within.D().Seconds())
		return counts{good, c.Latency.Total + c.Failed}
	}
	bad := c.Coverage.Total
	for _, b := range c.Coverage.Buckets {
		if b.Bound >= o.Above {
			bad = b.Count
			break
		}
	}
	return counts{c.Coverage.Total - bad, c.Coverage.Total}
}

// increase returns the growth from one sample of a daemon to the next. After a restart the counters begin at 0,
// so the later value is the growth.
func increase(before, after counts) counts {
	if after.total < before.total || after.good < before.good {
		return after
	}
	return counts{after.good - before.good, after.total - before.total}
}

// step is the growth of all daemons' counts between two sample times.
type step struct {
	at time.Time
	counts
}

// steps returns the growth between successive samples of each daemon, sorted by time. The first sample of a
// daemon only sets its base.
func steps(samples []Sample, o Objective) []step {
	sorted := append([]Sample(nil), samples...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Time.Before(sorted[j].Time) })
	last := make(map[string]counts)
	var out []step
	for _, s := range sorted {
		now := o.evaluate(s)
		if before, ok := last[s.Target]; ok {
			out = append(out, step{s.Time, increase(before, now)})
		}
		last[s.Target] = now
	}
	return out
}

func (c counts) burn(target float64) float64 {
	if c.total == 0 {
		return 0
	}
	return float64(c.total-c.good) / float64(c.total) / (1 - target)
}

// Compute returns the burn of every objective over every window that ends at the newest sample.
func Compute(config Config, samples []Sample) []Row {
	var rows []Row
	begin, end := span(samples)
	for _, o := range config.Objectives {
		all := steps(samples, o)
		for _, w := range config.Windows {
			from := end.Add(-w.Length.D())
			var sum counts
			for _, s := range all {
				if s.at.After(from) {
					sum.good += s.good
					sum.total += s.total
				}
			}
			row := Row{Objective: o, Window: w, Good: sum.good, Total: sum.total, Burn: sum.burn(o.Target)}
			row.Covered = min(w.Length.D(), end.Sub(begin))
			row.Alert = row.Burn > w.Alert
			rows = append(rows, row)
		}
	}
	return rows
}

// Series returns the burn of an objective in intervals of the given length.
func Series(o Objective, samples []Sample, interval time.Duration) []Point {
	byInterval := make(map[time.Time]counts)
	for _, s := range steps(samples, o) {
		at := s.at.Truncate(interval).Add(interval)
		c := byInterval[at]
		byInterval[at] = counts{c.good + s.good, c.total + s.total}
	}
	points := make([]Point, 0, len(byInterval))
	for at, c := range byInterval {
		points = append(points, Point{at, c.burn(o.Target)})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].Time.Before(points[j].Time) })
	return points
}

func span(samples []Sample) (begin, end time.Time) {
	for i, s := range samples {
		if i == 0 || s.Time.Before(begin) {
			begin = s.Time
		}
		if s.Time.After(end) {
			end = s.Time
		}
	}
	return begin, end
}
