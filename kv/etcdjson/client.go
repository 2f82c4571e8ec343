// Package etcdjson implements kv.Store on the JSON gateway of etcd v3.
package etcdjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

const (
	// callTimeout limits a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// maxResponseBytes limits the size of a response body. It is large because a list holds many base64-encoded values.
	maxResponseBytes = 256 << 20
	// maxHeaderBytes limits the size of a response header.
	maxHeaderBytes = 64 << 10
)

// Calls holds the numbers of calls that a client has made, by type.
type Calls struct {
	Reads, Writes, Watches atomic.Int64
}

// Client implements kv.Store on the JSON gateway of etcd v3. It is safe for concurrent use.
type Client struct {
	endpoints        []string
	http             *http.Client
	next             atomic.Uint64
	calls            Calls
	silenceTimeout   time.Duration
	progressInterval time.Duration
}

var _ kv.Store = (*Client)(nil)

// New returns a client for the endpoints, such as "http://10.0.0.1:2379". Calls go to one endpoint, and to the next one
// after a failure.
func New(endpoints []string) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, eris.New("no store endpoints are configured")
	}
	trimmed := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		trimmed[i] = strings.TrimRight(endpoint, "/")
	}
	dialer := &net.Dialer{Timeout: time.Second}
	return &Client{
		endpoints:        trimmed,
		silenceTimeout:   defaultSilenceTimeout,
		progressInterval: defaultProgressInterval,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: maxHeaderBytes},
			// Redirects are not followed: the gateway sends none, and following one could turn the POST into a GET.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Calls returns the call counters.
func (c *Client) Calls() *Calls { return &c.calls }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// send sends a POST request and returns the response. wrote reports whether any byte may have reached the store. The
// transport may replay a read on a new connection, but not a write.
func (c *Client) send(ctx context.Context, path string, in any, isRead bool) (resp *http.Response, wrote bool, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, false, err
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	endpoint := c.endpoints[c.next.Load()%uint64(len(c.endpoints))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	if !isRead {
		// Without GetBody the transport cannot replay the request.
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err = c.http.Do(req)
	if err != nil {
		c.next.Add(1)
		return nil, connected.Load(), err
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		status := readStatusError(resp)
		if !isRejected(status) {
			c.next.Add(1)
		}
		return nil, status.mayHaveExecuted(), status
	}
	return resp, true, nil
}

// call sends a request and decodes the response. uncertain is the error for a lost response: kv.ErrUnavailable for a read,
// kv.ErrOutcomeUnknown for a write. After a failure each other endpoint is tried once: for a read after any failure,
// and for a write only if the store is known not to have executed it.
func (c *Client) call(ctx context.Context, path string, in, out any, uncertain error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	isRead := uncertain == kv.ErrUnavailable
	var err error
	for range c.endpoints {
		var wrote bool
		wrote, err = c.attempt(ctx, path, in, out, isRead)
		switch {
		case err == nil:
			return nil
		case wrote && !isRead:
			return errors.Join(uncertain, eris.Wrap(err, path))
		case isRejected(err), ctx.Err() != nil:
			return errors.Join(kv.ErrUnavailable, eris.Wrap(err, path))
		}
	}
	return errors.Join(kv.ErrUnavailable, eris.Wrap(err, path))
}

// attempt sends a call to the current endpoint. wrote reports whether the store may have executed it.
func (c *Client) attempt(ctx context.Context, path string, in, out any, isRead bool) (wrote bool, err error) {
	resp, wrote, err := c.send(ctx, path, in, isRead)
	if err != nil {
		return wrote, err
	}
	defer resp.Body.Close()
	return true, json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out)
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	c.calls.Reads.Add(1)
	var out RangeResponse
	err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &out, kv.ErrUnavailable)
	switch {
	case err != nil:
		return kv.Item{}, false, err
	case len(out.KVs) == 0:
		return kv.Item{}, false, nil
	case string(out.KVs[0].Key) != key:
		return kv.Item{}, false, errors.Join(kv.ErrUnavailable, eris.Errorf("%s: response has another key", PathRange))
	default:
		return out.KVs[0].Item(), true, nil
	}
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	c.calls.Reads.Add(1)
	var out RangeResponse
	in := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if err := c.call(ctx, PathRange, in, &out, kv.ErrUnavailable); err != nil {
		return nil, 0, err
	}
	if out.Header.Revision <= 0 {
		return nil, 0, errors.Join(kv.ErrUnavailable, eris.Errorf("%s: response has no revision", PathRange))
	}
	items := make([]kv.Item, len(out.KVs))
	for i, k := range out.KVs {
		if !bytes.HasPrefix(k.Key, []byte(prefix)) {
			return nil, 0, errors.Join(kv.ErrUnavailable, eris.Errorf("%s: response has a key of another range", PathRange))
		}
		items[i] = k.Item()
	}
	return items, int64(out.Header.Revision), nil
}

// Txn implements kv.Store.
func (c *Client) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	c.calls.Writes.Add(1)
	var out TxnResponse
	if err := c.call(ctx, PathTxn, encodeTxn(txn), &out, kv.ErrOutcomeUnknown); err != nil {
		return kv.TxnResult{}, err
	}
	if out.Header.Revision <= 0 {
		// The response is not from the gateway, so it does not show whether the conditions held.
		return kv.TxnResult{}, errors.Join(kv.ErrOutcomeUnknown, eris.Errorf("%s: response has no revision", PathTxn))
	}
	result := kv.TxnResult{Succeeded: out.Succeeded, Revision: int64(out.Header.Revision)}
	for _, r := range out.Responses {
		if out.Succeeded || r.Range == nil {
			continue
		}
		for _, k := range r.Range.KVs {
			result.Items = append(result.Items, k.Item())
		}
	}
	return result, nil
}

func encodeTxn(txn kv.Txn) TxnRequest {
	var req TxnRequest
	for _, cond := range txn.If {
		req.Compare = append(req.Compare, Compare{
			Result: "EQUAL", Target: "MOD", Key: []byte(cond.Key), ModRevision: Int64(cond.ModRevision),
		})
	}
	for _, p := range txn.Puts {
		req.Success = append(req.Success, RequestOp{Put: &PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: Int64(p.Lease)}})
	}
	for _, key := range txn.Deletes {
		req.Success = append(req.Success, RequestOp{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	for _, key := range txn.Else {
		req.Failure = append(req.Failure, RequestOp{Range: &RangeRequest{Key: []byte(key)}})
	}
	return req
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	c.calls.Writes.Add(1)
	seconds := (ttl + time.Second - 1) / time.Second
	var out GrantResponse
	if err := c.call(ctx, PathGrant, GrantRequest{TTL: Int64(seconds)}, &out, kv.ErrOutcomeUnknown); err != nil {
		return 0, err
	}
	if out.ID == 0 {
		return 0, errors.Join(kv.ErrOutcomeUnknown, eris.Errorf("%s: response has no lease", PathGrant))
	}
	return kv.LeaseID(out.ID), nil
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) (bool, error) {
	c.calls.Writes.Add(1)
	var out KeepAliveResponse
	err := c.call(ctx, PathKeepAlive, KeepAliveRequest{ID: Int64(id)}, &out, kv.ErrOutcomeUnknown)
	return out.Result.TTL > 0, err
}
