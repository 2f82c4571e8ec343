// Package membership maintains the list of entry daemons and detects failed ones with a gossip protocol in the style
// of SWIM.
//
// Node is a deterministic state machine without I/O: it takes the time and received datagrams as inputs and returns
// the packets to send. Transport connects a Node to a UDP socket.
//
// Failures are detected by probes that the target has to acknowledge. A record from a third party cannot remove a
// member by itself: a record that reports a member as failed or left takes effect only after the member was sent that
// record and either confirmed it or left verification probes unanswered. The protocol does not authenticate senders.
// It limits what a faulty peer can change, and it assumes that source addresses are not forged.
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
	// MaxMembers is the largest number of records, including those of failed and left members. It is about three
	// times the number of entry daemons expected in two years.
	MaxMembers = 4096

	// maxFieldBytes is the largest length of a text field of a record and of a page cursor.
	maxFieldBytes = 64
	// maxNonAliveIncarnation is the largest incarnation of a record whose state is not alive. Alive records may have
	// up to twice that value, so that a member can always refute a forged record. Above maxNonAliveIncarnation, a
	// third party cannot change a member's address.
	maxNonAliveIncarnation = 1 << 40
)

// Intervals, timeouts and fanouts of the protocol.
const (
	// TickInterval is the interval at which Tick must be called.
	TickInterval = 100 * time.Millisecond

	probeInterval           = time.Second
	directTimeout           = 400 * time.Millisecond
	indirectProbes          = 3
	verifyInterval          = 400 * time.Millisecond
	baseVerificationTimeout = time.Second
	// meanVerifiers is the mean number of members that probe a member reported as failed or left. If all members did,
	// a planned leave in a fleet of 1,400 nodes would send the leaving node 400 KB of probes within a second.
	meanVerifiers           = 32
	maxVerificationsPerTick = 8
	// reconnectInterval is the mean interval at which a node probes a failed member and a seed. A node without live
	// members probes a failed member and seedsPerJoin seeds every joinInterval instead.
	reconnectInterval = 5 * time.Second
	joinInterval      = time.Second
	seedsPerJoin      = 3
	syncInterval      = 10 * time.Second
	// deadRetention is how long failed and left members stay in the list. It covers a partition of several minutes;
	// after a longer one, the seeds from the VM list still reconnect the partitions.
	deadRetention = 30 * time.Minute
	// pauseThreshold is the gap between two ticks from which on the node assumes that its own process was paused and
	// discards the probe that timed out in the meantime.
	pauseThreshold = 500 * time.Millisecond
	// leaveFanout is the number of members that a leaving node notifies directly.
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

// Values of State. Within one incarnation, the higher state takes precedence. Alive and Suspect members are live.
const (
	Alive   = State(wire.State_STATE_ALIVE)
	Suspect = State(wire.State_STATE_SUSPECT)
	Failed  = State(wire.State_STATE_FAILED)
	Left    = State(wire.State_STATE_LEFT)
)

// String returns the name of the state in lower case.
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

// Live reports whether a member in this state is live.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Packet is one datagram to send. To is host:port.
type Packet struct {
	To   string
	Data []byte
}

// Seed is the address of an entry daemon on the platform's VM list. ID is its member identifier.
type Seed struct {
	ID      string
	Address string
}

// Config configures a Node. Self and Rand are required.
type Config struct {
	// Self is the node's own record. Incarnation 0 means 1; the node raises it when a peer has a record with the same
	// or a higher incarnation.
	Self Member
	// Rand is the source of all random choices. The node must be its only user.
	Rand *rand.Rand
	// Deliver is called by Receive for each broadcast payload. It returns the key under which a newer payload replaces
	// an older one, and whether the payload is new; only new payloads are forwarded. If Deliver is nil, payloads are
	// ignored.
	Deliver func(payload []byte) (key string, fresh bool)
	// InitialMembers are the initial members, for example the list of a peer. They are merged like gossip but not
	// forwarded.
	InitialMembers []Member
	// ByteRate is the rate in bytes per second above which gossip and pages are delayed. Probes and acknowledgements
	// are always sent, but without records. The default is DefaultByteRate.
	ByteRate int
	// MaxMembers sets a limit on records below the constant MaxMembers; 0 means that constant.
	MaxMembers int
}

// DefaultByteRate leaves a third of a node's control traffic budget of 12 KB/s to bursts of probes and to
// configuration.
const DefaultByteRate = 8000

// burstBytes is the capacity of the token bucket that enforces the byte rate.
const burstBytes = 3 * MaxDatagram

// Stats holds a node's counters since its start.
type Stats struct {
	SentPackets, SentBytes         uint64
	ReceivedPackets, ReceivedBytes uint64
	// Suspicions counts members that this node's own probes made suspect, Failures members that became failed, and
	// Refutations how often the node raised its own incarnation.
	Suspicions, Failures, Refutations uint64
	// OverLimit counts records, payloads, datagrams and indirect probes that were dropped because they exceeded a limit,
	// and indirect probes of unknown targets.
	OverLimit uint64
	// Invalid counts rejected datagrams and records by reason.
	Invalid [NumInvalidReasons]uint64
}

// Node is the protocol state machine of one member. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	self    *wire.Record
	leaving bool
	rng     *rand.Rand
	stats   Stats

	members map[string]*member
	// ids holds the identifiers of members in sorted order, from which pages are built.
	ids   []string
	live  []*member
	dead  []*member
	seeds []Seed
	// addressChanges holds members for which the current datagram, sent by a third party, had another address.
	addressChanges []*member
	// pending holds the members in a suspicion or verification phase.
	pending []*member

	probe         probeState
	probeOrder    []*member
	relayedProbes []relayedProbe
	sequence      uint64
	queue         gossipQueue
	pull          pullState

	lastTick      time.Time
	nextReconnect time.Time
	// failedIndex is the position in dead of the last failed member that was probed, for a round robin.
	failedIndex int
	nextExpiry  time.Time
	tokens      float64
}

type phase uint8

const (
	phaseNone phase = iota
	phaseSuspected
	phaseVerifying
)

// member is the state kept for another node. While phase is phaseVerifying, a record of a failure or leave is not yet
// in effect.
type member struct {
	record *wire.Record
	// previousAddress is the address before a third party reported another one. It is cleared when the member sends a
	// datagram from the new one.
	previousAddress string
	// stale means that the member's last datagram contained an older record of itself than record.
	stale    bool
	isLive   bool
	position int
	phase    phase
	deadline time.Time
	// nextVerify is when the next verification probe is due. It is zero until the first one is sent.
	nextVerify time.Time
	// verifier means that this node sends verification probes. Other nodes wait for a refutation by gossip.
	verifier       bool
	verifySequence uint64
	deadSince      time.Time
}

func (m *member) state() State {
	s := State(m.record.State)
	switch {
	case m.isLive && !s.Live():
		return Suspect
	case !m.isLive && s.Live():
		return Failed
	}
	return s
}

// NewNode returns a node that knows only itself and the members in cfg.InitialMembers.
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
	n.queue.items = make(map[string]*gossipItem)
	n.tokens = burstBytes
	n.loadKnown(cfg.InitialMembers)
	return n
}

func (n *Node) loadKnown(known []Member) {
	n.queue.ownRecordOnly = true
	for _, m := range known {
		r := &wire.Record{Id: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region,
			Incarnation: m.Incarnation, State: wire.State(m.State)}
		if validRecord(r) && r.Id != n.self.Id {
			n.merge(time.Time{}, r, false)
		}
	}
	n.queue.ownRecordOnly = false
	if len(known) > 0 {
		n.pull.passes = 1
	}
}

// SetSeeds replaces the seeds. They may be out of date and may include the node itself.
func (n *Node) SetSeeds(seeds []Seed) {
	n.seeds = slices.Clone(seeds[:min(len(seeds), n.cfg.MaxMembers)])
}

// Tick runs all timers that are due and returns the packets to send. It must be called every TickInterval.
func (n *Node) Tick(now time.Time) []Packet {
	var out outbox
	n.refillTokens(now)
	n.handlePause(now)
	n.lastTick = now
	n.tickProbe(now, &out)
	n.tickPending(now, &out)
	n.tickPull(now, &out)
	n.tickReconnect(now, &out)
	n.tickGossip(&out)
	n.tickExpiry(now)
	return n.countSent(out)
}

// Receive processes one datagram from the address and returns the packets to send. Invalid datagrams are counted and
// otherwise ignored.
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
	n.mergeDatagram(now, from, d)
	n.respond(now, from, d, &out)
	n.probeChangedAddresses(&out)
	return n.countSent(out)
}

// Leave announces a planned leave to some members immediately; Tick spreads the announcement to the others. The node
// continues to answer probes.
func (n *Node) Leave(now time.Time) []Packet {
	n.leaving = true
	n.self.State = wire.State_STATE_LEFT
	n.queueRecord(n.self)
	var out outbox
	for _, m := range n.randomLive(leaveFanout, nil) {
		n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_GOSSIP}, &out)
	}
	return n.countSent(out)
}

// Members returns all known members including the node itself, sorted by identifier. Failed and left members are
// included until they expire.
func (n *Node) Members() []Member {
	list := make([]Member, 0, len(n.ids)+1)
	list = append(list, toMember(n.self, State(n.self.State)))
	for _, id := range n.ids {
		m := n.members[id]
		list = append(list, toMember(m.record, m.state()))
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Synced reports whether the node has completed joinPasses full reads of other members' lists since its start. One
// read is not enough for nodes that join at the same time.
func (n *Node) Synced() bool { return n.pull.passes >= joinPasses }

// HasMemberList reports whether the node has completed at least one full read of the member list, or started with one.
func (n *Node) HasMemberList() bool { return n.pull.passes > 0 }

// NumLive returns the number of live members including the node itself.
func (n *Node) NumLive() int { return len(n.live) + 1 }

// State returns the state of a member and whether the member is known.
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

// QueueLen returns the number of records and payloads that are queued for gossip.
func (n *Node) QueueLen() int { return len(n.queue.items) }

func toMember(r *wire.Record, s State) Member {
	return Member{ID: r.Id, Address: r.Address, DataCentre: r.DataCentre, Region: r.Region,
		Incarnation: r.Incarnation, State: s}
}

// handlePause extends the timers by a pause of the node's own process, so that the node does not suspect members whose
// acknowledgements it could not receive.
func (n *Node) handlePause(now time.Time) {
	gap := now.Sub(n.lastTick)
	if n.lastTick.IsZero() || gap < pauseThreshold {
		return
	}
	n.probe.target = nil
	for _, m := range n.pending {
		m.deadline = m.deadline.Add(gap)
		if m.phase == phaseVerifying {
			m.nextVerify = time.Time{}
		}
	}
}

// startVerification starts the phase in which a member can refute its failure or leave.
func (n *Node) startVerification(now time.Time, m *member) {
	m.nextVerify = time.Time{}
	m.verifier = n.rng.IntN(n.NumLive()) < meanVerifiers
	n.startPhase(m, phaseVerifying, now.Add(n.verificationTimeout()))
}

// verificationTimeout returns the duration of the verification phase. It is longer if only some members send probes,
// because the refutation then spreads by gossip, which takes about log n rounds.
func (n *Node) verificationTimeout() time.Duration {
	if n.NumLive() <= meanVerifiers {
		return baseVerificationTimeout
	}
	return baseVerificationTimeout + time.Duration(n.log2Live())*200*time.Millisecond
}

// log2Live returns log2 of the number of live members, rounded up and at least 1.
func (n *Node) log2Live() int { return max(1, bits.Len(uint(n.NumLive()-1))) }

// suspicionTimeout returns the duration of the suspicion phase. It grows with log n because a refutation takes about
// log n rounds of gossip to arrive.
func (n *Node) suspicionTimeout() time.Duration {
	return max(4*time.Second, time.Duration(n.log2Live())*1200*time.Millisecond)
}

// refillTokens adds the tokens for the time since the last tick to the token bucket of the byte rate.
func (n *Node) refillTokens(now time.Time) {
	if n.lastTick.IsZero() {
		return
	}
	rate := float64(n.cfg.ByteRate)
	n.tokens = min(burstBytes, max(n.tokens, -rate)+rate*now.Sub(n.lastTick).Seconds())
}

func (n *Node) countSent(out outbox) []Packet {
	n.stats.SentPackets += uint64(len(out))
	for _, p := range out {
		n.stats.SentBytes += uint64(len(p.Data))
	}
	return out
}
