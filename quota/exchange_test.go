package quota

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/chivemill/chivemill/account"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/routing"
	"github.com/chivemill/chivemill/topology"
)

type fixedReader struct {
	address string
	isSelf  bool
}

func (r fixedReader) CentreReader() (string, bool) { return r.address, r.isSelf }

// startExchanges returns exchanges on loopback addresses, one in each data centre with the pool there, and a last one without a pool in the
// data centre of the first, with their log lines.
func startExchanges(t *testing.T, accounts []account.Account, centres int) ([]*Exchange, *observer.ObservedLogs) {
	socket, err := net.ListenPacket("udp4", "127.8.0.1:0")
	must.NoError(t, err)
	port := socket.LocalAddr().(*net.UDPAddr).Port
	must.NoError(t, socket.Close())
	host := func(i int) string { return fmt.Sprintf("127.8.0.%d", i+1) }
	described := make(map[string]topology.DataCentre)
	for i := range centres {
		described[fmt.Sprint("c", i)] = topology.DataCentre{Daemons: 1, Reader: host(i) + ":1"}
	}
	described["c0"] = topology.DataCentre{Daemons: 2, Reader: host(0) + ":1"}
	core, logs := observer.New(zap.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	var all []*Exchange
	for i := range centres + 1 {
		directory := topology.NewDirectory()
		_, err := directory.SetConfig(routing.Config{Version: 1, Accounts: accounts})
		must.NoError(t, err)
		directory.SetDataCentres(described)
		centre, reader := fmt.Sprint("c", i), fixedReader{host(i) + ":1", true}
		if i == centres {
			centre, reader = "c0", fixedReader{host(0) + ":1", false}
		}
		e, err := NewExchange(Options{Bounds: deployedBounds, Node: fmt.Sprint("n", i), DataCentre: centre, Address: fmt.Sprintf("%s:%d", host(i), port),
			Distance: func(string) int { return 1 }}, directory, reader, noop.Meter{}, zap.New(core))
		must.NoError(t, err)
		wg.Go(func() { e.Run(ctx) })
		all = append(all, e)
	}
	for _, e := range all {
		for begin := time.Now(); ; time.Sleep(time.Millisecond) {
			e.mu.Lock()
			isReady := e.conn != nil && e.applied.version > 0
			e.mu.Unlock()
			if isReady {
				break
			}
			must.Less(t, 10*time.Second, time.Since(begin), must.Sprint("the socket is not open"))
		}
	}
	return all, logs
}

func (e *Exchange) datagramsSent() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.datagrams.sent
}

// TestPermitsOverSockets guards the exchange of datagrams: a daemon without a pool gets the permits of its data centre's pool, tokens of the
// other pools too, and is refused with a time once they are used up. Concurrent requests must not get more.
func TestPermitsOverSockets(t *testing.T) {
	a := account.Account{Name: "one", RatePerS: 0.01, Burst: 10}
	all, logs := startExchanges(t, []account.Account{a}, 3)
	asking := all[len(all)-1]
	var admitted, refused atomic.Int64
	var wg sync.WaitGroup
	for range 60 {
		wg.Go(func() {
			if _, retryAfter, ok := asking.Acquire(t.Context(), &a); ok {
				admitted.Add(1)
			} else {
				must.Positive(t, retryAfter)
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	// A pool starts with one token. Pools that answer late on a busy machine leave the local allowance, which is at most 3 here.
	t.Logf("admitted %d, refused %d", admitted.Load(), refused.Load())
	must.Positive(t, admitted.Load())
	must.LessEq(t, 6, admitted.Load())
	must.Positive(t, asking.datagramsSent())
	must.Positive(t, logs.FilterMessage(eventlog.AccountRefused).Len())
	must.LessEq(t, len(all), logs.FilterMessage(eventlog.AccountRefused).Len())
}

// TestNoQuotaNoMessages guards daemons without quotas against messages and waits: requests of accounts without a quota, or of none, are
// admitted at once.
func TestNoQuotaNoMessages(t *testing.T) {
	accounts := []account.Account{{Name: "one"}}
	all, _ := startExchanges(t, accounts, 2)
	for _, e := range all {
		for range 100 {
			permit, _, ok := e.Acquire(t.Context(), &accounts[0])
			must.True(t, ok)
			permit.Return()
			_, _, ok = e.Acquire(t.Context(), nil)
			must.True(t, ok)
		}
	}
	for _, e := range all {
		must.Eq(t, 0, e.datagramsSent())
	}
}

// TestLeavingCallerFreesItsPermit guards accounts against permits that are lost with callers that leave while they wait.
func TestLeavingCallerFreesItsPermit(t *testing.T) {
	a := account.Account{Name: "one", RatePerS: 0.01, Burst: 10}
	all, _ := startExchanges(t, []account.Account{a}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 5 {
		all[1].Acquire(ctx, &a)
	}
	for _, e := range all {
		e.mu.Lock()
		must.MapEmpty(t, e.waiting)
		must.MapEmpty(t, e.early)
		e.mu.Unlock()
	}
}

// TestInvalidDatagrams guards the process against datagrams that no daemon has sent.
func TestInvalidDatagrams(t *testing.T) {
	all, _ := startExchanges(t, []account.Account{{Name: "one", RatePerS: 1}}, 1)
	for _, data := range []string{``, `{`, `[]`, `{"a":[{"n":-5,"a":"one"},{"n":1e9,"a":"one"}]}`, `{"a":[{"a":"other","n":1}]}`,
		`{"g":[{"s":1,"r":"g","n":1000000}]}`, `{"p":[{"a":"one","n":-1e300,"x":-1}]}`, `{"t":[{"s":0,"n":1e300}]}`} {
		for _, e := range all {
			e.handleDatagram("127.8.0.9", []byte(data))
		}
	}
	now := time.Now()
	all[0].mu.Lock()
	defer all[0].mu.Unlock()
	b := all[0].node.pool.bucketFor("one", now)
	must.GreaterEq(t, 0, b.available())
	must.LessEq(t, 3, b.available())
}
