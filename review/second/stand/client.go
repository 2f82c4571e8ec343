package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got for one attempt.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	Took   time.Duration
}

// Send sends one client attempt to a daemon on a new connection. The target is sent byte by byte as it is given.
func (w *World) Send(d *Daemon, method, host, target, id string, body []byte, wait time.Duration) (answer Answer) {
	begin := time.Now()
	w.Record.Line("client sends %s to %s: %s %s", id, d.Name, method, Quote(target))
	defer func() {
		answer.Took = time.Since(begin)
		w.Record.Line("client has %d for %s after %d ms (error: %v)", answer.Status, id, answer.Took.Milliseconds(), answer.Err)
	}()
	conn, err := net.DialTimeout("tcp", d.Frontend, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(begin.Add(wait))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nChivemill-Request-Id: %s\r\nChivemill-Time-Budget: %d\r\nContent-Length: %d\r\n\r\n", method,
		target, host, id, wait.Milliseconds(), len(body))
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: data, Err: err}
}
