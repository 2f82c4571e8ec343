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

// inForceTimeout is the time within which an accepted change must be in force on every daemon.
const inForceTimeout = 11 * time.Second

const profileName = "test"

// revisionMonitor polls the status of daemons and records when the revision of a profile decreases.
type revisionMonitor struct {
	fleet *proctest.Fleet
	stop  chan struct{}
	wg    sync.WaitGroup

	mu       sync.Mutex
	polls    map[string]int
	decrease string
}

func newRevisionMonitor(f *proctest.Fleet) *revisionMonitor {
	return &revisionMonitor{fleet: f, stop: make(chan struct{}), polls: make(map[string]int)}
}

// poll polls one daemon in the background until the monitor is closed. It ignores polls that fail.
func (m *revisionMonitor) poll(e proctest.ServerProcess) {
	m.wg.Go(func() {
		latest := make(map[string]int64)
		for {
			select {
			case <-m.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			if s, err := m.fleet.Status(e); err == nil {
				m.record(e, s, latest)
			}
		}
	})
}

// record counts a poll and compares the revisions with the latest ones of the daemon, which it updates.
func (m *revisionMonitor) record(e proctest.ServerProcess, s entry.Status, latest map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.polls[e.Name]++
	for name := range latest {
		if s.Profiles[name] < latest[name] {
			m.decrease = fmt.Sprintf("%s: profile %s went back from revision %d to %d", e.Name, name, latest[name], s.Profiles[name])
		}
	}
	for name, revision := range s.Profiles {
		latest[name] = revision
	}
}

// close stops polling. It returns the number of polls by daemon, and a description of a decrease or "".
func (m *revisionMonitor) close() (map[string]int, string) {
	close(m.stop)
	m.wg.Wait()
	return m.polls, m.decrease
}

func documentWithShare(share int) string {
	return fmt.Sprintf("%sshare: %d\n", proctest.ProfileDocument, share)
}

// applyConcurrently lets two operators change the profile at the same time, based on the same revision. It requires
// that exactly one change is accepted and the other one fails with a conflict, and returns the accepted revision.
func applyConcurrently(t *testing.T, f *proctest.Fleet, shares [2]int) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	revisions, errs := make([]int64, 2), make([]error, 2)
	base := storedRevision(ctx, t, f)
	var wg sync.WaitGroup
	for i := range 2 {
		client, closeClient, err := f.OperatorClient(fmt.Sprint("operator-", i))
		must.NoError(t, err)
		defer closeClient()
		wg.Go(func() { revisions[i], errs[i] = client.Apply(ctx, profileName, documentWithShare(shares[i]), base) })
	}
	wg.Wait()
	accepted := 0
	if errs[0] != nil {
		accepted = 1
	}
	must.NoError(t, errs[accepted])
	var conflict *confstore.ConflictError
	must.True(t, errors.As(errs[1-accepted], &conflict), must.Sprint(errs))
	must.Eq(t, revisions[accepted], storedRevision(ctx, t, f))
	return revisions[accepted]
}

// storedRevision returns the revision of the profile in the store.
func storedRevision(ctx context.Context, t *testing.T, f *proctest.Fleet) int64 {
	t.Helper()
	client, closeClient, err := f.OperatorClient("reader")
	must.NoError(t, err)
	defer closeClient()
	p, err := client.Get(ctx, profileName)
	must.NoError(t, err)
	return p.Revision
}

// applyProfile stores the profile with another share and returns the accepted revision.
func applyProfile(t *testing.T, f *proctest.Fleet, share int) int64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	client, closeClient, err := f.OperatorClient("operator")
	must.NoError(t, err)
	defer closeClient()
	revision, err := client.Apply(ctx, profileName, documentWithShare(share), storedRevision(ctx, t, f))
	must.NoError(t, err)
	return revision
}

// requireInForce requires that the revision is in force on the daemons within inForceTimeout.
func requireInForce(t *testing.T, f *proctest.Fleet, revision int64, daemons ...proctest.ServerProcess) {
	t.Helper()
	must.NoError(t, proctest.WaitUntil(inForceTimeout, func() bool {
		for _, e := range daemons {
			s, err := f.Status(e)
			if err != nil || s.Profiles[profileName] != revision {
				return false
			}
		}
		return true
	}))
}

// requireNotFreshUntil requires that a daemon that was paused reports the revision within inForceTimeout, and that it
// does not report its configuration as fresh before.
func requireNotFreshUntil(t *testing.T, f *proctest.Fleet, e proctest.ServerProcess, revision int64) {
	t.Helper()
	must.NoError(t, proctest.WaitUntil(inForceTimeout, func() bool {
		s, err := f.Status(e)
		must.NoError(t, err)
		if s.Profiles[profileName] == revision {
			return true
		}
		must.NotEq(t, "fresh", s.ConfigurationState)
		return false
	}))
}

// Guards against a configuration that is lost, reverted or applied too late: two operators change one profile at the
// same time, a daemon starts while the store is down, the store becomes available again, and a daemon is paused for
// longer than inForceTimeout. No daemon may report a lower revision than before at any time.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	f := start(t, proctest.Options{Orders: 1, Entries: 4, LateEntries: 1})
	m := newRevisionMonitor(f)
	for _, e := range f.Entries {
		m.poll(e)
	}
	requireInForce(t, f, applyConcurrently(t, f, [2]int{2, 3}), f.Entries...)
	newestRevision := applyConcurrently(t, f, [2]int{4, 5})
	requireInForce(t, f, newestRevision, f.Entries...)

	must.NoError(t, f.SetStoreFaults(store.FaultsBody{Down: true}))
	lateEntry, err := f.StartLateEntry()
	must.NoError(t, err)
	m.poll(lateEntry)
	must.NoError(t, proctest.WaitUntil(waitTimeout, func() bool { return f.Ready(lateEntry) }))
	s, err := f.Status(lateEntry)
	must.NoError(t, err)
	must.Eq(t, newestRevision, s.Profiles[profileName])
	must.Eq(t, profileName, s.Bindings[proctest.OrderService])

	must.NoError(t, f.SetStoreFaults(store.FaultsBody{}))
	requireInForce(t, f, applyProfile(t, f, 6), f.Entries...)

	paused := f.Entries[1]
	must.NoError(t, paused.Pause(waitTimeout))
	pauseElapsed := elapsed(inForceTimeout + time.Second)
	newestRevision = applyProfile(t, f, 7)
	requireInForce(t, f, newestRevision, f.Entries[0], f.Entries[2], f.Entries[3], lateEntry)
	must.NoError(t, proctest.WaitUntil(2*waitTimeout, pauseElapsed))
	must.NoError(t, paused.Continue())
	requireNotFreshUntil(t, f, paused, newestRevision)
	polls, decrease := m.close()
	must.Eq(t, "", decrease)
	for _, e := range f.Entries {
		must.Positive(t, polls[e.Name])
	}
}
