// Package entry implements the entry daemon: the callers' HTTP interface, configuration, replica tracking, scatter and
// gather of queries, non-idempotent requests, and communication with the other entry daemons.
package entry

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/backend"
	"github.com/chivemill/chivemill/internal/boundedread"
	"github.com/chivemill/chivemill/internal/ingress"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/limit"
	"github.com/chivemill/chivemill/oncerun"
	"github.com/chivemill/chivemill/quarantine"
	"github.com/chivemill/chivemill/replica"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/snapshot"
	"github.com/chivemill/chivemill/vmlist"
)

// Daemon is an entry daemon. Its HTTP listeners are opened by StartCallers and StartOperators. It is safe for concurrent use.
type Daemon struct {
	cfg           settings.Entry
	log           *zap.Logger
	vmList        vmlist.Source
	registry      *replica.Registry
	metrics       *Metrics
	guard         *quarantine.Guard
	nonIdempotent *nonIdempotentRunner
	peers         *peers
	// daemonAdmission limits the requests in flight over all services.
	daemonAdmission *limit.Admission
	inFlight        atomic.Int64
	draining        atomic.Bool
	// initialPollDone is set after the first poll of the load endpoints that started with a connection share.
	initialPollDone atomic.Bool
	// bodyMemory limits the responses of backend servers that are being read, ports what the daemon's own ports receive.
	bodyMemory *boundedread.MemoryLimit
	ports      ingress.Ports
	// answers limits the answers that wait until their callers have received them.
	answers *limit.AnswerBuffer

	mu            sync.Mutex
	clients       map[string]*backend.Client
	catalogues    map[string]*snapshot.Catalogue
	profiles      map[string]activeProfile
	bindings      map[string]string
	serviceStates map[string]*serviceState
}

// NewDaemon opens the sockets of the peer address. The returned daemon does nothing until Run is called.
func NewDaemon(cfg settings.Entry, log *zap.Logger, store kv.Store, vmList vmlist.Source, meter metric.Meter) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, log: log, vmList: vmList,
		registry:        replica.NewRegistry(xxhash.Sum64String(cfg.Node)),
		answers:         limit.NewAnswerBuffer(resources(cfg).AnswerBytes()),
		bodyMemory:      boundedread.NewProcessMemoryLimit(resources(cfg).MemoryBytes),
		clients:         make(map[string]*backend.Client),
		catalogues:      make(map[string]*snapshot.Catalogue),
		profiles:        make(map[string]activeProfile),
		bindings:        make(map[string]string),
		serviceStates:   make(map[string]*serviceState),
		daemonAdmission: limit.NewAdmission(float64(cfg.MaxInFlight), float64(cfg.MaxInFlight)),
	}
	d.registry.SetLinkDelay(func(dataCentre string) time.Duration { return cfg.LinkDelays[dataCentre].AsDuration() })
	available, err := resources(cfg).WithinSystemLimit()
	if err != nil {
		return nil, err
	}
	d.ports, err = ingress.NewPorts(ingress.Options{Resources: available, CallerCopies: queryCopies}, meter, log)
	if err != nil {
		return nil, err
	}
	if d.peers, err = newPeers(d, store); err != nil {
		return nil, err
	}
	d.guard = quarantine.NewGuard(quarantine.DefaultRule(), quarantine.DefaultExpiry, d.peers, nil)
	d.nonIdempotent = &nonIdempotentRunner{
		runner: oncerun.NewRunner(store, oncerun.Options{Node: cfg.Node}), guard: d.guard, picker: d, sender: d,
	}
	d.metrics, err = NewMetrics(meter, d)
	return d, eris.Wrap(err, "create metrics")
}

// resources returns the limits of the process in its settings.
func resources(cfg settings.Entry) ingress.Resources {
	return ingress.Resources{MemoryBytes: int64(cfg.MemoryMB) << 20, MaxDescriptors: cfg.MaxDescriptors}
}

// Run keeps the configuration, the membership, the replicas and the selected snapshots up to date until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	debug.SetMemoryLimit(resources(d.cfg).HeapLimit())
	var wg sync.WaitGroup
	wg.Go(func() { d.peers.run(ctx) })
	wg.Go(func() { d.pollReplicas(ctx) })
	wg.Go(func() { d.selectSnapshots(ctx) })
	wg.Wait()
}

// Ready reports whether the daemon accepts requests: it has a configuration and a connection share, has polled the load
// endpoints, and is not draining.
func (d *Daemon) Ready() bool {
	return !d.draining.Load() && d.initialPollDone.Load() && d.peers.mayUseShare() && d.peers.runner.Status().Ready
}

// StartDraining makes the daemon report not ready. It still serves requests.
func (d *Daemon) StartDraining() { d.draining.Store(true) }

// AnnounceLeave announces the planned stop to the peers. It returns after the announcement has had time to propagate,
// or when ctx ends. The error is always nil.
func (d *Daemon) AnnounceLeave(ctx context.Context) error { return d.peers.leave(ctx) }

// InFlight returns the number of requests in flight.
func (d *Daemon) InFlight() int64 { return d.inFlight.Load() }

// mayUseShare reports whether the daemon may open its share of the connections to backend servers.
func (p *peers) mayUseShare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shareTracker.MayUseShare(time.Now())
}
