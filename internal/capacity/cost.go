package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/chivemill/chivemill/share"
	"github.com/chivemill/chivemill/signal"
)

// Cost holds the CPU time and memory of one node at one fleet size.
type Cost struct {
	Nodes int
	// QuietCPU and BusyCPU are the CPU usage of a node as a percentage of one core, without load and with each node
	// sending at its byte rate limit. They include the in-memory network and the garbage collector.
	QuietCPU, BusyCPU float64
	// QuietTraffic and BusyTraffic are the traffic during the two measurements.
	QuietTraffic, BusyTraffic Traffic
	// HeapPerNode is the live heap per node in bytes after a garbage collection.
	HeapPerNode float64
	// ComputeSharesTime is the CPU time to compute one daemon's connection shares of all replicas of the two-year size
	// from scratch, UpdateSharesTime that to update them after one member changed, and ComputeOwnersTime that to compute
	// the owners of one replica with 40 connections. The daemons that poll a replica are computed in the same way as the
	// shares.
	ComputeSharesTime, UpdateSharesTime, ComputeOwnersTime time.Duration
}

const (
	// warmupPeriod covers the time in which each node reads all pages of the member list after its start.
	warmupPeriod = 50 * time.Second
	quietPeriod  = 30 * time.Second
	busyPeriod   = 5 * time.Second
	// signalsPerBusyNode is the number of signals that each node raises to keep all nodes at their byte rate limit.
	signalsPerBusyNode = 60
)

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// MeasureCost measures CPU and memory. Nothing else may run in the process meanwhile, because both are read for the
// whole process.
func MeasureCost(n int, seed uint64) Cost {
	c := Cost{Nodes: n}
	before := liveHeap()
	f := NewFleet(n, seed)
	f.net.Advance(warmupPeriod)
	c.HeapPerNode = (liveHeap() - before) / float64(n)
	// Smaller fleets run longer, so that each measurement covers a similar number of node-seconds.
	span := max(busyPeriod, quietPeriod*350/time.Duration(n))
	c.QuietTraffic, c.QuietCPU = f.measureCPU(span)
	f.saturate()
	c.BusyTraffic, c.BusyCPU = f.measureCPU(busyPeriod)
	f.measureShareCost(&c)
	return c
}

func (f *Fleet) measureCPU(d time.Duration) (Traffic, float64) {
	begin := cpuTime()
	t := f.measureTraffic(d)
	cpu := cpuTime() - begin
	return t, 100 * cpu.Seconds() / (d.Seconds() * float64(len(f.running)))
}

// saturate gives each node enough payloads to send at its byte rate limit during the busy period.
func (f *Fleet) saturate() {
	for _, a := range f.running {
		for i := range signalsPerBusyNode {
			f.raiseSignal(a, fmt.Sprintf("%s-%d", nodeID(a), i), 1)
		}
	}
}

func (f *Fleet) measureShareCost(c *Cost) {
	ids := make([]string, len(f.running))
	for i, a := range f.running {
		ids[i] = nodeID(a)
	}
	replicas := make([]string, TargetReplicas)
	for i := range replicas {
		replicas[i] = fmt.Sprintf("replica-%04d", i)
	}
	set, table := share.NewSet(ids), share.NewTable(ids[0], replicas)
	table.SetMembers(ids)
	c.ComputeSharesTime = measureCPUTime(func() {
		for _, r := range replicas {
			set.Connections(targetConnections, r, ids[0])
		}
	})
	const changes = 20
	c.UpdateSharesTime = measureCPUTime(func() {
		for i := range changes / 2 {
			table.SetMembers(ids[:len(ids)-1-i%2])
			table.SetMembers(ids)
		}
	}) / changes
	const ownerSamples = 500
	c.ComputeOwnersTime = measureCPUTime(func() {
		for _, r := range replicas[:ownerSamples] {
			set.Owners(targetConnections, r)
		}
	}) / ownerSamples
}

// targetConnections is the connection limit of a search replica.
const targetConnections = 40

func measureCPUTime(do func()) time.Duration {
	begin := cpuTime()
	do()
	return cpuTime() - begin
}

// SignalMemoryPerReplica returns the heap bytes of a signal table per replica, measured with the replicas of the
// two-year size.
func SignalMemoryPerReplica() float64 {
	before := liveHeap()
	t := signal.NewTable()
	now := time.Unix(1_700_000_000, 0)
	for i := range TargetReplicas {
		if _, _, err := t.Raise(now, fmt.Sprintf("replica-%04d", i), uint64(now.UnixNano()), signal.Leaving); err != nil {
			panic(err)
		}
	}
	used := liveHeap() - before
	runtime.KeepAlive(t)
	return used / TargetReplicas
}
