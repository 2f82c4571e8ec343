package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/snapshot"
)

// minDispatchTime is the remaining time below which an order is not dispatched any more: a backend server could
// hardly answer it, and its outcome would be unknown.
const minDispatchTime = 5 * time.Millisecond

const (
	// maxOrderSheds bounds the replicas that shed an order, so that load that one replica sheds is not offered to all.
	maxOrderSheds = 3
	// maxOrderAttempts bounds the replicas that are tried. It is larger, because during a mass restart many replicas
	// refuse while they drain, which costs them nothing.
	maxOrderAttempts = 16
)

// releaseTimeout bounds the release of a claim, which continues when the caller is gone.
const releaseTimeout = 2 * time.Second

// orderMark is what a request's headers say about its execution.
type orderMark struct {
	order bool
	key   oncerun.Key
}

// readOrderMark reads the headers that mark a non-idempotent request. A key without the mark is refused, because
// executing the request as a search could execute it more than once.
func readOrderMark(h http.Header) (orderMark, error) {
	keys := h.Values(api.HeaderKey)
	marks := h.Values(api.HeaderNonIdempotent)
	marked := false
	if len(marks) > 0 {
		value, err := strconv.ParseBool(marks[0])
		if err != nil || len(marks) > 1 {
			return orderMark{}, api.FieldErrorf(api.BadRequest, api.HeaderNonIdempotent, "%q is not true or false", marks)
		}
		marked = value
	}
	switch {
	case !marked && len(keys) > 0:
		return orderMark{}, api.FieldErrorf(api.BadRequest, api.HeaderKey, "needs %s: true", api.HeaderNonIdempotent)
	case !marked:
		return orderMark{}, nil
	}
	key, err := oncerun.ParseKey(keys)
	return orderMark{order: true, key: key}, err
}

// orderPath executes non-idempotent requests. It is safe for concurrent use.
type orderPath struct {
	runner *oncerun.Runner
	guard  *quarantine.Guard
	picker scatter.Picker
	sender scatter.Sender
}

// run claims the key, dispatches the request to one replica and returns its output. Errors are *api.Error. ctx
// carries the deadline.
func (o *orderPath) run(ctx context.Context, id string, q api.Query, key oncerun.Key) (string, error) {
	fingerprint := oncerun.Fingerprint(q.Service, q.Query)
	claim, err := o.runner.Claim(ctx, key, fingerprint)
	if err != nil {
		return "", err
	}
	// The claim comes first: a resend of the order that crashed a backend server may have run, and is answered
	// already_dispatched instead of quarantined.
	_, watch, err := o.guard.Admit(ctx, crashFingerprint(q.Service, q.Query), quarantine.Order)
	if err != nil {
		o.release(ctx, claim)
		return "", err
	}
	defer watch.Done()
	// A dispatched order is not cancelled when its caller goes away, because its outcome would become unknown.
	deadline, _ := ctx.Deadline()
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	sub := backend.SubRequest{Service: q.Service, Request: id, Query: q.Query, Key: key.String()}
	answer, err := o.dispatch(ctx, sendCtx, sub, watch.WrapSender(o.sender))
	if err == nil {
		return answer.Output, nil
	}
	var refusal *api.Error
	if errors.As(err, &refusal) && refusal.Kind.Outcome().Run == api.RunNever {
		o.release(sendCtx, claim)
	}
	return "", err
}

func (o *orderPath) release(ctx context.Context, claim *oncerun.Claim) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	// A claim that cannot be released expires; until then a resend is answered already_dispatched.
	_ = claim.Release(ctx)
}

// dispatch sends the order until one replica may have executed it. Only a replica that was sent nothing or that
// refused before execution is followed by another one. caller ends when the caller is gone or the deadline
// passes; ctx only at the deadline.
func (o *orderPath) dispatch(caller, ctx context.Context, sub backend.SubRequest, sender scatter.Sender) (backend.SubResponse, error) {
	var tried []string
	var last error
	sheds := 0
	for {
		if err := caller.Err(); err != nil && len(tried) == 0 {
			return backend.SubResponse{}, api.Wrap(api.StoreUnavailable, err, "the request ended during its claim and was not dispatched")
		}
		if deadline, _ := ctx.Deadline(); caller.Err() != nil || time.Until(deadline) < minDispatchTime {
			return backend.SubResponse{}, api.Wrap(api.BackendRefused, lastOr(last, context.DeadlineExceeded),
				"no time is left; no backend server executed the request")
		}
		if sheds == maxOrderSheds || len(tried) == maxOrderAttempts {
			return backend.SubResponse{}, api.Wrap(api.BackendRefused, last, "no backend server accepted the request")
		}
		target, ok := o.picker.Pick(sub.Service, snapshot.Version{}, "", tried)
		if !ok {
			return backend.SubResponse{}, api.Wrap(api.BackendRefused, lastOr(last, errNoReplica), "no backend server accepted the request")
		}
		tried = append(tried, target.ID)
		sub.Attempt = sub.Request + "/" + strconv.Itoa(len(tried))
		begin := time.Now()
		answer, err := sender.Send(ctx, target.ID, sub)
		target.Done(time.Since(begin), err)
		if err == nil {
			return answer, nil
		}
		if mayHaveRun(err) {
			return backend.SubResponse{}, api.Wrap(api.OutcomeUnknown, err, "the request was dispatched and its outcome is not known")
		}
		if isShed(err) {
			sheds++
		}
		last = err
	}
}

// isShed reports whether the replica refused because of its load.
func isShed(err error) bool {
	var e *backend.Error
	return errors.As(err, &e) && e.Refusal.Reason == backend.RefusedShedding
}

var errNoReplica = errors.New("no replica accepts work")

func lastOr(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// mayHaveRun reports whether the backend server may have executed the order. Errors of unknown type count.
func mayHaveRun(err error) bool {
	var e *backend.Error
	return !errors.As(err, &e) || e.MayHaveExecuted()
}

// WaitOrders waits until the claims of refused orders are released. A shutdown calls it after the last request, so
// that their resends through other daemons are not answered already_dispatched.
func (d *Daemon) WaitOrders() { d.orders.runner.Close() }

// serveOrder answers a checked non-idempotent request.
func (d *Daemon) serveOrder(ctx context.Context, id string, q api.Query, p activeProfile, key oncerun.Key) (*api.Answer, error) {
	output, err := d.orders.run(ctx, id, q, key)
	if err != nil {
		return nil, err
	}
	return &api.Answer{
		RequestID: id, Nonce: q.Nonce, Service: q.Service, Profile: p.Name, Revision: p.revision,
		Coverage: api.Coverage{Included: []string{}, Missing: []api.MissingShard{}, Fraction: 1, Complete: true},
		Records:  []api.Record{}, Output: output,
	}, nil
}
