package reception

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

const testLimit = 256 << 10

// callerConn is a connection whose reads end at the deadline that the receiver sets.
type callerConn struct {
	*httptest.ResponseRecorder
	deadline chan time.Time
	framing  int64
	received int64
	isClosed bool
}

func newCallerConn() *callerConn {
	return &callerConn{ResponseRecorder: httptest.NewRecorder(), deadline: make(chan time.Time, 10)}
}

// SetReadDeadline is called by http.ResponseController.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.deadline <- t
	return nil
}

// ReceivedBytes implements Conn.
func (c *callerConn) ReceivedBytes() int64 { return c.received + c.framing*c.received }

// Run implements Conn.
func (c *callerConn) Run() bool { return !c.isClosed }

// stalledBody gives some bytes and then waits for the deadline.
type stalledBody struct {
	io.Reader
	conn *callerConn
}

// Read implements io.Reader.
func (s stalledBody) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.conn.received += int64(n)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for deadline := range s.conn.deadline {
		if wait := time.Until(deadline); wait > 0 && len(s.conn.deadline) == 0 {
			select {
			case <-time.After(wait):
			case earlier := <-s.conn.deadline:
				s.conn.deadline <- earlier
				continue
			}
		}
		if !time.Now().Before(deadline) {
			break
		}
	}
	return 0, os.ErrDeadlineExceeded
}

// Close implements io.Closer.
func (stalledBody) Close() error { return nil }

// countingBody counts what is read from a body that ends.
type countingBody struct {
	io.Reader
	conn *callerConn
}

// Read implements io.Reader.
func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.conn.received += int64(n)
	return n, err
}

func newRequest(body io.Reader, length int64) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "http://h/", body)
	r.ContentLength = length
	return r
}

// receiverFor returns a receiver for one connection and the reasons that it reports.
func receiverFor(b *Budget, conn *callerConn) (*Receiver, *[]Reason) {
	var reasons []Reason
	return NewReceiver(b, 1, func(*http.Request) Conn { return conn }, func(r Reason, _ string) { reasons = append(reasons, r) }), &reasons
}

// TestBodiesAreReceived guards bodies of any size and framing against damage, and the budget against a count that is not released.
func TestBodiesAreReceived(t *testing.T) {
	for _, size := range []int{0, 1, firstSegmentBytes - 1, firstSegmentBytes, firstSegmentBytes + 1, 100_000, testLimit} {
		for _, hasLength := range []bool{true, false} {
			b, conn := NewBudget(64*testLimit), newCallerConn()
			rc, reasons := receiverFor(b, conn)
			want := bytes.Repeat([]byte("0123456789"), size/10+1)[:size]
			length := int64(-1)
			if hasLength {
				length = int64(size)
			}
			body, err := rc.Receive(conn, newRequest(countingBody{bytes.NewReader(want), conn}, length), testLimit)
			must.NoError(t, err)
			must.True(t, bytes.Equal(want, body.Bytes))
			if hasLength {
				must.Eq(t, int64(size), b.Held())
			} else {
				must.Between(t, int64(size), b.Held(), int64(max(size, 2*firstSegmentBytes)))
			}
			body.Release()
			body.Release()
			must.Eq(t, 0, b.Held())
			must.SliceEmpty(t, *reasons)
		}
	}
}

// TestBodyAboveLimit guards the daemon against bodies above the operator's limit, and the connection against a rest that is taken for
// another request.
func TestBodyAboveLimit(t *testing.T) {
	for _, length := range []int64{testLimit + 1, -1} {
		b, conn := NewBudget(64*testLimit), newCallerConn()
		rc, _ := receiverFor(b, conn)
		_, err := rc.Receive(conn, newRequest(strings.NewReader(strings.Repeat("b", testLimit+1)), length), testLimit)
		must.ErrorIs(t, err, ErrTooLarge)
		must.Eq(t, "close", conn.Header().Get("Connection"))
		must.Eq(t, 0, b.Held())
	}
}

// TestStalledBodyTimesOut guards the memory against a body that stops short of its end: its announced length is reserved from the start,
// until the deadline.
func TestStalledBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, conn := NewBudget(64*testLimit), newCallerConn()
		rc, reasons := receiverFor(b, conn)
		begin := time.Now()
		done := make(chan error)
		go func() {
			_, err := rc.Receive(conn, newRequest(stalledBody{strings.NewReader("start"), conn}, testLimit), testLimit)
			done <- err
		}()
		synctest.Wait()
		must.Eq(t, testLimit, b.Held())
		must.ErrorIs(t, <-done, ErrTimeout)
		must.Eq(t, BodyTimeout, time.Since(begin))
		must.Eq(t, []Reason{BodyTimedOut}, *reasons)
		must.Eq(t, 0, b.Held())
	})
}

// TestEvictedBodyIsInterrupted guards the caller whose body needs the memory: a stalled body releases it at once.
func TestEvictedBodyIsInterrupted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, conn := NewBudget(3*testLimit/2), newCallerConn()
		rc, reasons := receiverFor(b, conn)
		done := make(chan error)
		go func() {
			_, err := rc.Receive(conn, newRequest(stalledBody{strings.NewReader("start"), conn}, testLimit), testLimit)
			done <- err
		}()
		time.Sleep(minHold)
		other := newCallerConn()
		body, err := NewReceiver(b, 1, func(*http.Request) Conn { return other }, nil).Receive(other, newRequest(strings.NewReader(strings.Repeat("b", testLimit)), testLimit), testLimit)
		must.NoError(t, err)
		must.ErrorIs(t, <-done, ErrEvicted)
		must.Eq(t, []Reason{BodyEvicted}, *reasons)
		body.Release()
		must.Eq(t, 0, b.Held())
	})
}

// TestBodyIsRefusedWithoutMemory guards the memory against bodies that arrive while requests hold all of it: nothing is read then.
func TestBodyIsRefusedWithoutMemory(t *testing.T) {
	b, conn := NewBudget(3*testLimit/2), newCallerConn()
	mustReserve(t, b, "a", testLimit, time.Now()).Complete()
	rc, reasons := receiverFor(b, conn)
	body := strings.NewReader(strings.Repeat("b", testLimit))
	_, err := rc.Receive(conn, newRequest(body, testLimit), testLimit)
	must.ErrorIs(t, err, ErrNoMemory)
	must.Eq(t, testLimit, body.Len())
	must.Eq(t, []Reason{BodyRefused}, *reasons)
}

// TestFramingIsCharged guards the budget against bodies in tiny chunks, whose bytes on the connection are several times those of the body.
func TestFramingIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, conn := NewBudget(64*testLimit), newCallerConn()
		conn.framing = 5
		rc, _ := receiverFor(b, conn)
		done := make(chan error)
		go func() {
			_, err := rc.Receive(conn, newRequest(stalledBody{strings.NewReader(strings.Repeat("b", 100_000)), conn}, -1), testLimit)
			done <- err
		}()
		synctest.Wait()
		must.Between(t, 600_000-framingStep, b.Held(), 600_000+maxSegmentBytes)
		must.ErrorIs(t, <-done, ErrTimeout)
		must.Eq(t, 0, b.Held())
	})
}

// TestSmallChunksAreLimited guards ordinary requests against the processor time of bodies in tiny chunks: one is received without delay,
// many at once are refused.
func TestSmallChunksAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBudget(1 << 30)
		var refused, received int
		var rc *Receiver
		begin := time.Now()
		for i := range 4 {
			conn := newCallerConn()
			conn.framing = 5
			if rc == nil {
				rc, _ = receiverFor(b, conn)
			}
			rc.connOf = func(*http.Request) Conn { return conn }
			body, err := rc.Receive(conn, newRequest(countingBody{strings.NewReader(strings.Repeat("b", testLimit)), conn}, -1), testLimit)
			if i == 0 {
				must.NoError(t, err)
				must.Eq(t, 0, time.Since(begin))
			}
			if err != nil {
				must.ErrorIs(t, err, ErrChunks)
				refused++
				continue
			}
			received++
			body.Release()
		}
		must.Positive(t, refused)
		must.Positive(t, received)
		must.Eq(t, 0, b.Held())
	})
}

// TestClosedConnectionDoesNotRun guards the promise of a closed connection: its request has been received and must not run.
func TestClosedConnectionDoesNotRun(t *testing.T) {
	for _, length := range []int64{0, 5} {
		b, conn := NewBudget(64*testLimit), newCallerConn()
		conn.isClosed = true
		rc, _ := receiverFor(b, conn)
		_, err := rc.Receive(conn, newRequest(strings.NewReader("start"), length), testLimit)
		must.ErrorIs(t, err, ErrEvicted)
		must.Eq(t, 0, b.Held())
	}
}

// TestHandlerRefusals guards delegating daemons: a refusal must be a client error, which they take as "not executed".
func TestHandlerRefusals(t *testing.T) {
	b := NewBudget(3 * testLimit / 2)
	held := mustReserve(t, b, "a", testLimit, time.Now())
	held.Complete()
	conn := newCallerConn()
	rc, _ := receiverFor(b, conn)
	var got []byte
	handler := rc.Handler(testLimit, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r.Body.(*BufferedBody).Bytes()
	}))
	large := strings.Repeat("b", testLimit)
	handler.ServeHTTP(conn, newRequest(strings.NewReader(large), testLimit))
	must.Eq(t, http.StatusTooManyRequests, conn.Code)
	must.NotEq(t, "", conn.Header().Get("Retry-After"))
	must.Nil(t, got)
	held.Release()
	handler.ServeHTTP(newCallerConn(), newRequest(strings.NewReader(large), testLimit))
	must.Eq(t, large, string(got))
	must.Eq(t, 0, b.Held())
	conn = newCallerConn()
	handler.ServeHTTP(conn, newRequest(strings.NewReader(large+"b"), testLimit+1))
	must.Eq(t, http.StatusRequestEntityTooLarge, conn.Code)
}
