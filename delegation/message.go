package delegation

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/httpjson"
)

const (
	// PathQuery is where a daemon takes queries of others.
	PathQuery = "/v1/query"
	// maxMessage bounds a query and an answer in bytes.
	maxMessage = 32 << 20
	// maxHead bounds the head of an answer in bytes.
	maxHead = 64 << 10
	// idleTimeout is how long an unused connection to a helper is kept.
	idleTimeout = 15 * time.Second
	// idlePerHelper bounds the unused connections to a helper.
	idlePerHelper = 16
	// continueTimeout is above each wait for a helper: a query's body is never sent unasked.
	continueTimeout = time.Hour
	// maxReason bounds the text of a refusal in bytes.
	maxReason = 1 << 10
)

// Query is a caller's query, a part of its shards, or a request to one replica, as one daemon passes it to another.
type Query struct {
	ID     string      `json:"id"`
	Method string      `json:"method"`
	Host   string      `json:"host"`
	Target string      `json:"target"`
	Path   string      `json:"path"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Version is that of the configuration that the query is bound to, Shards the indices in its route's list of shards.
	Version int64 `json:"version"`
	Shards  []int `json:"shards,omitempty"`
	// Service is set for a request to one replica of the service.
	Service string `json:"service,omitempty"`
	// Elapsed is the time since the caller's request was read, in nanoseconds, with the expected way there and back. Wait
	// is how long the caller waits from that reading on; 0 if unknown.
	Elapsed time.Duration `json:"elapsed_ns"`
	Wait    time.Duration `json:"wait_ns,omitempty"`
	// From is the node that passes the query on, Depth the number of daemons that have.
	From  string `json:"from"`
	Depth int    `json:"depth"`
}

// Part is the merged answer of some shards. A helper sends the first part when the caller's daemon needs it at the latest,
// then each shard's as it comes, and a last one.
type Part struct {
	// Shards holds the indices of the included shards, Signatures theirs in the same order.
	Shards     []int    `json:"shards,omitempty"`
	Signatures []string `json:"signatures,omitempty"`
	// Records holds the greatest records of these shards, greatest first.
	Records []byte `json:"records,omitempty"`
	// Last is set in the last part: the other shards will not be answered. NotRun is set if no replica executed anything.
	// RetryAfter is the wait that the helper advises then.
	Last       bool          `json:"last,omitempty"`
	NotRun     bool          `json:"not_run,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// Saturated is set if a shard was saturated when the part was sent.
	Saturated bool `json:"saturated,omitempty"`
	// Single is the answer to a request to one replica; it is in the last part.
	Single *Single `json:"single,omitempty"`
}

// Single is what a helper answers to a request to one replica: the replica's answer, or an error.
type Single struct {
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Signature proves that the replica gave this answer.
	Signature string `json:"signature,omitempty"`
	// Error is the kind of the error, empty for an answer; RetryAfter is the advised wait.
	Error      api.Kind      `json:"error,omitempty"`
	Message    string        `json:"message,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// ErrNotTaken means that the helper did not take the shards: nothing was sent to a replica.
var ErrNotTaken = errors.New("the daemon did not take the query")

// Server answers queries of other daemons. Implementations are safe for concurrent use.
type Server interface {
	// Answer calls send with each part, at last with one that has Last set. An error wraps ErrNotTaken and is returned
	// before the first part. send may be called from any goroutine, one at a time.
	Answer(ctx context.Context, q Query, send func(Part)) error
}

// Handler serves PathQuery. The query's body is asked for before it is sent, which tells the other daemon that this one
// is alive; parts go out as they come, a line of JSON each.
func Handler(server Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Query
		if err := httpjson.Read(r.Body, maxMessage, &q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		encoder := json.NewEncoder(w)
		flush := http.NewResponseController(w).Flush
		err := server.Answer(r.Context(), q, func(p Part) {
			// A daemon that has left is noticed by the request's context.
			_ = encoder.Encode(p)
			if !p.Last {
				_ = flush()
			}
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
		}
	})
}

// Client passes queries to other daemons. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{}).DialContext,
		MaxIdleConnsPerHost:    idlePerHelper,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHead,
	}}}
}

// body is the body of a query. It can be taken back until its first byte is read for sending.
type body struct {
	*bytes.Reader
	state *atomic.Int32
}

// Values of body.state.
const (
	bodyWaiting int32 = iota
	bodySent
	bodyTakenBack
)

var errTakenBack = errors.New("the query was taken back")

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyWaiting, bodySent) && b.state.Load() == bodyTakenBack {
		return 0, errTakenBack
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (body) Close() error { return nil }

// Ask passes shards of a query to the helper at the address and calls receive with each part. Unless the helper asks for
// the query within takenIn, it is taken back. An error that wraps ErrNotTaken states that no replica got anything; after
// other errors replicas may have executed the query.
func (c *Client) Ask(ctx context.Context, address string, q Query, takenIn time.Duration, receive func(Part)) error {
	data, err := json.Marshal(q)
	if err != nil {
		return eris.Wrapf(ErrNotTaken, "encode: %v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state := &atomic.Int32{}
	takeBack := time.AfterFunc(takenIn, func() {
		if state.CompareAndSwap(bodyWaiting, bodyTakenBack) {
			cancel()
		}
	})
	defer takeBack.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+PathQuery, body{bytes.NewReader(data), state})
	if err != nil {
		return eris.Wrapf(ErrNotTaken, "request: %v", err)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Expect", "100-continue")
	resp, err := c.http.Do(req)
	if err != nil {
		if state.CompareAndSwap(bodyWaiting, bodyTakenBack) || state.Load() == bodyTakenBack {
			return eris.Wrapf(ErrNotTaken, "%v", err)
		}
		return eris.Wrap(err, "ask")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		reason, err := io.ReadAll(io.LimitReader(resp.Body, maxReason))
		if err != nil {
			reason = []byte(err.Error())
		}
		// A daemon answers another status only before it takes the query.
		return eris.Wrapf(ErrNotTaken, "status %d: %s", resp.StatusCode, bytes.TrimSpace(reason))
	}
	decoder := json.NewDecoder(io.LimitReader(resp.Body, maxMessage))
	for {
		var part Part
		if err := decoder.Decode(&part); err != nil {
			return eris.Wrap(err, "answer")
		}
		receive(part)
		if part.Last {
			// The end of the body lets the connection be used again.
			_, err := io.Copy(io.Discard, resp.Body)
			return eris.Wrap(err, "answer")
		}
	}
}
