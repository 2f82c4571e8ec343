package relay

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/dispatch"
)

// maxRemaining limits the time of a sub-request, whatever its daemon states. It is the largest deadline of a profile.
const maxRemaining = time.Minute

// LocalExecutor executes sub-requests of peers over this daemon's own connections. It never forwards them, so a
// sub-request takes at most two hops. It is safe for concurrent use.
type LocalExecutor struct {
	owners ConnectionOwners
	direct Sender
}

// NewLocalExecutor returns a LocalExecutor that executes sub-requests with direct.
func NewLocalExecutor(owners ConnectionOwners, direct Sender) *LocalExecutor {
	return &LocalExecutor{owners: owners, direct: direct}
}

// Execute runs the sub-requests concurrently and returns after the last one. It calls done once for each as it ends,
// possibly from several goroutines at once. The end of ctx cancels all of them. An ID received from cancelled cancels that
// one, unless it is non-idempotent and a replica may be executing it. Sub-requests beyond the maximum batch size (maxBatch) are not sent and fail with backend.NotSent.
func (l *LocalExecutor) Execute(ctx context.Context, subs []SubRequest, cancelled <-chan int32, done func(SubResult)) {
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	cancels := make(map[int32]context.CancelFunc)
	var wg sync.WaitGroup
	for _, s := range subs[:min(len(subs), maxBatch)] {
		waiting, leave := context.WithCancel(ctx)
		cancels[s.ID] = leave
		wg.Go(func() {
			defer leave()
			done(l.execute(ctx, waiting, s))
		})
	}
	go cancelEach(ctx, cancels, cancelled)
	wg.Wait()
	for _, s := range subs[min(len(subs), maxBatch):] {
		done(SubResult{ID: s.ID, Attempt: s.Attempt, Failure: backend.NotSent})
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

// execute sends a sub-request to its replica. ctx ends with the batch, waiting when nobody waits for the result any more.
func (l *LocalExecutor) execute(ctx, waiting context.Context, s SubRequest) SubResult {
	if !l.owners.IsDirect(s.Replica) || s.Remaining < 0 {
		return SubResult{ID: s.ID, Attempt: s.Attempt, Failure: backend.NotSent}
	}
	if s.Key == "" {
		ctx = waiting
	} else {
		gate, gated := dispatch.NewGate(ctx, waiting)
		defer gate.Release()
		ctx = dispatch.NewContext(gated, gate)
	}
	timeout := maxRemaining
	if s.Remaining > 0 {
		timeout = min(timeout, s.Remaining)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := l.direct.Send(ctx, s.Replica, s.SubRequest)
	if err != nil {
		return failureResult(s, err)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return SubResult{ID: s.ID, Attempt: s.Attempt, Failure: backend.Undecodable}
	}
	return SubResult{ID: s.ID, Attempt: s.Attempt, Answer: data}
}

// failureResult returns the result of a failed sub-request. A result with the failure Refused guarantees that nothing was
// executed, so an unconfirmed refusal is reported as Mismatched.
func failureResult(s SubRequest, err error) SubResult {
	r := SubResult{ID: s.ID, Attempt: s.Attempt, Failure: backend.FailureOf(err)}
	var e *backend.Error
	switch {
	case !errors.As(err, &e) || e.Failure != backend.Refused:
	case e.Unconfirmed:
		r.Failure = backend.Mismatched
	default:
		r.Reason = e.Refusal.Reason
	}
	if errors.Is(err, context.DeadlineExceeded) && r.Failure == backend.ServerError {
		r.Failure = backend.TimedOut
	}
	return r
}
