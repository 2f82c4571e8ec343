package confsync

import (
	"encoding/binary"
	"time"

	"github.com/rotisserie/eris"
)

// Confirmation states that a copy was current some time ago, at a revision of the store. It originates from a
// live watch. Age is the time since then and only grows on the way.
type Confirmation struct {
	Known    bool
	Age      time.Duration
	Revision int64
}

// Request is a message to a peer: CompareRequest, EntriesRequest or FetchRequest.
type Request interface{ request() }

// Response is the answer to a Request: CompareResponse, EntriesResponse or FetchResponse.
type Response interface{ response() }

// CompareRequest asks whether a peer's copy has the same digest.
type CompareRequest struct{ Total uint64 }

// CompareResponse carries the peer's digest. Same is set, and the buckets are left out, if the totals are equal.
type CompareResponse struct {
	// Ready tells whether the peer's copy is complete enough to serve.
	Ready bool
	// Instance differs between two starts of a peer.
	Instance     uint64
	Same         bool
	Digest       Digest
	Confirmation Confirmation
}

// EntriesRequest sends the revisions of the buckets that differ and asks for the peer's.
type EntriesRequest struct {
	Mask    uint64
	Entries []Entry
}

// EntriesResponse carries the peer's revisions. Disputed are entries of the request that the peer found wrong by
// reading the store; it is a hint to read the store, never a proof.
type EntriesResponse struct {
	Instance uint64
	Entries  []Entry
	Disputed []Entry
}

// FetchRequest asks for keys at the given or a higher revision.
type FetchRequest struct{ Wants []Entry }

// FetchResponse carries items. Items that the peer does not have, or that exceed the size of one message, are
// left out.
type FetchResponse struct{ Items []Item }

func (CompareRequest) request()   {}
func (EntriesRequest) request()   {}
func (FetchRequest) request()     {}
func (CompareResponse) response() {}
func (EntriesResponse) response() {}
func (FetchResponse) response()   {}

// Bounds of one message between daemons.
const (
	// MaxEntries bounds the entries of one message.
	MaxEntries = 20_000
	// MaxFetch bounds the items of one response, in keys and in bytes of values. One value always fits.
	MaxFetch      = 256
	MaxFetchBytes = 1<<20 + 1<<18
)

// notice tells that a key has a new revision, which its origin holds.
type notice struct {
	Entry
	origin string
}

const (
	noticeVersion = 1
	// maxNotice bounds an encoded notice in bytes, so that several fit into one membership datagram.
	maxNotice = 300
)

// encode returns the payload for the membership broadcast. ok is false if the key is too long; digest
// comparison then carries the change.
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
		return notice{}, eris.Errorf("notice of %d bytes with unknown format", len(b))
	}
	b = b[1:]
	revision, n := binary.Uvarint(b)
	if n <= 0 || int64(revision) <= 0 {
		return notice{}, eris.New("notice without a valid revision")
	}
	b = b[n:]
	size, n := binary.Uvarint(b)
	if n <= 0 || size == 0 || size > uint64(len(b)-n) {
		return notice{}, eris.New("notice without a valid key")
	}
	b = b[n:]
	return notice{Entry{string(b[:size]), int64(revision)}, string(b[size:])}, nil
}
