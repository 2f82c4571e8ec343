package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/balancer"
)

// TestRequestLimitsAreAnsweredWithTimeToReturn guards callers of replicas that name request limits: a request for which the
// limits leave no room is refused at once, nothing is sent, and a caller that returns at the stated time is served.
func TestRequestLimitsAreAnsweredWithTimeToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		view, _ := g.directory.View()
		now := time.Now()
		for _, s := range view.Servers {
			// A query needs 8 of 10 shards; the replicas of three of them and of the orders name limits.
			if s.Service <= "s2" {
				g.balancer.ReportLimit(s.ID, balancer.LimitReport{Statement: balancer.LimitNamed, Rate: 0.5, SentAt: now}, now)
			}
		}
		for path, kind := range map[string]api.Kind{"/q/1": api.Overloaded, "/o/1": api.NoReplica} {
			reply := g.Serve(context.Background(), newRequest(path))
			must.NotNil(t, reply.Err, must.Sprint(path))
			must.Eq(t, kind, reply.Err.Kind)
			must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
			must.Eq(t, now, time.Now(), must.Sprint("refused at once"))
			must.Between(t, minRetryAfterRefusal, reply.Err.RetryAfter, 4*time.Second)
			must.Len(t, 0, f.sentTo())
		}
		reply := g.Serve(context.Background(), newRequest("/q/1"))
		<-time.After(reply.Err.RetryAfter)
		reply = g.Serve(context.Background(), newRequest("/q/1"))
		must.Nil(t, reply.Err)
		must.LessEq(t, 2, reply.Query.MissingShards)
	})
}
