// Package confsync replicates the configuration from the store to every daemon. A daemon never applies a lower
// revision of a key.
//
// Replica holds a daemon's copy. Node is the state machine that keeps it up to date: its inputs are the time and
// events, its outputs are actions. Runner performs the actions against the store and the peers.
package confsync

import (
	"sync"

	"github.com/chivemill/chivemill/kv"
)

// Item is one key of the configuration at a revision. A deleted key has Deleted set and no value.
type Item struct {
	Key      string
	Revision int64
	Value    []byte
	Deleted  bool
}

// Entry is a key with a revision, without the value.
type Entry struct {
	Key      string
	Revision int64
}

// replicaItem is an item together with its source.
type replicaItem struct {
	Item
	// fromStore is set if this daemon read the item from the store itself, and not from a peer.
	fromStore bool
}

// Replica holds a daemon's copy of the configuration. It is safe for concurrent use.
type Replica struct {
	mu         sync.RWMutex
	items      map[string]replicaItem
	tombstones int
	bytes      int
	revision   int64
	changes    uint64
	digest     Digest
	limits     Limits
	onChange   func(Item)
}

// NewReplica returns an empty replica with the default limits. onChange is called for each applied item, one at a
// time; it may be nil and must not call the replica.
func NewReplica(onChange func(Item)) *Replica {
	return &Replica{items: make(map[string]replicaItem), limits: DefaultLimits(), onChange: onChange}
}

// Apply applies an item read from the store unless the replica already has the key at the same or a higher
// revision. It reports whether the item was applied.
func (r *Replica) Apply(item Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.items[item.Key]
	if ok && old.Revision == item.Revision && !old.fromStore {
		// A peer may have sent a wrong value for an existing revision.
		return r.confirmPeerItem(old, item)
	}
	if ok && old.Revision >= item.Revision {
		return false
	}
	r.put(replicaItem{Item: item, fromStore: true})
	return true
}

// confirmPeerItem marks a peer's item as read from the store, and replaces it if the store's value differs.
func (r *Replica) confirmPeerItem(old replicaItem, item Item) bool {
	if string(old.Value) == string(item.Value) && old.Deleted == item.Deleted {
		old.fromStore = true
		r.items[item.Key] = old
		return false
	}
	r.put(replicaItem{Item: item, fromStore: true})
	return true
}

// ApplyStored applies items read from the store.
func (r *Replica) ApplyStored(items []kv.Item) {
	for _, i := range items {
		r.Apply(Item{Key: i.Key, Revision: i.ModRevision, Value: i.Value})
	}
}

// ApplyPeer applies an item received from a peer unless the replica has the key at the same or a higher revision, or
// the item is invalid or exceeds a limit. It reports whether the item was applied; the error states why it was
// rejected.
func (r *Replica) ApplyPeer(item Item) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.items[item.Key]
	if ok && old.Revision >= item.Revision {
		return false, nil
	}
	if err := r.limits.check(r, item, old, ok); err != nil {
		return false, err
	}
	r.put(replicaItem{Item: item})
	return true, nil
}

// override replaces a peer's item whose revision does not exist in the store, even by an item with a lower revision.
// An item that this daemon read from the store itself is never overridden. It reports whether the item was replaced.
func (r *Replica) override(disproved int64, item Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.items[item.Key]
	if !ok || old.fromStore || old.Revision != disproved {
		return false
	}
	r.put(replicaItem{Item: item, fromStore: true})
	r.revision = 0
	for _, it := range r.items {
		r.revision = max(r.revision, it.Revision)
	}
	return true
}

// put stores an item and updates the digest, the sizes and the number of tombstones. The caller holds the lock.
func (r *Replica) put(it replicaItem) {
	if old, ok := r.items[it.Key]; ok {
		r.removeItem(old)
	}
	if it.Deleted {
		it.Value = nil
		r.tombstones++
	}
	r.items[it.Key] = it
	r.bytes += len(it.Key) + len(it.Value)
	r.digest.add(it.Item)
	r.changes++
	r.revision = max(r.revision, it.Revision)
	if r.tombstones > r.limits.Tombstones {
		r.dropOldestTombstone()
	}
	if r.onChange != nil {
		r.onChange(it.Item)
	}
}

func (r *Replica) removeItem(old replicaItem) {
	delete(r.items, old.Key)
	r.bytes -= len(old.Key) + len(old.Value)
	r.digest.remove(old.Item)
	if old.Deleted {
		r.tombstones--
	}
}

// dropOldestTombstone removes the tombstone with the lowest revision, so that all replicas keep the same ones.
func (r *Replica) dropOldestTombstone() {
	var oldest replicaItem
	for _, it := range r.items {
		if it.Deleted && (oldest.Key == "" || it.Revision < oldest.Revision) {
			oldest = it
		}
	}
	r.removeItem(oldest)
}

// Get returns the item of a key that exists and is not deleted.
func (r *Replica) Get(key string) (Item, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	it, ok := r.items[key]
	return it.Item, ok && !it.Deleted
}

// Lookup returns the item of a key, which may be a tombstone.
func (r *Replica) Lookup(key string) (Item, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	it, ok := r.items[key]
	return it.Item, ok
}

// RevisionOf returns the revision of a key, or 0 if the replica does not have it.
func (r *Replica) RevisionOf(key string) int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.items[key].Revision
}

// Revision returns the highest revision in the replica.
func (r *Replica) Revision() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// changeCount returns the number of items applied since the replica was created.
func (r *Replica) changeCount() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changes
}

// Digest returns the digest of the replica.
func (r *Replica) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

// Entries returns the entries in the buckets of the bit mask.
func (r *Replica) Entries(mask uint64) []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var entries []Entry
	for key, it := range r.items {
		if mask&(1<<bucketOf(key)) != 0 {
			entries = append(entries, Entry{Key: key, Revision: it.Revision})
		}
	}
	return entries
}

// unconfirmed returns the entries of items that were received from peers and not yet read from the store.
func (r *Replica) unconfirmed() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var entries []Entry
	for key, it := range r.items {
		if !it.fromStore {
			entries = append(entries, Entry{Key: key, Revision: it.Revision})
		}
	}
	return entries
}
