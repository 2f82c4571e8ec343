package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/snapshot"
)

// maxAnswer bounds the body of a backend server's answer in bytes.
const maxAnswer = 8 << 20

// Failure classifies a failed sub-request.
type Failure string

// Classes of failure. Only NotSent and Refused guarantee that nothing was executed.
const (
	NotSent        Failure = "not_sent"
	Refused        Failure = "refused"
	ConnectionLost Failure = "connection_lost"
	Truncated      Failure = "truncated"
	Undecodable    Failure = "undecodable"
	// TooLarge is an answer without an end, or larger than any that is expected.
	TooLarge    Failure = "too_large"
	Mismatched  Failure = "mismatched"
	TimedOut    Failure = "timed_out"
	ServerError Failure = "server_error"
)

// Error is a failed sub-request.
type Error struct {
	Failure Failure
	// Refusal is set if Failure is Refused.
	Refusal Refusal
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Failure == Refused {
		return fmt.Sprintf("refused by %s: %s", e.Refusal.Replica, e.Refusal.Reason)
	}
	return fmt.Sprintf("%s: %v", e.Failure, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Executed reports whether the backend server may have executed the sub-request.
func (e *Error) Executed() bool { return e.Failure != NotSent && e.Failure != Refused }

// errEndMark means that a body was decoded but does not end with its attempt.
var errEndMark = errors.New("end mark missing")

// Lost reports whether the backend server broke the connection after it may have received the sub-request, as it
// does when it crashes.
func Lost(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Failure == ConnectionLost || e.Failure == Truncated && !errors.Is(e.Cause, errEndMark)
}

// FailureOf returns the failure class of err, or ServerError for an error of another type.
func FailureOf(err error) Failure {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure
	}
	return ServerError
}

// Sub is one sub-request to one replica.
type Sub struct {
	Service string
	Request string
	Attempt string
	Version snapshot.Version
	Shard   string
	Query   string
	// Key is the idempotency key of a non-idempotent request; it selects PathExecute.
	Key string
}

// Client sends sub-requests to one replica over at most a fixed number of connections. It is safe for
// concurrent use.
type Client struct {
	address    string
	dataCentre string
	http       *http.Client
	limit      atomic.Int64
	open       atomic.Int64
	busy       atomic.Int64
	warming    atomic.Bool
}

// errConnectionLimit means that the replica's connection share is used up.
var errConnectionLimit = errors.New("connection share used up")

// maxIdle bounds the idle connections of a client. The connection limit may grow later, so the limit at the start
// does not bound them.
const maxIdle = 1024

// Dial opens a connection to a replica.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client of the replica at host:port that opens at most connections connections.
func NewClient(address string, connections int) *Client {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return NewClientDial(address, connections, dialer.DialContext)
}

// NewClientDial is NewClient with another way to open connections.
func NewClientDial(address string, connections int, dial Dial) *Client {
	c := &Client{address: address}
	c.limit.Store(int64(connections))
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return c.dial(ctx, dial, network, addr)
			},
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     90 * time.Second,
			DisableCompression:  true,
		},
		// A followed redirect would be a second request to a backend server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

func (c *Client) dial(ctx context.Context, dial Dial, network, addr string) (net.Conn, error) {
	if c.open.Add(1) > c.limit.Load() {
		c.open.Add(-1)
		return nil, errConnectionLimit
	}
	conn, err := dial(ctx, network, addr)
	if err != nil {
		c.open.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, open: &c.open}, nil
}

// SetConnections changes the connection limit. If more connections are open, idle ones close at once; the others
// stay until they break or the limit is set again, and no new ones open meanwhile.
func (c *Client) SetConnections(n int) {
	c.limit.Store(int64(n))
	if c.open.Load() > int64(n) {
		c.http.CloseIdleConnections()
	}
}

// SetDataCentre makes each request state the daemon's data centre. It is called before the first request.
func (c *Client) SetDataCentre(name string) { c.dataCentre = name }

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int { return int(c.open.Load()) }

// Warm opens connections until n are idle, as far as the limit allows, by reading the health endpoint. A new
// connection costs a sub-request several milliseconds, and an abandoned attempt closes its connection. A call while
// another one runs does nothing.
func (c *Client) Warm(ctx context.Context, n int) {
	if !c.warming.CompareAndSwap(false, true) {
		return
	}
	defer c.warming.Store(false)
	idle := c.open.Load() - c.busy.Load()
	room := c.limit.Load() - c.open.Load()
	if int64(n) <= idle || room <= 0 {
		return
	}
	// Requests that run at the same time use different connections: the idle ones and as many new ones as wanted.
	var wg sync.WaitGroup
	for range idle + min(int64(n)-idle, room) {
		wg.Go(func() { c.health(ctx) })
	}
	wg.Wait()
}

func (c *Client) health(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+PathHealth, nil)
	if err != nil {
		return
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	// A body that was read to its end leaves the connection usable.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
	resp.Body.Close()
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// Send sends a sub-request and returns its checked answer or an *Error. The deadline of ctx travels as remaining
// time. An abandoned call closes its connection, so that its late answer cannot reach another request.
func (c *Client) Send(ctx context.Context, sub Sub) (SubAnswer, error) {
	c.busy.Add(1)
	defer c.busy.Add(-1)
	path := PathSub
	if sub.Key != "" {
		path = PathExecute
	}
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	// A plain reader has no GetBody, so the transport cannot send the body a second time.
	body := struct{ io.Reader }{strings.NewReader(sub.Query)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, body)
	if err != nil {
		return SubAnswer{}, &Error{Failure: NotSent, Cause: err}
	}
	req.ContentLength = int64(len(sub.Query))
	setHeaders(ctx, req.Header, sub)
	c.setOrigin(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return SubAnswer{}, classify(ctx, err, wrote.Load())
	}
	defer resp.Body.Close()
	return readAnswer(ctx, resp, sub)
}

func (c *Client) setOrigin(h http.Header) {
	if c.dataCentre != "" {
		h.Set(HeaderDataCentre, c.dataCentre)
	}
}

func setHeaders(ctx context.Context, h http.Header, sub Sub) {
	h.Set(HeaderService, sub.Service)
	h.Set(HeaderRequest, sub.Request)
	h.Set(HeaderAttempt, sub.Attempt)
	h.Set(HeaderShard, sub.Shard)
	if sub.Key != "" {
		h.Set(HeaderKey, sub.Key)
	} else {
		h.Set(HeaderSnapshot, sub.Version.String())
	}
	if deadline, ok := ctx.Deadline(); ok {
		h.Set(HeaderDeadline, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
}

// classify maps a transport error to its class. gotConn tells whether the request may have been written.
func classify(ctx context.Context, err error, gotConn bool) *Error {
	switch {
	case !gotConn:
		return &Error{Failure: NotSent, Cause: err}
	case ctx.Err() != nil:
		return &Error{Failure: TimedOut, Cause: ctx.Err()}
	default:
		return &Error{Failure: ConnectionLost, Cause: err}
	}
}

func readAnswer(ctx context.Context, resp *http.Response, sub Sub) (SubAnswer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil && ctx.Err() != nil {
		return SubAnswer{}, &Error{Failure: TimedOut, Cause: ctx.Err()}
	}
	if err != nil {
		return SubAnswer{}, &Error{Failure: Truncated, Cause: err}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		var refusal Refusal
		if json.Unmarshal(data, &refusal) == nil && refusal.answers(sub) {
			return SubAnswer{}, &Error{Failure: Refused, Refusal: refusal}
		}
	}
	if resp.StatusCode != http.StatusOK {
		return SubAnswer{}, &Error{Failure: ServerError, Cause: fmt.Errorf("status %d", resp.StatusCode)}
	}
	return decodeAnswer(data, sub)
}

func decodeAnswer(data []byte, sub Sub) (SubAnswer, error) {
	var answer SubAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return SubAnswer{}, &Error{Failure: Undecodable, Cause: err}
	}
	if answer.End != sub.Attempt {
		return SubAnswer{}, &Error{Failure: Truncated, Cause: errEndMark}
	}
	if answer.Request != sub.Request || answer.Attempt != sub.Attempt || answer.Shard != sub.Shard {
		return SubAnswer{}, &Error{Failure: Mismatched, Cause: errors.New("answer of another attempt")}
	}
	return answer, nil
}

// Load reads the load endpoint.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	err := c.getJSON(ctx, PathLoad, &load)
	return load, err
}

// Map reads a shard map.
func (c *Client) Map(ctx context.Context, version int64) (snapshot.Map, error) {
	var m snapshot.Map
	if err := c.getJSON(ctx, PathMaps+strconv.FormatInt(version, 10), &m); err != nil {
		return snapshot.Map{}, err
	}
	if m.Version != version {
		return snapshot.Map{}, fmt.Errorf("map %d answered for map %d", m.Version, version)
	}
	return m, m.Check()
}

func (c *Client) getJSON(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return err
	}
	c.setOrigin(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out)
}
