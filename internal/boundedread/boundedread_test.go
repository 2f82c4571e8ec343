package boundedread

import (
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

// zeros is a body without end.
type zeros struct{ read int }

func (z *zeros) Read(p []byte) (int, error) {
	z.read += len(p)
	return len(p), nil
}

// TestReadAll guards bodies against being changed, cut or read beyond their bound, whatever their reader does.
func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 20
		m := NewMemory(limit)
		body := make([]byte, rapid.IntRange(0, 200<<10).Draw(t, "size"))
		for i := range body {
			body[i] = byte(i * 7)
		}
		most := rapid.Int64Range(0, 200<<10).Draw(t, "most")
		stated := rapid.SampledFrom([]int64{-1, int64(len(body))}).Draw(t, "stated")
		var r io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "end with the last bytes") {
			r = iotest.DataErrReader(r)
		}
		got, err := m.ReadAll(r, stated, most)
		if int64(len(body)) > most {
			must.ErrorIs(t, err, ErrTooLarge)
		} else {
			must.NoError(t, err)
			must.True(t, bytes.Equal(body, got))
		}
		must.True(t, m.free.TryAcquire(limit), must.Sprint("all memory is given back"))
	})
}

// TestEndlessBodiesLeaveSmallOnesAlone guards ordinary answers while bodies without end have used the shared memory up.
func TestEndlessBodiesLeaveSmallOnesAlone(t *testing.T) {
	m := NewMemory(256 << 10)
	z := &zeros{}
	_, err := m.ReadAll(z, -1, 16<<20)
	must.ErrorIs(t, err, ErrTooLarge)
	must.Less(t, 512<<10, z.read)
	must.True(t, m.free.TryAcquire(256<<10))
	got, err := m.ReadAll(bytes.NewReader(make([]byte, Small-1)), -1, 16<<20)
	must.NoError(t, err)
	must.Len(t, Small-1, got)
}

// TestBrokenBody guards against a body that broke off being taken as a whole one.
func TestBrokenBody(t *testing.T) {
	broken := errors.New("broken")
	_, err := NewMemory(1<<20).ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 10)), iotest.ErrReader(broken)), -1, 100)
	must.ErrorIs(t, err, broken)
}
