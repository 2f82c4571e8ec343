package edge

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/platform"
)

// replicaObserver counts and logs what platform.ReplicaObserver is told. The log limits the number of its lines. It is safe
// for concurrent use.
type replicaObserver struct {
	log                            *zap.Logger
	mismatched                     metric.Int64Counter
	early, repeated, withoutLength metric.Int64Counter
	mismatchKinds                  map[platform.MismatchKind]metric.MeasurementOption
}

// newReplicaObserver registers the counters. It returns an error if one cannot be registered.
func newReplicaObserver(meter metric.Meter, log *zap.Logger) (*replicaObserver, error) {
	o := &replicaObserver{log: log, mismatchKinds: make(map[platform.MismatchKind]metric.MeasurementOption)}
	for _, kind := range platform.MismatchKinds() {
		o.mismatchKinds[kind] = metric.WithAttributeSet(attribute.NewSet(attribute.String("kind", string(kind))))
	}
	var errs []error
	for _, c := range []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&o.mismatched, "chivemill_mismatched_responses",
			"Responses refused because they do not carry the id of their request, by kind: late_copy, other_id or no_id."},
		{&o.early, "chivemill_early_responses", "Responses received before the first byte of their request was written."},
		{&o.repeated, "chivemill_repeated_request_ids", "Connections closed instead of used for a request, since they have carried one with the same id."},
		{&o.withoutLength, "chivemill_responses_without_length", "Responses whose body ends with the connection."},
	} {
		var err error
		*c.counter, err = meter.Int64Counter(c.name, metric.WithDescription(c.description))
		errs = append(errs, err)
	}
	return o, errors.Join(errs...)
}

// ResponseMismatched implements platform.ReplicaObserver.
func (o *replicaObserver) ResponseMismatched(r platform.MismatchedResponse) {
	o.mismatched.Add(context.Background(), 1, o.mismatchKinds[r.Kind])
	o.log.Warn(eventlog.ResponseMismatched, append(responseFields(r.RequestID, r.Replica, r.Connection),
		zap.String("kind", string(r.Kind)), zap.String("received_id", r.ReceivedID), zap.Int("requests_ago", r.RequestsAgo),
		zap.Int("status", r.Status))...)
}

// ResponseEarly implements platform.ReplicaObserver.
func (o *replicaObserver) ResponseEarly(r platform.EarlyResponse) {
	o.early.Add(context.Background(), 1)
	o.log.Warn(eventlog.ResponseEarly, append(responseFields(r.RequestID, r.Replica, r.Connection),
		zap.String("received_id", r.ReceivedID), zap.Int("status", r.Status), zap.Error(r.Err))...)
}

// RequestIDRepeated implements platform.ReplicaObserver.
func (o *replicaObserver) RequestIDRepeated(r platform.RepeatedRequestID) {
	o.repeated.Add(context.Background(), 1)
	o.log.Warn(eventlog.RequestIDRepeated, append(connectionFields(r.RequestID, r.Replica, r.Connection),
		zap.Int("requests_ago", r.RequestsAgo))...)
}

// ResponseWithoutLength implements platform.ReplicaObserver.
func (o *replicaObserver) ResponseWithoutLength() { o.withoutLength.Add(context.Background(), 1) }

// connectionFields returns the log fields that all events of a connection have.
func connectionFields(request, replica string, use platform.ConnectionUse) []zap.Field {
	return []zap.Field{
		zap.String("request", request), zap.String("replica", replica), zap.Int("requests_on_connection", use.Requests),
		zap.Duration("since_previous_ms", use.SincePrevious),
	}
}

// responseFields returns the log fields of an event about a response.
func responseFields(request, replica string, use platform.ConnectionUse) []zap.Field {
	return append(connectionFields(request, replica, use), zap.Bool("before_write", use.BeforeWrite),
		zap.Int64("unsolicited_bytes", use.UnsolicitedBytes))
}
