package delegation

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// drawBytes draws a text that often has bytes which are not UTF-8.
func drawBytes(t *rapid.T, label string) string {
	return string(rapid.SliceOfN(rapid.SampledFrom([]byte{'a', '/', '%', '<', '"', 0x7f, 0xc3, 0xa9, 0xe7, 0xff}), 0, 6).Draw(t, label))
}

func drawHeader(t *rapid.T) http.Header {
	header := make(http.Header)
	for range rapid.IntRange(0, 2).Draw(t, "fields") {
		name := rapid.SampledFrom([]string{"X-One", "X-Two"}).Draw(t, "name")
		header[name] = append(header[name], drawBytes(t, "value"))
	}
	if len(header) == 0 {
		return nil
	}
	return header
}

// TestBytesTravelUnchanged guards against queries that run with another target, host or header than the caller sent, and answers with another
// header than the replica sent, when another daemon answers: JSON strings replace bytes that are not UTF-8.
func TestBytesTravelUnchanged(t *testing.T) {
	var got Query
	var answer *ReplicaAnswer
	h := httptest.NewServer(Handler(serverFunc(func(_ context.Context, q Query, send func(PartialAnswer)) error {
		got = q
		send(PartialAnswer{Last: true, ReplicaAnswer: answer})
		return nil
	})))
	defer h.Close()
	client := NewClient(testMemory)
	rapid.Check(t, func(t *rapid.T) {
		sent := Query{ID: drawBytes(t, "id"), Method: "GET", Host: drawBytes(t, "host"), Target: drawBytes(t, "target"), Path: drawBytes(t, "path"),
			Header: drawHeader(t), Body: []byte(drawBytes(t, "body")), Shards: []int{0}, Depth: 1, From: "other"}
		answer = &ReplicaAnswer{Status: 200, Header: drawHeader(t), Body: []byte(drawBytes(t, "answer"))}
		var received *ReplicaAnswer
		err := client.Delegate(context.Background(), strings.TrimPrefix(h.URL, "http://"), sent, testTimeout, func(p PartialAnswer) { received = p.ReplicaAnswer })
		must.NoError(t, err)
		// Empty bodies travel as none.
		got.Body, received.Body = append([]byte{}, got.Body...), append([]byte{}, received.Body...)
		must.Eq(t, sent, got)
		must.Eq(t, answer, received)
	})
}

// TestEarlierVersionRefusesRawBytes guards against a daemon of an earlier version that serves a query with changed bytes: it knows no field for
// them and refuses the message. Every other query stays as it was.
func TestEarlierVersionRefusesRawBytes(t *testing.T) {
	type earlierQuery struct {
		ID            string      `json:"id"`
		Method        string      `json:"method"`
		Host          string      `json:"host"`
		Target        string      `json:"target"`
		Path          string      `json:"path"`
		Header        http.Header `json:"header,omitempty"`
		Body          []byte      `json:"body,omitempty"`
		Version       int64       `json:"version"`
		Shards        []int       `json:"shards,omitempty"`
		Service       string      `json:"service,omitempty"`
		Elapsed       int64       `json:"elapsed_ns"`
		CallerTimeout int64       `json:"wait_ns,omitempty"`
		From          string      `json:"from"`
		Depth         int         `json:"depth"`
		Account       string      `json:"account,omitempty"`
	}
	decode := func(q Query) (earlierQuery, error) {
		data, err := q.encode()
		must.NoError(t, err)
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		var earlier earlierQuery
		return earlier, dec.Decode(&earlier)
	}
	_, err := decode(Query{ID: "q", Method: "GET", Host: "h", Target: "/caf\xc3\xa9?a=<b>", Path: "/caf\xc3\xa9"})
	must.NoError(t, err)
	for name, q := range map[string]Query{
		"target": {Target: "/caf\xe9"}, "path": {Path: "/caf\xe9"}, "host": {Host: "\xe9"}, "id": {ID: "\xe9"}, "header": {Header: http.Header{"X": {"\xe9"}}},
	} {
		_, err := decode(q)
		must.Error(t, err, must.Sprint(name))
	}
}
