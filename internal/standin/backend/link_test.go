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

// Guards against measurements in which a link, a new connection or a slot that is held during the answer's way back
// costs another time than the settings state.
func TestLinkDelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := Default()
		set.Replica, set.ConnectionCost = "r", strictyaml.Duration(6*time.Millisecond)
		set.Delays = map[string]strictyaml.Duration{"far": strictyaml.Duration(12 * time.Millisecond)}
		network := memnet.New()
		listener := network.Listen("r:80")
		server := NewServer(set, 1, func() {}).HTTPServer()
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

// peer is a connection from the given host.
type peer struct {
	net.Conn
	host string
}

func (p peer) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(p.host), Port: 1} }

// Guards against a peak of connections that misses a moment or counts the connections of the measurement.
func TestConnectionPeakAndLateWork(t *testing.T) {
	set := Default()
	set.ControlHost, set.Report = "127.0.0.2", filepath.Join(t.TempDir(), "report")
	s := NewServer(set, 1, func() {})
	for _, c := range []peer{{host: "127.0.0.1"}, {host: "127.0.0.1"}, {host: "127.0.0.2"}} {
		s.connectionChanged(c, http.StateNew)
		s.connectionChanged(c, http.StateActive)
	}
	s.connectionChanged(peer{host: "127.0.0.1"}, http.StateClosed)
	s.countLateWork(400 * time.Millisecond)
	s.countLateWork(2500 * time.Millisecond)
	want := Counters{LastWorkAfterDrainMS: 2500, WorkAfterDrain: []int{1, 0, 1}, Connections: 1, PeakConnections: 2}
	s.abandon(StageQueue)
	want.Abandoned = map[Stage]int{StageQueue: 1}
	must.NoError(t, s.WriteReport())
	data, err := os.ReadFile(set.Report)
	must.NoError(t, err)
	var got Counters
	must.NoError(t, json.Unmarshal(data, &got))
	must.Eq(t, want, got)
	s.Apply(Control{ResetPeak: true})
	must.Eq(t, 1, s.Counters().PeakConnections)
}
