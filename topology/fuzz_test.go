package topology

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/quarantine"
)

// healthRecorder is a HealthSource and NoticeHandler that is backed by a real balancer.
type healthRecorder struct{ *balancer.Balancer }

func (healthRecorder) Notices() []quarantine.Notice { return nil }

func (healthRecorder) AddRemoteNotice(quarantine.Notice) {}

func (healthRecorder) AddRemoteObservations([]quarantine.Observation) {}

// discardConn is a connection that discards all datagrams.
type discardConn struct{ net.PacketConn }

func (discardConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

// newReaderFeed returns a feed with two replicas whose daemon is the reader of its data centre.
func newReaderFeed(t *testing.T) *Feed {
	self := Self{
		Node: "d1", DataCentre: "c", Address: "127.0.0.1:1", HealthAddress: "127.0.0.1:2",
		Distance: func(string) balancer.Distance { return balancer.SameDataCentre },
	}
	f := NewFeed(NewDirectory(), kvtest.NewMemory(nil), jsonDecoder{}, testKeys, self, nil, zap.NewNop())
	f.setReader(f.roles[0], self.Address, true)
	list := servers("a", "b")
	f.dir.SetServers(List{Servers: list, ReadAt: time.Now()})
	return f
}

// FuzzDatagram guards against datagrams that terminate the process or set health values out of range in the balancer.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte(`{"n":"d2","w":[{"r":"a","s":3,"f":1,"p":150}]}`))
	f.Add([]byte(`{"n":"d2","w":[{"r":"a","s":1e308,"f":9223372036854775807,"p":9223372036854775807}],"c":[{}]}`))
	f.Add([]byte(`{"w":null,"h":-1}`))
	f.Add([]byte(`{"n":"d2","l":[{"r":"a","q":1e-300},{"r":"b","q":1e308},{"r":"a","q":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		feed := newReaderFeed(t)
		b := balancer.New(1)
		now := time.Now()
		b.SetServers(servers("a", "b"), now)
		feed.SetNoticeHandler(healthRecorder{b})
		feed.handleDatagram(discardConn{}, data, healthRecorder{b})
		for _, s := range b.Statuses(now) {
			must.Between(t, 0.4, s.Slowness, 21)
		}
		_, ok := b.Pick("s", balancer.RequestClass{Kind: "k", TargetLatency: time.Second}, nil, now.Add(time.Minute))
		must.True(t, ok, must.Sprint("no message excludes a replica permanently"))
	})
}

// FuzzPull guards against pulls with an arbitrary body that the handler fails to answer with an expected status.
func FuzzPull(f *testing.F) {
	f.Add(`{"node":"d2","address":"x","scope":"c","wait_ms":0}`)
	f.Add(`{"node":"d2","generation":18446744073709551615,"confirmed":1,"version":-1}`)
	f.Add(`{`)
	f.Fuzz(func(t *testing.T, body string) {
		feed := newReaderFeed(t)
		r := httptest.NewRequest(http.MethodPost, PathPull, strings.NewReader(body))
		// A pull with an available update is answered immediately; the others end with the context of the request.
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		rec := httptest.NewRecorder()
		feed.Handler().ServeHTTP(rec, r.WithContext(ctx))
		must.SliceContains(t, []int{http.StatusOK, http.StatusBadRequest, http.StatusConflict}, rec.Code)
	})
}
