// Package confsync keeps a daemon's copy of the configuration. A daemon never applies a lower revision.
package confsync

import (
	"sync"

	"github.com/chivemill/chivemill/kv"
)

// Item is one key of the configuration at a revision.
type Item struct {
	Key      string
	Revision int64
	Value    []byte
}

// Replica is a daemon's copy of the configuration. It is safe for concurrent use.
type Replica struct {
	mu       sync.RWMutex
	items    map[string]Item
	revision int64
	onChange func(Item)
}

// NewReplica returns an empty copy. onChange is called for each applied item, one at a time; it may be nil.
func NewReplica(onChange func(Item)) *Replica {
	return &Replica{items: make(map[string]Item), onChange: onChange}
}

// Apply takes an item unless the copy already has the key at the same or a higher revision. It reports whether
// the item was applied.
func (r *Replica) Apply(item Item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.items[item.Key]; ok && old.Revision >= item.Revision {
		return false
	}
	r.items[item.Key] = item
	r.revision = max(r.revision, item.Revision)
	if r.onChange != nil {
		r.onChange(item)
	}
	return true
}

// ApplyStored applies items read from the store.
func (r *Replica) ApplyStored(items []kv.Item) {
	for _, i := range items {
		r.Apply(Item{Key: i.Key, Revision: i.ModRevision, Value: i.Value})
	}
}

// Get returns an item.
func (r *Replica) Get(key string) (Item, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	item, ok := r.items[key]
	return item, ok
}

// Revision returns the highest revision applied.
func (r *Replica) Revision() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}
