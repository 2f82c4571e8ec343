package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// merge applies a valid record to the member list. direct means that it is the sender's own record and that the
// sender's address is the one in the record.
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
	if r.Incarnation > maxNonAliveIncarnation && !direct && !sameAttributes(r, m.record) {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	if !isOlder(m.record, r) {
		n.countReceivedRecord(r)
		if direct && !m.isLive && !isOlder(r, m.record) && r.State == wire.State_STATE_ALIVE {
			n.setLive(m)
		}
		return
	}
	n.trackAddressChange(m, r, direct)
	m.record = r
	n.queueRecord(r)
	switch State(r.State) {
	case Alive:
		n.endPhase(m)
		n.setLive(m)
	case Suspect:
		n.setLive(m)
		n.startPhase(m, phaseSuspected, now.Add(n.suspicionTimeout()))
	default:
		n.mergeDeadRecord(now, m, direct)
	}
}

// trackAddressChange remembers the previous address of a member when a third party reports another one. Otherwise, a
// record with a forged address would never reach the member, which could not refute it.
func (n *Node) trackAddressChange(m *member, r *wire.Record, direct bool) {
	if direct {
		m.previousAddress = ""
		return
	}
	if r.Address == m.record.Address || !m.isLive {
		return
	}
	if m.previousAddress == "" {
		m.previousAddress = m.record.Address
	}
	n.addressChanges = append(n.addressChanges, m)
}

// probeChangedAddresses probes the previous addresses of members whose address changed, so that a member that still
// uses its previous address can refute the change.
func (n *Node) probeChangedAddresses(out *outbox) {
	for _, m := range n.addressChanges {
		n.probePreviousAddress(m, out)
	}
	n.addressChanges = n.addressChanges[:0]
}

func (n *Node) probePreviousAddress(m *member, out *outbox) {
	if m.previousAddress == "" {
		return
	}
	n.sendTo(m.previousAddress, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: n.nextSequence(), Echo: m.record}, out)
}

// mergeDeadRecord handles a newer record that reports a member as failed or left. It takes effect immediately if the
// member itself sent it or is not live here; otherwise the member is verified first.
func (n *Node) mergeDeadRecord(now time.Time, m *member, direct bool) {
	if direct || !m.isLive {
		n.setDead(now, m)
		return
	}
	if m.phase != phaseVerifying {
		n.startVerification(now, m)
	}
}

// refute raises this node's incarnation when a record of it with the same or a higher incarnation differs from its own.
// This is also how a restarted node recovers from a lower incarnation than that of its previous process.
func (n *Node) refute(r *wire.Record) {
	if r.Incarnation < n.self.Incarnation {
		return
	}
	if r.Incarnation == n.self.Incarnation && (r.State <= n.self.State && sameAttributes(r, n.self)) {
		return
	}
	forged := r.Incarnation > maxNonAliveIncarnation && !sameAttributes(r, n.self)
	if forged {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	if r.Incarnation > maxNonAliveIncarnation || n.leaving && sameAttributes(r, n.self) {
		n.self.Incarnation = r.Incarnation
	} else {
		n.self.Incarnation = r.Incarnation + 1
	}
	n.stats.Refutations++
	n.queueRecord(n.self)
}

// insert adds an unknown member. Records of unknown members that failed or left are ignored; otherwise nodes would keep
// receiving expired records from each other forever.
func (n *Node) insert(now time.Time, r *wire.Record) {
	if !State(r.State).Live() {
		return
	}
	if len(n.members) >= n.cfg.MaxMembers && !n.evict() {
		n.stats.OverLimit++
		return
	}
	m := &member{record: r, position: -1}
	n.members[r.Id] = m
	index, _ := slices.BinarySearch(n.ids, r.Id)
	n.ids = slices.Insert(n.ids, index, r.Id)
	n.setLive(m)
	if r.State == wire.State_STATE_SUSPECT {
		n.startPhase(m, phaseSuspected, now.Add(n.suspicionTimeout()))
	}
	n.queueRecord(r)
}

// evict removes the member that has been failed or left for the longest time and reports whether there was one.
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
	delete(n.members, m.record.Id)
	if index, ok := slices.BinarySearch(n.ids, m.record.Id); ok {
		n.ids = slices.Delete(n.ids, index, index+1)
	}
}

func (n *Node) tickExpiry(now time.Time) {
	if now.Before(n.nextExpiry) {
		return
	}
	n.nextExpiry = now.Add(time.Second)
	for i := len(n.dead) - 1; i >= 0; i-- {
		if m := n.dead[i]; now.Sub(m.deadSince) > deadRetention {
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
	// As in SWIM, a new member is inserted at a random position among those not yet probed in this round.
	index := n.rng.IntN(len(n.probeOrder) + 1)
	n.probeOrder = slices.Insert(n.probeOrder, index, m)
}

func (n *Node) setDead(now time.Time, m *member) {
	n.endPhase(m)
	if !m.isLive {
		return
	}
	if m.record.State == wire.State_STATE_FAILED {
		n.stats.Failures++
	}
	n.live = unlink(n.live, m)
	m.isLive = false
	m.deadSince = now
	m.position = len(n.dead)
	n.dead = append(n.dead, m)
	// A member that becomes live again is inserted again, so its present entry has to be removed.
	if index := slices.Index(n.probeOrder, m); index >= 0 {
		n.probeOrder = slices.Delete(n.probeOrder, index, index+1)
	}
}

// unlink removes a member from the list that contains it at m.position, by moving the last element there.
func unlink(list []*member, m *member) []*member {
	last := len(list) - 1
	list[m.position] = list[last]
	list[m.position].position = m.position
	list[last] = nil
	m.position = -1
	return list[:last]
}

func (n *Node) startPhase(m *member, p phase, deadline time.Time) {
	if m.phase == phaseNone {
		n.pending = append(n.pending, m)
	}
	m.phase = p
	m.deadline = deadline
}

func (n *Node) endPhase(m *member) {
	if m.phase == phaseNone {
		return
	}
	m.phase = phaseNone
	n.pending = slices.DeleteFunc(n.pending, func(other *member) bool { return other == m })
}

// declareState sets the state that this node detected for a member and queues the record for gossip.
func (n *Node) declareState(m *member, s wire.State) {
	if m.record.Incarnation > maxNonAliveIncarnation {
		return
	}
	r := proto.CloneOf(m.record)
	r.State = s
	m.record = r
	n.queueRecord(r)
}

// tickPending ends the phases that are due: a suspicion is followed by a verification, and a member that does not
// answer its verification becomes failed or left. It also sends the verification probes that are due.
func (n *Node) tickPending(now time.Time, out *outbox) {
	budget := maxVerificationsPerTick
	for _, m := range slices.Clone(n.pending) {
		switch {
		case m.phase == phaseSuspected && !now.Before(m.deadline):
			n.startVerification(now, m)
		case m.phase == phaseVerifying && (!m.verifier || !m.nextVerify.IsZero()) && !now.Before(m.deadline):
			if State(m.record.State).Live() {
				n.declareState(m, wire.State_STATE_FAILED)
			}
			n.setDead(now, m)
			continue
		}
		if m.phase == phaseVerifying && budget > 0 && n.sendVerification(now, m, out) {
			budget--
		}
	}
}

// sendVerification sends a verification probe if one is due and reports whether it did. The deadline of the phase
// starts with the first probe.
func (n *Node) sendVerification(now time.Time, m *member, out *outbox) bool {
	if !m.verifier || now.Before(m.nextVerify) {
		return false
	}
	if m.nextVerify.IsZero() {
		m.deadline = now.Add(n.verificationTimeout())
		m.verifySequence = n.nextSequence()
	}
	m.nextVerify = now.Add(verifyInterval)
	n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: m.verifySequence}, out)
	n.probePreviousAddress(m, out)
	return true
}
