package quota

import "time"

// Counts are the totals of a node since it started.
type Counts struct {
	// PermitsAsked is the number of permits that the client asked for. TokensGiven and TokensTaken are the tokens that the pool gave to
	// other pools and got from them.
	PermitsAsked             int
	TokensGiven, TokensTaken float64
	// Events holds the series of refused requests that began or ended.
	Events []Refusals
}

// Node is the client of a daemon with the daemon's pool. It does no I/O and is not safe for concurrent use.
type Node struct {
	host   string
	pool   *Pool
	client *Client
	counts *Counts
	quotas map[string]Quota
	// outgoing are the messages to other hosts, in order of their first entry; own are messages from this node to itself.
	outgoing []Envelope
	own      []Message
}

// NewNode returns a node. host is its host as other daemons know it, seq a random number, and complete gets the decisions about requests
// that waited.
func NewNode(bounds Bounds, node, host string, seq uint64, complete func(Ticket, Decision)) *Node {
	n := &Node{host: host, counts: &Counts{}}
	n.pool = NewPool(bounds, seq, func(account string) (Quota, bool) {
		q, ok := n.quotas[account]
		return q, ok
	}, n.post, n.counts)
	n.client = NewClient(bounds, node, seq, n.post, complete, n.counts)
	return n
}

// Update sets the state of the fleet: the data centres, the quotas of all accounts, the host of the own data centre's reader, and
// whether this daemon is that reader.
func (n *Node) Update(f *Fleet, quotas map[string]Quota, reader string, isReader bool, now time.Time) {
	n.quotas = quotas
	n.pool.SetFleet(f)
	n.pool.SetHeld(isReader, now)
	n.client.SetFleet(f, reader)
}

// Acquire decides about a request, or returns its ticket. The callback complete may already have got the decision when Acquire returns.
func (n *Node) Acquire(account string, q Quota, now time.Time) (d Decision, t Ticket, decided bool) {
	d, t, decided = n.client.Acquire(account, q, now)
	n.deliverOwn(now)
	return d, t, decided
}

// Cancel removes a request that no longer waits.
func (n *Node) Cancel(account string, t Ticket) { n.client.Cancel(account, t) }

// Return takes back the permit of a request that was not sent to any replica.
func (n *Node) Return(account string, d Decision, now time.Time) { n.client.Return(account, d, now) }

// Handle processes a message from another host.
func (n *Node) Handle(from string, m *Message, now time.Time) {
	n.handle(from, m, now)
	n.deliverOwn(now)
}

// Tick processes what is due.
func (n *Node) Tick(now time.Time) {
	n.pool.Tick(now)
	n.client.Tick(now)
	n.deliverOwn(now)
}

// Next returns when Tick has to be called, zero if nothing is due.
func (n *Node) Next() time.Time { return earliest(n.pool.next(), n.client.next()) }

// TakeOutgoing returns the messages to send, one for each host.
func (n *Node) TakeOutgoing() []Envelope {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// post queues a message, and merges it with others to the same host.
func (n *Node) post(host string, m Message) {
	if host == n.host {
		n.own = append(n.own, m)
		return
	}
	for i := range n.outgoing {
		if o := &n.outgoing[i]; o.Host == host {
			o.Asks, o.Grants = append(o.Asks, m.Asks...), append(o.Grants, m.Grants...)
			o.Pulls, o.Gives = append(o.Pulls, m.Pulls...), append(o.Gives, m.Gives...)
			return
		}
	}
	n.outgoing = append(n.outgoing, Envelope{Host: host, Message: m})
}

// deliverOwn processes the messages from this node to itself, including those that it sends meanwhile.
func (n *Node) deliverOwn(now time.Time) {
	for len(n.own) > 0 {
		m := n.own[0]
		n.own = n.own[1:]
		n.handle(n.host, &m, now)
	}
}

func (n *Node) handle(from string, m *Message, now time.Time) {
	for _, a := range m.Asks {
		n.pool.HandleAsk(from, a, now)
	}
	for _, g := range m.Grants {
		n.client.HandleGrant(from, g, now)
	}
	for _, p := range m.Pulls {
		n.pool.HandlePull(from, p, now)
	}
	for _, g := range m.Gives {
		n.pool.HandleGive(from, g, now)
	}
}
