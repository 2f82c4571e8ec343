package gateway

import (
	"context"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
)

// Reasons of requests that leave the data centre for a helper, in addition to balancer.EgressReason.
const (
	// egressDelegated means shards of a query that a helper in another data centre answers, egressRelayed a request to a single
	// replica that it sends.
	egressDelegated balancer.EgressReason = "delegated"
	egressRelayed   balancer.EgressReason = "relayed"
)

// requestClass returns the class of the run's requests to replicas.
func (r *run) requestClass() balancer.RequestClass {
	return balancer.RequestClass{Kind: r.route.Name, TargetLatency: r.route.TargetLatency, Regions: r.regions}
}

// recordChoice counts an attempt that leaves the data centre or is kept there, and remembers why it leaves for recordExchangedBytes.
func (r *run) recordChoice(choice balancer.Choice) {
	m := r.gateway.metrics
	if choice.IsHeld {
		m.held.Add(context.Background(), 1)
	}
	if choice.Egress == balancer.StaysNear {
		return
	}
	m.egress.Add(context.Background(), 1, m.label("reason", string(choice.Egress)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.egress == nil {
		r.egress = make(map[string]balancer.EgressReason)
	}
	r.egress[choice.ID] = choice.Egress
}

// recordExchangedBytes records the size of the bodies of a request that was sent to a replica and of its answer with the balancer, and
// counts it in the metrics if the request left the data centre.
func (r *run) recordExchangedBytes(service, replica string, answer Answer) {
	n := len(r.request.Body) + len(answer.Body)
	if answer.Status != 0 {
		r.gateway.balancer.RecordSize(service, r.requestClass(), n)
	}
	r.mu.Lock()
	reason, leaves := r.egress[replica]
	r.mu.Unlock()
	if leaves {
		r.gateway.metrics.recordEgressBytes(reason, n)
	}
}

// recordHelperRequest counts a request to a helper in another data centre.
func (r *run) recordHelperRequest(helper delegation.Helper, reason balancer.EgressReason) {
	if helper.Distance == balancer.SameDataCentre {
		return
	}
	m := r.gateway.metrics
	m.egress.Add(context.Background(), 1, m.label("reason", string(reason)))
	m.recordEgressBytes(reason, len(r.request.Body))
}

// recordHelperAnswer counts the body of an answer, or of a part of one, from a helper in another data centre.
func (r *run) recordHelperAnswer(helper delegation.Helper, reason balancer.EgressReason, bytes int) {
	if helper.Distance != balancer.SameDataCentre {
		r.gateway.metrics.recordEgressBytes(reason, bytes)
	}
}

// recordEgressBytes counts bytes that crossed the boundary of the data centre.
func (m *instruments) recordEgressBytes(reason balancer.EgressReason, bytes int) {
	m.egressBytes.Add(context.Background(), int64(bytes), m.label("reason", string(reason)))
}
