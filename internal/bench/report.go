package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"
)

// Job is one case of one deployment under one strategy with one seed.
type Job struct {
	Deployment Deployment
	Case       Case
	Strategy   Strategy
	Seed       uint64
}

// Measure runs the jobs on the given number of goroutines, at least 1, and returns the results in the order of the jobs.
func Measure(jobs []Job, workers int) []Result {
	results := make([]Result, len(jobs))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range next {
				j := jobs[i]
				results[i] = Run(j.Deployment, j.Case, j.Strategy, j.Seed)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}

// Row holds the results of one case and strategy over all seeds.
type Row struct {
	Deployment, Case, Strategy string
	Results                    []Result
}

// GroupResults groups the results of jobs by deployment, case and strategy in order of appearance.
func GroupResults(jobs []Job, results []Result) []Row {
	var rows []Row
	for i, j := range jobs {
		index := slices.IndexFunc(rows, func(r Row) bool {
			return r.Deployment == j.Deployment.Name && r.Case == j.Case.Name && r.Strategy == j.Strategy.Name
		})
		if index < 0 {
			rows = append(rows, Row{Deployment: j.Deployment.Name, Case: j.Case.Name, Strategy: j.Strategy.Name})
			index = len(rows) - 1
		}
		rows[index].Results = append(rows[index].Results, results[i])
	}
	return rows
}

func (r Row) mean(value func(Result) float64) float64 {
	var sum float64
	for _, x := range r.Results {
		sum += value(x)
	}
	return sum / float64(len(r.Results))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// PrintRows writes one line per row with the means over the seeds.
func PrintRows(out io.Writer, rows []Row) {
	fmt.Fprintf(out, "%-8s %-14s %-9s %7s %7s %7s %8s %8s %8s %7s %8s %6s %6s  %s\n", "deploy", "case", "strategy",
		"p50 ms", "p99 ms", "p99.9", "coverage", "below", "complete", "extra", "goodput", "cpu us", "conns", "refusals")
	for _, r := range rows {
		peak := 0
		for _, x := range r.Results {
			peak = max(peak, x.PeakConnections)
		}
		fmt.Fprintf(out, "%-8s %-14s %-9s %7.1f %7.1f %7.1f %8.5f %8.5f %8.5f %6.2f%% %8.1f %6.2f %3d/%2d  %s\n",
			r.Deployment, r.Case, r.Strategy,
			r.mean(func(x Result) float64 { return milliseconds(x.P50) }),
			r.mean(func(x Result) float64 { return milliseconds(x.P99) }),
			r.mean(func(x Result) float64 { return milliseconds(x.P999) }),
			r.mean(func(x Result) float64 { return x.Coverage }),
			r.mean(func(x Result) float64 { return x.BelowRequiredCoverage }), r.mean(func(x Result) float64 { return x.CompleteAnswers }),
			100*r.mean(func(x Result) float64 { return x.ExtraSubRequests }), r.mean(func(x Result) float64 { return x.Goodput }),
			r.mean(func(x Result) float64 { return float64(x.CPU) / 1000 }), peak, r.Results[0].ConnectionLimit, r.meanRefusals())
		if profiles := r.profileRatios(); profiles != "" {
			fmt.Fprintf(out, "%-8s %-14s %-9s   goodput to offered by profile:%s\n", "", "", "", profiles)
		}
	}
}

// profileRatios returns the ratio of goodput to offered load per profile, or "" if there is only one profile.
func (r Row) profileRatios() string {
	var text string
	if len(r.Results[0].OfferedByProfile) < 2 {
		return text
	}
	for _, name := range []string{profileMain, profileFlood, profileHeavy} {
		if r.Results[0].OfferedByProfile[name] > 0 {
			text += fmt.Sprintf(" %s %.4f", name,
				r.mean(func(x Result) float64 { return x.GoodputByProfile[name] / x.OfferedByProfile[name] }))
		}
	}
	return text
}

// meanRefusals returns the mean number of refusals per run, by kind.
func (r Row) meanRefusals() string {
	sums := map[string]int{}
	for _, x := range r.Results {
		for kind, n := range x.Refusals {
			sums[kind] += n
		}
	}
	var kinds []string
	for kind := range sums {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var text []string
	for _, kind := range kinds {
		text = append(text, fmt.Sprintf("%s=%d", kind, sums[kind]/len(r.Results)))
	}
	return strings.Join(text, " ")
}

// findRow returns the row of a deployment, case and strategy, or nil.
func findRow(rows []Row, deployment, name, strategy string) *Row {
	for i := range rows {
		if rows[i].Deployment == deployment && rows[i].Case == name && rows[i].Strategy == strategy {
			return &rows[i]
		}
	}
	return nil
}

// ratioOverSeeds returns the mean, minimum and maximum of value(a)/value(b) over the seeds.
func ratioOverSeeds(a, b *Row, value func(Result) float64) (mean, low, high float64) {
	for i := range a.Results {
		quotient := value(a.Results[i]) / value(b.Results[i])
		mean += quotient / float64(len(a.Results))
		if i == 0 || quotient < low {
			low = quotient
		}
		high = max(high, quotient)
	}
	return mean, low, high
}

// PrintRatios writes the ratios of a strategy to the baseline on the same seeds: mean, minimum and maximum.
func PrintRatios(out io.Writer, rows []Row, strategy string) {
	fmt.Fprintf(out, "\nratio of %s to baseline on the same seeds: mean [least, largest]\n", strategy)
	for i := range rows {
		r := &rows[i]
		base := findRow(rows, r.Deployment, r.Case, "baseline")
		if r.Strategy != strategy || base == nil {
			continue
		}
		fmt.Fprintf(out, "%-8s %-14s", r.Deployment, r.Case)
		for _, m := range []struct {
			name string
			f    func(Result) float64
		}{
			{"p50", func(x Result) float64 { return milliseconds(x.P50) }},
			{"p99", func(x Result) float64 { return milliseconds(x.P99) }},
			{"p99.9", func(x Result) float64 { return milliseconds(x.P999) }},
			{"coverage", func(x Result) float64 { return x.Coverage }},
			{"goodput", func(x Result) float64 { return x.Goodput }},
		} {
			mean, low, high := ratioOverSeeds(r, base, m.f)
			fmt.Fprintf(out, "  %s %.3f [%.3f, %.3f]", m.name, mean, low, high)
		}
		fmt.Fprintln(out)
	}
}
