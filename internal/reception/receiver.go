package reception

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/time/rate"
)

const (
	// BodyTimeout is the longest time from the end of a header to the end of the body, as long as the operator's idle timeout between two
	// requests.
	BodyTimeout = 15 * time.Second
	// drainTimeout is how long the rest of a refused body is read and dropped, so that the caller can read the response.
	drainTimeout = 100 * time.Millisecond
	// firstSegmentBytes and maxSegmentBytes are the sizes of the first and the largest segments of a body without a length.
	firstSegmentBytes = 4 << 10
	maxSegmentBytes   = 64 << 10
	// framingStep is the step in which the framing of chunks is charged. The first bytes of framing may be missing, because the start of a
	// body may be read with the header.
	framingStep = 4 << 10
	// framingRate is the number of bytes of framing that all bodies together may have per second, framingBurst the number at once. Bodies
	// in one-byte chunks take much processor time and would delay other requests. The burst is the framing
	// of the largest legal body, so that a single one is not delayed. maxFramingDelay is the longest time that a body may wait for its part.
	framingRate     = 1 << 20
	framingBurst    = 2 << 20
	maxFramingDelay = 100 * time.Millisecond
	// minRetryAfter and retryAfterSpread determine the advised wait after a refusal: by then the present reservations can be evicted.
	minRetryAfter    = minHold
	retryAfterSpread = 300 * time.Millisecond
)

// ErrTooLarge means that a body exceeds its limit, ErrTimeout that it was not complete after BodyTimeout, ErrChunks that too many bodies
// in small chunks were received at once.
var (
	ErrTooLarge = errors.New("the body is too large")
	ErrTimeout  = errors.New("the body was not received in time")
	ErrChunks   = errors.New("too many bodies in small chunks are being received")
)

// Reason is the reason for which a request was not received.
type Reason string

// Reasons of the limits on reception.
const (
	// BodyRefused: no memory for a body. BodyEvicted: an incomplete body was evicted. BodyTimedOut: it took too long.
	// ChunksRefused: too many bodies in small chunks.
	BodyRefused   Reason = "body_refused"
	BodyEvicted   Reason = "body_evicted"
	BodyTimedOut  Reason = "body_timeout"
	ChunksRefused Reason = "chunks_refused"
	// HeaderRefused and HeaderEvicted are the same for headers; their connections are closed.
	HeaderRefused Reason = "header_refused"
	HeaderEvicted Reason = "header_evicted"
	// ConnectionRefused: all connections are in use by requests that run. ConnectionClosed: an idle or incomplete one made room.
	ConnectionRefused Reason = "connection_refused"
	ConnectionClosed  Reason = "connection_closed"
)

// RetryAfter returns the time after which a refused caller should try again.
func RetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterSpread) }

// Receiver receives the bodies of requests under a budget. It is safe for concurrent use.
type Receiver struct {
	budget *Budget
	// copies is the number of times that a body is in memory while its request is handled.
	copies int64
	// connOf returns the connection of a request.
	connOf  func(*http.Request) Conn
	observe Observer
	framing *rate.Limiter
}

// Conn is the connection of a request. Implementations are safe for concurrent use.
type Conn interface {
	// ReceivedBytes returns the number of bytes received since the header of the current request.
	ReceivedBytes() int64
	// Run marks that the request has been received and runs. It returns false if the connection has been closed: the request must not
	// run then.
	Run() bool
}

// UnknownConn stands for the connection of a request whose server does not limit connections.
type UnknownConn struct{}

// ReceivedBytes implements Conn.
func (UnknownConn) ReceivedBytes() int64 { return 0 }

// Run implements Conn.
func (UnknownConn) Run() bool { return true }

// Observer is called for each request or connection that a limit of reception ended, with the caller's IP address.
type Observer func(reason Reason, address string)

// NewReceiver returns a receiver. A body is charged copies times.
func NewReceiver(budget *Budget, copies int64, connOf func(*http.Request) Conn, observe Observer) *Receiver {
	return &Receiver{budget: budget, copies: copies, connOf: connOf, observe: observe, framing: rate.NewLimiter(framingRate, framingBurst)}
}

// Body is a received body. Release must be called once the request has been answered.
type Body struct {
	Bytes       []byte
	reservation *Reservation
}

// Retain drops the body and keeps a reservation of up to the given number of bytes, for what has been decoded from it.
func (b *Body) Retain(bytes int64) {
	b.Bytes = nil
	if b.reservation != nil {
		b.reservation.ShrinkTo(bytes)
	}
}

// Release ends the reservation. It may be called repeatedly.
func (b *Body) Release() {
	if b.reservation != nil {
		b.reservation.Release()
	}
}

// Receive reads the body of a request. A body longer than limit gives ErrTooLarge, one that cannot be received for lack of memory
// ErrNoMemory or ErrEvicted, one that is late ErrTimeout, one in small chunks beside too many others ErrChunks; other errors are those of
// the connection. After an error, the response must close the connection, which Receive has requested in its header.
func (rc *Receiver) Receive(w http.ResponseWriter, r *http.Request, limit int64) (Body, error) {
	conn := rc.connOf(r)
	if r.ContentLength == 0 {
		if !conn.Run() {
			return Body{}, ErrEvicted
		}
		return Body{}, nil
	}
	now := time.Now()
	control := http.NewResponseController(w)
	// A response writer without deadlines is one of a test: bodies then have no deadline.
	setDeadline := func(t time.Time) { _ = control.SetReadDeadline(t) }
	in := &bodyReader{
		receiver: rc, conn: conn, request: r, limit: limit,
		reservation: rc.budget.NewReservation(AddressOf(r.RemoteAddr), now, func() { setDeadline(now) }),
	}
	setDeadline(now.Add(BodyTimeout))
	data, err := in.read()
	if err == nil && in.reservation.Complete() && conn.Run() {
		setDeadline(time.Time{})
		return Body{Bytes: data, reservation: in.reservation}, nil
	}
	err = in.cause(err)
	in.reservation.Release()
	w.Header().Set("Connection", "close")
	// net/http reads on after the response; without this deadline it would wait for the rest of the body. The rest of a chunked one is
	// not read, because decoding tiny chunks takes as much time as receiving the body.
	end := time.Now()
	if r.ContentLength > 0 {
		end = end.Add(drainTimeout)
	}
	setDeadline(end)
	rc.observeFailure(err, AddressOf(r.RemoteAddr))
	return Body{}, err
}

// observeFailure tells the observer of a body that was not received because of a limit. Other errors are not observed.
func (rc *Receiver) observeFailure(err error, address string) {
	switch {
	case errors.Is(err, ErrNoMemory):
		rc.observe(BodyRefused, address)
	case errors.Is(err, ErrEvicted):
		rc.observe(BodyEvicted, address)
	case errors.Is(err, ErrTimeout):
		rc.observe(BodyTimedOut, address)
	case errors.Is(err, ErrChunks):
		rc.observe(ChunksRefused, address)
	}
}

// AddressOf returns the IP address of an address with a port.
func AddressOf(remote string) string {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return remote
	}
	return host
}

// bodyReader reads the body of one request.
type bodyReader struct {
	receiver    *Receiver
	conn        Conn
	request     *http.Request
	limit       int64
	reservation *Reservation
	// framing is the number of bytes charged for the framing of chunks.
	framing int64
}

// cause returns the error of a body that was not received. err is the error of the read, nil if the reservation or the connection was lost
// after it. An eviction interrupts the read by a deadline.
func (in *bodyReader) cause(err error) error {
	switch {
	case err == nil || in.reservation.IsEvicted():
		return ErrEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTimeout
	default:
		return err
	}
}

// read reads the body. One without a length is read in segments, which are then joined.
func (in *bodyReader) read() ([]byte, error) {
	if in.request.ContentLength > in.limit {
		return nil, ErrTooLarge
	}
	if n := in.request.ContentLength; n > 0 {
		if err := in.reserve(n); err != nil {
			return nil, err
		}
		data := make([]byte, n)
		_, err := io.ReadFull(in.request.Body, data)
		return data, err
	}
	segments, total, err := in.readSegments()
	if err != nil {
		return nil, err
	}
	return in.join(segments, total)
}

// join returns the body of total bytes in one slice, and shrinks the reservation to it.
func (in *bodyReader) join(segments [][]byte, total int64) ([]byte, error) {
	if len(segments) == 1 {
		in.reservation.Shrink(in.framing)
		return segments[0], nil
	}
	if err := in.reserve(total); err != nil {
		return nil, err
	}
	data := make([]byte, 0, total)
	var capacity int64
	for _, s := range segments {
		data = append(data, s...)
		capacity += int64(cap(s))
	}
	in.reservation.Shrink(capacity*in.receiver.copies + in.framing)
	return data, nil
}

// readSegments reads a body without a length. Each segment is reserved before it is allocated and never reallocated, so that the
// reservation is what is used.
func (in *bodyReader) readSegments() (segments [][]byte, total int64, err error) {
	size := int64(firstSegmentBytes)
	for {
		// One byte more than the limit shows that the body is too large.
		size = min(size, in.limit+1-total)
		if err := in.reserve(size); err != nil {
			return nil, 0, err
		}
		segment := make([]byte, 0, size)
		for len(segment) < cap(segment) {
			n, err := in.request.Body.Read(segment[len(segment):cap(segment)])
			segment = segment[:len(segment)+n]
			total += int64(n)
			if total > in.limit {
				return nil, 0, ErrTooLarge
			}
			if errors.Is(err, io.EOF) {
				return append(segments, segment), total, nil
			}
			if err == nil {
				err = in.chargeFraming(total)
			}
			if err != nil {
				return nil, 0, err
			}
		}
		segments = append(segments, segment)
		size = min(2*size, maxSegmentBytes)
	}
}

// reserve reserves memory for bytes of the body.
func (in *bodyReader) reserve(bytes int64) error {
	return in.reservation.Grow(bytes*in.receiver.copies, time.Now())
}

// chargeFraming charges what was received on the connection beyond the body, and waits until it may be decoded. Framing takes no memory.
// It is reserved nevertheless, so that a body in tiny chunks, which takes more processor time, is evicted before others.
func (in *bodyReader) chargeFraming(total int64) error {
	excess := in.conn.ReceivedBytes() - total
	if excess < in.framing+framingStep {
		return nil
	}
	step := (excess - in.framing) / framingStep * framingStep
	if err := in.reservation.Grow(step, time.Now()); err != nil {
		return err
	}
	in.framing += step
	decoding := in.receiver.framing.ReserveN(time.Now(), int(min(step, framingBurst)))
	delay := decoding.Delay()
	if delay > maxFramingDelay {
		decoding.Cancel()
		return ErrChunks
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	return nil
}
