package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// InvalidReason is the reason why a datagram or record was rejected.
type InvalidReason uint8

// Values of InvalidReason.
const (
	invalidNone InvalidReason = iota
	// InvalidSize is an empty payload, or a datagram or payload above its limit.
	InvalidSize
	// InvalidEncoding is a datagram that does not decode, has no kind or has a cursor that is too long.
	InvalidEncoding
	// InvalidRecord is a missing record of the sender; a record with an empty identifier or address, a field that is too
	// long, an unknown state or an incarnation out of range; or a record with an incarnation above
	// maxNonAliveIncarnation by which a third party changes the attributes of a member.
	InvalidRecord
	// NumInvalidReasons is the number of reasons, for Stats.
	NumInvalidReasons
)

// outbox collects the packets to send.
type outbox []Packet

// decode returns the datagram, or the reason why it is invalid. Of its records, only the sender's is validated here;
// the others are validated when they are merged.
func decode(data []byte) (*wire.Datagram, InvalidReason) {
	if len(data) > MaxDatagram {
		return nil, InvalidSize
	}
	d := new(wire.Datagram)
	if proto.Unmarshal(data, d) != nil || d.Kind == wire.Kind_KIND_UNSPECIFIED || len(d.Cursor) > maxFieldBytes {
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
	if len(r.Id) > maxFieldBytes || len(r.Address) > maxFieldBytes || len(r.DataCentre) > maxFieldBytes ||
		len(r.Region) > maxFieldBytes {
		return false
	}
	if r.State < wire.State_STATE_ALIVE || r.State > wire.State_STATE_LEFT {
		return false
	}
	if r.State == wire.State_STATE_ALIVE {
		return r.Incarnation <= 2*maxNonAliveIncarnation
	}
	return r.Incarnation <= maxNonAliveIncarnation
}

// isOlder reports whether record a is older than record b.
func isOlder(a, b *wire.Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.State < b.State
}

func sameAttributes(a, b *wire.Record) bool {
	return a.Address == b.Address && a.DataCentre == b.DataCentre && a.Region == b.Region
}

// send sends a datagram to a member. If the member's record here differs from its own, the datagram echoes it.
func (n *Node) send(m *member, d *wire.Datagram, out *outbox) {
	if m.record.State != wire.State_STATE_ALIVE || m.stale {
		d.Echo = m.record
	}
	n.sendTo(m.record.Address, d, out)
}

// sendTo adds the node's own record and, as far as the byte rate allows, queued gossip to a datagram and puts it into
// the outbox.
func (n *Node) sendTo(address string, d *wire.Datagram, out *outbox) {
	d.From = n.self
	size := proto.Size(d)
	if n.tokens > MaxDatagram && d.Kind != wire.Kind_KIND_PAGE {
		size += n.queue.fill(d, MaxDatagram-size, n.maxTransmissions())
	}
	data, err := proto.Marshal(d)
	if err != nil || len(data) > MaxDatagram {
		n.stats.OverLimit++
		return
	}
	n.tokens -= float64(len(data))
	*out = append(*out, Packet{To: address, Data: data})
}

// maxTransmissions returns how often this node sends a record or payload.
func (n *Node) maxTransmissions() int { return 3 * n.log2Live() }

// mergeDatagram merges the records of a datagram and delivers its payloads.
func (n *Node) mergeDatagram(now time.Time, from string, d *wire.Datagram) {
	n.merge(now, d.From, from == d.From.Address)
	if m := n.members[d.From.Id]; m != nil && from == m.record.Address {
		m.stale = isOlder(d.From, m.record)
		m.previousAddress = ""
	}
	n.mergeIfValid(now, d.Echo)
	n.mergeIfValid(now, d.Target)
	// Other members already know the records of a page, so they are not forwarded; a refutation by this node still is.
	n.queue.ownRecordOnly = d.Kind == wire.Kind_KIND_PAGE
	defer func() { n.queue.ownRecordOnly = false }()
	for _, r := range d.Records {
		n.mergeIfValid(now, r)
	}
	for _, p := range d.Payloads {
		n.deliverPayload(p)
	}
}

func (n *Node) mergeIfValid(now time.Time, r *wire.Record) {
	if r == nil {
		return
	}
	if !validRecord(r) {
		n.stats.Invalid[InvalidRecord]++
		return
	}
	n.merge(now, r, false)
}

func (n *Node) deliverPayload(p []byte) {
	if len(p) == 0 || len(p) > MaxPayload {
		n.stats.Invalid[InvalidSize]++
		return
	}
	if n.cfg.Deliver == nil {
		return
	}
	key, fresh := n.cfg.Deliver(p)
	if fresh {
		n.queuePayload(key, p)
		return
	}
	n.countReceivedPayload(key, p)
}

// respond replies to requests and handles acknowledgements and pages.
func (n *Node) respond(now time.Time, from string, d *wire.Datagram, out *outbox) {
	reply := func(r *wire.Datagram) {
		if m := n.members[d.From.Id]; m != nil && m.record.Address == from {
			n.send(m, r, out)
			return
		}
		if m := n.members[d.From.Id]; m != nil {
			r.Echo = m.record
		}
		n.sendTo(from, r, out)
	}
	switch d.Kind {
	case wire.Kind_KIND_PROBE:
		reply(&wire.Datagram{Kind: wire.Kind_KIND_ACK, Sequence: d.Sequence})
	case wire.Kind_KIND_ACK:
		n.handleAck(now, from, d, out)
	case wire.Kind_KIND_PROBE_REQUEST:
		n.relayProbe(now, from, d, out)
	case wire.Kind_KIND_PULL:
		if n.tokens > MaxDatagram {
			reply(n.buildPage(d.Cursor))
		}
	case wire.Kind_KIND_PAGE:
		n.handlePage(now, d)
	}
}
