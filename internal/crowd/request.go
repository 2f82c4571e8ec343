package crowd

import (
	"bytes"
	"fmt"
	"strings"
)

// pieceBytes is the size of a piece of a body that is sent piece by piece.
const pieceBytes = 8 << 10

// Request is what a connection sends, in the pieces in which it is written. The requests of this package are never complete.
type Request [][]byte

func bodyHeader(path, framing string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h.example\r\n%s\r\n\r\n", path, framing)
}

// WholeBody announces the length of a body and lacks its last byte.
func WholeBody(path string, body []byte) Request {
	return Request{bodyHeader(path, fmt.Sprint("Content-Length: ", len(body))), body[:len(body)-1]}
}

// PiecemealBody is WholeBody in small pieces.
func PiecemealBody(path string, body []byte) Request {
	whole := WholeBody(path, body)
	pieces, rest := whole[:1], whole[1]
	for len(rest) > 0 {
		n := min(pieceBytes, len(rest))
		pieces, rest = append(pieces, rest[:n]), rest[n:]
	}
	return pieces
}

// ChunkedBody has chunks of a size, and lacks its last byte and the end mark.
func ChunkedBody(path string, bodyBytes, chunkBytes int) Request {
	var chunks bytes.Buffer
	for left := bodyBytes - 1; left > 0; left -= chunkBytes {
		n := min(chunkBytes, left)
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", n, make([]byte, n))
	}
	return Request{bodyHeader(path, "Transfer-Encoding: chunked"), chunks.Bytes()}
}

// OpenHeader is a header with a field of a size that lacks its end.
func OpenHeader(path string, fieldBytes int) Request {
	header := bodyHeader(path, "X-Filler: "+strings.Repeat("x", fieldBytes))
	return Request{bytes.TrimSuffix(header, []byte("\r\n\r\n"))}
}

// Silent sends nothing.
func Silent() Request { return nil }
