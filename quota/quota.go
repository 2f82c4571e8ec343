// Package quota keeps the requests of client accounts within their quotas over all daemons together. The reader of each data centre
// holds a pool with the data centre's share of each account's rate and burst. Every daemon has a client that asks a pool for permits,
// one for each request, and pools that run out of tokens pull some from other pools.
//
// Pool, Client and Node decide on explicit state and a clock and do no I/O; Exchange connects a Node to a UDP socket.
package quota

import (
	"time"

	"github.com/chivemill/chivemill/account"
)

// Quota limits the requests of one account over all daemons together.
type Quota struct {
	// RatePerS is the number of requests a second, 0 for no limit. Burst is the number that may be sent at once beyond it.
	RatePerS, Burst float64
}

// Of returns the quota of an account.
func Of(a *account.Account) Quota { return Quota{RatePerS: a.RatePerS, Burst: a.Burst} }

// Bounds limit the sum over all daemons: in any Window at most (RatePerS x Window + Burst) x (1 + Overage) + Slack requests of an
// account may reach replicas.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// room returns the number of requests by which the sum in a window may exceed RatePerS x Window + Burst.
func (b Bounds) room(q Quota) float64 {
	return (q.RatePerS*b.Window.Seconds()+q.Burst)*b.Overage + b.Slack
}

const (
	// localRoomFraction is the part of the room for requests that are admitted without a pool, advanceRoomFraction that for
	// permits and tokens that are granted before a request needs them, and capacityRoomFraction that for capacities of pools beyond
	// the burst. Excess grants by two readers in one data centre, or with different views of the fleet, are covered by the local
	// allowances, which daemons that reach a reader do not use.
	localRoomFraction    = 0.5
	advanceRoomFraction  = 0.25
	capacityRoomFraction = 0.25
	// advanceLifetime is how long permits and tokens that were granted in advance can be used. Within it, their number is limited
	// by the room, so a longer time allows fewer of them a second.
	advanceLifetime = 200 * time.Millisecond
	// returnedLifetime is how long a permit can be used after it was asked for, if its request was not sent to any replica.
	returnedLifetime = 400 * time.Millisecond
	// lookahead is the time for which clients and pools ask for more than they need at the moment.
	lookahead = 100 * time.Millisecond
)

// Centre describes the daemons of a data centre.
type Centre struct {
	Name string
	// Reader is the host of the daemon that holds the pool, empty if unknown. Daemons is the number of daemons.
	Reader  string
	Daemons int
}

// Fleet describes the daemons of all data centres. It is immutable.
type Fleet struct {
	// Own is the name of the data centre of this daemon.
	Own string
	// Centres is ordered by increasing distance from this daemon, its own data centre first.
	Centres []Centre
	// Configured is the number of data centres in the settings, 0 if unknown. Centres may lack some of them after a start.
	Configured int
}

// daemons returns the number of daemons in all data centres.
func (f *Fleet) daemons() int {
	n := 0
	for _, c := range f.Centres {
		n += c.Daemons
	}
	return n
}

// share returns the fraction of all daemons that a data centre has, 0 if it is unknown.
func (f *Fleet) share(centre string) float64 {
	for _, c := range f.Centres {
		if c.Name == centre && c.Daemons > 0 {
			return float64(c.Daemons) / float64(f.daemons())
		}
	}
	return 0
}

// startShare returns the share with which the own pool refills for startPeriod after it starts. Its view may lack data centres then, and
// other pools may not know of it yet. An equal part of the configured data centres is no more than the share in a complete view of
// equal data centres, so pools that start at the same time do not grant more than the rate together.
func (f *Fleet) startShare() float64 {
	share := f.share(f.Own)
	if f.Configured == 0 {
		return startFraction * share
	}
	return min(share, 1/float64(f.Configured))
}

// capacity returns the largest number of tokens in a data centre's pool: its share of the burst, and up to one more as the room allows,
// because a request needs a whole token and fractions are spread over the pools.
func (f *Fleet) capacity(q Quota, b Bounds, centre string) float64 {
	extra := min(1, capacityRoomFraction*b.room(q)/float64(max(1, len(f.Centres))))
	return max(1, q.Burst*f.share(centre)+extra)
}

// advanceRoom returns the number of permits and tokens that a data centre's pool may have granted in advance at any time. What the
// capacities of all pools exceed the burst by is taken from the same room.
func (f *Fleet) advanceRoom(q Quota, b Bounds, centre string) float64 {
	excess := -q.Burst
	for _, c := range f.Centres {
		excess += f.capacity(q, b, c.Name)
	}
	room := b.room(q)
	return min(advanceRoomFraction*room, max(0, (1-localRoomFraction)*room-excess)) * f.share(centre)
}

// localAllowance returns the number of requests that this daemon may admit in each window without a permit of a pool. draw is a number
// from [0, 1) that differs between daemons.
func (f *Fleet) localAllowance(q Quota, b Bounds, draw float64) int {
	daemons := f.daemons()
	if daemons == 0 {
		return 0
	}
	each := localRoomFraction * b.room(q) / float64(daemons)
	whole := int(each)
	if draw < drawnFraction*(each-float64(whole)) {
		whole++
	}
	return whole
}

// drawnFraction reduces the probability with which a daemon gets one more request of its local allowance. Daemons draw independently,
// so the sum varies around its mean.
const drawnFraction = 0.6

// lots are amounts that can be used until a time, in the order in which they expire.
type lots []lot

type lot struct {
	amount float64
	until  time.Time
}

// add adds an amount that can be used until a time.
func (l *lots) add(amount float64, until time.Time) {
	if amount <= 0 {
		return
	}
	i := len(*l)
	for i > 0 && (*l)[i-1].until.After(until) {
		i--
	}
	*l = append(*l, lot{})
	copy((*l)[i+1:], (*l)[i:])
	(*l)[i] = lot{amount, until}
}

// expire removes the expired amounts and returns their sum.
func (l *lots) expire(now time.Time) float64 {
	n, sum := 0, 0.0
	for n < len(*l) && !(*l)[n].until.After(now) {
		sum += (*l)[n].amount
		n++
	}
	*l = (*l)[n:]
	if len(*l) == 0 {
		*l = nil
	}
	return sum
}

// sum returns the sum of the amounts. expire must have been called for the current time.
func (l lots) sum() float64 {
	sum := 0.0
	for _, x := range l {
		sum += x.amount
	}
	return sum
}

// take removes up to an amount, in the order of expiry, and returns the amount removed and when the last part of it would have expired.
func (l *lots) take(amount float64) (taken float64, until time.Time) {
	for taken < amount && len(*l) > 0 {
		first := &(*l)[0]
		part := min(first.amount, amount-taken)
		first.amount -= part
		taken, until = taken+part, first.until
		if first.amount <= 0 {
			*l = (*l)[1:]
		}
	}
	return taken, until
}
