package confsync

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

// Limits bound what a peer's items may add to a copy. Items read from the store are not limited by it, because
// the store bounds them itself.
type Limits struct {
	// ItemBytes bounds one value, Bytes all keys and values together.
	ItemBytes, Bytes int
	// Items bounds the number of keys, Tombstones the number of deleted keys that are remembered.
	Items, Tombstones int
}

// DefaultLimits returns the limits of a daemon: the store's value size, and half of the 128 MB that control work
// may use per node.
func DefaultLimits() Limits {
	return Limits{ItemBytes: kv.MaxValueBytes, Bytes: 64 << 20, Items: 10_000, Tombstones: 1_024}
}

// maxKeyBytes bounds a key received from a peer.
const maxKeyBytes = 512

func (l Limits) check(r *Replica, item Item, old held, replaces bool) error {
	switch {
	case item.Key == "" || len(item.Key) > maxKeyBytes:
		return eris.Errorf("key of %d bytes", len(item.Key))
	case item.Revision <= 0:
		return eris.Errorf("revision %d", item.Revision)
	case len(item.Value) > l.ItemBytes:
		return eris.Errorf("value of %d bytes, limit %d", len(item.Value), l.ItemBytes)
	case !replaces && len(r.items) >= l.Items:
		return eris.Errorf("more than %d keys", l.Items)
	case r.bytes-len(old.Value)+len(item.Value)+len(item.Key) > l.Bytes:
		return eris.Errorf("more than %d bytes", l.Bytes)
	}
	return nil
}

const (
	// maxStoreWritesPerSecond is above the write rate of the platform's store (several hundred per second), so
	// the store's revision cannot have grown faster.
	maxStoreWritesPerSecond = 2_000
	// revisionSlack covers the delay between a commit and the first confirmation that shows it.
	revisionSlack = time.Minute
)

// horizon is the highest revision that the store can have reached, given a revision that it had at a time.
type horizon struct {
	revision int64
	at       time.Time
}

// plausible reports whether the store can have reached the revision by now. Without a known revision every
// positive revision is plausible.
func (h horizon) plausible(revision int64, now time.Time) bool {
	if revision <= 0 {
		return false
	}
	if h.revision == 0 {
		return true
	}
	elapsed := max(0, now.Sub(h.at)) + revisionSlack
	return revision <= h.revision+int64(elapsed.Seconds()*maxStoreWritesPerSecond)
}
