package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/egress"
)

// crowdReplica simulates a replica with slots and a queue in virtual time.
type crowdReplica struct {
	Server
	running int
	waiting []*crowdRequest
	// slowdown multiplies the time of its work; a cut replica gets no request and sends no answer.
	slowdown float64
	isCut    bool
}

type crowdRequest struct {
	daemon, caller int
	replica        *crowdReplica
	arrived        time.Time
	pickedAt       time.Time
	isDone         bool
}

// crowdEvent is a step of the simulation at a time. Events at the same time run in the order in which they were added.
type crowdEvent struct {
	at  time.Time
	n   int
	run func()
}

type crowdEvents []crowdEvent

func (e crowdEvents) Len() int { return len(e) }
func (e crowdEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e crowdEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *crowdEvents) Push(x any)   { *e = append(*e, x.(crowdEvent)) }
func (e *crowdEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	crowdCentres       = 6
	crowdDaemons       = 60
	crowdPerCentre     = crowdDaemons / crowdCentres
	crowdReplicas      = 5
	crowdSlots         = 4
	crowdWork          = 20 * time.Millisecond
	crowdRegionCentres = crowdCentres / 2
	// crowdTimeout is how long a caller waits.
	crowdTimeout = time.Second
	// crowdBucket is the time over which the share of the requests that leave is counted.
	crowdBucket = 500 * time.Millisecond
)

// crowdCapacity is the number of requests a second that the replicas of a data centre can run.
var crowdCapacity = crowdReplicas * crowdSlots / crowdWork.Seconds()

// crowdResult sums up the requests of the callers of one data centre that arrived in one bucket.
type crowdResult struct {
	asked, left, failed int
	latencies           []time.Duration
}

// crowd simulates daemons that decide alone, in virtual time, on load reports that reach each of them with its own delay
// from 0 to 1 s.
type crowd struct {
	rng, arrivals *rand.Rand
	start         time.Time
	now           time.Time
	events        crowdEvents
	count         int
	daemons       []*Balancer
	delay         []time.Duration
	replicas      map[string]*crowdReplica
	// demand returns the requests a second of the callers of a data centre as a fraction of the capacity of its replicas.
	demand func(centre int, since time.Duration) float64
	// picks records each choice for a comparison of two runs.
	picks []string
	// buckets holds the results by data centre of the callers and bucket.
	buckets [crowdCentres][]crowdResult
	// noReports drops all load reports.
	noReports bool
}

func crowdCentreName(centre int) string { return fmt.Sprint("c", centre) }

func crowdDistance(a, b int) Distance {
	switch {
	case a == b:
		return SameDataCentre
	case a/crowdRegionCentres == b/crowdRegionCentres:
		return SameRegion
	default:
		return OtherRegion
	}
}

// crowdLink is the one-way latency.
func crowdLink(d Distance) time.Duration {
	return [...]time.Duration{250 * time.Microsecond, 3 * time.Millisecond, 12 * time.Millisecond}[d]
}

func newCrowd(seed uint64, on bool, demand func(int, time.Duration) float64) *crowd {
	c := &crowd{rng: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(1000, 0), now: time.Unix(1000, 0),
		replicas: make(map[string]*crowdReplica), demand: demand}
	for centre := range crowdCentres {
		for k := range crowdReplicas {
			id := fmt.Sprintf("r%d-%d", centre, k)
			c.replicas[id] = &crowdReplica{slowdown: 1, Server: Server{ID: id, Service: "s", Address: "10.0.0.1:1",
				DataCentre: crowdCentreName(centre), Slots: crowdSlots}}
		}
	}
	for d := range crowdDaemons {
		b := New(seed + uint64(d))
		b.SetConnectionShares(func(Server) ConnectionShare { return ConnectionShare{MaxConnections: 64, MaxIdle: 8} })
		if on {
			b.SetEgress(egress.New(egress.Settings{PricePerKiB: 0}, seed+uint64(d)))
		}
		c.daemons = append(c.daemons, b)
		c.delay = append(c.delay, time.Duration(d%crowdPerCentre)*time.Second/(crowdPerCentre-1))
		c.list(d)
		c.after(time.Duration(c.rng.Float64()*float64(20*time.Millisecond)), func() { c.arrive(d) })
	}
	return c
}

// list gives a daemon the replica list.
func (c *crowd) list(d int) {
	var servers []Server
	for centre := range crowdCentres {
		for k := range crowdReplicas {
			if r := c.replicas[fmt.Sprintf("r%d-%d", centre, k)]; r != nil {
				s := r.Server
				s.Distance = crowdDistance(d/crowdPerCentre, centre)
				servers = append(servers, s)
			}
		}
	}
	c.daemons[d].SetServers(servers, c.now)
}

func (c *crowd) after(d time.Duration, run func()) {
	c.count++
	heap.Push(&c.events, crowdEvent{c.now.Add(d), c.count, run})
}

func (c *crowd) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(crowdEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

var crowdClass = RequestClass{Kind: "k", TargetLatency: 200 * time.Millisecond}

// result returns the results of the callers of a data centre for those that arrived at the time.
func (c *crowd) result(centre int, at time.Time) *crowdResult {
	i := int(at.Sub(c.start) / crowdBucket)
	for len(c.buckets[centre]) <= i {
		c.buckets[centre] = append(c.buckets[centre], crowdResult{})
	}
	return &c.buckets[centre][i]
}

// arrive handles a request at a daemon and schedules the next one. Daemons of a data centre have between 0.3 and 1.7 times its mean.
func (c *crowd) arrive(d int) {
	centre := d / crowdPerCentre
	part := 0.3 + 1.4*float64(d%crowdPerCentre)/(crowdPerCentre-1)
	rate := c.demand(centre, c.now.Sub(c.start)) * crowdCapacity / crowdPerCentre * part
	c.after(time.Duration(c.arrivals.ExpFloat64()/max(rate, 0.1)*float64(time.Second)), func() { c.arrive(d) })
	result := c.result(centre, c.now)
	result.asked++
	choice, ok := c.daemons[d].Pick("s", crowdClass, nil, c.now)
	c.picks = append(c.picks, choice.ID)
	if !ok {
		result.failed++
		return
	}
	if choice.Distance != SameDataCentre {
		result.left++
	}
	q := &crowdRequest{daemon: d, caller: centre, replica: c.replicas[choice.ID], arrived: c.now, pickedAt: c.now}
	c.after(crowdTimeout, func() { c.expire(q) })
	c.after(crowdLink(choice.Distance), func() { c.receive(q) })
}

func (c *crowd) expire(q *crowdRequest) {
	if q.isDone {
		return
	}
	q.isDone = true
	c.result(q.caller, q.arrived).failed++
	c.daemons[q.daemon].Done(q.replica.ID, crowdClass.Kind, q.pickedAt, Abandoned, c.now)
}

func (c *crowd) receive(q *crowdRequest) {
	r := q.replica
	if r.isCut && r.DataCentre != crowdCentreName(q.caller) {
		return
	}
	if r.running >= crowdSlots {
		r.waiting = append(r.waiting, q)
		return
	}
	c.begin(q)
}

func (c *crowd) begin(q *crowdRequest) {
	r := q.replica
	r.running++
	work := time.Duration((0.5 + c.rng.Float64()) * r.slowdown * float64(crowdWork))
	c.after(work, func() {
		r.running--
		for len(r.waiting) > 0 && r.running < crowdSlots {
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			if !next.isDone {
				c.begin(next)
			}
		}
		load := Load{Running: r.running, Waiting: len(r.waiting), Slots: crowdSlots}
		c.after(crowdLink(crowdDistance(q.caller, int(r.DataCentre[1]-'0'))), func() { c.answer(q, load) })
	})
}

func (c *crowd) answer(q *crowdRequest, load Load) {
	if q.isDone || q.replica.isCut && q.replica.DataCentre != crowdCentreName(q.caller) {
		return
	}
	q.isDone = true
	result := c.result(q.caller, q.arrived)
	result.latencies = append(result.latencies, c.now.Sub(q.arrived))
	b, answeredAt := c.daemons[q.daemon], c.now
	b.Done(q.replica.ID, crowdClass.Kind, q.pickedAt, Answered, c.now)
	if !c.noReports {
		c.after(c.delay[q.daemon], func() { b.ReportLoad(q.replica.ID, load, answeredAt) })
	}
}

// crowdSummary sums up the requests of some callers.
type crowdSummary struct {
	asked, failed int
	mean, p95     time.Duration
	inTime        float64
}

func (c *crowd) summary(from, to time.Duration, centres ...int) (s crowdSummary) {
	var all []time.Duration
	for _, centre := range centres {
		for i, b := range c.buckets[centre] {
			if at := time.Duration(i) * crowdBucket; at >= from && at < to {
				all = append(all, b.latencies...)
				s.asked += b.asked
				s.failed += b.failed
			}
		}
	}
	if len(all) == 0 {
		return s
	}
	slices.Sort(all)
	var sum time.Duration
	inTime := 0
	for _, l := range all {
		sum += l
		if l <= crowdClass.TargetLatency {
			inTime++
		}
	}
	s.mean, s.p95, s.inTime = sum/time.Duration(len(all)), all[len(all)*95/100], float64(inTime)/float64(s.asked)
	return s
}

func (s crowdSummary) String() string {
	return fmt.Sprintf("asked %d failed %d mean %v p95 %v in time %.3f", s.asked, s.failed, s.mean.Round(100*time.Microsecond),
		s.p95.Round(100*time.Microsecond), s.inTime)
}

// left returns the fraction of the requests of some data centres' callers that left.
func (c *crowd) left(centres ...int) float64 {
	left, asked := 0, 0
	for _, centre := range centres {
		for _, b := range c.buckets[centre] {
			left, asked = left+b.left, asked+b.asked
		}
	}
	return float64(left) / float64(asked)
}

// Guards against a control that changes choices although no data centre is busier than another.
func TestEgressChangesNothingOnEvenLoad(t *testing.T) {
	for _, load := range []float64{0.3, 0.5, 0.7, 0.87} {
		even := func(int, time.Duration) float64 { return load }
		with, without := newCrowd(1, true, even), newCrowd(1, false, even)
		with.run(6 * time.Second)
		without.run(6 * time.Second)
		must.SliceNotEmpty(t, with.picks)
		must.Eq(t, without.picks, with.picks)
	}
}

// Guards against a control that serves the callers of a crowded data centre, or the others, worse than the comparison of single
// replicas does.
func TestEgressOfCrowdedDataCentre(t *testing.T) {
	demand := func(centre int, since time.Duration) float64 {
		if centre == 0 && since > 2*time.Second {
			return 2.5
		}
		return 0.5
	}
	with, without := newCrowd(1, true, demand), newCrowd(1, false, demand)
	with.run(12 * time.Second)
	without.run(12 * time.Second)
	for _, centres := range [][]int{{0}, {1, 2}, {3, 4, 5}} {
		a, b := with.summary(2*time.Second, 12*time.Second, centres...), without.summary(2*time.Second, 12*time.Second, centres...)
		t.Logf("data centres %v: %v, left %.2f; without: %v, left %.2f", centres, a, with.left(centres...), b, without.left(centres...))
		must.LessEq(t, b.mean+b.mean/10, a.mean)
		must.LessEq(t, b.failed+b.asked/1000, a.failed)
	}
}
