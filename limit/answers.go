package limit

import "sync"

const (
	// answerSizeWeight is the weight of the newest answer in the expected size of an answer.
	answerSizeWeight = 0.1
	// smallAnswerBytes is the size up to which an answer is small. While the buffer is full, small answers have room beyond it, up to
	// smallAnswerShare of it, so that callers who do not read large answers can't prevent ordinary requests from being answered.
	// minAnswerBytes is the least size that an answer counts with there.
	smallAnswerBytes = 64 << 10
	smallAnswerShare = 1.0 / 4
	minAnswerBytes   = 4 << 10
)

// AnswerBuffer limits the bytes of answers that wait until their callers have received them. A request reserves the expected size of its
// answer before it is accepted, so that what is accepted can be buffered. It is safe for concurrent use.
type AnswerBuffer struct {
	maxBytes int64

	mu sync.Mutex
	// used is the sum of the reservations in bytes, beyond the part of it that small answers have beyond maxBytes.
	used, beyond int64
	// expected holds the decaying mean size of an answer, by kind.
	expected map[string]float64
}

// NewAnswerBuffer returns an empty buffer for maxBytes.
func NewAnswerBuffer(maxBytes int64) *AnswerBuffer {
	return &AnswerBuffer{maxBytes: maxBytes, expected: make(map[string]float64)}
}

// AnswerReservation is the room of one answer. Its methods must not be called concurrently.
type AnswerReservation struct {
	buffer *AnswerBuffer
	kind   string
	bytes  int64
	// beyond is the part that counts as room beyond the buffer.
	beyond int64
}

// Reserve reserves room for the answer to a request, and reports whether there is any. Answers of a kind have about the same size; the
// number of kinds must be bounded. An empty buffer has room for one answer of any size.
func (b *AnswerBuffer) Reserve(kind string) (r *AnswerReservation, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r = &AnswerReservation{buffer: b, kind: kind, bytes: int64(b.expected[kind])}
	if b.used > 0 && b.used+r.bytes > b.maxBytes {
		r.beyond = max(minAnswerBytes, r.bytes)
		if r.beyond > smallAnswerBytes || float64(b.beyond+r.beyond) > smallAnswerShare*float64(b.maxBytes) {
			return nil, false
		}
	}
	b.used += r.bytes
	b.beyond += r.beyond
	return r, true
}

// Used returns the sum of the reservations in bytes.
func (b *AnswerBuffer) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Resize sets the reservation to the size of the answer, which may exceed what is left.
func (r *AnswerReservation) Resize(bytes int64) {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes - r.bytes
	r.bytes = bytes
	b.expected[r.kind] += answerSizeWeight * (float64(bytes) - b.expected[r.kind])
}

// Release ends the reservation. It must be called once, when the answer has been written out or dropped.
func (r *AnswerReservation) Release() {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= r.bytes
	b.beyond -= r.beyond
	r.bytes, r.beyond = 0, 0
}
