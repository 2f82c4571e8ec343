package membership

import (
	"bytes"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// maxQueuedPayloads limits the number of queued payloads.
const maxQueuedPayloads = 8192

// gossipItem is a queued record or payload.
type gossipItem struct {
	key     string
	record  *wire.Record
	payload []byte
	size    int
	// receivedCount is how often the same item was received since this node last sent it.
	receivedCount int
	// replaced means that a newer item has taken over the key.
	replaced bool
}

// gossipQueue holds items in buckets by the number of transmissions; those with the fewest are sent first. A newer
// item replaces an older one with the same key.
type gossipQueue struct {
	items    map[string]*gossipItem
	buckets  [][]*gossipItem
	payloads int
	// ownRecordOnly prevents records of other members from being queued.
	ownRecordOnly bool
	// preferPayload says which kind of item is added to a datagram first. It alternates, so that neither kind starves.
	preferPayload bool
}

// add queues an item and replaces an older one with the same key.
func (q *gossipQueue) add(it *gossipItem) {
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

// fill adds items to the datagram as far as the space allows and returns their size in bytes. An item is removed from
// the queue after limit transmissions.
func (q *gossipQueue) fill(d *wire.Datagram, space, limit int) int {
	if len(q.items) == 0 {
		return 0
	}
	used := 0
	firstSpace := space
	if q.payloads > 0 && q.payloads < len(q.items) {
		firstSpace = space / 2
	}
	q.preferPayload = !q.preferPayload
	used += q.takeKind(d, firstSpace, limit, q.preferPayload)
	return used + q.takeKind(d, space-used, limit, !q.preferPayload)
}

// takeKind adds either payloads or records to the datagram.
func (q *gossipQueue) takeKind(d *wire.Datagram, space, limit int, payloads bool) int {
	if payloads && q.payloads == 0 || !payloads && q.payloads == len(q.items) {
		return 0
	}
	used, skipped := 0, 0
	var taken []*gossipItem
	var from []int
	for b := 0; b < len(q.buckets) && skipped < maxSkipped; b++ {
		list := q.buckets[b]
		kept := list[:0]
		for i, it := range list {
			if skipped >= maxSkipped {
				kept = append(kept, list[i:]...)
				break
			}
			switch {
			case it.replaced:
			case b+it.receivedCount >= limit:
				q.remove(it)
			case (it.payload != nil) != payloads:
				kept = append(kept, it)
			case used+it.size > space:
				skipped++
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
		q.appendItem(d, it, from[i]+1+it.receivedCount, limit)
	}
	return used
}

// maxSkipped is the number of items too large for the remaining space after which the search for smaller ones ends.
const maxSkipped = 4

func (q *gossipQueue) appendItem(d *wire.Datagram, it *gossipItem, sent, limit int) {
	if it.payload != nil {
		d.Payloads = append(d.Payloads, it.payload)
	} else {
		d.Records = append(d.Records, it.record)
	}
	it.receivedCount = 0
	if sent >= limit {
		q.remove(it)
		return
	}
	for len(q.buckets) <= sent {
		q.buckets = append(q.buckets, nil)
	}
	q.buckets[sent] = append(q.buckets[sent], it)
}

func (q *gossipQueue) remove(it *gossipItem) {
	delete(q.items, it.key)
	if it.payload != nil {
		q.payloads--
	}
}

// countReceivedRecord counts a record that was received although it is queued here. Each copy counts as a transmission:
// an item that is received often is already widely known, and sending it again would waste the byte rate.
func (n *Node) countReceivedRecord(r *wire.Record) {
	if it := n.queue.items["m"+r.Id]; it != nil && it.record.Incarnation == r.Incarnation && it.record.State == r.State {
		it.receivedCount++
	}
}

// countReceivedPayload is countReceivedRecord for payloads.
func (n *Node) countReceivedPayload(key string, payload []byte) {
	if it := n.queue.items["p"+key]; it != nil && bytes.Equal(it.payload, payload) {
		it.receivedCount++
	}
}

// queueRecord queues a copy of the record, because the node's own record is modified in place.
func (n *Node) queueRecord(r *wire.Record) {
	if r.State != wire.State_STATE_ALIVE && r.Incarnation > maxNonAliveIncarnation {
		return
	}
	if n.queue.ownRecordOnly && r != n.self {
		return
	}
	r = proto.CloneOf(r)
	n.queue.add(&gossipItem{key: "m" + r.Id, record: r, size: 1 + protowire.SizeBytes(proto.Size(r))})
}

func (n *Node) queuePayload(key string, payload []byte) bool {
	key = "p" + key
	if n.queue.payloads >= maxQueuedPayloads && n.queue.items[key] == nil {
		n.stats.OverLimit++
		return false
	}
	n.queue.add(&gossipItem{key: key, payload: payload, size: 1 + protowire.SizeBytes(len(payload))})
	return true
}

// Broadcast queues a payload of at most MaxPayload bytes for gossip to all members and reports whether it was queued.
// A later payload with the same key replaces it. The caller must not modify the payload afterwards.
func (n *Node) Broadcast(key string, payload []byte) bool {
	if len(payload) == 0 || len(payload) > MaxPayload {
		n.stats.Invalid[InvalidSize]++
		return false
	}
	return n.queuePayload(key, payload)
}

// pushFanout is the number of members that an urgent payload is sent to immediately: all others in a fleet of up to 17
// daemons. In a larger fleet, gossip reaches the rest.
const pushFanout = 16

// BroadcastUrgent is Broadcast for urgent payloads: as far as the byte rate allows, it also sends the payload to up to
// pushFanout members without waiting for the next tick. It returns the packets to send.
func (n *Node) BroadcastUrgent(key string, payload []byte) []Packet {
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
	return n.countSent(out)
}

// tickGossip sends one datagram to a random member while the queue is not empty. Without it, items would spread only
// with the few probes per second, too slowly for the time limit on signals.
func (n *Node) tickGossip(out *outbox) {
	if len(n.queue.items) == 0 || n.tokens <= 2*MaxDatagram {
		return
	}
	for _, m := range n.randomLive(1, nil) {
		n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_GOSSIP}, out)
	}
}
