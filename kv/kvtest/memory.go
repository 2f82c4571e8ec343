// Package kvtest provides an in-memory kv.Store with fault injection. The simulated stores for tests serve the same
// implementation over HTTP.
package kvtest

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// watchProgressInterval is the longest time between two batches of a live watch.
const watchProgressInterval = time.Second

// Faults describes injected faults. The zero value injects none.
type Faults struct {
	// Unavailable makes every call fail with kv.ErrUnavailable and without effect, and ends watches.
	Unavailable bool
	// Delay is the delay before each call.
	Delay time.Duration
	// LostResponses is the number of following writes that take effect but whose response is lost.
	LostResponses int
	// LostRequests is the number of following transactions that are lost before they take effect. The caller cannot tell
	// this from a lost response.
	LostRequests int
	// DelayedTxns is the number of following transactions whose response is lost and that are executed only after the next
	// read.
	DelayedTxns int
	// NoProgress suppresses the empty batches of a watch, as in a store that rarely reports progress.
	NoProgress bool
}

// ErrRejected means that the store rejected a call as invalid, rather than being unavailable. The call had no effect.
var ErrRejected = errors.New("call rejected")

// Counters holds the numbers of calls by type. A watch counts as one call, however long it lasts.
type Counters struct {
	Reads, Writes, Watches int64
}

type lease struct {
	expires time.Time
	ttl     time.Duration
	keys    map[string]bool
	// era is the era in which the lease was granted. Later ones do not renew it.
	era int64
}

// Memory is an in-memory kv.Store. It is safe for concurrent use.
type Memory struct {
	now func() time.Time

	mu sync.Mutex
	// era is the number of restores. revision is composed of it and the store's own revision.
	era            int64
	revision       int64
	items          map[string]kv.Item
	leases         map[kv.LeaseID]*lease
	lastLeaseID    kv.LeaseID
	history        []kv.Event
	oldestRevision int64
	changed        chan struct{}
	faults         Faults
	delayed        []kv.Txn
	counters       Counters
}

// historyLimit is the maximum number of events that are kept for resumed watches.
const historyLimit = 100_000

// NewMemory returns an empty store. It reads the time from now, or from time.Now if now is nil.
func NewMemory(now func() time.Time) *Memory {
	if now == nil {
		now = time.Now
	}
	return &Memory{
		now:      now,
		revision: 1,
		items:    make(map[string]kv.Item),
		leases:   make(map[kv.LeaseID]*lease),
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyWatches()
}

// Faults returns the injected faults.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// Counters returns the numbers of calls so far.
func (m *Memory) Counters() Counters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}

// Revision returns the store's revision.
func (m *Memory) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Compact drops the watch history, so that a watch from an older revision fails with kv.ErrCompacted.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = nil
	m.oldestRevision = m.revision + 1
}

// Copy is the state of a store at a moment.
type Copy struct {
	revision int64
	items    map[string]kv.Item
	leases   map[kv.LeaseID]lease
}

// Copy returns a copy of the store's data.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Copy{revision: m.revision, items: maps.Clone(m.items), leases: make(map[kv.LeaseID]lease)}
	for id, l := range m.leases {
		kept := *l
		kept.keys = maps.Clone(l.keys)
		c.leases[id] = kept
	}
	return c
}

// Restore replaces the store's data by a copy and starts a new era: all later changes are lost, and the store's own revision
// goes back to that of the copy. Leases of the copy are not renewed any more; their keys expire.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision = m.recompose(c.revision)
	m.items = make(map[string]kv.Item, len(c.items))
	for key, item := range c.items {
		item.ModRevision, item.CreateRevision = m.recompose(item.ModRevision), m.recompose(item.CreateRevision)
		m.items[key] = item
	}
	m.leases = make(map[kv.LeaseID]*lease, len(c.leases))
	for id, l := range c.leases {
		l.expires, l.keys = m.now().Add(l.ttl), maps.Clone(l.keys)
		m.leases[id] = &l
	}
	m.history, m.oldestRevision = nil, m.revision+1
	m.notifyWatches()
}

// recompose returns the revision of the current era with the same own revision of the store. The caller holds the lock.
func (m *Memory) recompose(revision int64) int64 {
	_, number := kv.SplitRevision(revision)
	composed, err := kv.ComposeRevision(m.era, number)
	if err != nil {
		panic(err)
	}
	return composed
}

// Era returns the number of restores.
func (m *Memory) Era() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// begin applies the faults Delay and Unavailable at the start of a call. It must be called without holding the lock. If
// it returns nil, the caller holds the lock.
func (m *Memory) begin(ctx context.Context) error {
	m.mu.Lock()
	delay := m.faults.Delay
	if delay > 0 {
		m.mu.Unlock()
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return errors.Join(kv.ErrUnavailable, ctx.Err())
		}
		m.mu.Lock()
	}
	if m.faults.Unavailable {
		m.mu.Unlock()
		return kv.ErrUnavailable
	}
	if err := ctx.Err(); err != nil {
		m.mu.Unlock()
		return errors.Join(kv.ErrUnavailable, err)
	}
	m.expireLeases()
	return nil
}

// consume decrements a counter of remaining faults and reports whether it was positive.
func consume(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

func (m *Memory) expireLeases() {
	now := m.now()
	for id, l := range m.leases {
		if l.expires.After(now) {
			continue
		}
		delete(m.leases, id)
		if len(l.keys) == 0 {
			continue
		}
		m.revision++
		for key := range l.keys {
			m.remove(key)
		}
		m.notifyWatches()
	}
}

func (m *Memory) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	m.appendEvent(kv.Event{Item: kv.Item{Key: key, ModRevision: m.revision}, Deleted: true})
}

func (m *Memory) appendEvent(e kv.Event) {
	m.history = append(m.history, e)
	if len(m.history) > historyLimit {
		m.history = m.history[len(m.history)-historyLimit/2:]
		m.oldestRevision = m.history[0].Item.ModRevision + 1
	}
}

// Get implements kv.Store.
func (m *Memory) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	if err := m.begin(ctx); err != nil {
		return kv.Item{}, false, err
	}
	defer m.mu.Unlock()
	defer m.runDelayed()
	m.counters.Reads++
	item, ok := m.items[key]
	item.Value = bytes.Clone(item.Value)
	return item, ok, nil
}

// List implements kv.Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]kv.Item, int64, error) {
	if err := m.begin(ctx); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	defer m.runDelayed()
	m.counters.Reads++
	var items []kv.Item
	for key, item := range m.items {
		if strings.HasPrefix(key, prefix) {
			item.Value = bytes.Clone(item.Value)
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items, m.revision, nil
}

// Txn implements kv.Store.
func (m *Memory) Txn(ctx context.Context, txn kv.Txn) (kv.TxnResult, error) {
	if err := m.begin(ctx); err != nil {
		return kv.TxnResult{}, err
	}
	defer m.mu.Unlock()
	m.counters.Writes++
	for _, p := range txn.Puts {
		if len(p.Value) > kv.MaxValueBytes {
			return kv.TxnResult{}, rejectedError("value larger than 1 MiB")
		}
		if l, ok := m.leases[p.Lease]; p.Lease != 0 && (!ok || l.era != m.era) {
			return kv.TxnResult{}, rejectedError("requested lease not found")
		}
	}
	switch {
	case consume(&m.faults.LostRequests):
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	case consume(&m.faults.DelayedTxns):
		m.delayed = append(m.delayed, txn)
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	result := m.runTxn(txn)
	if consume(&m.faults.LostResponses) {
		return kv.TxnResult{}, kv.ErrOutcomeUnknown
	}
	return result, nil
}

func (m *Memory) runTxn(txn kv.Txn) kv.TxnResult {
	for _, c := range txn.If {
		if m.items[c.Key].ModRevision != c.ModRevision {
			return m.failTxn(txn)
		}
	}
	m.applyTxn(txn)
	return kv.TxnResult{Succeeded: true, Revision: m.revision}
}

// runDelayed executes the transactions that were delayed until after a read.
func (m *Memory) runDelayed() {
	for _, txn := range m.delayed {
		m.runTxn(txn)
	}
	m.delayed = nil
}

func rejectedError(reason string) error {
	return errors.Join(kv.ErrUnavailable, ErrRejected, errors.New(reason))
}

func (m *Memory) failTxn(txn kv.Txn) kv.TxnResult {
	result := kv.TxnResult{Revision: m.revision}
	for _, key := range txn.Else {
		if item, ok := m.items[key]; ok {
			item.Value = bytes.Clone(item.Value)
			result.Items = append(result.Items, item)
		}
	}
	return result
}

func (m *Memory) applyTxn(txn kv.Txn) {
	if len(txn.Puts)+len(txn.Deletes) == 0 {
		return
	}
	m.revision++
	for _, p := range txn.Puts {
		item := kv.Item{Key: p.Key, Value: bytes.Clone(p.Value), CreateRevision: m.revision, ModRevision: m.revision}
		if old, ok := m.items[p.Key]; ok {
			item.CreateRevision = old.CreateRevision
		}
		m.items[p.Key] = item
		for _, l := range m.leases {
			delete(l.keys, p.Key)
		}
		if l := m.leases[p.Lease]; l != nil {
			l.keys[p.Key] = true
		}
		m.appendEvent(kv.Event{Item: item})
	}
	for _, key := range txn.Deletes {
		m.remove(key)
	}
	m.notifyWatches()
}

// Grant implements kv.Store.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	if err := m.begin(ctx); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	m.counters.Writes++
	m.lastLeaseID++
	m.leases[m.lastLeaseID] = &lease{expires: m.now().Add(ttl), ttl: ttl, keys: make(map[string]bool), era: m.era}
	if consume(&m.faults.LostResponses) {
		return 0, kv.ErrOutcomeUnknown
	}
	return m.lastLeaseID, nil
}

// KeepAlive implements kv.Store.
func (m *Memory) KeepAlive(ctx context.Context, id kv.LeaseID) (bool, error) {
	if err := m.begin(ctx); err != nil {
		return false, err
	}
	defer m.mu.Unlock()
	m.counters.Writes++
	l, ok := m.leases[id]
	if !ok || l.era != m.era {
		return false, nil
	}
	l.expires = m.now().Add(l.ttl)
	if consume(&m.faults.LostResponses) {
		return false, kv.ErrOutcomeUnknown
	}
	return true, nil
}

// Watch implements kv.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, from int64, fn func(kv.WatchBatch)) error {
	if err := m.begin(ctx); err != nil {
		return err
	}
	m.counters.Watches++
	next := from
	if next == 0 {
		next = m.revision + 1
	}
	m.mu.Unlock()
	for {
		m.mu.Lock()
		if m.faults.Unavailable {
			m.mu.Unlock()
			return kv.ErrUnavailable
		}
		m.expireLeases()
		if next < m.oldestRevision {
			m.mu.Unlock()
			return kv.ErrCompacted
		}
		batch := kv.WatchBatch{Revision: m.revision}
		start := sort.Search(len(m.history), func(i int) bool { return m.history[i].Item.ModRevision >= next })
		for _, e := range m.history[start:] {
			if strings.HasPrefix(e.Item.Key, prefix) {
				batch.Events = append(batch.Events, e)
			}
		}
		next = max(next, m.revision+1)
		changed := m.changed
		suppress := m.faults.NoProgress && len(batch.Events) == 0
		m.mu.Unlock()
		if !suppress {
			fn(batch)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(watchProgressInterval):
		}
	}
}
