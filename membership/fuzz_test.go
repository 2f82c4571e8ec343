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
	fuzzNodes = 8
	// agreeWithin bounds the time from the end of all faults until all nodes agree, for 8 nodes. A stopped node is
	// probed within two rounds (16 s), and then one period, the suspicion (4.8 s) and the verification pass: 24 s.
	// A node that is kept out is contacted by each other node, one listed and absent node at a time, at most 7.5 s
	// apart: 7 x 7.5 s = 52.5 s. 60 s covers the larger of them with a margin for delays on the way.
	agreeWithin = 60 * time.Second
)

// world is the state of one fuzzing run: the faults that apply at present.
type world struct {
	*fleet
	side    map[string]int
	oneSide bool
	loss    float64
	jitter  time.Duration
	double  float64
	paused  []string
	highest map[string]uint64
}

// link applies the present faults to one datagram.
func (w *world) link(rng *rand.Rand, from, to string) []time.Duration {
	a, b := w.side[from], w.side[to]
	if a != b && (!w.oneSide || a < b) || rng.Float64() < w.loss {
		return nil
	}
	copies := 1
	if rng.Float64() < w.double {
		copies = 2
	}
	delays := make([]time.Duration, copies)
	for i := range delays {
		delays[i] = oneWay + time.Duration(rng.Int64N(int64(w.jitter)+1))
	}
	return delays
}

func (w *world) endFaults() {
	w.side = map[string]int{}
	w.loss, w.jitter, w.double = 0, 0, 0
	for _, a := range w.paused {
		w.net.Resume(a)
	}
	w.paused = nil
	for _, a := range w.running {
		w.net.Node(a).SetSeeds(seedsOf(w.running))
	}
}

// pick returns the address of one of the list, or "" if it is empty; no node runs at "".
func pick(t *rapid.T, list []string) string {
	return rapid.SampledFrom(append([]string{""}, list...)).Draw(t, "node")
}

// lagging is a list as the platform may show it: some running VMs missing, some stopped ones present.
func lagging(t *rapid.T) []string {
	var list []string
	for i := range fuzzNodes {
		if rapid.Bool().Draw(t, "listed") {
			list = append(list, address(i))
		}
	}
	return list
}

func (w *world) actions() map[string]func(*rapid.T) {
	run := func(t *rapid.T) {
		w.net.Run(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"run":      run,
		"run more": run,
		"cut": func(t *rapid.T) {
			w.oneSide = rapid.Bool().Draw(t, "one direction")
			for i := range fuzzNodes {
				w.side[address(i)] = rapid.IntRange(0, 1).Draw(t, "side")
			}
		},
		"heal": func(*rapid.T) { w.side = map[string]int{} },
		"disturb": func(t *rapid.T) {
			w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
			w.double = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplicates")
			w.jitter = time.Duration(rapid.SampledFrom([]int{0, 50, 700}).Draw(t, "jitter")) * time.Millisecond
		},
		"pause": func(t *rapid.T) {
			a := pick(t, w.running)
			w.net.Pause(a)
			w.paused = append(without(w.paused, a), a)
		},
		"resume": func(t *rapid.T) {
			a := pick(t, w.paused)
			w.net.Resume(a)
			w.paused = without(w.paused, a)
		},
		"crash": func(t *rapid.T) {
			a := pick(t, w.running)
			w.stop(a)
			w.paused = without(w.paused, a)
		},
		"start": func(t *rapid.T) {
			a := address(rapid.IntRange(0, fuzzNodes-1).Draw(t, "index"))
			w.paused = without(w.paused, a)
			w.start(a, lagging(t))
			w.highest[a] = 0
		},
		"leave": func(t *rapid.T) {
			a := pick(t, w.running)
			if a == "" {
				return
			}
			w.net.Send(a, w.net.Node(a).Leave(w.net.Now()))
			w.net.Run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			w.stop(a)
			w.paused = without(w.paused, a)
		},
		"list": func(t *rapid.T) {
			if a := pick(t, w.running); a != "" {
				w.net.Node(a).SetSeeds(seedsOf(lagging(t)))
			}
		},
		"": w.check,
	}
}

// check holds at any time: bounded state, and an incarnation that no fault lowers.
func (w *world) check(t *rapid.T) {
	for _, a := range w.running {
		node := w.net.Node(a)
		if len(node.Members()) > fuzzNodes || node.QueueLen() > fuzzNodes {
			t.Fatalf("%s holds %d members and %d queued records", a, len(node.Members()), node.QueueLen())
		}
		if node.Incarnation() < w.highest[a] {
			t.Fatalf("%s lowered its incarnation", a)
		}
		w.highest[a] = node.Incarnation()
	}
}

// TestAgreementAfterFaults guards against nodes that stay split, kept out or listed after they stopped, once
// partitions, pauses, restarts with an old incarnation, loss, duplicates, reordering and lagging lists have ended.
func TestAgreementAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{side: map[string]int{}, highest: map[string]uint64{}}
		w.fleet = newFleet(rapid.Uint64().Draw(t, "seed"), w.link)
		w.startAll(rapid.IntRange(2, fuzzNodes).Draw(t, "nodes"))
		t.Repeat(w.actions())
		w.endFaults()
		w.net.Run(agreeWithin)
		want := slices.Clone(w.running)
		if diff := w.disagreement(want); diff != "" {
			t.Fatalf("%v after the faults ended: %s", agreeWithin, diff)
		}
		for _, a := range w.running {
			if s, _ := w.net.Node(a).State(identifier(a)); s != membership.Alive {
				t.Fatalf("%s sees itself as %s", a, s)
			}
		}
	})
}
