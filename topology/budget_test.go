package topology

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/testseed"
)

const (
	// requestTime is the part of the time until a leaving replica gets no requests that is left for the way of a request from the
	// choice of the replica to the replica.
	requestTime = 300 * time.Millisecond
	// storeCallTime is the duration of a call to the store from another region, with one packet that is sent again.
	storeCallTime = 250 * time.Millisecond
)

// TestDetectionTimesAddUp guards against constants that together let a leaving replica get requests for too long: a follower's list was
// read just before the replica left, its reader answers nothing from then on, and the answer of the daemon that it asks next is lost. The
// table of docs/INVARIANTS.md has the same sum.
func TestDetectionTimesAddUp(t *testing.T) {
	for name, staleAfter := range map[string]time.Duration{"follower of the fleet reader": fleetStaleAfter, "follower of a data centre's reader": centreStaleAfter} {
		silentReader := staleAfter + pullTimeout
		lostAnswer := silentReader + pullTimeout
		ownRead := lostAnswer + storeCallTime
		must.LessEq(t, propagationLimit-requestTime, ownRead, must.Sprint(name))
		must.LessEq(t, staleAfter, minOwnReadInterval, must.Sprint(name, ": the next own read is due when the list becomes stale"))
	}
	must.Less(t, fleetStaleAfter, readInterval+storeCallTime, must.Sprint("a list does not become stale between two reads"))
}

// TestLeavingReplicasAreKnownInTime guards against followers that trust a reader for too long which answers nothing or answers with an old
// list, also if messages between daemons are lost: whenever a replica leaves, all other daemons know it in time.
func TestLeavingReplicasAreKnownInTime(t *testing.T) {
	const (
		step     = 400 * time.Millisecond
		lastTime = 6 * time.Second
	)
	for _, disruption := range disruptions {
		for _, lostEach := range []int64{0, 7} {
			t.Run(fmt.Sprintf("%s/%d", disruption.name, lostEach), func(t *testing.T) {
				for offset := time.Duration(0); offset < lastTime; offset += step {
					for _, holders := range [][]int{{0}, {1}, {0, 1}} {
						synctest.Test(t, func(t *testing.T) {
							f, all := startGapFleet(t)
							defer f.stopAll()
							f.storeDelay.Store(int64(daemonDelay))
							isDisrupted := make(map[*daemon]bool)
							for _, level := range holders {
								isDisrupted[holderOf(t, all, level)] = true
							}
							for d := range isDisrupted {
								defer disruption.begin(f, d)()
							}
							testseed.Sleep(offset)
							f.lostEach.Store(lostEach)
							defer f.lostEach.Store(0)
							f.removeServer(t, "r0")
							testseed.Sleep(propagationLimit - requestTime)
							for _, d := range all {
								must.True(t, isDisrupted[d] || d.knowsLeaving("r0"), must.Sprintf("%s, %v after the begin, roles %v", d.name, offset, holders))
							}
						})
					}
				}
			})
		}
	}
}

// TestNewRoleReadsStaleList guards against a daemon that takes over a role with a list that is stale already and waits before it reads the
// store itself: with silent contact addresses it knew of a leaving replica after 3,060 ms.
func TestNewRoleReadsStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		d := &daemon{name: "d0"}
		d.storeLink = &storeLink{Store: f.store, still: &d.still, fleet: f}
		f.addDaemon(d, d.storeLink, "c0", 0, nil)
		must.True(t, d.feed.readServers(t.Context(), fresh))
		must.Positive(t, d.feed.readOperatorKeys(t.Context(), fresh))
		testseed.Sleep(centreStaleAfter)
		f.removeServer(t, "r0")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.feed.follow(ctx, d.feed.roles[1])
		testseed.Sleep(100 * time.Millisecond)
		must.True(t, d.knowsLeaving("r0"))
	})
}
