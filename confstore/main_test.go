package confstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/kv/kvtest"
)

func TestMain(m *testing.M) { testseed.Main(m, 50) }

// testClient returns a client that does not wait between attempts.
func testClient(store *kvtest.Memory, author string) *Client {
	c := NewClient(store, author)
	c.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return c
}

func document(name string, share int) string {
	return fmt.Sprintf("name: %s\nshare: %d\n", name, share)
}
