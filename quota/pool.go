package quota

import (
	"maps"
	"math"
	"time"
)

const (
	// maxPending is how long an ask waits for tokens of other pools, enough for two rounds of pulls between regions.
	maxPending = 60 * time.Millisecond
	// maxRefillWait is how long an ask waits for tokens that are due soon. Without it, demand close to the quota is refused for the time
	// of a denial although the tokens are only some milliseconds late. serveInterval is the time between two checks for such tokens.
	maxRefillWait = 25 * time.Millisecond
	serveInterval = 5 * time.Millisecond
	// For startPeriod after it starts, a pool refills with Fleet.startShare, which is startFraction of its share if the number of data
	// centres is not known.
	startPeriod   = 4 * time.Second
	startFraction = 0.5
	// maxNeed limits the permits in one ask, maxPendingAsks the asks for an account that wait for tokens: each ask takes time in proportion to
	// those that wait.
	maxNeed        = 1000
	maxPendingAsks = 1024
	// minHold and maxHold bound the time for which a client refuses requests after a denial without asking again. holdPerClient raises it
	// with the number of clients that were denied lately, so that an account over its quota causes at most 500 asks a second at a reader.
	minHold       = 10 * time.Millisecond
	maxHold       = 250 * time.Millisecond
	holdPerClient = 2 * time.Millisecond
	// deniedRetention is how long a client counts as one that refuses requests after its ask was denied.
	deniedRetention = time.Second
)

// Pool grants permits from the share of a data centre. It is not safe for concurrent use.
type Pool struct {
	bounds Bounds
	quotas func(account string) (Quota, bool)
	send   func(host string, m Message)
	fleet  *Fleet
	// share is the own data centre's share in the fleet.
	share float64
	// held is set while this daemon holds the reader role. startedAt is when that last changed.
	held      bool
	startedAt time.Time
	// buckets holds the state of each account with a quota, active those with pulls in flight.
	buckets map[string]*bucket
	active  []*bucket
	// waiting are those with pending asks, which are served every serveInterval. nextServe is when that is due.
	waiting   []*bucket
	nextServe time.Time
	// pulls holds the pulls that may still be answered, silentUntil the hosts that did not answer.
	pulls       map[uint64]*pull
	silentUntil map[string]time.Time
	seq         uint64
	counts      *Counts
}

// bucket is the state of an account in a pool.
type bucket struct {
	account string
	quota   Quota
	// level is the number of own tokens, refilled up to updated. borrowed are tokens of other pools, which are used first; when they
	// expire, they are added to the level as far as its capacity allows.
	level    float64
	updated  time.Time
	borrowed lots
	// advanced are tokens and permits that were granted in advance and may not be used yet.
	advanced lots
	// demand is the rate of requests, including those that the clients refused.
	demand  rate
	refused retryQueue
	// deniedAt holds when asks of clients were denied lately, by host.
	deniedAt map[string]time.Time
	pending  []pendingAsk
	// isWaiting is set while the bucket is in the list of those with pending asks.
	isWaiting bool
	// rounds are the rounds of pulls in flight, pulling the sum of what they need.
	rounds  []*round
	pulling float64
	// nextPull is when the next pull for waiting asks may be sent, nextPullAhead the next one before any ask waits.
	nextPull, nextPullAhead time.Time
	// reports holds the latest reports of other pools on their buckets, by data centre.
	reports map[string]*remoteReport
}

// pendingAsk is an ask that waits for tokens of other pools.
type pendingAsk struct {
	host string
	ask  Ask
	at   time.Time
	// notified is set once a Pending grant has been sent to the client.
	notified bool
}

// NewPool returns a pool of a daemon that does not hold the reader role. quotas returns the quota of an account in the configuration in
// force; seq is the number before that of its first pull.
func NewPool(bounds Bounds, seq uint64, quotas func(account string) (Quota, bool), send func(host string, m Message), counts *Counts) *Pool {
	return &Pool{bounds: bounds, quotas: quotas, send: send, fleet: &Fleet{}, buckets: make(map[string]*bucket), pulls: make(map[uint64]*pull),
		silentUntil: make(map[string]time.Time), seq: seq, counts: counts}
}

// SetFleet sets the data centres.
func (p *Pool) SetFleet(f *Fleet) { p.fleet, p.share = f, f.share(f.Own) }

// SetHeld sets whether this daemon holds the reader role of its data centre. A pool starts with at most one token for each account, so
// that the burst is not granted again.
func (p *Pool) SetHeld(held bool, now time.Time) {
	if p.held != held {
		p.held, p.startedAt, p.active, p.waiting = held, now, nil, nil
		clear(p.buckets)
		clear(p.pulls)
	}
}

// bucketFor returns the refilled bucket of an account, nil if this daemon holds no pool for it.
func (p *Pool) bucketFor(account string, now time.Time) *bucket {
	q, ok := p.quotas(account)
	if !p.held || p.share == 0 || !ok {
		return nil
	}
	b := p.buckets[account]
	if b == nil {
		b = &bucket{account: account, level: 1, updated: p.startedAt, reports: make(map[string]*remoteReport), deniedAt: make(map[string]time.Time)}
		p.buckets[account] = b
	}
	b.quota = q
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		starting := max(0, min(elapsed, p.startedAt.Add(startPeriod).Sub(b.updated)))
		b.level += q.RatePerS * (p.fleet.startShare()*starting.Seconds() + p.share*(elapsed-starting).Seconds())
		b.updated = now
	}
	b.level = min(b.level+b.borrowed.expire(now), p.fleet.capacity(q, p.bounds, p.fleet.Own))
	b.advanced.expire(now)
	return b
}

// available returns the number of tokens that can be used, with a tolerance for rounding errors.
func (b *bucket) available() float64 { return b.level + b.borrowed.sum() + 1e-9 }

// take removes tokens, of which there must be enough: borrowed ones first.
func (b *bucket) take(tokens float64) {
	taken, _ := b.borrowed.take(tokens)
	b.level = max(0, b.level-(tokens-taken))
}

// HandleAsk processes an ask of a client.
func (p *Pool) HandleAsk(host string, a Ask, now time.Time) {
	a.Need, a.Extra, a.Refused = min(max(a.Need, 0), maxNeed), min(max(a.Extra, 0), maxNeed), max(a.Refused, 0)
	b := p.bucketFor(a.Account, now)
	switch {
	case b == nil:
		p.send(host, Message{Grants: []Grant{{Seq: a.Seq, Status: Unavailable}}})
		return
	case b.quota.RatePerS == 0:
		p.send(host, Message{Grants: []Grant{{Seq: a.Seq, Status: Granted, Permits: a.Need}}})
		return
	}
	b.demand.add(float64(a.Need+a.Refused), now)
	if a.Refused > 0 {
		b.refused.add(a.Refused, p.supplyOf(b, now).own, now)
	}
	received := pendingAsk{host: host, ask: a, at: now}
	if len(b.pending) >= maxPendingAsks {
		p.deny(b, received, now)
		return
	}
	b.pending = append(b.pending, received)
	p.serve(b, now)
}

// serve answers the pending asks of a bucket in order as far as it has tokens, and pulls tokens for the others or denies them.
func (p *Pool) serve(b *bucket, now time.Time) {
	p.grantPending(b, now)
	if len(b.pending) == 0 {
		b.pending = nil
		p.pullAhead(b, now)
		return
	}
	p.pullForPending(b, now)
	for len(b.pending) > 0 && !p.mayWait(b, now) {
		first := b.pending[0]
		b.pending = b.pending[1:]
		p.deny(b, first, now)
	}
	if len(b.pending) > 0 && !b.isWaiting {
		b.isWaiting = true
		p.waiting = append(p.waiting, b)
	}
	p.notifyPending(b)
}

// grantPending grants the pending asks in order as far as the bucket has tokens.
func (p *Pool) grantPending(b *bucket, now time.Time) {
	for len(b.pending) > 0 && b.available() >= float64(b.pending[0].ask.Need) {
		next := b.pending[0]
		b.pending = b.pending[1:]
		b.take(float64(next.ask.Need))
		extra := p.takeExtra(b, next.ask.Extra, now)
		p.send(next.host, Message{Grants: []Grant{{Seq: next.ask.Seq, Status: Granted, Permits: next.ask.Need + extra}}})
	}
}

// pullForPending pulls the tokens that the pending asks need and that are not yet being pulled.
func (p *Pool) pullForPending(b *bucket, now time.Time) {
	need := -b.available() - b.pulling
	for _, w := range b.pending {
		need += float64(w.ask.Need)
	}
	if need > 0 && !now.Before(b.nextPull) {
		ahead := b.demand.get(now) * lookahead.Seconds()
		if p.pull(b, need, ahead, now) {
			b.nextPull = now.Add(pullInterval)
		}
	}
}

// notifyPending tells the clients whose asks wait that they do.
func (p *Pool) notifyPending(b *bucket) {
	for i := range b.pending {
		if w := &b.pending[i]; !w.notified {
			w.notified = true
			p.send(w.host, Message{Grants: []Grant{{Seq: w.ask.Seq, Status: Pending}}})
		}
	}
}

// mayWait reports whether the first pending ask may wait for tokens: of pulls in flight, or if they are due soon.
func (p *Pool) mayWait(b *bucket, now time.Time) bool {
	age := now.Sub(b.pending[0].at)
	if len(b.rounds) > 0 {
		return age < maxPending
	}
	missing := float64(b.pending[0].ask.Need) - b.available()
	return age < maxRefillWait && seconds(missing/p.supplyOf(b, now).own) < maxRefillWait-age
}

// takeExtra takes whole tokens that a client can use soon, as far as the room for grants in advance and own tokens allow.
func (p *Pool) takeExtra(b *bucket, wanted int, now time.Time) int {
	room := p.fleet.advanceRoom(b.quota, p.bounds, p.fleet.Own)/2 - b.advanced.sum()
	keep := b.demand.get(now) * reservePeriod.Seconds()
	extra := math.Floor(max(0, min(float64(wanted), room, b.level-keep)))
	b.level -= extra
	b.advanced.add(extra, now.Add(advanceLifetime))
	return int(extra)
}

// deny answers an ask that does not wait, with the tokens that there are.
func (p *Pool) deny(b *bucket, denied pendingAsk, now time.Time) {
	permits := min(denied.ask.Need, int(b.available()))
	b.take(float64(permits))
	s := p.supplyOf(b, now)
	firstToken := seconds(max(0, 1-b.available()) / s.own)
	retry := firstToken + seconds((b.refused.get(s.own, now)+s.refused)/s.total)
	b.refused.add(denied.ask.Need-permits, s.own, now)
	// A single token may take longer than maxRetryAfter: an earlier retry would be refused again.
	retry = min(retry, max(maxRetryAfter, firstToken))
	// The client spaces the retries of the requests that it refuses so that those of all clients together arrive at the refill rate.
	b.deniedAt[denied.host] = now
	maps.DeleteFunc(b.deniedAt, func(_ string, at time.Time) bool { return now.Sub(at) > deniedRetention })
	interval := seconds(float64(len(b.deniedAt)) / s.total)
	shortest := max(minHold, time.Duration(len(b.deniedAt))*holdPerClient)
	hold := min(max(firstToken, shortest), max(maxHold, shortest))
	p.send(denied.host, Message{Grants: []Grant{{Seq: denied.ask.Seq, Status: Denied, Permits: permits, RetryMs: milliseconds(retry),
		IntervalMs: milliseconds(interval), HoldMs: milliseconds(hold)}}})
}

// supply estimates how soon refused requests can be served.
type supply struct {
	// own is the rate at which the pool gets tokens: by its own refill and that part of the refill of other pools which they don't need
	// themselves. total adds the refill of other pools that refuse requests too, and refused is the number of these requests.
	own, total, refused float64
}

func (p *Pool) supplyOf(b *bucket, now time.Time) supply {
	s := supply{own: b.quota.RatePerS * p.share}
	for _, c := range p.fleet.Centres {
		if !p.canPull(c, now) {
			continue
		}
		refill := b.quota.RatePerS * p.fleet.share(c.Name)
		if r := b.reports[c.Name]; r != nil {
			if refused := r.refused - refill*now.Sub(r.at).Seconds(); refused > 0 {
				s.refused += refused
				s.total += refill
				continue
			}
		}
		s.own += max(0, refill-b.remoteDemand(c.Name, now))
	}
	s.total += s.own
	return s
}

// Tick ends the rounds whose time is up, and serves the asks that wait for a refill.
func (p *Pool) Tick(now time.Time) {
	p.endRounds(now)
	if now.Before(p.nextServe) {
		return
	}
	p.nextServe = now.Add(serveInterval)
	waiting := p.waiting
	p.waiting = nil
	for _, b := range waiting {
		b.isWaiting = false
		if len(b.pending) > 0 && p.bucketFor(b.account, now) != nil {
			p.serve(b, now)
		}
	}
}

// next returns when Tick has to be called, zero if nothing is in flight.
func (p *Pool) next() time.Time {
	var next time.Time
	for _, b := range p.active {
		for _, r := range b.rounds {
			next = earliest(next, r.at.Add(pullTimeout))
		}
	}
	if len(p.waiting) > 0 {
		next = earliest(next, p.nextServe)
	}
	return next
}

// earliest returns the earlier of two times, of which zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
