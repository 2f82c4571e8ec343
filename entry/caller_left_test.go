package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// oneReplica is a picker of a single replica and sends to it with a client.
type oneReplica struct{ client *backend.Client }

func (oneReplica) Pick(_ string, _ snapshot.Version, _ string, exclude []string) (scatter.Target, bool) {
	return scatter.Target{ID: "r0", Done: func(time.Duration, error) {}}, len(exclude) == 0
}

func (o oneReplica) Send(ctx context.Context, _ string, sub backend.SubRequest) (backend.SubResponse, error) {
	return o.client.Send(ctx, sub)
}

// TestRequestIsNotSentAfterCallerLeft guards against a non-idempotent request that reaches a backend server although its caller left
// while the connection was being opened. It counts as not executed, and its key can be used again.
func TestRequestIsNotSentAfterCallerLeft(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	dialing, connected := make(chan struct{}), make(chan struct{})
	client := backend.NewClientWithDial(server.Listener.Addr().String(), 4, func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialing)
		<-connected
		return (&net.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
	})
	defer client.Close()
	store := kvtest.NewMemory(nil)
	guard := quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, nil, nil)
	runner := &nonIdempotentRunner{runner: oncerun.NewRunner(store, oncerun.Options{}), guard: guard, picker: oneReplica{client}, sender: oneReplica{client}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	caller, leave := context.WithCancel(ctx)
	key := oncerun.NewKey(time.Now())
	results := make(chan error, 1)
	go func() {
		_, err := runner.run(caller, "r", api.Query{Service: "orders", Query: "plate"}, key)
		results <- err
	}()
	<-dialing
	leave()
	// The caller is gone before the connection is open.
	<-time.After(50 * time.Millisecond)
	close(connected)
	must.Eq(t, api.RunNever, api.KindOf(<-results).Outcome().Run)
	must.Eq(t, 0, received.Load())
	runner.runner.Close()
	_, err := runner.runner.Claim(ctx, key, oncerun.Fingerprint("orders", "plate"))
	must.NoError(t, err)
}
