package membership

import (
	"time"

	"github.com/chivemill/chivemill/membership/wire"
)

// maxRelayedProbes limits the number of concurrent indirect probes that a node performs for others.
const maxRelayedProbes = 64

// probeState is the state of the probe in the current probe interval.
type probeState struct {
	target   *member
	sequence uint64
	answered bool
	indirect bool
	started  time.Time
	next     time.Time
}

// relayedProbe is an indirect probe that this node performs on behalf of another member.
type relayedProbe struct {
	sequence uint64
	origin   uint64
	target   string
	replyTo  string
	expires  time.Time
}

func (n *Node) nextSequence() uint64 {
	n.sequence++
	return n.sequence
}

func (n *Node) tickProbe(now time.Time, out *outbox) {
	p := &n.probe
	if p.target != nil && !p.answered && !p.indirect && now.Sub(p.started) >= directTimeout {
		p.indirect = true
		n.requestIndirectProbes(out)
	}
	if now.Before(p.next) {
		return
	}
	n.endProbe(now)
	p.next = now.Add(probeInterval)
	n.startProbe(now, out)
}

func (n *Node) endProbe(now time.Time) {
	p := &n.probe
	m := p.target
	p.target = nil
	if m == nil || p.answered || !m.isLive || m.phase != phaseNone {
		return
	}
	n.stats.Suspicions++
	n.declareState(m, wire.State_STATE_SUSPECT)
	n.startPhase(m, phaseSuspected, now.Add(n.suspicionTimeout()))
}

// startProbe probes the next member in a shuffled order, so that each live member is probed once per round.
func (n *Node) startProbe(now time.Time, out *outbox) {
	if len(n.live) == 0 {
		return
	}
	if len(n.probeOrder) == 0 {
		n.probeOrder = append(n.probeOrder, n.live...)
		n.rng.Shuffle(len(n.probeOrder), func(i, j int) { n.probeOrder[i], n.probeOrder[j] = n.probeOrder[j], n.probeOrder[i] })
	}
	last := len(n.probeOrder) - 1
	m := n.probeOrder[last]
	n.probeOrder = n.probeOrder[:last]
	n.probe = probeState{target: m, sequence: n.nextSequence(), started: now, next: n.probe.next}
	n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: n.probe.sequence}, out)
}

// requestIndirectProbes asks random members to probe the target of the current probe.
func (n *Node) requestIndirectProbes(out *outbox) {
	target := n.probe.target
	for _, m := range n.randomLive(indirectProbes, target) {
		n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE_REQUEST, Sequence: n.probe.sequence,
			Target: target.record}, out)
	}
}

// relayProbe probes the target of a KIND_PROBE_REQUEST on behalf of its sender.
func (n *Node) relayProbe(now time.Time, from string, d *wire.Datagram, out *outbox) {
	if !validRecord(d.Target) {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	n.dropExpiredProbes(now)
	m := n.members[d.Target.Id]
	if m == nil || len(n.relayedProbes) >= maxRelayedProbes {
		n.stats.OverLimit++
		return
	}
	seq := n.nextSequence()
	n.relayedProbes = append(n.relayedProbes, relayedProbe{sequence: seq, origin: d.Sequence, target: d.Target.Id,
		replyTo: from, expires: now.Add(probeInterval)})
	n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: seq}, out)
}

func (n *Node) dropExpiredProbes(now time.Time) {
	kept := n.relayedProbes[:0]
	for _, r := range n.relayedProbes {
		if now.Before(r.expires) {
			kept = append(kept, r)
		}
	}
	n.relayedProbes = kept
}

// handleAck matches an acknowledgement to the current probe, a verification probe or a relayed probe.
func (n *Node) handleAck(now time.Time, from string, d *wire.Datagram, out *outbox) {
	p := &n.probe
	if p.target != nil && d.Sequence == p.sequence && n.isAckFor(p.target, from, d) {
		p.answered = true
	}
	if m := n.members[d.From.Id]; m != nil && m.phase == phaseVerifying && m.verifySequence == d.Sequence &&
		from == m.record.Address {
		// The member answered without refuting the record: it stays live, and a new suspicion phase starts.
		if State(d.From.State) == Alive {
			n.startPhase(m, phaseSuspected, now.Add(n.suspicionTimeout()))
		}
	}
	for i, r := range n.relayedProbes {
		if r.sequence == d.Sequence && r.target == d.From.Id {
			n.sendTo(r.replyTo, &wire.Datagram{Kind: wire.Kind_KIND_ACK, Sequence: r.origin, Target: d.From}, out)
			n.relayedProbes = append(n.relayedProbes[:i], n.relayedProbes[i+1:]...)
			return
		}
	}
}

// isAckFor reports whether the acknowledgement comes from the target itself or was relayed by another member.
func (n *Node) isAckFor(target *member, from string, d *wire.Datagram) bool {
	if d.From.Id == target.record.Id {
		return from == target.record.Address
	}
	return d.Target != nil && d.Target.Id == target.record.Id
}

// randomLive returns up to k distinct live members other than except.
func (n *Node) randomLive(k int, except *member) []*member {
	picked := make([]*member, 0, k)
	for tries := 0; len(picked) < k && tries < 4*k && len(n.live) > 0; tries++ {
		m := n.live[n.rng.IntN(len(n.live))]
		if m != except && !containsMember(picked, m) {
			picked = append(picked, m)
		}
	}
	return picked
}

func containsMember(list []*member, m *member) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}
