package peer

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/confsync"
)

// Client calls other daemons. It opens at most a fixed number of connections to each, so that a peer that does not
// answer delays only calls to itself. It is safe for concurrent use.
type Client struct {
	self string
	pool *pool
}

var _ confsync.Caller = (*Client)(nil)

// NewClient returns a client of the daemon with the member ID.
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
			return nil, eris.Wrapf(err, "compare with %s", to.ID)
		}
		return toCompare(resp)
	case *EntriesRequest:
		resp, err := client.Entries(ctx, r)
		if err != nil {
			return nil, eris.Wrapf(err, "entries of %s", to.ID)
		}
		return confsync.EntriesResponse{
			Instance: resp.GetInstance(), Entries: toEntries(resp.GetEntries()), Disputed: toEntries(resp.GetDisputed()),
		}, nil
	case *FetchRequest:
		resp, err := client.Fetch(ctx, r)
		if err != nil {
			return nil, eris.Wrapf(err, "fetch from %s", to.ID)
		}
		return toFetch(resp), nil
	}
	return nil, eris.Errorf("unknown request %T", req)
}

func encodeRequest(from string, req confsync.Request) proto.Message {
	switch r := req.(type) {
	case confsync.CompareRequest:
		return &CompareRequest{From: from, Total: r.Total}
	case confsync.EntriesRequest:
		return &EntriesRequest{From: from, Mask: r.Mask, Entries: fromEntries(r.Entries)}
	case confsync.FetchRequest:
		return &FetchRequest{From: from, Wants: fromEntries(r.Wants)}
	}
	return nil
}

func encodeResponse(resp confsync.Response) proto.Message {
	switch r := resp.(type) {
	case confsync.CompareResponse:
		return fromCompare(r)
	case confsync.EntriesResponse:
		return &EntriesResponse{
			Instance: r.Instance, Entries: fromEntries(r.Entries), Disputed: fromEntries(r.Disputed),
		}
	case confsync.FetchResponse:
		return fromFetch(r)
	}
	return nil
}

// frameBytes is the drpc framing of a call in each direction, with the method name, and the TCP and IP headers of
// one segment.
const frameBytes = 40 + 52

// WireSize returns the size in bytes of a confsync request or response on the wire, or 0 for another message.
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
	return proto.Size(m) + frameBytes
}
