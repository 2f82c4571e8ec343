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

// oneReplica offers the same replica for every shard.
type oneReplica struct{}

func (oneReplica) Pick(_ string, _ snapshot.Version, _ string, exclude []string) (scatter.Target, bool) {
	return scatter.Target{ID: "replica", Done: func(time.Duration, error) {}}, len(exclude) == 0
}

// BenchmarkRun measures the scatter alone: the sender answers at once. The figures per sub-request are reported as
// ns/sub, allocs/sub and B/sub.
func BenchmarkRun(b *testing.B) {
	sender := senderFunc(func(_ context.Context, _ string, sub backend.Sub) (backend.SubAnswer, error) {
		return backend.SubAnswer{Version: sub.Version, Shard: sub.Shard}, nil
	})
	for _, shards := range []int{1, 10, 100, 1700} {
		b.Run(strconv.Itoa(shards), func(b *testing.B) {
			plan := scatter.Plan{
				Service: "s", Request: "request", Version: snapshot.Version{Index: 1, Map: 1},
				Map:        snapshot.Uniform(1, "s", shards),
				HedgeDelay: time.Second, MaxAttempts: 3, Hedges: &bucket{}, Retries: &bucket{},
			}
			ctx, cancel := context.WithTimeout(b.Context(), time.Hour)
			defer cancel()
			b.ReportAllocs()
			for b.Loop() {
				if r := scatter.Run(ctx, plan, oneReplica{}, sender); !r.Coverage.Complete {
					b.Fatal("incomplete answer")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*shards), "ns/sub")
		})
	}
}

// BenchmarkRoundTrip measures a bare net/http round trip over a reused loopback connection, as a yardstick for
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
