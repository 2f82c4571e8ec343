package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
)

var nonIdempotentSub = backend.SubRequest{Service: "orders", Request: "r", Attempt: "r/1", Query: "plate", Key: "k"}

// closeAfterPrefix at the start of a response makes the server close the connection after sending it.
const closeAfterPrefix = "cut:"

// responder returns the raw response to a request on the connection with the given number. An empty response closes the
// connection.
type responder func(conn int, r *http.Request) string

// startRawServer serves raw responses on the loopback interface and counts the requests that it has read.
func startRawServer(t *testing.T, fn responder) (address string, readCount *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	readCount = new(atomic.Int64)
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, n, fn, readCount)
		}
	}()
	return listener.Addr().String(), readCount
}

func serveRaw(conn net.Conn, n int, fn responder, readCount *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		readCount.Add(1)
		text, closeAfter := strings.CutPrefix(fn(n, r), closeAfterPrefix)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || closeAfter {
			return
		}
	}
}

func rawResponse(status int, length int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, length, body)
}

func validAnswer(r *http.Request) string {
	a := r.Header.Get(backend.HeaderAttempt)
	body := fmt.Sprintf(`{"request":%q,"attempt":%q,"end":%q}`, r.Header.Get(backend.HeaderRequest), a, a)
	return rawResponse(200, len(body), body)
}

// TestRequestIsNotReplayedOnBrokenConnection guards against a replay by net/http: a server that closes a reused
// connection after reading a request must receive that request exactly once. The test fails if HeaderKey is
// "Idempotency-Key" and the body is a plain strings.Reader, for which net/http sets GetBody: the transport then sends
// the non-idempotent sub-request again on a new connection. The other sub-request has no key and is not replayed even
// then.
func TestRequestIsNotReplayedOnBrokenConnection(t *testing.T) {
	for _, sub := range []backend.SubRequest{nonIdempotentSub, {Service: "s", Request: "r", Attempt: "r/1", Query: "q"}} {
		var conns atomic.Int64
		address, readCount := startRawServer(t, func(conn int, r *http.Request) string {
			conns.Store(int64(conn))
			if r.Header.Get(backend.HeaderAttempt) == "first" {
				return validAnswer(r)
			}
			return ""
		})
		client := backend.NewClient(address, 4)
		first := sub
		first.Attempt = "first"
		_, err := client.Send(t.Context(), first)
		must.NoError(t, err)
		_, err = client.Send(t.Context(), sub)
		must.Eq(t, backend.ConnectionLost, backend.FailureOf(err))
		must.Eq(t, 2, readCount.Load(), must.Sprint("requests read by the server"))
		must.Eq(t, 1, conns.Load(), must.Sprint("the connection was not reused"))
		client.Close()
	}
}

// TestFailureClassification guards against a failure class that wrongly guarantees that nothing was executed. NotSent
// is allowed only if the backend server received no byte, and Refused only if it refused exactly this attempt.
func TestFailureClassification(t *testing.T) {
	refusal := func(attempt string) responder {
		body := fmt.Sprintf(`{"refused":"shedding","ran":"never","attempt":%q}`, attempt)
		return func(int, *http.Request) string { return rawResponse(503, len(body), body) }
	}
	fixed := func(text string) responder { return func(int, *http.Request) string { return text } }
	release := make(chan struct{})
	cases := []struct {
		name string
		fn   responder
		want backend.Failure
	}{
		{"answer", func(_ int, r *http.Request) string { return validAnswer(r) }, ""},
		{"refusal", refusal("r/1"), backend.Refused},
		{"refusal of another attempt", refusal("r/0"), backend.ServerError},
		{"refusal without attempt", refusal(""), backend.ServerError},
		{"503 without body", fixed(rawResponse(503, 0, "")), backend.ServerError},
		{"cut refusal", fixed(closeAfterPrefix + rawResponse(503, 100, `{"refused":"shedding","ran":"never","attempt":"r/1"}`)), backend.Truncated},
		{"redirect", fixed("HTTP/1.1 302 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"), backend.ServerError},
		{"redirect that keeps the method", fixed("HTTP/1.1 307 X\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), backend.ServerError},
		{"closed", fixed(""), backend.ConnectionLost},
		{"cut answer", fixed(closeAfterPrefix + rawResponse(200, 100, `{"request":"r"`)), backend.Truncated},
		{"no end mark", fixed(rawResponse(200, 31, `{"request":"r","attempt":"r/1"}`)), backend.Truncated},
		{"no answer object", fixed(rawResponse(200, 4, `"no"`)), backend.Undecodable},
		{"answer of another request", fixed(rawResponse(200, 47, `{"request":"other","attempt":"r/1","end":"r/1"}`)), backend.Mismatched},
		{"late", func(int, *http.Request) string { <-release; return "" }, backend.TimedOut},
	}
	for _, c := range cases {
		address, readCount := startRawServer(t, c.fn)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if c.name == "late" {
			ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
		}
		client := backend.NewClient(address, 1)
		_, err := client.Send(ctx, nonIdempotentSub)
		cancel()
		client.Close()
		if c.want == "" {
			must.NoError(t, err)
			continue
		}
		must.Eq(t, c.want, backend.FailureOf(err), must.Sprintf("%s: %v", c.name, err))
		must.LessEq(t, 1, readCount.Load(), must.Sprint(c.name))
	}
	close(release)
}

// TestRequestIsNotSentWithoutConnection guards against a sub-request that is classified as possibly executed although
// no connection was available for it. The claim of a non-idempotent request would then be kept although the request
// could safely be sent to another replica.
func TestRequestIsNotSentWithoutConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, err = backend.NewClient(listener.Addr().String(), 1).Send(t.Context(), nonIdempotentSub)
	must.Eq(t, backend.NotSent, backend.FailureOf(err))

	release, arrived := make(chan struct{}), make(chan struct{})
	address, readCount := startRawServer(t, func(_ int, r *http.Request) string {
		close(arrived)
		<-release
		return validAnswer(r)
	})
	client := backend.NewClient(address, 1)
	done := make(chan error)
	go func() {
		_, err := client.Send(context.Background(), nonIdempotentSub)
		done <- err
	}()
	<-arrived
	_, err = client.Send(t.Context(), nonIdempotentSub)
	must.Eq(t, backend.NotSent, backend.FailureOf(err))
	must.StrContains(t, err.Error(), "connection share used up")
	close(release)
	must.NoError(t, <-done)
	must.Eq(t, 1, readCount.Load())
	client.Close()
	must.Eq(t, 0, client.OpenConnections())
}
