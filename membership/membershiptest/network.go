// Package membershiptest is an in-memory datagram network with virtual time for membership nodes.
package membershiptest

import (
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/membership"
)

// Link decides the fate of one datagram: the delays after which copies of it arrive. No delay means loss.
type Link func(rng *rand.Rand, from, to string) []time.Duration

// Network delivers datagrams between nodes and calls their ticks in virtual time. It is not safe for concurrent use.
type Network struct {
	// Link is asked for each datagram. It may be replaced at any time.
	Link Link

	rng    *rand.Rand
	now    time.Time
	nodes  map[string]*endpoint
	events events
	count  uint64
}

// endpoint is one running process. A restart at the same address is another endpoint.
type endpoint struct {
	address string
	node    *membership.Node
	paused  bool
	stopped bool
	// scheduled means that the next tick is among the events.
	scheduled bool
	// waiting are events that arrived during a pause.
	waiting []event
}

// maxWaiting bounds the datagrams kept for a paused node, as a socket buffer does.
const maxWaiting = 256

// event is the arrival of a datagram, a tick (at the endpoint that it names) or a call.
type event struct {
	at    time.Time
	count uint64
	to    string
	from  string
	data  []byte
	tick  *endpoint
	call  func()
}

// events is a binary heap. container/heap would allocate for each event, which dominates large simulations.
type events []event

func (e events) before(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].count < e[j].count
}

func (e *events) push(ev event) {
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

func (e *events) pop() event {
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

// NewNetwork returns a network without nodes whose random choices follow the seed.
func NewNetwork(seed uint64, link Link) *Network {
	return &Network{Link: link, rng: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*endpoint),
		now: time.Unix(1_700_000_000, 0)}
}

// Now returns the virtual time.
func (n *Network) Now() time.Time { return n.now }

// Rand returns the network's source of random numbers.
func (n *Network) Rand() *rand.Rand { return n.rng }

// Start runs a node at the address, in place of one that runs there.
func (n *Network) Start(address string, node *membership.Node) {
	n.Stop(address)
	e := &endpoint{address: address, node: node, scheduled: true}
	n.nodes[address] = e
	first := time.Duration(n.rng.Int64N(int64(membership.TickEvery)))
	n.push(event{at: n.now.Add(first), tick: e})
}

// Stop ends the node at the address without notice.
func (n *Network) Stop(address string) {
	if e := n.nodes[address]; e != nil {
		e.stopped = true
		delete(n.nodes, address)
	}
}

// Pause stops the node's ticks and keeps its datagrams until Resume.
func (n *Network) Pause(address string) {
	if e := n.nodes[address]; e != nil {
		e.paused = true
	}
}

// Resume ends a pause. The first tick comes before the datagrams that were kept, which is the harder order: the node
// sees its timers expired before it sees the answers.
func (n *Network) Resume(address string) {
	e := n.nodes[address]
	if e == nil || !e.paused {
		return
	}
	e.paused = false
	if !e.scheduled {
		e.scheduled = true
		n.push(event{at: n.now, tick: e})
	}
	for _, ev := range e.waiting {
		ev.at = n.now
		n.push(ev)
	}
	e.waiting = nil
}

// Node returns the node at the address, or nil.
func (n *Network) Node(address string) *membership.Node {
	if e := n.nodes[address]; e != nil {
		return e.node
	}
	return nil
}

// Send puts packets on the network, as if the address had sent them.
func (n *Network) Send(from string, packets []membership.Packet) {
	for _, p := range packets {
		for _, delay := range n.Link(n.rng, from, p.To) {
			n.push(event{at: n.now.Add(delay), to: p.To, from: from, data: p.Data})
		}
	}
}

// After calls f at the time now + d.
func (n *Network) After(d time.Duration, f func()) { n.push(event{at: n.now.Add(d), call: f}) }

// Run advances the virtual time.
func (n *Network) Run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		ev := n.events.pop()
		n.now = ev.at
		n.handle(ev)
	}
	n.now = end
}

func (n *Network) push(ev event) {
	n.count++
	ev.count = n.count
	n.events.push(ev)
}

func (n *Network) handle(ev event) {
	switch {
	case ev.call != nil:
		ev.call()
	case ev.tick != nil:
		n.tick(ev.tick)
	default:
		n.arrive(ev)
	}
}

func (n *Network) tick(e *endpoint) {
	if e.stopped || e.paused {
		e.scheduled = false
		return
	}
	n.Send(e.address, e.node.Tick(n.now))
	n.push(event{at: n.now.Add(membership.TickEvery), tick: e})
}

func (n *Network) arrive(ev event) {
	e := n.nodes[ev.to]
	if e == nil {
		return
	}
	if e.paused {
		if len(e.waiting) < maxWaiting {
			e.waiting = append(e.waiting, ev)
		}
		return
	}
	n.Send(e.address, e.node.Receive(n.now, ev.from, ev.data))
}
