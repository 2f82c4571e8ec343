package edge

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestMaxConnections guards the deployments: the limits leave descriptors for the daemon's own connections and are not so low that
// ordinary callers meet them on the smallest VM.
func TestMaxConnections(t *testing.T) {
	for _, c := range []struct {
		memoryMB, descriptors, callers int
	}{
		{136, 4100, 967}, {284, 4100, 1950}, {536, 4100, 1950}, {256, 0, 1820}, {136, 400, 100}, {136, 100, 16},
	} {
		must.Eq(t, c.callers, maxConnections(int64(c.memoryMB)<<20, c.descriptors), must.Sprint(c))
	}
}
