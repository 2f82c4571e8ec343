// Package etcdjson reaches the platform's store through the etcd v3 JSON gateway over net/http.
package etcdjson

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/kv"
)

const (
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 2 * time.Second
	// watchSilence ends a watch on which nothing arrived for this long, so that a half-open connection is noticed.
	watchSilence = 5 * time.Second
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
		http:      &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 8}},
	}, nil
}

// Calls returns the call counters.
func (c *Client) Calls() *Calls { return &c.calls }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// statusError is an HTTP error answer of the store.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("store answered %d: %s", e.status, e.body) }

// send returns the response of a POST. wrote tells whether any byte may have reached the store.
func (c *Client) send(ctx context.Context, path string, in any) (resp *http.Response, wrote bool, err error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, false, err
	}
	endpoint := c.endpoints[c.next.Load()%uint64(len(c.endpoints))]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	// Without GetBody the transport cannot replay a write on a new connection.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err = c.http.Do(req)
	if err != nil {
		c.next.Add(1)
		var op *net.OpError
		dialFailed := errors.As(err, &op) && op.Op == "dial"
		return nil, !dialFailed, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		resp.Body.Close()
		c.next.Add(1)
		// The gateway answers 503 when it did not pass the call on.
		return nil, resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusBadRequest,
			&statusError{resp.StatusCode, strings.TrimSpace(string(text))}
	}
	return resp, true, nil
}

// call sends a request and decodes the response. uncertain is the error for a lost answer.
func (c *Client) call(ctx context.Context, path string, in, out any, uncertain error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, wrote, err := c.send(ctx, path, in)
	if err == nil {
		defer resp.Body.Close()
		err = json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(out)
	}
	if err == nil {
		return nil
	}
	if wrote {
		return errors.Join(uncertain, eris.Wrap(err, path))
	}
	return errors.Join(kv.ErrUnavailable, eris.Wrap(err, path))
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

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, fn func(kv.WatchBatch)) error {
	c.calls.Watches.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	create := WatchCreate{
		Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: Int64(from), ProgressNotify: true,
	}
	resp, _, err := c.send(ctx, PathWatch, WatchRequest{Create: &create})
	if err != nil {
		return errors.Join(kv.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for {
		var msg WatchResponse
		if err := dec.Decode(&msg); err != nil {
			return errors.Join(kv.ErrUnavailable, eris.Wrap(err, "watch ended"))
		}
		silence.Reset(watchSilence)
		if msg.Result.CompactRevision > 0 {
			return kv.ErrCompacted
		}
		if msg.Result.Canceled {
			return errors.Join(kv.ErrUnavailable, eris.New("watch cancelled by the store"))
		}
		if msg.Result.Created && len(msg.Result.Events) == 0 {
			// The header of this message is newer than the events that are still to come.
			continue
		}
		fn(decodeBatch(msg))
	}
}

func decodeBatch(msg WatchResponse) kv.WatchBatch {
	batch := kv.WatchBatch{Revision: int64(msg.Result.Header.Revision)}
	for _, e := range msg.Result.Events {
		batch.Events = append(batch.Events, kv.Event{Item: e.KV.Item(), Deleted: e.Type == "DELETE"})
	}
	return batch
}
