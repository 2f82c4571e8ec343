package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/routing"
)

// observedGateway is a gateway whose log and metrics a test can read.
type observedGateway struct {
	*Gateway
	replicas *fakeSender
	provider *metrics.Provider
	logs     *observer.ObservedLogs
}

func newObservedGateway(t *testing.T) observedGateway {
	g, sender := newGateway(t)
	provider, err := metrics.NewProvider()
	must.NoError(t, err)
	g.metrics, err = newInstruments(provider.Meter(), g)
	must.NoError(t, err)
	core, logs := observer.New(zap.InfoLevel)
	g.log = zap.New(core)
	return observedGateway{Gateway: g, replicas: sender, provider: provider, logs: logs}
}

// metricsText returns the metrics in the Prometheus text format.
func (g observedGateway) metricsText() string {
	w := httptest.NewRecorder()
	g.provider.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
	return w.Body.String()
}

// TestFailuresAreCountedByClass guards against a mismatched response that is counted only as one of many failed attempts,
// which hides answers of other requests.
func TestFailuresAreCountedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newObservedGateway(t)
		g.replicas.responses["s1-0"] = respondAfter(time.Millisecond, Answer{}, failWith(backend.Mismatched))
		g.replicas.responses["s2-0"] = respondAfter(time.Millisecond, Answer{}, failWith(backend.Truncated))
		must.Nil(t, g.Serve(context.Background(), newRequest("/q/1")).Err)
		text := g.metricsText()
		must.StrContains(t, text, `chivemill_sub_request_failures_total{failure="mismatched"} 1`)
		must.StrContains(t, text, `chivemill_sub_request_failures_total{failure="truncated"} 1`)
		must.StrContains(t, text, `chivemill_parts_total{status="2xx"} 10`)
		must.Len(t, 0, g.logs.FilterMessage(eventlog.PartNotSuccessful).All())
	})
}

// TestPartWithoutSuccessStatusIsReported guards against a replica's failure in the place of a part that nothing reports.
func TestPartWithoutSuccessStatusIsReported(t *testing.T) {
	g := newObservedGateway(t)
	r := &run{gateway: g.Gateway, request: newRequest("/q/1"), route: &routing.Route{Name: "query"}}
	must.Error(t, r.checkPart("s3", "s3-0", &Answer{Status: http.StatusNotFound, Signature: "stamp"}))
	must.NoError(t, r.checkPart("s4", "s4-0", &Answer{Status: http.StatusOK, Signature: "stamp"}))
	lines := g.logs.FilterMessage(eventlog.PartNotSuccessful).All()
	must.Len(t, 1, lines)
	must.Eq(t, map[string]any{"request": "r1", "service": "s3", "replica": "s3-0", "status": int64(404), "route": "query"},
		lines[0].ContextMap())
	text := g.metricsText()
	must.StrContains(t, text, `chivemill_parts_total{status="2xx"} 1`)
	must.StrContains(t, text, `chivemill_parts_total{status="4xx"} 1`)
}
