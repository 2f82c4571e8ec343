package eventlog

import (
	"bytes"
	"io"
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

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestFailedWritesAreCounted guards against lines that are lost without being counted.
func TestFailedWritesAreCounted(t *testing.T) {
	l := New(failingWriter{}, Options{})
	l.Info(Started)
	l.Close()
	must.Eq(t, Counts{QueueFull: 1}, l.Counts())
}
