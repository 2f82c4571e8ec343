package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/peer"
	"github.com/chivemill/chivemill/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const prefix = "/chivemill/config/"

// serve runs a server on a loopback port until the test ends.
func serve(t *testing.T, config peer.ConfigHandler, forward peer.Forwarder) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s, err := peer.NewServer(config, forward, zap.NewNop())
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return l.Addr().String()
}

func client(t *testing.T, id string) *peer.Client {
	c := peer.NewClient(id)
	t.Cleanup(func() { must.NoError(t, c.Close()) })
	return c
}

type members []confsync.Member

func (m members) Live() []confsync.Member { return m }

// noBroadcast loses all notices, so that only digest comparison carries changes.
type noBroadcast struct{}

func (noBroadcast) Broadcast([]byte) {}

// handler lets a server start before its runner.
type handler struct {
	atomic.Pointer[confsync.Runner]
}

func (h *handler) Serve(from string, req confsync.Request) confsync.Response {
	return h.Load().Serve(from, req)
}

// TestConfigOverLoopback guards against a field that is lost on the wire: items, tombstones, digests and
// confirmations pass between three daemons over TCP, of which only some read the store.
func TestConfigOverLoopback(t *testing.T) {
	store := kvtest.NewMemory(nil)
	put := func(key, value string) {
		_, err := store.Txn(t.Context(), kv.Txn{Puts: []kv.Put{{Key: prefix + key, Value: []byte(value)}}})
		must.NoError(t, err)
	}
	put("profiles/a", "one")
	put("profiles/b", "two")
	var all members
	handlers := make([]*handler, 5)
	for i, id := range []string{"a", "b", "c", "d", "e"} {
		handlers[i] = &handler{}
		all = append(all, confsync.Member{ID: id, Address: serve(t, handlers[i], nil), DataCentre: "dc"})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i, m := range all {
		cfg := confsync.Config{Self: m, Prefix: prefix, Seed: uint64(i)}
		r := confsync.NewRunner(cfg, store, all, noBroadcast{}, client(t, m.ID), zap.NewNop())
		handlers[i].Store(r)
	}
	for _, h := range handlers {
		wg.Go(func() { h.Load().Run(ctx) })
	}
	until(t, func() bool { return everywhere(handlers, "profiles/b", "two") })
	put("profiles/a", "three")
	_, err := store.Txn(t.Context(), kv.Txn{Deletes: []string{prefix + "profiles/b"}})
	must.NoError(t, err)
	until(t, func() bool {
		return everywhere(handlers, "profiles/a", "three") && everywhere(handlers, "profiles/b", "")
	})
	must.Less(t, 5, store.Counters().Watches)
}

// everywhere reports whether all daemons are fresh and have the value; an empty one means no key.
func everywhere(handlers []*handler, key, value string) bool {
	for _, h := range handlers {
		item, ok := h.Load().Replica().Get(prefix + key)
		if ok != (value != "") || string(item.Value) != value || h.Load().Status().State != confsync.Fresh {
			return false
		}
	}
	return true
}

// until polls for at most a minute, which a busy machine does not exceed.
func until(t *testing.T, ok func() bool) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(time.Minute)
	for !ok() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatal("not reached within a minute")
		}
	}
}

// owners has one peer for all replicas.
type owners struct {
	direct bool
	peers  []relay.Peer
}

func (o owners) Direct(string) bool         { return o.direct }
func (o owners) Owners(string) []relay.Peer { return o.peers }

// replica answers sub-requests; the query "wait" is held until its context ends.
type replica struct {
	runs, cancelled atomic.Int64
}

func (r *replica) Send(ctx context.Context, id string, s backend.Sub) (backend.SubAnswer, error) {
	r.runs.Add(1)
	switch s.Query {
	case "wait":
		<-ctx.Done()
		r.cancelled.Add(1)
		return backend.SubAnswer{}, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
	case "refuse":
		return backend.SubAnswer{}, &backend.Error{
			Failure: backend.Refused, Refusal: backend.Refusal{Reason: backend.RefusedDraining, Replica: id},
		}
	}
	return backend.SubAnswer{
		Request: s.Request, Attempt: s.Attempt, Version: s.Version, Shard: s.Shard, Output: s.Query, End: s.Attempt,
	}, nil
}

// TestForwardOverLoopback guards against answers that reach another attempt, a refusal that loses its reason, and a
// cancellation or deadline that does not reach the second daemon.
func TestForwardOverLoopback(t *testing.T) {
	far := &replica{}
	address := serve(t, nil, relay.NewLocal(owners{direct: true}, far))
	to := []relay.Peer{{ID: "far", Address: address}}
	router := relay.NewRouter(owners{peers: to}, nil, client(t, "near"))
	defer router.Close()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			id, _ := json.Marshal(i)
			sub := backend.Sub{Request: "r" + string(id), Attempt: "1", Shard: "s", Query: string(id)}
			got, err := router.Send(t.Context(), "x", sub)
			must.NoError(t, err)
			must.Eq(t, string(id), got.Output)
		})
	}
	wg.Wait()
	_, err := router.Send(t.Context(), "x", backend.Sub{Request: "r", Attempt: "1", Query: "refuse"})
	must.Eq(t, backend.Refused, backend.FailureOf(err))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = router.Send(ctx, "x", backend.Sub{Request: "r", Attempt: "2", Query: "wait"})
	must.Error(t, err)
	testCancelOne(t, router, far)
	ctx, cancel = context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = router.Send(ctx, "x", backend.Sub{Request: "r", Attempt: "3", Query: "wait"})
	must.Eq(t, backend.TimedOut, backend.FailureOf(err))
	until(t, func() bool { return far.cancelled.Load() == far.runs.Load()-201 })
}

// testCancelOne sends two sub-requests in one batch, of which one caller leaves while the other still waits.
func testCancelOne(t *testing.T, router *relay.Router, far *replica) {
	until(t, func() bool { return far.cancelled.Load() == far.runs.Load()-201 })
	before := far.cancelled.Load()
	staying, release := context.WithCancel(t.Context())
	leaving, leave := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, ctx := range []context.Context{staying, leaving} {
		wg.Go(func() {
			_, err := router.Send(ctx, "x", backend.Sub{Request: "r", Attempt: string(rune('a' + i)), Query: "wait"})
			must.Error(t, err)
		})
	}
	until(t, func() bool { return far.runs.Load() == 201+before+2 })
	leave()
	until(t, func() bool { return far.cancelled.Load() == before+1 })
	must.NoError(t, staying.Err())
	release()
	wg.Wait()
	until(t, func() bool { return far.cancelled.Load() == before+2 })
}

// TestDeadPeerDoesNotDelayOthers guards against a peer that accepts and never answers holding up calls to others.
func TestDeadPeerDoesNotDelayOthers(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer silent.Close()
	store := kvtest.NewMemory(nil)
	h := &handler{}
	self := confsync.Member{ID: "b"}
	h.Store(confsync.NewRunner(confsync.Config{Self: self, Prefix: prefix}, store, members{}, noBroadcast{}, nil, zap.NewNop()))
	good := confsync.Member{ID: "b", Address: serve(t, h, nil)}
	c := client(t, "a")
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			_, err := c.Call(ctx, confsync.Member{ID: "s", Address: silent.Addr().String()}, confsync.CompareRequest{})
			must.Error(t, err)
		})
	}
	for range 100 {
		_, err := c.Call(t.Context(), good, confsync.CompareRequest{})
		must.NoError(t, err)
	}
	cancel()
	wg.Wait()
}
