package proctest

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/oncerun"
)

// NewKey returns a new idempotency key.
func NewKey() string { return oncerun.NewKey(time.Now()).String() }

// HoldingProxy is a proxy between a daemon and the store. After Arm, it delays the response to the next transaction until
// Release is closed. For an order, this is the transaction that claims its idempotency key.
type HoldingProxy struct {
	server *httptest.Server
	armed  atomic.Bool
	// Held is closed when the store has executed the transaction and the proxy delays its response.
	Held chan struct{}
	// Release is closed by the test to let the response pass.
	Release chan struct{}
}

// NewHoldingProxy returns a proxy that is not armed.
func NewHoldingProxy() *HoldingProxy {
	return &HoldingProxy{Held: make(chan struct{}), Release: make(chan struct{})}
}

// Start starts the proxy for the endpoint and returns the endpoint of the proxy. If the endpoint is not a URL, it
// returns the endpoint itself.
func (p *HoldingProxy) Start(endpoint string) string {
	target, err := url.Parse(endpoint)
	if err != nil {
		return endpoint
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == etcdjson.PathTxn && p.armed.Load() {
			p.serveHeld(w, r, proxy)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return p.server.URL
}

// Arm makes the proxy hold the response to the next transaction.
func (p *HoldingProxy) Arm() { p.armed.Store(true) }

// Close closes the connections to the proxy. A held response must be released before.
func (p *HoldingProxy) Close() { p.server.CloseClientConnections() }

func (p *HoldingProxy) serveHeld(w http.ResponseWriter, r *http.Request, upstream http.Handler) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	upstream.ServeHTTP(recorder, r)
	if p.armed.CompareAndSwap(true, false) {
		close(p.Held)
		<-p.Release
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}
