package etcdjson

import (
	"strconv"

	"github.com/chivemill/chivemill/kv"
)

// Paths of the etcd v3 JSON gateway that this package uses.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathWatch     = "/v3/watch"
)

// Int64 is a 64-bit integer that is encoded as a JSON string, as by the gateway.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return []byte(strconv.Quote(strconv.FormatInt(int64(i), 10))), nil
}

// UnmarshalJSON implements json.Unmarshaler. It accepts a string or a number. null leaves the value unchanged.
func (i *Int64) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	if len(data) > 1 && data[0] == '"' {
		data = data[1 : len(data)-1]
	}
	n, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return err
	}
	*i = Int64(n)
	return nil
}

// KeyValue is the JSON form of mvccpb.KeyValue.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
}

// Item returns the key and value as a kv.Item.
func (k KeyValue) Item() kv.Item {
	return kv.Item{
		Key:            string(k.Key),
		Value:          k.Value,
		CreateRevision: int64(k.CreateRevision),
		ModRevision:    int64(k.ModRevision),
	}
}

// FromItem returns a kv.Item as a KeyValue.
func FromItem(i kv.Item) KeyValue {
	return KeyValue{
		Key:            []byte(i.Key),
		Value:          i.Value,
		CreateRevision: Int64(i.CreateRevision),
		ModRevision:    Int64(i.ModRevision),
	}
}

// Header is the JSON form of etcdserverpb.ResponseHeader.
type Header struct {
	Revision Int64 `json:"revision"`
}

// RangeRequest is the JSON form of etcdserverpb.RangeRequest. It reads the keys in [Key, RangeEnd), or only Key if RangeEnd
// is empty.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// MinModRevision excludes keys whose last change was before this revision.
	MinModRevision Int64 `json:"min_mod_revision,omitempty"`
}

// RangeResponse is the JSON form of etcdserverpb.RangeResponse.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is the JSON form of an etcdserverpb.Compare on the modification revision.
type Compare struct {
	Result      string `json:"result"`
	Target      string `json:"target"`
	Key         []byte `json:"key"`
	ModRevision Int64  `json:"mod_revision"`
}

// PutRequest is the JSON form of etcdserverpb.PutRequest.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease Int64  `json:"lease,omitempty"`
}

// DeleteRequest is the JSON form of an etcdserverpb.DeleteRangeRequest for a single key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is the JSON form of etcdserverpb.RequestOp. Exactly one field is set.
type RequestOp struct {
	Range  *RangeRequest  `json:"request_range,omitempty"`
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is the JSON form of etcdserverpb.TxnRequest.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the JSON form of etcdserverpb.ResponseOp.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the JSON form of etcdserverpb.TxnResponse.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest is the JSON form of etcdserverpb.LeaseGrantRequest. TTL is in seconds.
type GrantRequest struct {
	TTL Int64 `json:"TTL"`
}

// GrantResponse is the JSON form of etcdserverpb.LeaseGrantResponse.
type GrantResponse struct {
	ID  Int64 `json:"ID"`
	TTL Int64 `json:"TTL"`
}

// KeepAliveRequest is the JSON form of etcdserverpb.LeaseKeepAliveRequest.
type KeepAliveRequest struct {
	ID Int64 `json:"ID"`
}

// KeepAliveResponse is the JSON form of etcdserverpb.LeaseKeepAliveResponse in the gateway's stream envelope.
type KeepAliveResponse struct {
	Result struct {
		ID  Int64 `json:"ID"`
		TTL Int64 `json:"TTL"`
	} `json:"result"`
}

// WatchCreate is the JSON form of etcdserverpb.WatchCreateRequest.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchRequest is the JSON form of etcdserverpb.WatchRequest.
type WatchRequest struct {
	Create *WatchCreate `json:"create_request,omitempty"`
}

// WatchEvent is the JSON form of mvccpb.Event. Type is "DELETE" for a deleted key, and empty or "PUT" otherwise.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is the JSON form of etcdserverpb.WatchResponse in the gateway's stream envelope.
type WatchResponse struct {
	Result struct {
		Header          Header       `json:"header"`
		Created         bool         `json:"created,omitempty"`
		Canceled        bool         `json:"canceled,omitempty"`
		CompactRevision Int64        `json:"compact_revision,omitempty"`
		Events          []WatchEvent `json:"events,omitempty"`
	} `json:"result"`
}

// PrefixEnd returns the exclusive end of the range of all keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
