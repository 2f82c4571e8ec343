package confsync

import (
	"errors"
	"time"

	"github.com/chivemill/chivemill/kv"
)

const (
	// storeRetry is the wait after a failed store call; it doubles up to storeRetryMax.
	storeRetry    = 200 * time.Millisecond
	storeRetryMax = 2 * time.Second
	// suspectAfter is the time that a watch may lag behind a peer before the peer's revision is checked.
	suspectAfter = 5 * time.Second
	// verifyInterval bounds the rate of checks, because a faulty peer can cause them on every node.
	verifyInterval = 5 * time.Second
	// disputeSpread spreads the checks of one dispute over time, because the whole fleet may get the hint.
	disputeSpread = 2 * time.Second
	// maxVerify bounds the keys of one check.
	maxVerify = 64
	// maxSuspects bounds the entries that wait for a check, maxDisproved those remembered as wrong.
	maxSuspects  = 1_024
	maxDisproved = 1_024
)

// suspect is a peer's entry that the store has to confirm or override.
type suspect struct {
	Entry
	since time.Time
	// due is when the check may run.
	due time.Time
}

// storeState is the part of the node towards the store.
type storeState struct {
	// revision is the revision up to which the copy has everything from the store.
	revision int64
	// relist tells that a watch from revision is not possible.
	relist  bool
	listing bool
	// watchID is the open watch, or 0. live means that it delivered a batch.
	watchID   uint64
	live      bool
	unchosen  time.Time
	retryAt   time.Time
	failures  int
	suspects  map[string]suspect
	verifying []Entry
	verifyAt  time.Time
	scanAt    time.Time
	refused   int64
}

func (n *Node) tickStore(now time.Time) {
	s := &n.store
	if n.place.Watches {
		s.unchosen = time.Time{}
	} else if s.unchosen.IsZero() {
		s.unchosen = now
	}
	switch {
	case n.place.Watches && s.watchID == 0:
		n.openWatch(now)
	case !n.place.Watches && s.watchID != 0 && now.Sub(s.unchosen) >= watchHold:
		n.closeWatch()
		n.actions = append(n.actions, StopWatch{})
	}
	n.findSuspects(now)
	n.verifySuspects(now)
}

func (n *Node) openWatch(now time.Time) {
	s := &n.store
	if s.listing || now.Before(s.retryAt) {
		return
	}
	if s.revision == 0 || s.relist {
		n.list()
		return
	}
	n.nextID++
	s.watchID = n.nextID
	n.actions = append(n.actions, Watch{ID: s.watchID, From: s.revision + 1})
}

func (n *Node) list() {
	n.store.listing = true
	n.actions = append(n.actions, List{})
}

func (n *Node) closeWatch() {
	n.store.watchID = 0
	n.store.live = false
}

func (n *Node) storeFailed(now time.Time) {
	s := &n.store
	s.retryAt = now.Add(n.jitter(min(storeRetryMax, storeRetry<<min(s.failures, 8))))
	s.failures++
}

// Listed takes the result of a List: all keys and the store's revision at the time of reading. A list from a
// lagging replica of the store lowers nothing.
func (n *Node) Listed(now time.Time, items []kv.Item, revision int64, err error) {
	s := &n.store
	s.listing = false
	if err != nil {
		n.storeFailed(now)
		return
	}
	s.failures = 0
	s.relist = false
	if revision < s.revision {
		// The copy already has a newer state of the store, which may have deleted keys of this list.
		n.listedAtStart()
		return
	}
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		n.applyStored(now, Item{Key: i.Key, Revision: i.ModRevision, Value: i.Value}, revision)
	}
	for _, e := range n.replica.Entries(^uint64(0)) {
		if !present[e.Key] && e.Revision <= revision {
			n.applyMissing(now, e.Key, revision)
		}
	}
	s.revision = max(s.revision, revision)
	n.sawStore(now, revision)
	n.listedAtStart()
}

// applyMissing records that the store does not have a key that the copy holds.
func (n *Node) applyMissing(now time.Time, key string, revision int64) {
	if item, ok := n.replica.Lookup(key); !ok || item.Deleted {
		return
	}
	n.applyStored(now, Item{Key: key, Revision: revision, Deleted: true}, revision)
}

// applyStored applies an item that the store had at its revision asOf, and announces a change. A peer's item
// with a revision that the store has passed and does not have is overridden.
func (n *Node) applyStored(now time.Time, item Item, asOf int64) {
	old, had := n.replica.Lookup(item.Key)
	changed := n.replica.Apply(item)
	if !changed && had && old.Revision > item.Revision && old.Revision <= asOf {
		n.disprove(old.Revision, item)
		return
	}
	if changed {
		n.checkConfirmed(item)
	}
	if changed && n.start.ready {
		n.changedInStore(now, item)
	}
}

// disprove replaces a peer's item by the store's and refuses that revision from then on.
func (n *Node) disprove(revision int64, item Item) {
	if !n.replica.override(revision, item) {
		return
	}
	if len(n.disproved) >= maxDisproved {
		clear(n.disproved)
	}
	n.disproved[item.Key] = revision
}

func (n *Node) sawStore(now time.Time, revision int64) {
	if revision >= n.horizon.revision {
		n.horizon = horizon{revision, now}
	}
}

// WatchBatch takes a batch of the watch with the ID. A batch that is behind a revision of the copy confirms
// nothing, because the replica of the store that serves it lags.
func (n *Node) WatchBatch(now time.Time, id uint64, b kv.WatchBatch) {
	s := &n.store
	if id != s.watchID || id == 0 {
		return
	}
	for _, e := range b.Events {
		n.applyStored(now, toItem(e), e.Item.ModRevision)
	}
	s.live = true
	s.failures = 0
	through := completeThrough(b)
	s.revision = max(s.revision, through)
	n.sawStore(now, b.Revision)
	if through == b.Revision && b.Revision >= n.replica.Revision() {
		n.confirmLocal(now, b.Revision)
	}
}

// completeThrough returns the revision up to which a batch completes the watch. The revision of a batch with
// events may be newer than events that are still to come.
func completeThrough(b kv.WatchBatch) int64 {
	if len(b.Events) == 0 {
		return b.Revision
	}
	return b.Events[len(b.Events)-1].Item.ModRevision
}

// WatchEnded takes the end of the watch with the ID. After compaction the node lists again.
func (n *Node) WatchEnded(now time.Time, id uint64, err error) {
	if id != n.store.watchID || id == 0 {
		return
	}
	n.closeWatch()
	if errors.Is(err, kv.ErrCompacted) {
		n.store.relist = true
		return
	}
	n.storeFailed(now)
}

// findSuspects compares the peers' items with the live watch: the watch has passed the revision and did not
// deliver it, or stays behind it for suspectAfter.
func (n *Node) findSuspects(now time.Time) {
	s := &n.store
	if !s.live || now.Before(s.scanAt) {
		return
	}
	s.scanAt = now.Add(time.Second)
	for _, e := range n.replica.unconfirmed() {
		due := now.Add(suspectAfter)
		if e.Revision <= s.revision {
			due = now
		}
		n.suspect(now, e, due)
	}
}

func (n *Node) suspect(now time.Time, e Entry, due time.Time) {
	old, ok := n.store.suspects[e.Key]
	if ok && old.Revision == e.Revision {
		if due.Before(old.due) {
			old.due = due
			n.store.suspects[e.Key] = old
		}
		return
	}
	if ok || len(n.store.suspects) < maxSuspects {
		n.store.suspects[e.Key] = suspect{e, now, due}
	}
}

// suspectDisputed takes a peer's hint that entries of this node are outdated or wrong.
func (n *Node) suspectDisputed(now time.Time, disputed []Entry) {
	for _, e := range disputed[:min(len(disputed), maxVerify)] {
		if n.replica.RevisionOf(e.Key) == e.Revision {
			n.suspect(now, e, now.Add(time.Duration(n.rng.Int64N(int64(disputeSpread)))))
		}
	}
}

func (n *Node) verifySuspects(now time.Time) {
	s := &n.store
	if s.verifying != nil || now.Before(s.verifyAt) || len(s.suspects) == 0 {
		return
	}
	var due []Entry
	for _, key := range sortedKeys(s.suspects) {
		v := s.suspects[key]
		if n.replica.RevisionOf(key) != v.Revision {
			delete(s.suspects, key)
			continue
		}
		if !now.Before(v.due) && len(due) < maxVerify {
			due = append(due, v.Entry)
		}
	}
	if len(due) == 0 {
		return
	}
	s.verifying = due
	s.verifyAt = now.Add(verifyInterval)
	n.actions = append(n.actions, Verify{due})
}

// Verified takes the result of a Verify: the current items of the keys and the store's revision. Keys without an
// item do not exist.
func (n *Node) Verified(now time.Time, items []kv.Item, revision int64, err error) {
	s := &n.store
	asked := s.verifying
	s.verifying = nil
	if err != nil || revision < s.revision {
		return
	}
	n.sawStore(now, revision)
	current := make(map[string]Item, len(items))
	for _, i := range items {
		current[i.Key] = Item{Key: i.Key, Revision: i.ModRevision, Value: i.Value}
	}
	for _, e := range asked {
		delete(s.suspects, e.Key)
		item, exists := current[e.Key]
		if !exists {
			item = Item{Key: e.Key, Revision: revision, Deleted: true}
		}
		if item.Revision < e.Revision {
			n.disprove(e.Revision, item)
			continue
		}
		if n.replica.Apply(item) {
			n.changedInStore(now, item)
		}
	}
}
