package entry

import (
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/limit"
)

const (
	// initialAdmissionLimit is the number of queries in flight per service that a new daemon admits until it has
	// observed whether the backend servers shed load.
	initialAdmissionLimit = 30
	// maxAdmissionLimit is the upper bound of the queries in flight per service and daemon.
	maxAdmissionLimit = 1000
)

// serviceState holds a daemon's observations of a service: its latencies, its admission limit, and the hedge and retry
// budgets by name of the profile.
type serviceState struct {
	latencies *hedge.LatencyHistogram
	admission *limit.Admission
	budgets   map[string]*hedge.Budget
}

// serviceStateFor returns the state of a service and creates it on first use.
func (d *Daemon) serviceStateFor(service string) *serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.serviceStates[service]
	if !ok {
		state = &serviceState{
			latencies: hedge.NewLatencyHistogram(), admission: limit.NewAdmission(initialAdmissionLimit, maxAdmissionLimit),
			budgets: make(map[string]*hedge.Budget),
		}
		d.serviceStates[service] = state
	}
	return state
}

// budgetFor returns the service's budget under the profile, with the rates updated from the profile.
func (d *Daemon) budgetFor(service string, p activeProfile) *hedge.Budget {
	state := d.serviceStateFor(service)
	hedges, retries := p.Hedge.Budget, p.Retry.Budget
	if !p.Hedge.Enabled {
		hedges = 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := state.budgets[p.Name]
	if !ok {
		b = hedge.NewBudget(hedges, retries)
		state.budgets[p.Name] = b
	}
	b.SetRates(hedges, retries)
	return b
}

// hedgeDelay returns the delay before a hedge is sent, or 0 if hedging is disabled.
func (s *serviceState) hedgeDelay(p activeProfile, now time.Time) time.Duration {
	if !p.Hedge.Enabled {
		return 0
	}
	return s.latencies.HedgeDelay(p.Hedge.Quantile, p.Hedge.MinDelay.AsDuration(), p.Deadline.AsDuration(), now)
}

// unlimitedTime is the remaining time passed to an admission check that must not depend on the deadline.
const unlimitedTime = time.Hour

// admitRequest applies the daemon-wide limit on requests in flight. The limit is divided by the weights of the
// profiles, so that a flood of requests for one service does not starve the others. The caller calls finish at the end
// of an admitted request.
func (d *Daemon) admitRequest(p activeProfile) (finish func(), err error) {
	start := time.Now()
	d.daemonAdmission.SetWeight(p.Name, float64(p.Share))
	query := limit.Query{Profile: p.Name, Remaining: unlimitedTime, Available: 1, AvailableForTwo: 1}
	if refusal := d.daemonAdmission.Admit(query, start); refusal != limit.Admitted {
		return nil, api.Errorf(api.Overloaded, "%d requests are in flight and the share of profile %q is in use", d.InFlight(), p.Name)
	}
	return func() { d.daemonAdmission.Finish(p.Name, time.Since(start), false, time.Now()) }, nil
}
