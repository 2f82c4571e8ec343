package backend_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
)

// okHealth and okLoad are valid responses of the health and load endpoints.
var (
	okHealth = rawResponse(200, 3, "ok\n")
	okLoad   = rawResponse(200, 64, `{"replica":"a","incarnation":1,"state":"ready","slots":4}       `)
)

// validResponse returns the response of a working server to any request of a client.
func validResponse(r *http.Request) string {
	switch r.URL.Path {
	case backend.PathHealth:
		return okHealth
	case backend.PathLoad:
		return okLoad
	case backend.PathMaps + "7":
		body := `{"version":7,"service":"s","shards":[{"id":"s0","low":0,"high":4294967296}]}`
		return rawResponse(200, len(body), body)
	default:
		return validAnswer(r)
	}
}

// extraResponder answers the first request and sends an extra response where the second response is expected. From then
// on, each response on the first connection arrives one request late: it is sent when the next request has been read.
func extraResponder(extra string) responder {
	first, late := true, extra
	return func(conn int, r *http.Request) string {
		switch response := validResponse(r); {
		case conn > 1:
			return response
		case first:
			first = false
			return response
		default:
			response, late = late, response
			return response
		}
	}
}

// extraResponses are responses that a server may send a second time, late, to the sub-request with the attempt r/1.
var extraResponses = map[string]string{
	"answer":                  rawResponse(200, 43, `{"request":"r","attempt":"r/1","end":"r/1"}`),
	"refusal":                 rawResponse(503, 52, `{"refused":"shedding","ran":"never","attempt":"r/1"}`),
	"refusal without attempt": rawResponse(503, 36, `{"refused":"shedding","ran":"never"}`),
	"server error":            rawResponse(500, 0, ""),
	"not an object":           rawResponse(200, 4, `"no"`),
	"no end mark":             rawResponse(200, 31, `{"request":"r","attempt":"r/1"}`),
	"no body":                 rawResponse(200, 0, ""),
}

// TestExtraResponseDoesNotSpoilConnection guards against a connection that stays in use after a response to an earlier
// request: each later request on it would get the response to the one before, so one extra response would fail all of
// them.
func TestExtraResponseDoesNotSpoilConnection(t *testing.T) {
	for name, extra := range extraResponses {
		t.Run(name, func(t *testing.T) {
			address, _ := startRawServer(t, extraResponder(extra))
			client := backend.NewClient(address, 1)
			defer client.Close()
			failures := 0
			for i := range 6 {
				sub := nonIdempotentSub
				sub.Attempt = fmt.Sprintf("r/%d", i+1)
				_, err := client.Send(t.Context(), sub)
				if i == 0 {
					must.NoError(t, err)
				}
				if err != nil {
					failures++
				}
			}
			must.LessEq(t, 1, failures, must.Sprint("failed sub-requests after one extra response"))
		})
	}
}

// TestExtraResponseToControlRequest guards against a late response to a sub-request that is taken for a load report or a
// shard map: a load report without slots or state would take the replica out of use. The connection must not stay in
// use either.
func TestExtraResponseToControlRequest(t *testing.T) {
	for name, extra := range extraResponses {
		for _, kind := range []string{"load", "map"} {
			t.Run(name+" "+kind, func(t *testing.T) {
				address, _ := startRawServer(t, extraResponder(extra))
				client := backend.NewClient(address, 1)
				defer client.Close()
				_, err := client.Send(t.Context(), nonIdempotentSub)
				must.NoError(t, err)
				fetch := func() error {
					if kind == "map" {
						_, err := client.FetchShardMap(t.Context(), 7)
						return err
					}
					_, err := client.FetchLoad(t.Context())
					return err
				}
				must.Error(t, fetch(), must.Sprint("the extra response was believed"))
				must.NoError(t, fetch(), must.Sprint("the connection stayed in use"))
			})
		}
	}
}

// closeRecorder records whether a connection was closed.
type closeRecorder struct {
	net.Conn
	closed atomic.Bool
}

func (c *closeRecorder) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// TestExtraResponseToHealthRequest guards against a connection that OpenIdle keeps although a late response to a
// sub-request arrived on it. Bodies of the health endpoint are not specified, so only a status or an attempt shows that.
func TestExtraResponseToHealthRequest(t *testing.T) {
	for _, name := range []string{"answer", "no end mark", "refusal", "refusal without attempt", "server error"} {
		t.Run(name, func(t *testing.T) {
			address, _ := startRawServer(t, extraResponder(extraResponses[name]))
			var mu sync.Mutex
			var conns []*closeRecorder
			dial := func(context.Context, string, string) (net.Conn, error) {
				conn, err := net.Dial("tcp", address)
				mu.Lock()
				defer mu.Unlock()
				conns = append(conns, &closeRecorder{Conn: conn})
				return conns[len(conns)-1], err
			}
			client := backend.NewClientWithDial(address, 2, dial)
			defer client.Close()
			_, err := client.Send(t.Context(), nonIdempotentSub)
			must.NoError(t, err)
			client.OpenIdle(t.Context(), 2)
			mu.Lock()
			defer mu.Unlock()
			must.True(t, conns[0].closed.Load(), must.Sprint("the connection with the extra response stayed open"))
		})
	}
}

// TestRefusalWithoutAttempt guards against a refusal of an earlier sub-request that is taken as proof that this one was
// not executed. Only the first response on a connection can be attributed without the attempt.
func TestRefusalWithoutAttempt(t *testing.T) {
	refusal := extraResponses["refusal without attempt"]
	address, _ := startRawServer(t, func(int, *http.Request) string { return refusal })
	client := backend.NewClient(address, 1)
	defer client.Close()
	sub := backend.SubRequest{Service: "s", Request: "r", Attempt: "r/1", Query: "q"}
	for i, wantProof := range []bool{true, false} {
		_, err := client.Send(t.Context(), sub)
		var e *backend.Error
		must.True(t, errors.As(err, &e))
		must.Eq(t, backend.Refused, e.Failure, must.Sprint("the refusal still shows that the replica sheds load"))
		must.Eq(t, wantProof, !e.MayHaveExecuted(), must.Sprintf("request %d on the connection", i+1))
	}
}

// TestConnectionClosedBeforeUse guards against an unknown outcome of a sub-request that only waits for a connection: the
// connection becomes idle with the last byte of a response, and is closed once that response turns out not to be that
// of its attempt. Nothing has been written for the waiting sub-request then.
func TestConnectionClosedBeforeUse(t *testing.T) {
	const rounds = 200
	for range rounds {
		arrived, answer := make(chan struct{}), make(chan struct{})
		address, _ := startRawServer(t, func(conn int, r *http.Request) string {
			if conn > 1 {
				return validAnswer(r)
			}
			close(arrived)
			<-answer
			return rawResponse(200, 4, `"no"`)
		})
		var dials atomic.Int64
		dialing, dialAllowed := make(chan struct{}), make(chan struct{})
		dial := func(context.Context, string, string) (net.Conn, error) {
			number := dials.Add(1)
			if number == 2 {
				close(dialing)
			}
			if number > 1 {
				<-dialAllowed
			}
			return net.Dial("tcp", address)
		}
		client := backend.NewClientWithDial(address, 2, dial)
		first, second := make(chan error, 1), make(chan error, 1)
		go func() { _, err := client.Send(t.Context(), nonIdempotentSub); first <- err }()
		<-arrived
		go func() { _, err := client.Send(t.Context(), nonIdempotentSub); second <- err }()
		<-dialing
		close(answer)
		must.Eq(t, backend.Undecodable, backend.FailureOf(<-first))
		close(dialAllowed)
		if err := <-second; err != nil {
			must.Eq(t, backend.NotSent, backend.FailureOf(err), must.Sprint(err))
		}
		client.Close()
	}
}

// heldConn is a connection whose first write waits until release is closed or the connection is closed, and whose reads
// return text meanwhile. Like a write that the operating system has already accepted, a held write succeeds even if the
// connection is closed.
type heldConn struct {
	net.Conn
	text    io.Reader
	writing func()
	started chan struct{}
	release chan struct{}
	closed  chan struct{}
	close   func()
	written atomic.Int64
}

func newHeldConn(conn net.Conn, text string) *heldConn {
	c := &heldConn{Conn: conn, text: strings.NewReader(text), started: make(chan struct{}), release: make(chan struct{}),
		closed: make(chan struct{})}
	c.writing = sync.OnceFunc(func() { close(c.started) })
	c.close = sync.OnceFunc(func() { close(c.closed) })
	return c
}

func (c *heldConn) Read(p []byte) (int, error) {
	<-c.started
	if n, _ := c.text.Read(p); n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

func (c *heldConn) Write(p []byte) (int, error) {
	c.writing()
	select {
	case <-c.release:
	case <-c.closed:
	}
	c.written.Add(int64(len(p)))
	return len(p), nil
}

func (c *heldConn) Close() error {
	c.close()
	return c.Conn.Close()
}

// TestResponseBeforeRequestIsWritten guards against a sub-request that is reported as not executed although its write is
// still to come, and against an answer that was received before the request was sent. The transport returns as soon as
// it reads a response or an error, whether or not the request has been written.
func TestResponseBeforeRequestIsWritten(t *testing.T) {
	texts := map[string]string{"garbage": "no response at all\r\n\r\n", "unexpected 101": "HTTP/1.1 101 X\r\n\r\n"}
	for name, extra := range extraResponses {
		texts[name] = strings.ReplaceAll(extra, "r/1", "r/0")
	}
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			ours, theirs := net.Pipe()
			defer theirs.Close()
			conn := newHeldConn(ours, text)
			client := backend.NewClientWithDial("replica:1", 1, func(context.Context, string, string) (net.Conn, error) { return conn, nil })
			defer client.Close()
			_, err := client.Send(t.Context(), nonIdempotentSub)
			close(conn.release)
			var e *backend.Error
			must.True(t, errors.As(err, &e))
			must.True(t, e.MayHaveExecuted(), must.Sprintf("reported as not executed before the write: %v", err))
		})
	}
}
