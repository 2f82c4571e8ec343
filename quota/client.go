package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// askTimeout is how long a client waits for the first answer of the pool of its own data centre, remoteAskTimeout for that of
	// another data centre's pool, which may be in another region.
	askTimeout       = 20 * time.Millisecond
	remoteAskTimeout = 35 * time.Millisecond
	// maxWait is how long a request waits for its permit.
	maxWait = 80 * time.Millisecond
	// maxMisses is the number of asks in a row without an answer after which a pool is not asked for the duration of suspension. With 2,
	// requests of a data centre whose reader is slow or lost time out twice before they ask elsewhere, too late for tight target latencies.
	maxMisses  = 1
	suspension = 500 * time.Millisecond
	// unavailablePause is how long a daemon that holds no pool is not asked: a new reader is elected within seconds.
	unavailablePause = 100 * time.Millisecond
	// maxExtra limits the permits in one ask that no request waits for.
	maxExtra = 20
	// refusalsEnd is how long after its last refused request an account counts as within its quota again.
	refusalsEnd = 5 * time.Second
)

// Reason tells why a request was admitted or refused.
type Reason string

// Reasons of decisions.
const (
	// PermitHeld and PermitGranted admit with a permit that the client held, or asked for.
	PermitHeld    Reason = "held"
	PermitGranted Reason = "granted"
	// LocalAllowance admits without a pool, because none answered.
	LocalAllowance Reason = "local"
	// OverQuota refuses because the quota is used up, Unreachable because no pool answered and the local allowance is used up.
	OverQuota   Reason = "over_quota"
	Unreachable Reason = "unreachable"
	// Cancelled refuses because the caller left or the request's time was up while it waited.
	Cancelled Reason = "cancelled"
)

// Decision admits or refuses a request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is when a refused request can probably be served.
	RetryAfter time.Duration
	// until is when the permit of an admitted request expires if it is returned.
	until time.Time
}

// Ticket identifies a request that waits for its permit.
type Ticket uint64

// Client obtains permits for the requests of a daemon. It is not safe for concurrent use.
type Client struct {
	bounds Bounds
	node   string
	send   func(host string, m Message)
	// complete is called with the decision about a request that waited.
	complete func(Ticket, Decision)
	fleet    *Fleet
	// targets are the hosts of the pools in the order in which they are asked. The first one is that of the own data centre if isLocal is
	// set.
	targets  []string
	isLocal  bool
	health   map[string]*targetHealth
	accounts map[string]*clientAccount
	// asks holds the asks by number; those that were given up are kept for late answers. inFlight holds the others, oldest first.
	asks       map[uint64]*ask
	inFlight   []*ask
	seq        uint64
	lastTicket Ticket
	// refusing are the accounts with a current series of refused requests.
	refusing []*clientAccount
	counts   *Counts
}

type targetHealth struct {
	misses      int
	pausedUntil time.Time
}

// clientAccount is the state of an account in a client.
type clientAccount struct {
	name  string
	quota Quota
	// permits are those that can be used, returned those of requests that were not sent; waiting are the requests without one, in order of
	// arrival.
	permits, returned lots
	waiting           []waiter
	// demand is the rate of requests.
	demand rate
	// deniedUntil is the end of a denial. The next refused request may come back at retryAt, each further one after interval.
	deniedUntil time.Time
	retryAt     time.Time
	interval    time.Duration
	// unreported is the number of refused requests that no pool knows of.
	unreported int
	// local holds the times of requests that were admitted without a pool.
	local []time.Time
	// refusal describes the current series of refused requests, nil if there is none.
	refusal *Refusals
}

// waiter is a request that waits for its permit.
type waiter struct {
	ticket Ticket
	since  time.Time
}

// Refusals is a series of refused requests of an account. It ends after refusalsEnd without a refused request.
type Refusals struct {
	Account string
	Quota   Quota
	Reason  Reason
	Since   time.Time
	last    time.Time
	// Refused and Admitted are the numbers of requests since the series began, 0 at its beginning.
	Refused, Admitted int
	// Ended is set if the series is over.
	Ended bool
}

// ask is an ask that was sent to a pool.
type ask struct {
	seq         uint64
	account     *clientAccount
	need, extra int
	sent        time.Time
	host        string
	// tried lists the pools that have been asked for the same requests, including this one.
	tried   []string
	timeout time.Duration
	// pending is set once the pool has answered that the ask waits for tokens, ended once it has timed out.
	pending, ended bool
}

// NewClient returns a client of a daemon; seq is the number before that of its first ask.
func NewClient(bounds Bounds, node string, seq uint64, send func(host string, m Message), complete func(Ticket, Decision),
	counts *Counts) *Client {
	return &Client{bounds: bounds, node: node, send: send, complete: complete, fleet: &Fleet{}, health: make(map[string]*targetHealth),
		accounts: make(map[string]*clientAccount), asks: make(map[uint64]*ask), seq: seq, counts: counts}
}

// SetFleet sets the data centres. reader is the host of the own data centre's pool, empty if unknown; it takes precedence over the reader
// that the fleet states.
func (c *Client) SetFleet(f *Fleet, reader string) {
	c.fleet, c.targets, c.isLocal = f, nil, reader != ""
	if c.isLocal {
		c.targets = append(c.targets, reader)
	}
	for _, centre := range f.Centres {
		if centre.Reader == "" || centre.Reader == reader {
			continue
		}
		c.targets = append(c.targets, centre.Reader)
	}
}

// Acquire decides about a request of an account, or returns the ticket of the decision that complete gets.
func (c *Client) Acquire(name string, q Quota, now time.Time) (d Decision, t Ticket, decided bool) {
	a := c.account(name)
	a.quota = q
	a.demand.add(1, now)
	if until, ok := a.takePermit(now); ok {
		return c.admit(a, PermitHeld, until), 0, true
	}
	if now.Before(a.deniedUntil) {
		a.unreported++
		return c.refuse(a, OverQuota, now), 0, true
	}
	c.lastTicket++
	a.waiting = append(a.waiting, waiter{c.lastTicket, now})
	if !c.askForWaiting(a, nil, now) {
		a.waiting = a.waiting[:len(a.waiting)-1]
		return c.decideLocally(a, now), 0, true
	}
	return Decision{}, c.lastTicket, false
}

func (c *Client) account(name string) *clientAccount {
	a := c.accounts[name]
	if a == nil {
		a = &clientAccount{name: name}
		c.accounts[name] = a
	}
	return a
}

// Cancel removes a request that no longer waits. The permit that was asked for it can be used for another one.
func (c *Client) Cancel(name string, t Ticket) {
	a := c.account(name)
	for i, w := range a.waiting {
		if w.ticket == t {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return
		}
	}
}

// Return takes back the permit of a request that was not sent to any replica.
func (c *Client) Return(name string, d Decision, now time.Time) {
	a := c.account(name)
	if d.Reason == LocalAllowance {
		if len(a.local) > 0 {
			a.local = a.local[:len(a.local)-1]
		}
		return
	}
	a.returned.add(1, d.until)
	c.serve(a, now)
}

func (c *Client) admit(a *clientAccount, reason Reason, until time.Time) Decision {
	if a.refusal != nil {
		a.refusal.Admitted++
	}
	return Decision{Admitted: true, Reason: reason, until: until}
}

func (c *Client) refuse(a *clientAccount, reason Reason, now time.Time) Decision {
	if a.refusal == nil {
		a.refusal = &Refusals{Account: a.name, Quota: a.quota, Reason: reason, Since: now}
		c.counts.Events = append(c.counts.Events, *a.refusal)
		c.refusing = append(c.refusing, a)
	}
	a.refusal.last = now
	a.refusal.Refused++
	if reason == Unreachable {
		return Decision{Reason: reason, RetryAfter: suspension}
	}
	at := a.retryAt
	if at.Before(a.deniedUntil) {
		at = a.deniedUntil
	}
	a.retryAt = at.Add(a.interval)
	longest := max(maxRetryAfter, a.interval)
	if a.retryAt.Sub(now) > longest {
		a.retryAt = now.Add(longest)
	}
	return Decision{Reason: reason, RetryAfter: min(max(at.Sub(now), time.Millisecond), longest)}
}

// decideLocally decides about a request for which no pool can be asked.
func (c *Client) decideLocally(a *clientAccount, now time.Time) Decision {
	n := 0
	for n < len(a.local) && now.Sub(a.local[n]) >= c.bounds.Window {
		n++
	}
	a.local = a.local[n:]
	draw := float64(xxhash.Sum64String(c.node+"/"+a.name)>>11) / (1 << 53)
	if len(a.local) >= c.fleet.localAllowance(a.quota, c.bounds, draw) {
		return c.refuse(a, Unreachable, now)
	}
	a.local = append(a.local, now)
	return c.admit(a, LocalAllowance, now)
}

// askForWaiting asks for the permits of waiting requests that no ask in flight covers. It returns false if there is no pool to ask. tried
// lists the pools that were asked before.
func (c *Client) askForWaiting(a *clientAccount, tried []string, now time.Time) bool {
	need := c.uncovered(a)
	if need <= 0 {
		return true
	}
	host, ok := c.target(tried, now)
	if !ok {
		return false
	}
	c.seq++
	timeout := remoteAskTimeout
	if c.isLocal && host == c.targets[0] {
		timeout = askTimeout
	}
	x := &ask{seq: c.seq, account: a, need: need, extra: min(maxExtra, int(a.demand.get(now)*lookahead.Seconds())), sent: now, host: host,
		tried: append(tried[:len(tried):len(tried)], host), timeout: timeout}
	c.asks[x.seq] = x
	c.inFlight = append(c.inFlight, x)
	c.counts.PermitsAsked += x.need + x.extra
	refused := a.unreported
	a.unreported = 0
	c.send(host, Message{Asks: []Ask{{Seq: x.seq, Account: a.name, Need: x.need, Extra: x.extra, Refused: refused}}})
	return true
}

// target returns the next pool to ask that is not in tried.
func (c *Client) target(tried []string, now time.Time) (host string, ok bool) {
	for _, host := range c.targets {
		if h := c.health[host]; !slices.Contains(tried, host) && (h == nil || !now.Before(h.pausedUntil)) {
			return host, true
		}
	}
	return "", false
}

// HandleGrant processes the answer of a host to an ask. Each ask is answered once, by the pool that was asked: a datagram that arrives twice,
// or from another host, adds nothing.
func (c *Client) HandleGrant(host string, g Grant, now time.Time) {
	x := c.asks[g.Seq]
	if x == nil || x.host != host {
		return
	}
	delete(c.health, x.host)
	if g.Status == Pending {
		x.pending = true
		return
	}
	delete(c.asks, g.Seq)
	c.removeInFlight(x)
	a := x.account
	if g.Status == Unavailable {
		c.health[x.host] = &targetHealth{pausedUntil: now.Add(unavailablePause)}
		if !x.ended {
			c.askOrDecideLocally(a, x.tried, now)
		}
		return
	}
	permits := max(0, min(g.Permits, x.need+x.extra))
	a.permits.expire(now)
	if until := x.sent.Add(advanceLifetime); now.Before(until) {
		a.permits.add(float64(permits), until)
	}
	c.serve(a, now)
	if g.Status == Denied && !x.ended {
		a.interval = time.Duration(g.IntervalMs) * time.Millisecond
		a.deniedUntil = now.Add(time.Duration(g.HoldMs) * time.Millisecond)
		a.retryAt = now.Add(time.Duration(g.RetryMs) * time.Millisecond)
		for range min(x.need-permits, len(a.waiting)) {
			c.completeFirst(a, c.refuse(a, OverQuota, now))
		}
	}
	c.askOrDecideLocally(a, nil, now)
}

// askOrDecideLocally asks for the permits of waiting requests that no ask in flight covers, and decides about them locally if there is no
// pool to ask. tried lists the pools that were asked before.
func (c *Client) askOrDecideLocally(a *clientAccount, tried []string, now time.Time) {
	if c.askForWaiting(a, tried, now) {
		return
	}
	for range c.uncovered(a) {
		c.completeFirst(a, c.decideLocally(a, now))
	}
}

// uncovered returns the number of waiting requests that no ask in flight covers.
func (c *Client) uncovered(a *clientAccount) int {
	need := len(a.waiting)
	for _, x := range c.inFlight {
		if x.account == a {
			need -= x.need
		}
	}
	return need
}

// serve gives permits to waiting requests.
func (c *Client) serve(a *clientAccount, now time.Time) {
	for len(a.waiting) > 0 {
		until, ok := a.takePermit(now)
		if !ok {
			return
		}
		c.completeFirst(a, c.admit(a, PermitGranted, until))
	}
}

// takePermit takes a permit that can be used, and returns until when it can be used again if it is returned. That time does not change
// when the permit is returned repeatedly: the bound on the sum counts on permits that end returnedLifetime after they were asked for.
func (a *clientAccount) takePermit(now time.Time) (until time.Time, ok bool) {
	a.returned.expire(now)
	if taken, until := a.returned.take(1); taken >= 1 {
		return until, true
	}
	a.permits.expire(now)
	if taken, until := a.permits.take(1); taken >= 1 {
		return until.Add(returnedLifetime - advanceLifetime), true
	}
	return time.Time{}, false
}

func (c *Client) completeFirst(a *clientAccount, d Decision) {
	t := a.waiting[0].ticket
	a.waiting = a.waiting[1:]
	c.complete(t, d)
}

// removeInFlight removes an ask from those in flight.
func (c *Client) removeInFlight(x *ask) {
	for i, y := range c.inFlight {
		if x == y {
			c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
			return
		}
	}
}

// Tick processes what is due: asks and requests that have waited for too long, and series of refused requests that have ended.
func (c *Client) Tick(now time.Time) {
	c.timeOutAsks(now)
	for _, x := range c.inFlight {
		for a := x.account; len(a.waiting) > 0 && now.Sub(a.waiting[0].since) >= maxWait; {
			c.completeFirst(a, c.decideLocally(a, now))
		}
	}
	for seq, x := range c.asks {
		if now.Sub(x.sent) >= advanceLifetime {
			delete(c.asks, seq)
		}
	}
	c.endRefusals(now)
}

// timeOutAsks ends the asks whose deadline has passed, and asks other pools instead.
func (c *Client) timeOutAsks(now time.Time) {
	for _, x := range append([]*ask(nil), c.inFlight...) {
		if now.Before(x.deadline()) {
			continue
		}
		x.ended = true
		c.removeInFlight(x)
		if !x.pending {
			h := c.health[x.host]
			if h == nil {
				h = &targetHealth{}
				c.health[x.host] = h
			}
			if h.misses++; h.misses >= maxMisses {
				h.pausedUntil = now.Add(suspension)
			}
		}
		c.askOrDecideLocally(x.account, x.tried, now)
	}
}

// endRefusals ends the series of refused requests that have had none for refusalsEnd.
func (c *Client) endRefusals(now time.Time) {
	c.refusing = slices.DeleteFunc(c.refusing, func(a *clientAccount) bool {
		r := a.refusal
		if now.Sub(r.last) < refusalsEnd {
			return false
		}
		r.Ended = true
		c.counts.Events = append(c.counts.Events, *r)
		a.refusal = nil
		return true
	})
}

func (x *ask) deadline() time.Time {
	if x.pending {
		return x.sent.Add(maxWait)
	}
	return x.sent.Add(x.timeout)
}

// next returns when Tick has to be called, zero if nothing is in flight.
func (c *Client) next() time.Time {
	var next time.Time
	for _, x := range c.inFlight {
		next = earliest(next, x.deadline())
		if waiting := x.account.waiting; len(waiting) > 0 {
			next = earliest(next, waiting[0].since.Add(maxWait))
		}
	}
	for _, a := range c.refusing {
		next = earliest(next, a.refusal.last.Add(refusalsEnd))
	}
	return next
}
