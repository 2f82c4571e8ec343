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

// heard is a HealthSource and Learner over a real balancer.
type heard struct{ *balancer.Balancer }

func (heard) Learn(quarantine.Notice) {}

// deaf is a connection without another end.
type deaf struct{ net.PacketConn }

func (deaf) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }

func fuzzedFeed(t *testing.T) *Feed {
	self := Self{
		Node: "d1", DataCentre: "c", Address: "127.0.0.1:1", HealthAddress: "127.0.0.1:2",
		Distance: func(string) balancer.Distance { return balancer.SameDataCentre },
	}
	f := NewFeed(NewDirectory(), kvtest.NewMemory(nil), jsonDecoder{}, testKeys, self, nil, zap.NewNop())
	f.setReader(f.levels[0], self.Address, true)
	list := servers("a", "b")
	f.dir.SetServers(list, time.Now(), FromStore)
	return f
}

// FuzzDatagram guards the process against any datagram, and the balancer against a health that it cannot have.
func FuzzDatagram(f *testing.F) {
	f.Add([]byte(`{"n":"d2","w":[{"r":"a","s":3,"f":1,"p":150}]}`))
	f.Add([]byte(`{"n":"d2","w":[{"r":"a","s":1e308,"f":9223372036854775807,"p":9223372036854775807}],"c":[{}]}`))
	f.Add([]byte(`{"w":null,"h":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		feed := fuzzedFeed(t)
		b := balancer.New(1)
		now := time.Now()
		b.SetServers(servers("a", "b"), now)
		feed.takeDatagram(deaf{}, data, heard{b}, heard{b})
		for _, s := range b.Statuses(now) {
			must.Between(t, 0.4, s.Slowness, 21)
		}
		_, ok := b.Pick("s", balancer.Work{Kind: "k", Target: time.Second}, nil, now.Add(time.Minute))
		must.True(t, ok, must.Sprint("no message takes a replica away for good"))
	})
}

// FuzzPull guards the daemons that answer pulls against any body: it is answered, and the answer says what is wrong with it.
func FuzzPull(f *testing.F) {
	f.Add(`{"node":"d2","address":"x","scope":"c","wait_ms":0}`)
	f.Add(`{"node":"d2","generation":18446744073709551615,"confirmed":1,"version":-1}`)
	f.Add(`{`)
	f.Fuzz(func(t *testing.T, body string) {
		feed := fuzzedFeed(t)
		r := httptest.NewRequest(http.MethodPost, PathPull, strings.NewReader(body))
		// A pull that has nothing to wait for is answered at once; the others end with their caller.
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		rec := httptest.NewRecorder()
		feed.Handler().ServeHTTP(rec, r.WithContext(ctx))
		must.SliceContains(t, []int{http.StatusOK, http.StatusBadRequest, http.StatusConflict}, rec.Code)
	})
}
