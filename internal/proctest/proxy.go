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

// NewKey returns a fresh idempotency key.
func NewKey() string { return oncerun.NewKey(time.Now()).String() }

// HoldingProxy stands between a daemon and the store. After Arm, it holds the store's answer to the next claim.
type HoldingProxy struct {
	server *httptest.Server
	armed  atomic.Bool
	// Held is closed when the store has run the claim and its answer is held back.
	Held chan struct{}
	// Release lets the answer pass when it is closed.
	Release chan struct{}
}

// NewHoldingProxy returns a proxy that is not armed.
func NewHoldingProxy() *HoldingProxy {
	return &HoldingProxy{Held: make(chan struct{}), Release: make(chan struct{})}
}

// Start starts the proxy in front of the endpoint and returns its own.
func (p *HoldingProxy) Start(endpoint string) string {
	target, err := url.Parse(endpoint)
	if err != nil {
		return endpoint
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == etcdjson.PathTxn && p.armed.Load() {
			p.hold(w, r, proxy)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return p.server.URL
}

// Arm makes the proxy hold the next transaction's answer.
func (p *HoldingProxy) Arm() { p.armed.Store(true) }

// Close stops the proxy. Held answers must be released before.
func (p *HoldingProxy) Close() { p.server.CloseClientConnections() }

func (p *HoldingProxy) hold(w http.ResponseWriter, r *http.Request, proxy http.Handler) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	recorder := httptest.NewRecorder()
	proxy.ServeHTTP(recorder, r)
	if p.armed.CompareAndSwap(true, false) {
		close(p.Held)
		<-p.Release
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}
