package membership

import (
	"bytes"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// maxPayloads bounds the payloads that wait to be sent on.
const maxPayloads = 8192

// item is a record or payload that waits to be sent on.
type item struct {
	key     string
	record  *wire.Record
	payload []byte
	size    int
	// heard counts how often others sent the same item since this node last sent it.
	heard int
	// replaced means that a newer item has the key.
	replaced bool
}

// queue holds items by the number of times that they were sent; those sent least often go first. An item is
// replaced by a newer one of the same key.
type queue struct {
	items    map[string]*item
	buckets  [][]*item
	payloads int
	// closed keeps records of other members from being queued.
	closed bool
	// preferPayload alternates which kind fills a datagram first when both wait, so that neither starves.
	preferPayload bool
}

// push adds an item in place of an older one of the same key.
func (q *queue) push(it *item) {
	if old := q.items[it.key]; old != nil {
		old.replaced = true
		if old.payload != nil {
			q.payloads--
		}
	}
	if it.payload != nil {
		q.payloads++
	}
	q.items[it.key] = it
	if len(q.buckets) == 0 {
		q.buckets = append(q.buckets, nil)
	}
	q.buckets[0] = append(q.buckets[0], it)
}

// fill moves items into the datagram and returns the bytes that they take. An item that was sent limit times is
// dropped.
func (q *queue) fill(d *wire.Datagram, room, limit int) int {
	if len(q.items) == 0 {
		return 0
	}
	used := 0
	half := room
	if q.payloads > 0 && q.payloads < len(q.items) {
		half = room / 2
	}
	q.preferPayload = !q.preferPayload
	used += q.take(d, half, limit, q.preferPayload)
	return used + q.take(d, room-used, limit, !q.preferPayload)
}

// take moves items of one kind.
func (q *queue) take(d *wire.Datagram, room, limit int, payloads bool) int {
	if payloads && q.payloads == 0 || !payloads && q.payloads == len(q.items) {
		return 0
	}
	used, misfits := 0, 0
	var taken []*item
	var from []int
	for b := 0; b < len(q.buckets) && misfits < maxMisfits; b++ {
		list := q.buckets[b]
		kept := list[:0]
		for i, it := range list {
			if misfits >= maxMisfits {
				kept = append(kept, list[i:]...)
				break
			}
			switch {
			case it.replaced:
			case b+it.heard >= limit:
				q.drop(it)
			case (it.payload != nil) != payloads:
				kept = append(kept, it)
			case used+it.size > room:
				misfits++
				kept = append(kept, it)
			default:
				used += it.size
				taken = append(taken, it)
				from = append(from, b)
			}
		}
		clear(list[len(kept):])
		q.buckets[b] = kept
	}
	for i, it := range taken {
		q.put(d, it, from[i]+1+it.heard, limit)
	}
	return used
}

// maxMisfits is the number of items that do not fit after which the search for a smaller one ends.
const maxMisfits = 4

func (q *queue) put(d *wire.Datagram, it *item, sent, limit int) {
	if it.payload != nil {
		d.Payloads = append(d.Payloads, it.payload)
	} else {
		d.Records = append(d.Records, it.record)
	}
	it.heard = 0
	if sent >= limit {
		q.drop(it)
		return
	}
	for len(q.buckets) <= sent {
		q.buckets = append(q.buckets, nil)
	}
	q.buckets[sent] = append(q.buckets[sent], it)
}

func (q *queue) drop(it *item) {
	delete(q.items, it.key)
	if it.payload != nil {
		q.payloads--
	}
}

// hearRecord and hearPayload note that another member sent an item that this node knows. It counts as a transmission: what arrives
// often is already widely known, and sending it on would only use the byte rate.
func (n *Node) hearRecord(r *wire.Record) {
	if it := n.queue.items["m"+r.Id]; it != nil && it.record.Incarnation == r.Incarnation && it.record.State == r.State {
		it.heard++
	}
}

func (n *Node) hearPayload(key string, payload []byte) {
	if it := n.queue.items["p"+key]; it != nil && bytes.Equal(it.payload, payload) {
		it.heard++
	}
}

// pushRecord queues a copy of the record, because the node's own record changes in place.
func (n *Node) pushRecord(r *wire.Record) {
	if r.State != wire.State_STATE_ALIVE && r.Incarnation > maxClaim {
		return
	}
	if n.queue.closed && r != n.self {
		return
	}
	r = proto.CloneOf(r)
	n.queue.push(&item{key: "m" + r.Id, record: r, size: 1 + protowire.SizeBytes(proto.Size(r))})
}

func (n *Node) pushPayload(key string, payload []byte) bool {
	key = "p" + key
	if n.queue.payloads >= maxPayloads && n.queue.items[key] == nil {
		n.stats.Full++
		return false
	}
	n.queue.push(&item{key: key, payload: payload, size: 1 + protowire.SizeBytes(len(payload))})
	return true
}

// Broadcast sends a payload of at most MaxPayload bytes to all members by gossip. A later payload with the same key
// replaces it. It reports whether the payload was taken. The payload must not be changed afterwards.
func (n *Node) Broadcast(key string, payload []byte) bool {
	if len(payload) == 0 || len(payload) > MaxPayload {
		n.stats.Invalid[InvalidSize]++
		return false
	}
	return n.pushPayload(key, payload)
}

// pushFanout is the number of members that an urgent payload is sent to at once. It covers a fleet of today's size, and
// gossip carries the payload on from there in a larger one.
const pushFanout = 16

// Push is Broadcast for urgent payloads: it does not wait for the next tick, and sends the payload to some members at
// once as far as the byte rate allows. It returns the packets to send.
func (n *Node) Push(key string, payload []byte) []Packet {
	if !n.Broadcast(key, payload) {
		return nil
	}
	var out outbox
	targets := n.live
	if len(targets) > pushFanout {
		targets = n.randomLive(pushFanout, nil)
	}
	for _, m := range targets {
		if n.tokens <= 2*MaxDatagram {
			break
		}
		n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_GOSSIP}, &out)
	}
	return n.sent(out)
}

// tickGossip sends one datagram to a random member while something waits. Without it, news would only travel with
// the few probes of a second and miss the bound for signals.
func (n *Node) tickGossip(out *outbox) {
	if len(n.queue.items) == 0 || n.tokens <= 2*MaxDatagram {
		return
	}
	for _, m := range n.randomLive(1, nil) {
		n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_GOSSIP}, out)
	}
}
