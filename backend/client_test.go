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

var order = backend.Sub{Service: "orders", Request: "r", Attempt: "r/1", Query: "plate", Key: "k"}

// cutMark before a response makes the server close the connection after it.
const cutMark = "cut:"

// respond is called with each request and the number of its connection, and returns the raw response. An empty
// response closes the connection.
type respond func(conn int, r *http.Request) string

// startRaw serves raw responses on loopback and counts the requests it has read.
func startRaw(t *testing.T, fn respond) (address string, read *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	read = new(atomic.Int64)
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, n, fn, read)
		}
	}()
	return listener.Addr().String(), read
}

func serveRaw(conn net.Conn, n int, fn respond, read *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		read.Add(1)
		text, cut := strings.CutPrefix(fn(n, r), cutMark)
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || cut {
			return
		}
	}
}

func raw(status int, length int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, length, body)
}

func answer(r *http.Request) string {
	a := r.Header.Get(backend.HeaderAttempt)
	body := fmt.Sprintf(`{"request":%q,"attempt":%q,"end":%q}`, r.Header.Get(backend.HeaderRequest), a, a)
	return raw(200, len(body), body)
}

// Guards against a replay by net/http: a server that reads a request on a reused connection and closes it must
// have seen the request exactly once. Mutation: with HeaderKey = "Idempotency-Key" and a plain strings.Reader as
// body, from which net/http sets GetBody, the transport sends the order again on a new connection, and this test
// reads it twice; the search sub-request below carries no key and is not replayed even then.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	for _, sub := range []backend.Sub{order, {Service: "s", Request: "r", Attempt: "r/1", Query: "q"}} {
		var conns atomic.Int64
		address, read := startRaw(t, func(conn int, r *http.Request) string {
			conns.Store(int64(conn))
			if r.Header.Get(backend.HeaderAttempt) == "first" {
				return answer(r)
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
		must.Eq(t, 2, read.Load(), must.Sprint("requests read by the server"))
		must.Eq(t, 1, conns.Load(), must.Sprint("the connection was not reused"))
		client.Close()
	}
}

// Guards against a wrong claim that nothing was executed: NotSent and Refused are allowed only if the backend
// server got no byte or refused exactly this attempt.
func TestFailureClasses(t *testing.T) {
	refusal := func(attempt string) respond {
		body := fmt.Sprintf(`{"refused":"shedding","ran":"never","attempt":%q}`, attempt)
		return func(int, *http.Request) string { return raw(503, len(body), body) }
	}
	fixed := func(text string) respond { return func(int, *http.Request) string { return text } }
	hold := make(chan struct{})
	cases := []struct {
		name string
		fn   respond
		want backend.Failure
	}{
		{"answer", func(_ int, r *http.Request) string { return answer(r) }, ""},
		{"refusal", refusal("r/1"), backend.Refused},
		{"refusal of another attempt", refusal("r/0"), backend.ServerError},
		{"refusal without attempt", refusal(""), backend.ServerError},
		{"503 without body", fixed(raw(503, 0, "")), backend.ServerError},
		{"cut refusal", fixed(cutMark + raw(503, 100, `{"refused":"shedding","ran":"never","attempt":"r/1"}`)), backend.Truncated},
		{"redirect", fixed("HTTP/1.1 302 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"), backend.ServerError},
		{"redirect that keeps the method", fixed("HTTP/1.1 307 X\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n"), backend.ServerError},
		{"closed", fixed(""), backend.ConnectionLost},
		{"cut answer", fixed(cutMark + raw(200, 100, `{"request":"r"`)), backend.Truncated},
		{"no end mark", fixed(raw(200, 31, `{"request":"r","attempt":"r/1"}`)), backend.Truncated},
		{"no answer object", fixed(raw(200, 4, `"no"`)), backend.Undecodable},
		{"answer of another request", fixed(raw(200, 47, `{"request":"other","attempt":"r/1","end":"r/1"}`)), backend.Mismatched},
		{"late", func(int, *http.Request) string { <-hold; return "" }, backend.TimedOut},
	}
	for _, c := range cases {
		address, read := startRaw(t, c.fn)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if c.name == "late" {
			ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
		}
		client := backend.NewClient(address, 1)
		_, err := client.Send(ctx, order)
		cancel()
		client.Close()
		if c.want == "" {
			must.NoError(t, err)
			continue
		}
		must.Eq(t, c.want, backend.FailureOf(err), must.Sprintf("%s: %v", c.name, err))
		must.LessEq(t, 1, read.Load(), must.Sprint(c.name))
	}
	close(hold)
}

// Guards against a sub-request that counts as sent although no connection was opened for it, which would keep
// the claim of an order that can safely be sent to another replica.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, err = backend.NewClient(listener.Addr().String(), 1).Send(t.Context(), order)
	must.Eq(t, backend.NotSent, backend.FailureOf(err))

	hold, arrived := make(chan struct{}), make(chan struct{})
	address, read := startRaw(t, func(_ int, r *http.Request) string {
		close(arrived)
		<-hold
		return answer(r)
	})
	client := backend.NewClient(address, 1)
	done := make(chan error)
	go func() {
		_, err := client.Send(context.Background(), order)
		done <- err
	}()
	<-arrived
	_, err = client.Send(t.Context(), order)
	must.Eq(t, backend.NotSent, backend.FailureOf(err))
	must.StrContains(t, err.Error(), "connection share used up")
	close(hold)
	must.NoError(t, <-done)
	must.Eq(t, 1, read.Load())
	client.Close()
	must.Eq(t, 0, client.OpenConnections())
}
