package kvtest

import (
	"context"
	"sync"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// Limited is a store that runs a fixed number of transactions per second, in order. Waiting transactions queue
// without bound, and a call's deadline does not end its wait. It is safe for concurrent use.
type Limited struct {
	kv.Store
	interval, latency time.Duration

	mu   sync.Mutex
	next time.Time
}

// NewLimited returns a view of the store that runs rate transactions per second, each with the latency on top.
func NewLimited(store kv.Store, rate int, latency time.Duration) *Limited {
	return &Limited{Store: store, interval: time.Second / time.Duration(rate), latency: latency}
}

// Txn implements kv.Store.
func (l *Limited) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(l.interval)
	until := l.next
	l.mu.Unlock()
	sleep(time.Until(until) + l.latency)
	return l.Store.Txn(ctx, txn)
}
