package capacity

import (
	"fmt"
	"slices"
	"time"

	"github.com/chivemill/chivemill/signal"
)

// Event is one kind of event of an ordinary day or one bad event.
type Event string

// Values of Event.
const (
	Signal      Event = "signal"
	Leave       Event = "planned leave"
	Join        Event = "join, seen by others"
	Load        Event = "join, own list complete"
	Failure     Event = "failure"
	SignalStorm Event = "signal, update hour"
	Rack        Event = "rack of 40 lost"
	RackBack    Event = "rack of 40 back"
	Centre      Event = "data centre lost"
	CentreBack  Event = "data centre back"
	Cut         Event = "cut of regions"
	Merge       Event = "merge of regions"
)

// Rates of an ordinary day and of the update hour at the two-year size.
const (
	failuresPerDay = 25
	restartsPerDay = 1600
	// signalsPerRestart are leaving, crashed or cold, and shedding marks, and the ready mark of the new incarnation.
	signalsPerRestart = 4
	day               = 24 * time.Hour
)

// stormRate returns the signals per second of n nodes when all replicas restart within an hour.
func stormRate(n int) float64 {
	return float64(signalsPerRestart*TargetReplicas) / 3600 * float64(n) / TargetNodes
}

// Outcome is what was measured of one kind of event.
type Outcome struct {
	Delays
	Events int
	// BytesPerEvent is what one event made each node send beyond the quiet traffic.
	BytesPerEvent float64
	// Peak is the most that one node sent and received within a second.
	Peak peaks
}

// limits of the watched delays.
const (
	watchNews    = 30 * time.Second
	watchFailure = 90 * time.Second
	settleLimit  = 4 * time.Minute
	stayAfter    = 10 * time.Second
	stormLength  = 20 * time.Second
)

// repeat measures an event several times, each time until the gossip has come to rest.
func (f *Fleet) repeat(times int, quiet Traffic, once func() Delays) Outcome {
	out := Outcome{Events: times}
	for range times {
		before, start := f.total(), f.net.Now()
		out.Peak = larger(out.Peak, f.peak(func() {
			out.merge(once())
			f.settle(settleLimit)
		}))
		seconds := f.net.Now().Sub(start).Seconds()
		nodes := float64(len(f.running))
		sent := traffic(before, f.total(), seconds*nodes).SentBytes - quiet.SentBytes
		out.BytesPerEvent += sent * seconds / float64(times)
	}
	return out
}

func larger(a, b peaks) peaks {
	return peaks{Sent: max(a.Sent, b.Sent), Received: max(a.Received, b.Received)}
}

func (f *Fleet) isLive(at, id string) bool {
	s, ok := f.node(at).State(id)
	return ok && s.Live()
}

// raise marks a replica at one random node, which broadcasts the mark, and returns the mark.
func (f *Fleet) raise(number int) signal.Signal {
	// Backend servers use their start time in nanoseconds as incarnation.
	incarnation := uint64(f.net.Now().UnixNano())
	return f.raiseAt(f.random(), fmt.Sprintf("replica-%04d", number%TargetReplicas), incarnation)
}

// raiseAt broadcasts a leaving mark from a node. The names and the numbers of replicas are within the limits of the
// table, so an error is a fault of this package.
func (f *Fleet) raiseAt(addr, replica string, incarnation uint64) signal.Signal {
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

func (f *Fleet) knows(addr string, s signal.Signal) bool {
	return f.tables[addr].State(f.net.Now(), s.Replica, s.Incarnation) == signal.Leaving
}

func (f *Fleet) signalOnce(number int) Delays {
	s := f.raise(number)
	return f.watch(f.running, watchNews, func(a string) bool { return f.knows(a, s) })
}

// leaveOnce measures a planned leave and returns the address.
func (f *Fleet) leaveOnce() (string, Delays) {
	addr := f.random()
	id := identifier(addr)
	f.leave(addr, stayAfter)
	others := f.without(addr)
	return addr, f.watch(others, watchNews, func(a string) bool { return !f.isLive(a, id) })
}

// failOnce measures a failure and returns the address.
func (f *Fleet) failOnce() (string, Delays) {
	addr := f.random()
	id := identifier(addr)
	f.end(addr)
	return addr, f.watch(f.running, watchFailure, func(a string) bool { return !f.isLive(a, id) })
}

// joinOnce measures the start of a process whose address was in use before.
func (f *Fleet) joinOnce(addr string) (seen, load Delays) {
	id := identifier(addr)
	f.start(addr, f.running, nil)
	begin := f.net.Now()
	others := f.without(addr)
	done := false
	seen = f.watch(others, watchNews, func(a string) bool {
		if !done && f.node(addr).NumLive() == len(f.running) {
			done = true
			load.all = append(load.all, f.net.Now().Sub(begin))
		}
		return f.isLive(a, id)
	})
	if !done {
		rest := f.watch([]string{addr}, watchNews, func(a string) bool { return f.node(a).NumLive() == len(f.running) })
		for i := range rest.all {
			rest.all[i] += seen.Max()
		}
		load = rest
	}
	return seen, load
}

func (f *Fleet) without(addr string) []string {
	return slices.DeleteFunc(slices.Clone(f.running), func(a string) bool { return a == addr })
}

// ordinary measures the events of an ordinary day, one after the other.
func (f *Fleet) ordinary(times int, quiet Traffic) map[Event]Outcome {
	out := make(map[Event]Outcome)
	number := 0
	out[Signal] = f.repeat(times, quiet, func() Delays {
		number++
		return f.signalOnce(number)
	})
	var gone []string
	out[Leave] = f.repeat(times, quiet, func() Delays {
		addr, d := f.leaveOnce()
		gone = append(gone, addr)
		f.net.Advance(stayAfter)
		return d
	})
	var load Outcome
	next := func() Delays {
		addr := gone[0]
		gone = gone[1:]
		seen, own := f.joinOnce(addr)
		load.merge(own)
		load.Events++
		return seen
	}
	out[Join] = f.repeat(times, quiet, next)
	out[Load] = load
	out[Failure] = f.repeat(times, quiet, func() Delays {
		addr, d := f.failOnce()
		gone = append(gone, addr)
		return d
	})
	for _, addr := range gone {
		f.start(addr, f.running, nil)
	}
	f.net.Advance(watchNews)
	f.settle(settleLimit)
	return out
}

// storm raises signals at the rate of the update hour and measures how long each takes to reach all nodes.
func (f *Fleet) storm(quiet Traffic) Outcome {
	n := len(f.running)
	type raised struct {
		signal signal.Signal
		at     time.Time
		left   []string
	}
	var open []*raised
	out := Outcome{}
	collect := func() {
		for _, r := range open {
			r.left = slices.DeleteFunc(r.left, func(a string) bool {
				if !f.knows(a, r.signal) {
					return false
				}
				out.all = append(out.all, f.net.Now().Sub(r.at))
				return true
			})
		}
		open = slices.DeleteFunc(open, func(r *raised) bool { return len(r.left) == 0 })
	}
	before, start := f.total(), f.net.Now()
	out.Peak = f.peak(func() {
		for f.net.Now().Sub(start) < stormLength {
			due := int(stormRate(n) * f.net.Now().Sub(start).Seconds())
			for ; out.Events < due; out.Events++ {
				s := f.raise(out.Events)
				open = append(open, &raised{signal: s, at: f.net.Now(), left: slices.Clone(f.running)})
			}
			f.net.Advance(pollEvery)
			collect()
		}
		for range int(watchNews / pollEvery) {
			if len(open) == 0 {
				break
			}
			f.net.Advance(pollEvery)
			collect()
		}
		f.settle(settleLimit)
	})
	for _, r := range open {
		out.Missing += len(r.left)
	}
	seconds := f.net.Now().Sub(start).Seconds()
	sent := traffic(before, f.total(), seconds*float64(n)).SentBytes - quiet.SentBytes
	out.BytesPerEvent = sent * seconds / float64(max(1, out.Events))
	return out
}

// lose ends many nodes at once and measures when each other node knows that all of them failed.
func (f *Fleet) lose(gone []string, quiet Traffic) Outcome {
	return f.repeat(1, quiet, func() Delays {
		for _, a := range gone {
			f.end(a)
		}
		return f.watch(f.running, 2*watchFailure, func(a string) bool {
			return f.node(a).NumLive() == len(f.running)
		})
	})
}

// back starts the nodes again and measures when each node lists all of them.
func (f *Fleet) back(gone []string, quiet Traffic) Outcome {
	return f.repeat(1, quiet, func() Delays {
		list := slices.Concat(f.running, gone)
		for _, a := range gone {
			f.start(a, list, nil)
		}
		return f.watch(f.running, 2*watchFailure, func(a string) bool { return f.node(a).NumLive() == len(f.running) })
	})
}

// inCentre returns up to limit running nodes of the first data centre.
func (f *Fleet) inCentre(limit int) []string {
	var list []string
	for _, a := range f.running {
		if f.places[a].centre == 0 && len(list) < limit {
			list = append(list, a)
		}
	}
	return list
}

// Length of the cut between two regions.
const cutLength = 3 * time.Minute

// cutAndMerge cuts the regions and joins them again. It measures when each node has dropped the other region, and
// after the end of the cut when each lists all nodes again.
func (f *Fleet) cutAndMerge(quiet Traffic) (cut, merge Outcome) {
	sizes := make(map[int]int)
	for _, a := range f.running {
		sizes[f.places[a].region]++
	}
	f.cut = true
	begin := f.net.Now()
	before := f.total()
	cut.Events, merge.Events = 1, 1
	cut.Peak = f.peak(func() {
		cut.merge(f.watch(f.running, cutLength, func(a string) bool {
			return f.node(a).NumLive() == sizes[f.places[a].region]
		}))
		f.net.Advance(max(0, cutLength-f.net.Now().Sub(begin)))
	})
	nodes := float64(len(f.running))
	cut.BytesPerEvent = traffic(before, f.total(), nodes).SentBytes - quiet.SentBytes*cutLength.Seconds()
	f.cut = false
	merge = f.repeat(1, quiet, func() Delays {
		return f.watch(f.running, 2*watchFailure, func(a string) bool { return f.node(a).NumLive() == len(f.running) })
	})
	return cut, merge
}
