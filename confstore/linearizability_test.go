package confstore

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/kvtest"
)

// applyCall is a call of Apply that replaces document base with document next, or a read if next is empty.
type applyCall struct{ base, next string }

// applyResult is the result of an applyCall. value is the document that a read returned.
type applyResult struct {
	value               string
	conflict, uncertain bool
}

// registerModel is a register with read and compare-and-swap.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		now, call, result := state.(string), input.(applyCall), output.(applyResult)
		switch {
		case call.next == "" && now == result.value:
			return []any{now}
		case call.next == "":
			return nil
		case result.uncertain && now == call.base:
			return []any{now, call.next}
		case result.uncertain, result.conflict && now != call.base:
			return []any{now}
		case !result.conflict && now == call.base:
			return []any{call.next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder records the calls of concurrent clients.
type recorder struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

func (r *recorder) record(client int, input applyCall, call func() applyResult) {
	start := r.clock.Add(1)
	output := call()
	end := r.clock.Add(1)
	if output.uncertain {
		// The write may still take effect at any later time.
		end = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: input, Call: start, Output: output, Return: end})
}

// runClient makes a client read and apply a number of times, with faults in the store.
func runClient(r *recorder, store kv.Store, client, rounds int, mem *kvtest.Memory) error {
	c := NewClient(store, fmt.Sprintf("operator-%d", client))
	c.sleep = func(context.Context, time.Duration) error { return nil }
	ctx := context.Background()
	for i := range rounds {
		if i%3 == client%3 {
			mem.SetFaults(kvtest.Faults{LostResponses: 1, DelayedTxns: 1, LostRequests: client % 2})
		}
		var current Profile
		var failure error
		r.record(client, applyCall{}, func() applyResult {
			current, failure = c.readProfile(ctx, "a")
			return applyResult{value: current.Current.Document}
		})
		if failure != nil {
			return failure
		}
		next := document("a", 1) + fmt.Sprintf("# %d of %d\n", i, client)
		r.record(client, applyCall{current.Current.Document, next}, func() applyResult {
			_, err := c.Apply(ctx, "a", next, current.Revision)
			var conflict *ConflictError
			result := applyResult{conflict: errors.As(err, &conflict), uncertain: errors.Is(err, kv.ErrOutcomeUnknown)}
			if err != nil && !result.conflict && !result.uncertain {
				failure = err
			}
			return result
		})
		if failure != nil {
			return failure
		}
	}
	return nil
}

// TestConcurrentAppliesAreLinearizable guards against concurrent applies that overwrite each other, and against
// conflicts reported for accepted changes.
// Mutation: in write.txn, remove the condition on the key.
func TestConcurrentAppliesAreLinearizable(t *testing.T) {
	for range 20 {
		mem := kvtest.NewMemory(nil)
		rec := &recorder{}
		failures := make([]error, 4)
		var wg sync.WaitGroup
		for client := range failures {
			wg.Go(func() { failures[client] = runClient(rec, mem, client, 6, mem) })
		}
		wg.Wait()
		must.NoError(t, errors.Join(failures...))
		must.True(t, porcupine.CheckOperations(registerModel.ToModel(), rec.ops))
	}
}

// TestOnlyOneOfTwoConcurrentAppliesSucceeds guards against two concurrent changes to the same revision that are both
// reported as accepted, or both rejected.
// Mutation: in write.txn, remove the condition on the key.
func TestOnlyOneOfTwoConcurrentAppliesSucceeds(t *testing.T) {
	mem := kvtest.NewMemory(nil)
	var base int64
	for round := range 200 {
		mem.SetFaults(kvtest.Faults{LostResponses: round % 3})
		var wg sync.WaitGroup
		revisions, failures := make([]int64, 2), make([]error, 2)
		for i := range 2 {
			wg.Go(func() {
				c := testClient(mem, fmt.Sprintf("operator-%d", i))
				revisions[i], failures[i] = c.Apply(context.Background(), "a", document("a", 1+round*2+i), base)
			})
		}
		wg.Wait()
		winner := 0
		if failures[0] != nil {
			winner = 1
		}
		must.NoError(t, failures[winner])
		var conflict *ConflictError
		must.True(t, errors.As(failures[1-winner], &conflict), must.Sprintf("%v", failures[1-winner]))
		must.Eq(t, revisions[winner], conflict.Current.Revision)
		base = revisions[winner]
	}
}
