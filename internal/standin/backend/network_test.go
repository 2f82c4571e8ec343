package backend

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/memnet"
	"github.com/chivemill/chivemill/internal/strictyaml"
)

// Guards against simulated delays that differ from the settings: the one-way delay of a request and of its answer, and
// the setup of a new connection.
func TestNetworkDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Default()
		cfg.Replica, cfg.ConnectionCost = "r", strictyaml.Duration(6*time.Millisecond)
		cfg.NetworkDelays = map[string]strictyaml.Duration{"far": strictyaml.Duration(12 * time.Millisecond)}
		network := memnet.New()
		listener := network.Listen("r:80")
		server := NewServer(cfg, 1, func() {}).HTTPServer()
		go func() { _ = server.Serve(listener) }()
		client := &http.Client{Transport: &http.Transport{DialContext: network.Dial}}
		call := func(dataCentre string) time.Duration {
			req, err := http.NewRequest(http.MethodGet, "http://r:80"+backend.PathLoad, nil)
			must.NoError(t, err)
			req.Header.Set(backend.HeaderDataCentre, dataCentre)
			begin := time.Now()
			resp, err := client.Do(req)
			must.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			return time.Since(begin)
		}
		must.Eq(t, 6*time.Millisecond+4*12*time.Millisecond, call("far"))
		must.Eq(t, 2*12*time.Millisecond, call("far"))
		must.Eq(t, 0, call("near"))
		client.CloseIdleConnections()
		must.NoError(t, server.Close())
		synctest.Wait()
	})
}

// fakeConn is a connection from the given host.
type fakeConn struct {
	net.Conn
	host string
}

func (c fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.host), Port: 1} }

// Guards against wrong counters: a peak of open connections that is missed or that includes the connections from
// ControlHost, and sub-requests after the start of draining that are not counted in their second.
func TestPeakConnectionsAndWorkAfterDrain(t *testing.T) {
	cfg := Default()
	cfg.ControlHost, cfg.Report = "127.0.0.2", filepath.Join(t.TempDir(), "report")
	s := NewServer(cfg, 1, func() {})
	for _, c := range []fakeConn{{host: "127.0.0.1"}, {host: "127.0.0.1"}, {host: "127.0.0.2"}} {
		s.trackConnection(c, http.StateNew)
		s.trackConnection(c, http.StateActive)
	}
	s.trackConnection(fakeConn{host: "127.0.0.1"}, http.StateClosed)
	s.countWorkAfterDrain(400 * time.Millisecond)
	s.countWorkAfterDrain(2500 * time.Millisecond)
	want := Counters{LastWorkAfterDrainMS: 2500, WorkAfterDrain: []int{1, 0, 1}, Connections: 1, PeakConnections: 2}
	s.countAbandoned(StageQueue)
	want.Abandoned = map[Stage]int{StageQueue: 1}
	must.NoError(t, s.WriteReport())
	data, err := os.ReadFile(cfg.Report)
	must.NoError(t, err)
	var got Counters
	must.NoError(t, json.Unmarshal(data, &got))
	must.Eq(t, want, got)
	s.ApplyControl(Control{ResetPeak: true})
	must.Eq(t, 1, s.Counters().PeakConnections)
}
