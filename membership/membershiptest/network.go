// Package membershiptest simulates a datagram network with virtual time for tests of membership nodes.
package membershiptest

import (
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/membership"
)

// LinkFunc returns the delays after which copies of a datagram arrive. An empty result means that the datagram is lost.
type LinkFunc func(rng *rand.Rand, from, to string) []time.Duration

// Network delivers datagrams between nodes and calls their Tick methods in virtual time. It is not safe for concurrent
// use.
type Network struct {
	// Link is called for each datagram. It may be replaced at any time.
	Link LinkFunc

	rng      *rand.Rand
	now      time.Time
	nodes    map[string]*endpoint
	queue    eventQueue
	sequence uint64
}

// endpoint is one run of a node. A restart at the same address creates a new endpoint.
type endpoint struct {
	address string
	node    *membership.Node
	paused  bool
	stopped bool
	// tickScheduled means that the next tick is in the event queue.
	tickScheduled bool
	// buffered holds the datagrams that arrived during a pause.
	buffered []event
}

// maxBuffered limits the datagrams that are buffered for a paused node, like the size of a socket buffer.
const maxBuffered = 256

// event is the arrival of a datagram, a tick of an endpoint or a function call. Events at the same time are processed
// in the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence uint64
	to       string
	from     string
	data     []byte
	tick     *endpoint
	callback func()
}

// eventQueue is a binary heap. container/heap would allocate memory for each event, which dominates the run time of
// large simulations.
type eventQueue []event

func (e eventQueue) before(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

func (e *eventQueue) push(ev event) {
	*e = append(*e, ev)
	h := *e
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h.before(i, parent) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

func (e *eventQueue) pop() event {
	h := *e
	first, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	*e = h[:last]
	h = h[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if child+1 < last && h.before(child+1, child) {
			child++
		}
		if !h.before(child, i) {
			return first
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

// NewNetwork returns a network without nodes. The seed determines its random choices.
func NewNetwork(seed uint64, link LinkFunc) *Network {
	return &Network{Link: link, rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*endpoint),
		now: time.Unix(1_700_000_000, 0)}
}

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// Rand returns the network's source of random numbers.
func (n *Network) Rand() *rand.Rand { return n.rng }

// Start runs a node at the address. A node that already runs there is stopped first.
func (n *Network) Start(address string, node *membership.Node) {
	n.Stop(address)
	e := &endpoint{address: address, node: node, tickScheduled: true}
	n.nodes[address] = e
	first := time.Duration(n.rng.Int64N(int64(membership.TickInterval)))
	n.push(event{at: n.now.Add(first), tick: e})
}

// Stop stops the node at the address without a planned leave.
func (n *Network) Stop(address string) {
	if e := n.nodes[address]; e != nil {
		e.stopped = true
		delete(n.nodes, address)
	}
}

// Pause suspends the node's ticks and buffers its datagrams until Resume.
func (n *Network) Pause(address string) {
	if e := n.nodes[address]; e != nil {
		e.paused = true
	}
}

// Resume ends a pause. The first tick runs before the buffered datagrams are delivered. This is the harder order for
// the node, whose timers expire before it receives the acknowledgements.
func (n *Network) Resume(address string) {
	e := n.nodes[address]
	if e == nil || !e.paused {
		return
	}
	e.paused = false
	if !e.tickScheduled {
		e.tickScheduled = true
		n.push(event{at: n.now, tick: e})
	}
	for _, ev := range e.buffered {
		ev.at = n.now
		n.push(ev)
	}
	e.buffered = nil
}

// Node returns the node at the address, or nil.
func (n *Network) Node(address string) *membership.Node {
	if e := n.nodes[address]; e != nil {
		return e.node
	}
	return nil
}

// Send sends packets with the given source address.
func (n *Network) Send(from string, packets []membership.Packet) {
	for _, p := range packets {
		for _, delay := range n.Link(n.rng, from, p.To) {
			n.push(event{at: n.now.Add(delay), to: p.To, from: from, data: p.Data})
		}
	}
}

// After calls f once the virtual time has advanced by d.
func (n *Network) After(d time.Duration, f func()) { n.push(event{at: n.now.Add(d), callback: f}) }

// Advance moves the virtual time on by d and processes all events up to then.
func (n *Network) Advance(d time.Duration) {
	end := n.now.Add(d)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		ev := n.queue.pop()
		n.now = ev.at
		n.dispatch(ev)
	}
	n.now = end
}

func (n *Network) push(ev event) {
	n.sequence++
	ev.sequence = n.sequence
	n.queue.push(ev)
}

func (n *Network) dispatch(ev event) {
	switch {
	case ev.callback != nil:
		ev.callback()
	case ev.tick != nil:
		n.tick(ev.tick)
	default:
		n.deliver(ev)
	}
}

func (n *Network) tick(e *endpoint) {
	if e.stopped || e.paused {
		e.tickScheduled = false
		return
	}
	n.Send(e.address, e.node.Tick(n.now))
	n.push(event{at: n.now.Add(membership.TickInterval), tick: e})
}

func (n *Network) deliver(ev event) {
	e := n.nodes[ev.to]
	if e == nil {
		return
	}
	if e.paused {
		if len(e.buffered) < maxBuffered {
			e.buffered = append(e.buffered, ev)
		}
		return
	}
	n.Send(e.address, e.node.Receive(n.now, ev.from, ev.data))
}
