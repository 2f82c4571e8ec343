package bench

import (
	"time"

	"github.com/chivemill/chivemill/hedge"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/replica"
)

// Strategy selects which parts of the decision code a run uses.
type Strategy struct {
	Name          string
	ReplicaPolicy replica.Policy
	// Hedges, Budgets, ConnectionShares, WaitForReplicas, PartialAnswers and Admission turn on hedged requests, the
	// budgets of hedges and retries, connection shares, waiting for replicas, partial answers and admission control.
	Hedges, Budgets, ConnectionShares, WaitForReplicas, PartialAnswers, Admission bool
	// MaxAttempts overrides the profile's number of attempts; 0 keeps it.
	MaxAttempts int
	// IdleConnections is the number of idle connections that a daemon keeps to each replica, within its share.
	IdleConnections int
	// Dominant places each sub-request by its dominant resource, with a dominantPlacer.
	Dominant bool
}

// BaselineStrategy returns the strategy that others are compared with: a uniformly random replica, no hedge, one retry,
// no budget.
func BaselineStrategy() Strategy {
	return Strategy{Name: "baseline", ReplicaPolicy: replica.Policy{Choice: replica.ChoiceUniform}, MaxAttempts: 2}
}

// DefaultStrategy returns the strategy that daemons use.
func DefaultStrategy() Strategy {
	return Strategy{
		Name: "policy", ReplicaPolicy: replica.DefaultPolicy(),
		Hedges: true, Budgets: true, ConnectionShares: true, WaitForReplicas: true, PartialAnswers: true, Admission: true,
		IdleConnections: 2,
	}
}

func (s Strategy) admit(d *daemon, st *serviceState, q *query) limit.Refusal {
	shards := st.plan.ShardMap.Shards
	if q.shards > 0 {
		shards = shards[:q.shards]
	}
	available, availableForTwo := d.registry.AvailableFractions(st.plan.Service, st.plan.Version, shards)
	return st.admission.Admit(limit.Query{
		Profile: q.profile, Remaining: q.service.Profile.Deadline, Available: available, AvailableForTwo: availableForTwo,
		RequiredCoverage: q.service.Profile.RequiredCoverage, MayWait: limit.MayWaitFraction(st.plan.WaitForReplicas, len(shards)),
	}, d.sim.time())
}

func (s Strategy) finish(a *limit.Admission, q *query, took time.Duration, overloaded bool, now time.Time) {
	a.Finish(q.profile, took, overloaded, now)
}

// budget returns the budget of a profile, or nil if the strategy does not limit hedges and retries.
func (st *serviceState) budget(profile string, strategy Strategy) *hedge.Budget {
	if !strategy.Budgets {
		return nil
	}
	b, ok := st.budgets[profile]
	if !ok {
		b = hedge.NewBudget(st.service.Profile.HedgeBudget, st.service.Profile.RetryBudget)
		st.budgets[profile] = b
	}
	return b
}
