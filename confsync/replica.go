// Package confsync keeps a daemon's copy of the configuration. A daemon never applies a lower revision.
//
// Replica is the copy. Node is the state machine that keeps it current: it takes the time and events as inputs
// and returns actions. Runner carries out the actions against the store and the peers.
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

// Entry names a revision of a key.
type Entry struct {
	Key      string
	Revision int64
}

// held is an item with its provenance.
type held struct {
	Item
	// stored tells that this daemon read the item from the store itself.
	stored bool
}

// Replica is a daemon's copy of the configuration. It is safe for concurrent use.
type Replica struct {
	mu         sync.RWMutex
	items      map[string]held
	tombstones int
	bytes      int
	revision   int64
	changes    uint64
	digest     Digest
	limits     Limits
	onChange   func(Item)
}

// NewReplica returns an empty copy with the default limits. onChange is called for each applied item, one at a
// time; it may be nil and must not call the copy.
func NewReplica(onChange func(Item)) *Replica {
	return &Replica{items: make(map[string]held), limits: DefaultLimits(), onChange: onChange}
}

// Apply takes an item read from the store unless the copy already has the key at the same or a higher revision.
// It reports whether the item was applied.
func (r *Replica) Apply(item Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.items[item.Key]
	if ok && old.Revision == item.Revision && !old.stored {
		// A peer's value at a real revision may still differ from the store's.
		return r.confirm(old, item)
	}
	if ok && old.Revision >= item.Revision {
		return false
	}
	r.put(held{Item: item, stored: true})
	return true
}

// confirm marks a peer's item as read from the store and takes the store's value if it differs.
func (r *Replica) confirm(old held, item Item) bool {
	if string(old.Value) == string(item.Value) && old.Deleted == item.Deleted {
		old.stored = true
		r.items[item.Key] = old
		return false
	}
	r.put(held{Item: item, stored: true})
	return true
}

// ApplyStored applies items read from the store.
func (r *Replica) ApplyStored(items []kv.Item) {
	for _, i := range items {
		r.Apply(Item{Key: i.Key, Revision: i.ModRevision, Value: i.Value})
	}
}

// ApplyPeer takes an item received from a peer unless the copy has the key at the same or a higher revision, or
// a limit refuses it. It reports whether the item was applied; the error names the limit.
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
	r.put(held{Item: item})
	return true, nil
}

// override replaces a peer's item whose revision the store disproved. An item that this daemon read from the
// store itself is never overridden. It reports whether the item was replaced.
func (r *Replica) override(disproved int64, item Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.items[item.Key]
	if !ok || old.stored || old.Revision != disproved {
		return false
	}
	r.put(held{Item: item, stored: true})
	r.revision = 0
	for _, h := range r.items {
		r.revision = max(r.revision, h.Revision)
	}
	return true
}

// put stores an item and keeps digest, sizes and tombstone count. The caller holds the lock.
func (r *Replica) put(h held) {
	if old, ok := r.items[h.Key]; ok {
		r.forget(old)
	}
	if h.Deleted {
		h.Value = nil
		r.tombstones++
	}
	r.items[h.Key] = h
	r.bytes += len(h.Key) + len(h.Value)
	r.digest.add(h.Item)
	r.changes++
	r.revision = max(r.revision, h.Revision)
	if r.tombstones > r.limits.Tombstones {
		r.dropOldestTombstone()
	}
	if r.onChange != nil {
		r.onChange(h.Item)
	}
}

func (r *Replica) forget(old held) {
	delete(r.items, old.Key)
	r.bytes -= len(old.Key) + len(old.Value)
	r.digest.remove(old.Item)
	if old.Deleted {
		r.tombstones--
	}
}

// dropOldestTombstone keeps the tombstones with the highest revisions, so that all copies keep the same ones.
func (r *Replica) dropOldestTombstone() {
	var oldest held
	for _, h := range r.items {
		if h.Deleted && (oldest.Key == "" || h.Revision < oldest.Revision) {
			oldest = h
		}
	}
	r.forget(oldest)
}

// Get returns an item that is not deleted.
func (r *Replica) Get(key string) (Item, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.items[key]
	return h.Item, ok && !h.Deleted
}

// Lookup returns an item or a tombstone.
func (r *Replica) Lookup(key string) (Item, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	h, ok := r.items[key]
	return h.Item, ok
}

// RevisionOf returns the revision of a key, or 0 if the copy does not have it.
func (r *Replica) RevisionOf(key string) int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.items[key].Revision
}

// Revision returns the highest revision applied.
func (r *Replica) Revision() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// changeCount returns the number of items applied so far.
func (r *Replica) changeCount() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changes
}

// Digest returns the digest of the copy.
func (r *Replica) Digest() Digest {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.digest
}

// Entries returns the revisions of the keys in the buckets of the mask.
func (r *Replica) Entries(mask uint64) []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var entries []Entry
	for key, h := range r.items {
		if mask&(1<<bucketOf(key)) != 0 {
			entries = append(entries, Entry{Key: key, Revision: h.Revision})
		}
	}
	return entries
}

// unconfirmed returns the peers' items that this daemon did not read from the store.
func (r *Replica) unconfirmed() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var entries []Entry
	for key, h := range r.items {
		if !h.stored {
			entries = append(entries, Entry{Key: key, Revision: h.Revision})
		}
	}
	return entries
}
