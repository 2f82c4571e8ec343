// Package kv is the narrow interface to the platform's key-value service: read, compare-and-swap, lease, watch.
package kv

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the platform's store holds.
const MaxValueBytes = 1 << 20

var (
	// ErrUnavailable means that the store did not run the call.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUncertain means that a write may or may not have taken effect. The caller settles it by reading back.
	ErrUncertain = errors.New("store answer lost, the write may have taken effect")
	// ErrCompacted means that a watch asked for a revision that the store no longer has.
	ErrCompacted = errors.New("store revision compacted")
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Item is a key with its value and revisions. Revisions are those of the whole store and only grow.
type Item struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
}

// Compare is a condition of a transaction on a key's modification revision. Revision 0 means that the key
// does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a key, optionally bound to a lease.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn writes Puts and removes Deletes if all conditions hold; otherwise it reads Otherwise. It is one call.
type Txn struct {
	If        []Compare
	Puts      []Put
	Deletes   []string
	Otherwise []string
}

// TxnResult is the result of a transaction. Revision is the store's revision after it. Items holds the existing
// keys of Otherwise when Succeeded is false.
type TxnResult struct {
	Succeeded bool
	Revision  int64
	Items     []Item
}

// Event is a change of a key. A deleted key has Deleted set and no value.
type Event struct {
	Item    Item
	Deleted bool
}

// WatchBatch is a set of events that took effect at or before Revision.
type WatchBatch struct {
	Revision int64
	Events   []Event
}

// Store is the platform's key-value service. Implementations are safe for concurrent use. Every method returns
// ErrUnavailable when the call certainly had no effect; writes return ErrUncertain when the answer was lost.
type Store interface {
	// Get reads one key; found is false if it does not exist.
	Get(ctx context.Context, key string) (item Item, found bool, err error)
	// List reads all keys with the prefix, sorted, and the store's revision at the time of reading.
	List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Txn runs a transaction.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease with the time to live, rounded up to a second.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; alive is false if it has lapsed.
	KeepAlive(ctx context.Context, id LeaseID) (alive bool, err error)
	// Watch calls fn for changes of keys with the prefix from the revision on, 0 for those after the call. Changes of
	// a key come in order and may be repeated. While the watch is live, fn is called at least every few seconds, with
	// an empty batch if nothing changed. Watch returns when ctx ends, the connection breaks, or the revision was
	// compacted.
	Watch(ctx context.Context, prefix string, from int64, fn func(WatchBatch)) error
}

// StaleReader is implemented by stores that serve cheaper reads which may be seconds old. The errors are those of
// Store.
type StaleReader interface {
	// GetStale is Store.Get on a state that may be seconds old.
	GetStale(ctx context.Context, key string) (item Item, found bool, err error)
	// ListStale is Store.List on a state that may be seconds old.
	ListStale(ctx context.Context, prefix string) (items []Item, revision int64, err error)
}

// GetStale reads one key, from a state that may be seconds old if the store has such reads.
func GetStale(ctx context.Context, store Store, key string) (Item, bool, error) {
	if s, ok := store.(StaleReader); ok {
		return s.GetStale(ctx, key)
	}
	return store.Get(ctx, key)
}

// ListStale lists a prefix, from a state that may be seconds old if the store has such reads.
func ListStale(ctx context.Context, store Store, prefix string) ([]Item, int64, error) {
	if s, ok := store.(StaleReader); ok {
		return s.ListStale(ctx, prefix)
	}
	return store.List(ctx, prefix)
}
