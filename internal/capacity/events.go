package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/chivemill/chivemill/signal"
)

// Event is a kind of event: one of an ordinary day, or one of a large outage.
type Event string

// Values of Event, as they are printed in the report.
const (
	Signal             Event = "signal"
	Leave              Event = "planned leave"
	Join               Event = "join, seen by others"
	OwnListComplete    Event = "join, own list complete"
	Failure            Event = "failure"
	UpdateHourSignal   Event = "signal, update hour"
	RackLost           Event = "rack of 40 lost"
	RackReturned       Event = "rack of 40 back"
	DataCentreLost     Event = "data centre lost"
	DataCentreReturned Event = "data centre back"
	Partition          Event = "cut of regions"
	PartitionHealed    Event = "merge of regions"
)

// Rates of an ordinary day and of the update hour at the two-year size.
const (
	failuresPerDay = 25
	restartsPerDay = 1600
	// signalsPerRestart is the number of signals per restart of a replica: leaving, crashed or cold, shedding, and ready
	// with the new incarnation.
	signalsPerRestart = 4
	day               = 24 * time.Hour
)

// updateHourSignalRate returns the signals per second of n nodes when all replicas restart within an hour.
func updateHourSignalRate(n int) float64 {
	return float64(signalsPerRestart*TargetReplicas) / 3600 * float64(n) / TargetNodes
}

// Outcome holds the measurements of one kind of event.
type Outcome struct {
	Delays
	Events int
	// BytesPerEvent is the number of bytes that each node sent because of one event, without the quiet traffic.
	BytesPerEvent float64
	// Peak is the highest number of bytes that one node sent and received within a second.
	Peak peaks
}

// Timeouts and durations of the measurements. leaveLinger is the time for which a leaving process stays up.
const (
	disseminationTimeout = 30 * time.Second
	detectionTimeout     = 90 * time.Second
	idleTimeout          = 4 * time.Minute
	leaveLinger          = 10 * time.Second
	updateHourSample     = 20 * time.Second
)

// repeatEvent measures an event several times, each time until no node has queued gossip or idleTimeout has passed.
func (f *Fleet) repeatEvent(times int, quiet Traffic, measureOnce func() Delays) Outcome {
	out := Outcome{Events: times}
	for range times {
		before, start := f.totalStats(), f.net.Now()
		out.Peak = maxPeaks(out.Peak, f.measurePeaks(func() {
			out.merge(measureOnce())
			f.waitUntilIdle(idleTimeout)
		}))
		seconds := f.net.Now().Sub(start).Seconds()
		nodes := float64(len(f.running))
		sent := meanTraffic(before, f.totalStats(), seconds*nodes).SentBytes - quiet.SentBytes
		out.BytesPerEvent += sent * seconds / float64(times)
	}
	return out
}

func maxPeaks(a, b peaks) peaks {
	return peaks{Sent: max(a.Sent, b.Sent), Received: max(a.Received, b.Received)}
}

func (f *Fleet) isLive(at, id string) bool {
	s, ok := f.node(at).State(id)
	return ok && s.Live()
}

// raiseAtRandomNode broadcasts a leaving signal for a replica from a random node and returns the signal.
func (f *Fleet) raiseAtRandomNode(number int) signal.Signal {
	// Backend servers use their start time in nanoseconds as incarnation.
	incarnation := uint64(f.net.Now().UnixNano())
	return f.raiseSignal(f.randomNode(), fmt.Sprintf("replica-%04d", number%TargetReplicas), incarnation)
}

// raiseSignal broadcasts a leaving signal from a node. It panics on an error, which would be a bug of this package: the
// length and number of replica names are within the limits of the table.
func (f *Fleet) raiseSignal(addr, replica string, incarnation uint64) signal.Signal {
	s, _, err := f.tables[addr].Raise(f.net.Now(), replica, incarnation, signal.Leaving)
	if err != nil {
		panic(err)
	}
	key, payload, err := signal.Encode(s)
	if err != nil {
		panic(err)
	}
	f.node(addr).Broadcast(key, payload)
	return s
}

func (f *Fleet) knowsSignal(addr string, s signal.Signal) bool {
	return f.tables[addr].State(f.net.Now(), s.Replica, s.Incarnation) == signal.Leaving
}

func (f *Fleet) measureSignal(number int) Delays {
	s := f.raiseAtRandomNode(number)
	return f.measureDelays(f.running, disseminationTimeout, func(a string) bool { return f.knowsSignal(a, s) })
}

// measureLeave measures a planned leave and returns the address of the node.
func (f *Fleet) measureLeave() (string, Delays) {
	addr := f.randomNode()
	id := nodeID(addr)
	f.leave(addr, leaveLinger)
	others := f.otherNodes(addr)
	return addr, f.measureDelays(others, disseminationTimeout, func(a string) bool { return !f.isLive(a, id) })
}

// measureFailure measures a failure and returns the address of the node.
func (f *Fleet) measureFailure() (string, Delays) {
	addr := f.randomNode()
	id := nodeID(addr)
	f.stop(addr)
	return addr, f.measureDelays(f.running, detectionTimeout, func(a string) bool { return !f.isLive(a, id) })
}

// measureJoin measures the start of a process whose address was in use before: seen holds the delays until the other
// nodes list it, ownList the time until its own member list is complete.
func (f *Fleet) measureJoin(addr string) (seen, ownList Delays) {
	id := nodeID(addr)
	f.start(addr, f.running, nil)
	begin := f.net.Now()
	others := f.otherNodes(addr)
	done := false
	seen = f.measureDelays(others, disseminationTimeout, func(a string) bool {
		if !done && f.node(addr).NumLive() == len(f.running) {
			done = true
			ownList.all = append(ownList.all, f.net.Now().Sub(begin))
		}
		return f.isLive(a, id)
	})
	if !done {
		ownDelays := f.measureDelays([]string{addr}, disseminationTimeout,
			func(a string) bool { return f.node(a).NumLive() == len(f.running) })
		for i := range ownDelays.all {
			ownDelays.all[i] += seen.Max()
		}
		ownList = ownDelays
	}
	return seen, ownList
}

func (f *Fleet) otherNodes(addr string) []string {
	return slices.DeleteFunc(slices.Clone(f.running), func(a string) bool { return a == addr })
}

// measureOrdinaryDay measures the events of an ordinary day, one after the other.
func (f *Fleet) measureOrdinaryDay(times int, quiet Traffic) map[Event]Outcome {
	out := make(map[Event]Outcome)
	number := 0
	out[Signal] = f.repeatEvent(times, quiet, func() Delays {
		number++
		return f.measureSignal(number)
	})
	var stopped []string
	out[Leave] = f.repeatEvent(times, quiet, func() Delays {
		addr, d := f.measureLeave()
		stopped = append(stopped, addr)
		f.net.Advance(leaveLinger)
		return d
	})
	var ownList Outcome
	startStopped := func() Delays {
		addr := stopped[0]
		stopped = stopped[1:]
		seen, ownDelays := f.measureJoin(addr)
		ownList.merge(ownDelays)
		ownList.Events++
		return seen
	}
	out[Join] = f.repeatEvent(times, quiet, startStopped)
	out[OwnListComplete] = ownList
	out[Failure] = f.repeatEvent(times, quiet, func() Delays {
		addr, d := f.measureFailure()
		stopped = append(stopped, addr)
		return d
	})
	for _, addr := range stopped {
		f.start(addr, f.running, nil)
	}
	f.net.Advance(disseminationTimeout)
	f.waitUntilIdle(idleTimeout)
	return out
}

// measureUpdateHour raises signals at the rate of the update hour and measures the delay until each node knows each
// signal.
func (f *Fleet) measureUpdateHour(quiet Traffic) Outcome {
	n := len(f.running)
	type raised struct {
		signal  signal.Signal
		at      time.Time
		unaware []string
	}
	var pending []*raised
	out := Outcome{}
	recordDelays := func() {
		for _, r := range pending {
			r.unaware = slices.DeleteFunc(r.unaware, func(a string) bool {
				if !f.knowsSignal(a, r.signal) {
					return false
				}
				out.all = append(out.all, f.net.Now().Sub(r.at))
				return true
			})
		}
		pending = slices.DeleteFunc(pending, func(r *raised) bool { return len(r.unaware) == 0 })
	}
	before, start := f.totalStats(), f.net.Now()
	out.Peak = f.measurePeaks(func() {
		for f.net.Now().Sub(start) < updateHourSample {
			due := int(updateHourSignalRate(n) * f.net.Now().Sub(start).Seconds())
			for ; out.Events < due; out.Events++ {
				s := f.raiseAtRandomNode(out.Events)
				pending = append(pending, &raised{signal: s, at: f.net.Now(), unaware: slices.Clone(f.running)})
			}
			f.net.Advance(pollInterval)
			recordDelays()
		}
		for range int(disseminationTimeout / pollInterval) {
			if len(pending) == 0 {
				break
			}
			f.net.Advance(pollInterval)
			recordDelays()
		}
		f.waitUntilIdle(idleTimeout)
	})
	for _, r := range pending {
		out.Missing += len(r.unaware)
	}
	seconds := f.net.Now().Sub(start).Seconds()
	sent := meanTraffic(before, f.totalStats(), seconds*float64(n)).SentBytes - quiet.SentBytes
	out.BytesPerEvent = sent * seconds / float64(max(1, out.Events))
	return out
}

// measureNodeLoss stops many nodes at once and measures when each other node knows that all of them failed.
func (f *Fleet) measureNodeLoss(lost []string, quiet Traffic) Outcome {
	return f.repeatEvent(1, quiet, func() Delays {
		for _, a := range lost {
			f.stop(a)
		}
		return f.measureDelays(f.running, 2*detectionTimeout, func(a string) bool {
			return f.node(a).NumLive() == len(f.running)
		})
	})
}

// measureNodeReturn starts the nodes again and measures when each node lists all nodes.
func (f *Fleet) measureNodeReturn(lost []string, quiet Traffic) Outcome {
	return f.repeatEvent(1, quiet, func() Delays {
		list := slices.Concat(f.running, lost)
		for _, a := range lost {
			f.start(a, list, nil)
		}
		return f.measureDelays(f.running, 2*detectionTimeout,
			func(a string) bool { return f.node(a).NumLive() == len(f.running) })
	})
}

// nodesOfFirstDataCentre returns up to limit running nodes of the first data centre.
func (f *Fleet) nodesOfFirstDataCentre(limit int) []string {
	var list []string
	for _, a := range f.running {
		if f.locations[a].dataCentre == 0 && len(list) < limit {
			list = append(list, a)
		}
	}
	return list
}

// partitionDuration is the duration of the network partition between the regions.
const partitionDuration = 3 * time.Minute

// measurePartition simulates a network partition between the regions. It measures when each node has removed the other
// region's nodes, and after the end of the partition when each lists all nodes again.
func (f *Fleet) measurePartition(quiet Traffic) (partition, healed Outcome) {
	sizes := make(map[int]int)
	for _, a := range f.running {
		sizes[f.locations[a].region]++
	}
	f.partitioned = true
	begin := f.net.Now()
	before := f.totalStats()
	partition.Events, healed.Events = 1, 1
	partition.Peak = f.measurePeaks(func() {
		partition.merge(f.measureDelays(f.running, partitionDuration, func(a string) bool {
			return f.node(a).NumLive() == sizes[f.locations[a].region]
		}))
		f.net.Advance(max(0, partitionDuration-f.net.Now().Sub(begin)))
	})
	nodes := float64(len(f.running))
	partition.BytesPerEvent = meanTraffic(before, f.totalStats(), nodes).SentBytes -
		quiet.SentBytes*partitionDuration.Seconds()
	f.partitioned = false
	healed = f.repeatEvent(1, quiet, func() Delays {
		return f.measureDelays(f.running, 2*detectionTimeout,
			func(a string) bool { return f.node(a).NumLive() == len(f.running) })
	})
	return partition, healed
}
