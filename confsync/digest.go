package confsync

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// NumBuckets is the number of buckets of a digest. Each key hashes to one bucket.
const NumBuckets = 64

// Digest is an order-independent hash over the (key, revision) pairs of a replica. Replicas that differ in few
// keys differ in few buckets, so the cost of a comparison grows with the number of differences.
type Digest struct {
	Total   uint64
	Buckets [NumBuckets]uint64
}

func (d *Digest) add(item Item) {
	h := itemHash(item)
	d.Total += h
	d.Buckets[bucketOf(item.Key)] += h
}

func (d *Digest) remove(item Item) {
	h := itemHash(item)
	d.Total -= h
	d.Buckets[bucketOf(item.Key)] -= h
}

// Diff returns a bit mask of the buckets that differ.
func (d Digest) Diff(other Digest) uint64 {
	var mask uint64
	for i := range d.Buckets {
		if d.Buckets[i] != other.Buckets[i] {
			mask |= 1 << i
		}
	}
	return mask
}

func bucketOf(key string) uint {
	return uint(xxhash.Sum64String(key) % NumBuckets)
}

func itemHash(item Item) uint64 {
	var h xxhash.Digest
	h.Reset()
	var fixed [9]byte
	binary.LittleEndian.PutUint64(fixed[:], uint64(item.Revision))
	if item.Deleted {
		fixed[8] = 1
	}
	_, _ = h.Write(fixed[:])
	_, _ = h.WriteString(item.Key)
	return h.Sum64()
}
