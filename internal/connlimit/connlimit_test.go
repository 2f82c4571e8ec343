package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// serve starts a server with limits that the test may change, and returns its address.
func serve(t *testing.T, limits Limits) (string, *atomic.Pointer[Limits]) {
	var now atomic.Pointer[Limits]
	now.Store(&limits)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = fmt.Fprint(w, len(body))
		}
	})}
	limited := Install(server, listener, func() Limits { return *now.Load() })
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), &now
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn, bufio.NewReader(conn)
}

// ask sends a request with a body and returns the answer's body.
func ask(t *testing.T, conn net.Conn, reader *bufio.Reader, size int) string {
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	must.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(body)
}

// TestIdleConnectionsEnd guards descriptors against callers that keep connections open unused, and connections that are
// within the limit, however often they are used and however large their bodies are.
func TestIdleConnectionsEnd(t *testing.T) {
	address, _ := serve(t, Limits{HeadBytes: 2000, HeadTimeout: 5 * time.Second, IdleTimeout: 300 * time.Millisecond})
	conn, reader := dial(t, address)
	for range 4 {
		must.Eq(t, "200000", ask(t, conn, reader, 200_000))
		<-time.After(100 * time.Millisecond)
	}
	begin := time.Now()
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.Greater(t, 100*time.Millisecond, time.Since(begin))
}

// TestSlowHeadsEnd guards the daemon against heads that come a byte at a time, and against connections without one.
func TestSlowHeadsEnd(t *testing.T) {
	address, _ := serve(t, Limits{HeadTimeout: 300 * time.Millisecond})
	silent, silentReader := dial(t, address)
	slow, slowReader := dial(t, address)
	go func() {
		for _, b := range []byte("GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 10_000)) {
			if _, err := slow.Write([]byte{b}); err != nil {
				return
			}
			<-time.After(10 * time.Millisecond)
		}
	}()
	for _, reader := range []*bufio.Reader{silentReader, slowReader} {
		_, err := reader.ReadByte()
		must.Error(t, err)
		must.False(t, strings.Contains(err.Error(), "timeout"), must.Sprint("closed by the server: ", err))
	}
	_ = silent
}

// TestLargeHeadsAreRefused guards memory against heads beyond the operator's limit, with the status that says so.
func TestLargeHeadsAreRefused(t *testing.T) {
	address, now := serve(t, Limits{HeadBytes: 16 << 10})
	head := func(size int) int {
		conn, reader := dial(t, address)
		go func() {
			_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("a", size))
		}()
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		return resp.StatusCode
	}
	must.Eq(t, http.StatusOK, head(15<<10))
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, head(60<<10))
	now.Store(&Limits{HeadBytes: 128 << 10})
	must.Eq(t, http.StatusOK, head(60<<10), must.Sprint("a new limit is in force at once"))
}

// TestLimitsChangeWhileConnectionsAreOpen guards an open connection that is within a limit that has grown.
func TestLimitsChangeWhileConnectionsAreOpen(t *testing.T) {
	address, now := serve(t, Limits{IdleTimeout: 200 * time.Millisecond})
	conn, reader := dial(t, address)
	must.Eq(t, "1", ask(t, conn, reader, 1))
	now.Store(&Limits{})
	<-time.After(500 * time.Millisecond)
	must.Eq(t, "1", ask(t, conn, reader, 1))
}
