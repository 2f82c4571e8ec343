// Package boundedread reads bodies of unknown length within bounds of memory: one for each body and one for all bodies
// that are read at the same time.
package boundedread

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// Small is the size in bytes up to which a body takes nothing of the shared memory, so that bodies without end cannot
// keep ordinary ones from being read.
const Small = 64 << 10

// firstBuffer is the size in bytes of the first buffer of a body whose length is not stated.
const firstBuffer = 4 << 10

// ErrTooLarge means that a body is larger than its bound, or than what is left of the shared memory.
var ErrTooLarge = errors.New("the body is too large")

// Memory is what all bodies above Small share. It is safe for concurrent use.
type Memory struct{ free *semaphore.Weighted }

// NewMemory returns a memory of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{semaphore.NewWeighted(limit)} }

// ReadAll reads to the end of r, at most the given number of bytes. stated is the length that the sender stated, -1 for
// none. The error wraps that of r, or is ErrTooLarge; the rest is not read then. Memory is shared while the body is read
// only.
func (m *Memory) ReadAll(r io.Reader, stated, most int64) ([]byte, error) {
	if stated > most {
		return nil, ErrTooLarge
	}
	b := buffer{memory: m}
	defer b.release()
	first := int64(firstBuffer)
	if stated >= 0 && stated < Small {
		// One byte more finds the end without another buffer.
		first = stated + 1
	}
	if err := b.grow(min(first, most+1)); err != nil {
		return nil, err
	}
	for {
		if len(b.data) == cap(b.data) {
			if int64(cap(b.data)) > most {
				return nil, ErrTooLarge
			}
			if err := b.grow(min(2*int64(cap(b.data)), most+1)); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case int64(len(b.data)) > most:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b.data, nil
		case err != nil:
			return nil, err
		}
	}
}

// buffer is a growing body and what it holds of the shared memory.
type buffer struct {
	memory *Memory
	data   []byte
	held   int64
}

// grow moves the data to a buffer of the size. Both buffers count until then.
func (b *buffer) grow(size int64) error {
	var held int64
	if size > Small {
		held = size
		if !b.memory.free.TryAcquire(held) {
			return ErrTooLarge
		}
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.release()
	b.data, b.held = data, held
	return nil
}

func (b *buffer) release() {
	b.memory.free.Release(b.held)
	b.held = 0
}
