package kvtest

import (
	"context"
	"sync"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// RateLimited is a store that executes a limited number of transactions per second, in the order of their calls. The
// queue of waiting transactions is unbounded, and a call keeps waiting after its deadline. It is safe for concurrent
// use.
type RateLimited struct {
	kv.Store
	interval, latency time.Duration

	mu   sync.Mutex
	next time.Time
}

// NewRateLimited returns a wrapper of the store that executes at most rate transactions per second, each after an
// additional latency.
func NewRateLimited(store kv.Store, rate int, latency time.Duration) *RateLimited {
	return &RateLimited{Store: store, interval: time.Second / time.Duration(rate), latency: latency}
}

// Txn implements kv.Store.
func (l *RateLimited) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	l.mu.Lock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(l.interval)
	start := l.next
	l.mu.Unlock()
	sleep(time.Until(start) + l.latency)
	return l.Store.Txn(ctx, txn)
}
