package etcdjson_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/standin/store"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/kv/kvtest"
)

// newClient serves the handler on loopback and returns a client for it.
func newClient(t *testing.T, handler http.Handler) *etcdjson.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	c, err := etcdjson.New([]string{server.URL + "/"})
	must.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

func newStandin(t *testing.T, now func() time.Time) (*etcdjson.Client, *kvtest.Memory) {
	t.Helper()
	mem := kvtest.NewMemory(now)
	return newClient(t, store.NewServer(mem).Handler()), mem
}

func put(key, value string, revision int64) kv.Txn {
	return kv.Txn{
		If:   []kv.Compare{{Key: key, ModRevision: revision}},
		Puts: []kv.Put{{Key: key, Value: []byte(value)}},
		Else: []string{key, "absent"},
	}
}

// TestReadsAndTransactions guards against a wire encoding that loses keys, values, revisions or conditions.
func TestReadsAndTransactions(t *testing.T) {
	c, _ := newStandin(t, nil)
	ctx := t.Context()
	_, found, err := c.Get(ctx, "a/1")
	must.NoError(t, err)
	must.False(t, found)
	first, err := c.Txn(ctx, put("a/1", "x\x00\xff", 0))
	must.NoError(t, err)
	must.Eq(t, kv.TxnResult{Succeeded: true, Revision: 2}, first)
	item := kv.Item{Key: "a/1", Value: []byte("x\x00\xff"), CreateRevision: 2, ModRevision: 2}
	refused, err := c.Txn(ctx, put("a/1", "y", 0))
	must.NoError(t, err)
	must.Eq(t, kv.TxnResult{Revision: 2, Items: []kv.Item{item}}, refused)
	_, err = c.Txn(ctx, put("b", "z", 0))
	must.NoError(t, err)
	items, revision, err := c.List(ctx, "a/")
	must.NoError(t, err)
	must.Eq(t, []kv.Item{item}, items)
	must.Eq(t, 3, revision)
	_, err = c.Txn(ctx, kv.Txn{If: []kv.Compare{{Key: "a/1", ModRevision: 2}}, Deletes: []string{"a/1"}})
	must.NoError(t, err)
	_, found, err = c.Get(ctx, "a/1")
	must.NoError(t, err)
	must.False(t, found)
	must.Eq(t, 4, c.Calls().Writes.Load())
	must.Eq(t, 3, c.Calls().Reads.Load())
}

// TestLeases guards against leases that do not expire, and against expired leases that are reported as alive.
func TestLeases(t *testing.T) {
	var offset atomic.Int64
	start := time.Now()
	c, _ := newStandin(t, func() time.Time { return start.Add(time.Duration(offset.Load())) })
	ctx := t.Context()
	id, err := c.Grant(ctx, 1500*time.Millisecond)
	must.NoError(t, err)
	_, err = c.Txn(ctx, kv.Txn{Puts: []kv.Put{{Key: "k", Value: []byte("v"), Lease: id}}})
	must.NoError(t, err)
	offset.Store(int64(1900 * time.Millisecond))
	alive, err := c.KeepAlive(ctx, id)
	must.NoError(t, err)
	must.True(t, alive)
	offset.Store(int64(4 * time.Second))
	_, found, err := c.Get(ctx, "k")
	must.NoError(t, err)
	must.False(t, found)
	alive, err = c.KeepAlive(ctx, id)
	must.NoError(t, err)
	must.False(t, alive)
	_, err = c.Txn(ctx, kv.Txn{Puts: []kv.Put{{Key: "k", Lease: id}}})
	must.ErrorIs(t, err, kv.ErrUnavailable)
}

// callAll calls every method except Watch, reads first, and returns the errors by method.
func callAll(ctx context.Context, c *etcdjson.Client) map[string]error {
	errs := map[string]error{}
	_, _, errs["get"] = c.Get(ctx, "k")
	_, _, errs["list"] = c.List(ctx, "k")
	_, errs["txn"] = c.Txn(ctx, put("k", "v", 0))
	_, errs["grant"] = c.Grant(ctx, time.Second)
	_, errs["keepalive"] = c.KeepAlive(ctx, 1)
	return errs
}

// TestUnknownOutcome guards against a write with an unknown outcome that is reported as not executed or as successful.
// Mutation that this test detects: in statusError.mayHaveExecuted, return false for every status 503.
func TestUnknownOutcome(t *testing.T) {
	respond := func(status int, body string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		})
	}
	cases := map[string]struct {
		handler         http.Handler
		mayHaveExecuted bool
	}{
		"connection closed": {http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), true},
		"request timed out": {respond(503, `{"code":14,"message":"etcdserver: request timed out"}`), true},
		"proxy error":       {respond(502, "bad gateway"), true},
		"redirect":          {respond(302, ""), true},
		"cut off":           {respond(200, `{"header":{"revision":"3"},"succ`), true},
		"cancelled":         {respond(499, `{"code":1}`), true},
		"no leader":         {respond(503, `{"code":14,"message":"etcdserver: no leader"}`), false},
		"rejected":          {respond(400, `{"code":3,"message":"etcdserver: duplicate key given in txn request"}`), false},
		"too many requests": {respond(429, `{"code":8,"message":"etcdserver: too many requests"}`), false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := newClient(t, tc.handler)
			for method, err := range callAll(t.Context(), c) {
				want := kv.ErrUnavailable
				if tc.mayHaveExecuted && method != "get" && method != "list" {
					want = kv.ErrOutcomeUnknown
				}
				must.ErrorIs(t, err, want, must.Sprint(method))
				must.True(t, want == kv.ErrOutcomeUnknown || !isUncertain(err), must.Sprint(method))
			}
		})
	}
	c := newClient(t, respond(200, "{}"))
	_, err := c.Txn(t.Context(), put("k", "v", 0))
	must.ErrorIs(t, err, kv.ErrOutcomeUnknown)
}

func isUncertain(err error) bool { return errors.Is(err, kv.ErrOutcomeUnknown) }

// TestLostResponseTookEffect checks that the simulated store executes a write whose response it loses.
func TestLostResponseTookEffect(t *testing.T) {
	c, mem := newStandin(t, nil)
	mem.SetFaults(kvtest.Faults{LostResponses: 1})
	_, err := c.Txn(t.Context(), put("k", "v", 0))
	must.ErrorIs(t, err, kv.ErrOutcomeUnknown)
	item, found, err := c.Get(t.Context(), "k")
	must.NoError(t, err)
	must.True(t, found)
	must.Eq(t, "v", string(item.Value))
}

// TestOutage guards against an outage that is reported as an unknown outcome or not at all.
func TestOutage(t *testing.T) {
	c, mem := newStandin(t, nil)
	mem.SetFaults(kvtest.Faults{Unavailable: true})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	unreachable, err := etcdjson.New([]string{"http://" + listener.Addr().String()})
	must.NoError(t, err)
	for _, client := range []*etcdjson.Client{c, unreachable} {
		errs := callAll(t.Context(), client)
		errs["watch"] = client.Watch(t.Context(), "k", 1, func(kv.WatchBatch) {})
		for method, err := range errs {
			must.ErrorIs(t, err, kv.ErrUnavailable, must.Sprint(method))
			must.False(t, isUncertain(err), must.Sprint(method))
		}
	}
}

// TestEndpointFailover guards against an unreachable endpoint that makes every new process fail, and against a write that is
// sent to a second endpoint although the first one may have executed it.
// Mutation that this test detects: in call, remove the case of a write that may have been executed.
func TestEndpointFailover(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	noLeader := httptest.NewServer(store.NewServer(newUnavailableMemory()).Handler())
	defer noLeader.Close()
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	for first, mayHaveExecuted := range map[string]bool{closed.URL: false, noLeader.URL: false, aborting.URL: true} {
		mem := kvtest.NewMemory(nil)
		live := httptest.NewServer(store.NewServer(mem).Handler())
		defer live.Close()
		write, err := etcdjson.New([]string{first, live.URL})
		must.NoError(t, err)
		_, err = write.Txn(t.Context(), put("k", "v", 0))
		must.Eq(t, mayHaveExecuted, isUncertain(err))
		must.Eq(t, !mayHaveExecuted, mem.Counters().Writes == 1)
		read, err := etcdjson.New([]string{first, live.URL})
		must.NoError(t, err)
		_, found, err := read.Get(t.Context(), "k")
		must.NoError(t, err)
		must.Eq(t, !mayHaveExecuted, found)
	}
}

func newUnavailableMemory() *kvtest.Memory {
	mem := kvtest.NewMemory(nil)
	mem.SetFaults(kvtest.Faults{Unavailable: true})
	return mem
}

// TestWriteIsSentOnce guards against a write that the HTTP transport replays when a reused connection breaks after the
// request.
// Mutation that this test detects: in send, keep GetBody for writes and set the header Idempotency-Key.
func TestWriteIsSentOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	var executed atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveThenClose(conn, &executed)
		}
	}()
	c, err := etcdjson.New([]string{"http://" + listener.Addr().String()})
	must.NoError(t, err)
	_, _, err = c.List(t.Context(), "k")
	must.NoError(t, err)
	_, err = c.Txn(t.Context(), put("k", "v", 0))
	must.ErrorIs(t, err, kv.ErrOutcomeUnknown)
	must.Eq(t, 1, executed.Load())
}

// serveThenClose responds to reads on a connection, and closes it without a response after it has read a transaction.
func serveThenClose(conn net.Conn, executed *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == etcdjson.PathTxn {
			executed.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n"+`{"header":{"revision":"1"}}`)
	}
}
