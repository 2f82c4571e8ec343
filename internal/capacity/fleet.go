// Package capacity measures the real membership, signal and share code of whole fleets in one process, over an
// in-memory network with virtual time. It shows how traffic, CPU, memory and delays grow with the number of nodes.
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

// Shape of the fleet at the two-year size.
const (
	// TargetNodes and TargetReplicas are the two-year size.
	TargetNodes    = 1400
	TargetReplicas = 8300

	dataCentres = 8
	regions     = 2
	rackNodes   = 40
)

// One-way delays and loss of the in-memory network. The delays are those of the larger deployment today.
const (
	delayLocal   = 300 * time.Microsecond
	delayCentres = 3500 * time.Microsecond
	delayRegions = 12 * time.Millisecond
	jitter       = time.Millisecond
	lossLocal    = 0.0001
	lossRegions  = 0.005
)

// place is where a node runs.
type place struct{ centre, region int }

// Fleet is a number of nodes on one in-memory network. It is not safe for concurrent use.
type Fleet struct {
	net     *membershiptest.Network
	seed    uint64
	places  map[string]place
	running []string
	tables  map[string]*signal.Table
	crashes map[string]*signal.CrashSet
	cut     bool
	// ended sums the counters of processes that ended.
	ended  membership.Stats
	starts uint64
}

// NewFleet returns n started nodes that know each other. Nodes that are started later join through their seeds.
func NewFleet(n int, seed uint64) *Fleet {
	f := &Fleet{seed: seed, places: make(map[string]place), tables: make(map[string]*signal.Table),
		crashes: make(map[string]*signal.CrashSet)}
	f.net = membershiptest.NewNetwork(seed, f.link)
	var all []string
	for i := range n {
		addr := fmt.Sprintf("10.%d.%d.%d:7946", i%dataCentres, i/250, 1+i%250)
		f.places[addr] = place{centre: i % dataCentres, region: i % dataCentres * regions / dataCentres}
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
	p := f.places[addr]
	return membership.Member{ID: identifier(addr), Address: addr, Incarnation: 1, State: membership.Alive,
		DataCentre: fmt.Sprintf("centre-%d", p.centre), Region: fmt.Sprintf("region-%d", p.region)}
}

func (f *Fleet) link(rng *rand.Rand, from, to string) []time.Duration {
	a, b := f.places[from], f.places[to]
	delay, loss := delayLocal, lossLocal
	switch {
	case a.region != b.region:
		if f.cut {
			return nil
		}
		delay, loss = delayRegions, lossRegions
	case a.centre != b.centre:
		delay = delayCentres
	}
	if rng.Float64() < loss {
		return nil
	}
	return []time.Duration{delay + time.Duration(rng.Int64N(int64(jitter)))}
}

func identifier(addr string) string { return "entry-" + addr[:len(addr)-len(":7946")] }

// start runs a new process at the address. Its seeds are the addresses of the platform's list.
func (f *Fleet) start(addr string, list []string, known []membership.Member) {
	f.end(addr)
	f.starts++
	table, crashes := signal.NewTable(), signal.NewCrashSet()
	cfg := membership.Config{
		Self:           f.member(addr),
		Rand:           rand.New(rand.NewPCG(f.seed, f.starts)),
		InitialMembers: known,
		Deliver: func(payload []byte) (string, bool) {
			key, fresh, _ := signal.MergePayload(f.net.Now(), table, crashes, payload)
			return key, fresh
		},
	}
	node := membership.NewNode(cfg)
	seeds := make([]membership.Seed, len(list))
	for i, a := range list {
		seeds[i] = membership.Seed{ID: identifier(a), Address: a}
	}
	node.SetSeeds(seeds)
	f.tables[addr], f.crashes[addr] = table, crashes
	f.net.Start(addr, node)
	f.running = append(f.running, addr)
}

// end stops the process at the address without notice.
func (f *Fleet) end(addr string) {
	if node := f.net.Node(addr); node != nil {
		f.ended = add(f.ended, node.Stats())
	}
	f.net.Stop(addr)
	f.running = slices.DeleteFunc(f.running, func(a string) bool { return a == addr })
}

// leave announces a planned leave; the process ends after the given time.
func (f *Fleet) leave(addr string, after time.Duration) {
	node := f.net.Node(addr)
	f.net.Send(addr, node.Leave(f.net.Now()))
	f.net.After(after, func() {
		if f.net.Node(addr) == node {
			f.end(addr)
		}
	})
}

func (f *Fleet) node(addr string) *membership.Node { return f.net.Node(addr) }

// random returns a running address.
func (f *Fleet) random() string { return f.running[f.net.Rand().IntN(len(f.running))] }

// total sums the counters of all processes, ended ones included.
func (f *Fleet) total() membership.Stats {
	sum := f.ended
	for _, a := range f.running {
		sum = add(sum, f.node(a).Stats())
	}
	return sum
}

func add(a, b membership.Stats) membership.Stats {
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
