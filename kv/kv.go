// Package kv defines the interface to the platform's key-value store: reads, conditional transactions, leases and watches.
package kv

import (
	"context"
	"errors"
	"slices"
	"time"
)

// MaxValueBytes is the maximum size of a value in the platform's store.
const MaxValueBytes = 1 << 20

var (
	// ErrUnavailable means that the call had no effect: the store did not execute it, or it was a read that failed.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect. The caller finds out by reading the keys
	// back.
	ErrOutcomeUnknown = errors.New("store response lost, the write may have taken effect")
	// ErrCompacted means that a watch was started from a revision that the store no longer keeps, or that the store has come
	// back from an older copy since.
	ErrCompacted = errors.New("store revision has been compacted")
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Item is a key with its value and revisions. Revisions belong to the whole store, not to a key, and only increase: those of a
// store that can come back from an older copy are composed by ComposeRevision.
type Item struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
}

// Compare is a condition of a transaction: the key's modification revision must equal ModRevision. Revision 0 means that
// the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a value to a key, optionally attached to a lease.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic transaction in a single call. It writes Puts and deletes Deletes if all conditions in If hold, and reads
// the keys in Else if not. Some stores return only those keys of Else that are also in If.
type Txn struct {
	If      []Compare
	Puts    []Put
	Deletes []string
	Else    []string
}

// DependsOnEra reports whether the transaction names revisions or leases, which a store that came back from an older copy may
// have given out again.
func (t Txn) DependsOnEra() bool {
	return slices.ContainsFunc(t.If, func(cond Compare) bool { return cond.ModRevision != 0 }) ||
		slices.ContainsFunc(t.Puts, func(p Put) bool { return p.Lease != 0 })
}

// TxnResult is the result of a transaction. Revision is the store's revision after the transaction; it may be 0 if Succeeded
// is false. In that case Items holds those keys of Txn.Else that exist.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Items     []Item
}

// Event is a change of a key. If the key was deleted, Deleted is set and Item has no value.
type Event struct {
	Item    Item
	Deleted bool
}

// WatchBatch holds events that took effect at or before Revision.
type WatchBatch struct {
	Revision int64
	Events   []Event
}

// Store is the platform's key-value store. Implementations are safe for concurrent use. A method returns ErrUnavailable if
// the call is known to have had no effect, and a write returns ErrOutcomeUnknown if its response was lost.
type Store interface {
	// Get reads one key; found is false if it does not exist.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// List reads all keys with the prefix, sorted by key, and the store's revision at the time of the read.
	List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Txn executes a transaction.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease that lives for at least ttl. The store may grant a longer time to live, for example whole
	// seconds.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; alive is false if the lease has expired, or if the store has come back from an older copy since
	// it was granted.
	KeepAlive(ctx context.Context, id LeaseID) (alive bool, err error)
	// Watch calls fn for changes of keys with the prefix, starting at revision from, or after the call if from is 0.
	// Changes of a key are delivered in order and may be repeated. While the watch is live, fn is called at least every
	// few seconds, with an empty batch if nothing changed. fn is not called concurrently. Watch returns when ctx ends, the
	// connection or the store fails, or the revision has been compacted. In the last case the error is ErrCompacted;
	// otherwise it is the error of ctx or wraps ErrUnavailable.
	Watch(ctx context.Context, prefix string, from int64, fn func(WatchBatch)) error
}

// StaleReader is implemented by stores that offer cheaper reads of data that may be seconds old. Its methods return the
// same errors as those of Store.
type StaleReader interface {
	// GetStale is like Store.Get, but may return data that is seconds old.
	GetStale(ctx context.Context, key string) (item Item, found bool, err error)
	// ListStale is like Store.List, but may return data that is seconds old.
	ListStale(ctx context.Context, prefix string) (items []Item, revision int64, err error)
}

// GetStale reads one key. It uses a stale read if the store implements StaleReader, and Store.Get otherwise.
func GetStale(ctx context.Context, store Store, key string) (Item, bool, error) {
	if stale, ok := store.(StaleReader); ok {
		return stale.GetStale(ctx, key)
	}
	return store.Get(ctx, key)
}

// ListStale lists the keys with a prefix. It uses a stale read if the store implements StaleReader, and Store.List
// otherwise.
func ListStale(ctx context.Context, store Store, prefix string) ([]Item, int64, error) {
	if stale, ok := store.(StaleReader); ok {
		return stale.ListStale(ctx, prefix)
	}
	return store.List(ctx, prefix)
}
