package topology

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
)

// isStoreUnavailable reports whether the last call to the store failed.
func (f *Feed) isStoreUnavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.storeUnavailableSince.IsZero()
}

// probeStore reports whether a read of the list is likely to succeed. After a failed call it first reads the claim of the
// role, which costs a tenth of a read of the list. Thus an outage costs each daemon one failed read of the list, and only
// probes afterwards.
func (f *Feed) probeStore(ctx context.Context, r *role) bool {
	if !f.isStoreUnavailable() {
		return true
	}
	_, _, err := f.readClaim(ctx, r, allowStale)
	return err == nil
}

// maxCallOverrun is how much longer than its timeout a call may last. A call that lasts longer was made by a process that stood still,
// so its failure says nothing about the store.
const maxCallOverrun = 300 * time.Millisecond

// startStoreCall returns a function that has to be called with the result of a call to the store. It updates the availability of the
// store and logs when it changes. A stale read does not show that the store takes writes, so it counts as no answer.
func (f *Feed) startStoreCall(call string, timeout time.Duration, wanted freshness) (record func(err error)) {
	begin := time.Now()
	return func(err error) {
		now := time.Now()
		switch {
		case errors.Is(err, context.Canceled):
			return
		case err == nil && wanted == fresh:
			f.dir.RecordStoreAnswer(now)
		case err != nil && now.Sub(begin) <= timeout+maxCallOverrun:
			f.dir.RecordStoreFailure(now)
			f.mu.Lock()
			f.storeFailedAt = now
			f.mu.Unlock()
		}
		f.recordAvailability(call, now, err)
	}
}

// recordAvailability updates the availability of the store after a call and logs when it changes.
func (f *Feed) recordAvailability(call string, now time.Time, err error) {
	f.mu.Lock()
	unavailableSince := f.storeUnavailableSince
	switch {
	case err != nil && unavailableSince.IsZero():
		f.storeUnavailableSince = now
	case err == nil:
		f.storeUnavailableSince = time.Time{}
	}
	f.mu.Unlock()
	switch {
	case err != nil && unavailableSince.IsZero():
		f.log.Warn(eventlog.StoreLost, zap.String("call", call), zap.Error(err))
	case err == nil && !unavailableSince.IsZero():
		f.log.Info(eventlog.StoreRegained, zap.String("call", call), zap.Duration("away", now.Sub(unavailableSince)))
	}
}
