// Package entry composes the parts of an entry daemon: callers' HTTP, configuration, replicas, scatter, orders and
// the traffic with the other daemons.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

// Daemon is an entry daemon without its HTTP listeners. It is safe for concurrent use.
type Daemon struct {
	set      settings.Entry
	log      *zap.Logger
	list     vmlist.Source
	registry *replica.Registry
	metrics  *Metrics
	guard    *quarantine.Guard
	orders   *orderPath
	peers    *peers
	// total admits requests of all services to this daemon.
	total    *limit.Admission
	inFlight atomic.Int64
	draining atomic.Bool
	// polled is set once the load endpoints were read with a share of the connections.
	polled atomic.Bool

	mu         sync.Mutex
	clients    map[string]*backend.Client
	catalogues map[string]*snapshot.Catalogue
	profiles   map[string]activeProfile
	bindings   map[string]string
	policies   map[string]*servicePolicy
}

// NewDaemon opens the peer address and returns a daemon that Run starts.
func NewDaemon(set settings.Entry, log *zap.Logger, store kv.Store, list vmlist.Source, meter metric.Meter) (*Daemon, error) {
	d := &Daemon{
		set: set, log: log, list: list,
		registry:   replica.NewRegistry(xxhash.Sum64String(set.Node)),
		clients:    make(map[string]*backend.Client),
		catalogues: make(map[string]*snapshot.Catalogue),
		profiles:   make(map[string]activeProfile),
		bindings:   make(map[string]string),
		policies:   make(map[string]*servicePolicy),
		total:      limit.NewAdmission(float64(set.MaxInFlight), float64(set.MaxInFlight)),
	}
	d.registry.SetLinkDelay(func(dataCentre string) time.Duration { return set.LinkDelays[dataCentre].D() })
	var err error
	if d.peers, err = newPeers(d, store); err != nil {
		return nil, err
	}
	d.guard = quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, d.peers, nil)
	d.orders = &orderPath{
		runner: oncerun.NewRunner(store, oncerun.Options{Node: set.Node}), guard: d.guard, picker: d, sender: d,
	}
	d.metrics, err = NewMetrics(meter, d)
	return d, eris.Wrap(err, "metrics")
}

// Run keeps the configuration, the members and the replicas up to date until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.peers.run(ctx) })
	wg.Go(func() { d.pollReplicas(ctx) })
	wg.Go(func() { d.chooseSnapshots(ctx) })
	wg.Wait()
}

// Ready reports whether the daemon takes requests: it has a configuration and a share of the connections, it has
// read the load endpoints, and it does not drain.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.polled.Load() && d.peers.active() && d.peers.runner.Status().Ready
}

// StartDraining makes the daemon report that it is not ready. Requests are still served.
func (d *Daemon) StartDraining() { d.draining.Store(true) }

// Leave tells the peers of the planned stop. It returns when the announcement had time to spread, or with ctx.
func (d *Daemon) Leave(ctx context.Context) error { return d.peers.leave(ctx) }

// InFlight returns the number of requests in flight.
func (d *Daemon) InFlight() int64 { return d.inFlight.Load() }

// OperatorHandler serves health, readiness, status and the given metrics.
func (d *Daemon) OperatorHandler(collected http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.handleReady)
	mux.HandleFunc("GET /v1/status", d.handleStatus)
	mux.Handle("GET "+metrics.Path, collected)
	return mux
}

// active reports whether the daemon uses its connection shares.
func (p *peers) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counted.MayUseShare(time.Now())
}
