// Package capacity runs the membership, signal and share code of whole fleets in one process, over an in-memory network
// with virtual time. It measures how traffic, CPU, memory and delays grow with the number of nodes.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivemill/chivemill/membership"
	"github.com/chivemill/chivemill/membership/membershiptest"
	"github.com/chivemill/chivemill/signal"
)

// Size and layout of the fleet that is planned for in two years.
const (
	// TargetNodes and TargetReplicas are the planned numbers of nodes and replicas in two years, the two-year size.
	TargetNodes    = 1400
	TargetReplicas = 8300

	dataCentres  = 8
	regions      = 2
	nodesPerRack = 40
)

// One-way delays and packet loss of the in-memory network. The delays are those of the larger current deployment.
const (
	localDelay      = 300 * time.Microsecond
	dataCentreDelay = 3500 * time.Microsecond
	regionDelay     = 12 * time.Millisecond
	maxJitter       = time.Millisecond
	localLoss       = 0.0001
	regionLoss      = 0.005
)

// location holds the data centre and the region of a node.
type location struct{ dataCentre, region int }

// Fleet is a set of nodes on one in-memory network. It is not safe for concurrent use.
type Fleet struct {
	net         *membershiptest.Network
	seed        uint64
	locations   map[string]location
	running     []string
	tables      map[string]*signal.Table
	crashes     map[string]*signal.CrashSet
	partitioned bool
	// endedStats sums the counters of processes that ended.
	endedStats membership.Stats
	startCount uint64
}

// NewFleet starts n nodes that know each other. Nodes that are started later join through their seeds.
func NewFleet(n int, seed uint64) *Fleet {
	f := &Fleet{seed: seed, locations: make(map[string]location), tables: make(map[string]*signal.Table),
		crashes: make(map[string]*signal.CrashSet)}
	f.net = membershiptest.NewNetwork(seed, f.deliveryDelays)
	var all []string
	for i := range n {
		addr := fmt.Sprintf("10.%d.%d.%d:7946", i%dataCentres, i/250, 1+i%250)
		f.locations[addr] = location{dataCentre: i % dataCentres, region: i % dataCentres * regions / dataCentres}
		all = append(all, addr)
	}
	known := make([]membership.Member, len(all))
	for i, addr := range all {
		known[i] = f.member(addr)
	}
	for _, addr := range all {
		f.start(addr, all, known)
	}
	return f
}

func (f *Fleet) member(addr string) membership.Member {
	p := f.locations[addr]
	return membership.Member{ID: nodeID(addr), Address: addr, Incarnation: 1, State: membership.Alive,
		DataCentre: fmt.Sprintf("centre-%d", p.dataCentre), Region: fmt.Sprintf("region-%d", p.region)}
}

func (f *Fleet) deliveryDelays(rng *rand.Rand, from, to string) []time.Duration {
	a, b := f.locations[from], f.locations[to]
	delay, loss := localDelay, localLoss
	switch {
	case a.region != b.region:
		if f.partitioned {
			return nil
		}
		delay, loss = regionDelay, regionLoss
	case a.dataCentre != b.dataCentre:
		delay = dataCentreDelay
	}
	if rng.Float64() < loss {
		return nil
	}
	return []time.Duration{delay + time.Duration(rng.Int64N(int64(maxJitter)))}
}

func nodeID(addr string) string { return "entry-" + addr[:len(addr)-len(":7946")] }

// start starts a new process at the address. Its seeds are the addresses in list, as from the platform's VM list.
func (f *Fleet) start(addr string, list []string, known []membership.Member) {
	f.stop(addr)
	f.startCount++
	table, crashes := signal.NewTable(), signal.NewCrashSet()
	cfg := membership.Config{
		Self:           f.member(addr),
		Rand:           rand.New(rand.NewPCG(f.seed, f.startCount)),
		InitialMembers: known,
		Deliver: func(payload []byte) (string, bool) {
			key, fresh, _ := signal.MergePayload(f.net.Now(), table, crashes, payload)
			return key, fresh
		},
	}
	node := membership.NewNode(cfg)
	seeds := make([]membership.Seed, len(list))
	for i, a := range list {
		seeds[i] = membership.Seed{ID: nodeID(a), Address: a}
	}
	node.SetSeeds(seeds)
	f.tables[addr], f.crashes[addr] = table, crashes
	f.net.Start(addr, node)
	f.running = append(f.running, addr)
}

// stop ends the process at the address without announcing it.
func (f *Fleet) stop(addr string) {
	if node := f.net.Node(addr); node != nil {
		f.endedStats = addStats(f.endedStats, node.Stats())
	}
	f.net.Stop(addr)
	f.running = slices.DeleteFunc(f.running, func(a string) bool { return a == addr })
}

// leave announces a planned leave and stops the process after the given time.
func (f *Fleet) leave(addr string, after time.Duration) {
	node := f.net.Node(addr)
	f.net.Send(addr, node.Leave(f.net.Now()))
	f.net.After(after, func() {
		if f.net.Node(addr) == node {
			f.stop(addr)
		}
	})
}

func (f *Fleet) node(addr string) *membership.Node { return f.net.Node(addr) }

// randomNode returns the address of a random running node.
func (f *Fleet) randomNode() string { return f.running[f.net.Rand().IntN(len(f.running))] }

// totalStats sums the counters of all processes, including those that ended.
func (f *Fleet) totalStats() membership.Stats {
	sum := f.endedStats
	for _, a := range f.running {
		sum = addStats(sum, f.node(a).Stats())
	}
	return sum
}

func addStats(a, b membership.Stats) membership.Stats {
	a.SentPackets += b.SentPackets
	a.SentBytes += b.SentBytes
	a.ReceivedPackets += b.ReceivedPackets
	a.ReceivedBytes += b.ReceivedBytes
	a.Suspicions += b.Suspicions
	a.Failures += b.Failures
	a.Refutations += b.Refutations
	a.OverLimit += b.OverLimit
	for i := range a.Invalid {
		a.Invalid[i] += b.Invalid[i]
	}
	return a
}
