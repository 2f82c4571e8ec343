// Package boundedread reads HTTP bodies of unknown length with limited memory: a limit for each body, and a shared limit
// for all bodies that are being read.
package boundedread

import (
	"bufio"
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// SmallBodyBytes is the size in bytes up to which a body does not count towards the shared limit, so that endless
// bodies cannot prevent ordinary ones from being read.
const SmallBodyBytes = 64 << 10

// initialBufferSize is the size in bytes of the first buffer of a body without a content length.
const initialBufferSize = 4 << 10

// ErrTooLarge means that a body exceeds its limit or the memory available under the shared limit.
var ErrTooLarge = errors.New("the body is too large")

// MemoryLimit limits the memory that all bodies larger than SmallBodyBytes use together. It is safe for concurrent use.
type MemoryLimit struct{ available *semaphore.Weighted }

// NewMemoryLimit returns a MemoryLimit with a limit in bytes.
func NewMemoryLimit(maxBytes int64) *MemoryLimit {
	return &MemoryLimit{semaphore.NewWeighted(maxBytes)}
}

// bodyBufferFraction is the fraction of the process's memory limit for response bodies that are being read. The heap takes a
// few times as much, because outgrown and discarded buffers stay on it until the next garbage collection.
const bodyBufferFraction = 1.0 / 16

// NewProcessMemoryLimit returns the MemoryLimit for the response bodies that a process with a memory limit in bytes reads at the
// same time.
func NewProcessMemoryLimit(processBytes int64) *MemoryLimit {
	return NewMemoryLimit(int64(bodyBufferFraction * float64(processBytes)))
}

// ReadAll reads r to its end. contentLength is the length that the sender declared, -1 if it is unknown. A body longer
// than limit bytes, or one that exceeds the shared limit, ends with ErrTooLarge and is not read further; other errors are
// those of r. The memory counts towards the shared limit only until ReadAll returns.
func (m *MemoryLimit) ReadAll(r io.Reader, contentLength, limit int64) ([]byte, error) {
	if contentLength > limit {
		return nil, ErrTooLarge
	}
	buf := buffer{memory: m}
	defer buf.release()
	size := int64(initialBufferSize)
	if contentLength >= 0 && contentLength < SmallBodyBytes {
		// One extra byte lets the read that detects the end fit into the first buffer.
		size = contentLength + 1
	}
	if err := buf.grow(min(size, limit+1)); err != nil {
		return nil, err
	}
	for {
		if len(buf.data) == cap(buf.data) {
			if int64(cap(buf.data)) > limit {
				return nil, ErrTooLarge
			}
			if err := buf.grow(min(2*int64(cap(buf.data)), limit+1)); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(buf.data[len(buf.data):cap(buf.data)])
		buf.data = buf.data[:len(buf.data)+n]
		switch {
		case int64(len(buf.data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return buf.data, nil
		case err != nil:
			return nil, err
		}
	}
}

// ReadLine reads a line with its newline. The last line may have none. A line longer than limit bytes, or one for which there is no
// memory, gives ErrTooLarge; the end of r before the first byte gives io.EOF.
func (m *MemoryLimit) ReadLine(r *bufio.Reader, limit int64) ([]byte, error) {
	buf := buffer{memory: m}
	defer buf.release()
	for {
		chunk, err := r.ReadSlice('\n')
		size := int64(len(buf.data) + len(chunk))
		if size > limit {
			return nil, ErrTooLarge
		}
		if size > int64(cap(buf.data)) {
			if err := buf.grow(min(max(initialBufferSize, 2*int64(cap(buf.data)), size), limit)); err != nil {
				return nil, err
			}
		}
		buf.data = append(buf.data, chunk...)
		switch {
		case err == nil, errors.Is(err, io.EOF) && size > 0:
			return buf.data, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// buffer is the part of a body read so far, with the memory that it has reserved from the shared limit.
type buffer struct {
	memory   *MemoryLimit
	data     []byte
	reserved int64
}

// grow copies the data to a buffer of the given size. Until the copy is done, both buffers count towards the shared
// limit.
func (b *buffer) grow(size int64) error {
	var reserved int64
	if size > SmallBodyBytes {
		reserved = size
		if !b.memory.available.TryAcquire(reserved) {
			return ErrTooLarge
		}
	}
	grown := make([]byte, len(b.data), size)
	copy(grown, b.data)
	b.release()
	b.data, b.reserved = grown, reserved
	return nil
}

func (b *buffer) release() {
	b.memory.available.Release(b.reserved)
	b.reserved = 0
}
