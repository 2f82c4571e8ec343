package proctest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/proctest"
	standin "github.com/chivemill/chivemill/internal/standin/backend"
)

// resendDelay is the delay before a caller resends a request, as in package crashmodel.
const resendDelay = 50 * time.Millisecond

// Guards against a request that takes down a whole service: it crashes each backend server that executes it, and its
// caller resends it five times through other daemons. The first attempts reach one replica of each shard. The
// quarantine rule acts on the third lost attempt, so at most two lost attempts may be retried on another replica.
func TestCrashingRequestIsContained(t *testing.T) {
	const shards, resends = 6, 5
	f := start(t, proctest.Options{Shards: shards, Replicas: 3, Entries: 3})
	var outcomes []string
	for i := range 1 + resends {
		must.NoError(t, proctest.WaitUntil(waitTimeout, elapsed(resendDelay)))
		r, err := f.Query(f.Entries[i%len(f.Entries)], fmt.Sprint(i), standin.CrashQuery)
		must.NoError(t, err)
		must.False(t, r.Status == 200 && r.Answer.Coverage.Complete)
		if r.Error.Kind == api.Quarantined {
			must.Eq(t, api.RunNever, r.Error.Run)
		}
		outcomes = append(outcomes, fmt.Sprintf("%s: status %d, error %q, %d crashed", f.Entries[i%len(f.Entries)].Name, r.Status,
			r.Error.Kind, f.CountExited()))
	}
	t.Log(outcomes)
	must.LessEq(t, shards+2, f.CountExited(), must.Sprint(outcomes))
}
