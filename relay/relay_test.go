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

func (fakeOwners) Direct(string) bool     { return false }
func (o fakeOwners) Owners(string) []Peer { return o }

// fakeTransport answers as run says for each peer, and records the batches.
type fakeTransport struct {
	run     map[string]func(ctx context.Context, subs []Sub, done func(Result)) (bool, error)
	batches map[string][][]Sub
}

func (f *fakeTransport) Forward(ctx context.Context, to Peer, subs []Sub, _ <-chan int32, done func(Result)) (bool, error) {
	f.batches[to.ID] = append(f.batches[to.ID], subs)
	return f.run[to.ID](ctx, subs, done)
}

func answer(s Sub) Result {
	data, _ := json.Marshal(backend.SubAnswer{Request: s.Request, Attempt: s.Attempt, Shard: s.Shard, End: s.Attempt})
	return Result{ID: s.ID, Attempt: s.Attempt, Answer: data}
}

func answerAll(_ context.Context, subs []Sub, done func(Result)) (bool, error) {
	for i := range subs {
		done(answer(subs[len(subs)-1-i]))
	}
	return true, nil
}

func neverSent(context.Context, []Sub, func(Result)) (bool, error) { return false, errors.New("dial") }

// lostMidway answers the first sub-request of a batch, and then the peer is lost.
func lostMidway(_ context.Context, subs []Sub, done func(Result)) (bool, error) {
	done(answer(subs[0]))
	return true, errors.New("connection reset")
}

func setup(one, two func(context.Context, []Sub, func(Result)) (bool, error)) (*Router, *fakeTransport) {
	f := &fakeTransport{batches: map[string][][]Sub{}}
	f.run = map[string]func(context.Context, []Sub, func(Result)) (bool, error){"one": one, "two": two}
	return NewRouter(fakeOwners{{ID: "one"}, {ID: "two"}}, nil, f), f
}

func order(i int) backend.Sub {
	return backend.Sub{Request: fmt.Sprint("r", i), Attempt: "1", Key: fmt.Sprint("k", i)}
}

// TestPeerLossMidway guards against a non-idempotent request that is relayed again after its peer was lost, and
// against an uncertain failure that is reported as never sent.
func TestPeerLossMidway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router, f := setup(lostMidway, answerAll)
		defer router.Close()
		failures := make(chan backend.Failure, 10)
		for i := range 10 {
			go func() {
				_, err := router.Send(t.Context(), "x", order(i))
				if err == nil {
					failures <- ""
					return
				}
				failures <- backend.FailureOf(err)
			}()
		}
		count := map[backend.Failure]int{}
		for range 10 {
			count[<-failures]++
		}
		must.Eq(t, map[backend.Failure]int{"": 1, backend.ConnectionLost: 9}, count)
		must.Eq(t, 1, len(f.batches["one"]))
		must.Eq(t, 0, len(f.batches["two"]))
	})
}

// TestNeverSentTakesNextOwner guards against a failure before sending that ends the request.
func TestNeverSentTakesNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router, _ := setup(neverSent, answerAll)
		defer router.Close()
		_, err := router.Send(t.Context(), "x", order(1))
		must.NoError(t, err)
		router, _ = setup(neverSent, neverSent)
		defer router.Close()
		_, err = router.Send(t.Context(), "x", order(1))
		must.Eq(t, backend.NotSent, backend.FailureOf(err))
	})
}

// TestBatchAndDeadline guards against sub-requests that travel one by one, a remaining time that ignores the wait,
// and a batch that runs on after all its callers left.
func TestBatchAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan struct{})
		router, f := setup(func(ctx context.Context, _ []Sub, _ func(Result)) (bool, error) {
			<-ctx.Done()
			close(cancelled)
			return true, ctx.Err()
		}, answerAll)
		defer router.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		errs := make(chan error, maxBatch-1)
		for i := range maxBatch - 1 {
			go func() {
				_, err := router.Send(ctx, "x", order(i))
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

// TestForeignAnswerIsRefused guards against an answer that belongs to another attempt of the batch.
func TestForeignAnswerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router, _ := setup(func(_ context.Context, subs []Sub, done func(Result)) (bool, error) {
			r := answer(subs[0])
			r.Answer = []byte(`{"request":"other","attempt":"1","end":"1"}`)
			done(r)
			return true, nil
		}, answerAll)
		defer router.Close()
		_, err := router.Send(t.Context(), "x", order(1))
		must.Eq(t, backend.Mismatched, backend.FailureOf(err))
	})
}
