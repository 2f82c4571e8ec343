package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// Invalid is the reason why a datagram or record was rejected.
type Invalid uint8

// Values of Invalid.
const (
	invalidNone Invalid = iota
	// InvalidSize is a datagram or payload above its limit.
	InvalidSize
	// InvalidEncoding is a datagram that does not decode or lacks a required field.
	InvalidEncoding
	// InvalidRecord is a record with an empty or too long text, an unknown state or an incarnation out of range.
	InvalidRecord
	// NumInvalid is the number of reasons, for Stats.
	NumInvalid
)

type outbox []Packet

// decode returns the datagram, or the reason why it is invalid. Records are checked one by one later.
func decode(data []byte) (*wire.Datagram, Invalid) {
	if len(data) > MaxDatagram {
		return nil, InvalidSize
	}
	d := new(wire.Datagram)
	if proto.Unmarshal(data, d) != nil || d.Kind == wire.Kind_KIND_UNSPECIFIED || len(d.Cursor) > maxText {
		return nil, InvalidEncoding
	}
	if !validRecord(d.From) {
		return nil, InvalidRecord
	}
	return d, invalidNone
}

func validRecord(r *wire.Record) bool {
	if r == nil || r.Id == "" || r.Address == "" || r.Incarnation == 0 {
		return false
	}
	if len(r.Id) > maxText || len(r.Address) > maxText || len(r.DataCentre) > maxText || len(r.Region) > maxText {
		return false
	}
	if r.State < wire.State_STATE_ALIVE || r.State > wire.State_STATE_LEFT {
		return false
	}
	if r.State == wire.State_STATE_ALIVE {
		return r.Incarnation <= 2*maxClaim
	}
	return r.Incarnation <= maxClaim
}

// less reports whether b is newer than a.
func less(a, b *wire.Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.State < b.State
}

func sameNode(a, b *wire.Record) bool {
	return a.Address == b.Address && a.DataCentre == b.DataCentre && a.Region == b.Region
}

// send sends a datagram to a member, with the echo of a claim that differs from what the member says of itself.
func (n *Node) send(m *member, d *wire.Datagram, out *outbox) {
	if m.claim.State != wire.State_STATE_ALIVE || m.stale {
		d.Echo = m.claim
	}
	n.sendTo(m.claim.Address, d, out)
}

// sendTo completes a datagram with the own record and, as far as the byte rate allows, with queued gossip.
func (n *Node) sendTo(address string, d *wire.Datagram, out *outbox) {
	d.From = n.self
	size := proto.Size(d)
	if n.tokens > MaxDatagram && d.Kind != wire.Kind_KIND_PAGE {
		size += n.queue.fill(d, MaxDatagram-size, n.retransmissions())
	}
	data, err := proto.Marshal(d)
	if err != nil || len(data) > MaxDatagram {
		n.stats.Full++
		return
	}
	n.tokens -= float64(len(data))
	*out = append(*out, Packet{To: address, Data: data})
}

// retransmissions bounds how often one record or payload is sent by this node.
func (n *Node) retransmissions() int { return 3 * n.logSize() }

// learn merges what the datagram says of members and delivers its payloads.
func (n *Node) learn(now time.Time, from string, d *wire.Datagram) {
	n.merge(now, d.From, from == d.From.Address)
	if m := n.members[d.From.Id]; m != nil && from == m.claim.Address {
		m.stale = less(d.From, m.claim)
		m.previous = ""
	}
	n.mergeValid(now, d.Echo)
	n.mergeValid(now, d.Target)
	// Records of a page are old news to other members, so only a record about this node itself is sent on.
	n.queue.closed = d.Kind == wire.Kind_KIND_PAGE
	defer func() { n.queue.closed = false }()
	for _, r := range d.Records {
		n.mergeValid(now, r)
	}
	for _, p := range d.Payloads {
		n.deliver(p)
	}
}

func (n *Node) mergeValid(now time.Time, r *wire.Record) {
	if r == nil {
		return
	}
	if !validRecord(r) {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	n.merge(now, r, false)
}

func (n *Node) deliver(p []byte) {
	if len(p) == 0 || len(p) > MaxPayload {
		n.stats.Invalid[InvalidSize]++
		return
	}
	if n.cfg.Deliver == nil {
		return
	}
	key, fresh := n.cfg.Deliver(p)
	if fresh {
		n.pushPayload(key, p)
		return
	}
	n.hearPayload(key, p)
}

// answer replies to the request in a datagram.
func (n *Node) answer(now time.Time, from string, d *wire.Datagram, out *outbox) {
	reply := func(r *wire.Datagram) {
		if m := n.members[d.From.Id]; m != nil && m.claim.Address == from {
			n.send(m, r, out)
			return
		}
		if m := n.members[d.From.Id]; m != nil {
			r.Echo = m.claim
		}
		n.sendTo(from, r, out)
	}
	switch d.Kind {
	case wire.Kind_KIND_PROBE:
		reply(&wire.Datagram{Kind: wire.Kind_KIND_ACK, Sequence: d.Sequence})
	case wire.Kind_KIND_ACK:
		n.acknowledge(now, from, d, out)
	case wire.Kind_KIND_PROBE_REQUEST:
		n.relayProbe(now, from, d, out)
	case wire.Kind_KIND_PULL:
		if n.tokens > MaxDatagram {
			reply(n.page(d.Cursor))
		}
	case wire.Kind_KIND_PAGE:
		n.takePage(now, d)
	}
}
