package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

const (
	// Latencies are recorded in microseconds, from 1 µs to 2 minutes, with three significant digits.
	maxLatency        = 2 * time.Minute
	significantDigits = 3
)

// Latency holds latency percentiles, maximum and mean in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
	Mean float64 `json:"mean_ms"`
}

// Result is the result of a run and the format of result files.
type Result struct {
	Plan     Plan          `json:"plan"`
	Elapsed  time.Duration `json:"elapsed_ns"`
	Requests int64         `json:"requests"`
	// Results counts requests by result: ok, broken_answer, transport_error or an error kind.
	Results map[string]int64 `json:"results"`
	Latency Latency          `json:"latency"`
	// MeanCoverage is the mean coverage of the answers that report one.
	MeanCoverage float64 `json:"mean_coverage"`
	// Complete is the fraction of those answers that are complete.
	Complete float64 `json:"complete"`
	// Snapshots counts answers by snapshot.
	Snapshots map[string]int64 `json:"snapshots"`
	// Histogram is the HDR histogram of latencies in microseconds in compressed V2 encoding.
	Histogram string `json:"histogram"`
}

type recorder struct {
	mu            sync.Mutex
	histogram     *hdrhistogram.Histogram
	results       map[string]int64
	snapshots     map[string]int64
	coverageSum   float64
	completeCount int64
	withCoverage  int64
}

func newRecorder() *recorder {
	return &recorder{
		histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits),
		results:   make(map[string]int64),
		snapshots: make(map[string]int64),
	}
}

func (r *recorder) add(sample Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histogram.RecordValue(min(max(1, sample.Latency.Microseconds()), maxLatency.Microseconds()))
	r.results[sample.Result]++
	if sample.Snapshot != "" {
		r.snapshots[sample.Snapshot]++
	}
	if sample.Coverage == nil {
		return
	}
	r.withCoverage++
	r.coverageSum += sample.Coverage.Fraction
	if sample.Coverage.Complete {
		r.completeCount++
	}
}

func (r *recorder) result(plan Plan, elapsed time.Duration) (*Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	encoded, err := r.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, eris.Wrap(err, "histogram")
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	result := &Result{
		Plan: plan, Elapsed: elapsed, Requests: r.histogram.TotalCount(), Results: r.results, Snapshots: r.snapshots,
		Latency: Latency{
			P50: ms(r.histogram.ValueAtQuantile(50)), P99: ms(r.histogram.ValueAtQuantile(99)),
			P999: ms(r.histogram.ValueAtQuantile(99.9)), Max: ms(r.histogram.Max()), Mean: r.histogram.Mean() / 1000,
		},
		Histogram: string(encoded),
	}
	if r.withCoverage > 0 {
		result.MeanCoverage = r.coverageSum / float64(r.withCoverage)
		result.Complete = float64(r.completeCount) / float64(r.withCoverage)
	}
	return result, nil
}

// InvalidAnswers returns the number of invalid answers.
func (r *Result) InvalidAnswers() int64 { return r.Results[ResultInvalidAnswer] }

// ReadResult reads a result file.
func ReadResult(file string) (*Result, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read the result file")
	}
	var result Result
	if err := json.Unmarshal(data, &result); err != nil {
		return nil, eris.Wrapf(err, "result %s", file)
	}
	if result.Requests == 0 {
		return nil, eris.Errorf("result %s contains no requests", file)
	}
	return &result, nil
}

// Write writes the result as indented JSON.
func (r *Result) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// Summary writes a summary of the result as text.
func (r *Result) Summary(w io.Writer) {
	fmt.Fprintf(w, "requests  %d in %s\n", r.Requests, r.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(w, "latency   p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms\n",
		r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max)
	fmt.Fprintf(w, "coverage  mean %.4f, complete %.4f\n", r.MeanCoverage, r.Complete)
	for _, name := range sortedKeys(r.Results) {
		fmt.Fprintf(w, "result    %s %d\n", name, r.Results[name])
	}
	for _, name := range sortedKeys(r.Snapshots) {
		fmt.Fprintf(w, "snapshot  %s %d\n", name, r.Snapshots[name])
	}
}

// Compare writes a table of the measures of two results and the ratio of the second to the first.
func Compare(w io.Writer, before, after *Result) {
	fmt.Fprintf(w, "%-14s %12s %12s %8s\n", "measure", "before", "after", "ratio")
	row := func(name string, a, b float64) {
		ratio := "-"
		if a != 0 {
			ratio = fmt.Sprintf("%.3f", b/a)
		}
		fmt.Fprintf(w, "%-14s %12.4f %12.4f %8s\n", name, a, b, ratio)
	}
	row("p50 ms", before.Latency.P50, after.Latency.P50)
	row("p99 ms", before.Latency.P99, after.Latency.P99)
	row("p99.9 ms", before.Latency.P999, after.Latency.P999)
	row("mean coverage", before.MeanCoverage, after.MeanCoverage)
	row("complete", before.Complete, after.Complete)
	row("ok share", fraction(before, ResultOK), fraction(after, ResultOK))
	row("broken", float64(before.InvalidAnswers()), float64(after.InvalidAnswers()))
}

func fraction(r *Result, name string) float64 {
	return float64(r.Results[name]) / float64(max(1, r.Requests))
}

func sortedKeys(m map[string]int64) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
