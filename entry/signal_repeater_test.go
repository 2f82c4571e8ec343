package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a signal that never reaches daemons that join later, one that is repeated forever, and a list of
// signals that grows without bound.
func TestSignalRepeater(t *testing.T) {
	start := time.Unix(1000, 0)
	var r signalRepeater
	r.add(start, "a", []byte("a"))
	sent := 0
	for at := start; at.Before(start.Add(2 * repeatDuration)); at = at.Add(time.Second) {
		sent += len(r.due(at))
	}
	must.Eq(t, int(repeatDuration/repeatInterval), sent)
	must.SliceEmpty(t, r.signals)
	for i := range 2 * maxRepeatedSignals {
		r.add(start, fmt.Sprint(i), nil)
	}
	must.Len(t, maxRepeatedSignals, r.due(start.Add(repeatInterval)))
}
