package confstore

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/chivemill/chivemill/kv/kvtest"
)

// TestMain fixes the seed of rapid unless RAPID_FRESH is set.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	if os.Getenv("RAPID_FRESH") == "" {
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "50")
	}
	os.Exit(m.Run())
}

// testClient returns a client that does not wait between attempts.
func testClient(store *kvtest.Memory, author string) *Client {
	c := NewClient(store, author)
	c.pause = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return c
}

func document(name string, share int) string {
	return fmt.Sprintf("name: %s\nshare: %d\n", name, share)
}
