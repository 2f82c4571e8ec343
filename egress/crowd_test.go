package egress

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	fleetCentres   = 6
	fleetDaemons   = 60
	centreDaemons  = fleetDaemons / fleetCentres
	regionCentres  = fleetCentres / 2
	centreReplicas = 5
	replicaSlots   = 4
	fleetWork      = 20 * time.Millisecond
	fleetStep      = 5 * time.Millisecond
)

// centre is a data centre whose replicas share one queue, as the balancer evens them out.
type centre struct {
	demand float64
	// requests is the number of requests at the replicas. slowdown multiplies their work.
	requests, slowdown float64
	isEvacuated, isCut bool
	// history holds the load of a replica by step.
	history []float64
	// time sums up the completion times of the requests of the data centre's callers, far the requests that left.
	count, far, time float64
}

func (c *centre) completion() float64 {
	slots := float64(centreReplicas * replicaSlots)
	return c.slowdown * (1 + max(0, c.requests+1-slots)/slots) * fleetWork.Seconds()
}

// fleet simulates daemons that decide alone, each on reports of its own age from 0 to 1 s. Their comparison of single replicas halves
// what a report says every 150 ms of its age, as the balancer does.
type fleet struct {
	rng         *rand.Rand
	now         time.Time
	centres     [fleetCentres]centre
	controllers []*Controller
	age         []time.Duration
	// shares holds the mean share of the daemons of the first data centre by evaluation interval.
	shares []float64
	// receivers counts the requests by the data centre that they went to, of those that left.
	receivers [fleetCentres]float64
	noReports bool
}

func newFleet(seed uint64, on bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0)}
	for i := range f.centres {
		f.centres[i] = centre{demand: 0.5, slowdown: 1, requests: 10}
	}
	for d := range fleetDaemons {
		if on {
			f.controllers = append(f.controllers, New(Settings{}, uint64(d)))
		}
		f.age = append(f.age, time.Duration(d%centreDaemons)*999*time.Millisecond/(centreDaemons-1))
	}
	return f
}

func link(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case a/regionCentres == b/regionCentres:
		return 8 * time.Millisecond
	default:
		return 55 * time.Millisecond
	}
}

func centreName(i int) string { return fmt.Sprint("c", i) }

// replicas returns what a daemon knows.
func (f *fleet) replicas(d int) (all []Replica) {
	home := d / centreDaemons
	for i := range f.centres {
		c := &f.centres[i]
		if c.isEvacuated || c.isCut && i != home || c.isCut != f.centres[home].isCut {
			continue
		}
		at := len(c.history) - 1 - int(f.age[d]/fleetStep)
		load, age := 0.0, 2*MaxReportAge
		if at >= 0 && !f.noReports {
			load, age = c.history[at], f.age[d]
		}
		for range centreReplicas {
			whole := int(load)
			if f.rng.Float64() < load-float64(whole) {
				whole++
			}
			// The latency follows from the queue and the speed.
			r := Replica{DataCentre: centreName(i), IsNear: i == home, Link: link(home, i), Load: whole, Slots: replicaSlots, ReportAge: age}
			r.Slowness = c.slowdown * (1 + queue(r.load(), r.slots()))
			all = append(all, r)
		}
	}
	return all
}

// cost returns what a daemon expects of one more request at a data centre.
func (f *fleet) cost(d, i int) float64 {
	c, home := &f.centres[i], d/centreDaemons
	at := len(c.history) - 1 - int(f.age[d]/fleetStep)
	load := 0.0
	if at >= 0 {
		load = c.history[at] * math.Exp2(-float64(f.age[d])/float64(150*time.Millisecond))
	}
	// A random part of the cost distributes the requests among equal data centres.
	return float64(fleetWork)*c.slowdown*(1+queue(load, replicaSlots)) + float64(link(home, i)) + f.rng.Float64()*float64(time.Millisecond)
}

// target returns where a daemon sends a request.
func (f *fleet) target(d int) int {
	home := d / centreDaemons
	if f.centres[home].isEvacuated {
		return (home + 1) % regionCentres
	}
	near, far, best := f.cost(d, home), math.Inf(1), home
	for i := range f.centres {
		if cost := f.cost(d, i); i != home && !f.centres[i].isEvacuated && !f.centres[i].isCut && cost < far {
			far, best = cost, i
		}
	}
	compared := home
	if far < near {
		compared = best
	}
	if f.controllers == nil {
		return compared
	}
	c := f.controllers[d]
	if c.Begin("s", fleetWork, f.now) {
		c.Evaluate("s", f.replicas(d), f.now)
	}
	choice, name := c.Decide("s", near, far)
	switch choice {
	case AsCompared:
		return compared
	case Stay:
		return home
	case Leave:
	}
	for i := range f.centres {
		if centreName(i) == name {
			return i
		}
	}
	panic("unknown data centre " + name)
}

// run simulates the fleet for a time.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for i := range f.centres {
			c := &f.centres[i]
			slots := float64(centreReplicas * replicaSlots)
			c.requests -= min(c.requests, slots) * fleetStep.Seconds() / fleetWork.Seconds() / c.slowdown
			c.history = append(c.history, c.requests/centreReplicas)
		}
		for d := range fleetDaemons {
			home := d / centreDaemons
			c := &f.centres[home]
			// Daemons have between 0.3 and 1.7 times the mean demand, so evaluations come at different times.
			part := 0.3 + 1.4*float64(d%centreDaemons)/(centreDaemons-1)
			rate := c.demand * centreReplicas * replicaSlots / fleetWork.Seconds() / centreDaemons * part
			for n := rate * fleetStep.Seconds(); n > 0; n-- {
				if n < 1 && f.rng.Float64() >= n {
					break
				}
				to := f.target(d)
				c.count++
				c.time += f.centres[to].completion() + link(home, to).Seconds()
				if to != home {
					c.far++
					f.receivers[to]++
				}
				f.centres[to].requests++
			}
		}
		if f.controllers != nil && len(f.centres[0].history)%int(evaluationInterval/fleetStep) == 0 {
			sum := 0.0
			for _, c := range f.controllers[:centreDaemons] {
				sum += c.Shares()["s"]
			}
			f.shares = append(f.shares, sum/centreDaemons)
		}
	}
}

// mean returns the mean completion time of the requests of the callers of some data centres since the last call.
func (f *fleet) mean(from, to int) time.Duration {
	count, sum := 0.0, 0.0
	for i := from; i <= to; i++ {
		c := &f.centres[i]
		count, sum = count+c.count, sum+c.time
		c.count, c.time, c.far = 0, 0, 0
	}
	return time.Duration(sum / count * float64(time.Second))
}

// turns returns how often a series changes its direction by at least amplitude.
func turns(series []float64, amplitude float64) (n int) {
	direction, extreme := 0.0, series[0]
	for _, v := range series {
		switch {
		case direction >= 0 && v > extreme, direction <= 0 && v < extreme:
			if direction == 0 && math.Abs(v-extreme) < amplitude {
				continue
			}
			if direction == 0 {
				direction = v - extreme
			}
			extreme = v
		case math.Abs(v-extreme) >= amplitude:
			n++
			direction, extreme = v-extreme, v
		}
	}
	return n
}

// crowdedMeans are the mean completion times of the callers of the crowded data centre, of the others in its region, and of the
// other region.
type crowdedMeans struct{ crowded, region, other time.Duration }

func (m crowdedMeans) String() string {
	return fmt.Sprintf("%v %v %v", m.crowded.Round(time.Millisecond/10), m.region.Round(time.Millisecond/10), m.other.Round(time.Millisecond/10))
}

func (f *fleet) means() crowdedMeans {
	return crowdedMeans{f.mean(0, 0), f.mean(1, regionCentres-1), f.mean(regionCentres, fleetCentres-1)}
}

// checkNoWorse checks that no callers wait longer than without the control, but for a tolerance for chance.
func checkNoWorse(t *testing.T, with, without crowdedMeans, tolerance float64) {
	t.Helper()
	for _, m := range [][2]time.Duration{{with.crowded, without.crowded}, {with.region, without.region}, {with.other, without.other}} {
		must.LessEq(t, (1+tolerance)*m[1].Seconds(), m[0].Seconds())
	}
}

// Guards against a stampede to the neighbours of a crowded data centre, and against shares that swing, while 60 daemons decide
// alone on reports of different age.
func TestCrowdedDataCentre(t *testing.T) {
	for _, demand := range []float64{0.9, 1.2, 1.6, 2.2} {
		for _, seed := range []uint64{1, 2, 7} {
			t.Run(fmt.Sprintf("%v-%d", demand, seed), func(t *testing.T) { testCrowded(t, demand, seed) })
		}
	}
}

func testCrowded(t *testing.T, demand float64, seed uint64) {
	with, without := newFleet(seed, true), newFleet(seed, false)
	run := func(d time.Duration) (a, b crowdedMeans) {
		with.run(d)
		without.run(d)
		return with.means(), without.means()
	}
	run(3 * time.Second)
	with.centres[0].demand, without.centres[0].demand = demand, demand
	first, firstWithout := run(5 * time.Second)
	// Until the control starts, the queue at a demand of little more than the capacity depends on chance.
	checkNoWorse(t, first, firstWithout, 0.2)
	settled, settledWithout := run(25 * time.Second)
	checkNoWorse(t, settled, settledWithout, 0.1)
	t.Logf("first 5 s: %v, without %v; next 25 s: %v, without %v; shares up to %.2f, last %.2f, %d turns", first, firstWithout, settled,
		settledWithout, slices.Max(with.shares), with.shares[len(with.shares)-1], turns(with.shares, 0.1))
	if demand > 1 {
		must.Less(t, settledWithout.crowded/2, settled.crowded)
	}
	// What has to leave is 1-0.85/demand, and more until the queue of the first seconds is worked off.
	must.LessEq(t, 2, turns(with.shares, 0.1))
	needed := max(0, 1-targetUtilisation/demand)
	must.LessEq(t, needed+0.25, slices.Max(with.shares))
	with.centres[0].demand, without.centres[0].demand = 0.5, 0.5
	after, _ := run(20 * time.Second)
	must.Less(t, fleetWork*3/2, after.crowded)
	must.Less(t, 0.02, with.shares[len(with.shares)-1])
}

// Guards against shares that leave a data centre that is as busy as the others.
func TestEvenLoad(t *testing.T) {
	for _, demand := range []float64{0.3, 0.6, 0.9} {
		f := newFleet(7, true)
		for i := range f.centres {
			f.centres[i].demand = demand
		}
		f.run(20 * time.Second)
		must.Eq(t, 0, slices.Max(f.shares))
	}
}

// settle makes the first data centre crowded until a share leaves it.
func settle(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(7, true)
	f.run(3 * time.Second)
	f.centres[0].demand = 1.6
	f.run(10 * time.Second)
	must.Greater(t, 0.3, f.shares[len(f.shares)-1])
	f.receivers = [fleetCentres]float64{}
	return f
}

// Guards against requests that are sent to a data centre that is cut off.
func TestCutOffNeighbour(t *testing.T) {
	f := settle(t)
	f.centres[1].isCut = true
	f.run(evaluationInterval + 100*time.Millisecond)
	f.receivers = [fleetCentres]float64{}
	f.run(5 * time.Second)
	must.Eq(t, 0, f.receivers[1])
	must.Positive(t, f.receivers[2])
}

// Guards against a share that stays in force while all near replicas are evacuated, and against requests to an evacuated neighbour.
func TestEvacuations(t *testing.T) {
	f := settle(t)
	f.centres[0].isEvacuated = true
	f.centres[0].demand = 0.3
	f.run(5 * time.Second)
	f.centres[0].isEvacuated = false
	f.run(evaluationInterval)
	must.Less(t, 0.05, f.shares[len(f.shares)-1])

	f = settle(t)
	f.centres[2].isEvacuated = true
	f.run(evaluationInterval + 100*time.Millisecond)
	f.receivers = [fleetCentres]float64{}
	f.run(5 * time.Second)
	must.Eq(t, 0, f.receivers[2])
}

// Guards against requests that are sent to a cold data centre, and against cold near replicas that keep all requests.
func TestColdDataCentre(t *testing.T) {
	f := settle(t)
	f.centres[1].slowdown = 10
	f.run(2 * time.Second)
	f.receivers = [fleetCentres]float64{}
	f.run(5 * time.Second)
	must.Less(t, f.receivers[2]/2, f.receivers[1])

	with, without := newFleet(7, true), newFleet(7, false)
	for _, f := range []*fleet{with, without} {
		f.run(3 * time.Second)
		f.means()
		f.centres[0].slowdown = 10
		f.run(10 * time.Second)
	}
	checkNoWorse(t, with.means(), without.means(), 0.1)
	with.centres[0].slowdown = 1
	with.run(20 * time.Second)
	must.Less(t, 0.05, with.shares[len(with.shares)-1])
}

// Guards against a share that outlives the reports on which it is based, as without a reader of the data centre.
func TestOldReports(t *testing.T) {
	f := settle(t)
	f.noReports = true
	f.run(MaxReportAge + 3*evaluationInterval)
	must.Eq(t, 0, f.shares[len(f.shares)-1])
}
