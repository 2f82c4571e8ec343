package confbench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/chivemill/chivemill/confsync"
)

// Scenario describes one measurement.
type Scenario struct {
	Nodes, DataCentres, Regions int
	// Profiles is the number of keys, ValueBytes the size of one value.
	Profiles, ValueBytes int
	// ChangesPerDay is the rate of changes; the run has as many as fall into Duration, and at least MinChanges.
	ChangesPerDay, MinChanges int
	Duration                  time.Duration
	GossipRound               time.Duration
	Seed                      uint64
	NoParentCompare           bool
	// Size returns the size of a message on the wire in bytes.
	Size func(message any) int
}

// Figures are the results of one measurement.
type Figures struct {
	Nodes int
	// BytesPerSecond and MessagesPerSecond are sent per node, as the mean and for the busiest node.
	BytesPerSecond, BytesPerSecondMax float64
	MessagesPerSecond                 float64
	// CPUPerNodeSecond is the time of one core per node and second, including the simulation itself.
	CPUPerNodeSecond time.Duration
	// HeapPerNode is the live heap per node in bytes, including the simulation itself.
	HeapPerNode float64
	// InForceMedian and InForceMax are the times from a commit until the last node applied it.
	InForceMedian, InForceMax time.Duration
	// AgeMax is the highest age of a confirmation, sampled once per second at all nodes.
	AgeMax time.Duration
	// Watches is the number of open watches, StoreCallsPerSecond the rate of other calls after the start.
	Watches             int
	StoreCallsPerSecond float64
	Changes             int
}

// settle is the time before the measurement in which the fleet starts.
const settle = 15 * time.Second

// Measure runs a scenario. It uses one core.
func Measure(s Scenario) (Figures, error) {
	m := &measurement{s: s, missing: make(map[int64]int), committed: make(map[int64]time.Time)}
	before := liveHeap()
	m.net = New(Options{
		Nodes: s.Nodes, DataCentres: s.DataCentres, Regions: s.Regions, Seed: s.Seed, GossipRound: s.GossipRound,
		Size: s.Size, OnChange: m.applied, NoParentCompare: s.NoParentCompare,
	})
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	for i := range s.Profiles {
		m.net.Store.Put(m.key(i), m.value(rng))
	}
	m.net.Run(settle)
	for _, h := range m.net.Hosts {
		if !h.Node.Status(m.net.Now()).Ready {
			return Figures{}, fmt.Errorf("node %d is not ready after %s", h.Index, settle)
		}
		h.Sent = Traffic{}
	}
	calls := m.net.Store.Calls
	start := time.Now()
	changes := m.run(rng)
	cpu := time.Since(start)
	f := m.figures(cpu, calls, changes)
	f.HeapPerNode = float64(liveHeap()-before) / float64(s.Nodes)
	runtime.KeepAlive(m)
	if len(m.missing) > 0 {
		return f, fmt.Errorf("%d changes are not in force everywhere %s after the last", len(m.missing), confsync.StaleAfter)
	}
	return f, nil
}

type measurement struct {
	s         Scenario
	net       *Network
	missing   map[int64]int
	committed map[int64]time.Time
	inForce   []time.Duration
	ageMax    time.Duration
}

func (m *measurement) key(i int) string { return fmt.Sprintf("%sprofiles/profile-%04d", Prefix, i) }

func (m *measurement) value(rng *rand.Rand) []byte {
	v := make([]byte, m.s.ValueBytes)
	for i := range v {
		v[i] = byte('a' + rng.IntN(26))
	}
	return v
}

// applied counts down the nodes that lack a change.
func (m *measurement) applied(_ int, item confsync.Item) {
	left, ok := m.missing[item.Revision]
	if !ok {
		return
	}
	m.missing[item.Revision] = left - 1
	if left == 1 {
		delete(m.missing, item.Revision)
		m.inForce = append(m.inForce, m.net.Now().Sub(m.committed[item.Revision]))
	}
}

// run commits changes at even distances to different keys, so that no change replaces one under way.
func (m *measurement) run(rng *rand.Rand) int {
	changes := max(m.s.MinChanges, int(m.s.Duration.Hours()/24*float64(m.s.ChangesPerDay)))
	for i := range changes {
		revision := m.net.Store.Put(m.key(i%m.s.Profiles), m.value(rng))
		m.missing[revision] = m.s.Nodes
		m.committed[revision] = m.net.Now()
		m.pass(m.s.Duration / time.Duration(changes))
	}
	m.pass(confsync.StaleAfter)
	return changes
}

// pass lets time pass and samples the ages.
func (m *measurement) pass(d time.Duration) {
	for end := m.net.Now().Add(d); m.net.Now().Before(end); {
		m.net.Run(min(time.Second, end.Sub(m.net.Now())))
		for _, h := range m.net.Hosts {
			m.ageMax = max(m.ageMax, h.Node.Status(m.net.Now()).ConfirmationAge)
		}
	}
}

func (m *measurement) figures(cpu time.Duration, before Calls, changes int) Figures {
	seconds := (m.s.Duration + confsync.StaleAfter).Seconds()
	after := m.net.Store.Calls
	calls := after.Lists + after.Verifies + after.Watches - before.Lists - before.Verifies - before.Watches
	f := Figures{
		Nodes: m.s.Nodes, Changes: changes, AgeMax: m.ageMax, Watches: after.Waiting,
		StoreCallsPerSecond: float64(calls) / seconds,
		CPUPerNodeSecond:    time.Duration(float64(cpu) / seconds / float64(m.s.Nodes)),
	}
	for _, h := range m.net.Hosts {
		f.BytesPerSecond += float64(h.Sent.Bytes) / seconds / float64(m.s.Nodes)
		f.MessagesPerSecond += float64(h.Sent.Messages) / seconds / float64(m.s.Nodes)
		f.BytesPerSecondMax = max(f.BytesPerSecondMax, float64(h.Sent.Bytes)/seconds)
	}
	slices.Sort(m.inForce)
	if n := len(m.inForce); n > 0 {
		f.InForceMedian = m.inForce[n/2]
		f.InForceMax = m.inForce[n-1]
	}
	return f
}

func liveHeap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
