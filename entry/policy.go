package entry

import (
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/limit"
)

const (
	// admissionStart is the number of queries in flight per service that a new daemon admits before it has seen
	// whether the backend servers shed load.
	admissionStart = 30
	// admissionCeiling bounds the queries in flight per service and daemon.
	admissionCeiling = 1000
)

// servicePolicy is what a daemon has learned of a service: its latencies, what it can take, and the budgets of the
// profiles that it ran under.
type servicePolicy struct {
	delays    *hedge.LatencyHistogram
	admission *limit.Admission
	budgets   map[string]*hedge.Budget
}

// policyOf returns the policy state of a service.
func (d *Daemon) policyOf(service string) *servicePolicy {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.policies[service]
	if !ok {
		p = &servicePolicy{
			delays: hedge.NewLatencyHistogram(), admission: limit.NewAdmission(admissionStart, admissionCeiling),
			budgets: make(map[string]*hedge.Budget),
		}
		d.policies[service] = p
	}
	return p
}

// budgetOf returns the service's budget under the profile, at the profile's present rates.
func (d *Daemon) budgetOf(service string, p activeProfile) *hedge.Budget {
	policy := d.policyOf(service)
	hedges, retries := p.Hedge.Budget, p.Retry.Budget
	if !p.Hedge.Enabled {
		hedges = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := policy.budgets[p.Name]
	if !ok {
		b = hedge.NewBudget(hedges, retries)
		policy.budgets[p.Name] = b
	}
	b.SetRates(hedges, retries)
	return b
}

// hedgeDelay returns the wait before a hedge, or 0 for none.
func (s *servicePolicy) hedgeDelay(p activeProfile, now time.Time) time.Duration {
	if !p.Hedge.Enabled {
		return 0
	}
	return s.delays.HedgeDelay(p.Hedge.Quantile, p.Hedge.MinDelay.D(), p.Deadline.D(), now)
}

// noDeadline is the remaining time for an admission that is not about time.
const noDeadline = time.Hour

// admitRequest admits a request to this daemon. The requests in flight are shared by the profiles' weights, so that a
// flood of one service leaves the others their part. finish is called at the end of an admitted request.
func (d *Daemon) admitRequest(p activeProfile) (finish func(), err error) {
	begin := time.Now()
	d.total.SetWeight(p.Name, float64(p.Share))
	query := limit.Query{Profile: p.Name, Remaining: noDeadline, Available: 1, AvailableForTwo: 1}
	if refusal := d.total.Admit(query, begin); refusal != limit.Admitted {
		return nil, api.Errorf(api.Overloaded, "%d requests are in flight and the share of profile %q is in use", d.InFlight(), p.Name)
	}
	return func() { d.total.Finish(p.Name, time.Since(begin), false, time.Now()) }, nil
}
