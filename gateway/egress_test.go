package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
)

// Guards against traffic between data centres that is not counted, or counted under another reason.
func TestEgressIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newObservedGateway(t)
		g.balancer.SetEvacuated([]string{"near"}, time.Now())
		g.balancer.SetServers([]balancer.Server{
			{ID: "o-0", Service: "o", Address: "10.0.0.1:1", Slots: 4, DataCentre: "near"},
			{ID: "o-1", Service: "o", Address: "10.0.0.1:1", Slots: 4, DataCentre: "far", Distance: balancer.SameRegion},
		}, time.Now())
		request := newRequest("/o/1")
		request.Body = []byte("0123456789")
		must.Nil(t, g.Serve(t.Context(), request).Err)
		text := g.metricsText()
		must.StrContains(t, text, `chivemill_egress_requests_total{reason="evacuated"} 1`)
		must.StrContains(t, text, `chivemill_egress_bytes_total{reason="evacuated"} 26`)

		g.balancer.SetEvacuated(nil, time.Now())
		must.Nil(t, g.Serve(t.Context(), newRequest("/o/2")).Err)
		must.Eq(t, []string{"o-1", "o-0"}, g.replicas.sentTo())
		must.StrContains(t, g.metricsText(), `chivemill_egress_requests_total{reason="evacuated"} 1`)
	})
}

// Guards against requests to helpers in other data centres that are not counted as leaving, and against those in this data
// centre that are.
func TestEgressToHelpersIsCounted(t *testing.T) {
	for distance, counted := range map[balancer.Distance]bool{balancer.SameDataCentre: false, balancer.SameRegion: true} {
		synctest.Test(t, func(t *testing.T) {
			g := newObservedGateway(t)
			r := &run{gateway: g.Gateway, request: newRequest("/q/1")}
			r.request.Body = []byte("0123456789")
			helper := delegation.Helper{Address: "h", Distance: distance}
			r.recordHelperRequest(helper, egressDelegated)
			r.recordHelperAnswer(helper, egressDelegated, 20)
			text := g.metricsText()
			if !counted {
				must.StrNotContains(t, text, "chivemill_egress")
				return
			}
			must.StrContains(t, text, `chivemill_egress_requests_total{reason="delegated"} 1`)
			must.StrContains(t, text, `chivemill_egress_bytes_total{reason="delegated"} 30`)
		})
	}
}

// Guards against requests that the control holds near and nothing shows.
func TestHeldRequestsAreCounted(t *testing.T) {
	g := newObservedGateway(t)
	r := &run{gateway: g.Gateway, request: newRequest("/q/1")}
	r.recordChoice(balancer.Choice{IsHeld: true})
	must.StrContains(t, g.metricsText(), "chivemill_egress_held_total 1")
	must.StrNotContains(t, g.metricsText(), "chivemill_egress_requests_total{")
	r.recordChoice(balancer.Choice{Server: balancer.Server{ID: "a"}, Egress: balancer.EgressShare})
	r.recordExchangedBytes("s", "a", Answer{})
	must.StrContains(t, g.metricsText(), `chivemill_egress_requests_total{reason="share"} 1`)
	must.MapEmpty(t, g.balancer.EgressShares())
}
