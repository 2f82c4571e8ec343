package delegation

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/boundedread"
	"github.com/chivemill/chivemill/internal/httpjson"
)

const (
	// PathQuery is the path at which Handler serves delegated queries.
	PathQuery = "/v1/query"
	// headerExchange identifies an exchange between two daemons, so that a late response to an earlier one on the connection
	// is recognized. Either side may leave it out.
	headerExchange = "Chivemill-Exchange"
	// MaxMessageBytes bounds the bodies of a request and of a response in bytes.
	MaxMessageBytes = 32 << 20
	// maxResponseHeaderBytes bounds the header of a response in bytes.
	maxResponseHeaderBytes = 64 << 10
	// idleTimeout is how long an idle connection to a helper is kept open.
	idleTimeout = 15 * time.Second
	// maxIdlePerHelper bounds the idle connections to a helper.
	maxIdlePerHelper = 16
	// continueTimeout exceeds every timeout of a delegated query, so that the transport never sends a body without a 100
	// Continue response.
	continueTimeout = time.Hour
	// maxRefusalBytes bounds the text of a refusal in bytes.
	maxRefusalBytes = 1 << 10
)

// Query is a delegated query: a caller's query, a part of its shards, or a request to one replica.
type Query struct {
	ID     string `json:"id"`
	Method string `json:"method"`
	Host   string `json:"host"`
	Target string `json:"target"`
	// Path is the routing.PathOf of Target; daemons of earlier versions match their routes against it.
	Path   string      `json:"path"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Version is the version of the configuration with which the query has to be served. Shards holds indices in the list of
	// shards of its route.
	Version int64 `json:"version"`
	Shards  []int `json:"shards,omitempty"`
	// Service is the service of a request to one replica, empty otherwise.
	Service string `json:"service,omitempty"`
	// Elapsed is the time since the caller's request was read, plus the expected round trip to the helper. CallerTimeout
	// is how long the caller waits for the answer, counted from the time at which its request was read; 0 if unknown.
	Elapsed       time.Duration `json:"elapsed_ns"`
	CallerTimeout time.Duration `json:"wait_ns,omitempty"`
	// From is the node that delegates the query, Depth the number of daemons that have delegated it, including this one.
	From  string `json:"from"`
	Depth int    `json:"depth"`
	// Account is the name of the client account whose key the caller sent, empty if there is none. The key itself is never sent.
	Account string `json:"account,omitempty"`
	// Raw stands in for the texts and the header on the way, if they are not UTF-8. Only encode and restore set it.
	Raw *rawText `json:"raw,omitempty"`
}

// PartialAnswer is the merged answer of some shards. A helper sends the first part at the latest time at which the
// delegating daemon needs it, then a part for each further shard as it arrives, and a last part.
type PartialAnswer struct {
	// Shards holds the indices of the included shards, Signatures their signatures in the same order.
	Shards     []int    `json:"shards,omitempty"`
	Signatures []string `json:"signatures,omitempty"`
	// Records holds the greatest records of these shards in descending order.
	Records []byte `json:"records,omitempty"`
	// Last is set in the last part: the remaining shards will not be answered. NotExecuted is set if no replica executed
	// any part of the query; RetryAfter is then the wait that the helper advises before a retry.
	Last        bool          `json:"last,omitempty"`
	NotExecuted bool          `json:"not_run,omitempty"`
	RetryAfter  time.Duration `json:"retry_after_ns,omitempty"`
	// Isolated is set in the last part if the helper has lost all replicas meanwhile: others may be able to answer the remaining
	// shards.
	Isolated bool `json:"isolated,omitempty"`
	// Saturated is set if a shard was saturated at the time at which the part was sent.
	Saturated bool `json:"saturated,omitempty"`
	// ReplicaAnswer is the answer to a request to one replica. Only the last part has it.
	ReplicaAnswer *ReplicaAnswer `json:"single,omitempty"`
}

// ReplicaAnswer is the answer of a helper to a request to one replica: the replica's response or an error.
type ReplicaAnswer struct {
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Signature is the replica's signature, which proves that the replica sent this response.
	Signature string `json:"signature,omitempty"`
	// Error is the kind of the error, empty for a response of the replica. RetryAfter is the advised wait before a retry.
	Error      api.Kind      `json:"error,omitempty"`
	Message    string        `json:"message,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
	// RawHeader stands in for Header on the way, if that is not UTF-8. Only encodable and restore set it.
	RawHeader []headerField `json:"raw_header,omitempty"`
}

// ErrNotAccepted means that the helper did not accept the query: nothing was sent to a replica.
var ErrNotAccepted = errors.New("the daemon did not take the query")

// ErrIsolated means that the helper did not accept the query, because it is partitioned from all replicas. It wraps ErrNotAccepted.
var ErrIsolated = fmt.Errorf("%w: it reaches no replica", ErrNotAccepted)

// statusIsolated is the status of a response that stands for ErrIsolated.
const statusIsolated = http.StatusFailedDependency

// Server answers delegated queries. Implementations are safe for concurrent use.
type Server interface {
	// Answer calls send with each part; the final one has Last set. An error wraps ErrNotAccepted and may only be returned
	// before the first part. send may be called from any goroutine, but not concurrently.
	Answer(ctx context.Context, q Query, send func(PartialAnswer)) error
}

// Handler serves PathQuery. Clients wait for a 100 Continue response before they send the query, which shows them that this
// daemon is responsive. Each part is written and flushed as a line of JSON.
func Handler(server Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q Query
		if err := httpjson.Read(r.Body, MaxMessageBytes, &q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		q.restore()
		if exchange := r.Header.Get(headerExchange); exchange != "" {
			w.Header().Set(headerExchange, exchange)
		}
		parts := newPartWriter(w)
		defer parts.close()
		if err := server.Answer(r.Context(), q, parts.send); err != nil {
			status := http.StatusConflict
			if errors.Is(err, ErrIsolated) {
				status = statusIsolated
			}
			http.Error(w, err.Error(), status)
		}
	})
}

// partWriter writes the parts of an answer to a response until it is closed. It is safe for concurrent use.
type partWriter struct {
	mu      sync.Mutex
	encoder *json.Encoder
	flush   func() error
	closed  bool
}

func newPartWriter(w http.ResponseWriter) *partWriter {
	return &partWriter{encoder: json.NewEncoder(w), flush: http.NewResponseController(w).Flush}
}

// send writes a part. The context of the request ends when the client disconnects, so write errors need no handling.
func (p *partWriter) send(part PartialAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	part.ReplicaAnswer = part.ReplicaAnswer.encodable()
	_ = p.encoder.Encode(part)
	if !part.Last {
		_ = p.flush()
	}
}

// close drops later parts: net/http uses the buffer of a finished response for another one.
func (p *partWriter) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// Client delegates queries to other daemons. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// messages limits the memory of the messages that are being read.
	messages *boundedread.MemoryLimit
}

// NewClient returns a client for a process with a memory limit of processBytes, of which a fraction limits the messages that are being
// read at the same time. It opens connections on demand.
func NewClient(processBytes int64) *Client {
	return &Client{messages: boundedread.NewProcessMemoryLimit(processBytes), http: &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHelper,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	},
		// The target of a redirect would answer another request.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// body is the request body of a query. The transport can read it only once the helper has asked for it with 100 Continue, and it can be
// withdrawn until the transport starts to read it. After a final response without 100 Continue the transport would send the body too.
type body struct {
	*bytes.Reader
	state *atomic.Int32
}

// Values of body.state.
const (
	bodyPending int32 = iota
	bodyRequested
	bodySent
	bodyWithdrawn
)

var errWithdrawn = errors.New("query withdrawn before it was sent")

// Read implements io.Reader.
func (b body) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyRequested, bodySent) && b.state.Load() != bodySent {
		return 0, errWithdrawn
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (body) Close() error { return nil }

// withdraw prevents the body from being sent, and reports whether none of it has been.
func withdraw(state *atomic.Int32) bool {
	return state.CompareAndSwap(bodyPending, bodyWithdrawn) || state.CompareAndSwap(bodyRequested, bodyWithdrawn) || state.Load() == bodyWithdrawn
}

var errForeignResponse = errors.New("response belongs to another exchange")

// Delegate delegates a query to the helper at the address and calls receive with each part. If the helper doesn't
// respond with 100 Continue within acceptTimeout, the query is withdrawn. An error that wraps ErrNotAccepted means that
// nothing was sent to a replica; after any other error replicas may have executed the query.
func (c *Client) Delegate(ctx context.Context, address string, q Query, acceptTimeout time.Duration, receive func(PartialAnswer)) error {
	data, err := q.encode()
	if err != nil {
		return eris.Wrapf(ErrNotAccepted, "encode query: %v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state := &atomic.Int32{}
	withdrawal := time.AfterFunc(acceptTimeout, func() {
		if withdraw(state) {
			cancel()
		}
	})
	defer withdrawal.Stop()
	trace := &httptrace.ClientTrace{Got100Continue: func() { state.CompareAndSwap(bodyPending, bodyRequested) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+address+PathQuery, body{bytes.NewReader(data), state})
	if err != nil {
		return eris.Wrapf(ErrNotAccepted, "create request: %v", err)
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Expect", "100-continue")
	exchange := uuid.NewString()
	req.Header.Set(headerExchange, exchange)
	resp, err := c.http.Do(req)
	if err != nil {
		if withdraw(state) {
			return eris.Wrapf(ErrNotAccepted, "%v", err)
		}
		return eris.Wrap(err, "ask")
	}
	defer func() { _ = resp.Body.Close() }()
	wasSent := !withdraw(state)
	switch repeated := resp.Header.Get(headerExchange); {
	case repeated != "" && repeated != exchange && wasSent:
		return errForeignResponse
	case resp.StatusCode != http.StatusOK:
		return statusError(resp, wasSent)
	case !wasSent:
		// The answer is that of an earlier query on the connection.
		return eris.Wrap(ErrNotAccepted, "answer before the query was sent")
	}
	return c.receiveParts(resp.Body, maxParts(q), receive, cancel)
}

const (
	// maxDrainBytes and drainTimeout limit the rest of a response behind the last part, which has to be read for the connection to be
	// reused.
	maxDrainBytes = 4 << 10
	drainTimeout  = 50 * time.Millisecond
)

// spareParts is how many parts of an answer are accepted beyond one for each shard: the first, the last, and some that are empty.
const spareParts = 16

var errTooManyParts = errors.New("the answer has more parts than the query has shards")

func maxParts(q Query) int { return len(q.Shards) + spareParts }

// receiveParts reads the parts up to the last one, of which there may be maxParts, and calls receive with each. cancel ends the exchange.
func (c *Client) receiveParts(body io.Reader, maxParts int, receive func(PartialAnswer), cancel context.CancelFunc) error {
	reader := bufio.NewReader(io.LimitReader(body, MaxMessageBytes))
	for range maxParts {
		line, err := c.messages.ReadLine(reader, MaxMessageBytes)
		if err != nil {
			return eris.Wrap(err, "answer")
		}
		var part PartialAnswer
		if err := json.Unmarshal(line, &part); err != nil {
			return eris.Wrap(err, "answer")
		}
		part.ReplicaAnswer.restore()
		receive(part)
		if part.Last {
			timer := time.AfterFunc(drainTimeout, cancel)
			defer timer.Stop()
			// The answer is complete, whatever becomes of the connection.
			_, _ = io.CopyN(io.Discard, reader, maxDrainBytes)
			return nil
		}
	}
	return errTooManyParts
}

// statusError returns the error for a response with another status than 200. A daemon that does not accept a query
// responds with a client error; any other status shows that nothing was executed only if the query was not sent.
func statusError(resp *http.Response, wasSent bool) error {
	reason, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		reason = []byte(err.Error())
	}
	text := fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(reason))
	isClientError := resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError
	if wasSent && !isClientError {
		return eris.New(text)
	}
	if resp.StatusCode == statusIsolated {
		return eris.Wrap(ErrIsolated, text)
	}
	return eris.Wrap(ErrNotAccepted, text)
}
