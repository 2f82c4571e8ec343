package boundedread

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m, 100) }

// endlessBody is a reader of zeros without an end that counts the bytes read.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read += len(p)
	return len(p), nil
}

// TestReadAll checks that a body is returned unchanged and in full, or rejected if it exceeds its limit, and that its
// memory is released.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		memory := NewMemoryLimit(limit)
		body := make([]byte, rapid.IntRange(0, 200<<10).Draw(t, "size"))
		for i := range body {
			body[i] = byte(i * 7)
		}
		bodyLimit := rapid.Int64Range(0, 200<<10).Draw(t, "most")
		contentLength := rapid.SampledFrom([]int64{-1, int64(len(body))}).Draw(t, "stated")
		var r io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "end with the last bytes") {
			r = iotest.DataErrReader(r)
		}
		got, err := memory.ReadAll(r, contentLength, bodyLimit)
		if int64(len(body)) > bodyLimit {
			must.ErrorIs(t, err, ErrTooLarge)
		} else {
			must.NoError(t, err)
			must.True(t, bytes.Equal(body, got))
		}
		must.True(t, memory.available.TryAcquire(limit), must.Sprint("all memory is released"))
	})
}

// TestSmallBodiesAreReadWhenMemoryIsExhausted checks that an endless body is rejected and that small bodies can be read
// while other bodies use all of the shared memory.
func TestSmallBodiesAreReadWhenMemoryIsExhausted(t *testing.T) {
	memory := NewMemoryLimit(256 << 10)
	endless := &endlessBody{}
	_, err := memory.ReadAll(endless, -1, 16<<20)
	must.ErrorIs(t, err, ErrTooLarge)
	must.Less(t, 512<<10, endless.read)
	must.True(t, memory.available.TryAcquire(256<<10))
	got, err := memory.ReadAll(bytes.NewReader(make([]byte, SmallBodyBytes-1)), -1, 16<<20)
	must.NoError(t, err)
	must.Len(t, SmallBodyBytes-1, got)
}

// TestReadErrorIsReturned guards against accepting a truncated body as complete.
func TestReadErrorIsReturned(t *testing.T) {
	errBroken := errors.New("broken")
	_, err := NewMemoryLimit(1<<20).ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 10)), iotest.ErrReader(errBroken)), -1, 100)
	must.ErrorIs(t, err, errBroken)
}

// TestReadLine guards messages of a stream: each line is returned whole, however the bytes arrive, a longer one is refused, and all
// memory is released.
func TestReadLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		memory := NewMemoryLimit(limit)
		sizes := rapid.SliceOfN(rapid.IntRange(0, 200<<10), 1, 4).Draw(t, "sizes")
		lineLimit := rapid.Int64Range(1, 200<<10).Draw(t, "most")
		var stream bytes.Buffer
		for i, size := range sizes {
			stream.Write(bytes.Repeat([]byte{byte('a' + i)}, size))
			stream.WriteByte('\n')
		}
		r := bufio.NewReader(&stream)
		for i, size := range sizes {
			line, err := memory.ReadLine(r, lineLimit)
			if int64(size+1) > lineLimit {
				must.ErrorIs(t, err, ErrTooLarge)
				must.True(t, memory.available.TryAcquire(limit), must.Sprint("all memory is released"))
				return
			}
			must.NoError(t, err)
			must.Eq(t, string(bytes.Repeat([]byte{byte('a' + i)}, size))+"\n", string(line))
		}
		_, err := memory.ReadLine(r, lineLimit)
		must.ErrorIs(t, err, io.EOF)
		must.True(t, memory.available.TryAcquire(limit), must.Sprint("all memory is released"))
	})
}

// TestEndlessLineIsRefused guards against a line without an end: it is refused once the memory for all messages is used up, and a small
// one is still read then.
func TestEndlessLineIsRefused(t *testing.T) {
	memory := NewMemoryLimit(256 << 10)
	endless := &endlessBody{}
	_, err := memory.ReadLine(bufio.NewReader(endless), 16<<20)
	must.ErrorIs(t, err, ErrTooLarge)
	must.Less(t, 512<<10, endless.read)
	must.True(t, memory.available.TryAcquire(256<<10))
	line, err := memory.ReadLine(bufio.NewReader(bytes.NewReader([]byte("last"))), 16<<20)
	must.NoError(t, err)
	must.Eq(t, "last", string(line))
}
