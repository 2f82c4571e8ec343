package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// pullState is the progress of reading other members' records page by page.
type pullState struct {
	cursor string
	// passes counts the readings that reached the last page, up to joinPasses. After that, pulls are rare.
	passes int
	next   time.Time
}

// joinPasses is the number of readings at the rate of ticks. Nodes that join together do not know each other as
// targets of gossip at first, and some of the pages that they read come from other joining nodes.
const joinPasses = 3

// tickPull asks one random member for the next page. A node that joins reads all pages at the rate of ticks, from
// different members, so that none pays for the whole list. Later pulls repair records that gossip missed.
func (n *Node) tickPull(now time.Time, out *outbox) {
	if now.Before(n.pull.next) || n.leaving {
		return
	}
	picked := n.randomLive(1, nil)
	if len(picked) == 0 {
		return
	}
	n.pull.next = now.Add(TickEvery)
	if n.Synced() {
		n.pull.next = now.Add(syncEvery)
	}
	n.send(picked[0], &wire.Datagram{Kind: wire.Kind_KIND_PULL, Cursor: n.pull.cursor}, out)
}

// page returns the records after the cursor that fit one datagram, this node's own included.
func (n *Node) page(cursor string) *wire.Datagram {
	d := &wire.Datagram{Kind: wire.Kind_KIND_PAGE, Cursor: cursor, Last: true}
	const reserve = 6 * (maxText + 2)
	room := MaxDatagram - reserve - 2*proto.Size(n.self) - len(cursor)
	at, found := slices.BinarySearch(n.ids, cursor)
	if found {
		at++
	}
	for _, id := range n.ids[at:] {
		r := n.members[id].claim
		size := 1 + protowire.SizeBytes(proto.Size(r))
		if size > room {
			d.Last = false
			break
		}
		room -= size
		d.Records = append(d.Records, r)
	}
	return d
}

// takePage moves the cursor on. The records were merged before. A page that does not answer the present cursor
// is late or a duplicate.
func (n *Node) takePage(now time.Time, d *wire.Datagram) {
	if d.Cursor != n.pull.cursor {
		return
	}
	if d.Last || len(d.Records) == 0 {
		n.pull.cursor = ""
		n.pull.passes = min(joinPasses, n.pull.passes+1)
		n.pull.next = now.Add(syncEvery)
		return
	}
	n.pull.cursor = d.Records[len(d.Records)-1].GetId()
	if len(n.pull.cursor) > maxText {
		n.pull.cursor = ""
	}
}

// tickReconnect contacts members that failed and listed daemons that are not known as live, one at a time, so that
// parts of the fleet merge after a partition. A node without live members contacts seeds at a higher rate.
func (n *Node) tickReconnect(now time.Time, out *outbox) {
	if now.Before(n.nextReconnect) || n.leaving {
		return
	}
	if len(n.live) == 0 {
		n.nextReconnect = now.Add(joinEvery)
		for range joinSeeds {
			n.contactSeed(out)
		}
		n.contactFailed(out)
		return
	}
	// A random interval spreads the contacts of the fleet.
	n.nextReconnect = now.Add(reconnectEvery/2 + time.Duration(n.rng.Int64N(int64(reconnectEvery))))
	n.contactFailed(out)
	n.contactSeed(out)
}

// contactFailed probes the next failed member. The echo in the probe lets it refute.
func (n *Node) contactFailed(out *outbox) {
	for range n.dead {
		n.nextFailed++
		m := n.dead[n.nextFailed%len(n.dead)]
		if m.state() == Failed {
			n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: n.nextSequence()}, out)
			return
		}
	}
}

// contactSeed probes a random listed daemon that is not a live member.
func (n *Node) contactSeed(out *outbox) {
	if len(n.seeds) == 0 {
		return
	}
	start := n.rng.IntN(len(n.seeds))
	for i := range n.seeds {
		s := n.seeds[(start+i)%len(n.seeds)]
		if s.ID == n.self.Id || s.Address == n.self.Address {
			continue
		}
		if m := n.members[s.ID]; m != nil && m.isLive {
			continue
		}
		n.sendTo(s.Address, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: n.nextSequence()}, out)
		return
	}
}
