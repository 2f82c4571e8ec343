package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/delegation"
)

// TestPanicFailsOnlyOneRequest guards against a panic that ends the process and with it all other requests: an
// unexpected value in a replica's answer, in an exchange with a helper, or in the state of one request.
func TestPanicFailsOnlyOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		f.responses["s1-0"] = func(context.Context) (Answer, error) { panic("unexpected value") }
		reply := g.Serve(context.Background(), newRequest("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 0, reply.Query.MissingShards, must.Sprint("the other replica answers"))
		f.responses["o-0"], f.responses["o-1"], f.responses["o-2"] = f.responses["s1-0"], f.responses["s1-0"], f.responses["s1-0"]
		reply = g.Serve(context.Background(), newRequest("/o/1"))
		must.Eq(t, api.OutcomeUnknown, reply.Err.Kind, must.Sprint("a replica may have executed it"))

		random := g.random
		g.random = func() float64 { panic("unexpected state") }
		reply = g.Serve(context.Background(), newRequest("/q/1"))
		must.Eq(t, api.Internal, reply.Err.Kind)
		g.random = random
		must.Eq(t, 0, g.InFlight())
	})
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegatingGateway(t)
		f.respond = func(context.Context, delegation.Query, time.Duration, func(delegation.PartialAnswer)) error {
			panic("unexpected message")
		}
		reply := g.Serve(t.Context(), newRequest("/q/1"))
		must.Eq(t, api.RunMaybe, reply.Err.Kind.Outcome().Run)
		must.Len(t, 0, sender.sentTo())
	})
}
