// Package confbench runs many confsync nodes in one process over an in-memory transport and store in virtual
// time. It is used by the tests of confsync and the benchmark chivemill-confbench.
package confbench

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/confsync"
)

// Prefix is the prefix of all configuration keys.
const Prefix = "/chivemill/config/"

// Intervals, timeouts and delays of the simulation.
const (
	tickInterval = 100 * time.Millisecond
	peerTimeout  = time.Second
	// memberListDelay is the time until the member lists reflect a change of reachability.
	memberListDelay = 3 * time.Second
)

var errNoResponse = eris.New("no response from the peer")

// Options configures a Network.
type Options struct {
	Nodes, DataCentres, Regions int
	Seed                        uint64
	// GossipRound is the time in which the membership broadcast doubles the number of nodes that have received a notice.
	GossipRound time.Duration
	// Size returns the size of a request or response on the wire in bytes; nil counts no bytes.
	Size func(message any) int
	// OnChange is called for each item that a node applies; it may be nil.
	OnChange func(node int, item confsync.Item)
	// NoParentCompare is passed to the nodes as confsync.Config.NoParentCompare.
	NoParentCompare bool
}

// Faults configures the faults of the transport. The zero value injects none.
type Faults struct {
	// Loss is the fraction of the messages that are lost, Duplicate that of the notices that are delivered twice.
	Loss, Duplicate float64
	// NoticeDelay is the maximum random delay that is added to a notice, which reorders notices.
	NoticeDelay time.Duration
}

// Traffic counts the messages and bytes that a node sent.
type Traffic struct{ Messages, Bytes int64 }

// Host holds a node of the network and its connectivity.
type Host struct {
	Index   int
	Member  confsync.Member
	Region  int
	Node    *confsync.Node
	Running bool
	// Isolated means that the node cannot reach any other node.
	Isolated bool
	Sent     Traffic
	// generation is incremented by each start, so that events for an earlier process are dropped.
	generation int
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Network runs nodes in virtual time. It is not safe for concurrent use.
type Network struct {
	opts   Options
	rng    *rand.Rand
	now    time.Time
	seq    uint64
	events eventQueue
	Hosts  []*Host
	Store  *Store
	Faults Faults
	// Partitioned means that nodes of different regions cannot reach each other.
	Partitioned bool
	// RewriteResponse, if not nil, returns the response to deliver in place of the given one.
	RewriteResponse func(from int, resp confsync.Response) confsync.Response
}

// NewNetwork returns a network whose nodes are running and know each other.
func NewNetwork(opts Options) *Network {
	n := &Network{
		opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), now: time.Unix(1_700_000_000, 0),
	}
	n.Store = newStore(n)
	for i := range opts.Nodes {
		dc := i % opts.DataCentres
		n.Hosts = append(n.Hosts, &Host{
			Index: i, Region: dc % opts.Regions,
			Member: confsync.Member{
				ID: fmt.Sprintf("entry-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
				DataCentre: fmt.Sprintf("dc-%d", dc),
			},
		})
	}
	for _, h := range n.Hosts {
		n.startNode(h)
	}
	n.UpdateMembers()
	return n
}

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// Advance processes the events of the given time and advances the virtual time by it.
func (n *Network) Advance(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *Network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.events, event{n.now.Add(d), n.seq, run})
}

// startNode starts a node with an empty copy of the configuration.
func (n *Network) startNode(h *Host) {
	h.Running = true
	h.generation++
	cfg := confsync.Config{
		Self: h.Member, Prefix: Prefix, Seed: n.rng.Uint64(), NoParentCompare: n.opts.NoParentCompare,
	}
	if n.opts.OnChange != nil {
		cfg.OnChange = func(item confsync.Item) { n.opts.OnChange(h.Index, item) }
	}
	h.Node = confsync.NewNode(cfg)
	n.scheduleTick(h, h.generation, time.Duration(n.rng.Int64N(int64(tickInterval))))
}

func (n *Network) scheduleTick(h *Host, generation int, in time.Duration) {
	n.after(in, func() {
		if !h.Running || h.generation != generation {
			return
		}
		h.Node.Tick(n.now)
		n.executeActions(h)
		n.scheduleTick(h, generation, tickInterval)
	})
}

// Stop ends a node without a planned leave.
func (n *Network) Stop(i int) {
	n.Hosts[i].Running = false
	n.after(memberListDelay, n.UpdateMembers)
}

// Start replaces a node by one with an empty copy of the configuration.
func (n *Network) Start(i int) {
	n.startNode(n.Hosts[i])
	n.Hosts[i].Node.SetMembers(n.reachable(n.Hosts[i]))
	n.after(memberListDelay, n.UpdateMembers)
}

// UpdateMembers sets each node's member list to the nodes that it can reach.
func (n *Network) UpdateMembers() {
	for _, h := range n.Hosts {
		if h.Running {
			h.Node.SetMembers(n.reachable(h))
		}
	}
}

// ScheduleMemberUpdate schedules an update of the member lists after the time that failure detection takes.
func (n *Network) ScheduleMemberUpdate() { n.after(memberListDelay, n.UpdateMembers) }

func (n *Network) reachable(h *Host) []confsync.Member {
	var live []confsync.Member
	for _, o := range n.Hosts {
		if o == h || n.canReach(h, o) {
			live = append(live, o.Member)
		}
	}
	return live
}

func (n *Network) canReach(a, b *Host) bool {
	return a.Running && b.Running && !a.Isolated && !b.Isolated && (!n.Partitioned || a.Region == b.Region)
}

func (n *Network) hostByID(id string) *Host {
	i := slices.IndexFunc(n.Hosts, func(h *Host) bool { return h.Member.ID == id })
	if i < 0 {
		return nil
	}
	return n.Hosts[i]
}

// executeActions executes the pending actions of a node.
func (n *Network) executeActions(h *Host) {
	for _, a := range h.Node.Actions() {
		switch a := a.(type) {
		case confsync.Call:
			n.call(h, a)
		case confsync.Announce:
			n.announce(h, a.Payload)
		default:
			n.Store.execute(h, a)
		}
	}
}

// handleEvent passes an event to a node, unless the node was stopped or replaced meanwhile, and executes its actions.
func (n *Network) handleEvent(h *Host, generation int, event func()) {
	if !h.Running || h.generation != generation {
		return
	}
	event()
	n.executeActions(h)
}

func (n *Network) call(h *Host, c confsync.Call) {
	generation := h.generation
	answer := func(resp confsync.Response, err error) {
		n.handleEvent(h, generation, func() { h.Node.HandleResponse(n.now, c.ID, resp, err) })
	}
	n.countSent(h, c.Request)
	peer := n.hostByID(c.Peer.ID)
	if peer == nil || n.rng.Float64() < n.Faults.Loss {
		n.after(peerTimeout, func() { answer(nil, errNoResponse) })
		return
	}
	n.after(n.linkDelay(h, peer), func() {
		if !n.canReach(h, peer) || n.rng.Float64() < n.Faults.Loss {
			n.after(peerTimeout, func() { answer(nil, errNoResponse) })
			return
		}
		resp := peer.Node.HandleRequest(n.now, h.Member.ID, c.Request)
		if n.RewriteResponse != nil {
			resp = n.RewriteResponse(peer.Index, resp)
		}
		n.countSent(peer, resp)
		n.executeActions(peer)
		n.after(n.linkDelay(peer, h), func() { answer(resp, nil) })
	})
}

// linkDelay returns the one-way delay between two nodes: 0.5 ms within a data centre, 3.5 ms between data centres,
// 12 ms between regions.
func (n *Network) linkDelay(a, b *Host) time.Duration {
	switch {
	case a.Region != b.Region:
		return 12 * time.Millisecond
	case a.Member.DataCentre != b.Member.DataCentre:
		return 3500 * time.Microsecond
	}
	return 500 * time.Microsecond
}

func (n *Network) countSent(h *Host, message any) {
	h.Sent.Messages++
	if n.opts.Size != nil {
		h.Sent.Bytes += int64(n.opts.Size(message))
	}
}

// announce simulates the membership broadcast: the number of nodes that have received the notice doubles each round,
// and each node repeats it 3·log2 n times in datagrams that it sends anyway.
func (n *Network) announce(from *Host, payload []byte) {
	rounds := math.Log2(float64(len(n.Hosts)) + 1)
	for _, h := range n.Hosts {
		h.Sent.Bytes += int64(float64(len(payload)) * 3 * rounds)
		if h == from || n.rng.Float64() < n.Faults.Loss {
			continue
		}
		copies := 1
		if n.rng.Float64() < n.Faults.Duplicate {
			copies = 2
		}
		for range copies {
			n.deliverNotice(from, h, payload, rounds)
		}
	}
}

func (n *Network) deliverNotice(from, to *Host, payload []byte, rounds float64) {
	in := time.Duration((0.5 + 0.7*n.rng.Float64()) * rounds * float64(n.opts.GossipRound))
	if n.Faults.NoticeDelay > 0 {
		in += time.Duration(n.rng.Int64N(int64(n.Faults.NoticeDelay)))
	}
	n.after(in, func() {
		if n.canReach(from, to) {
			to.Node.HandleNotice(n.now, payload)
			n.executeActions(to)
		}
	})
}
