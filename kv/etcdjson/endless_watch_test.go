package etcdjson

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/endless"
	"github.com/chivemill/chivemill/kv"
)

// TestEndlessWatchMessageIsBounded guards a daemon against a store that sends a message without an end in a watch: the watch ends, and
// uses less than a third of 184 MB.
func TestEndlessWatchMessageIsBounded(t *testing.T) {
	const maxGrowth = 184 << 20 / 3
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"result":{"events":[{"kv":{"value":"`)
		for err == nil {
			_, err = io.WriteString(w, strings.Repeat("a", 32<<10))
		}
	}))
	defer server.Close()
	client, err := New([]string{server.URL})
	must.NoError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	growth := endless.Growth(func() { err = client.Watch(ctx, "p/", 1, func(kv.WatchBatch) {}) })
	t.Logf("RESULT growth %d MB, %v", growth>>20, err)
	must.ErrorIs(t, err, kv.ErrUnavailable)
	must.Less(t, maxGrowth, int(growth))
}
