package confsync

import (
	"errors"
	"time"

	"github.com/chivemill/chivemill/kv"
)

const (
	// storeRetryDelay is the delay after a failed store call. It doubles with each failure, up to maxStoreRetryDelay.
	storeRetryDelay    = 200 * time.Millisecond
	maxStoreRetryDelay = 2 * time.Second
	// verifyDelay is how long the watch may lag behind the revision of a peer's item before the item is verified.
	verifyDelay = 5 * time.Second
	// verifyInterval limits the rate of verifications, because a faulty peer can cause them on every node.
	verifyInterval = 5 * time.Second
	// maxDisputeDelay is the longest random delay before a disputed entry is verified. The delay spreads the load on
	// the store, because the whole fleet may receive the same hint.
	maxDisputeDelay = 2 * time.Second
	// maxVerify is the maximum number of keys in one verification.
	maxVerify = 64
	// maxPendingVerifies is the maximum number of entries that wait for verification, maxDisproved that of entries
	// remembered as disproved.
	maxPendingVerifies = 1_024
	maxDisproved       = 1_024
)

// pendingVerify is a peer's entry that has to be verified in the store.
type pendingVerify struct {
	Entry
	since time.Time
	// due is the earliest time of the verification.
	due time.Time
}

// storeState is the node's state concerning the store.
type storeState struct {
	// revision is the store revision up to which the replica is complete.
	revision int64
	// needsList is set if a watch cannot start at revision, so that a list is needed first.
	needsList bool
	listing   bool
	// watchID is the ID of the open watch, or 0. watchLive is set once the watch has delivered a batch.
	watchID   uint64
	watchLive bool
	// deselectedAt is the time since which the node has not been a watcher, or zero while it is one.
	deselectedAt    time.Time
	retryAt         time.Time
	failures        int
	pendingVerifies map[string]pendingVerify
	verifying       []Entry
	nextVerify      time.Time
	nextScan        time.Time
	rejectedItems   int64
}

func (n *Node) tickStore(now time.Time) {
	s := &n.store
	if n.role.IsWatcher {
		s.deselectedAt = time.Time{}
	} else if s.deselectedAt.IsZero() {
		s.deselectedAt = now
	}
	switch {
	case n.role.IsWatcher && s.watchID == 0:
		n.openWatch(now)
	case !n.role.IsWatcher && s.watchID != 0 && now.Sub(s.deselectedAt) >= watchStopDelay:
		n.closeWatch()
		n.actions = append(n.actions, StopWatch{})
	}
	n.queueUnconfirmed(now)
	n.verifyDue(now)
}

func (n *Node) openWatch(now time.Time) {
	s := &n.store
	if s.listing || now.Before(s.retryAt) {
		return
	}
	if s.revision == 0 || s.needsList {
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
	n.store.watchLive = false
}

func (n *Node) delayStoreRetry(now time.Time) {
	s := &n.store
	s.retryAt = now.Add(n.jitter(min(maxStoreRetryDelay, storeRetryDelay<<min(s.failures, 8))))
	s.failures++
}

// HandleList handles the result of a List: all items and the store revision at which they were read. A list from a
// lagging replica of the store never lowers a revision.
func (n *Node) HandleList(now time.Time, items []kv.Item, revision int64, err error) {
	s := &n.store
	s.listing = false
	if err != nil {
		n.delayStoreRetry(now)
		return
	}
	s.failures = 0
	s.needsList = false
	if revision < s.revision {
		// The replica already reflects a newer state of the store, in which keys of this list may be deleted.
		n.markListed()
		return
	}
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		n.applyFromStore(now, Item{Key: i.Key, Revision: i.ModRevision, Value: i.Value}, revision)
	}
	for _, e := range n.replica.Entries(^uint64(0)) {
		if !present[e.Key] && e.Revision <= revision {
			n.applyDeletion(now, e.Key, revision)
		}
	}
	s.revision = max(s.revision, revision)
	n.observeRevision(now, revision)
	n.markListed()
}

// applyDeletion records that the store does not have a key that is in the replica.
func (n *Node) applyDeletion(now time.Time, key string, revision int64) {
	if item, ok := n.replica.Lookup(key); !ok || item.Deleted {
		return
	}
	n.applyFromStore(now, Item{Key: key, Revision: revision, Deleted: true}, revision)
}

// applyFromStore applies an item that the store had at revision asOf, and announces it if it changed the replica. A
// peer's item at a higher revision that is at most asOf is replaced, because the store did not have that revision of
// the key.
func (n *Node) applyFromStore(now time.Time, item Item, asOf int64) {
	old, had := n.replica.Lookup(item.Key)
	changed := n.replica.Apply(item)
	if !changed && had && old.Revision > item.Revision && old.Revision <= asOf {
		n.disprove(old.Revision, item)
		return
	}
	if changed {
		n.invalidateConfirmation(item)
	}
	if changed && n.start.ready {
		n.queueAnnounce(now, item)
	}
}

// disprove replaces a peer's item with the store's and records its revision as wrong, so that it is not fetched again.
func (n *Node) disprove(revision int64, item Item) {
	if !n.replica.override(revision, item) {
		return
	}
	if len(n.disproved) >= maxDisproved {
		clear(n.disproved)
	}
	n.disproved[item.Key] = revision
}

func (n *Node) observeRevision(now time.Time, revision int64) {
	if revision >= n.revisionLimit.revision {
		n.revisionLimit = revisionLimit{revision, now}
	}
}

// HandleWatchBatch handles a batch of the watch with the given ID. A batch below the replica's highest revision
// confirms nothing, because it comes from a lagging replica of the store.
func (n *Node) HandleWatchBatch(now time.Time, id uint64, b kv.WatchBatch) {
	s := &n.store
	if id != s.watchID || id == 0 {
		return
	}
	for _, e := range b.Events {
		n.applyFromStore(now, toItem(e), e.Item.ModRevision)
	}
	s.watchLive = true
	s.failures = 0
	through := completeThrough(b)
	s.revision = max(s.revision, through)
	n.observeRevision(now, b.Revision)
	if through == b.Revision && b.Revision >= n.replica.Revision() {
		n.confirmFromWatch(now, b.Revision)
	}
}

// completeThrough returns the revision up to which all events have been received. The revision of a batch with
// events may be higher than that of events that are still to come.
func completeThrough(b kv.WatchBatch) int64 {
	if len(b.Events) == 0 {
		return b.Revision
	}
	return b.Events[len(b.Events)-1].Item.ModRevision
}

// HandleWatchEnd handles the end of the watch with the given ID. After a compaction the node lists all keys again.
func (n *Node) HandleWatchEnd(now time.Time, id uint64, err error) {
	if id != n.store.watchID || id == 0 {
		return
	}
	n.closeWatch()
	if errors.Is(err, kv.ErrCompacted) {
		n.store.needsList = true
		return
	}
	n.delayStoreRetry(now)
}

// queueUnconfirmed schedules the verification of peers' items that the watch has not delivered: at once if the watch
// has passed their revision, otherwise after verifyDelay.
func (n *Node) queueUnconfirmed(now time.Time) {
	s := &n.store
	if !s.watchLive || now.Before(s.nextScan) {
		return
	}
	s.nextScan = now.Add(time.Second)
	for _, e := range n.replica.unconfirmed() {
		due := now.Add(verifyDelay)
		if e.Revision <= s.revision {
			due = now
		}
		n.queueVerify(now, e, due)
	}
}

func (n *Node) queueVerify(now time.Time, e Entry, due time.Time) {
	old, ok := n.store.pendingVerifies[e.Key]
	if ok && old.Revision == e.Revision {
		if due.Before(old.due) {
			old.due = due
			n.store.pendingVerifies[e.Key] = old
		}
		return
	}
	if ok || len(n.store.pendingVerifies) < maxPendingVerifies {
		n.store.pendingVerifies[e.Key] = pendingVerify{e, now, due}
	}
}

// queueDisputed schedules the verification of entries that a peer reports as outdated or wrong.
func (n *Node) queueDisputed(now time.Time, disputed []Entry) {
	for _, e := range disputed[:min(len(disputed), maxVerify)] {
		if n.replica.RevisionOf(e.Key) == e.Revision {
			n.queueVerify(now, e, now.Add(time.Duration(n.rng.Int64N(int64(maxDisputeDelay)))))
		}
	}
}

func (n *Node) verifyDue(now time.Time) {
	s := &n.store
	if s.verifying != nil || now.Before(s.nextVerify) || len(s.pendingVerifies) == 0 {
		return
	}
	var due []Entry
	for _, key := range sortedKeys(s.pendingVerifies) {
		v := s.pendingVerifies[key]
		if n.replica.RevisionOf(key) != v.Revision {
			delete(s.pendingVerifies, key)
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
	s.nextVerify = now.Add(verifyInterval)
	n.actions = append(n.actions, Verify{due})
}

// HandleVerify handles the result of a Verify: the current items of the keys and the store revision. A key without an
// item does not exist in the store.
func (n *Node) HandleVerify(now time.Time, items []kv.Item, revision int64, err error) {
	s := &n.store
	asked := s.verifying
	s.verifying = nil
	if err != nil || revision < s.revision {
		return
	}
	n.observeRevision(now, revision)
	current := make(map[string]Item, len(items))
	for _, i := range items {
		current[i.Key] = Item{Key: i.Key, Revision: i.ModRevision, Value: i.Value}
	}
	for _, e := range asked {
		delete(s.pendingVerifies, e.Key)
		item, exists := current[e.Key]
		if !exists {
			item = Item{Key: e.Key, Revision: revision, Deleted: true}
		}
		if item.Revision < e.Revision {
			n.disprove(e.Revision, item)
			continue
		}
		if n.replica.Apply(item) {
			n.queueAnnounce(now, item)
		}
	}
}
