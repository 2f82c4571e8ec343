package drain

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startTracked starts a server whose responses are tracked and returns its address. An answer at the path /large does not fit into the
// buffers of the connection.
func startTracked(t *testing.T) (responses *Responses, address string) {
	responses = &Responses{}
	mux := http.NewServeMux()
	mux.Handle("/large", responses.Track(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 32<<20))
	})))
	mux.Handle("/small", responses.Track(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	mux.Handle("/panic", responses.Track(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })))
	server := &http.Server{Handler: mux}
	responses.Watch(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return responses, listener.Addr().String()
}

// eventually waits until the number of responses that are not written is n.
func (r *Responses) eventually(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); r.Unwritten() != n; {
		if time.Now().After(end) {
			t.Fatalf("%d responses are not written, want %d", r.Unwritten(), n)
		}
		<-time.After(time.Millisecond)
	}
}

// TestResponseCountsUntilItIsWritten guards a planned stop against ending while a response is being written to a slow caller, and against
// waiting for one that is written or whose caller is gone.
func TestResponseCountsUntilItIsWritten(t *testing.T) {
	responses, address := startTracked(t)
	conn, err := net.Dial("tcp", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		_, err = fmt.Fprint(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
		must.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		must.Eq(t, 1, responses.Unwritten())
		_, err = io.Copy(io.Discard, resp.Body)
		must.NoError(t, err)
		responses.eventually(t, 0)
	}
	_, err = fmt.Fprint(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	responses.eventually(t, 1)
	must.NoError(t, conn.Close())
	responses.eventually(t, 0)
}

// TestEachResponseCountsOnce guards the count against requests that share a connection, close it, or end with a panic.
func TestEachResponseCountsOnce(t *testing.T) {
	responses, address := startTracked(t)
	for _, path := range []string{"/small", "/small", "/panic", "/small"} {
		resp, err := http.Get("http://" + address + path)
		if path == "/panic" {
			must.Error(t, err)
			continue
		}
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
	}
	responses.eventually(t, 0)
}
