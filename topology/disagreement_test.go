package topology

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/internal/testseed"
)

// TestFollowersRejectKeptReplica guards against departed replicas that come back on daemons that had removed them: the reader cannot ask
// anybody after a gap, keeps them as after an outage, and its followers take its list as the newer one. What they know reaches the reader.
func TestFollowersRejectKeptReplica(t *testing.T) {
	for _, level := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			f, all := startGapFleet(t)
			defer f.stopAll()
			reader := holderOf(t, all, level)
			restore := setLinks(linkSilent, &reader.storeLink.link, &reader.outgoing)
			testseed.Sleep(500 * time.Millisecond)
			f.removeServer(t, "r0")
			removedAt := time.Now()
			testseed.Sleep(2500 * time.Millisecond)
			reader.storeLink.link.Store(int32(linkUp))
			time.AfterFunc(5*time.Second, restore)
			hasRemoved := make(map[*daemon]bool)
			failure := watchViews(all, 8*time.Second, func(d *daemon) string {
				leaves := d.knowsLeaving("r0")
				switch {
				case d == reader:
					return ""
				case hasRemoved[d] && !leaves:
					return fmt.Sprintf("the replica is back %v after it left", time.Since(removedAt))
				case !leaves && time.Since(removedAt) > propagationLimit:
					return fmt.Sprintf("the replica is in use %v after it left", time.Since(removedAt))
				}
				hasRemoved[d] = leaves
				return ""
			})
			must.Eq(t, "", failure, must.Sprint("level ", level))
			must.True(t, reader.knowsLeaving("r0"), must.Sprint("the reader has learned it, level ", level))
		})
	}
}

// TestSuspendedReaderReplacesNoList guards against departed replicas that come back with an older list of a reader that was suspended with
// its clock: the age that it states does not include that time.
func TestSuspendedReaderReplacesNoList(t *testing.T) {
	f := newFleet(t)
	d := &daemon{name: "d0"}
	f.addDaemon(d, f.store, "c0", 0, nil)
	older, olderRevision, err := f.store.List(t.Context(), testKeys.Servers)
	must.NoError(t, err)
	must.Len(t, 6, older)
	f.removeServer(t, "r0")
	must.True(t, d.feed.readServers(t.Context(), fresh))
	suspended := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"source":"d1/x","generation":1,"confirmed":1,"whole":true,"age_ms":0,"held_ms":0,"revision":%d,
			"servers":[{"ID":"r0","Service":"s","Address":"10.0.0.1:1"}]}`, olderRevision)
	}))
	defer suspended.Close()
	d.feed.peers.http.Transport = http.DefaultTransport
	must.NoError(t, d.feed.pull(t.Context(), strings.TrimPrefix(suspended.URL, "http://"), "", 0))
	must.True(t, d.knowsLeaving("r0"))
	view, _ := d.dir.View()
	must.Len(t, 5, view.Servers)
	must.Eq(t, balancer.Ready, view.Servers[0].State)
}
