package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/chivemill/chivemill/membership/wire"
)

// pullState is the progress of reading the member list of other members page by page.
type pullState struct {
	cursor string
	// passes counts the reads that reached the last page, up to joinPasses. From then on, pulls are sent only every
	// syncInterval.
	passes int
	next   time.Time
}

// joinPasses is the number of full reads for which a joining node pulls one page per tick. One read is not enough when
// nodes join at the same time: they do not yet gossip to each other, and some of the pages that they read come from
// other joining nodes.
const joinPasses = 3

// tickPull requests the next page from a random member. A joining node reads one page per tick, each from another
// member, so that no member has to send the whole list. Later pulls repair records that gossip missed.
func (n *Node) tickPull(now time.Time, out *outbox) {
	if now.Before(n.pull.next) || n.leaving {
		return
	}
	picked := n.randomLive(1, nil)
	if len(picked) == 0 {
		return
	}
	n.pull.next = now.Add(TickInterval)
	if n.Synced() {
		n.pull.next = now.Add(syncInterval)
	}
	n.send(picked[0], &wire.Datagram{Kind: wire.Kind_KIND_PULL, Cursor: n.pull.cursor}, out)
}

// buildPage returns a page with the records after the cursor that fit into one datagram. The node's own record is in
// the datagram's From field.
func (n *Node) buildPage(cursor string) *wire.Datagram {
	d := &wire.Datagram{Kind: wire.Kind_KIND_PAGE, Cursor: cursor, Last: true}
	// reserve is the space in bytes for the other fields of the datagram, such as the echo of a record.
	const reserve = 6 * (maxFieldBytes + 2)
	space := MaxDatagram - reserve - 2*proto.Size(n.self) - len(cursor)
	index, found := slices.BinarySearch(n.ids, cursor)
	if found {
		index++
	}
	for _, id := range n.ids[index:] {
		r := n.members[id].record
		size := 1 + protowire.SizeBytes(proto.Size(r))
		if size > space {
			d.Last = false
			break
		}
		space -= size
		d.Records = append(d.Records, r)
	}
	return d
}

// handlePage advances the cursor; the records of the page were merged before. A page for another cursor is late or a
// duplicate and is ignored.
func (n *Node) handlePage(now time.Time, d *wire.Datagram) {
	if d.Cursor != n.pull.cursor {
		return
	}
	if d.Last || len(d.Records) == 0 {
		n.pull.cursor = ""
		n.pull.passes = min(joinPasses, n.pull.passes+1)
		n.pull.next = now.Add(syncInterval)
		return
	}
	n.pull.cursor = d.Records[len(d.Records)-1].GetId()
	if len(n.pull.cursor) > maxFieldBytes {
		n.pull.cursor = ""
	}
}

// tickReconnect probes a failed member and a seed that is not a live member, so that the parts of the fleet merge after
// a partition. A node without live members probes more seeds at a shorter interval.
func (n *Node) tickReconnect(now time.Time, out *outbox) {
	if now.Before(n.nextReconnect) || n.leaving {
		return
	}
	if len(n.live) == 0 {
		n.nextReconnect = now.Add(joinInterval)
		for range seedsPerJoin {
			n.probeRandomSeed(out)
		}
		n.probeNextFailed(out)
		return
	}
	// A random interval spreads the probes of the whole fleet over time.
	n.nextReconnect = now.Add(reconnectInterval/2 + time.Duration(n.rng.Int64N(int64(reconnectInterval))))
	n.probeNextFailed(out)
	n.probeRandomSeed(out)
}

// probeNextFailed probes the next failed member. The echo in the probe allows it to refute its failure.
func (n *Node) probeNextFailed(out *outbox) {
	for range n.dead {
		n.failedIndex++
		m := n.dead[n.failedIndex%len(n.dead)]
		if m.state() == Failed {
			n.send(m, &wire.Datagram{Kind: wire.Kind_KIND_PROBE, Sequence: n.nextSequence()}, out)
			return
		}
	}
}

// probeRandomSeed probes a random seed that is not a live member.
func (n *Node) probeRandomSeed(out *outbox) {
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
