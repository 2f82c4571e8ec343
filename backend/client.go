package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/internal/boundedread"
	"github.com/chivemill/chivemill/internal/dispatch"
	"github.com/chivemill/chivemill/snapshot"
)

const (
	// maxBodyBytes is the largest size of a response body that is read from a backend server, maxHeaderBytes that of a header.
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 64 << 10
	// DefaultBodyMemoryBytes limits the response bodies that a daemon reads from backend servers at the same time. Bodies of up to
	// boundedread.SmallBodyBytes do not count.
	DefaultBodyMemoryBytes = 16 << 20
)

// Failure is the class of a failed sub-request.
type Failure string

// Values of Failure. Only NotSent and a confirmed Refused guarantee that the sub-request was not executed.
const (
	NotSent        Failure = "not_sent"
	Refused        Failure = "refused"
	ConnectionLost Failure = "connection_lost"
	Truncated      Failure = "truncated"
	Undecodable    Failure = "undecodable"
	// TooLarge is an answer that does not end or exceeds a size limit.
	TooLarge   Failure = "too_large"
	Mismatched Failure = "mismatched"
	// TimedOut means that ctx ended after a connection was assigned: its deadline passed or it was cancelled. Cause is
	// ctx.Err().
	TimedOut    Failure = "timed_out"
	ServerError Failure = "server_error"
)

// Error is a failed sub-request.
type Error struct {
	Failure Failure
	// Refusal is set if Failure is Refused. Unconfirmed means that it may belong to an earlier request on the connection, so
	// that it does not guarantee that this sub-request was not executed.
	Refusal     Refusal
	Unconfirmed bool
	Cause       error
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

// MayHaveExecuted reports whether the backend server may have executed the sub-request. It is false only if it
// certainly has not.
func (e *Error) MayHaveExecuted() bool {
	return e.Failure != NotSent && (e.Failure != Refused || e.Unconfirmed)
}

// errMissingEnd means that a body was decoded, but its end field does not repeat the attempt.
var errMissingEnd = errors.New("end mark missing")

// IsConnectionLost reports whether the connection broke after the backend server may have received the sub-request, as
// happens when the server crashes.
func IsConnectionLost(err error) bool {
	var e *Error
	if !errors.As(err, &e) {
		return false
	}
	return e.Failure == ConnectionLost || e.Failure == Truncated && !errors.Is(e.Cause, errMissingEnd)
}

// FailureOf returns the failure class of err, or ServerError if err is not an *Error.
func FailureOf(err error) Failure {
	var e *Error
	if errors.As(err, &e) {
		return e.Failure
	}
	return ServerError
}

// SubRequest is a sub-request to one replica.
type SubRequest struct {
	Service string
	Request string
	Attempt string
	Version snapshot.Version
	Shard   string
	Query   string
	// Key is the idempotency key of a non-idempotent request; it selects PathExecute.
	Key string
}

// Client sends sub-requests to one replica over a limited number of connections. It is safe for concurrent use.
type Client struct {
	address         string
	dataCentre      string
	http            *http.Client
	connectionLimit atomic.Int64
	openCount       atomic.Int64
	inFlight        atomic.Int64
	warming         atomic.Bool
	bodyMemory      *boundedread.MemoryLimit
}

// errConnectionLimit means that the daemon's share of the replica's connections is used up.
var errConnectionLimit = errors.New("connection share used up")

// errClosedBeforeUse means that the assigned connection had been closed, so that nothing was sent.
var errClosedBeforeUse = errors.New("connection was closed before its use")

// errCallerLeft means that the caller had left before a connection was assigned.
var errCallerLeft = errors.New("the caller left before the sub-request was sent")

// maxSendTries limits the connections that the transport assigns to a sub-request if they turn out to be closed. The
// transport takes a moment to notice that.
const maxSendTries = 4

// maxIdleConnections is the largest number of idle connections of a client. The initial connection limit cannot be used
// here, because the limit may be raised later.
const maxIdleConnections = 1024

// DialFunc is a function that opens a connection to a replica.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client for the replica at address (host:port) that opens at most the given number of connections.
// Opening a connection times out after 1 s.
func NewClient(address string, connections int) *Client {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return NewClientWithDial(address, connections, dialer.DialContext)
}

// NewClientWithDial is like NewClient but opens connections with dial.
func NewClientWithDial(address string, connections int, dial DialFunc) *Client {
	c := &Client{address: address, bodyMemory: boundedread.NewMemoryLimit(DefaultBodyMemoryBytes)}
	c.connectionLimit.Store(int64(connections))
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return c.dial(ctx, dial, network, addr)
			},
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        90 * time.Second,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		// Following a redirect would send a second request to a backend server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

func (c *Client) dial(ctx context.Context, dial DialFunc, network, addr string) (net.Conn, error) {
	if c.openCount.Add(1) > c.connectionLimit.Load() {
		c.openCount.Add(-1)
		return nil, errConnectionLimit
	}
	conn, err := dial(ctx, network, addr)
	if err != nil {
		c.openCount.Add(-1)
		return nil, err
	}
	return &countedConn{Conn: conn, openCount: &c.openCount}, nil
}

// SetConnectionLimit changes the connection limit. If more connections are open, idle ones are closed immediately. The
// others remain open until they fail or the limit is set again, and no new ones are opened in the meantime.
func (c *Client) SetConnectionLimit(n int) {
	c.connectionLimit.Store(int64(n))
	if c.openCount.Load() > int64(n) {
		c.http.CloseIdleConnections()
	}
}

// SetDataCentre sets the daemon's data centre, which is then sent with each request but those of OpenIdle. It must be
// called before the first request.
func (c *Client) SetDataCentre(name string) { c.dataCentre = name }

// SetBodyMemory sets the limit of the response bodies that are being read, which clients of one daemon share. It must be called before
// the first request.
func (c *Client) SetBodyMemory(limit *boundedread.MemoryLimit) { c.bodyMemory = limit }

// OpenConnections returns the number of open connections.
func (c *Client) OpenConnections() int { return int(c.openCount.Load()) }

// OpenIdle opens connections until n are idle, as far as the connection limit allows, by requesting the health
// endpoint. It saves sub-requests the several milliseconds that opening a connection takes, also after abandoned
// attempts, which close their connections. A call while another one is running does nothing.
func (c *Client) OpenIdle(ctx context.Context, n int) {
	if !c.warming.CompareAndSwap(false, true) {
		return
	}
	defer c.warming.Store(false)
	idle := c.openCount.Load() - c.inFlight.Load()
	available := c.connectionLimit.Load() - c.openCount.Load()
	if int64(n) <= idle || available <= 0 {
		return
	}
	// Concurrent requests use different connections: the idle ones and the new ones that are to be opened.
	var wg sync.WaitGroup
	for range idle + min(int64(n)-idle, available) {
		wg.Go(func() { c.checkHealth(ctx) })
	}
	wg.Wait()
}

// checkHealth requests the health endpoint once and ignores the result, but closes the connection if the response is that
// of a sub-request.
func (c *Client) checkHealth(ctx context.Context) {
	var trip roundTrip
	defer trip.end()
	data, err := c.get(trip.trace(ctx), PathHealth, nil)
	var answer SubResponse
	if err != nil || json.Unmarshal(data, &answer) == nil && answer.Attempt != "" {
		trip.closeConn()
	}
}

// Close closes idle connections. Those in use stay open until their requests end.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send sends a sub-request and returns its validated answer or an *Error. The deadline of ctx is sent as the remaining
// time. A call that is cancelled or times out closes its connection, so that a late answer cannot be taken for that of
// another request.
func (c *Client) Send(ctx context.Context, sub SubRequest) (SubResponse, error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	for try := 1; ; try++ {
		answer, err := c.sendOnce(ctx, sub)
		if try == maxSendTries || !errors.Is(err, errClosedBeforeUse) {
			return answer, err
		}
	}
}

// sendOnce sends a sub-request on the connection that the transport assigns, unless the gate that ctx carries withholds it.
func (c *Client) sendOnce(ctx context.Context, sub SubRequest) (SubResponse, error) {
	trip := roundTrip{gate: dispatch.FromContext(ctx)}
	defer trip.end()
	answer, err := c.exchange(trip.trace(ctx), sub, &trip)
	var failure *Error
	if errors.As(err, &failure) && !failure.MayHaveExecuted() {
		trip.notExecuted()
	}
	return answer, err
}

// exchange sends a sub-request and reads the response.
func (c *Client) exchange(ctx context.Context, sub SubRequest, trip *roundTrip) (SubResponse, error) {
	path := PathSubRequest
	if sub.Key != "" {
		path = PathExecute
	}
	// For a plain reader, net/http does not set GetBody, so the transport cannot send the body a second time.
	body := struct{ io.Reader }{strings.NewReader(sub.Query)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, body)
	if err != nil {
		return SubResponse{}, &Error{Failure: NotSent, Cause: err}
	}
	req.ContentLength = int64(len(sub.Query))
	setSubRequestHeaders(ctx, req.Header, sub)
	c.setDataCentreHeader(req.Header)
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
	}
	switch {
	case trip.withheld:
		return SubResponse{}, &Error{Failure: NotSent, Cause: errCallerLeft}
	case trip.closedBefore:
		return SubResponse{}, &Error{Failure: NotSent, Cause: errClosedBeforeUse}
	case err != nil:
		return SubResponse{}, classify(ctx, err, trip.conn != nil)
	}
	answer, err := c.readAnswer(ctx, resp, sub, trip.reused)
	if err != nil && FailureOf(err) != Refused {
		// The response may belong to an earlier request on this connection, so every later response would be off by one.
		trip.closeConn()
	}
	return answer, err
}

func (c *Client) setDataCentreHeader(h http.Header) {
	if c.dataCentre != "" {
		h.Set(HeaderDataCentre, c.dataCentre)
	}
}

func setSubRequestHeaders(ctx context.Context, h http.Header, sub SubRequest) {
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

// classify returns the failure class of a transport error. gotConn reports whether there was a connection, so that the
// request may have been written.
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

// readAnswer reads and validates the response to a sub-request. reused reports whether its connection carried an earlier
// request, to which the response may belong.
func (c *Client) readAnswer(ctx context.Context, resp *http.Response, sub SubRequest, reused bool) (SubResponse, error) {
	data, err := c.bodyMemory.ReadAll(resp.Body, resp.ContentLength, maxBodyBytes)
	if errors.Is(err, boundedread.ErrTooLarge) {
		return SubResponse{}, &Error{Failure: TooLarge, Cause: err}
	}
	if err != nil && ctx.Err() != nil {
		return SubResponse{}, &Error{Failure: TimedOut, Cause: ctx.Err()}
	}
	if err != nil {
		return SubResponse{}, &Error{Failure: Truncated, Cause: err}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		var refusal Refusal
		if json.Unmarshal(data, &refusal) == nil && refusal.mayConcern(sub) {
			return SubResponse{}, &Error{Failure: Refused, Refusal: refusal, Unconfirmed: reused && refusal.Attempt == ""}
		}
	}
	if resp.StatusCode != http.StatusOK {
		return SubResponse{}, &Error{Failure: ServerError, Cause: fmt.Errorf("status %d", resp.StatusCode)}
	}
	return decodeAnswer(data, sub)
}

func decodeAnswer(data []byte, sub SubRequest) (SubResponse, error) {
	var answer SubResponse
	if err := json.Unmarshal(data, &answer); err != nil {
		return SubResponse{}, &Error{Failure: Undecodable, Cause: err}
	}
	if answer.End != sub.Attempt {
		return SubResponse{}, &Error{Failure: Truncated, Cause: errMissingEnd}
	}
	if answer.Request != sub.Request || answer.Attempt != sub.Attempt || answer.Shard != sub.Shard {
		return SubResponse{}, &Error{Failure: Mismatched, Cause: errors.New("answer of another attempt")}
	}
	return answer, nil
}

// errNotLoadReport means that the load endpoint's response is not a load report.
var errNotLoadReport = errors.New("response is not a load report")

// FetchLoad fetches a load report from the load endpoint.
func (c *Client) FetchLoad(ctx context.Context) (LoadReport, error) {
	var load LoadReport
	err := c.getJSON(ctx, PathLoad, &load, func() error {
		if load.State == "" {
			return errNotLoadReport
		}
		return nil
	})
	return load, err
}

// FetchShardMap fetches a version of the shard map.
func (c *Client) FetchShardMap(ctx context.Context, version int64) (snapshot.ShardMap, error) {
	var m snapshot.ShardMap
	err := c.getJSON(ctx, PathMaps+strconv.FormatInt(version, 10), &m, func() error {
		if m.Version != version {
			return fmt.Errorf("received shard map %d instead of %d", m.Version, version)
		}
		return m.Check()
	})
	if err != nil {
		return snapshot.ShardMap{}, err
	}
	return m, nil
}

// getJSON requests path and decodes the response into out. If that or check fails, the response may belong to an earlier
// request, so the connection is closed.
func (c *Client) getJSON(ctx context.Context, path string, out any, check func() error) error {
	var trip roundTrip
	defer trip.end()
	header := make(http.Header)
	c.setDataCentreHeader(header)
	data, err := c.get(trip.trace(ctx), path, header)
	if err == nil {
		err = json.Unmarshal(data, out)
	}
	if err == nil {
		err = check()
	}
	if err != nil {
		trip.closeConn()
	}
	return err
}

// get requests path and returns the body of a response with status 200. The body is read to its end, because the
// connection can be reused only then.
func (c *Client) get(ctx context.Context, path string, header http.Header) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	if err != nil {
		return nil, err
	}
	maps.Copy(req.Header, header)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := c.bodyMemory.ReadAll(resp.Body, resp.ContentLength, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("request for %s returned status %d", path, resp.StatusCode)
	}
	return data, nil
}
