package backend_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/boundedread"
	"github.com/chivemill/chivemill/internal/endless"
)

// TestEndlessResponsesAreBoundedInMemory guards a daemon against backend servers that send bytes without end: sub-requests, health
// checks, load reports and shard maps of 42 servers at once use less than a third of 184 MB.
func TestEndlessResponsesAreBoundedInMemory(t *testing.T) {
	const (
		servers   = 42
		maxGrowth = 184 << 20 / 3
	)
	calls := map[string]func(ctx context.Context, c *backend.Client) error{
		"sub-request": func(ctx context.Context, c *backend.Client) error {
			_, err := c.Send(ctx, nonIdempotentSub)
			must.True(t, err.(*backend.Error).MayHaveExecuted())
			return err
		},
		"load report": func(ctx context.Context, c *backend.Client) error {
			_, err := c.FetchLoad(ctx)
			return err
		},
		"shard map": func(ctx context.Context, c *backend.Client) error {
			_, err := c.FetchShardMap(ctx, 1)
			return err
		},
		"health check": func(ctx context.Context, c *backend.Client) error {
			c.OpenIdle(ctx, 1)
			return io.EOF
		},
	}
	for name, call := range calls {
		for part, start := range map[string]string{"header": "HTTP/1.1 200 OK\r\nX-Fill: ", "body": "HTTP/1.1 200 OK\r\n\r\n\""} {
			t.Run(name+" "+part, func(t *testing.T) {
				address := endless.Server{Start: start, Chunk: strings.Repeat("a", 32<<10)}.Serve(t)
				memory := boundedread.NewMemoryLimit(backend.DefaultBodyMemoryBytes)
				growth := endless.Growth(func() {
					var wg sync.WaitGroup
					for range servers {
						wg.Go(func() {
							ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
							defer cancel()
							client := backend.NewClient(address, 1)
							defer client.Close()
							client.SetBodyMemory(memory)
							must.Error(t, call(ctx, client))
						})
					}
					wg.Wait()
				})
				t.Logf("RESULT growth %d MB", growth>>20)
				must.Less(t, maxGrowth, int(growth))
			})
		}
	}
}
