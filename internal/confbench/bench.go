package confbench

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/chivemill/chivemill/confsync"
)

// Scenario describes one simulated fleet and its rate of configuration changes.
type Scenario struct {
	Nodes, DataCentres, Regions int
	// Profiles is the number of keys, ValueBytes the size of one value.
	Profiles, ValueBytes int
	// ChangesPerDay is the rate of changes. The run commits as many as fall into Duration, and at least MinChanges.
	ChangesPerDay, MinChanges int
	Duration                  time.Duration
	GossipRound               time.Duration
	Seed                      uint64
	NoParentCompare           bool
	// Size returns the size of a message on the wire in bytes.
	Size func(message any) int
}

// Results holds the results of one measurement.
type Results struct {
	Nodes int
	// BytesPerSecond and MessagesPerSecond are the means that a node sends, MaxBytesPerSecond the rate of the node that
	// sends most.
	BytesPerSecond, MaxBytesPerSecond float64
	MessagesPerSecond                 float64
	// CPUPerNodeSecond is the wall-clock time of the run on one core per node and second of virtual time, including the
	// simulation.
	CPUPerNodeSecond time.Duration
	// HeapPerNode is the live heap per node in bytes, including the simulation.
	HeapPerNode float64
	// RolloutMedian and RolloutMax are the times from a commit until the last node applied it.
	RolloutMedian, RolloutMax time.Duration
	// MaxConfirmationAge is the highest age of a node's last confirmation, sampled once per second at all nodes.
	MaxConfirmationAge time.Duration
	// OpenWatches is the number of open watches, StoreCallsPerSecond the rate of calls to the store after the startup.
	OpenWatches         int
	StoreCallsPerSecond float64
	Changes             int
}

// startupTime is the time before the measurement within which all nodes must become ready.
const startupTime = 15 * time.Second

// Measure runs a scenario. It uses one core.
func Measure(s Scenario) (Results, error) {
	m := &measurement{scenario: s, pendingNodes: make(map[int64]int), committedAt: make(map[int64]time.Time)}
	before := liveHeap()
	m.net = NewNetwork(Options{
		Nodes: s.Nodes, DataCentres: s.DataCentres, Regions: s.Regions, Seed: s.Seed, GossipRound: s.GossipRound,
		Size: s.Size, OnChange: m.recordApplied, NoParentCompare: s.NoParentCompare,
	})
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	for i := range s.Profiles {
		m.net.Store.Put(m.key(i), m.value(rng))
	}
	m.net.Advance(startupTime)
	for _, h := range m.net.Hosts {
		if !h.Node.Status(m.net.Now()).Ready {
			return Results{}, fmt.Errorf("node %d is not ready after %s", h.Index, startupTime)
		}
		h.Sent = Traffic{}
	}
	calls := m.net.Store.Calls
	start := time.Now()
	changes := m.commitChanges(rng)
	cpu := time.Since(start)
	f := m.results(cpu, calls, changes)
	f.HeapPerNode = float64(liveHeap()-before) / float64(s.Nodes)
	runtime.KeepAlive(m)
	if len(m.pendingNodes) > 0 {
		return f, fmt.Errorf("%d changes were not applied by all nodes within %s after the last commit",
			len(m.pendingNodes), confsync.StaleAfter)
	}
	return f, nil
}

type measurement struct {
	scenario           Scenario
	net                *Network
	pendingNodes       map[int64]int
	committedAt        map[int64]time.Time
	rolloutTimes       []time.Duration
	maxConfirmationAge time.Duration
}

func (m *measurement) key(i int) string { return fmt.Sprintf("%sprofiles/profile-%04d", Prefix, i) }

func (m *measurement) value(rng *rand.Rand) []byte {
	v := make([]byte, m.scenario.ValueBytes)
	for i := range v {
		v[i] = byte('a' + rng.IntN(26))
	}
	return v
}

// recordApplied counts a node that applied a change, and records the rollout time after the last one.
func (m *measurement) recordApplied(_ int, item confsync.Item) {
	left, ok := m.pendingNodes[item.Revision]
	if !ok {
		return
	}
	m.pendingNodes[item.Revision] = left - 1
	if left == 1 {
		delete(m.pendingNodes, item.Revision)
		m.rolloutTimes = append(m.rolloutTimes, m.net.Now().Sub(m.committedAt[item.Revision]))
	}
}

// commitChanges commits changes to different keys at regular intervals, so that no change replaces one that is still
// being distributed. It returns the number of changes.
func (m *measurement) commitChanges(rng *rand.Rand) int {
	changes := max(m.scenario.MinChanges, int(m.scenario.Duration.Hours()/24*float64(m.scenario.ChangesPerDay)))
	for i := range changes {
		revision := m.net.Store.Put(m.key(i%m.scenario.Profiles), m.value(rng))
		m.pendingNodes[revision] = m.scenario.Nodes
		m.committedAt[revision] = m.net.Now()
		m.advance(m.scenario.Duration / time.Duration(changes))
	}
	m.advance(confsync.StaleAfter)
	return changes
}

// advance runs the network for the given time and samples the confirmation ages.
func (m *measurement) advance(d time.Duration) {
	for end := m.net.Now().Add(d); m.net.Now().Before(end); {
		m.net.Advance(min(time.Second, end.Sub(m.net.Now())))
		for _, h := range m.net.Hosts {
			m.maxConfirmationAge = max(m.maxConfirmationAge, h.Node.Status(m.net.Now()).ConfirmationAge)
		}
	}
}

func (m *measurement) results(cpu time.Duration, before Calls, changes int) Results {
	seconds := (m.scenario.Duration + confsync.StaleAfter).Seconds()
	after := m.net.Store.Calls
	calls := after.Lists + after.Verifies + after.Watches - before.Lists - before.Verifies - before.Watches
	r := Results{
		Nodes: m.scenario.Nodes, Changes: changes, MaxConfirmationAge: m.maxConfirmationAge, OpenWatches: after.OpenWatches,
		StoreCallsPerSecond: float64(calls) / seconds,
		CPUPerNodeSecond:    time.Duration(float64(cpu) / seconds / float64(m.scenario.Nodes)),
	}
	for _, h := range m.net.Hosts {
		r.BytesPerSecond += float64(h.Sent.Bytes) / seconds / float64(m.scenario.Nodes)
		r.MessagesPerSecond += float64(h.Sent.Messages) / seconds / float64(m.scenario.Nodes)
		r.MaxBytesPerSecond = max(r.MaxBytesPerSecond, float64(h.Sent.Bytes)/seconds)
	}
	slices.Sort(m.rolloutTimes)
	if n := len(m.rolloutTimes); n > 0 {
		r.RolloutMedian = m.rolloutTimes[n/2]
		r.RolloutMax = m.rolloutTimes[n-1]
	}
	return r
}

func liveHeap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
