package gateway

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/topology"
)

// newRestrictedGateway returns a gateway whose routes may be served in region "n" only. The replicas with the numbers in
// outside are in another region.
func newRestrictedGateway(t *testing.T, regions []string, outside ...string) (*Gateway, *fakeSender) {
	g, f := newGateway(t)
	view, _ := g.directory.View()
	config := view.Table.Config()
	config.Version++
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Regions = regions
	}
	_, err := g.directory.SetConfig(config)
	must.NoError(t, err)
	servers := slices.Clone(view.Servers)
	for i, s := range servers {
		servers[i].Region = "n"
		if slices.Contains(outside, s.ID[strings.LastIndex(s.ID, "-")+1:]) {
			servers[i].Region = "s"
		}
	}
	g.directory.SetServers(topology.List{Servers: servers, ReadAt: time.Now().Add(time.Millisecond)})
	g.balancer.SetServers(servers, time.Now())
	return g, f
}

// TestRestrictedRequestsStayInRegions guards data that may be served in some regions only: the first attempt, hedges and
// retries go to replicas there, even if all of them are slow or fail.
func TestRestrictedRequestsStayInRegions(t *testing.T) {
	for name, respond := range map[string]func(context.Context) (Answer, error){
		"slow":    respondAfter(5*time.Second, Answer{}, nil),
		"failing": respondAfter(time.Millisecond, Answer{}, failWith(backend.ServerError)),
		"refused": respondAfter(time.Millisecond, Answer{}, failWith(backend.Refused)),
		"unsent":  respondAfter(time.Millisecond, Answer{}, failWith(backend.NotSent)),
	} {
		for _, path := range []string{"/q/1", "/o/1", "/r/1"} {
			synctest.Test(t, func(t *testing.T) {
				g, f := newRestrictedGateway(t, []string{"n"}, "1", "2")
				for id := range f.responses {
					if strings.HasSuffix(id, "-0") {
						f.responses[id] = respond
					}
				}
				g.Serve(context.Background(), newRequest(path))
				must.Positive(t, len(f.sentTo()))
				for _, id := range f.sentTo() {
					must.StrHasSuffix(t, "-0", id, must.Sprint(name, path))
				}
			})
		}
	}
}

// TestUnservableRestrictionIsRefusedAtOnce guards callers against waiting for a request that no allowed region can serve: it
// is refused at once and states when to return.
func TestUnservableRestrictionIsRefusedAtOnce(t *testing.T) {
	for _, path := range []string{"/q/1", "/o/1"} {
		synctest.Test(t, func(t *testing.T) {
			g, f := newRestrictedGateway(t, []string{"elsewhere"})
			begin := time.Now()
			reply := g.Serve(context.Background(), newRequest(path))
			must.NotNil(t, reply.Err)
			must.Eq(t, api.RunNever, reply.Err.Kind.Outcome().Run)
			must.Positive(t, reply.Err.RetryAfter)
			must.Eq(t, begin, time.Now())
			must.Len(t, 0, f.sentTo())
		})
	}
}

// TestUnknownRegionIsNotAllowed guards data that may be served in some regions only against a replica whose data centre is in no
// known region.
func TestUnknownRegionIsNotAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newRestrictedGateway(t, []string{"n"})
		view, _ := g.directory.View()
		servers := slices.Clone(view.Servers)
		for i := range servers {
			servers[i].Region = ""
		}
		g.balancer.SetServers(servers, time.Now())
		reply := g.Serve(context.Background(), newRequest("/o/1"))
		must.NotNil(t, reply.Err)
		must.Len(t, 0, f.sentTo())
		_, ok := g.balancer.Pick("o", balancer.RequestClass{Kind: "k", TargetLatency: time.Second}, nil, time.Now())
		must.True(t, ok, must.Sprint("an unrestricted request may use it"))
	})
}
