// Package oncerun executes non-idempotent requests at most once.
//
// Before a request is dispatched, the daemon that received it creates a claim key in the store if it is absent.
// Only the holder of the claim may dispatch, only once, and no other daemon ever takes a claim over. A claim is
// kept for as long as any daemon could accept the key, and is removed early only by its holder and only if no
// backend server may have executed the request.
package oncerun

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/kv"
)

// Prefix is the prefix of all claim keys in the store.
const Prefix = "/chivemill/once/"

// Options of a Runner. Zero values take the defaults of DefaultOptions.
type Options struct {
	// Node is recorded in claims, for operators.
	Node string
	// Retention is the age up to which a key is accepted.
	Retention time.Duration
	// Margin bounds how far any two clocks of callers and daemons are apart.
	Margin time.Duration
	// LeaseShare is how long one lease takes new claims.
	LeaseShare time.Duration
	// MaxBatch is the largest number of claims in one transaction; etcd allows 128 operations by default.
	MaxBatch int
	// StoreTimeout bounds one store call.
	StoreTimeout time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// DefaultOptions returns the values that apply where Options states none.
func DefaultOptions() Options {
	return Options{
		Retention: 24 * time.Hour, Margin: 5 * time.Minute, LeaseShare: time.Hour, MaxBatch: 100,
		StoreTimeout: time.Second, Now: time.Now,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.Retention, d.Retention)
	setDefault(&o.Margin, d.Margin)
	setDefault(&o.LeaseShare, d.LeaseShare)
	setDefault(&o.MaxBatch, d.MaxBatch)
	setDefault(&o.StoreTimeout, d.StoreTimeout)
	if o.Now == nil {
		o.Now = d.Now
	}
	return o
}

func setDefault[T time.Duration | int](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// Counters counts what a runner did. The fields are safe for concurrent use.
type Counters struct {
	Claimed, Refused, Released, Orphaned, Transactions, Grants atomic.Int64
}

// Runner claims requests. It is safe for concurrent use.
type Runner struct {
	store    kv.Store
	opt      Options
	lease    leaseHolder
	counters Counters
	cleanups sync.WaitGroup

	mu       sync.Mutex
	queue    []*waiter
	flushing bool
}

// NewRunner returns a runner over the store.
func NewRunner(store kv.Store, opt Options) *Runner {
	r := &Runner{store: store, opt: opt.withDefaults()}
	r.lease = leaseHolder{store: store, opt: r.opt, grants: &r.counters.Grants}
	return r
}

// Counters returns the runner's counters.
func (r *Runner) Counters() *Counters { return &r.counters }

// Close waits until claims whose requests were given up are released or left to expire, which takes at most a
// few store timeouts.
func (r *Runner) Close() { r.cleanups.Wait() }

// Claim is a claim that this process holds. Its holder may dispatch the request once.
type Claim struct {
	runner *Runner
	key    string
	nonce  string
	// revision is the modification revision of the claim key; no later write of another holder can have it.
	revision int64
}

// Claim claims the key for a request with the fingerprint. Until it returns without an error nothing may be sent
// to a backend server. The error is an *api.Error: BadKey, KeyExpired, KeyConflict and StoreUnavailable state that
// this request was not run, AlreadyDispatched that an earlier request with the key may have run.
func (r *Runner) Claim(ctx context.Context, key Key, fingerprint string) (*Claim, error) {
	claim, err := r.claim(ctx, key, fingerprint)
	if err != nil {
		r.counters.Refused.Add(1)
		return nil, err
	}
	r.counters.Claimed.Add(1)
	return claim, nil
}

func (r *Runner) claim(ctx context.Context, key Key, fingerprint string) (*Claim, error) {
	if err := r.checkAge(key); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, api.Wrap(api.StoreUnavailable, err, "the request ended before its key was claimed")
	}
	w := &waiter{
		key: Prefix + key.String(), done: make(chan outcome, 1),
		value: claimValue{Nonce: uuid.NewString(), Fingerprint: fingerprint, Node: r.opt.Node, Time: r.opt.Now().UTC()},
	}
	r.enqueue(w)
	var out outcome
	select {
	case out = <-w.done:
	case <-ctx.Done():
		if w.abandon() {
			return nil, api.Wrap(api.StoreUnavailable, ctx.Err(), "the store did not confirm the claim in time")
		}
		out = <-w.done
	}
	if out.err != nil {
		return nil, out.err
	}
	// A daemon that was paused may have claimed a key after the claim of another daemon expired.
	if err := r.checkAge(key); err != nil {
		r.releaseLater(out.claim)
		return nil, err
	}
	return out.claim, nil
}

// checkAge refuses keys whose claim may have expired already and keys from the future. With any two clocks at
// most Margin apart, a key that passes was created at most Retention ago on this clock and at most Margin after
// any earlier claim of it. The claim's lease of Retention + 2·Margin therefore outlives every check that passes.
func (r *Runner) checkAge(key Key) error {
	age := r.opt.Now().Round(0).Sub(key.Created())
	switch {
	case age > r.opt.Retention:
		return api.FieldErrorf(api.KeyExpired, api.HeaderKey, "the key is %s old, the limit is %s",
			age.Round(time.Second), r.opt.Retention)
	case age < -r.opt.Margin:
		return badKey("the key was created %s in the future", (-age).Round(time.Second))
	}
	return nil
}

// releaseTries bounds the attempts to release one claim; a claim that stays behind expires with its lease.
const releaseTries = 3

// Release removes the claim, so that a resend of the request can run. The holder calls it only if no backend
// server was sent a byte or every contacted backend server refused before execution, and dispatches nothing
// afterwards. An error means that the claim may remain until its lease expires.
func (c *Claim) Release(ctx context.Context) error {
	r := c.runner
	var err error
	for try := range releaseTries {
		if try > 0 && !r.pause(ctx, try) {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, r.opt.StoreTimeout)
		err = c.delete(callCtx)
		cancel()
		if err == nil {
			r.counters.Released.Add(1)
			return nil
		}
	}
	r.counters.Orphaned.Add(1)
	return eris.Wrap(err, "release of a claim")
}

// delete removes the claim key if it still is the holder's write. A key that changed or is gone is left alone.
func (c *Claim) delete(ctx context.Context) error {
	revision := c.revision
	if revision == 0 {
		item, found, err := c.runner.store.Get(ctx, c.key)
		if err != nil {
			return err
		}
		if !found || decodeClaim(item.Value).Nonce != c.nonce {
			return nil
		}
		revision = item.ModRevision
	}
	_, err := c.runner.store.Txn(ctx, kv.Txn{
		If:      []kv.Compare{{Key: c.key, ModRevision: revision}},
		Deletes: []string{c.key},
	})
	return err
}

// releaseLater releases a claim whose request is no longer waiting.
func (r *Runner) releaseLater(c *Claim) {
	r.cleanups.Go(func() { _ = c.Release(context.Background()) })
}

// retryPause is the wait before the first retry of a store call; it doubles with each retry.
const retryPause = 20 * time.Millisecond

// pause waits before retry number try and reports false if ctx ends first.
func (r *Runner) pause(ctx context.Context, try int) bool {
	select {
	case <-time.After(retryPause << (try - 1)):
		return true
	case <-ctx.Done():
		return false
	}
}

func storeError(err error) *api.Error {
	if errors.Is(err, kv.ErrUncertain) {
		return api.Wrap(api.StoreUnavailable, err, "the store lost its answers to the claim; the request was not dispatched")
	}
	return api.Wrap(api.StoreUnavailable, err, "the store is not available; the request was not dispatched")
}
