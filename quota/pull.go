package quota

import (
	"time"
)

// A pool that is out of tokens pulls some from the pools of other data centres.
const (
	// pullTimeout is how long a pool waits for the answers to its pulls. It must exceed a round trip between regions, which is 24 ms.
	pullTimeout = 40 * time.Millisecond
	// pullInterval is the shortest time between two pulls for an account while others are in flight, which lets requests that arrive
	// together share one.
	pullInterval = 3 * time.Millisecond
	// After the other pools had too few tokens for an account, a pool does not pull until emptyTokens more are due in all pools, at least
	// minEmptyPause and at most maxEmptyPause.
	emptyTokens   = 4
	minEmptyPause = 10 * time.Millisecond
	maxEmptyPause = 50 * time.Millisecond
	// silentPause is how long a pool does not pull from one that did not answer.
	silentPause = time.Second
	// reservePeriod is the time for which a pool keeps tokens for its own demand: it gives other pools no more than the rest, and pulls
	// tokens if it has fewer and its demand exceeds its own refill rate. pullAheadInterval is the shortest time between two such pulls.
	reservePeriod     = 60 * time.Millisecond
	pullAheadInterval = 20 * time.Millisecond
	// overAsk is the factor by which a pool asks the others for more than it needs, because what it knows of their levels is old. What
	// exceeds the need and the capacity is lost after advanceLifetime.
	overAsk = 1.2
)

// round is a set of pulls that were sent together.
type round struct {
	at time.Time
	// need is the number of tokens for waiting requests, got the number received for any purpose.
	need, got float64
	// waiting is the number of pulls without an answer.
	waiting int
}

// pull is a pull that was sent to another pool.
type pull struct {
	bucket *bucket
	round  *round
	centre string
	host   string
	// limit is the number of tokens that were asked for.
	limit float64
	// ended is set once the pull has timed out. Its answer may still be used.
	ended bool
}

// remoteReport is what another pool reported of its bucket at a time.
type remoteReport struct {
	left, demand, refused float64
	at                    time.Time
}

// remoteDemand estimates the rate of requests at another pool.
func (b *bucket) remoteDemand(centre string, now time.Time) float64 {
	r := b.reports[centre]
	if r == nil {
		return 0
	}
	demand := rate{value: r.demand, at: r.at}
	return demand.get(now)
}

// remoteLevel estimates what another pool can give.
func (p *Pool) remoteLevel(b *bucket, centre string, now time.Time) float64 {
	share := p.fleet.share(centre)
	limit := p.fleet.capacity(b.quota, p.bounds, centre)
	r := b.reports[centre]
	if r == nil {
		return limit
	}
	refill := max(0, b.quota.RatePerS*share-b.remoteDemand(centre, now))
	return min(limit, r.left+refill*now.Sub(r.at).Seconds())
}

// remoteLevels estimates what all other pools together can give.
func (p *Pool) remoteLevels(b *bucket, now time.Time) float64 {
	total := 0.0
	for _, c := range p.fleet.Centres {
		if p.canPull(c, now) {
			total += p.remoteLevel(b, c.Name, now)
		}
	}
	return total
}

// canPull reports whether a data centre has another pool that answers.
func (p *Pool) canPull(c Centre, now time.Time) bool {
	return c.Name != p.fleet.Own && c.Reader != "" && !now.Before(p.silentUntil[c.Reader])
}

// pullAhead pulls tokens before requests have to wait for them, if the demand exceeds the pool's own refill rate.
func (p *Pool) pullAhead(b *bucket, now time.Time) {
	demand := b.demand.get(now)
	if demand <= b.quota.RatePerS*p.share || b.available() >= demand*reservePeriod.Seconds() || len(b.rounds) > 0 || now.Before(b.nextPullAhead) {
		return
	}
	b.nextPullAhead = now.Add(pullAheadInterval)
	p.pull(b, 0, demand*lookahead.Seconds()-b.available(), now)
}

// pull asks the other pools for tokens. It returns false if they are unlikely to have enough for one more request.
func (p *Pool) pull(b *bucket, need, extra float64, now time.Time) bool {
	type source struct {
		Centre
		level float64
	}
	var sources []source
	total := 0.0
	for _, c := range p.fleet.Centres {
		if !p.canPull(c, now) {
			continue
		}
		if level := p.remoteLevel(b, c.Name, now); level >= 0.001 {
			sources = append(sources, source{c, level})
			total += level
		}
	}
	if len(sources) == 0 || need > 0 && b.available()+total < 1 {
		return false
	}
	r := &round{at: now, need: need}
	for _, s := range sources {
		fraction := s.level / total
		needed, ahead := min(need, overAsk*need*fraction), extra*fraction
		p.seq++
		m := Pull{Seq: p.seq, Account: b.account, Need: roundDown(needed + 0.001), Extra: roundDown(ahead)}
		p.pulls[p.seq] = &pull{bucket: b, round: r, centre: s.Name, host: s.Reader, limit: m.Need + m.Extra}
		r.waiting++
		p.send(s.Reader, Message{Pulls: []Pull{m}})
	}
	if len(b.rounds) == 0 {
		p.active = append(p.active, b)
	}
	b.rounds = append(b.rounds, r)
	b.pulling += need
	return true
}

// HandlePull processes a pull of another pool. It gives own tokens that the requests here do not need themselves.
func (p *Pool) HandlePull(host string, m Pull, now time.Time) {
	give := Give{Seq: m.Seq}
	if b := p.bucketFor(m.Account, now); b != nil && b.quota.RatePerS > 0 {
		demand := b.demand.get(now)
		spare := b.level - demand*reservePeriod.Seconds()
		for _, w := range b.pending {
			spare -= float64(w.ask.Need)
		}
		needed := max(0, min(spare, m.Need))
		room := p.fleet.advanceRoom(b.quota, p.bounds, p.fleet.Own) - b.advanced.sum()
		ahead := max(0, min(spare-needed, m.Extra, room))
		give.Tokens = roundDown(needed + ahead)
		b.level -= give.Tokens
		b.advanced.add(max(0, give.Tokens-needed), now.Add(advanceLifetime))
		give.Left, give.Demand = roundDown(max(0, spare-give.Tokens)), roundDown(demand)
		give.Refused = roundDown(b.refused.get(p.supplyOf(b, now).own, now))
		p.counts.TokensGiven += give.Tokens
	}
	p.send(host, Message{Gives: []Give{give}})
}

// HandleGive processes the answer of a host to a pull. Each pull is answered once, by the pool that it was sent to: a datagram that arrives
// twice, or from another host, adds nothing.
func (p *Pool) HandleGive(host string, g Give, now time.Time) {
	answered := p.pulls[g.Seq]
	if answered == nil || answered.host != host {
		return
	}
	delete(p.pulls, g.Seq)
	delete(p.silentUntil, answered.host)
	b := p.bucketFor(answered.bucket.account, now)
	if b == nil || b != answered.bucket {
		return
	}
	b.reports[answered.centre] = &remoteReport{left: max(0, g.Left), demand: max(0, g.Demand), refused: max(0, g.Refused), at: now}
	r := answered.round
	if tokens := max(0, min(g.Tokens, answered.limit)); now.Before(r.at.Add(advanceLifetime)) {
		b.borrowed.add(tokens, r.at.Add(advanceLifetime))
		r.got += tokens
		p.counts.TokensTaken += tokens
	}
	if r.waiting--; r.waiting == 0 {
		p.endRound(b, r, now)
	}
	p.serve(b, now)
}

// endRound ends a round that all pools have answered or whose time is up.
func (p *Pool) endRound(b *bucket, r *round, now time.Time) {
	for i, x := range b.rounds {
		if x == r {
			b.rounds = append(b.rounds[:i:i], b.rounds[i+1:]...)
			b.pulling -= r.need
			b.nextPull = now
			if missing := r.need - r.got; missing > 0 && p.remoteLevels(b, now) < missing {
				pause := time.Duration(emptyTokens / b.quota.RatePerS * float64(time.Second))
				b.nextPull = now.Add(min(max(pause, minEmptyPause), maxEmptyPause))
			}
		}
	}
	if len(b.rounds) > 0 {
		return
	}
	b.pulling = 0
	for i, x := range p.active {
		if x == b {
			p.active = append(p.active[:i:i], p.active[i+1:]...)
			return
		}
	}
}

// endRounds ends the rounds whose time is up.
func (p *Pool) endRounds(now time.Time) {
	timedOut := false
	for _, b := range append([]*bucket(nil), p.active...) {
		for _, r := range append([]*round(nil), b.rounds...) {
			if now.Sub(r.at) >= pullTimeout {
				timedOut = true
				p.endRound(b, r, now)
			}
		}
	}
	if !timedOut {
		return
	}
	for seq, x := range p.pulls {
		age := now.Sub(x.round.at)
		if age >= pullTimeout && !x.ended {
			x.ended = true
			p.silentUntil[x.host] = now.Add(silentPause)
			x.bucket.reports[x.centre] = &remoteReport{at: now}
		}
		if age >= advanceLifetime {
			delete(p.pulls, seq)
		}
	}
}
