package edge

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/platform"
)

// TestReplicaObservations checks the log line and the counter of each observation: they are all that an operator has to
// find out why a caller got an answer that is not its own.
func TestReplicaObservations(t *testing.T) {
	connection := platform.ConnectionUse{Requests: 2, SincePrevious: 30 * time.Millisecond, BeforeWrite: true, UnsolicitedBytes: 90}
	for name, c := range map[string]struct {
		observe func(platform.ReplicaObserver)
		event   string
		fields  map[string]any
		counter string
	}{
		"mismatched": {
			func(o platform.ReplicaObserver) {
				o.ResponseMismatched(platform.MismatchedResponse{RequestID: "2", Replica: "i-1", Kind: platform.LateCopy, ReceivedID: "1",
					RequestsAgo: 1, Status: 200, Connection: connection})
			},
			eventlog.ResponseMismatched,
			map[string]any{"request": "2", "replica": "i-1", "requests_on_connection": int64(2), "since_previous_ms": 30 * time.Millisecond,
				"before_write": true, "unsolicited_bytes": int64(90), "kind": "late_copy", "received_id": "1", "requests_ago": int64(1),
				"status": int64(200)},
			`chivemill_mismatched_responses_total{kind="late_copy"} 1`,
		},
		"early": {
			func(o platform.ReplicaObserver) {
				o.ResponseEarly(platform.EarlyResponse{RequestID: "2", Replica: "i-1", Err: errors.New("reset"), Connection: connection})
			},
			eventlog.ResponseEarly,
			map[string]any{"request": "2", "replica": "i-1", "requests_on_connection": int64(2), "since_previous_ms": 30 * time.Millisecond,
				"before_write": true, "unsolicited_bytes": int64(90), "received_id": "", "status": int64(0), "error": "reset"},
			`chivemill_early_responses_total 1`,
		},
		"repeated": {
			func(o platform.ReplicaObserver) {
				o.RequestIDRepeated(platform.RepeatedRequestID{RequestID: "1", Replica: "i-1", RequestsAgo: 1, Connection: connection})
			},
			eventlog.RequestIDRepeated,
			map[string]any{"request": "1", "replica": "i-1", "requests_on_connection": int64(2), "since_previous_ms": 30 * time.Millisecond,
				"requests_ago": int64(1)},
			`chivemill_repeated_request_ids_total 1`,
		},
		"without length": {
			func(o platform.ReplicaObserver) { o.ResponseWithoutLength() }, "", nil, `chivemill_responses_without_length_total 1`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			provider, err := metrics.NewProvider()
			must.NoError(t, err)
			core, logs := observer.New(zap.InfoLevel)
			o, err := newReplicaObserver(provider.Meter(), zap.New(core))
			must.NoError(t, err)
			c.observe(o)
			if c.event != "" {
				must.Len(t, 1, logs.All())
				must.Eq(t, c.event, logs.All()[0].Message)
				must.Eq(t, c.fields, logs.All()[0].ContextMap())
			}
			w := httptest.NewRecorder()
			provider.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, metrics.Path, nil))
			must.StrContains(t, w.Body.String(), c.counter)
		})
	}
}
