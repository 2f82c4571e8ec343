package loadgen

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
)

func testPlan(target string) Plan {
	return Plan{Targets: []string{target}, Service: "loja-web", Queries: []string{"q"}, Rate: 400,
		Duration: 200 * time.Millisecond, Seed: 1}
}

// TestArrivalsAreDeterministic checks that the arrival times depend only on the plan, are sorted and match the rate.
func TestArrivalsAreDeterministic(t *testing.T) {
	plan := Plan{Rate: 1000, Duration: 10 * time.Second, Seed: 7}
	first := plan.Arrivals()
	must.Eq(t, first, plan.Arrivals())
	must.Between(t, 9500, len(first), 10500)
	for i := 1; i < len(first); i++ {
		must.GreaterEq(t, first[i-1], first[i])
	}
}

// TestClassify guards against counting a truncated, mismatched or malformed answer as valid.
func TestClassify(t *testing.T) {
	valid := api.Answer{RequestID: "r", EndMarker: "r", Nonce: "n", Coverage: api.Coverage{Complete: true, Fraction: 1}}
	encode := func(modify func(*api.Answer)) []byte {
		a := valid
		modify(&a)
		data, err := json.Marshal(a)
		must.NoError(t, err)
		return data
	}
	complete := encode(func(*api.Answer) {})
	must.Eq(t, ResultOK, classify(200, complete, "n").Result)
	must.Eq(t, ResultInvalidAnswer, classify(200, complete, "other").Result)
	must.Eq(t, ResultInvalidAnswer, classify(200, complete[:len(complete)-2], "n").Result)
	must.Eq(t, ResultInvalidAnswer, classify(200, encode(func(a *api.Answer) { a.EndMarker = "" }), "n").Result)
	for _, modify := range []func(*api.Answer){
		func(a *api.Answer) { a.Records = []api.Record{{Key: "k", Shard: "s"}} },
		func(a *api.Answer) { a.Coverage.Missing = []api.MissingShard{{Shard: "s", Reason: api.MissingTimeout}} },
		func(a *api.Answer) {
			a.Coverage.Included = []string{"s"}
			a.Records = []api.Record{{Key: "k", Shard: "s"}, {Key: "k", Shard: "s"}}
		},
	} {
		must.Eq(t, ResultInvalidAnswer, classify(200, encode(modify), "n").Result)
	}
	must.Eq(t, ResultInvalidAnswer, classify(503, []byte("busy"), "n").Result)
	must.Eq(t, "overloaded", classify(503, []byte(`{"kind":"overloaded"}`), "n").Result)
}

// TestRunIsOpenLoop guards against a client that waits for an answer before it sends the next request: the server sends
// no answer until all planned requests have arrived.
func TestRunIsOpenLoop(t *testing.T) {
	plan := testPlan("")
	planned := len(plan.Arrivals())
	arrived := make(chan struct{}, planned)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q api.Query
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			return
		}
		arrived <- struct{}{}
		<-release
		_ = json.NewEncoder(w).Encode(api.Answer{
			RequestID: "r", EndMarker: "r", Nonce: q.Nonce, Coverage: api.Coverage{Complete: true},
		})
	}))
	defer server.Close()
	plan.Targets[0] = server.URL
	go func() {
		for range planned {
			<-arrived
		}
		close(release)
	}()
	result, err := Run(t.Context(), plan)
	must.NoError(t, err)
	must.Eq(t, int64(planned), result.Results[ResultOK])

	file := filepath.Join(t.TempDir(), "result.json")
	f, err := os.Create(file)
	must.NoError(t, err)
	must.NoError(t, result.Write(f))
	must.NoError(t, f.Close())
	read, err := ReadResult(file)
	must.NoError(t, err)
	must.Eq(t, result.Latency, read.Latency)
}
