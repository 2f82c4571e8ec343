package entry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/chivemill/chivemill/api"
	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/scatter"
)

// latencyBounds are the bucket bounds of the latency histogram, in seconds. They are dense between 5 ms and 1 s, where
// the latency objectives of the profiles lie.
var latencyBounds = []float64{
	.001, .0025, .005, .01, .02, .03, .05, .075, .1, .15, .2, .25, .3, .35, .4, .5, .75, 1, 2.5, 5, 10, 60,
}

// coverageBounds are the bucket bounds of the coverage histogram. An answer above 0.9999 counts as complete.
var coverageBounds = []float64{0, .25, .5, .7, .8, .9, .95, .99, .999, .9999, 1}

// Metrics holds the instruments that the entry daemon records to.
type Metrics struct {
	duration    metric.Float64Histogram
	coverage    metric.Float64Histogram
	requests    metric.Int64Counter
	subRequests metric.Int64Counter
}

// NewMetrics creates the instruments and registers gauges that read the daemon's state on collection.
func NewMetrics(meter metric.Meter, d *Daemon) (*Metrics, error) {
	var errs []error
	addErr := func(err error) { errs = append(errs, err) }
	m := &Metrics{}
	var err error
	m.duration, err = meter.Float64Histogram("chivemill_request_duration",
		metric.WithUnit("s"), metric.WithExplicitBucketBoundaries(latencyBounds...),
		metric.WithDescription("Time from receipt of a request to its answer, by service, profile and result."))
	addErr(err)
	m.coverage, err = meter.Float64Histogram("chivemill_coverage_ratio",
		metric.WithExplicitBucketBoundaries(coverageBounds...),
		metric.WithDescription("Fraction of the key space in the answer to a query, by service and profile; answers below the least coverage included."))
	addErr(err)
	m.requests, err = meter.Int64Counter("chivemill_requests",
		metric.WithDescription("Requests by service, profile and result: ok, partial, or an error kind."))
	addErr(err)
	m.subRequests, err = meter.Int64Counter("chivemill_sub_requests",
		metric.WithDescription("Sub-requests to backend servers by service and cause: first, hedge or retry."))
	addErr(err)
	addErr(registerGauges(meter, d))
	return m, errors.Join(errs...)
}

func registerGauges(meter metric.Meter, d *Daemon) error {
	var errs []error
	gauge := func(name, help string, read func(o metric.Int64Observer)) {
		_, err := meter.Int64ObservableGauge(name, metric.WithDescription(help),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				read(o)
				return nil
			}))
		errs = append(errs, err)
	}
	gauge("chivemill_in_flight", "Callers' requests in flight.", func(o metric.Int64Observer) { o.Observe(d.InFlight()) })
	gauge("chivemill_ready", "1 while the daemon reports that it is ready.",
		func(o metric.Int64Observer) { o.Observe(boolToInt(d.Ready())) })
	gauge("chivemill_config_revision", "Highest configuration revision in force.", func(o metric.Int64Observer) {
		o.Observe(d.peers.runner.Status().Revision)
	})
	gauge("chivemill_config_age_milliseconds", "Time since the configuration was last confirmed by a live watch; -1 if unknown.",
		d.observeConfigAge)
	gauge("chivemill_config_watching", "1 while the daemon watches the store itself.", func(o metric.Int64Observer) {
		o.Observe(boolToInt(d.peers.runner.Status().Watching))
	})
	gauge("chivemill_budget_needed", "Needed sub-requests that earned extra ones, by service and profile, since the start.",
		d.observeBudget(func(needed, _ int64) int64 { return needed }))
	gauge("chivemill_budget_extra", "Hedges and retries taken from the budget, by service and profile, since the start.",
		d.observeBudget(func(_, extra int64) int64 { return extra }))
	gauge("chivemill_members", "Known entry daemons by state.", d.observeMembers)
	gauge("chivemill_membership_events", "Events of the membership since the start, by event.", d.observeMembershipEvents)
	gauge("chivemill_membership_bytes", "Bytes of membership datagrams since the start, by direction.", d.observeMembershipBytes)
	gauge("chivemill_quarantined", "Requests that are refused because they crash backend servers.", func(o metric.Int64Observer) {
		o.Observe(int64(len(d.guard.Notices())))
	})
	gauge("chivemill_profile_revision", "Revision in force of each profile.", d.observeProfiles)
	gauge("chivemill_backend_connections", "Open connections to backend servers, by service.", d.observeConnections)
	gauge("chivemill_backend_replicas", "Known replicas, by service and whether they accept work.", d.observeReplicas)
	return errors.Join(errs...)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (d *Daemon) observeProfiles(o metric.Int64Observer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.profiles {
		o.Observe(p.revision, metric.WithAttributes(attribute.String("profile", name)))
	}
}

func (d *Daemon) observeConfigAge(o metric.Int64Observer) {
	status := d.peers.runner.Status()
	if status.State == confsync.Unknown {
		o.Observe(-1)
		return
	}
	o.Observe(status.ConfirmationAge.Milliseconds())
}

func (d *Daemon) observeBudget(selectCount func(needed, extra int64) int64) func(metric.Int64Observer) {
	return func(o metric.Int64Observer) {
		d.mu.Lock()
		defer d.mu.Unlock()
		for service, state := range d.serviceStates {
			for name, b := range state.budgets {
				o.Observe(selectCount(b.Counts()), metric.WithAttributes(attribute.String("service", service),
					attribute.String("profile", name)))
			}
		}
	}
}

func (d *Daemon) observeMembers(o metric.Int64Observer) {
	counts := make(map[string]int64)
	for _, m := range d.peers.transport.Members() {
		counts[m.State.String()]++
	}
	for state, n := range counts {
		o.Observe(n, metric.WithAttributes(attribute.String("state", state)))
	}
}

func (d *Daemon) observeMembershipEvents(o metric.Int64Observer) {
	stats := d.peers.transport.Stats()
	var invalid uint64
	for _, n := range stats.Invalid {
		invalid += n
	}
	for event, n := range map[string]uint64{
		"suspicion": stats.Suspicions, "failure": stats.Failures, "refutation": stats.Refutations,
		"full": stats.OverLimit, "invalid": invalid,
	} {
		o.Observe(int64(n), metric.WithAttributes(attribute.String("event", event)))
	}
}

func (d *Daemon) observeMembershipBytes(o metric.Int64Observer) {
	stats := d.peers.transport.Stats()
	o.Observe(int64(stats.SentBytes), metric.WithAttributes(attribute.String("direction", "sent")))
	o.Observe(int64(stats.ReceivedBytes), metric.WithAttributes(attribute.String("direction", "received")))
}

func (d *Daemon) observeConnections(o metric.Int64Observer) {
	open := make(map[string]int64)
	for _, r := range d.registry.Replicas() {
		open[r.Service] += int64(d.clientFor(r).OpenConnections())
	}
	for service, n := range open {
		o.Observe(n, metric.WithAttributes(attribute.String("service", service)))
	}
}

func (d *Daemon) observeReplicas(o metric.Int64Observer) {
	type labels struct {
		service string
		accepts bool
	}
	counts := make(map[labels]int64)
	for _, r := range d.registry.Replicas() {
		counts[labels{r.Service, r.AcceptsWork()}]++
	}
	for g, n := range counts {
		o.Observe(n, metric.WithAttributes(attribute.String("service", g.service), attribute.Bool("accepts", g.accepts)))
	}
}

// requestResult holds what the metrics record of an answered request.
type requestResult struct {
	service, profile string
	elapsed          time.Duration
	answer           *api.Answer
	err              error
}

// recordRequest records the count, the latency and the coverage of an answered request. The caller replaces names
// without a binding by "unknown", so that callers cannot create time series.
func (m *Metrics) recordRequest(o requestResult) {
	result := "ok"
	switch {
	case o.err != nil:
		result = string(api.KindOf(o.err))
	case o.answer != nil && !o.answer.Coverage.Complete && o.answer.Output == "":
		result = "partial"
	}
	names := attribute.NewSet(attribute.String("service", o.service), attribute.String("profile", o.profile))
	results := metric.WithAttributes(attribute.String("result", result))
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributeSet(names), results)
	m.duration.Record(ctx, o.elapsed.Seconds(), metric.WithAttributeSet(names), results)
	if o.answer != nil && len(o.answer.Coverage.Included)+len(o.answer.Coverage.Missing) > 0 {
		m.coverage.Record(ctx, o.answer.Coverage.Fraction, metric.WithAttributeSet(names))
	}
}

// recordSubRequests counts the sub-requests of a query by cause.
func (m *Metrics) recordSubRequests(service string, r scatter.Result) {
	add := func(cause string, n int) {
		m.subRequests.Add(context.Background(), int64(n),
			metric.WithAttributes(attribute.String("service", service), attribute.String("cause", cause)))
	}
	add("first", r.Attempts-r.Hedges-r.Retries)
	add("hedge", r.Hedges)
	add("retry", r.Retries)
}
