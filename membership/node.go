// Package membership detects failures between entry daemons and keeps the list of members, in the style of SWIM.
//
// Node is a deterministic state machine without sockets: it takes the time and received datagrams as inputs and
// returns the packets to send. Transport connects a Node to a UDP socket.
//
// Failure detection is by probes that the target answers. A record that a third party sends cannot by itself remove
// a member: a claim that a member failed or left takes effect only after the member, told of the claim, left
// verification probes unanswered or confirmed the claim. The protocol does not authenticate senders; it limits what
// a faulty peer can change, and it assumes that source addresses are not forged.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/chivemill/chivemill/membership/wire"
)

// Limits of the protocol.
const (
	// MaxDatagram is the largest datagram in bytes. It fits the usual path MTU with tunnel headers.
	MaxDatagram = 1200
	// MaxPayload is the largest broadcast payload in bytes.
	MaxPayload = 256
	// MaxMembers is the largest number of records, failed and left members included. It is about three times the
	// two-year size.
	MaxMembers = 4096

	maxText = 64
	// maxClaim is the largest incarnation of a record that is not alive. Alive records may go up to twice as far,
	// so that a member can always refute a forged claim. Above maxClaim a third party cannot change an address.
	maxClaim = 1 << 40
)

// Time constants of the protocol.
const (
	// TickEvery is the interval at which Tick has to be called.
	TickEvery = 100 * time.Millisecond

	probeEvery     = time.Second
	directTimeout  = 400 * time.Millisecond
	indirectProbes = 3
	verifyRetry    = 400 * time.Millisecond
	verifyTimeout  = time.Second
	// verifiers is the number of members on the mean that probe a member whose end is claimed. If all did, a planned
	// leave in a fleet of 1,400 would bring the leaving node 400 KB of probes within a second.
	verifiers      = 32
	verifyPerTick  = 8
	reconnectEvery = 5 * time.Second
	joinEvery      = time.Second
	joinSeeds      = 3
	syncEvery      = 10 * time.Second
	// keepFailed covers a partition of several minutes. After it, seeds of the VM list still join the parts.
	keepFailed = 30 * time.Minute
	// pauseGap is the time between two ticks after which the node takes itself as paused and discards the probes
	// that expired meanwhile.
	pauseGap = 500 * time.Millisecond
	// leaveFanout is the number of members that are told directly of a planned leave.
	leaveFanout = 8
)

// Member is one entry of the member list.
type Member struct {
	ID          string
	Address     string
	DataCentre  string
	Region      string
	Incarnation uint64
	State       State
}

// State is the state of a member.
type State uint8

// Values of State. Within one incarnation the higher state wins. Alive and Suspect members are live.
const (
	Alive   = State(wire.State_STATE_ALIVE)
	Suspect = State(wire.State_STATE_SUSPECT)
	Failed  = State(wire.State_STATE_FAILED)
	Left    = State(wire.State_STATE_LEFT)
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Failed:
		return "failed"
	case Left:
		return "left"
	}
	return "unknown"
}

// Live reports whether the state counts as live.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Packet is one datagram to send. To is host:port.
type Packet struct {
	To   string
	Data []byte
}

// Seed is the address of a daemon that the platform lists. ID is its member identifier.
type Seed struct {
	ID      string
	Address string
}

// Config configures a Node. Self and Rand are required.
type Config struct {
	// Self is the node's record. Incarnation 0 is taken as 1; the node learns of a higher one from its peers.
	Self Member
	// Rand supplies all random choices and is used only by the node.
	Rand *rand.Rand
	// Deliver is called from Receive for each broadcast payload. It returns the key under which a newer payload
	// replaces an older one, and whether the payload is new, in which case it is sent on. nil ignores payloads.
	Deliver func(payload []byte) (key string, fresh bool)
	// Known are members to begin with, for example the list of a peer. They are taken like gossip and not sent on.
	Known []Member
	// ByteRate is the number of bytes per second above which gossip and pages wait. Probes and acknowledgements
	// are sent in any case, without records. The default is DefaultByteRate.
	ByteRate int
	// MaxMembers lowers the limit on records below the constant of the same name; 0 means that constant.
	MaxMembers int
}

// DefaultByteRate leaves a third of the 12 KB/s control budget of a node to probes in bursts and to configuration.
const DefaultByteRate = 8000

// burst is the number of bytes that may be sent at once after a quiet time.
const burst = 3 * MaxDatagram

// Stats are counters since the start of a node.
type Stats struct {
	SentPackets, SentBytes         uint64
	ReceivedPackets, ReceivedBytes uint64
	// Suspicions counts suspicions by own probes, Failures members that became failed, and Refutations own
	// incarnations that were raised.
	Suspicions, Failures, Refutations uint64
	// Full counts records and payloads that did not fit the limits.
	Full uint64
	// Invalid counts rejected datagrams and records by reason.
	Invalid [NumInvalid]uint64
}

// Node is the state machine of one member. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	self    *wire.Record
	leaving bool
	rng     *rand.Rand
	stats   Stats

	members map[string]*member
	// ids are the sorted identifiers of members, for pages.
	ids   []string
	live  []*member
	dead  []*member
	seeds []Seed
	// moved are members whose claimed address a third party has just changed.
	moved []*member
	// pending are members in a suspicion or verification phase.
	pending []*member

	probe    probeState
	order    []*member
	relays   []relay
	sequence uint64
	queue    queue
	pull     pullState

	lastTick      time.Time
	nextReconnect time.Time
	// nextFailed takes the failed members in turn.
	nextFailed int
	nextExpire time.Time
	tokens     float64
}

type phase uint8

const (
	settled phase = iota
	suspected
	verifying
)

// member holds the newest claim about another node. While phase is verifying, a failed or left claim is not yet
// in effect.
type member struct {
	claim *wire.Record
	// previous is the address before a third party claimed another one, until the member confirms that one.
	previous string
	// stale means that the member's last datagram held an older record of itself than the claim.
	stale    bool
	isLive   bool
	position int
	phase    phase
	deadline time.Time
	// nextVerify is when the next verification probe is due; the zero time means that none was sent.
	nextVerify time.Time
	// verifier means that this node sends verification probes; the others wait for the refutation by gossip.
	verifier  bool
	verifySeq uint64
	deadSince time.Time
}

func (m *member) state() State {
	s := State(m.claim.State)
	switch {
	case m.isLive && !s.Live():
		return Suspect
	case !m.isLive && s.Live():
		return Failed
	}
	return s
}

// NewNode returns a node that knows only itself.
func NewNode(cfg Config) *Node {
	if cfg.ByteRate == 0 {
		cfg.ByteRate = DefaultByteRate
	}
	if cfg.MaxMembers == 0 || cfg.MaxMembers > MaxMembers {
		cfg.MaxMembers = MaxMembers
	}
	self := &wire.Record{Id: cfg.Self.ID, Address: cfg.Self.Address, DataCentre: cfg.Self.DataCentre,
		Region: cfg.Self.Region, Incarnation: max(1, cfg.Self.Incarnation), State: wire.State_STATE_ALIVE}
	n := &Node{cfg: cfg, self: self, rng: cfg.Rand, members: make(map[string]*member)}
	n.sequence = uint64(n.rng.Uint32())
	n.queue.items = make(map[string]*item)
	n.tokens = burst
	n.load(cfg.Known)
	return n
}

func (n *Node) load(known []Member) {
	n.queue.closed = true
	for _, m := range known {
		r := &wire.Record{Id: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
			Incarnation: m.Incarnation, State: wire.State(m.State)}
		if validRecord(r) && r.Id != n.self.Id {
			n.merge(time.Time{}, r, false)
		}
	}
	n.queue.closed = false
	if len(known) > 0 {
		n.pull.passes = 1
	}
}

// SetSeeds replaces the addresses of listed daemons. The list may lag and may contain the node itself.
func (n *Node) SetSeeds(seeds []Seed) {
	n.seeds = slices.Clone(seeds[:min(len(seeds), n.cfg.MaxMembers)])
}

// Tick performs what is due. It has to be called every TickEvery.
func (n *Node) Tick(now time.Time) []Packet {
	var out outbox
	n.refill(now)
	n.skipPause(now)
	n.lastTick = now
	n.tickProbe(now, &out)
	n.tickPending(now, &out)
	n.tickPull(now, &out)
	n.tickReconnect(now, &out)
	n.tickGossip(&out)
	n.tickExpire(now)
	return n.sent(out)
}

// Receive takes one datagram from the address. Invalid datagrams are counted and have no effect.
func (n *Node) Receive(now time.Time, from string, data []byte) []Packet {
	n.stats.ReceivedPackets++
	n.stats.ReceivedBytes += uint64(len(data))
	d, reason := decode(data)
	if reason != invalidNone {
		n.stats.Invalid[reason]++
		return nil
	}
	if d.From.Id == n.self.Id && from == n.self.Address {
		return nil
	}
	var out outbox
	n.learn(now, from, d)
	n.answer(now, from, d, &out)
	n.askMoved(&out)
	return n.sent(out)
}

// Leave announces the planned leave at once and keeps answering probes. Tick spreads the announcement further.
func (n *Node) Leave(now time.Time) []Packet {
	n.leaving = true
	n.self.State = wire.State_STATE_LEFT
	n.pushRecord(n.self)
	var out outbox
	for _, m := range n.randomLive(leaveFanout, nil) {
		n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_GOSSIP}, &out)
	}
	return n.sent(out)
}

// Members returns all members that are known, the node itself included, sorted by identifier. Failed and left
// members are listed until they expire.
func (n *Node) Members() []Member {
	list := make([]Member, 0, len(n.ids)+1)
	list = append(list, toMember(n.self, State(n.self.State)))
	for _, id := range n.ids {
		m := n.members[id]
		list = append(list, toMember(m.claim, m.state()))
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Synced reports whether the node has read the lists of other members in full often enough since it started.
// Nodes that join at the same time are complete only after a further reading.
func (n *Node) Synced() bool { return n.pull.passes >= joinPasses }

// HasList reports whether the node has read the list of another member in full at least once since it started.
func (n *Node) HasList() bool { return n.pull.passes > 0 }

// NumLive returns the number of live members, the node itself included.
func (n *Node) NumLive() int { return len(n.live) + 1 }

// State returns the state of one member and whether it is known.
func (n *Node) State(id string) (State, bool) {
	if id == n.self.Id {
		return State(n.self.State), true
	}
	m, ok := n.members[id]
	if !ok {
		return 0, false
	}
	return m.state(), true
}

// Incarnation returns the node's own incarnation.
func (n *Node) Incarnation() uint64 { return n.self.Incarnation }

// Stats returns the counters.
func (n *Node) Stats() Stats { return n.stats }

// QueueLen returns the number of records and payloads that wait to be sent on.
func (n *Node) QueueLen() int { return len(n.queue.items) }

func toMember(r *wire.Record, s State) Member {
	return Member{ID: r.Id, Address: r.Address, DataCentre: r.DataCentre, Region: r.Region,
		Incarnation: r.Incarnation, State: s}
}

// skipPause keeps a paused node from judging others by answers that it was not there to receive.
func (n *Node) skipPause(now time.Time) {
	gap := now.Sub(n.lastTick)
	if n.lastTick.IsZero() || gap < pauseGap {
		return
	}
	n.probe.target = nil
	for _, m := range n.pending {
		m.deadline = m.deadline.Add(gap)
		if m.phase == verifying {
			m.nextVerify = time.Time{}
		}
	}
}

// startVerifying begins the phase in which a member can refute its end.
func (n *Node) startVerifying(now time.Time, m *member) {
	m.nextVerify = time.Time{}
	m.verifier = n.rng.IntN(n.NumLive()) < verifiers
	n.startPhase(m, verifying, now.Add(n.verifyWait()))
}

// verifyWait is longer if only some members probe: the refutation then travels by gossip, in about log n rounds.
func (n *Node) verifyWait() time.Duration {
	if n.NumLive() <= verifiers {
		return verifyTimeout
	}
	return verifyTimeout + time.Duration(n.logSize())*200*time.Millisecond
}

// logSize returns log2 of the number of live members, rounded up, at least 1.
func (n *Node) logSize() int { return max(1, bits.Len(uint(n.NumLive()-1))) }

// suspicionTimeout grows with log n because the refutation needs about log n rounds to come back.
func (n *Node) suspicionTimeout() time.Duration {
	return max(4*time.Second, time.Duration(n.logSize())*1200*time.Millisecond)
}

func (n *Node) refill(now time.Time) {
	if n.lastTick.IsZero() {
		return
	}
	rate := float64(n.cfg.ByteRate)
	n.tokens = min(burst, max(n.tokens, -rate)+rate*now.Sub(n.lastTick).Seconds())
}

func (n *Node) sent(out outbox) []Packet {
	n.stats.SentPackets += uint64(len(out))
	for _, p := range out {
		n.stats.SentBytes += uint64(len(p.Data))
	}
	return out
}
