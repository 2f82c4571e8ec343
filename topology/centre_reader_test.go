package topology

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/internal/testseed"
)

// readersOf returns the daemons that take themselves for the reader of their data centre.
func readersOf(daemons []*daemon) (readers []*daemon) {
	for _, d := range daemons {
		if _, isSelf := d.feed.CentreReader(); isSelf {
			readers = append(readers, d)
		}
	}
	return readers
}

// startCentre returns the daemons of a data centre of a fleet with another one, and the data centre's reader.
func startCentre(t *testing.T, f *fleet) (daemons []*daemon, reader *daemon) {
	f.delay = 2 * time.Millisecond
	daemons = []*daemon{f.start("d0", "c0"), f.start("d1", "c0"), f.start("d2", "c0"), f.start("d3", "c0")}
	f.start("d4", "c1")
	f.start("d5", "c1")
	testseed.Sleep(15 * time.Second)
	readers := readersOf(daemons)
	must.Len(t, 1, readers)
	return daemons, readers[0]
}

// TestCentreReaderOutlivesStoreOutage guards what a data centre's reader holds against an outage of the store, in which no claim can be
// renewed: it stays the reader, the others know it, and there is one afterwards.
func TestCentreReaderOutlivesStoreOutage(t *testing.T) {
	for _, state := range []linkState{linkRefusing, linkSilent} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			defer f.stopAll()
			daemons, reader := startCentre(t, f)
			f.available.Store(int32(state))
			for range 60 {
				testseed.Sleep(500 * time.Millisecond)
				must.Eq(t, []*daemon{reader}, readersOf(daemons))
				for _, d := range daemons {
					address, _ := d.feed.CentreReader()
					must.Eq(t, reader.feed.self.Address, address)
				}
			}
			f.available.Store(int32(linkUp))
			testseed.Sleep(10 * time.Second)
			must.Len(t, 1, readersOf(daemons), must.Sprint("a reader is elected after the outage"))
		})
	}
}

// TestIsolatedReaderGivesUp guards against two readers of a data centre: one that is cut off from the store and from the others is none once
// its claim has ended.
func TestIsolatedReaderGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		daemons, reader := startCentre(t, f)
		for _, link := range []*atomic.Int32{&reader.network, &reader.outgoing, &reader.storeLink.link} {
			link.Store(int32(linkSilent))
		}
		testseed.Sleep(claimTTL + renewInterval + storeTimeout)
		for range 40 {
			_, isSelf := reader.feed.CentreReader()
			must.False(t, isSelf)
			must.LessEq(t, 1, len(readersOf(daemons)))
			testseed.Sleep(500 * time.Millisecond)
		}
		must.Len(t, 1, readersOf(daemons))
		reader.network.Store(int32(linkUp))
		reader.outgoing.Store(int32(linkUp))
		reader.storeLink.link.Store(int32(linkUp))
		testseed.Sleep(10 * time.Second)
		must.Len(t, 1, readersOf(daemons))
	})
}
