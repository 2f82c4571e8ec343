package delegation

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzQuery guards against an invalid message of another daemon that a helper serves or fails to reject.
func FuzzQuery(f *testing.F) {
	f.Add([]byte(`{"id":"q","shards":[0,1],"elapsed_ns":1}`))
	f.Add([]byte(`{"id":"q","shards":[-1],"elapsed_ns":-9223372036854775808,"depth":9223372036854775807}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		served := false
		h := Handler(serverFunc(func(_ context.Context, _ Query, send func(PartialAnswer)) error {
			served = true
			send(PartialAnswer{Last: true})
			return nil
		}))
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, PathQuery, bytes.NewReader(body)))
		must.Eq(t, served, rec.Code == http.StatusOK)
		must.True(t, served || rec.Code == http.StatusBadRequest)
	})
}

// FuzzAnswer guards against an arbitrary answer of a helper that is reported as success without a last part.
func FuzzAnswer(f *testing.F) {
	f.Add(`{"shards":[0],"signatures":["a"],"records":"MDEyMzQ1Njc4OWFiY2RlZg==","last":true}`)
	f.Add(`{"shards":[0]}` + "\n" + `{"shards":[`)
	f.Add(`{"single":{"status":-1},"last":true}`)
	f.Fuzz(func(t *testing.T, answer string) {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var b bytes.Buffer
			if _, err := b.ReadFrom(r.Body); err == nil {
				_, _ = w.Write([]byte(answer))
			}
		}))
		defer h.Close()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		last := false
		err := NewClient(testMemory).Delegate(ctx, strings.TrimPrefix(h.URL, "http://"), Query{ID: "q"}, time.Minute,
			func(p PartialAnswer) { last = p.Last })
		must.True(t, err != nil || last)
	})
}
