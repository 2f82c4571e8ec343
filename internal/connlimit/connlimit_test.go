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

// startServer starts a server and returns its address and its limits, which the test may replace.
func startServer(t *testing.T, limits Limits) (string, *atomic.Pointer[Limits]) {
	var current atomic.Pointer[Limits]
	current.Store(&limits)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = fmt.Fprint(w, len(body))
		}
	})}
	limited := Install(server, listener, func() Limits { return *current.Load() }, Guard{})
	go func() { _ = server.Serve(limited) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), &current
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return conn, bufio.NewReader(conn)
}

// post sends a request with a body of the given size and returns the body of the response.
func post(t *testing.T, conn net.Conn, reader *bufio.Reader, size int) string {
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	must.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(body)
}

// TestIdleConnectionsAreClosed checks that an unused connection is closed, so that it does not hold a file descriptor, and
// that connections in use stay open whatever the size of their bodies.
func TestIdleConnectionsAreClosed(t *testing.T) {
	address, _ := startServer(t, Limits{MaxHeaderBytes: 2000, HeaderTimeout: 5 * time.Second, IdleTimeout: 300 * time.Millisecond})
	conn, reader := dial(t, address)
	for range 4 {
		must.Eq(t, "200000", post(t, conn, reader, 200_000))
		<-time.After(100 * time.Millisecond)
	}
	start := time.Now()
	_, err := reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	must.Greater(t, 100*time.Millisecond, time.Since(start))
}

// TestSlowHeadersAreClosed checks that connections are closed if the header arrives one byte at a time or not at all.
func TestSlowHeadersAreClosed(t *testing.T) {
	address, _ := startServer(t, Limits{HeaderTimeout: 300 * time.Millisecond})
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

// TestLargeHeadersAreRejected checks that a header above the limit is rejected with status 431, and that a new limit
// applies immediately.
func TestLargeHeadersAreRejected(t *testing.T) {
	address, current := startServer(t, Limits{MaxHeaderBytes: 16 << 10})
	sendHeader := func(size int) int {
		conn, reader := dial(t, address)
		go func() {
			_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("a", size))
		}()
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		return resp.StatusCode
	}
	must.Eq(t, http.StatusOK, sendHeader(15<<10))
	must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, sendHeader(60<<10))
	current.Store(&Limits{MaxHeaderBytes: 128 << 10})
	must.Eq(t, http.StatusOK, sendHeader(60<<10), must.Sprint("a new limit applies immediately"))
}

// TestNewLimitsApplyToOpenConnections checks that an open connection is not closed by a limit that has been raised since.
func TestNewLimitsApplyToOpenConnections(t *testing.T) {
	address, current := startServer(t, Limits{IdleTimeout: 200 * time.Millisecond})
	conn, reader := dial(t, address)
	must.Eq(t, "1", post(t, conn, reader, 1))
	current.Store(&Limits{})
	<-time.After(500 * time.Millisecond)
	must.Eq(t, "1", post(t, conn, reader, 1))
}
