package confsync

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// Confirmation states that a replica was up to date with the store at Revision. It originates from a live watch.
// Age is the time since then; it grows as the confirmation is passed from peer to peer.
type Confirmation struct {
	Known    bool
	Age      time.Duration
	Revision int64
}

// Request is a message to a peer: CompareRequest, EntriesRequest or FetchRequest.
type Request interface{ request() }

// Response is the answer to a Request: CompareResponse, EntriesResponse or FetchResponse.
type Response interface{ response() }

// CompareRequest asks whether a peer's replica has the same digest.
type CompareRequest struct{ Total uint64 }

// CompareResponse carries the peer's digest. If the totals are equal, Same is set and the digest is omitted.
type CompareResponse struct {
	// Ready reports whether the peer's start is complete, so that its replica may be used.
	Ready bool
	// Instance is a random number that changes when the peer restarts.
	Instance     uint64
	Same         bool
	Digest       Digest
	Confirmation Confirmation
}

// EntriesRequest carries the sender's entries in the differing buckets and asks for the peer's.
type EntriesRequest struct {
	BucketMask uint64
	Entries    []Entry
}

// EntriesResponse carries the peer's entries. Disputed lists entries of the request that contradict what the peer
// read from the store. It is only a hint to read the store, because the peer may be faulty.
type EntriesResponse struct {
	Instance uint64
	Entries  []Entry
	Disputed []Entry
}

// FetchRequest asks for items at the given or a higher revision.
type FetchRequest struct{ Entries []Entry }

// FetchResponse carries the requested items. Items that the peer does not have, or that would exceed the size of
// one message, are omitted.
type FetchResponse struct{ Items []Item }

func (CompareRequest) request()   {}
func (EntriesRequest) request()   {}
func (FetchRequest) request()     {}
func (CompareResponse) response() {}
func (EntriesResponse) response() {}
func (FetchResponse) response()   {}

// Limits of one message between daemons.
const (
	// MaxEntries is the maximum number of entries in one message.
	MaxEntries = 20_000
	// MaxFetch is the maximum number of items in one response, MaxFetchBytes that of the bytes in their keys and
	// values. One item of the maximum size always fits.
	MaxFetch      = 256
	MaxFetchBytes = 1<<20 + 1<<18
)

// notice announces a new revision of a key, which can be fetched from the origin.
type notice struct {
	Entry
	origin string
}

const (
	noticeVersion = 1
	// maxNotice is the maximum size of an encoded notice in bytes: a payload of the membership broadcast has at most 256
	// bytes, of which package entry uses one for the kind. The changes of longer notices propagate by digest comparison only.
	maxNotice = 255
)

// encode returns the payload for the membership broadcast. ok is false if the key is too long; the change then
// propagates by digest comparison only.
func (n notice) encode() (payload []byte, ok bool) {
	b := []byte{noticeVersion}
	b = binary.AppendUvarint(b, uint64(n.Revision))
	b = binary.AppendUvarint(b, uint64(len(n.Key)))
	b = append(b, n.Key...)
	b = append(b, n.origin...)
	return b, len(b) <= maxNotice
}

func decodeNotice(b []byte) (notice, error) {
	if len(b) == 0 || len(b) > maxNotice || b[0] != noticeVersion {
		return notice{}, eris.Errorf("notice of %d bytes has an unknown format", len(b))
	}
	b = b[1:]
	revision, n := binary.Uvarint(b)
	if n <= 0 || int64(revision) <= 0 {
		return notice{}, eris.New("notice has no valid revision")
	}
	b = b[n:]
	size, n := binary.Uvarint(b)
	if n <= 0 || size == 0 || size > uint64(len(b)-n) {
		return notice{}, eris.New("notice has no valid key")
	}
	b = b[n:]
	return notice{Entry{string(b[:size]), int64(revision)}, string(b[size:])}, nil
}
