package confsync

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/kv"
)

const (
	// tickInterval is the time between two ticks of the node.
	tickInterval = 100 * time.Millisecond
	// peerTimeout limits a call to a peer, storeTimeout a read from the store.
	peerTimeout  = time.Second
	storeTimeout = 5 * time.Second
	// impossibleRevision is a revision that no key can have. Comparing with it makes a transaction run its read branch.
	impossibleRevision = math.MaxInt64
)

// Members provides the live members. Implementations are safe for concurrent use.
type Members interface {
	// Live returns the live members. The caller must not modify the slice.
	Live() []Member
}

// Broadcaster sends a small payload to all members. Implementations are safe for concurrent use and do not
// block.
type Broadcaster interface {
	Broadcast(payload []byte)
}

// Caller sends a request to a peer. Implementations are safe for concurrent use and return when ctx ends.
type Caller interface {
	Call(ctx context.Context, peer Member, req Request) (Response, error)
}

// Runner runs a node on the wall clock and performs its actions. It is safe for concurrent use.
type Runner struct {
	store     kv.Store
	members   Members
	broadcast Broadcaster
	caller    Caller
	log       *zap.Logger
	prefix    string

	mu        sync.Mutex
	node      *Node
	live      []Member
	stopWatch context.CancelFunc
	wg        sync.WaitGroup
}

// NewRunner returns a runner for a new node with cfg. Run starts it.
func NewRunner(cfg Config, store kv.Store, m Members, b Broadcaster, c Caller, log *zap.Logger) *Runner {
	return &Runner{
		store: store, members: m, broadcast: b, caller: c, log: log, prefix: cfg.Prefix, node: NewNode(cfg),
	}
}

// Replica returns the node's replica of the configuration.
func (r *Runner) Replica() *Replica { return r.node.Replica() }

// Run runs the node until ctx ends, and returns after all of its calls have ended.
func (r *Runner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.wg.Wait()
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Runner) tick(ctx context.Context) {
	live := r.members.Live()
	r.update(ctx, func(now time.Time) {
		if !slices.Equal(live, r.live) {
			r.live = slices.Clone(live)
			r.node.SetMembers(live)
		}
		r.node.Tick(now)
	})
}

// update passes the current time to change, which modifies the node, and starts the resulting actions.
func (r *Runner) update(ctx context.Context, change func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(time.Now())
	if ctx.Err() != nil {
		return
	}
	for _, a := range r.node.Actions() {
		r.execute(ctx, a)
	}
}

// execute starts an action. The caller holds the lock.
func (r *Runner) execute(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Announce:
		r.broadcast.Broadcast(a.Payload)
	case Call:
		r.wg.Go(func() { r.call(ctx, a) })
	case List:
		r.wg.Go(func() { r.list(ctx) })
	case Verify:
		r.wg.Go(func() { r.verify(ctx, a) })
	case Watch:
		watchCtx, cancel := context.WithCancel(ctx)
		r.stopWatch = cancel
		r.wg.Go(func() {
			defer cancel()
			r.watch(ctx, watchCtx, a)
		})
	case StopWatch:
		if r.stopWatch != nil {
			r.stopWatch()
		}
	}
}

func (r *Runner) call(ctx context.Context, a Call) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := r.caller.Call(callCtx, a.Peer, a.Request)
	r.update(ctx, func(now time.Time) { r.node.HandleResponse(now, a.ID, resp, err) })
}

func (r *Runner) list(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, revision, err := r.store.List(listCtx, r.prefix)
	if err != nil {
		r.log.Warn("configuration not read from the store", zap.Error(err))
	}
	r.update(ctx, func(now time.Time) { r.node.HandleList(now, items, revision, err) })
}

func (r *Runner) watch(ctx, watchCtx context.Context, a Watch) {
	err := r.store.Watch(watchCtx, r.prefix, a.From, func(b kv.WatchBatch) {
		r.update(ctx, func(now time.Time) { r.node.HandleWatchBatch(now, a.ID, b) })
	})
	if watchCtx.Err() == nil {
		r.log.Warn("configuration watch ended", zap.Error(err))
	}
	r.update(ctx, func(now time.Time) { r.node.HandleWatchEnd(now, a.ID, err) })
}

func (r *Runner) verify(ctx context.Context, a Verify) {
	ctxTxn, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var txn kv.Txn
	for _, e := range a.Entries {
		// Some stores return only the keys of conditions.
		txn.If = append(txn.If, kv.Compare{Key: e.Key, ModRevision: impossibleRevision})
		txn.Else = append(txn.Else, e.Key)
		r.log.Warn("configuration revision of a peer is checked in the store",
			zap.String("key", e.Key), zap.Int64("revision", e.Revision))
	}
	result, err := r.store.Txn(ctxTxn, txn)
	r.update(ctx, func(now time.Time) { r.node.HandleVerify(now, result.Items, result.Revision, err) })
}

// HandleRequest answers a request of the peer whose member ID is from. It returns nil for an unknown type of request.
func (r *Runner) HandleRequest(from string, req Request) Response {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.HandleRequest(time.Now(), from, req)
}

// HandleNotice handles a payload of the membership broadcast.
func (r *Runner) HandleNotice(payload []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.node.HandleNotice(time.Now(), payload)
}

// Status returns the current status of the replica.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.node.Status(time.Now())
}
