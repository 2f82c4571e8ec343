// Package entry composes the parts of an entry daemon: callers' HTTP, configuration, replicas and scatter.
package entry

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/confsync"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/profile"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/scatter"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

const (
	// watchRetry is the wait before a broken watch is opened again.
	watchRetry = 200 * time.Millisecond
	// loadTimeout bounds one call of a load endpoint.
	loadTimeout = time.Second
)

// Daemon is an entry daemon without its listeners. It is safe for concurrent use.
type Daemon struct {
	set      settings.Entry
	log      *zap.Logger
	store    kv.Store
	list     vmlist.Source
	registry *replica.Registry
	metrics  *Metrics
	config   *confsync.Replica
	guard    *quarantine.Guard
	orders   *orderPath
	inFlight atomic.Int64
	draining atomic.Bool

	mu         sync.Mutex
	clients    map[string]*backend.Client
	catalogues map[string]*snapshot.Catalogue
	profiles   map[string]activeProfile
	bindings   map[string]string
	configured bool
}

type activeProfile struct {
	profile.Profile
	revision int64
	retired  bool
}

// NewDaemon returns a daemon that Run starts.
func NewDaemon(set settings.Entry, log *zap.Logger, store kv.Store, list vmlist.Source, meter metric.Meter) (*Daemon, error) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(set.Node))
	d := &Daemon{
		set: set, log: log, store: store, list: list,
		registry:   replica.NewRegistry(h.Sum64()),
		clients:    make(map[string]*backend.Client),
		catalogues: make(map[string]*snapshot.Catalogue),
		profiles:   make(map[string]activeProfile),
		bindings:   make(map[string]string),
	}
	d.config = confsync.NewReplica(d.configChanged)
	d.guard = quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, nil, nil)
	d.orders = &orderPath{
		runner: oncerun.NewRunner(store, oncerun.Options{Node: set.Node}), guard: d.guard, picker: d, sender: d,
	}
	var err error
	d.metrics, err = NewMetrics(meter, d)
	return d, eris.Wrap(err, "metrics")
}

// Run keeps the configuration and the replicas up to date until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.watchConfig(ctx) })
	wg.Go(func() { d.pollReplicas(ctx) })
	wg.Wait()
}

// Ready reports whether the daemon takes requests: it has a configuration and does not drain.
func (d *Daemon) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.configured && !d.draining.Load()
}

// StartDraining makes the daemon report that it is not ready. Requests are still served.
func (d *Daemon) StartDraining() { d.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (d *Daemon) InFlight() int64 { return d.inFlight.Load() }

func (d *Daemon) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.watchOnce(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("configuration watch ended", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

func (d *Daemon) watchOnce(ctx context.Context) error {
	items, revision, err := d.store.List(ctx, confstore.Prefix)
	if err != nil {
		return err
	}
	d.config.ApplyStored(items)
	d.mu.Lock()
	d.configured = true
	d.mu.Unlock()
	return d.store.Watch(ctx, confstore.Prefix, revision+1, func(b kv.WatchBatch) {
		for _, e := range b.Events {
			if !e.Deleted {
				d.config.ApplyStored([]kv.Item{e.Item})
			}
		}
	})
}

// configChanged puts an item in force.
func (d *Daemon) configChanged(item confsync.Item) {
	if err := d.activate(item); err != nil {
		d.log.Error("configuration item not usable, the previous one stays in force",
			zap.String("key", item.Key), zap.Int64("revision", item.Revision), zap.Error(err))
		return
	}
	d.log.Info("configuration in force", zap.String("key", item.Key), zap.Int64("revision", item.Revision))
}

func (d *Daemon) activate(item confsync.Item) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if item.Key == confstore.BindingsKey {
		var b confstore.Bindings
		if err := json.Unmarshal(item.Value, &b); err != nil {
			return eris.Wrap(err, "bindings")
		}
		d.bindings = b.Services
		return nil
	}
	var v confstore.ProfileValue
	if err := json.Unmarshal(item.Value, &v); err != nil {
		return eris.Wrap(err, "profile value")
	}
	p, err := profile.Decode(v.Name, []byte(v.Current.Document))
	if err != nil {
		return err
	}
	d.profiles[v.Name] = activeProfile{Profile: p, revision: item.Revision, retired: v.Current.Retired}
	return nil
}

// profileOf returns the profile that the service runs under.
func (d *Daemon) profileOf(service string) (p activeProfile, bound, found bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name, bound := d.bindings[service]
	p, found = d.profiles[name]
	return p, bound, found
}

func (d *Daemon) pollReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		vms, err := d.list.Fetch(ctx)
		if err != nil {
			d.log.Warn("VM list not available", zap.Error(err))
		} else {
			d.registry.SetList(vms)
		}
		d.pollLoads(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(d.set.Poll.D()):
		}
	}
}

func (d *Daemon) pollLoads(ctx context.Context) {
	var wg sync.WaitGroup
	services := make(map[string]bool)
	for _, r := range d.registry.All() {
		services[r.Service] = true
		wg.Go(func() { d.pollLoad(ctx, r) })
	}
	wg.Wait()
	for service := range services {
		d.updateCatalogue(service)
	}
}

func (d *Daemon) pollLoad(ctx context.Context, r replica.Replica) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	client := d.client(r)
	load, err := client.Load(ctx)
	if err != nil {
		d.registry.Unreachable(r.ID)
		return
	}
	for _, h := range load.Holdings {
		d.learnMap(ctx, client, r.Service, h.Version.Map)
	}
	d.registry.SetLoad(r.ID, load, time.Now())
}

func (d *Daemon) learnMap(ctx context.Context, client *backend.Client, service string, version int64) {
	d.mu.Lock()
	_, known := d.catalogue(service).Map(version)
	d.mu.Unlock()
	if known {
		return
	}
	m, err := client.Map(ctx, version)
	if err != nil {
		d.log.Warn("shard map not usable", zap.String("service", service), zap.Int64("map", version), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.catalogue(service).AddMap(m); err != nil {
		d.log.Warn("shard map not usable", zap.String("service", service), zap.Error(err))
	}
}

// catalogue returns the catalogue of a service. The caller holds d.mu.
func (d *Daemon) catalogue(service string) *snapshot.Catalogue {
	c, ok := d.catalogues[service]
	if !ok {
		c = snapshot.NewCatalogue()
		d.catalogues[service] = c
	}
	return c
}

func (d *Daemon) updateCatalogue(service string) {
	holdings := d.registry.Holdings(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catalogue(service).Update(holdings)
}

func (d *Daemon) client(r replica.Replica) *backend.Client {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[r.Address]
	if !ok {
		c = backend.NewClient(r.Address, d.set.ConnectionsPerReplica)
		d.clients[r.Address] = c
	}
	return c
}

// Pick implements scatter.Picker.
func (d *Daemon) Pick(service string, version snapshot.Version, shard string, exclude []string) (scatter.Target, bool) {
	r, ok := d.registry.Pick(service, version, shard, exclude)
	if !ok {
		return scatter.Target{}, false
	}
	return scatter.Target{ID: r.ID, Done: func(latency time.Duration, err error) {
		d.registry.Done(r.ID, latency, err)
	}}, true
}

// Send implements scatter.Sender.
func (d *Daemon) Send(ctx context.Context, id string, sub backend.Sub) (backend.SubAnswer, error) {
	address, ok := d.registry.Address(id)
	if !ok {
		return backend.SubAnswer{}, &backend.Error{Failure: backend.NotSent, Cause: eris.Errorf("replica %s is gone", id)}
	}
	answer, err := d.client(replica.Replica{Address: address}).Send(ctx, sub)
	var refused *backend.Error
	if eris.As(err, &refused) && refused.Refusal.Reason == backend.RefusedDraining {
		d.registry.MarkLeaving(id, refused.Refusal.Incarnation)
	}
	return answer, err
}

// OperatorHandler serves health, readiness, status and the given metrics.
func (d *Daemon) OperatorHandler(collected http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.handleReady)
	mux.HandleFunc("GET /v1/status", d.handleStatus)
	mux.Handle("GET "+metrics.Path, collected)
	return mux
}
