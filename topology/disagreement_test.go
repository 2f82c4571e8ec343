package topology

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

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
