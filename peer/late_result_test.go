package peer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/peer"
	"github.com/chivemill/chivemill/relay"
)

// stubbornExecutor ignores cancellation: it returns the result of the first batch only once a second batch arrives, or
// after the connection of the first has been in use again.
type stubbornExecutor struct {
	batches atomic.Int64
	release chan struct{}
}

// Execute implements peer.Executor.
func (e *stubbornExecutor) Execute(_ context.Context, subs []relay.SubRequest, _ <-chan int32, done func(relay.SubResult)) {
	if e.batches.Add(1) == 1 {
		<-e.release
	}
	for _, s := range subs {
		done(relay.SubResult{ID: s.ID, Attempt: s.Attempt, Failure: backend.Failure("for " + s.Attempt)})
	}
}

// TestLateResultOfCancelledBatch guards against a result of a cancelled batch that arrives in the next batch to the same
// peer: the ids of sub-requests count from 0 in each batch, so it would be that of another sub-request.
func TestLateResultOfCancelledBatch(t *testing.T) {
	executor := &stubbornExecutor{release: make(chan struct{})}
	address := serve(t, nil, executor)
	client := newClient(t, "a")
	to := relay.Peer{ID: "b", Address: address}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Forward(ctx, to, []relay.SubRequest{{SubRequest: backend.SubRequest{Attempt: "first"}}}, nil,
		func(r relay.SubResult) { t.Errorf("result of a cancelled batch: %+v", r) })
	must.Error(t, err)
	time.AfterFunc(50*time.Millisecond, func() { close(executor.release) })
	for range 50 {
		var mu sync.Mutex
		var results []relay.SubResult
		_, err = client.Forward(t.Context(), to, []relay.SubRequest{{SubRequest: backend.SubRequest{Attempt: "next"}}}, nil,
			func(r relay.SubResult) {
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		must.NoError(t, err)
		must.Eq(t, []relay.SubResult{{Attempt: "next", Failure: "for next"}}, results)
	}
}

var _ peer.Executor = (*stubbornExecutor)(nil)
