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

// TestCrashingRequestIsQuarantined guards against a request that crashes every replica that executes it and is sent
// again: the second time no replica gets it, also on a daemon that only received the notice.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, path := range []string{"/q/1", "/r/1"} {
		synctest.Test(t, func(t *testing.T) {
			g, sender := newGateway(t)
			var notices []quarantine.Notice
			g.quarantines = newQuarantines(quarantine.DefaultRule(), quarantineDuration,
				publisherFunc(func(n quarantine.Notice) { notices = append(notices, n) }), nil)
			for id := range sender.responses {
				sender.responses[id] = respondAfter(3*time.Millisecond, Answer{}, failWith(backend.ConnectionLost))
			}
			reply := g.Serve(context.Background(), newRequest(path))
			must.NotNil(t, reply.Err)
			sentBefore := len(sender.sentTo())
			// The notice is published on another goroutine.
			synctest.Wait()
			testseed.Sleep(time.Second)
			reply = g.Serve(context.Background(), newRequest(path))
			must.Eq(t, api.Quarantined, reply.Err.Kind, must.Sprint(path))
			must.Len(t, sentBefore, sender.sentTo())
			must.Len(t, 1, notices)

			other, otherSender := newGateway(t)
			other.AddRemoteNotice(notices[0])
			reply = other.Serve(context.Background(), newRequest(path))
			must.Eq(t, api.Quarantined, reply.Err.Kind)
			must.Len(t, 0, otherSender.sentTo())
			must.Nil(t, other.Serve(context.Background(), newRequest(path+"0")).Err, must.Sprint("other requests are served"))
		})
	}
}

// TestLostAnswersDoNotQuarantine guards against false positives when replicas lose two of five answers: queries that
// some shards answer are not quarantined.
func TestLostAnswersDoNotQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for i := range 4 {
			f.responses[fmt.Sprintf("s%d-0", i)] = respondAfter(15*time.Millisecond, Answer{}, failWith(backend.ConnectionLost))
		}
		for range 5 {
			must.Nil(t, g.Serve(context.Background(), newRequest("/q/1")).Err)
			testseed.Sleep(100 * time.Millisecond)
		}
	})
}

type publisherFunc func(quarantine.Notice)

func (p publisherFunc) Publish(n quarantine.Notice) { p(n) }
