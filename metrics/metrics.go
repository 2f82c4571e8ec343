// Package metrics sets up OpenTelemetry metrics that are served as Prometheus text.
package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Path is the HTTP path of the metrics endpoint.
const Path = "/metrics"

// Provider creates instruments and serves their values. It is safe for concurrent use.
type Provider struct {
	registry *prometheus.Registry
	meter    metric.Meter
}

// NewProvider returns a provider with its own registry, so that several daemons can live in one process.
func NewProvider() (*Provider, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, eris.Wrap(err, "metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Provider{registry: registry, meter: provider.Meter("chivemill")}, nil
}

// Meter returns the meter for new instruments.
func (p *Provider) Meter() metric.Meter { return p.meter }

// Handler serves all instruments as Prometheus text.
func (p *Provider) Handler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
}
