// Package oncerun executes non-idempotent requests at most once.
//
// Before a request is dispatched, the daemon that received it creates a claim key in the store, provided that the key
// does not exist yet. Only the holder of the claim may dispatch the request, and only once; no other daemon ever takes
// over a claim. A claim is kept for as long as any daemon could accept the key. It is removed earlier only by its
// holder, and only if no backend server can have executed the request.
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

// Options configure a Runner. Zero values are replaced by those of DefaultOptions.
type Options struct {
	// Node is the name of the daemon. It is stored in claims for operators.
	Node string
	// MaxKeyAge is the maximum age of an accepted key.
	MaxKeyAge time.Duration
	// MaxClockSkew is the maximum difference between any two clocks of callers and daemons.
	MaxClockSkew time.Duration
	// LeaseReuse is how long a lease is used for new claims.
	LeaseReuse time.Duration
	// MaxBatch is the maximum number of claims in one transaction; etcd allows 128 operations by default.
	MaxBatch int
	// StoreTimeout limits the duration of one store call.
	StoreTimeout time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// DefaultOptions returns the defaults of Options.
func DefaultOptions() Options {
	return Options{
		MaxKeyAge: 24 * time.Hour, MaxClockSkew: 5 * time.Minute, LeaseReuse: time.Hour, MaxBatch: 100,
		StoreTimeout: time.Second, Now: time.Now,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	setDefault(&o.MaxKeyAge, d.MaxKeyAge)
	setDefault(&o.MaxClockSkew, d.MaxClockSkew)
	setDefault(&o.LeaseReuse, d.LeaseReuse)
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

// Counters counts the operations of a runner. Orphaned is the number of claims that could not be released and stay until
// their lease expires; LeaseGrants is the number of leases. The fields are safe for concurrent use.
type Counters struct {
	Claimed, Refused, Released, Orphaned, Transactions, LeaseGrants atomic.Int64
}

// Runner claims idempotency keys in the store. It is safe for concurrent use.
type Runner struct {
	store      kv.Store
	opts       Options
	lease      leaseCache
	counters   Counters
	background sync.WaitGroup

	mu       sync.Mutex
	pending  []*pendingClaim
	flushing bool
}

// NewRunner returns a runner that keeps its claims in the store.
func NewRunner(store kv.Store, opts Options) *Runner {
	r := &Runner{store: store, opts: opts.withDefaults()}
	r.lease = leaseCache{store: store, opts: r.opts, grants: &r.counters.LeaseGrants}
	return r
}

// Counters returns the runner's counters.
func (r *Runner) Counters() *Counters { return &r.counters }

// Close waits until the claims of abandoned requests are released or left to expire, which takes at most a few store
// timeouts.
func (r *Runner) Close() { r.background.Wait() }

// Claim is the exclusive right of this process to dispatch the request with a key, once.
type Claim struct {
	runner *Runner
	key    string
	nonce  string
	// revision is the modification revision of the claim key, which no later write of another holder can have. It is 0
	// if it is not known.
	revision int64
}

// Claim claims the key for a request with the fingerprint. Nothing may be sent to a backend server before it has
// returned without an error. The error is an *api.Error: BadKey, KeyExpired, KeyConflict and StoreUnavailable mean that
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
	p := &pendingClaim{
		key: Prefix + key.String(), done: make(chan outcome, 1),
		value: claimValue{Nonce: uuid.NewString(), Fingerprint: fingerprint, Node: r.opts.Node, Time: r.opts.Now().UTC()},
	}
	r.enqueue(p)
	var result outcome
	select {
	case result = <-p.done:
	case <-ctx.Done():
		if p.abandon() {
			return nil, api.Wrap(api.StoreUnavailable, ctx.Err(), "the store did not confirm the claim in time")
		}
		result = <-p.done
	}
	if result.err != nil {
		return nil, result.err
	}
	// A daemon that was paused may have claimed a key after the claim of another daemon expired.
	if err := r.checkAge(key); err != nil {
		r.releaseInBackground(result.claim)
		return nil, err
	}
	return result.claim, nil
}

// checkAge rejects keys whose claim may already have expired, and keys created too far in the future. If any two clocks
// differ by at most MaxClockSkew, an accepted key was created at most MaxKeyAge ago by this clock and at most
// MaxClockSkew after any earlier claim of it. A lease of MaxKeyAge + 2·MaxClockSkew therefore cannot expire while the
// key is still accepted.
func (r *Runner) checkAge(key Key) error {
	age := r.opts.Now().Round(0).Sub(key.Created())
	switch {
	case age > r.opts.MaxKeyAge:
		return api.FieldErrorf(api.KeyExpired, api.HeaderIdempotencyKey, "the key is %s old, the limit is %s",
			age.Round(time.Second), r.opts.MaxKeyAge)
	case age < -r.opts.MaxClockSkew:
		return badKeyError("the key was created %s in the future", (-age).Round(time.Second))
	}
	return nil
}

// maxReleaseAttempts limits the attempts to release a claim. A claim that is not released expires with its lease.
const maxReleaseAttempts = 3

// Release removes the claim, so that a resend of the request can run. The holder may call it only if nothing was sent to
// any backend server or every contacted backend server refused the request before execution, and must not dispatch the
// request afterwards. An error means that the claim may remain until its lease expires.
func (c *Claim) Release(ctx context.Context) error {
	r := c.runner
	var err error
	for attempt := range maxReleaseAttempts {
		if attempt > 0 && !r.backOff(ctx, attempt) {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, r.opts.StoreTimeout)
		err = c.delete(callCtx)
		cancel()
		if err == nil {
			r.counters.Released.Add(1)
			return nil
		}
	}
	r.counters.Orphaned.Add(1)
	return eris.Wrap(err, "release claim")
}

// delete removes the claim key if it still has the value that the holder wrote. Otherwise it does nothing.
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

// releaseInBackground releases a claim whose request has already ended.
func (r *Runner) releaseInBackground(c *Claim) {
	r.background.Go(func() { _ = c.Release(context.Background()) })
}

// initialRetryDelay is the delay before the first retry of a store call. It doubles with each further retry.
const initialRetryDelay = 20 * time.Millisecond

// backOff waits before the retry with the number attempt, which counts from 1. It reports false if ctx ends first.
func (r *Runner) backOff(ctx context.Context, attempt int) bool {
	select {
	case <-time.After(initialRetryDelay << (attempt - 1)):
		return true
	case <-ctx.Done():
		return false
	}
}

func storeUnavailable(err error) *api.Error {
	if errors.Is(err, kv.ErrOutcomeUnknown) {
		return api.Wrap(api.StoreUnavailable, err,
			"the store lost its answers to the claim; the request was not dispatched")
	}
	return api.Wrap(api.StoreUnavailable, err, "the store is not available; the request was not dispatched")
}
