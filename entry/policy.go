package entry

import (
	"time"

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
	delays    *hedge.Delay
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
			delays: hedge.NewDelay(), admission: limit.NewAdmission(admissionStart, admissionCeiling),
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
	return s.delays.For(p.Hedge.Quantile, p.Hedge.MinDelay.D(), p.Deadline.D(), now)
}
