package peer

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/confsync"
)

// Client calls other daemons. It limits the number of connections to each peer, so that an unresponsive peer delays
// only the calls to itself. It is safe for concurrent use.
type Client struct {
	self string
	pool *pool
}

var _ confsync.Caller = (*Client)(nil)

// NewClient returns a client that identifies itself to peers by the member ID self.
func NewClient(self string) *Client { return &Client{self: self, pool: newPool()} }

// Close closes the idle connections.
func (c *Client) Close() error { return c.pool.close() }

// Call implements confsync.Caller.
func (c *Client) Call(ctx context.Context, to confsync.Member, req confsync.Request) (confsync.Response, error) {
	conn, release, err := c.pool.get(ctx, poolKey{to.Address, classConfig})
	if err != nil {
		return nil, err
	}
	defer release()
	client := NewDRPCConfigClient(conn)
	switch r := encodeRequest(c.self, req).(type) {
	case *CompareRequest:
		resp, err := client.Compare(ctx, r)
		if err != nil {
			return nil, eris.Wrapf(err, "compare configuration with peer %s", to.ID)
		}
		return decodeCompareResponse(resp)
	case *EntriesRequest:
		resp, err := client.Entries(ctx, r)
		if err != nil {
			return nil, eris.Wrapf(err, "get configuration entries from peer %s", to.ID)
		}
		return confsync.EntriesResponse{
			Instance: resp.GetInstance(), Entries: decodeEntries(resp.GetEntries()), Disputed: decodeEntries(resp.GetDisputed()),
		}, nil
	case *FetchRequest:
		resp, err := client.Fetch(ctx, r)
		if err != nil {
			return nil, eris.Wrapf(err, "fetch configuration items from peer %s", to.ID)
		}
		return decodeFetchResponse(resp), nil
	}
	return nil, eris.Errorf("unsupported request type %T", req)
}

func encodeRequest(from string, req confsync.Request) proto.Message {
	switch r := req.(type) {
	case confsync.CompareRequest:
		return &CompareRequest{From: from, Total: r.Total}
	case confsync.EntriesRequest:
		return &EntriesRequest{From: from, Mask: r.BucketMask, Entries: encodeEntries(r.Entries)}
	case confsync.FetchRequest:
		return &FetchRequest{From: from, Wants: encodeEntries(r.Entries)}
	}
	return nil
}

func encodeResponse(resp confsync.Response) proto.Message {
	switch r := resp.(type) {
	case confsync.CompareResponse:
		return encodeCompareResponse(r)
	case confsync.EntriesResponse:
		return &EntriesResponse{
			Instance: r.Instance, Entries: encodeEntries(r.Entries), Disputed: encodeEntries(r.Disputed),
		}
	case confsync.FetchResponse:
		return encodeFetchResponse(r)
	}
	return nil
}

// frameOverheadBytes is the overhead of a call in each direction: the drpc framing with the method name, and the
// TCP and IP headers of one segment.
const frameOverheadBytes = 40 + 52

// WireSize returns the size in bytes of a confsync request or response on the wire, or 0 for any other type.
func WireSize(message any) int {
	var m proto.Message
	switch r := message.(type) {
	case confsync.Request:
		m = encodeRequest("entry-0000", r)
	case confsync.Response:
		m = encodeResponse(r)
	}
	if m == nil {
		return 0
	}
	return proto.Size(m) + frameOverheadBytes
}
