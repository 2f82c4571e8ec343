package signal_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/chivemill/chivemill/signal"
)

var startTime = time.Unix(1_700_000_000, 0)

// drawSignal draws a valid signal.
func drawSignal(t *rapid.T) signal.Signal {
	s := signal.Signal{
		Replica:     rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "replica"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		State:       signal.State(rapid.IntRange(int(signal.Ready), int(signal.Leaving)).Draw(t, "state")),
	}
	if s.State >= signal.Cold && s.State <= signal.Crashed {
		s.Until = uint64(startTime.Unix()) + rapid.Uint64Range(0, 60).Draw(t, "until")
	}
	return s
}

func drawRecord(t *rapid.T) signal.Record {
	r := signal.Record{Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
		Leaving: rapid.Bool().Draw(t, "leaving")}
	for i := range r.Ends {
		r.Ends[i] = rapid.Uint64Range(0, 3).Draw(t, "end")
	}
	return r
}

// TestJoinLaws guards against daemons that reach different states after the same signals: Join has to be commutative,
// associative and idempotent.
func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecord(t), drawRecord(t), drawRecord(t)
		if signal.Join(a, b) != signal.Join(b, a) {
			t.Fatal("not commutative")
		}
		if signal.Join(a, signal.Join(b, c)) != signal.Join(signal.Join(a, b), c) {
			t.Fatal("not associative")
		}
		if signal.Join(a, a) != a {
			t.Fatal("not idempotent")
		}
	})
}

// TestMergeIgnoresOrderAndDuplicates guards against a table whose states depend on the order or repetition of signals.
func TestMergeIgnoresOrderAndDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		signals := rapid.SliceOfN(rapid.Custom(drawSignal), 1, 12).Draw(t, "signals")
		shuffled := append(rapid.Permutation(signals).Draw(t, "order"), signals[0])
		a, b := signal.NewTable(), signal.NewTable()
		for _, s := range signals {
			_, err := a.Merge(startTime, s)
			must.NoError(t, err)
		}
		for _, s := range shuffled {
			_, err := b.Merge(startTime, s)
			must.NoError(t, err)
		}
		for _, after := range []time.Duration{0, 5 * time.Second, 30 * time.Second, time.Hour} {
			requireEqualStates(t, startTime.Add(after), a, b)
		}
	})
}

// requireEqualStates fails the test if the states of any incarnation differ between two tables.
func requireEqualStates(t *rapid.T, now time.Time, a, b *signal.Table) {
	for _, r := range []string{"r1", "r2"} {
		for incarnation := range uint64(5) {
			stateA, stateB := a.State(now, r, incarnation), b.State(now, r, incarnation)
			if stateA != stateB {
				t.Fatalf("replica %s, incarnation %d: states differ: %s and %s", r, incarnation, stateA, stateB)
			}
		}
	}
}

// TestLeavingIsPermanent guards against a leaving mark that is cleared by an older or lower signal, by the passage of time or
// by the VM list.
func TestLeavingIsPermanent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := signal.NewTable()
		_, err := table.Merge(startTime, signal.Signal{Replica: "r1", Incarnation: 2, State: signal.Leaving})
		must.NoError(t, err)
		now := startTime
		for _, s := range rapid.SliceOf(rapid.Custom(drawSignal)).Draw(t, "signals") {
			now = now.Add(time.Second)
			_, err := table.Merge(now, s)
			must.NoError(t, err)
			table.Retain(now, map[string]bool{"r1": rapid.Bool().Draw(t, "listed")})
			if table.State(now, "r1", 2) != signal.Leaving {
				t.Fatalf("leaving mark lost after %+v", s)
			}
		}
	})
}

// TestMarksExpire guards against a replica that remains excluded after a crash or after load shedding has ended.
func TestMarksExpire(t *testing.T) {
	table := signal.NewTable()
	for _, s := range []signal.State{signal.Cold, signal.Shedding, signal.Crashed} {
		_, changed, err := table.Raise(startTime, "r1", 1, s)
		must.NoError(t, err)
		must.True(t, changed)
	}
	must.Eq(t, signal.Crashed, table.State(startTime.Add(5*time.Second), "r1", 1))
	must.Eq(t, signal.Cold, table.State(startTime.Add(25*time.Second), "r1", 1))
	must.Eq(t, signal.Ready, table.State(startTime.Add(70*time.Second), "r1", 1))
	_, changed, err := table.Raise(startTime.Add(time.Second), "r1", 1, signal.Cold)
	must.NoError(t, err)
	must.False(t, changed)
}

// TestTableAndCrashesAreBounded guards against peers that exhaust the memory, or exclude a replica permanently by a mark with
// an end in the distant future.
func TestTableAndCrashesAreBounded(t *testing.T) {
	table, crashes := signal.NewTable(), signal.NewCrashSet()
	until := uint64(startTime.Unix()) + 60
	for i := range signal.MaxReplicas + 100 {
		_, _ = table.Merge(startTime, signal.Signal{Replica: fmt.Sprint(i), Incarnation: 1, State: signal.Leaving})
		_, _ = crashes.Merge(startTime, signal.Crash{Fingerprint: uint64(i), Until: until})
	}
	must.Eq(t, signal.MaxReplicas, table.Len())
	must.Eq(t, signal.MaxCrashes, crashes.Len())
	_, err := crashes.Merge(startTime, signal.Crash{Fingerprint: 1 << 40, Until: until + 1})
	must.NoError(t, err)
	must.True(t, crashes.Has(startTime, 1<<40))
	must.False(t, crashes.Has(startTime.Add(2*time.Minute), 1<<40))
	_, err = table.Merge(startTime, signal.Signal{Replica: "0", Incarnation: 1, State: signal.Crashed, Until: until + 7200})
	must.ErrorIs(t, err, signal.ErrInvalid)
	_, err = table.Merge(startTime, signal.Signal{Replica: "new", Incarnation: 1, State: signal.Leaving})
	must.ErrorIs(t, err, signal.ErrFull)
}

// TestPayloadRoundTrip guards against an encoding that loses a field or exceeds its size, and a decoder that accepts invalid
// payloads.
func TestPayloadRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent, got, crashes := signal.NewTable(), signal.NewTable(), signal.NewCrashSet()
		s := drawSignal(t)
		_, err := sent.Merge(startTime, s)
		must.NoError(t, err)
		key, payload, err := signal.Encode(s)
		must.NoError(t, err)
		must.LessEq(t, 40, len(payload))
		gotKey, _, err := signal.MergePayload(startTime, got, crashes, payload)
		must.NoError(t, err)
		must.Eq(t, key, gotKey)
		requireEqualStates(t, startTime, sent, got)
		must.SliceEqOp(t, sent.Signals(startTime), got.Signals(startTime))
		_, _, err = signal.MergePayload(startTime, got, crashes, append([]byte{0xff}, payload...))
		must.ErrorIs(t, err, signal.ErrInvalid)
	})
}

// TestPollersAreStable guards against a change of one member that reassigns most replicas to other pollers.
func TestPollersAreStable(t *testing.T) {
	var members []string
	for i := range 50 {
		members = append(members, fmt.Sprintf("entry-%d", i))
	}
	moved := 0
	for r := range 500 {
		id := fmt.Sprintf("replica-%d", r)
		before := signal.Pollers(id, members, 2)
		must.Len(t, 2, before)
		after := signal.Pollers(id, members[1:], 2)
		polled := signal.NewPolledReplicas(members[0], []string{id})
		polled.SetMembers(members)
		must.Eq(t, before[0] == members[0] || before[1] == members[0], len(polled.Replicas(2)) == 1)
		if before[0] != after[0] || before[1] != after[1] {
			moved++
			must.SliceContains(t, before, members[0])
		}
	}
	// Each replica is polled by 2 of 50 members, so 20 of 500 replicas are expected to be reassigned.
	must.Between(t, 5, moved, 45)
}
