package gateway

import (
	"cmp"
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/limit"
)

// latencyBounds are histogram bucket bounds in seconds, denser around the target latencies of routes.
var latencyBounds = []float64{
	.005, .01, .02, .03, .05, .075, .1, .125, .15, .2, .25, .3, .4, .5, .6, .8, 1, 1.5, 2.5, 4, 6, 10,
}

// coverageBounds are histogram bucket bounds of the covered fraction. An answer above 0.9999 is complete.
var coverageBounds = []float64{0, .25, .5, .75, .8, .85, .9, .95, .98, .9999, 1}

// Kinds of request in metrics and logs.
const (
	kindQuery  = "query"
	kindSingle = "single"
)

// Results of a request in metrics and logs, in addition to the error kinds.
const (
	resultOK          = "ok"
	resultPartial     = "partial"
	resultPassedError = "passed_error"
	resultCallerLeft  = "caller_left"
)

// instruments are the metrics of a gateway. They are safe for concurrent use.
type instruments struct {
	duration    metric.Float64Histogram
	coverage    metric.Float64Histogram
	requests    metric.Int64Counter
	subRequests metric.Int64Counter
	outcomes    metric.Int64Counter
	// failures counts failed attempts by failure, parts the complete responses of replicas to shards of queries by status
	// class.
	failures metric.Int64Counter
	parts    metric.Int64Counter
	denied   metric.Int64Counter
	// admission counts the queries on whose admission this daemon decided, by priority and result.
	admission metric.Int64Counter
	// lossVerdicts counts the requests that lost connections to replicas by quarantine.Verdict.
	lossVerdicts metric.Int64Counter
	// limitedAttempts counts the attempts to replicas that name a request limit.
	limitedAttempts metric.Int64Counter
	// withheld counts the attempts that were not sent because the caller had left.
	withheld metric.Int64Counter
	// delegated counts the groups of shards that were delegated to helpers.
	delegated metric.Int64Counter
	// egress and egressBytes count the requests that left the data centre and the bytes of their bodies and answers, held the
	// requests that were kept although a replica elsewhere had a lower cost.
	egress, egressBytes, held metric.Int64Counter
	// panics counts recovered panics by the place where they occurred.
	panics metric.Int64Counter

	// attributeSets caches attribute sets, whose construction costs more than the counting.
	attributeSets sync.Map
}

type attributeSetKey struct{ a, b, c string }

func newInstruments(meter metric.Meter, g *Gateway) (*instruments, error) {
	m := &instruments{}
	var errs []error
	collect := func(err error) { errs = append(errs, err) }
	var err error
	m.duration, err = meter.Float64Histogram("chivemill_request_duration", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...),
		metric.WithDescription("Time from receipt of a request to its answer, by service (the route), profile (query or single) and result."))
	collect(err)
	m.coverage, err = meter.Float64Histogram("chivemill_coverage_ratio",
		metric.WithExplicitBucketBoundaries(coverageBounds...),
		metric.WithDescription("Fraction of the shards in the answer to a query, by service (the route) and profile; failed queries included."))
	collect(err)
	m.requests, err = meter.Int64Counter("chivemill_requests",
		metric.WithDescription("Requests by service (the route), profile and result: ok, partial, passed_error, caller_left or an error kind."))
	collect(err)
	m.subRequests, err = meter.Int64Counter("chivemill_sub_requests",
		metric.WithDescription("Sub-requests to replicas by cause: first, hedge, retry (after a failure) or resend (after a refusal without execution)."))
	collect(err)
	m.outcomes, err = meter.Int64Counter("chivemill_sub_request_outcomes",
		metric.WithDescription("Ended sub-requests by outcome: answered, refused, failed, broken, abandoned or gone."))
	collect(err)
	m.failures, err = meter.Int64Counter("chivemill_sub_request_failures",
		metric.WithDescription("Failed sub-requests by failure: a failure class such as mismatched, or cancelled or deadline."))
	collect(err)
	m.parts, err = meter.Int64Counter("chivemill_parts",
		metric.WithDescription("Complete responses of replicas to shards of queries, by status class such as 2xx; only successes become parts."))
	collect(err)
	m.denied, err = meter.Int64Counter("chivemill_budget_denied",
		metric.WithDescription("Hedges and retries that a service's budget refused."))
	collect(err)
	m.admission, err = meter.Int64Counter("chivemill_admission",
		metric.WithDescription("Queries on whose admission this daemon decided, by priority and result: "+
			"admitted, load, rank (in favour of a higher priority) or burst."))
	collect(err)
	m.lossVerdicts, err = meter.Int64Counter("chivemill_lost_connection_verdicts",
		metric.WithDescription("Requests that lost connections to replicas, by verdict: below_threshold, answered, recently_answered, unreachable, ambiguous, pending or quarantined."))
	collect(err)
	m.limitedAttempts, err = meter.Int64Counter("chivemill_limited_sub_requests",
		metric.WithDescription("Sub-requests to replicas that name a request limit, by attempt: first, or extra for hedges and retries."))
	collect(err)
	m.withheld, err = meter.Int64Counter("chivemill_sub_requests_withheld",
		metric.WithDescription("Sub-requests that were not sent because their caller had left."))
	collect(err)
	m.delegated, err = meter.Int64Counter("chivemill_delegated",
		metric.WithDescription("Sets of shards passed to helpers by outcome: answered, refused, silent, abandoned or isolated."))
	collect(err)
	m.egress, err = meter.Int64Counter("chivemill_egress_requests",
		metric.WithDescription("Requests that left the data centre, by reason: "+
			"no_replica, evacuated, extra (hedges and retries), faster, share, delegated or relayed."))
	collect(err)
	m.egressBytes, err = meter.Int64Counter("chivemill_egress_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of the bodies of requests that left the data centre and of their answers, by reason."))
	collect(err)
	m.held, err = meter.Int64Counter("chivemill_egress_held",
		metric.WithDescription("Requests kept in the data centre although a replica elsewhere had a lower cost."))
	collect(err)
	m.panics, err = meter.Int64Counter("chivemill_panics",
		metric.WithDescription("Panics that ended one request, attempt or exchange with a helper and not the process, by where they came up."))
	collect(err)
	collect(registerGauges(meter, g))
	return m, errors.Join(errs...)
}

func registerGauges(meter metric.Meter, g *Gateway) error {
	var errs []error
	gauge := func(name, help string, read func(now time.Time, observe func(v float64, attrs ...attribute.KeyValue))) {
		_, err := meter.Float64ObservableGauge(name, metric.WithDescription(help),
			metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
				read(time.Now(), func(v float64, attrs ...attribute.KeyValue) { o.Observe(v, metric.WithAttributes(attrs...)) })
				return nil
			}))
		errs = append(errs, err)
	}
	type observer = func(v float64, attrs ...attribute.KeyValue)
	gauge("chivemill_in_flight", "Callers' requests in flight.", func(_ time.Time, observe observer) { observe(float64(g.InFlight())) })
	gauge("chivemill_answer_buffer_bytes", "Bytes of answers that wait until their callers have received them, with the room reserved for those to come.",
		func(_ time.Time, observe observer) { observe(float64(g.answers.Used())) })
	gauge("chivemill_ready", "1 while the daemon takes requests.", func(_ time.Time, observe observer) {
		if g.Ready() {
			observe(1)
		} else {
			observe(0)
		}
	})
	gauge("chivemill_isolated", "1 while the daemon is partitioned from all replicas.", func(_ time.Time, observe observer) {
		if g.isIsolated() {
			observe(1)
		} else {
			observe(0)
		}
	})
	gauge("chivemill_configuration_version", "Version of the configuration in force; 0 if none is known.",
		func(_ time.Time, observe observer) {
			if view, _ := g.directory.View(); view.Table != nil {
				observe(float64(view.Table.Version()))
			} else {
				observe(0)
			}
		})
	gauge("chivemill_list_age_seconds", "Time since the store confirmed the replica list; -1 if it is not known.",
		func(now time.Time, observe observer) {
			if view, _ := g.directory.View(); view.Generation > 0 {
				observe(now.Sub(view.ReadAt).Seconds())
			} else {
				observe(-1)
			}
		})
	gauge("chivemill_daemons", "Counted daemons by data centre.", func(_ time.Time, observe observer) {
		view, _ := g.directory.View()
		for name, centre := range view.DataCentres {
			observe(float64(centre.Daemons), attribute.String("data_centre", name))
		}
	})
	gauge("chivemill_budget_left", "Extra sub-requests that the budget allows now, by service.", func(now time.Time, observe observer) {
		for service, left := range g.BudgetsLeft(now) {
			observe(left, attribute.String("service", service))
		}
	})
	gauge("chivemill_delegated_in_flight", "Sets of shards of other daemons' queries in flight.", func(_ time.Time, observe observer) {
		observe(float64(g.delegatedInFlight.Load()))
	})
	gauge("chivemill_egress_share", "Share of the requests that leaves the data centre, by service, while the near replicas are crowded.",
		func(_ time.Time, observe observer) {
			for service, share := range g.balancer.EgressShares() {
				observe(share, attribute.String("service", service))
			}
		})
	gauge("chivemill_replicas", "Replicas by state: ready, draining, paused (broken or silent), refusing, slow or gone.",
		func(now time.Time, observe observer) {
			counts := make(map[string]int)
			for _, s := range g.balancer.Statuses(now) {
				counts[s.Condition()]++
			}
			for _, condition := range balancer.Conditions() {
				observe(float64(counts[condition]), attribute.String("state", condition))
			}
		})
	_, err := meter.Int64ObservableCounter("chivemill_budget_spent",
		metric.WithDescription("Extra sub-requests taken from the budget, by service."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for service, spent := range g.BudgetsSpent() {
				o.Observe(spent, metric.WithAttributes(attribute.String("service", service)))
			}
			return nil
		}))
	return errors.Join(append(errs, err)...)
}

// labels returns the attributes for a route, a kind and a result.
func (m *instruments) labels(route, kind, result string) metric.MeasurementOption {
	key := attributeSetKey{route, kind, result}
	if o, ok := m.attributeSets.Load(key); ok {
		return o.(metric.MeasurementOption)
	}
	var attrs []attribute.KeyValue
	for _, a := range []struct{ name, value string }{{"service", route}, {"profile", kind}, {"result", result}} {
		if a.value != "" {
			attrs = append(attrs, attribute.String(a.name, a.value))
		}
	}
	o := metric.WithAttributeSet(attribute.NewSet(attrs...))
	m.attributeSets.Store(key, o)
	return o
}

// label returns a single attribute.
func (m *instruments) label(name, value string) metric.MeasurementOption {
	key := attributeSetKey{name, value, "="}
	if o, ok := m.attributeSets.Load(key); ok {
		return o.(metric.MeasurementOption)
	}
	o := metric.WithAttributeSet(attribute.NewSet(attribute.String(name, value)))
	m.attributeSets.Store(key, o)
	return o
}

// recordRequest counts a finished request and its duration.
func (m *instruments) recordRequest(route, kind, result string, elapsed time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, m.labels(route, kind, result))
	m.duration.Record(ctx, elapsed.Seconds(), m.labels(route, kind, result))
}

// recordAdmission counts a decision on the admission of a query.
func (m *instruments) recordAdmission(rank int, refusal limit.Refusal) {
	key := attributeSetKey{strconv.Itoa(rank), string(refusal), "admission"}
	o, ok := m.attributeSets.Load(key)
	if !ok {
		o = metric.WithAttributeSet(attribute.NewSet(attribute.String("priority", key.a),
			attribute.String("result", cmp.Or(key.b, "admitted"))))
		m.attributeSets.Store(key, o)
	}
	m.admission.Add(context.Background(), 1, o.(metric.MeasurementOption))
}

// recordLimitedAttempt counts an attempt to a replica that names a request limit; isExtra is set for a hedge or retry.
func (m *instruments) recordLimitedAttempt(isExtra bool) {
	attempt := "first"
	if isExtra {
		attempt = "extra"
	}
	m.limitedAttempts.Add(context.Background(), 1, m.label("attempt", attempt))
}

// recordSubRequests counts the sub-requests of a request.
func (m *instruments) recordSubRequests(sent, hedges, retries, resends, denied int) {
	ctx := context.Background()
	m.subRequests.Add(ctx, int64(sent-hedges-retries), m.label("cause", "first"))
	if hedges > 0 {
		m.subRequests.Add(ctx, int64(hedges), m.label("cause", "hedge"))
	}
	if retries > resends {
		m.subRequests.Add(ctx, int64(retries-resends), m.label("cause", "retry"))
	}
	if resends > 0 {
		m.subRequests.Add(ctx, int64(resends), m.label("cause", "resend"))
	}
	if denied > 0 {
		m.denied.Add(ctx, int64(denied))
	}
}
