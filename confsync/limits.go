package confsync

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

// Limits bounds the memory that items received from peers may use in a replica. Items read from the store are not
// checked, because the store enforces its own limits.
type Limits struct {
	// ItemBytes is the maximum size of one value, TotalBytes that of all keys and values together.
	ItemBytes, TotalBytes int
	// Items is the maximum number of keys, Tombstones the maximum number of deleted keys that are kept.
	Items, Tombstones int
}

// DefaultLimits returns the limits of a daemon: the store's maximum value size, and half of the 128 MB that the
// control plane may use per node.
func DefaultLimits() Limits {
	return Limits{ItemBytes: kv.MaxValueBytes, TotalBytes: 64 << 20, Items: 10_000, Tombstones: 1_024}
}

// maxKeyBytes is the maximum length of a key received from a peer.
const maxKeyBytes = 512

func (l Limits) check(r *Replica, item Item, old replicaItem, replaces bool) error {
	switch {
	case item.Key == "" || len(item.Key) > maxKeyBytes:
		return eris.Errorf("key has an invalid length of %d bytes", len(item.Key))
	case item.Revision <= 0:
		return eris.Errorf("revision %d is not positive", item.Revision)
	case len(item.Value) > l.ItemBytes:
		return eris.Errorf("value has %d bytes, limit %d", len(item.Value), l.ItemBytes)
	case !replaces && len(r.items) >= l.Items:
		return eris.Errorf("replica already holds the maximum of %d keys", l.Items)
	case r.bytes-len(old.Value)+len(item.Value)+len(item.Key) > l.TotalBytes:
		return eris.Errorf("replica would exceed the maximum of %d bytes", l.TotalBytes)
	}
	return nil
}

const (
	// maxStoreWritesPerSecond is above the write rate of the platform's store (several hundred per second), so
	// the store's revision cannot have grown faster.
	maxStoreWritesPerSecond = 2_000
	// revisionDelay allows for the delay between a commit and the first confirmation that includes it.
	revisionDelay = time.Minute
	// minEraLength is the shortest time between two returns of the store from an older copy.
	minEraLength = 10 * time.Second
)

// revisionLimit derives the highest revision that the store can have reached from a revision that it had at an
// earlier time.
type revisionLimit struct {
	revision int64
	at       time.Time
}

// plausible reports whether the store can have reached the revision by now. Without a known revision every
// positive revision is plausible. In a later era of the store its own revisions are lower than they would be otherwise.
func (l revisionLimit) plausible(revision int64, now time.Time) bool {
	if revision <= 0 {
		return false
	}
	if l.revision == 0 {
		return true
	}
	elapsed := max(0, now.Sub(l.at)) + revisionDelay
	era, number := kv.SplitRevision(revision)
	knownEra, knownNumber := kv.SplitRevision(l.revision)
	return number <= knownNumber+int64(elapsed.Seconds()*maxStoreWritesPerSecond) && era <= knownEra+int64(elapsed/minEraLength)
}
