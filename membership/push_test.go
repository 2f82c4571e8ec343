package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/membership"
)

// TestBroadcastUrgentReachesSmallFleetImmediately guards against an urgent payload that waits for the next tick. In a
// fleet of 7, every member receives it in one exchange of packets without a tick.
func TestBroadcastUrgentReachesSmallFleetImmediately(t *testing.T) {
	const fleet = 7
	now := time.Unix(1000, 0)
	nodes := make(map[string]*membership.Node)
	delivered := make(map[string]int)
	seeds := make([]membership.Seed, fleet)
	for i := range fleet {
		seeds[i] = membership.Seed{ID: fmt.Sprintf("n%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
	}
	for i, seed := range seeds {
		nodes[seed.Address] = membership.NewNode(membership.Config{
			Self: membership.Member{ID: seed.ID, Address: seed.Address, DataCentre: "dc", Region: "r"},
			Rand: rand.New(rand.NewPCG(1, uint64(i))),
			Deliver: func([]byte) (string, bool) {
				delivered[seed.ID]++
				return "key", delivered[seed.ID] == 1
			},
		})
		nodes[seed.Address].SetSeeds(seeds)
	}
	var exchange func(from string, packets []membership.Packet)
	exchange = func(from string, packets []membership.Packet) {
		for _, p := range packets {
			exchange(p.To, nodes[p.To].Receive(now, from, p.Data))
		}
	}
	for range 100 {
		now = now.Add(membership.TickInterval)
		for _, seed := range seeds {
			exchange(seed.Address, nodes[seed.Address].Tick(now))
		}
	}
	first := nodes[seeds[0].Address]
	must.Eq(t, fleet, first.NumLive())
	exchange(seeds[0].Address, first.BroadcastUrgent("key", []byte("payload")))
	must.MapLen(t, fleet-1, delivered)
}
