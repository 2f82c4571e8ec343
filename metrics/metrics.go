// Package metrics sets up OpenTelemetry metrics and serves them in the Prometheus text format.
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

// Provider holds the meter that creates instruments and the registry from which their values are served. It is safe for
// concurrent use.
type Provider struct {
	registry *prometheus.Registry
	meter    metric.Meter
}

// NewProvider returns a provider with its own registry, so that several daemons can run in one process.
func NewProvider() (*Provider, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, eris.Wrap(err, "create Prometheus exporter")
	}
	meterProvider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return &Provider{registry: registry, meter: meterProvider.Meter("chivemill")}, nil
}

// Meter returns the meter that creates new instruments.
func (p *Provider) Meter() metric.Meter { return p.meter }

// Handler returns the HTTP handler that serves all instruments in the Prometheus text format.
func (p *Provider) Handler() http.Handler {
	return promhttp.HandlerFor(p.registry, promhttp.HandlerOpts{})
}
