package burn

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
)

// Names in the metrics of the entry daemons.
const (
	latencyMetric  = "chivemill_request_duration_seconds"
	coverageMetric = "chivemill_coverage_ratio"
	// callerLeft is the result label of a request whose caller disconnected before the answer. Package gateway sets it.
	callerLeft = "caller_left"
)

// Bucket is a histogram bucket: the cumulative count of values up to Bound.
type Bucket struct {
	Bound float64 `json:"le"`
	Count uint64  `json:"count"`
}

// Histogram holds buckets sorted by bound. Total includes the values above the last bound.
type Histogram struct {
	Buckets []Bucket `json:"buckets"`
	Total   uint64   `json:"total"`
}

// ServiceCounts holds the counters of one service.
type ServiceCounts struct {
	// Latency counts answered queries, including partial answers.
	Latency Histogram `json:"latency"`
	// Failed counts failed requests, excluding client errors.
	Failed   uint64    `json:"failed"`
	Coverage Histogram `json:"coverage"`
}

// Sample holds the counters of one daemon at one time.
type Sample struct {
	Time     time.Time                `json:"time"`
	Target   string                   `json:"target"`
	Services map[string]ServiceCounts `json:"services"`
}

// maxPageBytes limits the metrics page of a daemon. A page of a large fleet has some hundred KiB.
const maxPageBytes = 16 << 20

// Scrape reads the metrics endpoint of one daemon.
func Scrape(ctx context.Context, client *http.Client, target string) (Sample, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Sample{}, eris.Wrap(err, "scrape")
	}
	resp, err := client.Do(req)
	if err != nil {
		return Sample{}, eris.Wrap(err, "scrape")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Sample{}, eris.Errorf("scrape %s: status %d", target, resp.StatusCode)
	}
	services, err := parseMetrics(http.MaxBytesReader(nil, resp.Body, maxPageBytes))
	return Sample{Time: time.Now().UTC(), Target: target, Services: services}, err
}

func parseMetrics(r io.Reader) (map[string]ServiceCounts, error) {
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return nil, eris.Wrap(err, "parse metrics")
	}
	services := make(map[string]ServiceCounts)
	for _, m := range families[latencyMetric].GetMetric() {
		addLatency(services, m)
	}
	for _, m := range families[coverageMetric].GetMetric() {
		name := labelValue(m, "service")
		s := services[name]
		s.Coverage.merge(m.GetHistogram())
		services[name] = s
	}
	return services, nil
}

func addLatency(services map[string]ServiceCounts, m *dto.Metric) {
	name, result := labelValue(m, "service"), labelValue(m, "result")
	s := services[name]
	switch {
	case result == "ok" || result == "partial":
		s.Latency.merge(m.GetHistogram())
	case result == callerLeft:
		// A caller that disconnects before the answer is not a failure of the service.
	case !isClientError(api.Kind(result)):
		s.Failed += m.GetHistogram().GetSampleCount()
	}
	services[name] = s
}

// isClientError reports whether the error kind has a 4xx status.
func isClientError(kind api.Kind) bool {
	status := kind.Outcome().Status
	return status >= 400 && status < 500
}

func labelValue(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

func (h *Histogram) merge(other *dto.Histogram) {
	counts := make(map[float64]uint64)
	for _, b := range h.Buckets {
		counts[b.Bound] = b.Count
	}
	for _, b := range other.GetBucket() {
		if b.GetUpperBound() <= 1e300 {
			counts[b.GetUpperBound()] += b.GetCumulativeCount()
		}
	}
	h.Buckets = h.Buckets[:0]
	for bound, count := range counts {
		h.Buckets = append(h.Buckets, Bucket{bound, count})
	}
	sort.Slice(h.Buckets, func(i, j int) bool { return h.Buckets[i].Bound < h.Buckets[j].Bound })
	h.Total += other.GetSampleCount()
}

// atMost returns the count of values up to the largest bound that does not exceed limit, and that bound.
func (h Histogram) atMost(limit float64) (count uint64, bound float64) {
	for _, b := range h.Buckets {
		if b.Bound > limit {
			break
		}
		count, bound = b.Count, b.Bound
	}
	return count, bound
}

// ReadSamples reads a sequence of JSON-encoded samples, one per line.
func ReadSamples(r io.Reader) ([]Sample, error) {
	var samples []Sample
	dec := json.NewDecoder(bufio.NewReader(r))
	for {
		var s Sample
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			return samples, nil
		}
		if err != nil {
			return nil, eris.Wrapf(err, "sample %d", len(samples)+1)
		}
		samples = append(samples, s)
	}
}
