package relay

import (
	"context"
	"encoding/json"
	"errors"
	"sync"

	"github.com/chivemill/chivemill/backend"
)

// Local executes sub-requests of peers over this daemon's own connections. It never forwards them, so a sub-request
// takes at most two hops. It is safe for concurrent use.
type Local struct {
	owners Owners
	direct Sender
}

// NewLocal returns a Local that executes sub-requests with direct.
func NewLocal(owners Owners, direct Sender) *Local { return &Local{owners: owners, direct: direct} }

// Forward executes the sub-requests concurrently, calls done once for each as it ends, and returns after the last one.
// The end of ctx cancels all of them; an ID received from cancelled cancels that one.
func (l *Local) Forward(ctx context.Context, subs []Sub, cancelled <-chan int32, done func(Result)) {
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	cancels := make(map[int32]context.CancelFunc)
	var wg sync.WaitGroup
	for _, s := range subs[:min(len(subs), maxBatch)] {
		subCtx, cancel := context.WithCancel(ctx)
		cancels[s.ID] = cancel
		wg.Go(func() {
			defer cancel()
			done(l.execute(subCtx, s))
		})
	}
	go cancelEach(ctx, cancels, cancelled)
	wg.Wait()
	for _, s := range subs[min(len(subs), maxBatch):] {
		done(Result{ID: s.ID, Attempt: s.Attempt, Failure: backend.NotSent})
	}
}

// cancelEach cancels sub-requests by ID until ctx ends. Unknown IDs are ignored.
func cancelEach(ctx context.Context, cancels map[int32]context.CancelFunc, cancelled <-chan int32) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-cancelled:
			if cancel, ok := cancels[id]; ok {
				cancel()
			}
		}
	}
}

func (l *Local) execute(ctx context.Context, s Sub) Result {
	if !l.owners.Direct(s.Replica) || s.Remaining < 0 {
		return Result{ID: s.ID, Attempt: s.Attempt, Failure: backend.NotSent}
	}
	if s.Remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.Remaining)
		defer cancel()
	}
	answer, err := l.direct.Send(ctx, s.Replica, s.Sub)
	if err != nil {
		return failureResult(s, err)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return Result{ID: s.ID, Attempt: s.Attempt, Failure: backend.Undecodable}
	}
	return Result{ID: s.ID, Attempt: s.Attempt, Answer: data}
}

func failureResult(s Sub, err error) Result {
	r := Result{ID: s.ID, Attempt: s.Attempt, Failure: backend.FailureOf(err)}
	var e *backend.Error
	if errors.As(err, &e) && e.Failure == backend.Refused {
		r.Reason = e.Refusal.Reason
	}
	if errors.Is(err, context.DeadlineExceeded) && r.Failure == backend.ServerError {
		r.Failure = backend.TimedOut
	}
	return r
}
