// Package etcdjson reaches the platform's store through the etcd v3 JSON gateway over net/http.
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
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// maxBody bounds a response body in bytes: values are base64 encoded and a list holds many.
	maxBody = 256 << 20
)

// Calls counts the calls that a client made.
type Calls struct {
	Reads, Writes, Watches atomic.Int64
}

// Client implements kv.Store. It is safe for concurrent use.
type Client struct {
	endpoints []string
	http      *http.Client
	next      atomic.Uint64
	calls     Calls
	silence   time.Duration
	progress  time.Duration
}

var _ kv.Store = (*Client)(nil)

// New returns a client of the endpoints, such as "http://10.0.0.1:2379". Calls go to one endpoint, and to the
// next one after a failure.
func New(endpoints []string) (*Client, error) {
	if len(endpoints) == 0 {
		return nil, eris.New("no store endpoints")
	}
	trimmed := make([]string, len(endpoints))
	for i, e := range endpoints {
		trimmed[i] = strings.TrimRight(e, "/")
	}
	dialer := &net.Dialer{Timeout: time.Second}
	return &Client{
		endpoints: trimmed,
		silence:   watchSilence,
		progress:  watchProgress,
		http: &http.Client{
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8},
			// The gateway does not redirect. A followed redirect would turn the call into a GET.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Calls returns the call counters.
func (c *Client) Calls() *Calls { return &c.calls }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// send returns the response of a POST. wrote tells whether any byte may have reached the store. A read may be
// replayed by the transport on a new connection, a write is not.
func (c *Client) send(ctx context.Context, path string, in any, read bool) (resp *http.Response, wrote bool, err error) {
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
	if !read {
		// Without GetBody the transport cannot send the request twice.
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
		status := readStatus(resp)
		if !isRejected(status) {
			c.next.Add(1)
		}
		return nil, status.mayHaveRun(), status
	}
	return resp, true, nil
}

// call sends a request and decodes the response. uncertain is the error for a lost answer: kv.ErrUnavailable for a
// read, kv.ErrUncertain for a write. The other endpoints are tried after a failure, each once: for a read after any
// failure, for a write only if it certainly has not run.
func (c *Client) call(ctx context.Context, path string, in, out any, uncertain error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	read := uncertain == kv.ErrUnavailable
	var err error
	for range c.endpoints {
		var wrote bool
		wrote, err = c.try(ctx, path, in, out, read)
		switch {
		case err == nil:
			return nil
		case wrote && !read:
			return errors.Join(uncertain, eris.Wrap(err, path))
		case isRejected(err), ctx.Err() != nil:
			return errors.Join(kv.ErrUnavailable, eris.Wrap(err, path))
		}
	}
	return errors.Join(kv.ErrUnavailable, eris.Wrap(err, path))
}

// try is one attempt of a call. wrote tells whether the store may have run it.
func (c *Client) try(ctx context.Context, path string, in, out any, read bool) (wrote bool, err error) {
	resp, wrote, err := c.send(ctx, path, in, read)
	if err != nil {
		return wrote, err
	}
	defer resp.Body.Close()
	return true, json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(out)
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	c.calls.Reads.Add(1)
	var out RangeResponse
	err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &out, kv.ErrUnavailable)
	if err != nil || len(out.KVs) == 0 {
		return kv.Item{}, false, err
	}
	return out.KVs[0].Item(), true, nil
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
		return nil, 0, errors.Join(kv.ErrUnavailable, eris.Errorf("%s: answer states no revision", PathRange))
	}
	items := make([]kv.Item, len(out.KVs))
	for i, k := range out.KVs {
		items[i] = k.Item()
	}
	return items, int64(out.Header.Revision), nil
}

// Txn implements kv.Store.
func (c *Client) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	c.calls.Writes.Add(1)
	var out TxnResponse
	if err := c.call(ctx, PathTxn, encodeTxn(txn), &out, kv.ErrUncertain); err != nil {
		return kv.TxnResult{}, err
	}
	if out.Header.Revision <= 0 {
		// Not an answer of the gateway, so it does not show whether the conditions held.
		return kv.TxnResult{}, errors.Join(kv.ErrUncertain, eris.Errorf("%s: answer states no revision", PathTxn))
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
	var in TxnRequest
	for _, cond := range txn.If {
		in.Compare = append(in.Compare, Compare{
			Result: "EQUAL", Target: "MOD", Key: []byte(cond.Key), ModRevision: Int64(cond.ModRevision),
		})
	}
	for _, p := range txn.Puts {
		in.Success = append(in.Success, RequestOp{Put: &PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: Int64(p.Lease)}})
	}
	for _, key := range txn.Deletes {
		in.Success = append(in.Success, RequestOp{Delete: &DeleteRequest{Key: []byte(key)}})
	}
	for _, key := range txn.Otherwise {
		in.Failure = append(in.Failure, RequestOp{Range: &RangeRequest{Key: []byte(key)}})
	}
	return in
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	c.calls.Writes.Add(1)
	seconds := (ttl + time.Second - 1) / time.Second
	var out GrantResponse
	err := c.call(ctx, PathGrant, GrantRequest{TTL: Int64(seconds)}, &out, kv.ErrUncertain)
	return kv.LeaseID(out.ID), err
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) (bool, error) {
	c.calls.Writes.Add(1)
	var out KeepAliveResponse
	err := c.call(ctx, PathKeepAlive, KeepAliveRequest{ID: Int64(id)}, &out, kv.ErrUncertain)
	return out.Result.TTL > 0, err
}
