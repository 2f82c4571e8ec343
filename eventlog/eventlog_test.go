package eventlog

import (
	"bytes"
	"io"
	"log"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
)

// blockedWriter is a writer that blocks until released, like a pipe whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestBlockedWriterDoesNotBlockLogging guards against requests that block because the log output is not read: lines must
// be dropped and counted instead.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	l := New(out, Options{MaxPerSecond: 100_000, QueueSize: 10})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			l.Info(RequestFailed, zap.String("request", "r"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked on the writer")
	}
	must.GreaterEq(t, 900, l.Counts().QueueFull)
	close(out.release)
	l.Close()
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// TestRateLimitPerEvent guards against an unlimited log volume under load, and against a frequent event whose lines
// cause those of another event to be dropped.
func TestRateLimitPerEvent(t *testing.T) {
	out := &lockedBuffer{}
	l := New(out, Options{MaxPerSecond: 5})
	for range 100 {
		l.Info(RequestFailed)
	}
	l.Info(StoreLost)
	l.Close()
	// The limit applies to each second of the clock, and the loop may run into the next second.
	must.LessEq(t, 10, strings.Count(out.buf.String(), RequestFailed))
	must.Eq(t, 1, strings.Count(out.buf.String(), StoreLost))
	must.GreaterEq(t, 90, l.Counts().RateLimited)
	must.Eq(t, int64(out.buf.Len()), l.Counts().Bytes)
}

// TestLibraryMessagesAreBounded guards against an unlimited log volume from libraries: net/http logs each response that
// arrives on an idle connection, with up to 4 KiB of its text, so that replicas that respond twice would fill the log.
func TestLibraryMessagesAreBounded(t *testing.T) {
	out := &lockedBuffer{}
	l := New(out, Options{MaxPerSecond: 5})
	restore := l.RedirectStandardLog()
	for i := range 100 {
		log.Printf("unsolicited response %d: %s", i, strings.Repeat("x", 4<<10))
	}
	restore()
	l.Close()
	// The limit applies to each second of the clock, and the loop may run into the next second.
	must.LessEq(t, 10, strings.Count(out.buf.String(), LibraryMessage))
	must.GreaterEq(t, 90, l.Counts().RateLimited)
	must.Less(t, 10<<10, out.buf.Len())
	must.StrContains(t, out.buf.String(), "unsolicited response 0: xxx")
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestFailedWritesAreCounted guards against lines that are lost without being counted.
func TestFailedWritesAreCounted(t *testing.T) {
	l := New(failingWriter{}, Options{})
	l.Info(Started)
	l.Close()
	must.Eq(t, Counts{QueueFull: 1}, l.Counts())
}
