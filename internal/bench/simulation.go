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

// retransmissionDelay is the extra delay of a message that is sent again after a packet loss.
const retransmissionDelay = 200 * time.Millisecond

// warmupPeriod is the time before the first counted query, in which daemons learn latencies and open connections.
const warmupPeriod = time.Second

// Source is a stream of queries with random (Poisson) arrivals.
type Source struct {
	Service string
	Profile string
	// Load is the offered load as a fraction of the service's slots.
	Load float64
	// Shards restricts the queries to the first shards; 0 means all shards.
	Shards int
	// WorkFactor multiplies the service time; 0 means 1.
	WorkFactor float64
}

// Case describes one workload and the faults that are injected into it.
type Case struct {
	Name     string
	Duration time.Duration
	Sources  func(Deployment) []Source
	// Prepare injects faults and schedules events before the run starts.
	Prepare func(*simulation)
	// Loss is the fraction of the messages between data centres that arrive retransmissionDelay late.
	Loss float64
	// CallerRetries is the number of times that a caller resends a query that was refused or answered with too little
	// coverage.
	CallerRetries int
}

// simulation holds the state of one run. It is not safe for concurrent use. Routing, faults and the network have random
// sources of their own, so that a change to one of them leaves the draws of the others as they are.
type simulation struct {
	engine
	deployment    Deployment
	strategy      Strategy
	routingRand   *rand.Rand
	faultRand     *rand.Rand
	networkRand   *rand.Rand
	servers       []*server
	byID          map[string]*server
	daemons       []*daemon
	stats         *stats
	loss          float64
	callerRetries int
	// slowDataCentre is the index of the data centre whose links take slowLinkDelay longer; -1 means none.
	slowDataCentre int
	slowLinkDelay  time.Duration
	end            time.Duration
}

func newSimulation(deployment Deployment, c Case, strategy Strategy, seed uint64) *simulation {
	sim := &simulation{
		deployment: deployment, strategy: strategy, stats: newStats(), byID: make(map[string]*server),
		slowDataCentre: -1,
		routingRand:    rand.New(rand.NewPCG(seed, 1)), faultRand: rand.New(rand.NewPCG(seed, 2)),
		networkRand: rand.New(rand.NewPCG(seed, 3)),
		loss:        c.Loss, callerRetries: c.CallerRetries, end: warmupPeriod + c.Duration,
	}
	for i := range deployment.Services {
		sim.addServers(&deployment.Services[i], seed)
	}
	for i, dataCentre := range deployment.Daemons {
		sim.addDaemon(i, dataCentre, seed)
	}
	return sim
}

func (sim *simulation) addServers(svc *Service, seed uint64) {
	for shard, s := range svc.shardMap().Shards {
		for dataCentre := range replicasPerShard {
			n := uint64(len(sim.servers))
			srv := &server{
				sim: sim, id: fmt.Sprintf("%s-%02d-%d", svc.Name, shard, dataCentre), service: svc.Name, dataCentre: dataCentre,
				slots: svc.Slots, connectionLimit: svc.MaxConnections, incarnation: 1, slowdown: 1,
				holding: snapshot.Holding{Version: benchVersion, Shard: s.ID},
				rng:     rand.New(rand.NewPCG(seed, 1000+n)),
			}
			sim.servers = append(sim.servers, srv)
			sim.byID[srv.id] = srv
		}
	}
}

var benchVersion = snapshot.Version{Index: 1, Map: 1}

func (sim *simulation) addDaemon(index, dataCentre int, seed uint64) {
	d := &daemon{
		sim: sim, index: index, dataCentre: dataCentre, registry: replica.NewRegistry(seed*31 + uint64(index)),
		pools: make(map[string]*pool), services: make(map[string]*serviceState),
		rng: rand.New(rand.NewPCG(seed, 100+uint64(index))),
	}
	policy := sim.strategy.ReplicaPolicy
	if sim.strategy.Dominant {
		d.dominantPlacer = newDominantPlacer(sim.deployment)
		policy.CostFunc = d.dominantPlacer.cost
	}
	d.registry.SetPolicy(policy)
	d.registry.SetClock(sim.time)
	d.registry.SetLinkDelay(func(name string) time.Duration { return sim.statedLinkDelay(dataCentre, name) })
	var vms []vmlist.VM
	for _, s := range sim.servers {
		vms = append(vms, vmlist.VM{
			ID: s.id, Role: vmlist.RoleBackend, Service: s.service, DataCentre: sim.deployment.DataCentres[s.dataCentre],
			Address: s.id, State: vmlist.StateLive,
		})
		d.pools[s.id] = &pool{}
	}
	d.registry.SetVMList(vms)
	for _, s := range sim.servers {
		if sim.strategy.ConnectionShares {
			// The daemon's index, rotated per replica, replaces the rank of rendezvous hashing. The shares of all daemons
			// add up to exactly the replica's limit.
			rank := (index + len(s.id)*7 + int(s.id[len(s.id)-3])) % len(sim.deployment.Daemons)
			share := (s.connectionLimit - rank + len(sim.deployment.Daemons) - 1) / len(sim.deployment.Daemons)
			d.pools[s.id].share = share
			d.registry.SetConnectionShare(s.id, share)
		}
		d.registry.SetLoad(s.id, s.loadReport(), sim.time())
	}
	for i := range sim.deployment.Services {
		svc := &sim.deployment.Services[i]
		d.services[svc.Name] = newServiceState(svc, sim.strategy)
	}
	sim.daemons = append(sim.daemons, d)
	sim.after(time.Duration(d.rng.Int64N(int64(pollInterval))), d.poll)
}

func newServiceState(svc *Service, strategy Strategy) *serviceState {
	p := svc.Profile
	st := &serviceState{
		service: svc, latency: hedge.NewLatencyHistogram(), budgets: make(map[string]*hedge.Budget),
		admission: limit.NewAdmission(initialAdmissionLimit, maxAdmissionLimit),
		plan: scatter.Plan{
			Service: svc.Name, Version: benchVersion, ShardMap: svc.shardMap(), MaxAttempts: p.MaxAttempts,
			WaitForReplicas: p.WaitForReplicas && strategy.WaitForReplicas, MinPartialCoverage: p.RequiredCoverage,
			Hedges: unlimited{}, Retries: unlimited{},
		},
	}
	if strategy.PartialAnswers {
		st.plan.PartialAfter = p.PartialAfter
	}
	if strategy.MaxAttempts > 0 {
		st.plan.MaxAttempts = strategy.MaxAttempts
	}
	return st
}

// unlimited is a budget that permits every hedge and retry.
type unlimited struct{}

// Withdraw implements scatter.Budget.
func (unlimited) Withdraw() bool { return true }

// statedLinkDelay returns the one-way delay that a daemon's settings state.
func (sim *simulation) statedLinkDelay(dataCentre int, name string) time.Duration {
	if sim.deployment.DataCentres[dataCentre] == name {
		return sim.deployment.LocalDelay
	}
	return sim.deployment.LinkDelay
}

// messageDelay returns the delay of one message between two data centres, including jitter, faults and packet loss.
func (sim *simulation) messageDelay(from, to int) time.Duration {
	jitter := time.Duration(sim.networkRand.ExpFloat64() * float64(100*time.Microsecond))
	if from == to {
		return sim.deployment.LocalDelay + jitter
	}
	d := sim.deployment.LinkDelay + jitter
	if sim.slowDataCentre == from || sim.slowDataCentre == to {
		d += sim.slowLinkDelay
	}
	if sim.loss > 0 && sim.networkRand.Float64() < sim.loss {
		d += retransmissionDelay
	}
	return d
}

func (sim *simulation) serviceByName(name string) *Service {
	for i := range sim.deployment.Services {
		if sim.deployment.Services[i].Name == name {
			return &sim.deployment.Services[i]
		}
	}
	panic("bench: the deployment has no service " + name)
}

// scheduleArrivals schedules the arrivals of a source.
func (sim *simulation) scheduleArrivals(src Source, seed uint64) {
	svc := sim.serviceByName(src.Service)
	workFactor := src.WorkFactor
	if workFactor == 0 {
		workFactor = 1
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	interval := float64(time.Second) / (svc.capacity() * src.Load)
	var next func()
	next = func() {
		sim.dispatch(&query{sim: sim, service: svc, profile: src.Profile, workFactor: workFactor, shards: src.Shards})
		sim.after(time.Duration(rng.ExpFloat64()*interval), next)
	}
	sim.after(time.Duration(rng.ExpFloat64()*interval), next)
}

// dispatch passes a query to a random daemon, as the load balancer does.
func (sim *simulation) dispatch(q *query) {
	q.arrived = sim.now
	q.deadline = sim.now + q.service.Profile.Deadline
	sim.stats.countOffered(q)
	sim.daemons[sim.routingRand.IntN(len(sim.daemons))].admit(q)
}

// Run simulates one case with one seed and returns its measurements.
func Run(deployment Deployment, c Case, strategy Strategy, seed uint64) Result {
	sim := newSimulation(deployment, c, strategy, seed)
	if c.Prepare != nil {
		c.Prepare(sim)
	}
	for i, src := range c.Sources(deployment) {
		sim.scheduleArrivals(src, seed*1000+uint64(i))
	}
	sim.engine.run(sim.end)
	return sim.stats.result(sim)
}
