package membership

import (
	"time"

	"github.com/chivemill/chivemill/membership/wire"
)

// maxRelays bounds the indirect probes that a node carries out at the same time for others.
const maxRelays = 64

// probeState is the probe of the present period.
type probeState struct {
	target   *member
	sequence uint64
	answered bool
	indirect bool
	started  time.Time
	next     time.Time
}

// relay is an indirect probe on behalf of another member.
type relay struct {
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
		n.askOthers(out)
	}
	if now.Before(p.next) {
		return
	}
	n.endProbe(now)
	p.next = now.Add(probeEvery)
	n.startProbe(now, out)
}

func (n *Node) endProbe(now time.Time) {
	p := &n.probe
	m := p.target
	p.target = nil
	if m == nil || p.answered || !m.isLive || m.phase != settled {
		return
	}
	n.stats.Suspicions++
	n.claimState(m, wire.State_STATE_SUSPECT)
	n.startPhase(m, suspected, now.Add(n.suspicionTimeout()))
}

// startProbe probes the next member of a shuffled list, so that each is probed once in a round.
func (n *Node) startProbe(now time.Time, out *outbox) {
	if len(n.live) == 0 {
		return
	}
	if len(n.order) == 0 {
		n.order = append(n.order, n.live...)
		n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	}
	last := len(n.order) - 1
	m := n.order[last]
	n.order = n.order[:last]
	n.probe = probeState{target: m, sequence: n.nextSequence(), started: now, next: n.probe.next}
	n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: n.probe.sequence}, out)
}

func (n *Node) askOthers(out *outbox) {
	target := n.probe.target
	for _, m := range n.randomLive(indirectProbes, target) {
		n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE_REQUEST, Sequence: n.probe.sequence,
			Target: target.claim}, out)
	}
}

// relayProbe probes a target for another member.
func (n *Node) relayProbe(now time.Time, from string, d *wire.Datagram, out *outbox) {
	if !validRecord(d.Target) {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	n.dropRelays(now)
	m := n.members[d.Target.Id]
	if m == nil || len(n.relays) >= maxRelays {
		n.stats.Full++
		return
	}
	seq := n.nextSequence()
	n.relays = append(n.relays, relay{sequence: seq, origin: d.Sequence, target: d.Target.Id, replyTo: from,
		expires: now.Add(probeEvery)})
	n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: seq}, out)
}

func (n *Node) dropRelays(now time.Time) {
	kept := n.relays[:0]
	for _, r := range n.relays {
		if now.Before(r.expires) {
			kept = append(kept, r)
		}
	}
	n.relays = kept
}

// acknowledge matches an answer to the probe, the verification or the relay that asked for it.
func (n *Node) acknowledge(now time.Time, from string, d *wire.Datagram, out *outbox) {
	p := &n.probe
	if p.target != nil && d.Sequence == p.sequence && n.isAnswerOf(p.target, from, d) {
		p.answered = true
	}
	if m := n.members[d.From.Id]; m != nil && m.phase == verifying && m.verifySeq == d.Sequence && from == m.claim.Address {
		// The member answers but did not refute: it stays live and is suspected anew.
		if State(d.From.State) == Alive {
			n.startPhase(m, suspected, now.Add(n.suspicionTimeout()))
		}
	}
	for i, r := range n.relays {
		if r.sequence == d.Sequence && r.target == d.From.Id {
			n.sendTo(r.replyTo, &wire.Datagram{Kind: wire.Kind_KIND_ACK, Sequence: r.origin, Target: d.From}, out)
			n.relays = append(n.relays[:i], n.relays[i+1:]...)
			return
		}
	}
}

// isAnswerOf accepts an answer of the target itself, or one that another member passed on.
func (n *Node) isAnswerOf(target *member, from string, d *wire.Datagram) bool {
	if d.From.Id == target.claim.Id {
		return from == target.claim.Address
	}
	return d.Target != nil && d.Target.Id == target.claim.Id
}

// randomLive returns up to k different live members except one.
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
