package quota

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments are the metrics of an exchange. They are safe for concurrent use.
type instruments struct{ wait metric.Float64Histogram }

// waitBounds are histogram bucket bounds in seconds, between a round trip in a data centre and maxWait.
var waitBounds = []float64{.0005, .001, .002, .005, .01, .02, .03, .045, .06, .08, .1}

func newInstruments(meter metric.Meter, e *Exchange) (*instruments, error) {
	m := &instruments{}
	var errs []error
	var err error
	m.wait, err = meter.Float64Histogram("chivemill_quota_wait", metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(waitBounds...),
		metric.WithDescription("Time for which requests of accounts with a quota waited for their permits; "+
			"those that got one at once are not counted."))
	errs = append(errs, err)
	_, err = meter.Int64ObservableCounter("chivemill_quota_requests",
		metric.WithDescription("Requests of accounts with a quota, by result (admitted, refused) and reason."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			for reason, n := range e.decisions {
				o.Observe(n, metric.WithAttributes(attribute.String("result", reason.result()), attribute.String("reason", string(reason))))
			}
			return nil
		}))
	errs = append(errs, err)
	counter := func(name, description string, read func() float64) {
		_, err := meter.Float64ObservableCounter(name, metric.WithDescription(description),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				e.mu.Lock()
				defer e.mu.Unlock()
				o.Observe(read())
				return nil
			}))
		errs = append(errs, err)
	}
	counter("chivemill_quota_permits_asked", "Permits that this daemon asked pools for.",
		func() float64 { return float64(e.node.counts.PermitsAsked) })
	counter("chivemill_quota_tokens_given", "Tokens that this daemon's pool gave to the pools of other data centres.",
		func() float64 { return e.node.counts.TokensGiven })
	counter("chivemill_quota_tokens_taken", "Tokens that this daemon's pool got from the pools of other data centres.",
		func() float64 { return e.node.counts.TokensTaken })
	counter("chivemill_quota_datagrams_sent", "Datagrams of the exchange of permits that this daemon sent.",
		func() float64 { return float64(e.datagrams.sent) })
	counter("chivemill_quota_datagrams_sent_bytes", "Bytes of these datagrams, without the headers of IP and UDP.",
		func() float64 { return float64(e.datagrams.sentBytes) })
	counter("chivemill_quota_datagrams_received", "Datagrams of the exchange of permits that this daemon received.",
		func() float64 { return float64(e.datagrams.received) })
	return m, errors.Join(errs...)
}

func (m *instruments) recordWait(d time.Duration) { m.wait.Record(context.Background(), d.Seconds()) }

// result returns whether requests with the reason are admitted or refused.
func (r Reason) result() string {
	switch r {
	case PermitHeld, PermitGranted, LocalAllowance:
		return "admitted"
	default:
		return "refused"
	}
}
