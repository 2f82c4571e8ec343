package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/internal/httpjson"
	"github.com/chivemill/chivemill/internal/ingress"
	"github.com/chivemill/chivemill/internal/reception"
)

// queryCopies is how often a query is in memory while it is decoded: the body, the decoder's buffer, which doubles as it grows, and the
// decoded query.
const queryCopies = 4

// runningCopies is how often a query is in memory while it runs: decoded, and in a message to another daemon.
const runningCopies = 2

// callerHandler returns the handler of the callers' interface.
func (d *Daemon) callerHandler() http.Handler {
	const queryPattern = "POST " + api.QueryPath
	mux := http.NewServeMux()
	mux.HandleFunc(queryPattern, d.handleQuery)
	mux.HandleFunc("GET /readyz", d.handleReady)
	// Queries receive their own bodies. Without this, net/http would wait for the rest of a body that no handler reads.
	others := d.ports.Callers.Bodies().Handler(maxUnusedBodyBytes, mux)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern == queryPattern {
			mux.ServeHTTP(w, r)
			return
		}
		others.ServeHTTP(w, r)
	})
}

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handleQuery receives a request and answers it. It counts as in flight from the end of its body on.
func (d *Daemon) handleQuery(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	w.Header().Set(api.HeaderRequestID, id)
	start := time.Now()
	q, err := d.receiveQuery(w, r)
	defer q.body.Release()
	fail := func(err error, answer *api.Answer) {
		d.recordRequest(q.Service, time.Since(start), answer, err)
		d.writeError(w, id, err, answer)
	}
	if err != nil {
		fail(err, nil)
		return
	}
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	room, ok := d.answers.Reserve(d.boundService(q.Service))
	if !ok {
		fail(api.Errorf(api.Overloaded, "answers that wait for their callers use the memory for them"), nil)
		return
	}
	defer room.Release()
	answer, err := d.answer(r, id, q)
	if err != nil {
		fail(err, answer)
		return
	}
	d.recordRequest(q.Service, time.Since(start), answer, nil)
	answer.EndMarker = id
	data, err := httpjson.Encode(answer)
	if err != nil {
		d.writeError(w, id, err, nil)
		return
	}
	room.Resize(int64(len(data)))
	httpjson.WriteEncoded(w, http.StatusOK, data)
}

func (d *Daemon) writeError(w http.ResponseWriter, id string, err error, answer *api.Answer) {
	var e *api.Error
	if !errors.As(err, &e) {
		e = api.Wrap(api.Internal, err, "unexpected error")
	}
	outcome := e.Kind.Outcome()
	body := api.ErrorBody{
		RequestID: id, Kind: e.Kind, Field: e.Field, Message: e.Message,
		Run: outcome.Run, Retry: outcome.Retry, RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
	if answer != nil {
		body.Coverage = &answer.Coverage
	}
	if outcome.Retry == api.RetryLater {
		wait := max(time.Second, e.RetryAfter)
		w.Header().Set("Retry-After", strconv.Itoa(int((wait+time.Second-1)/time.Second)))
	}
	d.log.Info("request failed", zap.String("request", id), zap.String("kind", string(e.Kind)), zap.Error(err))
	httpjson.Write(w, outcome.Status, body)
}

// receivedQuery is a request that has been received, with the memory that it holds until it has been answered.
type receivedQuery struct {
	api.Query
	headers idempotencyHeaders
	body    reception.Body
}

// receiveQuery receives and validates a request. The caller releases its body, also after an error.
func (d *Daemon) receiveQuery(w http.ResponseWriter, r *http.Request) (q receivedQuery, err error) {
	if q.headers, err = parseIdempotencyHeaders(r.Header); err != nil {
		return q, err
	}
	if q.body, err = d.ports.Callers.Bodies().Receive(w, r, d.cfg.MaxBodyBytes); err != nil {
		return q, ingress.RefusalError(err, d.cfg.MaxBodyBytes)
	}
	if q.Query, err = decodeQuery(q.body.Bytes); err != nil {
		return q, err
	}
	q.body.Retain(runningCopies * int64(len(q.Query.Query)))
	if q.headers.nonIdempotent && q.Query.Query == "" {
		return q, api.FieldErrorf(api.BadRequest, "query", "is required for a non-idempotent request")
	}
	return q, nil
}

// decodeQuery decodes and validates the body of a request.
func decodeQuery(body []byte) (api.Query, error) {
	var q api.Query
	err := httpjson.Decode(body, &q)
	switch {
	case err != nil:
		return q, api.FieldErrorf(api.BadRequest, "body", "%v", err)
	case q.Service == "":
		return q, api.FieldErrorf(api.BadRequest, "service", "is required")
	case q.DeadlineMS < 0:
		return q, api.FieldErrorf(api.DeadlinePast, "deadline_ms", "%d ms is already past", q.DeadlineMS)
	}
	return q, nil
}

// unboundService stands for all services without a binding, so that callers cannot create time series or other state by their names.
const unboundService = "unknown"

// boundService returns the service, or unboundService if it has no binding.
func (d *Daemon) boundService(service string) string {
	if _, bound, _ := d.profileFor(service); !bound {
		return unboundService
	}
	return service
}

// recordRequest records the metrics of an answered request.
func (d *Daemon) recordRequest(service string, elapsed time.Duration, answer *api.Answer, err error) {
	p, _, _ := d.profileFor(service)
	service = d.boundService(service)
	d.metrics.recordRequest(requestResult{service: service, profile: p.Name, elapsed: elapsed, answer: answer, err: err})
}

// answer answers a request, within its deadline and the daemon's limit of requests in flight.
func (d *Daemon) answer(r *http.Request, id string, q receivedQuery) (*api.Answer, error) {
	p, bound, found := d.profileFor(q.Service)
	switch {
	case !bound:
		return nil, api.FieldErrorf(api.UnknownService, "service", "no service %q is bound to a profile", q.Service)
	case !found || p.retired:
		return nil, api.Errorf(api.NoProfile, "the profile of service %q is not available", q.Service)
	}
	deadline := p.Deadline.AsDuration()
	if q.DeadlineMS > 0 {
		deadline = min(deadline, time.Duration(q.DeadlineMS)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	finish, err := d.admitRequest(p)
	if err != nil {
		return nil, err
	}
	defer finish()
	if q.headers.nonIdempotent {
		return d.serveNonIdempotent(ctx, id, q.Query, p, q.headers.key)
	}
	return d.search(ctx, id, q.Query, p)
}
