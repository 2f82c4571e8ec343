package edge

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMaxConnections guards the deployments: the limits leave descriptors for the daemon's own connections and are not so low that
// ordinary callers meet them on the smallest VM.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors, callers, internal int
	}{
		{136, 4100, 828, 621}, {284, 4100, 1731, 975}, {536, 4100, 1950, 975}, {256, 0, 1560, 1170}, {136, 400, 100, 50}, {136, 100, 16, 16},
	} {
		callers, internal := maxConnections(int64(c.memoryMB)<<20, c.descriptors)
		must.Eq(t, c.callers, callers, must.Sprint(c))
		must.Eq(t, c.internal, internal, must.Sprint(c))
	}
}
