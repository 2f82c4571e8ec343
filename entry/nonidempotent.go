package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/dispatch"
	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// minDispatchTime is the remaining time below which a non-idempotent request is no longer dispatched: a backend server
// would probably not answer in time, and the outcome would be unknown.
const minDispatchTime = 5 * time.Millisecond

const (
	// maxDispatchSheds bounds the replicas that shed a request, so that load shed by one replica is not offered to all.
	maxDispatchSheds = 3
	// maxDispatchAttempts bounds the replicas that are tried. It is larger than maxDispatchSheds because during a mass
	// restart many replicas refuse while they drain, which costs them nothing.
	maxDispatchAttempts = 16
)

// releaseTimeout bounds the release of a claim, which continues after the caller has disconnected.
const releaseTimeout = 2 * time.Second

// idempotencyHeaders holds the parsed headers that control how often a request may be executed.
type idempotencyHeaders struct {
	nonIdempotent bool
	key           oncerun.Key
}

// parseIdempotencyHeaders reads the idempotency key and the flag of a non-idempotent request. A key without the flag is
// rejected, because a search may execute the request more than once.
func parseIdempotencyHeaders(h http.Header) (idempotencyHeaders, error) {
	keys := h.Values(api.HeaderIdempotencyKey)
	flags := h.Values(api.HeaderNonIdempotent)
	nonIdempotent := false
	if len(flags) > 0 {
		value, err := strconv.ParseBool(flags[0])
		if err != nil || len(flags) > 1 {
			return idempotencyHeaders{}, api.FieldErrorf(api.BadRequest, api.HeaderNonIdempotent, "%q is not true or false", flags)
		}
		nonIdempotent = value
	}
	switch {
	case !nonIdempotent && len(keys) > 0:
		return idempotencyHeaders{}, api.FieldErrorf(api.BadRequest, api.HeaderIdempotencyKey, "needs %s: true", api.HeaderNonIdempotent)
	case !nonIdempotent:
		return idempotencyHeaders{}, nil
	}
	key, err := oncerun.ParseKey(keys)
	return idempotencyHeaders{nonIdempotent: true, key: key}, err
}

// nonIdempotentRunner executes each non-idempotent request at most once. It is safe for concurrent use.
type nonIdempotentRunner struct {
	runner *oncerun.Runner
	guard  *quarantine.Guard
	picker scatter.Picker
	sender scatter.Sender
}

// run claims the key, dispatches the request to one replica and returns its output. Errors are *api.Error. ctx carries
// the deadline.
func (r *nonIdempotentRunner) run(ctx context.Context, id string, q api.Query, key oncerun.Key) (string, error) {
	fingerprint := oncerun.Fingerprint(q.Service, q.Query)
	claim, err := r.runner.Claim(ctx, key, fingerprint)
	if err != nil {
		return "", err
	}
	// The claim precedes the quarantine check: the first send of a request that crashed a backend server may have been
	// executed, so a resend must be answered already_dispatched and not quarantined.
	_, run, err := r.guard.Admit(ctx, crashFingerprint(q.Service, q.Query), quarantine.Order)
	if err != nil {
		r.release(ctx, claim)
		return "", err
	}
	defer run.Done()
	// A dispatched request is not cancelled when its caller disconnects, because its outcome would become unknown. The gate
	// withholds it before.
	deadline, _ := ctx.Deadline()
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	gate, sendCtx := dispatch.NewGate(sendCtx, ctx)
	defer gate.Release()
	sendCtx = dispatch.NewContext(sendCtx, gate)
	sub := backend.SubRequest{Service: q.Service, Request: id, Query: q.Query, Key: key.String()}
	answer, err := r.dispatch(ctx, sendCtx, sub, run.WrapSender(r.sender))
	if err == nil {
		return answer.Output, nil
	}
	var refusal *api.Error
	if errors.As(err, &refusal) && refusal.Kind.Outcome().Run == api.RunNever {
		r.release(sendCtx, claim)
	}
	return "", err
}

func (r *nonIdempotentRunner) release(ctx context.Context, claim *oncerun.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// A claim that cannot be released expires; until then a resend is answered already_dispatched.
	_ = claim.Release(ctx)
}

// dispatch tries replicas one after another until one may have executed the request. It tries another one only if
// nothing was sent to the previous replica or if that one refused before execution. callerCtx ends when the caller
// disconnects or the deadline passes, ctx only at the deadline.
func (r *nonIdempotentRunner) dispatch(callerCtx, ctx context.Context, sub backend.SubRequest,
	sender scatter.Sender) (backend.SubResponse, error) {
	var tried []string
	var lastErr error
	shedCount := 0
	for {
		if err := callerCtx.Err(); err != nil && len(tried) == 0 {
			return backend.SubResponse{}, api.Wrap(api.StoreUnavailable, err, "the request ended during its claim and was not dispatched")
		}
		if deadline, _ := ctx.Deadline(); callerCtx.Err() != nil || time.Until(deadline) < minDispatchTime {
			return backend.SubResponse{}, api.Wrap(api.BackendRefused, errOr(lastErr, context.DeadlineExceeded),
				"no time is left; no backend server executed the request")
		}
		if shedCount == maxDispatchSheds || len(tried) == maxDispatchAttempts {
			return backend.SubResponse{}, api.Wrap(api.BackendRefused, lastErr, "no backend server accepted the request")
		}
		target, ok := r.picker.Pick(sub.Service, snapshot.Version{}, "", tried)
		if !ok {
			return backend.SubResponse{}, api.Wrap(api.BackendRefused, errOr(lastErr, errNoReplica),
				"no backend server accepted the request")
		}
		tried = append(tried, target.ID)
		sub.Attempt = sub.Request + "/" + strconv.Itoa(len(tried))
		start := time.Now()
		answer, err := sender.Send(ctx, target.ID, sub)
		if callerCtx.Err() != nil && backend.FailureOf(err) == backend.NotSent {
			// The caller left while the request waited to be sent, for which the replica is not to blame.
			target.Done(time.Since(start), context.Canceled)
		} else {
			target.Done(time.Since(start), err)
		}
		if err == nil {
			return answer, nil
		}
		if mayHaveExecuted(err) {
			return backend.SubResponse{}, api.Wrap(api.OutcomeUnknown, err, "the request was dispatched and its outcome is not known")
		}
		if isShed(err) {
			shedCount++
		}
		lastErr = err
	}
}

// isShed reports whether the replica refused the request to shed load.
func isShed(err error) bool {
	var e *backend.Error
	return errors.As(err, &e) && e.Refusal.Reason == backend.RefusedShedding
}

var errNoReplica = errors.New("no replica accepts work")

// errOr returns err, or fallback if err is nil.
func errOr(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// mayHaveExecuted reports whether the backend server may have executed the request. Errors of other types than
// *backend.Error count as possibly executed.
func mayHaveExecuted(err error) bool {
	var e *backend.Error
	return !errors.As(err, &e) || e.MayHaveExecuted()
}

// WaitForClaimReleases waits until the claims of refused non-idempotent requests are released. Shutdown calls it after
// the last request; otherwise their resends through other daemons would be answered already_dispatched.
func (d *Daemon) WaitForClaimReleases() { d.nonIdempotent.runner.Close() }

// serveNonIdempotent executes a validated non-idempotent request and builds its answer.
func (d *Daemon) serveNonIdempotent(ctx context.Context, id string, q api.Query, p activeProfile, key oncerun.Key) (*api.Answer, error) {
	output, err := d.nonIdempotent.run(ctx, id, q, key)
	if err != nil {
		return nil, err
	}
	return &api.Answer{
		RequestID: id, Nonce: q.Nonce, Service: q.Service, Profile: p.Name, ProfileRevision: p.revision,
		Coverage: api.Coverage{Included: []string{}, Missing: []api.MissingShard{}, Fraction: 1, Complete: true},
		Records:  []api.Record{}, Output: output,
	}, nil
}
