package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/dispatch"
)

const (
	// batchWindow is how long the first sub-request of a batch waits for others.
	batchWindow = 200 * time.Microsecond
	// A batch is sent before the window ends once it has maxBatch sub-requests, or queries of maxBatchBytes bytes in
	// total.
	maxBatch      = 64
	maxBatchBytes = 256 << 10
)

type outcome struct {
	result SubResult
	err    error
}

// pendingSub is a sub-request whose caller waits for the result.
type pendingSub struct {
	ctx  context.Context
	sub  SubRequest
	done chan outcome

	mu sync.Mutex
	// sending is set once the batch is being sent; withdrawn if the caller left before that; finished once the caller
	// has the outcome.
	sending, withdrawn, finished bool
	// begun is set if the gate of a non-idempotent sub-request has counted it.
	begun bool
}

// withdraw cancels the sub-request if it is not being sent yet, and reports whether it did.
func (p *pendingSub) withdraw() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdrawn = !p.sending
	return p.withdrawn
}

// beginSending marks the sub-request as being sent and sets its ID and the remaining time. It returns false if the
// caller has left.
func (p *pendingSub) beginSending(now time.Time, id int32) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.withdrawn || p.ctx.Err() != nil {
		return false
	}
	if gate := dispatch.FromContext(p.ctx); gate != nil {
		if p.begun = gate.Begin(); !p.begun {
			return false
		}
	}
	if deadline, ok := p.ctx.Deadline(); ok {
		p.sub.Remaining = deadline.Sub(now)
	}
	p.sub.ID = id
	p.sending = true
	return true
}

// recordError tells the gate of a non-idempotent sub-request if err shows that no replica has executed it.
func (p *pendingSub) recordError(err error) {
	var e *backend.Error
	if p.begun && errors.As(err, &e) && !e.MayHaveExecuted() {
		dispatch.FromContext(p.ctx).NotExecuted()
	}
}

// complete passes the outcome to the caller; only the first call has an effect.
func (p *pendingSub) complete(o outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return
	}
	p.finished = true
	p.done <- o
}

// batch collects sub-requests to one peer.
type batch struct {
	peer  Peer
	subs  []*pendingSub
	bytes int
	timer *time.Timer
}

// batcher groups sub-requests by peer. It is safe for concurrent use.
type batcher struct {
	transport Transport
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu          sync.Mutex
	openBatches map[Peer]*batch
}

func newBatcher(t Transport) *batcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &batcher{transport: t, ctx: ctx, cancel: cancel, openBatches: make(map[Peer]*batch)}
}

func (b *batcher) close() {
	b.cancel()
	b.mu.Lock()
	for _, current := range b.openBatches {
		b.flush(current)
	}
	b.mu.Unlock()
	b.wg.Wait()
}

func (b *batcher) add(peer Peer, pending *pendingSub) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, ok := b.openBatches[peer]
	if !ok {
		current = &batch{peer: peer}
		b.openBatches[peer] = current
		current.timer = time.AfterFunc(batchWindow, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.flush(current)
		})
	}
	current.subs = append(current.subs, pending)
	current.bytes += len(pending.sub.Query)
	if len(current.subs) >= maxBatch || current.bytes >= maxBatchBytes {
		b.flush(current)
	}
}

// flush sends a batch unless it has already been sent. The caller holds the lock.
func (b *batcher) flush(current *batch) {
	if b.openBatches[current.peer] != current {
		return
	}
	delete(b.openBatches, current.peer)
	current.timer.Stop()
	b.wg.Go(func() { b.sendBatch(current) })
}

func (b *batcher) sendBatch(current *batch) {
	var subs []SubRequest
	pendingByID := make(map[int32]*pendingSub, len(current.subs))
	now := time.Now()
	for _, pending := range current.subs {
		if !pending.beginSending(now, int32(len(subs))) {
			pending.complete(outcome{err: &backend.Error{Failure: backend.NotSent,
				Cause: eris.New("caller left before the sub-request was sent")}})
			continue
		}
		pendingByID[pending.sub.ID] = pending
		subs = append(subs, pending.sub)
	}
	if len(subs) == 0 {
		return
	}
	ctx, cancelled, cancel := b.watchCallers(pendingByID)
	defer cancel()
	sent, err := b.transport.Forward(ctx, current.peer, subs, cancelled, func(r SubResult) {
		if pending, ok := pendingByID[r.ID]; ok {
			pending.complete(outcome{result: r})
		}
	})
	for _, pending := range pendingByID {
		pending.complete(outcome{err: missingResultError(sent, err)})
	}
}

// watchCallers returns a context that ends when nobody waits for the batch any more or the batcher closes, and a channel with the IDs
// of the sub-requests whose callers have left, so that the peer can end work whose result is no longer needed. The peer itself knows
// what of it must not be aborted.
func (b *batcher) watchCallers(pendingByID map[int32]*pendingSub) (context.Context, <-chan int32, context.CancelFunc) {
	ctx, cancel := context.WithCancel(b.ctx)
	var remaining atomic.Int64
	remaining.Store(int64(len(pendingByID)))
	// Each sub-request is cancelled at most twice: when its caller leaves, and when its context ends.
	cancelled := make(chan int32, 2*len(pendingByID))
	stops := make([]func() bool, 0, 2*len(pendingByID))
	for id, pending := range pendingByID {
		if gate := dispatch.FromContext(pending.ctx); gate != nil {
			stops = append(stops, gate.OnCallerEnd(func() { cancelled <- id }))
		}
		stops = append(stops, context.AfterFunc(pending.ctx, func() {
			cancelled <- id
			if remaining.Add(-1) == 0 {
				cancel()
			}
		}))
	}
	return ctx, cancelled, func() {
		for _, stop := range stops {
			stop()
		}
		cancel()
	}
}

// missingResultError returns the error of a sub-request without a result.
func missingResultError(sent bool, err error) *backend.Error {
	if !sent {
		return &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	if err == nil {
		err = eris.New("peer ended the batch without a result for this sub-request")
	}
	return &backend.Error{Failure: backend.ConnectionLost, Cause: err}
}
