package burn

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/strictyaml"
)

const metricsText = `# TYPE chivemill_request_duration_seconds histogram
chivemill_request_duration_seconds_bucket{service="loja-web",result="ok",le="0.1"} 90
chivemill_request_duration_seconds_bucket{service="loja-web",result="ok",le="0.3"} 98
chivemill_request_duration_seconds_bucket{service="loja-web",result="ok",le="+Inf"} 100
chivemill_request_duration_seconds_sum{service="loja-web",result="ok"} 9
chivemill_request_duration_seconds_count{service="loja-web",result="ok"} 100
chivemill_request_duration_seconds_bucket{service="loja-web",result="overloaded",le="+Inf"} 10
chivemill_request_duration_seconds_sum{service="loja-web",result="overloaded"} 0
chivemill_request_duration_seconds_count{service="loja-web",result="overloaded"} 10
chivemill_request_duration_seconds_bucket{service="loja-web",result="caller_left",le="+Inf"} 30
chivemill_request_duration_seconds_sum{service="loja-web",result="caller_left"} 0
chivemill_request_duration_seconds_count{service="loja-web",result="caller_left"} 30
chivemill_request_duration_seconds_bucket{service="loja-web",result="bad_request",le="+Inf"} 50
chivemill_request_duration_seconds_sum{service="loja-web",result="bad_request"} 0
chivemill_request_duration_seconds_count{service="loja-web",result="bad_request"} 50
# TYPE chivemill_coverage_ratio histogram
chivemill_coverage_ratio_bucket{service="loja-web",le="0.9999"} 5
chivemill_coverage_ratio_bucket{service="loja-web",le="1"} 100
chivemill_coverage_ratio_bucket{service="loja-web",le="+Inf"} 100
chivemill_coverage_ratio_sum{service="loja-web"} 99
chivemill_coverage_ratio_count{service="loja-web"} 100
`

var (
	latencyObjective = Objective{
		Service: "loja-web", Measure: MeasureLatency, MaxLatency: strictyaml.Duration(250 * time.Millisecond), Target: 0.9,
	}
	coverageObjective = Objective{Service: "loja-web", Measure: MeasureCoverage, CoverageAbove: 0.9999, Target: 0.99}
)

// TestObjectiveCounts guards against burn rates that are too low: a threshold between two histogram bounds is rounded to
// the stricter one and server errors count as bad. Client errors and requests whose caller left do not count at all.
func TestObjectiveCounts(t *testing.T) {
	services, err := parseMetrics(strings.NewReader(metricsText))
	must.NoError(t, err)
	sample := Sample{Services: services}
	must.Eq(t, counts{90, 110}, latencyObjective.countRequests(sample))
	must.Eq(t, counts{95, 100}, coverageObjective.countRequests(sample))
}

func sampleAt(target string, seconds int, good, total uint64) Sample {
	return Sample{
		Time: time.Unix(int64(seconds), 0), Target: target,
		Services: map[string]ServiceCounts{"loja-web": {Coverage: Histogram{
			Buckets: []Bucket{{0.9999, total - good}, {1, total}}, Total: total,
		}}},
	}
}

// TestComputeAcrossRestart guards against negative or lost increases when a daemon restarts between two samples, and
// against counting requests from before the first sample.
func TestComputeAcrossRestart(t *testing.T) {
	samples := []Sample{
		sampleAt("a", 0, 1000, 1000), sampleAt("b", 0, 10, 10),
		sampleAt("a", 60, 1090, 1100), sampleAt("b", 60, 5, 5),
	}
	config := Config{
		Objectives: []Objective{coverageObjective},
		Windows:    []Window{{strictyaml.Duration(time.Minute), 5}, {strictyaml.Duration(time.Hour), 50}},
	}
	rows := Compute(config, samples)
	must.Len(t, 2, rows)
	must.Eq(t, uint64(95), rows[0].Good)
	must.Eq(t, uint64(105), rows[0].Total)
	must.InDelta(t, 10.0/105/0.01, rows[0].BurnRate, 1e-9)
	must.True(t, rows[0].IsAlerting)
	must.False(t, rows[1].IsAlerting)
	must.Eq(t, time.Minute, rows[1].CoveredTime)

	var svg bytes.Buffer
	must.NoError(t, WriteSVG(&svg, config, samples, 10*time.Second))
	must.StrContains(t, svg.String(), "coverage &gt; 0.9999")
}

// TestDecodeConfigReportsLineAndField guards against invalid objectives that are accepted and measure nothing.
func TestDecodeConfigReportsLineAndField(t *testing.T) {
	_, err := DecodeConfig("slo.yaml", []byte("objectives:\n- service: a\n  measure: latency\n  target: 1\n"))
	must.EqError(t, err, "slo.yaml:4: objectives[0].target: 1 is outside (0, 1)\n"+
		"slo.yaml:2: objectives[0].within: is required for latency and must be above 0s")
}
