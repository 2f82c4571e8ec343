package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// merge takes a valid record. direct means that it comes from the member's own address.
func (n *Node) merge(now time.Time, r *wire.Record, direct bool) {
	if r.Id == n.self.Id {
		n.refute(r)
		return
	}
	m := n.members[r.Id]
	if m == nil {
		n.insert(now, r)
		return
	}
	if r.Incarnation > maxClaim && !direct && !sameNode(r, m.claim) {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	if !less(m.claim, r) {
		n.hearRecord(r)
		if direct && !m.isLive && !less(r, m.claim) && r.State == wire.State_STATE_ALIVE {
			n.setLive(m)
		}
		return
	}
	n.noteAddress(m, r, direct)
	m.claim = r
	n.pushRecord(r)
	switch State(r.State) {
	case Alive:
		n.settle(m)
		n.setLive(m)
	case Suspect:
		n.setLive(m)
		n.startPhase(m, suspected, now.Add(n.suspicionTimeout()))
	default:
		n.takeEnd(now, m, direct)
	}
}

// noteAddress keeps the address of a member when a third party claims another one. Without it, a forged address
// would keep the member from hearing of the claim.
func (n *Node) noteAddress(m *member, r *wire.Record, direct bool) {
	if direct {
		m.previous = ""
		return
	}
	if r.Address == m.claim.Address || !m.isLive {
		return
	}
	if m.previous == "" {
		m.previous = m.claim.Address
	}
	n.moved = append(n.moved, m)
}

// askMoved probes the earlier addresses of members, so that a member that is still there can refute.
func (n *Node) askMoved(out *outbox) {
	for _, m := range n.moved {
		n.probePrevious(m, out)
	}
	n.moved = n.moved[:0]
}

func (n *Node) probePrevious(m *member, out *outbox) {
	if m.previous == "" {
		return
	}
	n.sendTo(m.previous, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: n.nextSequence(), Echo: m.claim}, out)
}

// takeEnd handles a new claim that a member failed or left. Only the member itself is believed at once.
func (n *Node) takeEnd(now time.Time, m *member, direct bool) {
	if direct || !m.isLive {
		n.setDead(now, m)
		return
	}
	if m.phase != verifying {
		n.startVerifying(now, m)
	}
}

// refute answers a claim about this node that is not its present record. A node that restarted with a lower
// incarnation learns here of its old one.
func (n *Node) refute(r *wire.Record) {
	if r.Incarnation < n.self.Incarnation {
		return
	}
	if r.Incarnation == n.self.Incarnation && (r.State <= n.self.State && sameNode(r, n.self)) {
		return
	}
	forged := r.Incarnation > maxClaim && !sameNode(r, n.self)
	if forged {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	if r.Incarnation > maxClaim || n.leaving && sameNode(r, n.self) {
		n.self.Incarnation = r.Incarnation
	} else {
		n.self.Incarnation = r.Incarnation + 1
	}
	n.stats.Refutations++
	n.pushRecord(n.self)
}

// insert adds an unknown member. Failed and left claims about unknown members are ignored: otherwise records
// that expired would be learned again from peers for ever.
func (n *Node) insert(now time.Time, r *wire.Record) {
	if !State(r.State).Live() {
		return
	}
	if len(n.members) >= n.cfg.MaxMembers && !n.evict() {
		n.stats.Full++
		return
	}
	m := &member{claim: r, position: -1}
	n.members[r.Id] = m
	at, _ := slices.BinarySearch(n.ids, r.Id)
	n.ids = slices.Insert(n.ids, at, r.Id)
	n.setLive(m)
	if r.State == wire.State_STATE_SUSPECT {
		n.startPhase(m, suspected, now.Add(n.suspicionTimeout()))
	}
	n.pushRecord(r)
}

// evict removes the member that is dead for the longest time and reports whether there was one.
func (n *Node) evict() bool {
	if len(n.dead) == 0 {
		return false
	}
	oldest := slices.MinFunc(n.dead, func(a, b *member) int { return a.deadSince.Compare(b.deadSince) })
	n.remove(oldest)
	return true
}

func (n *Node) remove(m *member) {
	n.dead = unlink(n.dead, m)
	delete(n.members, m.claim.Id)
	if at, ok := slices.BinarySearch(n.ids, m.claim.Id); ok {
		n.ids = slices.Delete(n.ids, at, at+1)
	}
}

func (n *Node) tickExpire(now time.Time) {
	if now.Before(n.nextExpire) {
		return
	}
	n.nextExpire = now.Add(time.Second)
	for i := len(n.dead) - 1; i >= 0; i-- {
		if m := n.dead[i]; now.Sub(m.deadSince) > keepFailed {
			n.remove(m)
		}
	}
}

func (n *Node) setLive(m *member) {
	if m.isLive {
		return
	}
	if m.position >= 0 {
		n.dead = unlink(n.dead, m)
	}
	m.isLive = true
	m.position = len(n.live)
	n.live = append(n.live, m)
	// A random place among the members that are still to be probed in this round, as in SWIM.
	at := n.rng.IntN(len(n.order) + 1)
	n.order = slices.Insert(n.order, at, m)
}

func (n *Node) setDead(now time.Time, m *member) {
	n.settle(m)
	if !m.isLive {
		return
	}
	if m.claim.State == wire.State_STATE_FAILED {
		n.stats.Failures++
	}
	n.live = unlink(n.live, m)
	m.isLive = false
	m.deadSince = now
	m.position = len(n.dead)
	n.dead = append(n.dead, m)
	// A member that comes back is inserted again, so the present entry must go.
	if at := slices.Index(n.order, m); at >= 0 {
		n.order = slices.Delete(n.order, at, at+1)
	}
}

// unlink removes a member from the list that holds it at its position.
func unlink(list []*member, m *member) []*member {
	last := len(list) - 1
	list[m.position] = list[last]
	list[m.position].position = m.position
	list[last] = nil
	m.position = -1
	return list[:last]
}

func (n *Node) startPhase(m *member, p phase, deadline time.Time) {
	if m.phase == settled {
		n.pending = append(n.pending, m)
	}
	m.phase = p
	m.deadline = deadline
}

func (n *Node) settle(m *member) {
	if m.phase == settled {
		return
	}
	m.phase = settled
	n.pending = slices.DeleteFunc(n.pending, func(other *member) bool { return other == m })
}

// claimState records this node's own judgement of a member and spreads it.
func (n *Node) claimState(m *member, s wire.State) {
	if m.claim.Incarnation > maxClaim {
		return
	}
	r := proto.CloneOf(m.claim)
	r.State = s
	m.claim = r
	n.pushRecord(r)
}

// tickPending ends the phases that are due: a suspicion is followed by a verification, an unanswered verification
// by the end of the member.
func (n *Node) tickPending(now time.Time, out *outbox) {
	budget := verifyPerTick
	for _, m := range slices.Clone(n.pending) {
		switch {
		case m.phase == suspected && !now.Before(m.deadline):
			n.startVerifying(now, m)
		case m.phase == verifying && (!m.verifier || !m.nextVerify.IsZero()) && !now.Before(m.deadline):
			if State(m.claim.State).Live() {
				n.claimState(m, wire.State_STATE_FAILED)
			}
			n.setDead(now, m)
			continue
		}
		if m.phase == verifying && budget > 0 && n.verify(now, m, out) {
			budget--
		}
	}
}

// verify sends a verification probe if one is due. The deadline counts from the first one.
func (n *Node) verify(now time.Time, m *member, out *outbox) bool {
	if !m.verifier || now.Before(m.nextVerify) {
		return false
	}
	if m.nextVerify.IsZero() {
		m.deadline = now.Add(n.verifyWait())
		m.verifySeq = n.nextSequence()
	}
	m.nextVerify = now.Add(verifyRetry)
	n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: m.verifySeq}, out)
	n.probePrevious(m, out)
	return true
}
