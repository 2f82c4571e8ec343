// Package egress decides which share of the requests to a service leaves the data centre of this daemon. It does no I/O
// and has no clock: the balancer passes in what it knows of the replicas, and asks for each request.
//
// The balancer's own comparison of single replicas stays in force while it evens out the data centres. Once the near replicas
// have been slower than others for some evaluations, including the link and the price, a share of the requests leaves. The
// share moves in small steps, so that daemons that decide alone observe the effect of all their steps before the next ones.
package egress

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evaluationInterval is the shortest time between two evaluations of a service. Reports are up to MaxReportAge old, so about
	// five steps are taken before the reports show the whole effect of the first; maxStep allows for that.
	evaluationInterval = 200 * time.Millisecond
	// MaxReportAge is the age from which a load report carries no information.
	MaxReportAge = time.Second
	// sampleWeight is the weight of an evaluation in the moving averages of a data centre, gainWeight its weight in the mean gain.
	sampleWeight = 0.3
	gainWeight   = 0.15
	// minReportWeight is the sum of the weights of the reports from which a data centre is known.
	minReportWeight = 0.1

	// enterGain is the fraction of the near completion time that leaving must save before the control starts, or for the share to
	// rise while the near replicas have room, and minGain the least time that it must save. While they have no room, the share rises
	// if the saved fraction is at least exitGain and falls if it is below -exitGain.
	enterGain = 0.2
	minGain   = 3 * time.Millisecond
	exitGain  = 0.05
	// beginGain is the mean gain from which the control starts, after beginEvaluations in a row above enterGain. Noise in the reports
	// of replicas with even load reaches a mean gain of 0.31.
	beginGain        = 0.35
	beginEvaluations = 4
	// similarGain is the fraction of the near completion time by which a data centre may save less than the best one to be used too.
	similarGain = 0.2
	// targetUtilisation is the near utilisation that the control aims at, and the least with which it starts.
	targetUtilisation = 0.85

	// followFraction is the size of a step as a fraction of the distance to the share that should leave. With twice as much, the share
	// oscillates because of the age of the reports. maxStep bounds a step.
	followFraction = 0.05
	maxStep        = 0.04
	// drainTime is the time in which a queue is to be worked off, with at most maxDrain of the slots.
	drainTime = 2 * time.Second
	maxDrain  = 0.4
	// minShare is the share below which the control ends while the near replicas have room.
	minShare = 0.01
	// maxShare leaves some requests at the near replicas, whose reports would otherwise end.
	maxShare = 0.9
	// maxCredit is the number of requests by which those that have left may differ from the share before Decide corrects the choice.
	maxCredit = 2
	// maxHoldRatio is the ratio of the near cost to the far one up to which a request may be kept near.
	maxHoldRatio = 2

	// sizeSampleWeight is the weight of a request in its service's mean work and size.
	sizeSampleWeight = 0.02
)

// Settings configures a Controller.
type Settings struct {
	// PricePerKiB is the time that each KiB that leaves the data centre must save, 0 for none.
	PricePerKiB time.Duration
}

// Replica describes the state of a replica that the request may use, as far as this daemon knows it.
type Replica struct {
	DataCentre string
	// IsNear is set for a replica in this daemon's data centre. Link is the round trip to the others, with any policy cost.
	IsNear bool
	Link   time.Duration
	// Load is the number of requests that run or wait according to the latest report, which is ReportAge old. InFlight is the number of
	// attempts of this daemon in flight.
	Load, Slots, InFlight int
	ReportAge             time.Duration
	// Slowness is the mean latency of the recent answers as a multiple of the expected one, 1 if nothing is known.
	Slowness float64
}

// load returns the number of requests at the replica: the reported one, or that of this daemon alone if it is greater.
func (r Replica) load() float64 { return float64(max(r.Load, r.InFlight)) }

// slots returns the number of slots, at least 1.
func (r Replica) slots() float64 { return float64(max(1, r.Slots)) }

// speed returns the time of a request that does not wait, as a multiple of the expected time. The latency of the recent
// answers includes the wait in the queue that the replica reported.
func (r Replica) speed() float64 { return r.Slowness / (1 + queue(r.load(), r.slots())) }

// queue returns how long a further request waits, as a multiple of the time of one.
func queue(load, slots float64) float64 { return max(0, load+1-slots) / slots }

// weight returns the weight of the report, which falls from 1 to 0 at MaxReportAge.
func (r Replica) weight() float64 {
	return max(0, 1-float64(max(0, r.ReportAge))/float64(MaxReportAge))
}

// group is the state of the replicas of one data centre.
type group struct {
	name   string
	isNear bool
	// link is the mean time of the link with the policy cost.
	link time.Duration
	// replicas is the number of replicas that may be used. isKnown is set if their reports are recent enough.
	replicas int
	isKnown  bool
	// completion and utilisation are moving averages, completion as a multiple of the work.
	completion, utilisation float64
	// gain is the time in nanoseconds that leaving for this data centre saves, less the price.
	gain float64
}

// Choice is the decision for one request.
type Choice int

// Values of Choice.
const (
	// AsCompared leaves the decision to the comparison of single replicas.
	AsCompared Choice = iota
	// Stay sends the request to a near replica.
	Stay
	// Leave sends it to the returned data centre.
	Leave
)

// service is the state of one service.
type service struct {
	evaluatedAt, knownAt time.Time
	groups               []*group
	// work is the mean work of a request in nanoseconds, bytes the mean size of the bodies of a request and its answer.
	work, bytes float64
	// meanGain is the moving average of the gain of the best far data centre as a fraction of the near completion time,
	// evaluationsWithGain the number of consecutive evaluations in which it and the near replicas met the conditions for the start.
	meanGain            float64
	evaluationsWithGain int
	// isActive is set while share determines how many requests leave.
	isActive bool
	share    float64
	// credit is the number of requests by which fewer have left than share demands, negative if more have left.
	credit float64
	// asked is the number of requests since the last evaluation, left the number of those that the comparison of single replicas sends
	// away, and leftFraction the moving average of their ratio.
	left, asked  int
	leftFraction float64
}

// Controller holds the state of all services of a daemon. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	rng      *rand.Rand
	services map[string]*service
}

// New returns a controller without state. The seed determines its random choices, which are its own: the balancer's are the
// same with and without it.
func New(settings Settings, seed uint64) *Controller {
	return &Controller{settings: settings, rng: rand.New(rand.NewPCG(seed, seed)), services: make(map[string]*service)}
}

// Offset returns a random index of a list of n elements, 0 for an empty one.
func (c *Controller) Offset(n int) int {
	if n < 2 {
		return 0
	}
	return c.rng.IntN(n)
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.services[name] = s
	}
	return s
}

// Begin counts a request to a service with the expected work, and reports whether Evaluate is due.
func (c *Controller) Begin(name string, work time.Duration, now time.Time) (isDue bool) {
	s := c.service(name)
	if s.work == 0 {
		s.work = float64(work)
	}
	s.work += sizeSampleWeight * (float64(work) - s.work)
	return now.Sub(s.evaluatedAt) >= evaluationInterval
}

// RecordSize records the size of the bodies of a request and its answer.
func (c *Controller) RecordSize(name string, bytes int) {
	s := c.service(name)
	if s.bytes == 0 {
		s.bytes = float64(bytes)
	}
	s.bytes += sizeSampleWeight * (float64(bytes) - s.bytes)
}

// IsActive reports whether the share determines how many requests leave.
func (c *Controller) IsActive(name string) bool { return c.service(name).isActive }

// Shares returns the shares of the services whose control is active.
func (c *Controller) Shares() map[string]float64 {
	all := make(map[string]float64)
	for name, s := range c.services {
		if s.isActive {
			all[name] = s.share
		}
	}
	return all
}

// Retain removes the state of the services for which keep returns false.
func (c *Controller) Retain(keep func(name string) bool) {
	for name := range c.services {
		if !keep(name) {
			delete(c.services, name)
		}
	}
}

// Evaluate updates the share of a service. replicas are those that may be used now, without those that are avoided after a
// failure, draining or without a free connection.
func (c *Controller) Evaluate(name string, replicas []Replica, now time.Time) {
	s := c.service(name)
	if now.Sub(s.evaluatedAt) >= MaxReportAge {
		s.groups = nil
		s.end()
	}
	s.evaluatedAt = now
	s.updateGroups(replicas)
	if s.asked > 0 {
		s.leftFraction += sampleWeight * (float64(s.left)/float64(s.asked) - s.leftFraction)
		s.left, s.asked = 0, 0
	}
	near, best := s.compare(c.price(s))
	if near == nil || best == nil {
		s.evaluationsWithGain = 0
		if now.Sub(s.knownAt) >= MaxReportAge {
			s.end()
		}
		return
	}
	s.knownAt = now
	relative := best.gain / (near.completion * s.work)
	if relative > 0 && best.gain < float64(minGain) {
		relative = 0
	}
	s.meanGain += gainWeight * (max(-1, relative) - s.meanGain)
	if s.isActive || s.tryBegin(near, relative) {
		s.moveShare(near, best, relative)
	}
}

// tryBegin starts the control if the near replicas are crowded and leaving has saved enough for some evaluations, and reports
// whether it did. relative is the fraction of the near completion time that leaving saves.
func (s *service) tryBegin(near *group, relative float64) bool {
	if s.meanGain < beginGain || relative < enterGain || near.utilisation < targetUtilisation {
		s.evaluationsWithGain = 0
		return false
	}
	if s.evaluationsWithGain++; s.evaluationsWithGain < beginEvaluations {
		return false
	}
	// The share starts at the fraction that the comparison of single replicas sends away.
	s.isActive, s.share, s.credit = true, min(maxShare, s.leftFraction), 0
	return true
}

// moveShare moves the share by a step towards the one at which the near replicas have the target utilisation, or ends the control.
// relative is the fraction of the near completion time that leaving saves.
func (s *service) moveShare(near, best *group, relative float64) {
	hasRoom := near.utilisation < targetUtilisation
	toTarget := s.distanceToTarget(near)
	switch {
	case hasRoom && relative < enterGain:
		s.share += max(-maxStep, followFraction*toTarget)
	case hasRoom:
		// The near replicas are slow and not busy.
		s.share += min(maxStep, followFraction*relative)
	case relative < -exitGain:
		s.share -= min(maxStep, followFraction*-relative*s.share)
	case relative >= exitGain && best.utilisation < 1:
		s.share += min(maxStep, followFraction*toTarget)
	}
	s.share = min(maxShare, s.share)
	if s.share < minShare && hasRoom {
		s.end()
	}
}

// distanceToTarget returns by how much the share should grow for the near replicas to reach the target utilisation. While they have room,
// their utilisation is proportional to the share that stays. A queue is to be worked off within drainTime.
func (s *service) distanceToTarget(near *group) float64 {
	waiting := max(0, near.utilisation-1)
	target := targetUtilisation - min(maxDrain, waiting*s.work/float64(drainTime))
	return (1 - s.share) * (1 - target/max(0.01, min(1, near.utilisation)))
}

// end ends the control: the comparison of single replicas decides again.
func (s *service) end() {
	s.isActive, s.share, s.credit, s.evaluationsWithGain, s.meanGain = false, 0, 0, 0, 0
}

// price returns the time in nanoseconds that a request must save.
func (c *Controller) price(s *service) float64 {
	return float64(c.settings.PricePerKiB) / 1024 * s.bytes
}

// sums adds up what is known of the replicas of one data centre, with the weights of the reports.
type sums struct {
	name                       string
	isNear                     bool
	replicas                   int
	link                       time.Duration
	weight, load, slots, speed float64
}

// sumsOf returns the sums of each data centre, in the order of the replicas.
func sumsOf(replicas []Replica) []*sums {
	var all []*sums
	for _, r := range replicas {
		i := slices.IndexFunc(all, func(c *sums) bool { return c.name == r.DataCentre && c.isNear == r.IsNear })
		if i < 0 {
			i, all = len(all), append(all, &sums{name: r.DataCentre, isNear: r.IsNear})
		}
		c, w := all[i], r.weight()
		c.replicas++
		c.link += r.Link
		c.weight += w
		c.load += w * r.load()
		c.slots += w * r.slots()
		c.speed += w * r.speed()
	}
	return all
}

// updateGroups updates the moving averages of all data centres.
func (s *service) updateGroups(replicas []Replica) {
	current := sumsOf(replicas)
	for _, g := range s.groups {
		if !slices.ContainsFunc(current, func(c *sums) bool { return c.name == g.name && c.isNear == g.isNear }) {
			g.replicas, g.isKnown = 0, false
		}
	}
	for _, c := range current {
		g := s.group(c.name, c.isNear)
		wasKnown := g.isKnown
		g.replicas, g.link = c.replicas, c.link/time.Duration(c.replicas)
		if g.isKnown = c.weight >= minReportWeight; !g.isKnown {
			continue
		}
		weight := sampleWeight
		if !wasKnown {
			weight = 1
		}
		// The balancer evens out the queues of a data centre, so they count together: leaving does not help against a queue at
		// one replica while others are free.
		perReplica := float64(c.replicas) / c.weight
		completion := c.speed / c.weight * (1 + queue(c.load*perReplica, c.slots*perReplica))
		g.completion += weight * (completion - g.completion)
		g.utilisation += weight * (c.load/c.slots - g.utilisation)
	}
}

func (s *service) group(name string, isNear bool) *group {
	for _, g := range s.groups {
		if g.name == name && g.isNear == isNear {
			return g
		}
	}
	g := &group{name: name, isNear: isNear}
	s.groups = append(s.groups, g)
	return g
}

// compare sets the gain of each far data centre for the price of a request, and returns the near data centre and the far one with the
// largest gain. They are nil if not known.
func (s *service) compare(price float64) (near, best *group) {
	for _, g := range s.groups {
		if g.isNear && g.isKnown {
			near = g
		}
	}
	for _, g := range s.groups {
		g.gain = math.Inf(-1)
		if g.isNear || !g.isKnown || near == nil {
			continue
		}
		g.gain = (near.completion-g.completion)*s.work - float64(g.link) - price
		if best == nil || g.gain > best.gain {
			best = g
		}
	}
	return near, best
}

// Decide decides on a first attempt for which both near and far replicas may be used, given the lowest cost of each in
// nanoseconds. dataCentre is set for Leave. While the control is active, it follows the comparison of the costs, with the price,
// unless the number of requests that have left differs from the share by more than maxCredit.
func (c *Controller) Decide(name string, near, far float64) (choice Choice, dataCentre string) {
	s := c.service(name)
	isFarCheaper := far < near
	leaves := isFarCheaper && near-far >= c.price(s)
	s.asked++
	if leaves {
		s.left++
	}
	if !s.isActive {
		if isFarCheaper && !leaves {
			return Stay, ""
		}
		return AsCompared, ""
	}
	s.credit = min(maxCredit+1, s.credit+s.share)
	// Too few requests have left if isShort, too many if isOver.
	isShort, isOver := s.credit >= maxCredit, s.credit < 1-maxCredit
	switch {
	case leaves && isOver && near < maxHoldRatio*far, isFarCheaper && !leaves && !isShort:
		return Stay, ""
	case leaves && isOver:
		// Staying near would cost too much. The share follows in later evaluations.
		return AsCompared, ""
	case !leaves && !isShort:
		return AsCompared, ""
	}
	if dataCentre = s.pickDataCentre(c.rng.Float64()); dataCentre == "" {
		return AsCompared, ""
	}
	s.credit--
	return Leave, dataCentre
}

// pickDataCentre returns a far data centre that saves almost as much as the best one, with a probability in proportion to its
// replicas, so that daemons that decide alone don't all choose the same one. It is empty if none is known.
func (s *service) pickDataCentre(random float64) string {
	near, best := 0.0, math.Inf(-1)
	for _, g := range s.groups {
		switch {
		case g.isNear:
			near = g.completion * s.work
		case g.isKnown:
			best = max(best, g.gain)
		}
	}
	least := best - max(similarGain*near, float64(minGain))
	sum := 0.0
	for _, g := range s.groups {
		sum += g.attraction(least)
	}
	random *= sum
	for _, g := range s.groups {
		if random -= g.attraction(least); random < 0 {
			return g.name
		}
	}
	return ""
}

// attraction returns the weight of a far data centre in the choice, which falls to 0 at the least gain.
func (g *group) attraction(least float64) float64 {
	if g.isNear || !g.isKnown {
		return 0
	}
	return max(0, g.gain-least) * float64(g.replicas)
}
