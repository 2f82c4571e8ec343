package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Server reads one request from each connection, sends Start, and repeats Chunk until the client closes the connection. With an empty
// Chunk it stays silent.
type Server struct {
	Start, Chunk string
	// Continue lets it ask for the request's body with 100 Continue first.
	Continue bool
}

// Serve serves on a loopback address until the test ends and returns the address.
func (s Server) Serve(t *testing.T) (address string) {
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
			go s.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (s Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil && s.Continue {
		_, err = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	if err == nil {
		_, err = io.Copy(io.Discard, req.Body)
	}
	if err == nil {
		_, err = io.WriteString(conn, s.Start)
	}
	// io.WriteString would allocate a copy of each chunk, which counts in the growth that the tests measure.
	chunk := []byte(s.Chunk)
	for err == nil && len(chunk) > 0 {
		_, err = conn.Write(chunk)
	}
	if err == nil {
		// The end of the test or of the client ends the silence.
		_, _ = io.Copy(io.Discard, conn)
	}
}
