package oncerun

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// leaseHolder grants the leases that many claims share. Only the flush goroutine uses it.
type leaseHolder struct {
	store   kv.Store
	opt     Options
	grants  *atomic.Int64
	id      kv.LeaseID
	granted time.Time
}

// get returns a lease that, counted from this call, lives for at least Retention + 2·Margin. The claims that use
// it passed their first age check before the call, so a pause between the call and the write is harmless.
func (l *leaseHolder) get(ctx context.Context) (kv.LeaseID, error) {
	if l.id != 0 && l.usable() {
		return l.id, nil
	}
	l.id = 0
	asked := l.opt.Now()
	ctx, cancel := context.WithTimeout(ctx, l.opt.StoreTimeout)
	defer cancel()
	id, err := l.store.Grant(ctx, l.opt.Retention+2*l.opt.Margin+l.opt.LeaseShare)
	if err != nil {
		// A lease whose answer was lost holds no keys and expires.
		return 0, err
	}
	l.grants.Add(1)
	l.id, l.granted = id, asked
	return id, nil
}

// usable compares both the monotonic and the wall clock: the monotonic clock stands still while a VM is
// suspended, and the wall clock may be set back.
func (l *leaseHolder) usable() bool {
	now := l.opt.Now()
	elapsed := now.Sub(l.granted)
	wall := now.Round(0).Sub(l.granted.Round(0))
	return wall >= 0 && elapsed <= l.opt.LeaseShare && wall <= l.opt.LeaseShare
}

// drop makes the next claim use a new lease.
func (l *leaseHolder) drop() { l.id = 0 }
