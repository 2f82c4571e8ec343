package confsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivemill/chivemill/kv"
)

// Times of the state machine.
const (
	// CompareInterval is the time between two digest comparisons with a random peer, and between two with the
	// parent.
	CompareInterval = 2 * time.Second
	// StaleAfter is the bound within which an accepted change is in force everywhere.
	StaleAfter = 11 * time.Second
	// callTimeout is the age at which a call without an answer is given up.
	callTimeout = 5 * time.Second
	// watchHold keeps a watch open after the member stops being chosen, so that a member list that changes for a
	// moment does not cost store calls.
	watchHold = 5 * time.Second
	// announceSpread delays the notices of all watchers but the first, which mostly makes theirs unnecessary.
	announceSpread = 300 * time.Millisecond
)

// Action is a step that the node asks its runner for: Call, Announce, List, Watch, StopWatch or Verify.
type Action interface{ action() }

// Call sends a request to a peer. The runner passes the response or the error to Node.Answer.
type Call struct {
	ID      uint64
	Peer    Member
	Request Request
}

// Announce passes a payload to the membership broadcast.
type Announce struct{ Payload []byte }

// List reads all keys from the store. The runner passes the result to Node.Listed.
type List struct{}

// Watch opens a watch from the revision on. The runner passes batches to Node.WatchBatch and its end to
// Node.WatchEnded, each with the ID.
type Watch struct {
	ID   uint64
	From int64
}

// StopWatch ends the watch.
type StopWatch struct{}

// Verify reads keys through a compare transaction, which a lagging replica of the store does not answer. The
// runner passes the result to Node.Verified.
type Verify struct{ Entries []Entry }

func (Call) action()      {}
func (Announce) action()  {}
func (List) action()      {}
func (Watch) action()     {}
func (StopWatch) action() {}
func (Verify) action()    {}

// Config describes a node.
type Config struct {
	Self Member
	// Prefix is the common prefix of all keys.
	Prefix string
	// Seed makes the node's random choices repeatable.
	Seed uint64
	// Limits bound what peers may add; the zero value means DefaultLimits.
	Limits Limits
	// OnChange is called for each applied item, one at a time. It must not call the node.
	OnChange func(Item)
	// NoParentCompare leaves out the digest comparison with the parent. It serves measurements.
	NoParentCompare bool
}

// call is a request without an answer yet.
type call struct {
	peer   Member
	sentAt time.Time
	done   func(now time.Time, resp Response, err error)
}

// Node keeps a copy of the configuration current. It does no I/O and reads no clock. It is not safe for
// concurrent use; its Replica is.
type Node struct {
	cfg     Config
	replica *Replica
	rng     *rand.Rand
	// instance lets a peer notice that the node restarted during an exchange.
	instance uint64
	actions  []Action

	members map[string]Member
	others  []Member
	place   Place

	nextID uint64
	calls  map[uint64]call

	horizon   horizon
	confirmed confirmedAt
	wants     map[string]*want
	announces map[string]announce
	disproved map[string]int64
	start     startState
	store     storeState

	compareDue, parentDue time.Time
}

// confirmedAt is the newest confirmation. The zero value means none.
type confirmedAt struct {
	at       time.Time
	revision int64
}

type announce struct {
	notice
	due time.Time
}

// NewNode returns a node with an empty copy.
func NewNode(cfg Config) *Node {
	if cfg.Limits == (Limits{}) {
		cfg.Limits = DefaultLimits()
	}
	n := &Node{
		cfg:       cfg,
		replica:   NewReplica(cfg.OnChange),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0x636f6e6673796e63)),
		members:   make(map[string]Member),
		calls:     make(map[uint64]call),
		wants:     make(map[string]*want),
		announces: make(map[string]announce),
		disproved: make(map[string]int64),
	}
	n.instance = n.rng.Uint64()
	n.replica.limits = cfg.Limits
	n.start.asked = make(map[string]bool)
	n.store.suspects = make(map[string]suspect)
	n.place = PlaceOf(cfg.Self, nil)
	return n
}

// Replica returns the copy.
func (n *Node) Replica() *Replica { return n.replica }

// SetMembers sets the live members, with or without the node itself.
func (n *Node) SetMembers(live []Member) {
	clear(n.members)
	n.others = n.others[:0]
	for _, m := range live {
		if m.ID != n.cfg.Self.ID {
			n.members[m.ID] = m
			n.others = append(n.others, m)
		}
	}
	n.place = PlaceOf(n.cfg.Self, live)
}

// Actions returns the actions since the last call.
func (n *Node) Actions() []Action {
	out := n.actions
	n.actions = nil
	return out
}

// Tick advances the node to the time. It is called at least every 100 ms.
func (n *Node) Tick(now time.Time) {
	n.expireCalls(now)
	n.tickStore(now)
	if !n.start.ready {
		n.tickStart(now)
		return
	}
	n.tickCompare(now)
	n.tickWants(now)
	n.tickAnnounces(now)
}

func (n *Node) expireCalls(now time.Time) {
	for _, id := range n.callIDs() {
		if now.Sub(n.calls[id].sentAt) > callTimeout {
			n.Answer(now, id, nil, errNoAnswer)
		}
	}
}

// callIDs returns the open calls in a repeatable order.
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

func (n *Node) send(now time.Time, peer Member, req Request, done func(time.Time, Response, error)) {
	n.nextID++
	n.calls[n.nextID] = call{peer, now, done}
	n.actions = append(n.actions, Call{n.nextID, peer, req})
}

// Answer passes the response to a call, or the error that ended it. Answers to unknown calls are ignored.
func (n *Node) Answer(now time.Time, id uint64, resp Response, err error) {
	c, ok := n.calls[id]
	if !ok {
		return
	}
	delete(n.calls, id)
	c.done(now, resp, err)
}

func (n *Node) tickCompare(now time.Time) {
	if len(n.others) == 0 {
		return
	}
	if !now.Before(n.compareDue) {
		n.compareDue = now.Add(n.jitter(CompareInterval))
		n.compare(now, n.others[n.rng.IntN(len(n.others))])
	}
	if n.place.HasParent && !n.cfg.NoParentCompare && !now.Before(n.parentDue) {
		n.parentDue = now.Add(n.jitter(CompareInterval))
		n.compare(now, n.place.Parent)
	}
}

// jitter returns 80 to 100 percent of d, so that the nodes of a fleet do not act in step.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d*4/5 + time.Duration(n.rng.Int64N(int64(d/5)+1))
}

func (n *Node) tickAnnounces(now time.Time) {
	for _, key := range sortedKeys(n.announces) {
		a := n.announces[key]
		if now.Before(a.due) {
			continue
		}
		delete(n.announces, key)
		if payload, ok := a.encode(); ok {
			n.actions = append(n.actions, Announce{payload})
		}
	}
}

// changedInStore announces an item that a watch brought. The first watcher of the fleet does so at once.
func (n *Node) changedInStore(now time.Time, item Item) {
	delay := time.Duration(0)
	if n.place.FleetRank > 0 {
		delay = announceSpread/3 + time.Duration(n.rng.Int64N(int64(announceSpread)*2/3))
	}
	n.announces[item.Key] = announce{notice{Entry{item.Key, item.Revision}, n.cfg.Self.ID}, now.Add(delay)}
}

func toItem(e kv.Event) Item {
	return Item{Key: e.Item.Key, Revision: e.Item.ModRevision, Value: e.Item.Value, Deleted: e.Deleted}
}
