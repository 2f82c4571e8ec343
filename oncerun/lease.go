package oncerun

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// leaseCache requests leases from the store and reuses each for many claims. Only the flush goroutine uses it.
type leaseCache struct {
	store       kv.Store
	opts        Options
	grants      *atomic.Int64
	id          kv.LeaseID
	requestedAt time.Time
}

// get returns a lease that is valid for at least MaxKeyAge + 2·MaxClockSkew from this call on. The claims that use it
// passed their first age check before the call, so a pause between the call and the write is harmless.
func (l *leaseCache) get(ctx context.Context) (kv.LeaseID, error) {
	if l.id != 0 && l.usable() {
		return l.id, nil
	}
	l.id = 0
	requestedAt := l.opts.Now()
	ctx, cancel := context.WithTimeout(ctx, l.opts.StoreTimeout)
	defer cancel()
	id, err := l.store.Grant(ctx, l.opts.MaxKeyAge+2*l.opts.MaxClockSkew+l.opts.LeaseReuse)
	if err != nil {
		// If only the response was lost, the granted lease has no keys attached and expires.
		return 0, err
	}
	l.grants.Add(1)
	l.id, l.requestedAt = id, requestedAt
	return id, nil
}

// usable reports whether new claims may use the lease. It checks both clocks, because the monotonic clock stops while
// a VM is suspended, and the wall clock may be set back.
func (l *leaseCache) usable() bool {
	now := l.opts.Now()
	elapsed := now.Sub(l.requestedAt)
	wall := now.Round(0).Sub(l.requestedAt.Round(0))
	return wall >= 0 && elapsed <= l.opts.LeaseReuse && wall <= l.opts.LeaseReuse
}

// invalidate makes the next call of get request a new lease.
func (l *leaseCache) invalidate() { l.id = 0 }
