package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

// lossDelay is the extra delay of a message that is sent again after a packet loss.
const lossDelay = 200 * time.Millisecond

// warmUp is the time before the first counted query, in which latencies are learned and connections opened.
const warmUp = time.Second

// Source is a stream of queries with random (Poisson) arrivals.
type Source struct {
	Service string
	Profile string
	// Load is the offered load as a fraction of the service's slots.
	Load float64
	// Shards restricts the queries to the first shards; 0 asks all.
	Shards int
	// Work multiplies the service time; 0 means 1.
	Work float64
}

// Case is one situation to measure.
type Case struct {
	Name    string
	Length  time.Duration
	Sources func(Deployment) []Source
	// Prepare sets faults and schedules events.
	Prepare func(*world)
	// Loss is the fraction of the messages between data centres that arrive lossDelay late.
	Loss          float64
	CallerRetries int
}

// world is one run. It is used by one goroutine.
type world struct {
	engine
	dep           Deployment
	strategy      Strategy
	rng           *rand.Rand
	faults        *rand.Rand
	network       *rand.Rand
	servers       []*server
	byID          map[string]*server
	daemons       []*daemon
	stats         *stats
	loss          float64
	callerRetries int
	// slowDC is a data centre index whose links take slowBy longer; -1 means none.
	slowDC int
	slowBy time.Duration
	end    time.Duration
}

func newWorld(dep Deployment, c Case, strategy Strategy, seed uint64) *world {
	w := &world{
		dep: dep, strategy: strategy, stats: newStats(), byID: make(map[string]*server), slowDC: -1,
		rng: rand.New(rand.NewPCG(seed, 1)), faults: rand.New(rand.NewPCG(seed, 2)),
		network: rand.New(rand.NewPCG(seed, 3)),
		loss:    c.Loss, callerRetries: c.CallerRetries, end: warmUp + c.Length,
	}
	for i := range dep.Services {
		w.addServers(&dep.Services[i], seed)
	}
	for i, dc := range dep.Daemons {
		w.addDaemon(i, dc, seed)
	}
	return w
}

func (w *world) addServers(svc *Service, seed uint64) {
	for shard, s := range svc.shardMap().Shards {
		for dc := range replicasPerShard {
			n := uint64(len(w.servers))
			srv := &server{
				w: w, id: fmt.Sprintf("%s-%02d-%d", svc.Name, shard, dc), service: svc.Name, dc: dc,
				slots: svc.Slots, limit: svc.Connections, incarnation: 1, slow: 1,
				holding: snapshot.Availability{Version: benchVersion, Shard: s.ID},
				rng:     rand.New(rand.NewPCG(seed, 1000+n)),
			}
			w.servers = append(w.servers, srv)
			w.byID[srv.id] = srv
		}
	}
}

var benchVersion = snapshot.Version{Index: 1, Map: 1}

func (w *world) addDaemon(index, dc int, seed uint64) {
	d := &daemon{
		w: w, index: index, dc: dc, registry: replica.NewRegistry(seed*31 + uint64(index)),
		pools: make(map[string]*pool), state: make(map[string]*serviceState),
		rng: rand.New(rand.NewPCG(seed, 100+uint64(index))),
	}
	policy := w.strategy.Replica
	if w.strategy.Dominant {
		d.dominant = newDominantPlacer(w.dep)
		policy.CostFunc = d.dominant.cost
	}
	d.registry.SetPolicy(policy)
	d.registry.SetClock(w.time)
	d.registry.SetLinkDelay(func(name string) time.Duration { return w.link(dc, name) })
	var vms []vmlist.VM
	for _, s := range w.servers {
		vms = append(vms, vmlist.VM{
			ID: s.id, Role: vmlist.RoleBackend, Service: s.service, DataCentre: w.dep.DataCentres[s.dc],
			Address: s.id, State: vmlist.StateLive,
		})
		d.pools[s.id] = &pool{}
	}
	d.registry.SetVMList(vms)
	for _, s := range w.servers {
		if w.strategy.Shares {
			// Rank by index, rotated per replica, stands in for rendezvous hashing: the sum is exactly the limit.
			rank := (index + len(s.id)*7 + int(s.id[len(s.id)-3])) % len(w.dep.Daemons)
			share := (s.limit - rank + len(w.dep.Daemons) - 1) / len(w.dep.Daemons)
			d.pools[s.id].share = share
			d.registry.SetConnectionShare(s.id, share)
		}
		d.registry.SetLoad(s.id, s.load(), w.time())
	}
	for i := range w.dep.Services {
		svc := &w.dep.Services[i]
		d.state[svc.Name] = newServiceState(svc, w.strategy)
	}
	w.daemons = append(w.daemons, d)
	w.after(time.Duration(d.rng.Int64N(int64(pollEvery))), d.poll)
}

func newServiceState(svc *Service, strategy Strategy) *serviceState {
	p := svc.Profile
	st := &serviceState{
		service: svc, latency: hedge.NewLatencyHistogram(), budgets: make(map[string]*hedge.Budget),
		admission: limit.NewAdmission(admissionStart, admissionCeiling),
		plan: scatter.Plan{
			Service: svc.Name, Version: benchVersion, ShardMap: svc.shardMap(), MaxAttempts: p.MaxAttempts,
			WaitForReplicas: p.Wait && strategy.Wait, MinPartialCoverage: p.LeastCoverage, Hedges: unlimited{}, Retries: unlimited{},
		},
	}
	if strategy.Partial {
		st.plan.PartialAfter = p.PartialAfter
	}
	if strategy.Attempts > 0 {
		st.plan.MaxAttempts = strategy.Attempts
	}
	return st
}

type unlimited struct{}

// Withdraw implements scatter.Budget.
func (unlimited) Withdraw() bool { return true }

// link returns the one-way delay that a daemon's settings state.
func (w *world) link(dc int, name string) time.Duration {
	if w.dep.DataCentres[dc] == name {
		return w.dep.LocalDelay
	}
	return w.dep.LinkDelay
}

// delay returns the delay of one message between two data centres.
func (w *world) delay(from, to int) time.Duration {
	jitter := time.Duration(w.network.ExpFloat64() * float64(100*time.Microsecond))
	if from == to {
		return w.dep.LocalDelay + jitter
	}
	d := w.dep.LinkDelay + jitter
	if w.slowDC == from || w.slowDC == to {
		d += w.slowBy
	}
	if w.loss > 0 && w.network.Float64() < w.loss {
		d += lossDelay
	}
	return d
}

func (w *world) serviceByName(name string) *Service {
	for i := range w.dep.Services {
		if w.dep.Services[i].Name == name {
			return &w.dep.Services[i]
		}
	}
	panic("bench: no service " + name)
}

// feed schedules the arrivals of a source.
func (w *world) feed(src Source, seed uint64) {
	svc := w.serviceByName(src.Service)
	work := src.Work
	if work == 0 {
		work = 1
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	interval := float64(time.Second) / (svc.capacity() * src.Load)
	var next func()
	next = func() {
		w.offer(&query{w: w, service: svc, profile: src.Profile, work: work, shards: src.Shards})
		w.after(time.Duration(rng.ExpFloat64()*interval), next)
	}
	w.after(time.Duration(rng.ExpFloat64()*interval), next)
}

// offer passes a query to a random daemon, as the load balancer does.
func (w *world) offer(q *query) {
	q.arrived = w.now
	q.deadline = w.now + q.service.Profile.Deadline
	w.stats.offer(q)
	w.daemons[w.rng.IntN(len(w.daemons))].admit(q)
}

// Run measures one case with one seed.
func Run(dep Deployment, c Case, strategy Strategy, seed uint64) Result {
	w := newWorld(dep, c, strategy, seed)
	if c.Prepare != nil {
		c.Prepare(w)
	}
	for i, src := range c.Sources(dep) {
		w.feed(src, seed*1000+uint64(i))
	}
	w.engine.run(w.end)
	return w.stats.result(w)
}
