package confbench

import (
	"sort"
	"time"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/kv"
)

// progressInterval is the longest time for which an open watch sends no batch.
const progressInterval = time.Second

// Calls counts the calls to the store. OpenWatches is the number of open watches.
type Calls struct{ Lists, Watches, Verifies, OpenWatches int }

type watch struct {
	host         *Host
	generation   int
	id           uint64
	nextRevision int64
}

// Store simulates the platform's key-value store in virtual time. It is not safe for concurrent use.
type Store struct {
	net            *Network
	revision       int64
	log            []kv.Event
	oldestRevision int64
	watches        []*watch
	// Down makes calls fail and new watches end at once; SetDown also ends the open watches.
	Down bool
	// Delay is added to each call and to each event of a watch.
	Delay time.Duration
	// Lag is the number of newest revisions that lists and watches do not see, as if read from a lagging replica.
	Lag int64
	// Calls counts the calls so far.
	Calls Calls
}

func newStore(n *Network) *Store {
	s := &Store{net: n, revision: 100}
	s.scheduleProgress()
	return s
}

// Revision returns the newest revision.
func (s *Store) Revision() int64 { return s.revision }

// Put commits a value and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.commit(kv.Event{Item: kv.Item{Key: key, Value: value}})
	return s.revision
}

// Delete commits the removal of a key.
func (s *Store) Delete(key string) { s.commit(kv.Event{Item: kv.Item{Key: key}, Deleted: true}) }

// AdvanceRevision increases the revision, as writes to other keys do.
func (s *Store) AdvanceRevision(writes int64) { s.revision += writes }

// Restore lets the store come back from the copy that it had at a revision: later changes are lost, a new era starts in which
// revisions continue from that of the copy, and all watches end with kv.ErrCompacted.
func (s *Store) Restore(revision int64) {
	era, _ := kv.SplitRevision(s.revision)
	kept := s.log[:0:0]
	for _, e := range s.log {
		if e.Item.ModRevision <= revision {
			e.Item.ModRevision = recompose(era+1, e.Item.ModRevision)
			kept = append(kept, e)
		}
	}
	s.log, s.revision = kept, recompose(era+1, revision)
	s.Compact()
	s.net.after(time.Millisecond, s.deliver)
}

// recompose returns the revision of an era with the same own revision of the store.
func recompose(era, revision int64) int64 {
	_, number := kv.SplitRevision(revision)
	composed, err := kv.ComposeRevision(era, number)
	if err != nil {
		panic(err)
	}
	return composed
}

func (s *Store) commit(e kv.Event) {
	s.revision++
	e.Item.ModRevision = s.revision
	s.log = append(s.log, e)
	s.net.after(s.Delay+time.Millisecond, s.deliver)
}

// Compact discards the history, so that a watch from an older revision ends with kv.ErrCompacted.
func (s *Store) Compact() { s.oldestRevision = s.revision + 1 }

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if down {
		s.BreakWatches()
	}
}

// BreakWatches ends all watches with kv.ErrUnavailable.
func (s *Store) BreakWatches() {
	for _, w := range s.watches {
		s.endWatch(w, kv.ErrUnavailable)
	}
	s.watches = nil
}

func (s *Store) endWatch(w *watch, err error) {
	s.net.after(time.Millisecond, func() {
		s.net.handleEvent(w.host, w.generation, func() { w.host.Node.HandleWatchEnd(s.net.now, w.id, err) })
	})
}

// ItemsAt returns the items that existed at a revision, by key.
func (s *Store) ItemsAt(revision int64) map[string]kv.Item {
	items := make(map[string]kv.Item)
	for _, e := range s.log {
		if e.Item.ModRevision > revision {
			break
		}
		if e.Deleted {
			delete(items, e.Item.Key)
			continue
		}
		items[e.Item.Key] = e.Item
	}
	return items
}

// Items returns the current items.
func (s *Store) Items() map[string]kv.Item { return s.ItemsAt(s.revision) }

func (s *Store) list(revision int64) []kv.Item {
	var items []kv.Item
	for _, i := range s.ItemsAt(revision) {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	return items
}

func (s *Store) execute(h *Host, a confsync.Action) {
	generation := h.generation
	reply := func(run func()) {
		s.net.after(s.Delay+2*time.Millisecond, func() { s.net.handleEvent(h, generation, run) })
	}
	node := h.Node
	switch a := a.(type) {
	case confsync.List:
		s.Calls.Lists++
		items, revision, err := s.read(s.Lag)
		reply(func() { node.HandleList(s.net.now, items, revision, err) })
	case confsync.Verify:
		s.Calls.Verifies++
		items, revision, err := s.read(0)
		reply(func() { node.HandleVerify(s.net.now, items, revision, err) })
	case confsync.Watch:
		s.Calls.Watches++
		s.openWatch(&watch{h, generation, a.ID, a.From})
	case confsync.StopWatch:
		s.closeWatches(h)
	}
}

func (s *Store) read(lag int64) ([]kv.Item, int64, error) {
	if s.Down {
		return nil, 0, kv.ErrUnavailable
	}
	revision := max(1, s.revision-lag)
	return s.list(revision), revision, nil
}

func (s *Store) openWatch(w *watch) {
	if s.Down {
		s.endWatch(w, kv.ErrUnavailable)
		return
	}
	s.watches = append(s.watches, w)
	s.net.after(s.Delay+time.Millisecond, s.deliver)
}

func (s *Store) closeWatches(h *Host) {
	kept := s.watches[:0]
	for _, w := range s.watches {
		if w.host != h {
			kept = append(kept, w)
		}
	}
	s.watches = kept
}

// deliver sends each watch the events that it has not received, or an empty batch without any.
func (s *Store) deliver() {
	kept := s.watches[:0]
	for _, w := range s.watches {
		if !w.host.Running || w.host.generation != w.generation {
			continue
		}
		if w.nextRevision < s.oldestRevision {
			s.endWatch(w, kv.ErrCompacted)
			continue
		}
		kept = append(kept, w)
		s.sendBatch(w)
	}
	s.watches = kept
	s.Calls.OpenWatches = len(kept)
}

func (s *Store) sendBatch(w *watch) {
	visibleRevision := max(1, s.revision-s.Lag)
	batch := kv.WatchBatch{Revision: visibleRevision}
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].Item.ModRevision >= w.nextRevision })
	for _, e := range s.log[start:] {
		if e.Item.ModRevision <= visibleRevision {
			batch.Events = append(batch.Events, e)
		}
	}
	w.nextRevision = max(w.nextRevision, visibleRevision+1)
	s.net.after(time.Millisecond, func() {
		s.net.handleEvent(w.host, w.generation, func() { w.host.Node.HandleWatchBatch(s.net.now, w.id, batch) })
	})
}

func (s *Store) scheduleProgress() {
	s.net.after(progressInterval, func() {
		if !s.Down {
			s.deliver()
		}
		s.scheduleProgress()
	})
}
