package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// newGate returns a gate whose caller stays until the end of the test.
func newGate(t *testing.T) *Gate {
	g, _ := NewGate(t.Context(), t.Context())
	t.Cleanup(g.Release)
	return g
}

// TestClosedGateSendsNothing guards a refusal that states that nothing was executed: no attempt may begin after it.
func TestClosedGateSendsNothing(t *testing.T) {
	g := newGate(t)
	must.True(t, g.Begin())
	g.NotExecuted()
	must.False(t, g.IsClosed())
	must.True(t, g.Close())
	must.False(t, g.Begin())
	must.True(t, g.IsClosed())
	must.True(t, g.Close())
}

// TestExecutedAttemptIsNotDenied guards the same statement after an attempt that a replica may have executed.
func TestExecutedAttemptIsNotDenied(t *testing.T) {
	g := newGate(t)
	must.True(t, g.Begin())
	must.True(t, g.Begin())
	g.NotExecuted()
	must.False(t, g.Close())
}

// TestConcurrentBeginAndClose guards against an attempt that begins beside the end of the request and is not counted.
func TestConcurrentBeginAndClose(t *testing.T) {
	for range 200 {
		g := newGate(t)
		var begun, unexecuted bool
		var wg sync.WaitGroup
		wg.Go(func() { begun = g.Begin() })
		wg.Go(func() { unexecuted = g.Close() })
		wg.Wait()
		must.Eq(t, !begun, unexecuted)
	}
}

// TestServedCallerHasNotLeft guards the count of withheld attempts: a server ends the context of a caller that has its answer, while slower
// attempts are still ending.
func TestServedCallerHasNotLeft(t *testing.T) {
	caller, end := context.WithCancel(t.Context())
	g, ctx := NewGate(t.Context(), caller)
	g.Release()
	end()
	must.False(t, g.Begin())
	_, left := g.CallerLeft()
	must.False(t, left)
	must.Error(t, ctx.Err())
}

// TestAttemptsEndWithCaller guards replicas against requests whose callers have left, and requests that a replica may be executing
// against being aborted, in any order of events: nothing begins once the caller has left, and the attempts end exactly when the caller
// has left and no replica may be executing one.
func TestAttemptsEndWithCaller(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			caller, leave := context.WithCancel(context.Background())
			defer leave()
			g, ctx := NewGate(context.Background(), caller)
			defer g.Release()
			open, left, closed := 0, false, false
			for range rapid.IntRange(1, 20).Draw(rt, "events") {
				switch rapid.SampledFrom([]string{"begin", "not executed", "leave", "close"}).Draw(rt, "event") {
				case "begin":
					begun := g.Begin()
					if begun != (!left && !closed) {
						rt.Fatalf("begun %v, left %v, closed %v", begun, left, closed)
					}
					if begun {
						open++
					}
				case "not executed":
					if open > 0 {
						g.NotExecuted()
						open--
					}
				case "leave":
					leave()
					left = true
				case "close":
					if unexecuted := g.Close(); unexecuted != (open == 0) {
						rt.Fatalf("unexecuted %v with %d open attempts", unexecuted, open)
					}
					closed = true
				}
				synctest.Wait()
				if ended := ctx.Err() != nil; ended != (left && open == 0) {
					rt.Fatalf("attempts ended %v, left %v, %d open", ended, left, open)
				}
				if _, ok := g.CallerLeft(); ok != left {
					rt.Fatalf("caller left %v, reported %v", left, ok)
				}
			}
		})
	})
}
