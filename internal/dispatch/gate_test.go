package dispatch

import (
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// TestClosedGateSendsNothing guards a refusal that states that nothing was executed: no attempt may begin after it.
func TestClosedGateSendsNothing(t *testing.T) {
	g := NewGate()
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
	g := NewGate()
	must.True(t, g.Begin())
	must.True(t, g.Begin())
	g.NotExecuted()
	must.False(t, g.Close())
}

// TestConcurrentBeginAndClose guards against an attempt that begins beside the end of the request and is not counted.
func TestConcurrentBeginAndClose(t *testing.T) {
	for range 200 {
		g := NewGate()
		var begun, unexecuted bool
		var wg sync.WaitGroup
		wg.Go(func() { begun = g.Begin() })
		wg.Go(func() { unexecuted = g.Close() })
		wg.Wait()
		must.Eq(t, !begun, unexecuted)
	}
}
