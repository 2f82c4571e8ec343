package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chivemill/chivemill/membership"
	"github.com/chivemill/chivemill/membership/membershiptest"
)

const linkDelay = 4 * time.Millisecond

// fleet is a set of nodes on a simulated network.
type fleet struct {
	net     *membershiptest.Network
	seed    uint64
	running []string
	deliver func(address string, payload []byte) (string, bool)
}

func newFleet(seed uint64, link membershiptest.LinkFunc) *fleet {
	return &fleet{net: membershiptest.NewNetwork(seed, link), seed: seed}
}

func losslessLink(*rand.Rand, string, string) []time.Duration { return []time.Duration{linkDelay} }

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7946", i+1) }

func identifier(address string) string { return "vm-" + address }

// start starts a new node with incarnation 1 at the address.
func (f *fleet) start(addr string, list []string) *membership.Node {
	f.seed++
	cfg := membership.Config{
		Self: membership.Member{ID: identifier(addr), Address: addr, DataCentre: "dc-a", Region: "north"},
		Rand: rand.New(rand.NewPCG(f.seed, 7)),
	}
	if f.deliver != nil {
		cfg.Deliver = func(p []byte) (string, bool) { return f.deliver(addr, p) }
	}
	node := membership.NewNode(cfg)
	node.SetSeeds(seedsOf(list))
	f.net.Start(addr, node)
	f.running = append(withoutAddress(f.running, addr), addr)
	return node
}

// startAll starts n nodes with all addresses as seeds and waits until they have joined.
func (f *fleet) startAll(n int) {
	var list []string
	for i := range n {
		list = append(list, address(i))
	}
	for _, a := range list {
		f.start(a, list)
	}
	f.net.Advance(20 * time.Second)
}

func (f *fleet) stop(addr string) {
	f.net.Stop(addr)
	f.running = withoutAddress(f.running, addr)
}

func seedsOf(list []string) []membership.Seed {
	var seeds []membership.Seed
	for _, a := range list {
		seeds = append(seeds, membership.Seed{ID: identifier(a), Address: a})
	}
	return seeds
}

func withoutAddress(list []string, a string) []string {
	var kept []string
	for _, other := range list {
		if other != a {
			kept = append(kept, other)
		}
	}
	return kept
}

// firstDifference returns the first difference between a running node's live members and the wanted ones, or "".
func (f *fleet) firstDifference(want []string) string {
	for _, a := range f.running {
		live := make(map[string]bool)
		for _, m := range f.net.Node(a).Members() {
			if m.State.Live() {
				live[m.ID] = true
			}
		}
		for _, w := range want {
			if !live[identifier(w)] {
				return fmt.Sprintf("%s does not list %s", a, w)
			}
		}
		if len(live) != len(want) {
			return fmt.Sprintf("%s lists %d live members, want %d", a, len(live), len(want))
		}
	}
	return ""
}
