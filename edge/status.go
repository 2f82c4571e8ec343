package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/chivemill/chivemill/internal/httpjson"
)

// StatusPath is the path of the daemon's status.
const StatusPath = "/v1/status"

// Status is the state of a daemon as the daemon itself sees it.
type Status struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Phase      string `json:"phase"`
	Ready      bool   `json:"ready"`
	// Version is the version of the current configuration, 0 if none is known; Routes is the number of its routes.
	Version int64 `json:"version"`
	Routes  int   `json:"routes"`
	// ListAgeMS is the time since the store confirmed the replica list, -1 if unknown.
	ListAgeMS int64 `json:"list_age_ms"`
	// Daemons is the number of daemons per data centre.
	Daemons  map[string]int `json:"daemons"`
	InFlight int64          `json:"in_flight"`
	// Budgets is the number of extra sub-requests that are currently allowed, by service.
	Budgets  map[string]float64 `json:"budgets"`
	Replicas []ReplicaStatus    `json:"replicas"`
}

// ReplicaStatus is the state of one replica as the daemon sees it.
type ReplicaStatus struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	InFlight   int    `json:"in_flight"`
	// Slowness is the latency as a multiple of the expected latency. Refused is the decaying fraction of attempts that
	// were refused, or that got an error or an unusable response, from 0 to 1.
	Slowness float64 `json:"slowness"`
	Refused  float64 `json:"refused"`
}

// Status returns the daemon's current state.
func (d *Daemon) Status() Status {
	now := time.Now()
	view, _ := d.directory.View()
	daemons := make(map[string]int, len(view.DataCentres))
	for name, centre := range view.DataCentres {
		daemons[name] = centre.Daemons
	}
	s := Status{
		Node: d.settings.Node, DataCentre: d.settings.DataCentre, Phase: string(d.shutdown.Phase()),
		Ready: d.gateway.Ready() && !d.isStopping(), ListAgeMS: -1, Daemons: daemons,
		InFlight: d.gateway.InFlight(), Budgets: d.gateway.BudgetsLeft(now),
	}
	if view.Table != nil {
		s.Version, s.Routes = view.Table.Version(), len(view.Table.Config().Routes)
	}
	if view.Generation > 0 {
		s.ListAgeMS = now.Sub(view.ReadAt).Milliseconds()
	}
	for _, r := range d.balancer.Statuses(now) {
		s.Replicas = append(s.Replicas, ReplicaStatus{
			ID: r.ID, Service: r.Service, Address: r.Address, DataCentre: r.DataCentre, State: r.Condition(),
			InFlight: r.InFlight, Slowness: r.Slowness, Refused: r.Refused,
		})
	}
	return s
}

func (d *Daemon) serveStatus(w http.ResponseWriter, _ *http.Request) {
	httpjson.Write(w, http.StatusOK, d.Status())
}

// registerMetrics registers the metrics of the daemon itself and returns a function that counts calls to the store.
func (d *Daemon) registerMetrics(meter metric.Meter) (func(call, result string), error) {
	storeCalls, err := meter.Int64Counter("chivemill_store_calls",
		metric.WithDescription("Calls to the platform's store by call and result: a status, no_answer or cut."))
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	_, err = meter.Int64ObservableCounter("chivemill_log_lines",
		metric.WithDescription("Log lines by fate: written, over_bound of their event, or queue_full."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counts := d.log.Counts()
			for fate, n := range map[string]int64{"written": counts.Written, "over_bound": counts.RateLimited,
				"queue_full": counts.QueueFull} {
				o.Observe(n, metric.WithAttributes(attribute.String("fate", fate)))
			}
			return nil
		}))
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	_, err = meter.Int64ObservableCounter("chivemill_list_reads",
		metric.WithDescription("Reads of the replica list from the store that reached this daemon, by itself or through other daemons."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			view, _ := d.directory.View()
			o.Observe(int64(view.Confirmations))
			return nil
		}))
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	_, err = meter.Int64ObservableGauge("chivemill_stopping", metric.WithDescription("1 during a planned stop."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			stopping := int64(0)
			if d.isStopping() {
				stopping = 1
			}
			o.Observe(stopping)
			return nil
		}))
	return func(call, result string) {
		storeCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("call", call), attribute.String("result", result)))
	}, eris.Wrap(err, "metrics")
}
