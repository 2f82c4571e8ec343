package confbench

import (
	"sort"
	"time"

	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/kv"
)

// progressInterval is the longest silence of a live watch.
const progressInterval = time.Second

// Calls counts the calls to the store. Waiting is the number of watches that are open.
type Calls struct{ Lists, Watches, Verifies, Waiting int }

type watch struct {
	host       *Host
	generation int
	id         uint64
	next       int64
}

// Store models the platform's store in virtual time. It is not safe for concurrent use.
type Store struct {
	net      *Network
	revision int64
	log      []kv.Event
	oldest   int64
	watches  []*watch
	// Down makes calls fail and ends watches.
	Down bool
	// Delay is added to each call and to each event of a watch.
	Delay time.Duration
	// Lag is the number of the newest revisions that lists and watches do not see, as from a lagging replica.
	Lag int64
	// Calls counts the calls so far.
	Calls Calls
}

func newStore(n *Network) *Store {
	s := &Store{net: n, revision: 100}
	s.progress()
	return s
}

// Revision returns the newest revision.
func (s *Store) Revision() int64 { return s.revision }

// Put commits a change and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.commit(kv.Event{Item: kv.Item{Key: key, Value: value}})
	return s.revision
}

// Delete commits a removal.
func (s *Store) Delete(key string) { s.commit(kv.Event{Item: kv.Item{Key: key}, Deleted: true}) }

// Advance raises the revision by writes to other keys.
func (s *Store) Advance(writes int64) { s.revision += writes }

func (s *Store) commit(e kv.Event) {
	s.revision++
	e.Item.ModRevision = s.revision
	s.log = append(s.log, e)
	s.net.after(s.Delay+time.Millisecond, s.deliver)
}

// Compact drops the history, so that a watch from an older revision ends with kv.ErrCompacted.
func (s *Store) Compact() { s.oldest = s.revision + 1 }

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.Down = down
	if down {
		s.BreakWatches()
	}
}

// BreakWatches ends all watches.
func (s *Store) BreakWatches() {
	for _, w := range s.watches {
		s.end(w, kv.ErrUnavailable)
	}
	s.watches = nil
}

func (s *Store) end(w *watch, err error) {
	s.net.after(time.Millisecond, func() {
		s.net.input(w.host, w.generation, func() { w.host.Node.HandleWatchEnd(s.net.now, w.id, err) })
	})
}

// At returns the items at a revision, by key.
func (s *Store) At(revision int64) map[string]kv.Item {
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
func (s *Store) Items() map[string]kv.Item { return s.At(s.revision) }

func (s *Store) list(revision int64) []kv.Item {
	var items []kv.Item
	for _, i := range s.At(revision) {
		items = append(items, i)
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	return items
}

func (s *Store) act(h *Host, a confsync.Action) {
	generation := h.generation
	reply := func(run func()) {
		s.net.after(s.Delay+2*time.Millisecond, func() { s.net.input(h, generation, run) })
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
		s.open(&watch{h, generation, a.ID, a.From})
	case confsync.StopWatch:
		s.closeOf(h)
	}
}

func (s *Store) read(lag int64) ([]kv.Item, int64, error) {
	if s.Down {
		return nil, 0, kv.ErrUnavailable
	}
	revision := max(1, s.revision-lag)
	return s.list(revision), revision, nil
}

func (s *Store) open(w *watch) {
	if s.Down {
		s.end(w, kv.ErrUnavailable)
		return
	}
	s.watches = append(s.watches, w)
	s.net.after(s.Delay+time.Millisecond, s.deliver)
}

func (s *Store) closeOf(h *Host) {
	kept := s.watches[:0]
	for _, w := range s.watches {
		if w.host != h {
			kept = append(kept, w)
		}
	}
	s.watches = kept
}

// deliver sends the events that each watch has not had, or an empty batch.
func (s *Store) deliver() {
	kept := s.watches[:0]
	for _, w := range s.watches {
		if !w.host.Up || w.host.generation != w.generation {
			continue
		}
		if w.next < s.oldest {
			s.end(w, kv.ErrCompacted)
			continue
		}
		kept = append(kept, w)
		s.send(w)
	}
	s.watches = kept
	s.Calls.Waiting = len(kept)
}

func (s *Store) send(w *watch) {
	seen := max(1, s.revision-s.Lag)
	batch := kv.WatchBatch{Revision: seen}
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].Item.ModRevision >= w.next })
	for _, e := range s.log[start:] {
		if e.Item.ModRevision <= seen {
			batch.Events = append(batch.Events, e)
		}
	}
	w.next = max(w.next, seen+1)
	s.net.after(time.Millisecond, func() {
		s.net.input(w.host, w.generation, func() { w.host.Node.HandleWatchBatch(s.net.now, w.id, batch) })
	})
}

func (s *Store) progress() {
	s.net.after(progressInterval, func() {
		if !s.Down {
			s.deliver()
		}
		s.progress()
	})
}
