package delegation

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// rawHelper is a helper that writes HTTP responses byte by byte. respond returns the response to the request with the
// given number on a connection; sent before the query is read if early is true, and after a 100 Continue otherwise.
type rawHelper struct {
	early   func(number int) bool
	respond func(number int, r *http.Request) string
}

// start serves connections on the loopback interface until the test ends and returns the address.
func (h rawHelper) start(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (h rawHelper) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 1; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !h.early(number) {
			if _, err := io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
		}
		if _, err := io.WriteString(conn, h.respond(number, request)); err != nil {
			return
		}
	}
}

func never(int) bool { return false }

// answerResponse returns the complete response with the last part of a query over one shard. headers are additional
// header lines.
func answerResponse(signature string, headers ...string) string {
	body := fmt.Sprintf("{\"shards\":[0],\"signatures\":[%q],\"last\":true}\n", signature)
	lines := append([]string{"HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d", len(body))}, headers...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// delegateTwice delegates two queries to the helper over one client and returns the parts and the error of the second.
func delegateTwice(t *testing.T, address string) (parts []PartialAnswer, err error) {
	t.Helper()
	client := NewClient(testMemory)
	defer client.http.CloseIdleConnections()
	query := Query{ID: "q", Shards: []int{0}}
	must.NoError(t, client.Delegate(t.Context(), address, query, testTimeout, func(PartialAnswer) {}))
	err = client.Delegate(t.Context(), address, query, testTimeout, func(p PartialAnswer) { parts = append(parts, p) })
	return parts, err
}

// TestAnswerBeforeQueryIsSent guards against an answer that arrives before the query has been sent, and is therefore that
// of an earlier query on the connection. The query is never sent then.
func TestAnswerBeforeQueryIsSent(t *testing.T) {
	helper := rawHelper{
		early:   func(number int) bool { return number == 2 },
		respond: func(int, *http.Request) string { return answerResponse("first") },
	}
	parts, err := delegateTwice(t, helper.start(t))
	must.ErrorIs(t, err, ErrNotAccepted)
	must.Len(t, 0, parts)
}

// TestAnswerOfAnotherExchange guards against the answer or the refusal of an earlier query that arrives where that of the
// next one is expected. Such a refusal does not show that the query was not accepted.
func TestAnswerOfAnotherExchange(t *testing.T) {
	for name, late := range map[string]func(exchange string) string{
		"answer": func(exchange string) string { return answerResponse("first", headerExchange+": "+exchange) },
		"refusal": func(exchange string) string {
			return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n" + headerExchange + ": " + exchange + "\r\n\r\n"
		},
	} {
		t.Run(name, func(t *testing.T) {
			var first string
			parts, err := delegateTwice(t, rawHelper{early: never, respond: func(number int, r *http.Request) string {
				if number == 1 {
					first = r.Header.Get(headerExchange)
					return answerResponse("first", headerExchange+": "+first)
				}
				return late(first)
			}}.start(t))
			must.Error(t, err)
			must.False(t, errors.Is(err, ErrNotAccepted), must.Sprint(err))
			must.Len(t, 0, parts)
		})
	}
}

// TestHelperWithoutExchange guards the compatibility with helpers that do not repeat the id of the exchange.
func TestHelperWithoutExchange(t *testing.T) {
	helper := rawHelper{early: never, respond: func(number int, _ *http.Request) string { return answerResponse(fmt.Sprint(number)) }}
	parts, err := delegateTwice(t, helper.start(t))
	must.NoError(t, err)
	must.Eq(t, []PartialAnswer{{Shards: []int{0}, Signatures: []string{"2"}, Last: true}}, parts)
}

// TestUnexpectedStatusAfterQuery guards against a query that is answered a second time because a status that no daemon
// uses for a refusal counts as one, and against the body of a redirect's target that is taken for the answer.
func TestUnexpectedStatusAfterQuery(t *testing.T) {
	for _, status := range []string{"302 Found", "307 Temporary Redirect", "500 Internal Server Error", "204 No Content"} {
		t.Run(status, func(t *testing.T) {
			var address string
			helper := rawHelper{early: never, respond: func(_ int, r *http.Request) string {
				if r.Method == http.MethodGet {
					return answerResponse("other")
				}
				length := "Content-Length: 0\r\n"
				if strings.HasPrefix(status, "204") {
					length = ""
				}
				return "HTTP/1.1 " + status + "\r\nLocation: http://" + address + "/other\r\n" + length + "\r\n"
			}}
			address = helper.start(t)
			parts := 0
			err := NewClient(testMemory).Delegate(t.Context(), address, Query{ID: "q"}, testTimeout, func(PartialAnswer) { parts++ })
			must.Error(t, err)
			must.False(t, errors.Is(err, ErrNotAccepted), must.Sprint(err))
			must.Eq(t, 0, parts)
		})
	}
}

// TestPartAfterAnswerReturned guards against a part that is sent after its query has ended. net/http reuses the buffer of
// a finished response, so the part would get into the answer to another query.
func TestPartAfterAnswerReturned(t *testing.T) {
	sends := make(chan func(PartialAnswer), 2)
	server := httptest.NewServer(Handler(serverFunc(func(_ context.Context, q Query, send func(PartialAnswer)) error {
		select {
		case late := <-sends:
			late(PartialAnswer{Shards: []int{7}, Signatures: []string{"late"}})
		default:
		}
		// The first part is flushed, so that the response has no length that would bound later writes.
		send(PartialAnswer{Shards: []int{0}, Signatures: []string{q.ID}})
		send(PartialAnswer{Shards: []int{0}, Signatures: []string{q.ID}, Last: true})
		sends <- send
		return nil
	})))
	defer server.Close()
	client := NewClient(testMemory)
	defer client.http.CloseIdleConnections()
	for i := range 200 {
		id := fmt.Sprint(i)
		err := client.Delegate(t.Context(), strings.TrimPrefix(server.URL, "http://"), Query{ID: id}, time.Minute, func(p PartialAnswer) {
			must.Eq(t, []string{id}, p.Signatures)
		})
		must.NoError(t, err)
	}
}

// TestInvalidStatusOfHelper guards orders against a second execution, and callers against a false promise: a response of a daemon with a
// status that is no final one says that nothing was run only if the query was not sent.
func TestInvalidStatusOfHelper(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "101 Switching Protocols", "204 No Content", "304 Not Modified"} {
		for _, isEarly := range []bool{false, true} {
			helper := rawHelper{early: func(int) bool { return isEarly }, respond: func(_ int, r *http.Request) string {
				body := "{\"shards\":[0],\"last\":true}\n"
				return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, headerExchange,
					r.Header.Get(headerExchange), len(body), body)
			}}
			client := NewClient(testMemory)
			parts := 0
			err := client.Delegate(t.Context(), helper.start(t), Query{ID: "q", Shards: []int{0}}, testTimeout, func(PartialAnswer) { parts++ })
			must.Error(t, err)
			must.Eq(t, isEarly, errors.Is(err, ErrNotAccepted), must.Sprintf("status %s, early %v: %v", status, isEarly, err))
			must.Eq(t, 0, parts)
			client.http.CloseIdleConnections()
		}
	}
}
