package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
)

type fakeOwners []Peer

func (fakeOwners) IsDirect(string) bool   { return false }
func (o fakeOwners) Owners(string) []Peer { return o }

// fakeTransport calls the forward function of each peer and records the batches.
type fakeTransport struct {
	forward map[string]func(ctx context.Context, subs []SubRequest, done func(SubResult)) (bool, error)
	batches map[string][][]SubRequest
}

func (f *fakeTransport) Forward(ctx context.Context, to Peer, subs []SubRequest, _ <-chan int32, done func(SubResult)) (bool, error) {
	f.batches[to.ID] = append(f.batches[to.ID], subs)
	return f.forward[to.ID](ctx, subs, done)
}

func answerResult(s SubRequest) SubResult {
	data, _ := json.Marshal(backend.SubResponse{Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, End: s.Attempt})
	return SubResult{ID: s.ID, Attempt: s.Attempt, Answer: data}
}

func answerAllReversed(_ context.Context, subs []SubRequest, done func(SubResult)) (bool, error) {
	for i := range subs {
		done(answerResult(subs[len(subs)-1-i]))
	}
	return true, nil
}

func failDial(context.Context, []SubRequest, func(SubResult)) (bool, error) {
	return false, errors.New("dial")
}

// failAfterFirstResult answers the first sub-request of a batch, then loses the connection to the peer.
func failAfterFirstResult(_ context.Context, subs []SubRequest, done func(SubResult)) (bool, error) {
	done(answerResult(subs[0]))
	return true, errors.New("connection reset")
}

func newTestRouter(one, two func(context.Context, []SubRequest, func(SubResult)) (bool, error)) (*Router, *fakeTransport) {
	f := &fakeTransport{batches: map[string][][]SubRequest{}}
	f.forward = map[string]func(context.Context, []SubRequest, func(SubResult)) (bool, error){"one": one, "two": two}
	return NewRouter(fakeOwners{{ID: "one"}, {ID: "two"}}, nil, f), f
}

func testSub(i int) backend.SubRequest {
	return backend.SubRequest{Request: fmt.Sprint("r", i), Attempt: "1", Key: fmt.Sprint("k", i)}
}

// TestPeerLostDuringBatch guards against a non-idempotent request that is relayed again after the connection to its
// peer was lost, and against a failure with unknown outcome that is reported as never sent.
func TestPeerLostDuringBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router, f := newTestRouter(failAfterFirstResult, answerAllReversed)
		defer router.Close()
		failures := make(chan backend.Failure, 10)
		for i := range 10 {
			go func() {
				_, err := router.Send(t.Context(), "x", testSub(i))
				if err == nil {
					failures <- ""
					return
				}
				failures <- backend.FailureOf(err)
			}()
		}
		counts := map[backend.Failure]int{}
		for range 10 {
			counts[<-failures]++
		}
		must.Eq(t, map[backend.Failure]int{"": 1, backend.ConnectionLost: 9}, counts)
		must.Eq(t, 1, len(f.batches["one"]))
		must.Eq(t, 0, len(f.batches["two"]))
	})
}

// TestUnsentBatchGoesToNextOwner guards against a request that fails because its batch could not be sent to the first
// owner.
func TestUnsentBatchGoesToNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router, _ := newTestRouter(failDial, answerAllReversed)
		defer router.Close()
		_, err := router.Send(t.Context(), "x", testSub(1))
		must.NoError(t, err)
		router, _ = newTestRouter(failDial, failDial)
		defer router.Close()
		_, err = router.Send(t.Context(), "x", testSub(1))
		must.Eq(t, backend.NotSent, backend.FailureOf(err))
	})
}

// TestBatchingAndRemainingTime guards against sub-requests that are sent one by one, a remaining time that ignores the
// batch window, and a batch that continues after all its callers have left.
func TestBatchingAndRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan struct{})
		router, f := newTestRouter(func(ctx context.Context, _ []SubRequest, _ func(SubResult)) (bool, error) {
			<-ctx.Done()
			close(cancelled)
			return true, ctx.Err()
		}, answerAllReversed)
		defer router.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		errs := make(chan error, maxBatch-1)
		for i := range maxBatch - 1 {
			go func() {
				_, err := router.Send(ctx, "x", testSub(i))
				errs <- err
			}()
		}
		for range maxBatch - 1 {
			must.Eq(t, backend.TimedOut, backend.FailureOf(<-errs))
		}
		<-cancelled
		must.Eq(t, 1, len(f.batches["one"]))
		must.Eq(t, maxBatch-1, len(f.batches["one"][0]))
		must.Eq(t, time.Second-batchWindow, f.batches["one"][0][0].Remaining)
	})
}

// TestMismatchedAnswerIsRejected guards against an answer that belongs to another attempt of the batch.
func TestMismatchedAnswerIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router, _ := newTestRouter(func(_ context.Context, subs []SubRequest, done func(SubResult)) (bool, error) {
			r := answerResult(subs[0])
			r.Answer = []byte(`{"request":"other","attempt":"1","end":"1"}`)
			done(r)
			return true, nil
		}, answerAllReversed)
		defer router.Close()
		_, err := router.Send(t.Context(), "x", testSub(1))
		must.Eq(t, backend.Mismatched, backend.FailureOf(err))
	})
}
