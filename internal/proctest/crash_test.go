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

// resendPause is the time after which callers resend in the model of the decision page.
const resendPause = 50 * time.Millisecond

// Guards against a request that takes down the service: it crashes each backend server that runs it, and its caller
// resends it five times through other daemons. The first wave is one attempt per shard; the rule notices the third
// loss, so at most two lost attempts are followed by another one.
func TestCrashingRequestIsContained(t *testing.T) {
	const shards, resends = 6, 5
	f := start(t, proctest.Options{Shards: shards, Replicas: 3, Entries: 3})
	var seen []string
	for i := range 1 + resends {
		must.NoError(t, proctest.Until(waitLimit, passed(resendPause)))
		r, err := f.Query(f.Entries[i%len(f.Entries)], fmt.Sprint(i), standin.CrashQuery)
		must.NoError(t, err)
		must.False(t, r.Status == 200 && r.Answer.Coverage.Complete)
		if r.Error.Kind == api.Quarantined {
			must.Eq(t, api.RunNever, r.Error.Run)
		}
		seen = append(seen, fmt.Sprintf("%s: %d %s, %d crashed", f.Entries[i%len(f.Entries)].Name, r.Status, r.Error.Kind, f.Crashed()))
	}
	t.Log(seen)
	must.LessEq(t, shards+2, f.Crashed(), must.Sprint(seen))
}
