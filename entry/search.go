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

// bind binds a query to the snapshot in use.
func (d *Daemon) bind(q api.Query, p activeProfile) (snapshot.Version, snapshot.ShardMap, error) {
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

// search answers a query over the shards of its snapshot. ctx carries the deadline. The answer is also returned
// with an error that is decided after the shards were queried.
func (d *Daemon) search(ctx context.Context, id string, q api.Query, p activeProfile) (*api.Answer, error) {
	version, shardMap, err := d.bind(q, p)
	if err != nil {
		return nil, err
	}
	runCtx, run, err := d.guard.Admit(ctx, crashFingerprint(q.Service, q.Query), quarantine.Search)
	if err != nil {
		return nil, err
	}
	defer run.Done()
	begin := time.Now()
	if err := d.admit(ctx, q, p, version, shardMap); err != nil {
		return nil, err
	}
	plan := d.plan(id, q, p, version, shardMap)
	attempts := &attemptLog{next: run.WrapSender(d)}
	result := scatter.Run(runCtx, plan, d, attempts)
	d.policyOf(q.Service).admission.Finish(p.Name, time.Since(begin), overloaded(result.Coverage, attempts), time.Now())
	d.metrics.attempts(q.Service, result)
	if errors.Is(context.Cause(runCtx), quarantine.ErrQuarantined) {
		markQuarantined(&result.Coverage)
	}
	answer := &api.Answer{
		RequestID: id, Nonce: q.Nonce, Service: q.Service, Profile: p.Name, Revision: p.revision,
		Snapshot: version, Coverage: result.Coverage, Records: result.Records,
	}
	return answer, checkCoverage(result.Coverage, p, attempts)
}

// plan binds a query to its snapshot and to what the profile allows.
func (d *Daemon) plan(id string, q api.Query, p activeProfile, version snapshot.Version, m snapshot.ShardMap) scatter.Plan {
	budget := d.budgetOf(q.Service, p)
	return scatter.Plan{
		Service: q.Service, Request: id, Query: q.Query, Version: version, ShardMap: m,
		HedgeDelay: d.policyOf(q.Service).hedgeDelay(p, time.Now()), MaxAttempts: p.Retry.MaxAttempts,
		WaitForReplicas: p.Partial != profile.PartialReturn,
		PartialAfter:    p.PartialAfterDuration(), MinPartialCoverage: p.MinCoverage,
		Hedges: budget.Hedges(), Retries: budget.Retries(),
	}
}

// checkCoverage returns the error of an answer below the least coverage. It says that the request was not run only if
// no attempt can have been executed.
func checkCoverage(c api.Coverage, p activeProfile, attempts *attemptLog) error {
	switch {
	case scatter.CoverageReached(c.Fraction, p.MinCoverage):
		return nil
	case !attempts.mayHaveRun():
		return api.Errorf(api.BackendRefused, "every backend server contacted refused before execution")
	default:
		return api.Errorf(api.CoverageTooLow, "coverage %.3f is below the profile's least coverage %.3f", c.Fraction, p.MinCoverage)
	}
}

// admit admits a query or refuses it before anything is sent.
func (d *Daemon) admit(ctx context.Context, q api.Query, p activeProfile, version snapshot.Version, m snapshot.ShardMap) error {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	room, spare := d.registry.AvailableFractions(q.Service, version, m.Shards)
	admission := d.policyOf(q.Service).admission
	admission.SetWeight(p.Name, float64(p.Share))
	query := limit.Query{
		Profile: p.Name, Remaining: deadline.Sub(now), Available: room, AvailableForTwo: spare, MinCoverage: p.MinCoverage,
		MayWait: limit.MayWaitFraction(p.Partial != profile.PartialReturn, len(m.Shards)),
	}
	switch refusal := admission.Admit(query, now); refusal {
	case limit.Admitted:
		return nil
	case limit.RefusedTooLate:
		return api.Errorf(api.Overloaded, "the time left, %s, is less than queries take at present",
			deadline.Sub(now).Round(time.Millisecond))
	case limit.RefusedNoCapacity:
		return api.Errorf(api.Overloaded, "replicas with room cover %.3f, the profile needs %.3f", room, p.MinCoverage)
	default:
		return api.Errorf(api.Overloaded, "the share of profile %q is in use", p.Name)
	}
}

// overloaded reports whether a query met overload: more sheds than one replica explains, or a shard that no replica
// took.
func overloaded(c api.Coverage, attempts *attemptLog) bool {
	if attempts.sheds.Load() >= limit.MinOverloadSheds {
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

// attemptLog records what became of the attempts of one query.
type attemptLog struct {
	next scatter.Sender
	// sheds counts the attempts that replicas shed.
	sheds atomic.Int64
	// unrefused counts the attempts that were started and not certainly refused before execution. An attempt that is
	// still open when the query ends counts, because a backend server may execute it.
	unrefused atomic.Int64
}

// mayHaveRun reports whether a backend server may have executed an attempt.
func (a *attemptLog) mayHaveRun() bool { return a.unrefused.Load() > 0 }

// Send implements scatter.Sender.
func (a *attemptLog) Send(ctx context.Context, replica string, sub backend.SubRequest) (backend.SubResponse, error) {
	a.unrefused.Add(1)
	answer, err := a.next.Send(ctx, replica, sub)
	if err != nil && !mayHaveRun(err) {
		a.unrefused.Add(-1)
	}
	if isShed(err) {
		a.sheds.Add(1)
	}
	return answer, err
}
