package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// network connects the nodes of a fleet in virtual time.
type network struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	events eventQueue
	bounds Bounds
	// centres lists the data centres in order, members the nodes of each.
	centres []string
	members map[string][]*member
	byHost  map[string]*member
	quotas  map[string]Quota
	// loss is the fraction of lost datagrams, duplicates the fraction that arrives twice. isCut reports whether two nodes cannot reach each
	// other.
	loss, duplicates float64
	isCut            func(a, b *member) bool
	// datagrams, remote and bytes count what was sent, remote that between data centres.
	datagrams, remote, bytes int
	sentBy                   map[*member]int
	// admitted holds the times of admitted requests by account, replayed the accounts' reference buckets.
	admitted  map[string][]time.Time
	reference map[string]*referenceBucket
	// waits holds how long admitted requests waited.
	waits  []time.Duration
	totals map[string]*totals
}

type totals struct{ offered, admitted, owed int }

// member is a daemon of the network.
type member struct {
	*Node
	name, centre, host string
	isDown             bool
	// reader is whom the daemon takes for the reader of its data centre.
	reader  string
	tickets map[Ticket]func(Decision)
	early   map[Ticket]Decision
	tickAt  time.Time
}

// referenceBucket admits what one bucket for the whole fleet would admit.
type referenceBucket struct {
	level float64
	at    time.Time
}

func (r *referenceBucket) admit(q Quota, now time.Time) bool {
	r.level = min(max(1, q.Burst), r.level+q.RatePerS*now.Sub(r.at).Seconds())
	r.at = now
	if r.level < 1 {
		return false
	}
	r.level--
	return true
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue struct {
	list []event
	seq  int
}

func (q *eventQueue) Len() int { return len(q.list) }
func (q *eventQueue) Less(i, k int) bool {
	if !q.list[i].at.Equal(q.list[k].at) {
		return q.list[i].at.Before(q.list[k].at)
	}
	return q.list[i].seq < q.list[k].seq
}
func (q *eventQueue) Swap(i, k int) { q.list[i], q.list[k] = q.list[k], q.list[i] }
func (q *eventQueue) Push(x any)    { q.list = append(q.list, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

var deployedBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newNetwork returns a fleet with the given numbers of daemons in its data centres; the first half of these is one region, the rest another.
func newNetwork(t *testing.T, quotas map[string]Quota, sizes ...int) *network {
	n := &network{
		t: t, now: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(20261206, 1)), bounds: deployedBounds,
		members: make(map[string][]*member), byHost: make(map[string]*member), quotas: quotas, isCut: func(_, _ *member) bool { return false },
		admitted: make(map[string][]time.Time), reference: make(map[string]*referenceBucket), totals: make(map[string]*totals), sentBy: make(map[*member]int),
	}
	for i, size := range sizes {
		centre := fmt.Sprintf("c%d", i)
		n.centres = append(n.centres, centre)
		for k := range size {
			n.addMember(centre, k)
		}
	}
	for account, q := range quotas {
		n.reference[account] = &referenceBucket{level: max(1, q.Burst), at: n.now}
		n.totals[account] = &totals{}
	}
	n.publish()
	return n
}

func (n *network) addMember(centre string, index int) *member {
	m := &member{name: fmt.Sprintf("%s-%d", centre, index), centre: centre}
	m.host = m.name
	n.members[centre] = append(n.members[centre], m)
	n.byHost[m.host] = m
	n.start(m)
	return m
}

// start starts the process of a daemon anew.
func (n *network) start(m *member) {
	m.isDown, m.reader, m.tickAt = false, "", time.Time{}
	m.tickets, m.early = make(map[Ticket]func(Decision)), make(map[Ticket]Decision)
	m.Node = NewNode(n.bounds, m.name, m.host, n.random.Uint64()>>16, func(t Ticket, d Decision) {
		if done := m.tickets[t]; done != nil {
			delete(m.tickets, t)
			done(d)
			return
		}
		m.early[t] = d
	})
}

// fleet returns the fleet as a daemon of a data centre knows it. The first daemon of each data centre that is up holds the pool.
func (n *network) fleet(own string) *Fleet {
	f := &Fleet{Own: own}
	index := 0
	for i, c := range n.centres {
		if c == own {
			index = i
		}
	}
	half := (len(n.centres) + 1) / 2
	for _, near := range []bool{true, false} {
		for i, c := range n.centres {
			if (i < half) == (index < half) == near && c != own {
				f.Centres = append(f.Centres, n.describe(c))
			}
		}
	}
	f.Centres = append([]Centre{n.describe(own)}, f.Centres...)
	return f
}

func (n *network) describe(centre string) Centre {
	c := Centre{Name: centre}
	for _, m := range n.members[centre] {
		if !m.isDown {
			c.Daemons++
			if c.Reader == "" {
				c.Reader = m.host
			}
		}
	}
	return c
}

// publish makes the present state of the fleet known to all daemons.
func (n *network) publish() { n.publishWithin(0) }

// publishWithin makes the present state of the fleet known to each daemon at a random time up to a delay.
func (n *network) publishWithin(longest time.Duration) {
	quotas := n.quotas
	for _, c := range n.centres {
		f := n.fleet(c)
		for _, m := range n.members[c] {
			update := func() {
				if !m.isDown {
					m.reader = f.Centres[0].Reader
					m.Update(f, quotas, m.reader, m.reader == m.host, n.now)
				}
			}
			if longest == 0 {
				update()
				continue
			}
			n.after(time.Duration(n.random.Int64N(int64(longest))), update)
		}
	}
}

// electWithout makes another daemon the reader of each data centre whose reader is in the set, for the daemons outside the set. Those in it
// learn nothing, and stop being readers.
func (n *network) electWithout(cut map[*member]bool) {
	for m := range cut {
		m.isDown = true
	}
	before := make(map[string]*Fleet)
	for _, c := range n.centres {
		before[c] = n.members[c][0].client.fleet
	}
	n.publish()
	for _, c := range n.centres {
		for _, m := range n.members[c] {
			if cut[m] {
				m.isDown, m.reader = false, ""
				m.Update(before[c], n.quotas, "", false, n.now)
			}
		}
	}
}

func (n *network) after(d time.Duration, run func()) {
	n.events.seq++
	heap.Push(&n.events, event{n.now.Add(d), n.events.seq, run})
}

// run processes the events of a time span.
func (n *network) run(span time.Duration) {
	end := n.now.Add(span)
	for n.events.Len() > 0 && !n.events.list[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// delay returns the one-way latency between two daemons.
func (n *network) delay(a, b *member) time.Duration {
	base := 300 * time.Microsecond
	if a.centre != b.centre {
		base = 12 * time.Millisecond
		if n.isNear(a.centre, b.centre) {
			base = 2 * time.Millisecond
		}
	}
	return base + time.Duration(n.random.ExpFloat64()*float64(base)/10)
}

func (n *network) isNear(a, b string) bool {
	half := (len(n.centres) + 1) / 2
	index := func(centre string) int {
		for i, c := range n.centres {
			if c == centre {
				return i
			}
		}
		return -1
	}
	return (index(a) < half) == (index(b) < half)
}

// flush sends what a daemon has to send and schedules its next tick.
func (n *network) flush(m *member) {
	for _, e := range m.TakeOutgoing() {
		datagrams, err := e.Encode()
		must.NoError(n.t, err)
		to := n.byHost[e.Host]
		for _, data := range datagrams {
			n.datagrams++
			n.sentBy[m]++
			n.bytes += len(data) + 28 // headers of IP and UDP
			if to.centre != m.centre {
				n.remote++
			}
			n.transmit(m, to, data)
		}
	}
	next := m.Next()
	if next.IsZero() || !m.tickAt.IsZero() && !next.Before(m.tickAt) {
		return
	}
	m.tickAt = next
	node := m.Node
	n.after(max(0, next.Sub(n.now)), func() {
		if m.isDown || m.Node != node {
			return
		}
		m.tickAt = time.Time{}
		m.Tick(n.now)
		n.flush(m)
	})
}

func (n *network) transmit(from, to *member, data []byte) {
	copies := 1
	if n.random.Float64() < n.duplicates {
		copies = 2
	}
	for range copies {
		if n.isCut(from, to) || n.random.Float64() < n.loss {
			continue
		}
		n.after(n.delay(from, to), func() {
			if to.isDown {
				return
			}
			message, err := DecodeMessage(data)
			must.NoError(n.t, err)
			to.Handle(from.host, &message, n.now)
			n.flush(to)
		})
	}
}

// request sends a request of an account to a daemon.
func (n *network) request(m *member, account string) { n.requestThen(m, account, func(Decision) {}) }

// requestThen sends a request and calls then with the decision.
func (n *network) requestThen(m *member, account string, then func(Decision)) {
	if m.isDown {
		return
	}
	begin, q, total := n.now, n.quotas[account], n.totals[account]
	total.offered++
	if n.reference[account].admit(q, n.now) {
		total.owed++
	}
	done := func(d Decision) {
		must.LessEq(n.t, maxWait+time.Millisecond, n.now.Sub(begin), must.Sprint("a request waited too long"))
		if d.Admitted {
			total.admitted++
			n.admitted[account] = append(n.admitted[account], n.now)
			n.waits = append(n.waits, n.now.Sub(begin))
		} else {
			must.Positive(n.t, d.RetryAfter)
		}
		then(d)
	}
	d, ticket, decided := m.Acquire(account, m.knownQuota(account), n.now)
	if !decided {
		if early, ok := m.early[ticket]; ok {
			delete(m.early, ticket)
			d, decided = early, true
		} else {
			m.tickets[ticket] = done
		}
	}
	if decided {
		done(d)
	}
	n.flush(m)
}

// knownQuota returns the quota in the version that the daemon has.
func (m *member) knownQuota(account string) Quota { return m.quotas[account] }

// load sends requests of an account at a rate for a time span, at random intervals, each to the daemon that pick returns.
func (n *network) load(account string, perSecond float64, span time.Duration, pick func() *member) {
	end := n.now.Add(span)
	var next func()
	next = func() {
		if n.now.After(end) {
			return
		}
		n.request(pick(), account)
		n.after(time.Duration(n.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	n.after(time.Duration(n.random.ExpFloat64()/perSecond*float64(time.Second)), next)
}

// any returns a function that picks a random daemon of the data centres, of all if none is given.
func (n *network) any(centres ...string) func() *member {
	if len(centres) == 0 {
		centres = n.centres
	}
	return func() *member {
		for {
			members := n.members[centres[n.random.IntN(len(centres))]]
			if m := members[n.random.IntN(len(members))]; !m.isDown {
				return m
			}
		}
	}
}

func only(m *member) func() *member { return func() *member { return m } }

// checkBound checks that no window has more admitted requests than the bound for the quota.
func (n *network) checkBound(account string, q Quota) {
	n.t.Helper()
	most := n.mostInWindow(account)
	bound := (q.RatePerS*n.bounds.Window.Seconds()+q.Burst)*(1+n.bounds.Overage) + n.bounds.Slack
	n.t.Logf("%s: at most %d requests in a window, bound %.1f", account, most, bound)
	must.LessEq(n.t, bound, float64(most), must.Sprintf("account %s", account))
}

// mostInWindow returns the largest number of admitted requests in any window.
func (n *network) mostInWindow(account string) int {
	times := n.admitted[account]
	first, most := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= n.bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// resetTotals starts to count anew.
func (n *network) resetTotals() {
	for _, total := range n.totals {
		*total = totals{}
	}
	n.waits, n.datagrams, n.remote, n.bytes = nil, 0, 0, 0
	clear(n.sentBy)
}

// checkAdmitted checks the fraction of what a single bucket would admit.
func (n *network) checkAdmitted(account string, least float64) {
	n.t.Helper()
	total := n.totals[account]
	fraction := float64(total.admitted) / float64(total.owed)
	n.t.Logf("%s: offered %d, owed %d, admitted %d (%.4f); %d datagrams (%d between data centres), %d bytes", account, total.offered,
		total.owed, total.admitted, fraction, n.datagrams, n.remote, n.bytes)
	must.GreaterEq(n.t, least, fraction, must.Sprintf("account %s", account))
}
