package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/chivemill/chivemill/share"
	"github.com/chivemill/chivemill/signal"
)

// Cost is the CPU and memory of one node at one fleet size.
type Cost struct {
	Nodes int
	// Quiet and Busy are CPU seconds per node-second as a percentage of a core, without load and with each node at
	// its byte rate. They include the in-memory network and the garbage collector.
	Quiet, Busy float64
	// QuietTraffic and BusyTraffic are the traffic of the two spans.
	QuietTraffic, BusyTraffic Traffic
	// Heap is the memory per node in bytes after a garbage collection.
	Heap float64
	// Shares is the time to compute one daemon's share of all replicas of the two-year size anew, Change the time
	// to bring it up to date after one member changed, and Owners the time to compute the owners of one replica with
	// 40 connections. The pollers are computed in the same way as the shares.
	Shares, Change, Owners time.Duration
}

const (
	// warmUp covers the readings of all pages by each node after its start.
	warmUp    = 50 * time.Second
	quietSpan = 30 * time.Second
	busySpan  = 5 * time.Second
	// busySignals is the number of signals that each node raises to keep all nodes at their byte rate.
	busySignals = 60
)

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// MeasureCost measures CPU and memory. Nothing else may run in the process meanwhile.
func MeasureCost(n int, seed uint64) Cost {
	c := Cost{Nodes: n}
	before := heap()
	f := NewFleet(n, seed)
	f.net.Advance(warmUp)
	c.Heap = (heap() - before) / float64(n)
	// Smaller fleets run longer, so that each span has a similar number of node-seconds.
	span := max(busySpan, quietSpan*350/time.Duration(n))
	c.QuietTraffic, c.Quiet = f.cpuSpan(span)
	f.fill()
	c.BusyTraffic, c.Busy = f.cpuSpan(busySpan)
	f.shareCost(&c)
	return c
}

func (f *Fleet) cpuSpan(d time.Duration) (Traffic, float64) {
	begin := cpuTime()
	t := f.span(d)
	used := cpuTime() - begin
	return t, 100 * used.Seconds() / (d.Seconds() * float64(len(f.running)))
}

// fill gives each node enough payloads to send at its byte rate for the busy span.
func (f *Fleet) fill() {
	for _, a := range f.running {
		for i := range busySignals {
			f.raiseAt(a, fmt.Sprintf("%s-%d", identifier(a), i), 1)
		}
	}
}

func (f *Fleet) shareCost(c *Cost) {
	ids := make([]string, len(f.running))
	for i, a := range f.running {
		ids[i] = identifier(a)
	}
	replicas := make([]string, TargetReplicas)
	for i := range replicas {
		replicas[i] = fmt.Sprintf("replica-%04d", i)
	}
	set, table := share.NewSet(ids), share.NewTable(ids[0], replicas)
	table.SetMembers(ids)
	c.Shares = timed(func() {
		for _, r := range replicas {
			set.Connections(targetConnections, r, ids[0])
		}
	})
	const changes = 20
	c.Change = timed(func() {
		for i := range changes / 2 {
			table.SetMembers(ids[:len(ids)-1-i%2])
			table.SetMembers(ids)
		}
	}) / changes
	const some = 500
	c.Owners = timed(func() {
		for _, r := range replicas[:some] {
			set.Owners(targetConnections, r)
		}
	}) / some
}

// targetConnections is the connection limit of a search replica.
const targetConnections = 40

func timed(do func()) time.Duration {
	begin := cpuTime()
	do()
	return cpuTime() - begin
}

// SignalMemory returns the bytes of a signal table per replica, measured with the replicas of the two-year size.
func SignalMemory() float64 {
	before := heap()
	t := signal.NewTable()
	now := time.Unix(1_700_000_000, 0)
	for i := range TargetReplicas {
		if _, _, err := t.Raise(now, fmt.Sprintf("replica-%04d", i), uint64(now.UnixNano()), signal.Leaving); err != nil {
			panic(err)
		}
	}
	used := heap() - before
	runtime.KeepAlive(t)
	return used / TargetReplicas
}
