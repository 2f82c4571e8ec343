package capacity

import (
	"slices"
	"time"

	"github.com/chivemill/chivemill/membership"
)

// pollInterval is the resolution of the measured delays.
const pollInterval = 50 * time.Millisecond

// Delays holds the times from an event until nodes knew of it. Missing counts the nodes that did not know within the
// timeout of the measurement.
type Delays struct {
	all     []time.Duration
	Missing int
}

func (d *Delays) merge(o Delays) {
	d.all = append(d.all, o.all...)
	d.Missing += o.Missing
}

// Median returns the median over all nodes and events, or 0 without any.
func (d *Delays) Median() time.Duration { return d.quantile(0.5) }

// Max returns the longest delay, or 0 without any.
func (d *Delays) Max() time.Duration { return d.quantile(1) }

func (d *Delays) quantile(q float64) time.Duration {
	if len(d.all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.all))
	return sorted[int(q*float64(len(sorted)-1))]
}

// Traffic holds what nodes sent and received, as the mean per node and second.
type Traffic struct {
	SentBytes, SentPackets, ReceivedBytes, ReceivedPackets float64
}

func meanTraffic(before, after membership.Stats, nodeSeconds float64) Traffic {
	return Traffic{
		SentBytes:       float64(after.SentBytes-before.SentBytes) / nodeSeconds,
		SentPackets:     float64(after.SentPackets-before.SentPackets) / nodeSeconds,
		ReceivedBytes:   float64(after.ReceivedBytes-before.ReceivedBytes) / nodeSeconds,
		ReceivedPackets: float64(after.ReceivedPackets-before.ReceivedPackets) / nodeSeconds,
	}
}

// measureTraffic measures the traffic of all nodes while the network runs for d.
func (f *Fleet) measureTraffic(d time.Duration) Traffic {
	before := f.totalStats()
	f.net.Advance(d)
	return meanTraffic(before, f.totalStats(), d.Seconds()*float64(len(f.running)))
}

// measureDelays runs the network until known returns true for all addresses, or until the limit is over, and returns the
// delays from the time of the call.
func (f *Fleet) measureDelays(addrs []string, limit time.Duration, known func(addr string) bool) Delays {
	var d Delays
	unaware := slices.Clone(addrs)
	start := f.net.Now()
	for len(unaware) > 0 && f.net.Now().Sub(start) < limit {
		f.net.Advance(pollInterval)
		at := f.net.Now().Sub(start)
		unaware = slices.DeleteFunc(unaware, func(a string) bool {
			if !known(a) {
				return false
			}
			d.all = append(d.all, at)
			return true
		})
	}
	d.Missing = len(unaware)
	return d
}

// peaks holds the highest number of bytes that any node sent and received within a second.
type peaks struct{ Sent, Received uint64 }

// measurePeaks calls measure and samples all nodes once per virtual second until it returns.
func (f *Fleet) measurePeaks(measure func()) peaks {
	var p peaks
	last := make(map[*membership.Node]membership.Stats)
	done := false
	var sample func()
	sample = func() {
		if done {
			return
		}
		for _, a := range f.running {
			node := f.node(a)
			s := node.Stats()
			if before, ok := last[node]; ok {
				p.Sent = max(p.Sent, s.SentBytes-before.SentBytes)
				p.Received = max(p.Received, s.ReceivedBytes-before.ReceivedBytes)
			}
			last[node] = s
		}
		f.net.After(time.Second, sample)
	}
	sample()
	measure()
	done = true
	return p
}

// waitUntilIdle runs the network until no node has queued gossip, at most for the limit. It returns whether that was
// reached.
func (f *Fleet) waitUntilIdle(limit time.Duration) bool {
	end := f.net.Now().Add(limit)
	for f.net.Now().Before(end) {
		f.net.Advance(time.Second)
		if f.idle() {
			return true
		}
	}
	return false
}

func (f *Fleet) idle() bool {
	for _, a := range f.running {
		if f.node(a).QueueLen() > 0 {
			return false
		}
	}
	return true
}
