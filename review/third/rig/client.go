package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Answer is what a client got. Err is set, and Status is 0, if the connection ended without a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Client sends requests as the platform's clients do, each on a new connection.
type Client struct {
	Host   string
	Record *Record
}

// Send sends one client attempt and waits for the answer until the deadline.
func (c *Client) Send(d *Daemon, method, path, id string, body []byte, deadline time.Duration) Answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.Callers+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = c.Host
	req.Header.Set("Chivemill-Request-Id", id)
	req.Header.Set("Chivemill-Time-Budget", fmt.Sprint(deadline.Milliseconds()))
	c.Record.Add(Event{What: "sent", Request: id, Who: d.Name, Note: method + " " + path})
	resp, err := transport.RoundTrip(req)
	if err != nil {
		c.Record.Add(Event{What: "failed", Request: id, Who: d.Name, Note: err.Error()})
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.Record.Add(Event{What: "failed", Request: id, Who: d.Name, Note: err.Error()})
		return Answer{Err: err}
	}
	c.Record.Add(Event{What: "answered", Request: id, Who: d.Name, Status: resp.StatusCode, Note: resp.Header.Get("Chivemill-Response-Stamp") +
		resp.Header.Get("Chivemill-Shard-Stamps")})
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: data}
}

// NewID returns an id that no other attempt has.
func NewID(prefix string, n int) string {
	return fmt.Sprintf("%s%08x%04x", prefix, time.Now().UnixNano()&0xffffffff, n)
}
