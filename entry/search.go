package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/profile"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// bindSnapshot returns the selected snapshot of the query's service and its shard map.
func (d *Daemon) bindSnapshot(q api.Query, p activeProfile) (snapshot.Version, snapshot.ShardMap, error) {
	holdings := d.registry.AvailableHoldings(q.Service)
	d.mu.Lock()
	defer d.mu.Unlock()
	catalogue := d.catalogue(q.Service)
	version, shardMap, ok := catalogue.Current()
	switch {
	case !ok:
		return version, shardMap, api.Errorf(api.NoSnapshot, "no snapshot of service %q is known", q.Service)
	case p.Snapshot == profile.SnapshotRequireComplete && !catalogue.Complete(holdings):
		return version, shardMap, api.Errorf(api.NoSnapshot,
			"no snapshot of service %q is complete, which the profile requires", q.Service)
	}
	return version, shardMap, nil
}

// search scatters a query over the shards of its snapshot and gathers the answer. ctx carries the deadline. An error
// that is determined after the shards were queried is returned together with the answer.
func (d *Daemon) search(ctx context.Context, id string, q api.Query, p activeProfile) (*api.Answer, error) {
	version, shardMap, err := d.bindSnapshot(q, p)
	if err != nil {
		return nil, err
	}
	runCtx, run, err := d.guard.Admit(ctx, crashFingerprint(q.Service, q.Query), quarantine.Search)
	if err != nil {
		return nil, err
	}
	defer run.Done()
	start := time.Now()
	if err := d.admitQuery(ctx, q, p, version, shardMap); err != nil {
		return nil, err
	}
	plan := d.buildPlan(id, q, p, version, shardMap)
	attempts := &attemptTracker{next: run.WrapSender(d)}
	result := scatter.Run(runCtx, plan, d, attempts)
	d.serviceStateFor(q.Service).admission.Finish(p.Name, time.Since(start), sawOverload(result.Coverage, attempts), time.Now())
	d.metrics.recordSubRequests(q.Service, result)
	if errors.Is(context.Cause(runCtx), quarantine.ErrQuarantined) {
		markQuarantined(&result.Coverage)
	}
	answer := &api.Answer{
		RequestID: id, Nonce: q.Nonce, Service: q.Service, Profile: p.Name, ProfileRevision: p.revision,
		Snapshot: version, Coverage: result.Coverage, Records: result.Records,
	}
	return answer, checkCoverage(result.Coverage, p, attempts)
}

// buildPlan returns the scatter plan of a query, with the limits of the profile.
func (d *Daemon) buildPlan(id string, q api.Query, p activeProfile, version snapshot.Version, m snapshot.ShardMap) scatter.Plan {
	budget := d.budgetFor(q.Service, p)
	return scatter.Plan{
		Service: q.Service, Request: id, Query: q.Query, Version: version, ShardMap: m,
		HedgeDelay: d.serviceStateFor(q.Service).hedgeDelay(p, time.Now()), MaxAttempts: p.Retry.MaxAttempts,
		WaitForReplicas: p.Partial != profile.PartialReturn,
		PartialAfter:    p.PartialAfterDuration(), MinPartialCoverage: p.RequiredCoverage,
		Hedges: budget.Hedges(), Retries: budget.Retries(),
	}
}

// checkCoverage returns an error if the coverage is below the profile's minimum. The error states that the request was
// not executed only if no attempt can have been executed.
func checkCoverage(c api.Coverage, p activeProfile, attempts *attemptTracker) error {
	switch {
	case scatter.CoverageReached(c.Fraction, p.RequiredCoverage):
		return nil
	case !attempts.mayHaveExecuted():
		return api.Errorf(api.BackendRefused, "every backend server contacted refused before execution")
	default:
		return api.Errorf(api.CoverageTooLow, "coverage %.3f is below the profile's least coverage %.3f", c.Fraction, p.RequiredCoverage)
	}
}

// admitQuery applies the service's admission limit. It refuses a query before any sub-request is sent.
func (d *Daemon) admitQuery(ctx context.Context, q api.Query, p activeProfile, version snapshot.Version, m snapshot.ShardMap) error {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	available, availableForTwo := d.registry.AvailableFractions(q.Service, version, m.Shards)
	admission := d.serviceStateFor(q.Service).admission
	admission.SetWeight(p.Name, float64(p.Share))
	query := limit.Query{
		Profile: p.Name, Remaining: deadline.Sub(now), Available: available, AvailableForTwo: availableForTwo, RequiredCoverage: p.RequiredCoverage,
		MayWait: limit.MayWaitFraction(p.Partial != profile.PartialReturn, len(m.Shards)),
	}
	switch refusal := admission.Admit(query, now); refusal {
	case limit.Admitted:
		return nil
	case limit.RefusedTooLate:
		return api.Errorf(api.Overloaded, "the time left, %s, is less than queries take at present",
			deadline.Sub(now).Round(time.Millisecond))
	case limit.RefusedNoCapacity:
		return api.Errorf(api.Overloaded, "replicas with room cover %.3f, the profile needs %.3f", available, p.RequiredCoverage)
	default:
		return api.Errorf(api.Overloaded, "the share of profile %q is in use", p.Name)
	}
}

// sawOverload reports whether a query indicates that its service is overloaded: more attempts were shed than a single
// overloaded replica explains, or no replica accepted a shard.
func sawOverload(c api.Coverage, attempts *attemptTracker) bool {
	if attempts.shedCount.Load() >= limit.MinOverloadSheds {
		return true
	}
	for _, m := range c.Missing {
		if m.Reason == api.MissingNoReplica || m.Reason == api.MissingRefused {
			return true
		}
	}
	return false
}

func markQuarantined(c *api.Coverage) {
	for i := range c.Missing {
		c.Missing[i].Reason = api.MissingQuarantined
	}
}

// attemptTracker wraps a sender and counts the outcomes of the attempts of one query.
type attemptTracker struct {
	next scatter.Sender
	// shedCount is the number of attempts that replicas refused to shed load.
	shedCount atomic.Int64
	// possiblyExecuted is the number of started attempts that are not known to be refused before execution. It includes
	// attempts that are open when the query ends, because a backend server may still execute them.
	possiblyExecuted atomic.Int64
}

// mayHaveExecuted reports whether a backend server may have executed an attempt.
func (a *attemptTracker) mayHaveExecuted() bool { return a.possiblyExecuted.Load() > 0 }

// Send implements scatter.Sender.
func (a *attemptTracker) Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error) {
	a.possiblyExecuted.Add(1)
	answer, err := a.next.Send(ctx, replica, sub)
	if err != nil && !mayHaveExecuted(err) {
		a.possiblyExecuted.Add(-1)
	}
	if isShed(err) {
		a.shedCount.Add(1)
	}
	return answer, err
}
