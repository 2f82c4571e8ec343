package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a mark that is never told to a daemon that joins later, one that is repeated for ever, and a list of
// marks that grows without bound.
func TestRepeater(t *testing.T) {
	start := time.Unix(1000, 0)
	var r repeater
	r.add(start, "a", []byte("a"))
	sent := 0
	for at := start; at.Before(start.Add(2 * repeatFor)); at = at.Add(time.Second) {
		sent += len(r.due(at))
	}
	must.Eq(t, int(repeatFor/repeatEvery), sent)
	must.SliceEmpty(t, r.marks)
	for i := range 2 * maxRepeated {
		r.add(start, fmt.Sprint(i), nil)
	}
	must.Len(t, maxRepeated, r.due(start.Add(repeatEvery)))
}
