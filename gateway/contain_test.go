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

// TestPanicsEndOneRequestOnly guards the process, and its other requests, against an unexpected value in one answer, one
// exchange with a helper, or one request. Without the recoveries each of them ends the process.
func TestPanicsEndOneRequestOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, f := newGateway(t)
		f.answer["s1-0"] = func(context.Context) (Answer, error) { panic("unexpected value") }
		reply := g.Serve(context.Background(), requestTo("/q/1"))
		must.Nil(t, reply.Err)
		must.Eq(t, 0, reply.Query.Missing, must.Sprint("the other replica answers"))
		f.answer["o-0"], f.answer["o-1"], f.answer["o-2"] = f.answer["s1-0"], f.answer["s1-0"], f.answer["s1-0"]
		reply = g.Serve(context.Background(), requestTo("/o/1"))
		must.Eq(t, api.OutcomeUnknown, reply.Err.Kind, must.Sprint("a replica may have executed it"))

		draw := g.draw
		g.draw = func() float64 { panic("unexpected state") }
		reply = g.Serve(context.Background(), requestTo("/q/1"))
		must.Eq(t, api.Internal, reply.Err.Kind)
		g.draw = draw
		must.Eq(t, 0, g.InFlight())
	})
	synctest.Test(t, func(t *testing.T) {
		g, sender, f := newDelegating(t)
		f.answer = func(context.Context, delegation.Query, time.Duration, func(delegation.Part)) error {
			panic("unexpected message")
		}
		reply := g.Serve(t.Context(), requestTo("/q/1"))
		must.Eq(t, api.RunMaybe, reply.Err.Kind.Outcome().Run)
		must.Len(t, 0, sender.all())
	})
}
