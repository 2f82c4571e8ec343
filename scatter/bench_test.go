package scatter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// singleReplicaPicker is a Picker that returns the same replica for every shard.
type singleReplicaPicker struct{}

func (singleReplicaPicker) Pick(_ string, _ snapshot.Version, _ string, exclude []string) (scatter.Target, bool) {
	return scatter.Target{ID: "replica", Done: func(time.Duration, error) {}}, len(exclude) == 0
}

// BenchmarkRun measures the overhead of the scatter itself with a sender that responds immediately. The time per
// sub-request is reported as ns/sub.
func BenchmarkRun(b *testing.B) {
	sender := senderFunc(func(_ context.Context, _ string, sub backend.SubRequest) (backend.SubResponse, error) {
		return backend.SubResponse{Version: sub.Version, Shard: sub.Shard}, nil
	})
	for _, shards := range []int{1, 10, 100, 1700} {
		b.Run(strconv.Itoa(shards), func(b *testing.B) {
			plan := scatter.Plan{
				Service: "s", Request: "request", Version: snapshot.Version{Index: 1, Map: 1},
				ShardMap:   snapshot.NewUniformMap(1, "s", shards),
				HedgeDelay: time.Second, MaxAttempts: 3, Hedges: &tokenBudget{}, Retries: &tokenBudget{},
			}
			ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				if r := scatter.Run(ctx, plan, singleReplicaPicker{}, sender); !r.Coverage.Complete {
					b.Fatal("incomplete answer")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
		})
	}
}

// BenchmarkRoundTrip measures a plain net/http round trip over a reused loopback connection, as a reference for
// BenchmarkRun.
func BenchmarkRoundTrip(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"end":"a"}`)
	}))
	defer server.Close()
	client := server.Client()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Post(server.URL, "application/json", http.NoBody)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
