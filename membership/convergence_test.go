package membership_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/membership"
)

const (
	maxNodes = 8
	// convergenceTimeout is the longest time from the end of all faults until all 8 nodes agree. A stopped node is
	// probed within two rounds (16 s); the probe interval, the suspicion (4.8 s) and the verification follow: 24 s in
	// total. Each node probes the seeds that it does not list as live one at a time, at most 7.5 s apart, so a missing
	// node is probed within 7 x 7.5 s = 52.5 s. 60 s covers the longer of the two with a margin for network delays.
	convergenceTimeout = 60 * time.Second
)

// faultModel is a fleet with the faults that are currently injected.
type faultModel struct {
	*fleet
	partition          map[string]int
	asymmetric         bool
	loss               float64
	jitter             time.Duration
	duplication        float64
	paused             []string
	highestIncarnation map[string]uint64
}

// deliveries applies the current faults to one datagram and returns the delays of the copies that arrive.
func (w *faultModel) deliveries(rng *rand.Rand, from, to string) []time.Duration {
	a, b := w.partition[from], w.partition[to]
	if a != b && (!w.asymmetric || a < b) || rng.Float64() < w.loss {
		return nil
	}
	copies := 1
	if rng.Float64() < w.duplication {
		copies = 2
	}
	delays := make([]time.Duration, copies)
	for i := range delays {
		delays[i] = linkDelay + time.Duration(rng.Int64N(int64(w.jitter)+1))
	}
	return delays
}

func (w *faultModel) endFaults() {
	w.partition = map[string]int{}
	w.loss, w.jitter, w.duplication = 0, 0, 0
	for _, a := range w.paused {
		w.net.Resume(a)
	}
	w.paused = nil
	for _, a := range w.running {
		w.net.Node(a).SetSeeds(seedsOf(w.running))
	}
}

// drawNode draws one of the addresses, or "", at which no node runs.
func drawNode(t *rapid.T, list []string) string {
	return rapid.SampledFrom(append([]string{""}, list...)).Draw(t, "node")
}

// drawOutdatedList draws a VM list that may be out of date: running VMs may be missing, and stopped ones present.
func drawOutdatedList(t *rapid.T) []string {
	var list []string
	for i := range maxNodes {
		if rapid.Bool().Draw(t, "listed") {
			list = append(list, address(i))
		}
	}
	return list
}

func (w *faultModel) actions() map[string]func(*rapid.T) {
	run := func(t *rapid.T) {
		w.net.Advance(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"run":      run,
		"run more": run,
		"cut": func(t *rapid.T) {
			w.asymmetric = rapid.Bool().Draw(t, "one direction")
			for i := range maxNodes {
				w.partition[address(i)] = rapid.IntRange(0, 1).Draw(t, "side")
			}
		},
		"heal": func(*rapid.T) { w.partition = map[string]int{} },
		"disturb": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			w.duplication = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplicates")
			w.jitter = time.Duration(rapid.SampledFrom([]int{0, 50, 700}).Draw(t, "jitter")) * time.Millisecond
		},
		"pause": func(t *rapid.T) {
			a := drawNode(t, w.running)
			w.net.Pause(a)
			w.paused = append(withoutAddress(w.paused, a), a)
		},
		"resume": func(t *rapid.T) {
			a := drawNode(t, w.paused)
			w.net.Resume(a)
			w.paused = withoutAddress(w.paused, a)
		},
		"crash": func(t *rapid.T) {
			a := drawNode(t, w.running)
			w.stop(a)
			w.paused = withoutAddress(w.paused, a)
		},
		"start": func(t *rapid.T) {
			a := address(rapid.IntRange(0, maxNodes-1).Draw(t, "index"))
			w.paused = withoutAddress(w.paused, a)
			w.start(a, drawOutdatedList(t))
			w.highestIncarnation[a] = 0
		},
		"leave": func(t *rapid.T) {
			a := drawNode(t, w.running)
			if a == "" {
				return
			}
			w.net.Send(a, w.net.Node(a).Leave(w.net.Now()))
			w.net.Advance(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			w.stop(a)
			w.paused = withoutAddress(w.paused, a)
		},
		"list": func(t *rapid.T) {
			if a := drawNode(t, w.running); a != "" {
				w.net.Node(a).SetSeeds(seedsOf(drawOutdatedList(t)))
			}
		},
		"": w.checkInvariants,
	}
}

// checkInvariants checks what holds at any time: the state is bounded, and no fault lowers an incarnation.
func (w *faultModel) checkInvariants(t *rapid.T) {
	for _, a := range w.running {
		node := w.net.Node(a)
		if len(node.Members()) > maxNodes || node.QueueLen() > maxNodes {
			t.Fatalf("%s holds %d members and %d queued records", a, len(node.Members()), node.QueueLen())
		}
		if node.Incarnation() < w.highestIncarnation[a] {
			t.Fatalf("%s lowered its incarnation", a)
		}
		w.highestIncarnation[a] = node.Incarnation()
	}
}

// TestConvergenceAfterFaults guards against nodes that still disagree after all faults have ended: a fleet that stays
// partitioned, a running node that others do not list, or a stopped node that they do. The faults are partitions,
// pauses, restarts with an old incarnation, loss, duplication, reordering and outdated VM lists.
func TestConvergenceAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &faultModel{partition: map[string]int{}, highestIncarnation: map[string]uint64{}}
		w.fleet = newFleet(rapid.Uint64().Draw(t, "seed"), w.deliveries)
		w.startAll(rapid.IntRange(2, maxNodes).Draw(t, "nodes"))
		t.Repeat(w.actions())
		w.endFaults()
		w.net.Advance(convergenceTimeout)
		want := slices.Clone(w.running)
		if diff := w.firstDifference(want); diff != "" {
			t.Fatalf("%v after the faults ended: %s", convergenceTimeout, diff)
		}
		for _, a := range w.running {
			if s, _ := w.net.Node(a).State(identifier(a)); s != membership.Alive {
				t.Fatalf("%s sees itself as %s", a, s)
			}
		}
	})
}
