package gateway

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/testseed"
	"github.com/chivemill/chivemill/quarantine"
)

// TestCrashingRequestIsRefused answers the pattern of a request that crashes each replica that runs it and comes again:
// the second time nothing is sent, also at a daemon that was only told.
func TestCrashingRequestIsRefused(t *testing.T) {
	for _, path := range []string{"/q/1", "/r/1"} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newGateway(t)
			var told []quarantine.Notice
			g.guard = quarantine.NewGuard(quarantine.DefaultRule(), quarantineTime, publisher(func(n quarantine.Notice) { told = append(told, n) }), nil)
			for id := range f.answer {
				f.answer[id] = after(3*time.Millisecond, Answer{}, failure(backend.ConnectionLost))
			}
			reply := g.Serve(context.Background(), requestTo(path))
			must.NotNil(t, reply.Err)
			first := len(f.all())
			// The notice is published on another goroutine.
			synctest.Wait()
			testseed.Wait(time.Second)
			reply = g.Serve(context.Background(), requestTo(path))
			must.Eq(t, api.Quarantined, reply.Err.Kind, must.Sprint(path))
			must.Len(t, first, f.all())
			must.Len(t, 1, told)

			other, sender := newGateway(t)
			other.Learn(told[0])
			reply = other.Serve(context.Background(), requestTo(path))
			must.Eq(t, api.Quarantined, reply.Err.Kind)
			must.Len(t, 0, sender.all())
			must.Nil(t, other.Serve(context.Background(), requestTo(path+"0")).Err, must.Sprint("other requests are served"))
		})
	}
}

// TestLostAnswersAreNoCrash answers the pattern of replicas that lose two of five answers: queries that some shards
// answer are not quarantined.
func TestLostAnswersAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 4 {
			f.answer[fmt.Sprintf("s%d-0", i)] = after(15*time.Millisecond, Answer{}, failure(backend.ConnectionLost))
		}
		for range 5 {
			must.Nil(t, g.Serve(context.Background(), requestTo("/q/1")).Err)
			testseed.Wait(100 * time.Millisecond)
		}
	})
}

type publisher func(quarantine.Notice)

func (p publisher) Publish(n quarantine.Notice) { p(n) }
