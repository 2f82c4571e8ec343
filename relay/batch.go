package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/backend"
)

const (
	// batchWindow is the time that the first sub-request of a batch waits for others.
	batchWindow = 200 * time.Microsecond
	// maxBatch and maxBatchBytes send a batch before the window ends.
	maxBatch      = 64
	maxBatchBytes = 256 << 10
)

type outcome struct {
	result Result
	err    error
}

// waiting is a sub-request whose caller waits.
type waiting struct {
	ctx  context.Context
	sub  Sub
	done chan outcome

	mu sync.Mutex
	// taken tells that the batch is being sent; withdrawn that the caller left before that.
	taken, withdrawn, finished bool
}

// withdraw reports whether the sub-request was taken back before it was sent.
func (w *waiting) withdraw() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.withdrawn = !w.taken
	return w.withdrawn
}

// take reports whether the sub-request is still to be sent, and sets its id and the remaining time.
func (w *waiting) take(now time.Time, id int32) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.withdrawn || w.ctx.Err() != nil {
		return false
	}
	if deadline, ok := w.ctx.Deadline(); ok {
		w.sub.Remaining = deadline.Sub(now)
	}
	w.sub.ID = id
	w.taken = true
	return true
}

// finish passes the outcome to the caller once; later ones are dropped.
func (w *waiting) finish(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.finished {
		return
	}
	w.finished = true
	w.done <- o
}

// batch collects sub-requests to one peer.
type batch struct {
	peer  Peer
	subs  []*waiting
	bytes int
	timer *time.Timer
}

// batcher groups sub-requests by peer. It is safe for concurrent use.
type batcher struct {
	transport Transport
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu   sync.Mutex
	open map[Peer]*batch
}

func newBatcher(t Transport) *batcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &batcher{transport: t, ctx: ctx, cancel: cancel, open: make(map[Peer]*batch)}
}

func (b *batcher) close() {
	b.cancel()
	b.mu.Lock()
	for _, open := range b.open {
		b.start(open)
	}
	b.mu.Unlock()
	b.wg.Wait()
}

func (b *batcher) add(peer Peer, w *waiting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	open, ok := b.open[peer]
	if !ok {
		open = &batch{peer: peer}
		b.open[peer] = open
		open.timer = time.AfterFunc(batchWindow, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.start(open)
		})
	}
	open.subs = append(open.subs, w)
	open.bytes += len(w.sub.Query)
	if len(open.subs) >= maxBatch || open.bytes >= maxBatchBytes {
		b.start(open)
	}
}

// start sends a batch if it was not sent yet. The caller holds the lock.
func (b *batcher) start(open *batch) {
	if b.open[open.peer] != open {
		return
	}
	delete(b.open, open.peer)
	open.timer.Stop()
	b.wg.Go(func() { b.send(open) })
}

func (b *batcher) send(open *batch) {
	var subs []Sub
	sending := make(map[int32]*waiting, len(open.subs))
	now := time.Now()
	for _, w := range open.subs {
		if !w.take(now, int32(len(subs))) {
			w.finish(outcome{err: &backend.Error{Failure: backend.NotSent, Cause: eris.New("left before sending")}})
			continue
		}
		sending[w.sub.ID] = w
		subs = append(subs, w.sub)
	}
	if len(subs) == 0 {
		return
	}
	ctx, cancelled, cancel := b.watchCallers(sending)
	defer cancel()
	sent, err := b.transport.Forward(ctx, open.peer, subs, cancelled, func(r Result) {
		if w, ok := sending[r.ID]; ok {
			w.finish(outcome{result: r})
		}
	})
	for _, w := range sending {
		w.finish(outcome{err: lost(sent, err)})
	}
}

// watchCallers returns a context that ends when all callers have left or the batcher closes, and a channel with the
// ids of the sub-requests whose callers have left, so that the peer stops work that nobody waits for.
func (b *batcher) watchCallers(subs map[int32]*waiting) (context.Context, <-chan int32, context.CancelFunc) {
	ctx, cancel := context.WithCancel(b.ctx)
	var mu sync.Mutex
	left := len(subs)
	cancelled := make(chan int32, left)
	stops := make([]func() bool, 0, left)
	for id, w := range subs {
		stops = append(stops, context.AfterFunc(w.ctx, func() {
			mu.Lock()
			defer mu.Unlock()
			cancelled <- id
			left--
			if left == 0 {
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

// lost is the failure of a sub-request without a result.
func lost(sent bool, err error) *backend.Error {
	if !sent {
		return &backend.Error{Failure: backend.NotSent, Cause: err}
	}
	if err == nil {
		err = eris.New("second hop ended without this result")
	}
	return &backend.Error{Failure: backend.ConnectionLost, Cause: err}
}
