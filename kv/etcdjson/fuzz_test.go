package etcdjson_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/standin/store"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/kv/kvtest"
)

var wireSeeds = []string{
	`{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==","create_revision":"1","mod_revision":"2"}]}`,
	`{"header":{"revision":7},"succeeded":true,"responses":[{"response_range":{"kvs":[{"key":"YQ=="}]}}]}`,
	`{"result":{"events":[{"type":"DELETE","kv":{"key":"YQ=="}}],"compact_revision":"3"}}`,
	`{"compare":[{"result":"EQUAL","target":"MOD","key":"YQ==","mod_revision":"0"}],"success":[{"request_put":{"key":"YQ==","value":"Yg=="}}]}`,
	`{"ID":"-9223372036854775808","TTL":"9223372036854775807"}`, `{"TTL":null}`, `{"TTL":"\u0031"}`, `{"TTL":""}`, `[]`, ``,
}

// FuzzWire guards against wire values that change when they are encoded and decoded again.
func FuzzWire(f *testing.F) {
	for _, seed := range wireSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		roundTrip[etcdjson.RangeRequest](t, data)
		roundTrip[etcdjson.RangeResponse](t, data)
		roundTrip[etcdjson.TxnRequest](t, data)
		roundTrip[etcdjson.TxnResponse](t, data)
		roundTrip[etcdjson.GrantResponse](t, data)
		roundTrip[etcdjson.WatchResponse](t, data)
	})
}

// roundTrip decodes data and checks that encoding and decoding the value again does not change it. It compares the encoded
// forms, because an empty list and an absent one are encoded alike.
func roundTrip[T any](t *testing.T, data []byte) {
	var value, decoded T
	if json.Unmarshal(data, &value) != nil {
		return
	}
	first, err := json.Marshal(value)
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(first, &decoded))
	second, err := json.Marshal(decoded)
	must.NoError(t, err)
	must.Eq(t, string(first), string(second))
}

// FuzzStandinRequests guards against request bodies that crash the simulated store, which a client would take for a lost
// response.
func FuzzStandinRequests(f *testing.F) {
	for _, seed := range wireSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		handler := store.NewServer(kvtest.NewMemory(nil)).Handler()
		for _, path := range []string{etcdjson.PathRange, etcdjson.PathTxn, etcdjson.PathGrant, etcdjson.PathKeepAlive} {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
			must.SliceContains(t, []int{http.StatusOK, http.StatusBadRequest, http.StatusServiceUnavailable}, w.Code)
		}
	})
}
