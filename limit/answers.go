package limit

import "sync"

// answerSizeWeight is the weight of the newest answer in the expected size of an answer.
const answerSizeWeight = 0.1

// AnswerBuffer limits the bytes of answers that wait until their callers have received them. A request reserves the expected size of its
// answer before it is accepted, so that what is accepted can be buffered. It is safe for concurrent use.
type AnswerBuffer struct {
	maxBytes int64

	mu sync.Mutex
	// used is the sum of the reservations in bytes, expected the decaying mean size of an answer.
	used     int64
	expected float64
}

// NewAnswerBuffer returns an empty buffer for maxBytes.
func NewAnswerBuffer(maxBytes int64) *AnswerBuffer { return &AnswerBuffer{maxBytes: maxBytes} }

// AnswerReservation is the room of one answer. Its methods must not be called concurrently.
type AnswerReservation struct {
	buffer *AnswerBuffer
	bytes  int64
}

// Reserve reserves room for the answer to a request, and reports whether there is any. An empty buffer has room for one answer of any
// size.
func (b *AnswerBuffer) Reserve() (r *AnswerReservation, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := int64(b.expected)
	if b.used > 0 && b.used+expected > b.maxBytes {
		return nil, false
	}
	b.used += expected
	return &AnswerReservation{b, expected}, true
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
	b.expected += answerSizeWeight * (float64(bytes) - b.expected)
}

// Release ends the reservation. It must be called once, when the answer has been written out or dropped.
func (r *AnswerReservation) Release() {
	b := r.buffer
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= r.bytes
	r.bytes = 0
}
