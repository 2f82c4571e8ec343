package etcdjson_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/kv/kvtest"
)

// TestWatchResumes checks that a resumed watch neither misses nor repeats changes, and reports no other keys.
func TestWatchResumes(t *testing.T) {
	c, _ := newStandin(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for i := range 3 {
		_, err := c.Txn(ctx, put(fmt.Sprintf("a/%d", i), "v", 0))
		must.NoError(t, err)
	}
	_, err := c.Txn(ctx, put("b", "v", 0))
	must.NoError(t, err)
	var seen []string
	err = c.Watch(ctx, "a/", 3, func(b kv.WatchBatch) {
		for _, e := range b.Events {
			seen = append(seen, fmt.Sprintf("%s@%d %t", e.Item.Key, e.Item.ModRevision, e.Deleted))
		}
		switch len(seen) {
		case 2:
			_, err := c.Txn(ctx, kv.Txn{Deletes: []string{"a/0"}})
			must.NoError(t, err)
		case 3:
			cancel()
		}
	})
	must.ErrorIs(t, err, context.Canceled)
	must.Eq(t, []string{"a/1@3 false", "a/2@4 false", "a/0@6 true"}, seen)
}

// TestWatchReportsCompaction guards against a watch that silently skips compacted changes.
func TestWatchReportsCompaction(t *testing.T) {
	c, mem := newStandin(t, nil)
	_, err := c.Txn(t.Context(), put("a", "v", 0))
	must.NoError(t, err)
	mem.Compact()
	must.ErrorIs(t, c.Watch(t.Context(), "a", 2, func(kv.WatchBatch) {}), kv.ErrCompacted)
}

// TestWatchEnds guards against a watch that hangs on a half-open connection, and against one that does not end during an
// outage.
func TestWatchEnds(t *testing.T) {
	stalled := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	stalled.SetSilenceTimeout(50 * time.Millisecond)
	err := stalled.Watch(t.Context(), "a", 1, func(kv.WatchBatch) {})
	must.ErrorIs(t, err, kv.ErrUnavailable)
	must.StrContains(t, err.Error(), "nothing received for 50ms")

	c, mem := newStandin(t, nil)
	err = c.Watch(t.Context(), "a", 1, func(kv.WatchBatch) { mem.SetFaults(kvtest.Faults{Unavailable: true}) })
	must.ErrorIs(t, err, kv.ErrUnavailable)
}

// TestWatchBatchRevision guards against a resume revision that is newer than events that have not arrived yet: the header of
// a message with events carries the store's revision, which may be ahead of those events.
// Mutation that this test detects: in decodeBatch, keep the revision of the header.
func TestWatchBatchRevision(t *testing.T) {
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, `{"result":{"header":{"revision":"9"},"created":true}}`)
		fmt.Fprintln(w, `{"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"YQ==","mod_revision":"4"}}]}}`)
		fmt.Fprintln(w, `{"result":{"header":{"revision":"9"}}}`)
	}))
	var revisions []int64
	err := c.Watch(t.Context(), "a", 1, func(b kv.WatchBatch) { revisions = append(revisions, b.Revision) })
	must.ErrorIs(t, err, kv.ErrUnavailable)
	must.Eq(t, []int64{4, 9}, revisions)
}

// TestIdleWatchStaysLive guards against an idle watch that ends because the store sends no progress messages, as with
// etcd's default settings.
func TestIdleWatchStaysLive(t *testing.T) {
	c, mem := newStandin(t, nil)
	mem.SetFaults(kvtest.Faults{NoProgress: true})
	result, err := c.Txn(t.Context(), put("a", "v", 0))
	must.NoError(t, err)
	c.SetProgressInterval(20 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	calls := 0
	err = c.Watch(ctx, "a", result.Revision+1, func(b kv.WatchBatch) {
		must.Eq(t, kv.WatchBatch{Revision: result.Revision}, b)
		if calls++; calls == 5 {
			cancel()
		}
	})
	must.ErrorIs(t, err, context.Canceled)
}

// TestStalledWatchDeliversAndEnds guards against a watch that stops delivering events while its connection stays open: a
// change is found by polling, the resume revision does not advance past it, and the watch ends.
func TestStalledWatchDeliversAndEnds(t *testing.T) {
	c := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == etcdjson.PathRange {
			fmt.Fprintln(w, `{"header":{"revision":"9"},"kvs":[{"key":"YQ==","mod_revision":"7"}]}`)
			return
		}
		fmt.Fprintln(w, `{"result":{"header":{"revision":"9"},"created":true}}`)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	c.SetSilenceTimeout(200 * time.Millisecond)
	c.SetProgressInterval(20 * time.Millisecond)
	var first *kv.WatchBatch
	err := c.Watch(t.Context(), "a", 5, func(b kv.WatchBatch) {
		if first == nil {
			first = &b
		}
	})
	must.ErrorIs(t, err, kv.ErrUnavailable)
	must.StrContains(t, err.Error(), "nothing received")
	must.Eq(t, &kv.WatchBatch{Revision: 4, Events: []kv.Event{{Item: kv.Item{Key: "a", ModRevision: 7}}}}, first)
}
