package confsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// Intervals and timeouts of the state machine.
const (
	// CompareInterval is the longest interval between two digest comparisons with a random peer, and between two
	// with the parent; jitter shortens it by up to a fifth.
	CompareInterval = 2 * time.Second
	// StaleAfter is the time within which an accepted change must be in force on all nodes. A confirmation that is
	// older makes the replica stale.
	StaleAfter = 11 * time.Second
	// callTimeout is the time after which a call without a response fails.
	callTimeout = 5 * time.Second
	// watchStopDelay keeps a watch open after the node stops being a watcher, so that a brief change of the member
	// list does not cause store calls.
	watchStopDelay = 5 * time.Second
	// maxAnnounceDelay is the longest delay before a watcher other than the first announces a change. The notice of
	// the first watcher usually makes the others unnecessary.
	maxAnnounceDelay = 300 * time.Millisecond
)

// Action is an I/O operation that the runner performs for the node: Call, Announce, List, Watch, StopWatch or Verify.
type Action interface{ action() }

// Call sends a request to a peer. The runner passes the response or the error to Node.HandleResponse.
type Call struct {
	ID      uint64
	Peer    Member
	Request Request
}

// Announce broadcasts a payload to all members.
type Announce struct{ Payload []byte }

// List reads all keys from the store. The runner passes the result to Node.HandleList.
type List struct{}

// Watch opens a watch that starts at revision From. The runner passes its batches to Node.HandleWatchBatch and its end
// to Node.HandleWatchEnd, each with the ID.
type Watch struct {
	ID   uint64
	From int64
}

// StopWatch closes the open watch.
type StopWatch struct{}

// Verify reads keys with a compare transaction, because a lagging replica of the store cannot answer one. The
// runner passes the result to Node.HandleVerify.
type Verify struct{ Entries []Entry }

func (Call) action()      {}
func (Announce) action()  {}
func (List) action()      {}
func (Watch) action()     {}
func (StopWatch) action() {}
func (Verify) action()    {}

// Config is the configuration of a node.
type Config struct {
	Self Member
	// Prefix is the common prefix of all keys.
	Prefix string
	// Seed is the seed of the node's random number generator.
	Seed uint64
	// Limits applies to items received from peers; the zero value means DefaultLimits.
	Limits Limits
	// OnChange is called for each applied item, one at a time. It must not call the node.
	OnChange func(Item)
	// NoParentCompare disables the digest comparison with the parent. It is used in measurements only.
	NoParentCompare bool
}

// call is a request that waits for its response.
type call struct {
	peer   Member
	sentAt time.Time
	onDone func(now time.Time, resp Response, err error)
}

// Node is the state machine that keeps a replica of the configuration up to date. It does no I/O and reads no
// clock. It is not safe for concurrent use; its Replica is.
type Node struct {
	cfg     Config
	replica *Replica
	rng     *rand.Rand
	// instance is a random number by which a peer detects that the node restarted during an exchange.
	instance uint64
	actions  []Action

	members map[string]Member
	peers   []Member
	role    Role

	nextID uint64
	calls  map[uint64]call

	revisionLimit    revisionLimit
	confirmed        lastConfirmation
	pendingFetches   map[string]*pendingFetch
	pendingAnnounces map[string]pendingAnnounce
	disproved        map[string]int64
	start            startState
	store            storeState

	nextCompare, nextParentCompare time.Time
}

// lastConfirmation is the newest confirmation. The zero value means that there is none.
type lastConfirmation struct {
	at       time.Time
	revision int64
}

type pendingAnnounce struct {
	notice
	due time.Time
}

// NewNode returns a node with an empty replica.
func NewNode(cfg Config) *Node {
	if cfg.Limits == (Limits{}) {
		cfg.Limits = DefaultLimits()
	}
	n := &Node{
		cfg:              cfg,
		replica:          NewReplica(cfg.OnChange),
		rng:              rand.New(rand.NewPCG(cfg.Seed, 0x636f6e6673796e63)),
		members:          make(map[string]Member),
		calls:            make(map[uint64]call),
		pendingFetches:   make(map[string]*pendingFetch),
		pendingAnnounces: make(map[string]pendingAnnounce),
		disproved:        make(map[string]int64),
	}
	n.instance = n.rng.Uint64()
	n.replica.limits = cfg.Limits
	n.start.asked = make(map[string]bool)
	n.store.pendingVerifies = make(map[string]pendingVerify)
	n.role = RoleOf(cfg.Self, nil)
	return n
}

// Replica returns the node's replica of the configuration.
func (n *Node) Replica() *Replica { return n.replica }

// SetMembers sets the live members, with or without the node itself.
func (n *Node) SetMembers(live []Member) {
	clear(n.members)
	n.peers = n.peers[:0]
	for _, m := range live {
		if m.ID != n.cfg.Self.ID {
			n.members[m.ID] = m
			n.peers = append(n.peers, m)
		}
	}
	n.role = RoleOf(n.cfg.Self, live)
}

// Actions returns the actions requested since the last call of Actions.
func (n *Node) Actions() []Action {
	out := n.actions
	n.actions = nil
	return out
}

// Tick advances the node to the given time. It must be called at least every 100 ms.
func (n *Node) Tick(now time.Time) {
	n.expireCalls(now)
	n.tickStore(now)
	if !n.start.ready {
		n.tickStart(now)
		return
	}
	n.tickCompare(now)
	n.tickFetches(now)
	n.tickAnnounces(now)
}

func (n *Node) expireCalls(now time.Time) {
	for _, id := range n.callIDs() {
		if now.Sub(n.calls[id].sentAt) > callTimeout {
			n.HandleResponse(now, id, nil, errNoAnswer)
		}
	}
}

// callIDs returns the IDs of the open calls in ascending order, so that runs are deterministic.
func (n *Node) callIDs() []uint64 {
	if len(n.calls) == 0 {
		return nil
	}
	ids := make([]uint64, 0, len(n.calls))
	for id := range n.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) send(now time.Time, peer Member, req Request, onDone func(time.Time, Response, error)) {
	n.nextID++
	n.calls[n.nextID] = call{peer, now, onDone}
	n.actions = append(n.actions, Call{n.nextID, peer, req})
}

// HandleResponse handles the response to a call, or the error that ended it. Answers to unknown calls are ignored.
func (n *Node) HandleResponse(now time.Time, id uint64, resp Response, err error) {
	c, ok := n.calls[id]
	if !ok {
		return
	}
	delete(n.calls, id)
	c.onDone(now, resp, err)
}

func (n *Node) tickCompare(now time.Time) {
	if len(n.peers) == 0 {
		return
	}
	if !now.Before(n.nextCompare) {
		n.nextCompare = now.Add(n.jitter(CompareInterval))
		n.compare(now, n.peers[n.rng.IntN(len(n.peers))])
	}
	if n.role.HasParent && !n.cfg.NoParentCompare && !now.Before(n.nextParentCompare) {
		n.nextParentCompare = now.Add(n.jitter(CompareInterval))
		n.compare(now, n.role.Parent)
	}
}

// jitter returns 80 to 100 percent of d, so that the nodes of a fleet do not act at the same time.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(n.rng.Int64N(int64(d/5)+1))
}

func (n *Node) tickAnnounces(now time.Time) {
	for _, key := range sortedKeys(n.pendingAnnounces) {
		a := n.pendingAnnounces[key]
		if now.Before(a.due) {
			continue
		}
		delete(n.pendingAnnounces, key)
		if payload, ok := a.encode(); ok {
			n.actions = append(n.actions, Announce{payload})
		}
	}
}

// queueAnnounce schedules the notice of an item read from the store. The first watcher of the fleet sends it without
// a delay.
func (n *Node) queueAnnounce(now time.Time, item Item) {
	delay := time.Duration(0)
	if n.role.FleetRank > 0 {
		delay = maxAnnounceDelay/3 + time.Duration(n.rng.Int64N(int64(maxAnnounceDelay)*2/3))
	}
	n.pendingAnnounces[item.Key] = pendingAnnounce{notice{Entry{item.Key, item.Revision}, n.cfg.Self.ID}, now.Add(delay)}
}

func toItem(e kv.Event) Item {
	return Item{Key: e.Item.Key, Revision: e.Item.ModRevision, Value: e.Item.Value, Deleted: e.Deleted}
}
