package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
)

// TestUnneededAttemptKeepsConnection guards second attempts against connections that are always new. Cancelling an attempt closes its
// connection; a replica in another region then answers no second attempt in time, since each one opens a connection first. An attempt
// whose shard has been answered may therefore still end by itself for attemptLinger, unless other requests wait at its replica.
func TestUnneededAttemptKeepsConnection(t *testing.T) {
	const answerTime = 20 * time.Millisecond
	hedgedAfter := hedgeDelay(300*time.Millisecond, 30*time.Millisecond)
	for name, c := range map[string]struct {
		slowAnswer time.Duration
		othersWait bool
		// cancelledAfter is when the slow attempt is cancelled, 0 if it is not.
		cancelledAfter time.Duration
	}{
		"answered soon after": {slowAnswer: hedgedAfter + answerTime + attemptLinger/2},
		"silent":              {slowAnswer: time.Second, cancelledAfter: hedgedAfter + answerTime + attemptLinger},
		"others wait":         {slowAnswer: time.Second, othersWait: true, cancelledAfter: hedgedAfter + answerTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g, f := newGateway(t)
				begin := time.Now()
				var cancelledAfter time.Duration
				f.responses["s0-0"] = func(ctx context.Context) (Answer, error) {
					select {
					case <-time.After(c.slowAnswer):
						return Answer{Status: 200, Body: make([]byte, 16), Signature: "late"}, nil
					case <-ctx.Done():
						cancelledAfter = time.Since(begin)
						return Answer{}, &backend.Error{Failure: backend.TimedOut, Cause: ctx.Err()}
					}
				}
				if c.othersWait {
					time.AfterFunc(hedgedAfter, func() {
						g.balancer.ReportLoad("s0-0", balancer.Load{Running: 4, Waiting: 1, Slots: 4}, time.Now())
					})
				}
				reply := g.Serve(context.Background(), newRequest("/q/1"))
				must.Nil(t, reply.Err)
				must.Eq(t, 0, reply.Query.MissingShards)
				must.SliceNotContains(t, reply.Query.Signatures, "late")
				time.Sleep(time.Second)
				must.Eq(t, c.cancelledAfter, cancelledAfter)
			})
		})
	}
}

// TestUnneededAttemptIsNotSent guards against work for a replica after its shard has been answered: an attempt that still waits for a
// connection then must not be sent, though its context lasts longer.
func TestUnneededAttemptIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		f.connect = func(context.Context) error {
			time.Sleep(340 * time.Millisecond) // longer than the target latency
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), 320*time.Millisecond)
		defer cancel()
		reply := g.Serve(ctx, newRequest("/q/1"))
		must.NotNil(t, reply.Err)
		time.Sleep(time.Second)
		must.SliceEmpty(t, f.sentTo())
	})
}

// TestUnneededAttemptIsNoEvidence guards sound requests against quarantine: a replica that crashes because of another request, after the
// shard of a sound one has been answered, must not count as a loss of the sound one.
func TestUnneededAttemptIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		for _, replica := range []string{"s0-0", "s1-0", "s2-0", "s3-0"} {
			f.responses[replica] = func(context.Context) (Answer, error) {
				// The second attempt is answered before the connection is lost.
				time.Sleep(hedgeDelay(300*time.Millisecond, 30*time.Millisecond) + 30*time.Millisecond)
				return Answer{}, failWith(backend.ConnectionLost)
			}
		}
		for range 5 {
			must.Nil(t, g.Serve(context.Background(), newRequest("/q/1")).Err)
			time.Sleep(time.Second)
		}
		must.SliceEmpty(t, g.Notices())
	})
}
