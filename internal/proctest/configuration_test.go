package proctest_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/entry"
	"github.com/chivemill/chivemill/internal/proctest"
	"github.com/chivemill/chivemill/internal/standin/store"
)

// forceBound is the time within which an accepted change is in force on every daemon.
const forceBound = 11 * time.Second

const profileName = "test"

// monitor polls the status of daemons and records the first step back of a profile's revision.
type monitor struct {
	fleet *proctest.Fleet
	stop  chan struct{}
	wg    sync.WaitGroup

	mu    sync.Mutex
	polls map[string]int
	fault string
}

func newMonitor(f *proctest.Fleet) *monitor {
	return &monitor{fleet: f, stop: make(chan struct{}), polls: make(map[string]int)}
}

// watch polls one daemon until the monitor is closed. A daemon that does not answer is polled again.
func (m *monitor) watch(e proctest.Member) {
	m.wg.Go(func() {
		highest := make(map[string]int64)
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if s, err := m.fleet.Status(e); err == nil {
				m.check(e, s, highest)
			}
		}
	})
}

func (m *monitor) check(e proctest.Member, s entry.Status, highest map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polls[e.Name]++
	for name := range highest {
		if s.Profiles[name] < highest[name] {
			m.fault = fmt.Sprintf("%s: %s went from revision %d to %d", e.Name, name, highest[name], s.Profiles[name])
		}
	}
	for name, revision := range s.Profiles {
		highest[name] = revision
	}
}

// close ends the polls and returns the number of them for each daemon, and the first step back or "".
func (m *monitor) close() (map[string]int, string) {
	close(m.stop)
	m.wg.Wait()
	return m.polls, m.fault
}

func documentWithShare(share int) string {
	return fmt.Sprintf("%sshare: %d\n", proctest.ProfileDocument, share)
}

// applyConcurrently lets two operators change the profile on the same base. It returns the accepted revision.
func applyConcurrently(t *testing.T, f *proctest.Fleet, shares [2]int) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	revisions, errs := make([]int64, 2), make([]error, 2)
	base := stored(ctx, t, f)
	var wg sync.WaitGroup
	for i := range 2 {
		client, closeClient, err := f.Operator(fmt.Sprint("operator-", i))
		must.NoError(t, err)
		defer closeClient()
		wg.Go(func() { revisions[i], errs[i] = client.Apply(ctx, profileName, documentWithShare(shares[i]), base) })
	}
	wg.Wait()
	winner := 0
	if errs[0] != nil {
		winner = 1
	}
	must.NoError(t, errs[winner])
	var conflict *confstore.ConflictError
	must.True(t, errors.As(errs[1-winner], &conflict), must.Sprint(errs))
	must.Eq(t, revisions[winner], stored(ctx, t, f))
	return revisions[winner]
}

// stored returns the profile's revision in the store.
func stored(ctx context.Context, t *testing.T, f *proctest.Fleet) int64 {
	t.Helper()
	client, closeClient, err := f.Operator("reader")
	must.NoError(t, err)
	defer closeClient()
	p, err := client.Get(ctx, profileName)
	must.NoError(t, err)
	return p.Revision
}

func apply(t *testing.T, f *proctest.Fleet, share int) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	client, closeClient, err := f.Operator("operator")
	must.NoError(t, err)
	defer closeClient()
	revision, err := client.Apply(ctx, profileName, documentWithShare(share), stored(ctx, t, f))
	must.NoError(t, err)
	return revision
}

// requireInForce requires that the revision is in force on the daemons within the bound.
func requireInForce(t *testing.T, f *proctest.Fleet, revision int64, daemons ...proctest.Member) {
	t.Helper()
	must.NoError(t, proctest.Until(forceBound, func() bool {
		for _, e := range daemons {
			s, err := f.Status(e)
			if err != nil || s.Profiles[profileName] != revision {
				return false
			}
		}
		return true
	}))
}

// requireHonest requires that a daemon which was paused shows the revision in the end, and until then never calls an
// older one fresh.
func requireHonest(t *testing.T, f *proctest.Fleet, e proctest.Member, revision int64) {
	t.Helper()
	must.NoError(t, proctest.Until(forceBound, func() bool {
		s, err := f.Status(e)
		must.NoError(t, err)
		if s.Profiles[profileName] == revision {
			return true
		}
		must.NotEq(t, "fresh", s.Configuration)
		return false
	}))
}

// Guards against a configuration that is lost, reverts or is late: two operators change one profile at the same
// moment, a daemon starts while the store is down, the store returns, and a daemon is paused for longer than the
// bound. No daemon shows a lower revision at any time.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	f := start(t, proctest.Options{Orders: 1, Entries: 4, Later: 1})
	m := newMonitor(f)
	for _, e := range f.Entries {
		m.watch(e)
	}
	requireInForce(t, f, applyConcurrently(t, f, [2]int{2, 3}), f.Entries...)
	newest := applyConcurrently(t, f, [2]int{4, 5})
	requireInForce(t, f, newest, f.Entries...)

	must.NoError(t, f.SetStoreFaults(store.FaultsBody{Down: true}))
	late, err := f.StartLater()
	must.NoError(t, err)
	m.watch(late)
	must.NoError(t, proctest.Until(waitLimit, func() bool { return f.Ready(late) }))
	s, err := f.Status(late)
	must.NoError(t, err)
	must.Eq(t, newest, s.Profiles[profileName])
	must.Eq(t, profileName, s.Bindings[proctest.OrderService])

	must.NoError(t, f.SetStoreFaults(store.FaultsBody{}))
	requireInForce(t, f, apply(t, f, 6), f.Entries...)

	paused := f.Entries[1]
	must.NoError(t, paused.Pause(waitLimit))
	longPause := passed(forceBound + time.Second)
	newest = apply(t, f, 7)
	requireInForce(t, f, newest, f.Entries[0], f.Entries[2], f.Entries[3], late)
	must.NoError(t, proctest.Until(2*waitLimit, longPause))
	must.NoError(t, paused.Continue())
	requireHonest(t, f, paused, newest)
	polls, fault := m.close()
	must.Eq(t, "", fault)
	for _, e := range f.Entries {
		must.Positive(t, polls[e.Name])
	}
}
