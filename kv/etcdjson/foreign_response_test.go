package etcdjson_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/etcdjson"
)

const otherItem = `{"header":{"revision":"4"},"kvs":[{"key":"b3RoZXI=","mod_revision":"3"}]}`

// TestResponseOfAnotherCall guards against a response that is not that of the call: an item of another key, and a lease
// without id, which would make claims permanent. A get cannot tell a response without items from that of another call.
func TestResponseOfAnotherCall(t *testing.T) {
	for _, body := range []string{`{}`, `{"succeeded":true}`, otherItem} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		client, err := etcdjson.New([]string{server.URL})
		must.NoError(t, err)
		if body == otherItem {
			_, _, err = client.Get(t.Context(), "k")
			must.True(t, errors.Is(err, kv.ErrUnavailable), must.Sprintf("get, %s: %v", body, err))
		}
		_, err = client.Grant(t.Context(), time.Minute)
		must.True(t, errors.Is(err, kv.ErrOutcomeUnknown), must.Sprintf("grant, %s: %v", body, err))
		_, _, err = client.List(t.Context(), "k/")
		must.True(t, errors.Is(err, kv.ErrUnavailable), must.Sprintf("list, %s: %v", body, err))
		client.Close()
		server.Close()
	}
}
