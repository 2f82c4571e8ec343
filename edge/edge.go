// Package edge assembles the daemon that runs on the users' platform: listeners, topology feed, gateway and planned
// stop.
package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/drain"
	"github.com/chivemill/chivemill/egress"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/gateway"
	"github.com/chivemill/chivemill/internal/connlimit"
	"github.com/chivemill/chivemill/internal/ingress"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/platform"
	"github.com/chivemill/chivemill/quota"
	"github.com/chivemill/chivemill/topology"
)

const (
	// acceptFraction of the grace time is how long a stopping daemon accepts new requests: the load balancer needs two
	// health checks of a second each to notice the stop.
	acceptFraction = 0.5
	// finalAnswerFraction of the grace time is when the requests in flight get a final answer.
	finalAnswerFraction = 5.0 / 6
	// defaultHeaderTimeout limits how long a caller may take to send a request header while the operator's limit is not
	// known.
	defaultHeaderTimeout = 30 * time.Second
	// internalHeaderTimeout and maxInternalHeaderBytes limit the request headers from other daemons and the platform.
	internalHeaderTimeout  = 5 * time.Second
	maxInternalHeaderBytes = 64 << 10
	// drainMargin is how much earlier than allowed the last new request is sent to a draining replica: an attempt may
	// wait for a connection, and the daemons' replica lists are confirmed with a delay.
	drainMargin = 1500 * time.Millisecond
	// lastWriteFraction of the grace time is when the process ends, whatever is still being written: the platform kills it soon after.
	lastWriteFraction = 0.95
	// callerCopies is how often a caller's body is in memory: it is passed on as it is.
	callerCopies = 1
	// leaveTimeout limits the last phase of a planned stop.
	leaveTimeout = 300 * time.Millisecond
)

// Daemon is a running edge daemon. It is safe for concurrent use.
type Daemon struct {
	settings     platform.Settings
	settingsPath string
	log          *eventlog.Log
	gateway      *gateway.Gateway
	balancer     *balancer.Balancer
	directory    *topology.Directory
	feed         *topology.Feed
	quotas       *quota.Exchange
	replicas     *platform.ReplicaClient
	shutdown     *drain.Shutdown
	callers      *http.Server
	// ports limits what the callers' listener and the internal ones receive.
	ports ingress.Ports
	// responses counts the answers to callers and other daemons that have not been written out. stopsWaiting is set when a planned stop
	// does not wait for them any longer.
	responses    drain.Responses
	stopsWaiting atomic.Bool
	serverErrors chan error
}

// Options holds what is not in the platform's settings.
type Options struct {
	// Egress configures the control of the requests that leave the data centre; nil turns it off.
	Egress *egress.Settings
}

// New returns a daemon with the settings that were read from settingsPath. Its listeners are already open.
// It returns an error if a listener cannot be opened or a metric cannot be registered.
func New(settingsPath string, settings platform.Settings, opts Options, log *eventlog.Log) (*Daemon, error) {
	metricsProvider, err := metrics.NewProvider()
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: settings, settingsPath: settingsPath, log: log, directory: topology.NewDirectory(),
		serverErrors: make(chan error, 4)}
	observe, err := d.registerMetrics(metricsProvider.Meter())
	if err != nil {
		return nil, err
	}
	store := platform.NewStoreClient(settings.StoreAddress, settings.MinLeaseTTL, observe, d.logStoreRestored)
	self := topology.Self{
		Node: settings.Node, DataCentre: settings.DataCentre, Address: settings.PeerAddress, HealthAddress: settings.HealthAddress, Distance: settings.Distance,
		Region: settings.RegionOf, Cores: settings.Cores,
	}
	d.feed = topology.NewFeed(d.directory, store, platform.Decoder{}, platform.Keys(), self, settings.Contacts, log.Logger)
	d.balancer = balancer.New(xxhash.Sum64String(settings.Node))
	d.balancer.SetDrainingGrace(settings.DrainTime - drainMargin)
	if opts.Egress != nil {
		d.balancer.SetEgress(egress.New(*opts.Egress, xxhash.Sum64String(settings.Node)))
	}
	reports := &replicaReports{Balancer: d.balancer, log: log.Logger}
	d.replicas = platform.NewReplicaClient(settings.MemoryBytes, reports)
	replicaObserver, err := newReplicaObserver(metricsProvider.Meter(), log.Logger)
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	d.replicas.SetObserver(replicaObserver)
	d.quotas, err = quota.NewExchange(quota.Options{
		DataCentres: len(settings.Regions),
		Bounds:      quota.Bounds{Window: settings.QuotaWindow, Overage: settings.QuotaOverage, Slack: settings.QuotaSlack},
		Node:        settings.Node, DataCentre: settings.DataCentre, Address: settings.QuotaAddress,
		Distance: func(dataCentre string) int { return int(settings.Distance(dataCentre)) },
	}, d.directory, d.feed, metricsProvider.Meter(), log.Logger)
	if err != nil {
		return nil, err
	}
	d.gateway, err = gateway.New(gateway.Options{
		BudgetRatio: settings.RetryBudgetRatio, BudgetFixed: settings.RetryBudgetFixed, BudgetWindow: settings.RetryBudgetWindow,
		Publisher: d.feed, ObservationPublisher: d.feed, Links: d.replicas, Node: settings.Node, DelegationClient: delegation.NewClient(settings.MemoryBytes), Seed: xxhash.Sum64String(settings.Node),
		Self: delegation.Self{Address: settings.PeerAddress, DataCentre: settings.DataCentre, Cores: settings.Cores,
			Distance: settings.Distance, Region: settings.RegionOf},
		MemoryBytes: settings.MemoryBytes, WarmupOverage: settings.WarmupOverage, WarmupSlack: settings.WarmupSlack, Quotas: gatewayQuotas{d.quotas},
	}, d.directory, d.balancer, d.replicas, rand.Float64, metricsProvider.Meter(), log.Logger)
	if err != nil {
		return nil, err
	}
	d.feed.SetNoticeHandler(d.gateway)
	reports.gateway = d.gateway
	d.shutdown = drain.NewShutdown(drain.Options{
		BalancerLag: time.Duration(acceptFraction * float64(settings.StopGrace)), LeaveTimeout: leaveTimeout,
	}, d.stopHooks())
	d.ports, err = ingress.NewPorts(ingress.Options{Resources: d.resources(), CallerCopies: callerCopies}, metricsProvider.Meter(), log.Logger)
	if err != nil {
		return nil, err
	}
	callerHandler := d.responses.Track(platform.NewCallerHandler(d.gateway, d.ports.Callers.Bodies(), d.isStopping))
	d.callers = &http.Server{Handler: callerHandler, ReadHeaderTimeout: defaultHeaderTimeout}
	return d, d.listen(metricsProvider.Handler())
}

// resources returns the limits of the process.
func (d *Daemon) resources() ingress.Resources {
	return ingress.Resources{MemoryBytes: d.settings.MemoryBytes, MaxDescriptors: d.settings.MaxDescriptors}
}

func (d *Daemon) isStopping() bool { return d.shutdown.Phase() != drain.Ready }

// listen opens all listeners and starts their servers.
func (d *Daemon) listen(metricsHandler http.Handler) error {
	peers := http.NewServeMux()
	peers.Handle(topology.PathPull, d.feed.Handler())
	peers.Handle(topology.PathNotices, d.feed.Handler())
	peers.Handle(topology.PathDeparted, d.feed.Handler())
	peers.Handle("GET "+StatusPath, ingress.LimitPages(http.HandlerFunc(d.serveStatus)))
	peers.Handle("POST "+delegation.PathQuery, d.responses.Track(delegation.Handler(d.gateway)))
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !d.gateway.Ready() || d.isStopping() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	internal := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler:           d.ports.Internal.Bodies().Handler(min(delegation.MaxMessageBytes, d.resources().MaxMessageBytes()), h),
			ReadHeaderTimeout: internalHeaderTimeout, MaxHeaderBytes: maxInternalHeaderBytes,
		}
	}
	for _, s := range []struct {
		server  *http.Server
		address string
	}{
		{d.callers, d.settings.CallerAddress}, {internal(ready), d.settings.ReadyAddress}, {internal(peers), d.settings.PeerAddress},
		{internal(ingress.LimitPages(metricsHandler)), d.settings.MetricsAddress()},
	} {
		port, limits := d.ports.Internal, (func() connlimit.Limits)(nil)
		if s.server == d.callers {
			port, limits = d.ports.Callers, d.callerLimits
		}
		listener, err := port.Listen(s.server, s.address, limits)
		if err != nil {
			return err
		}
		d.responses.Watch(s.server)
		ingress.Start(s.server, listener, d.serverErrors)
	}
	return nil
}

// callerLimits returns the operator's limits on callers' connections. Before the first configuration, headers have
// defaultHeaderTimeout and idle connections are kept open.
func (d *Daemon) callerLimits() connlimit.Limits {
	limits, ok := d.gateway.Limits()
	if !ok {
		return connlimit.Limits{}
	}
	return connlimit.Limits{MaxHeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// stopHooks connects the planned stop to the daemon. While the load balancer may still send requests, they are served
// and their connections closed; afterwards new requests are refused, and those in flight get a final answer before the
// grace time ends. The process ends once all answers have been written, or at the end of the time for that.
func (d *Daemon) stopHooks() drain.Hooks {
	return drain.Hooks{
		// The readiness handler checks the phase itself.
		NotReady: d.gateway.RejectDelegated,
		CloseListeners: func() {
			d.gateway.RejectNew()
			untilFinalAnswers := time.Duration((finalAnswerFraction - acceptFraction) * float64(d.settings.StopGrace))
			untilLastWrite := time.Duration((lastWriteFraction - acceptFraction) * float64(d.settings.StopGrace))
			time.AfterFunc(untilFinalAnswers, d.gateway.CancelInFlight)
			time.AfterFunc(untilLastWrite, func() { d.stopsWaiting.Store(true) })
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), untilLastWrite)
				defer cancel()
				if err := d.callers.Shutdown(ctx); err != nil {
					d.log.Warn(eventlog.Stopping, zap.String("phase", "connections still open"), zap.Error(err))
				}
			}()
		},
		InFlight: d.inFlight,
		Leave:    func(context.Context) error { return nil },
		PhaseChanged: func(phase drain.Phase) {
			d.log.Info(eventlog.Stopping, zap.String("phase", string(phase)), zap.Int64("in_flight", d.gateway.InFlight()),
				zap.Int64("unwritten", d.responses.Unwritten()))
		},
		SignalIgnored: func() { d.log.Info(eventlog.Stopping, zap.String("phase", "further stop signal ignored")) },
	}
}

// inFlight returns the number of requests that a planned stop waits for: those without an answer and those whose answers have not been
// written out.
func (d *Daemon) inFlight() int64 {
	if d.stopsWaiting.Load() {
		return 0
	}
	return max(d.gateway.InFlight(), d.responses.Unwritten())
}

// Stop starts the planned stop.
func (d *Daemon) Stop() { d.shutdown.Signal() }

// Run serves until a planned stop is complete or a listener fails, and returns the listener's error.
func (d *Daemon) Run() error {
	debug.SetMemoryLimit(d.resources().HeapLimit())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { d.feed.Run(ctx) })
	wg.Go(func() { d.feed.ShareHealth(ctx, d.balancer) })
	wg.Go(func() { d.gateway.Run(ctx) })
	wg.Go(func() { d.quotas.Run(ctx) })
	wg.Go(func() { d.gateway.WatchReach(ctx) })
	wg.Go(func() { d.closeUnlistedReplicas(ctx) })
	d.log.Info(eventlog.Started, zap.String("data_centre", d.settings.DataCentre), zap.String("callers", d.settings.CallerAddress),
		zap.String("store", d.settings.StoreAddress), zap.Strings("contacts", d.settings.Contacts))
	stopped := make(chan error, 1)
	go func() { stopped <- d.shutdown.Run(context.Background()) }()
	var err error
	select {
	case err = <-d.serverErrors:
	case err = <-stopped:
	}
	cancel()
	wg.Wait()
	d.log.Info(eventlog.Stopped, zap.Int64("in_flight", d.gateway.InFlight()), zap.Int64("unwritten", d.responses.Unwritten()), zap.Error(err))
	return err
}

// closeUnlistedReplicas closes the connections to replicas that are no longer in the replica list.
func (d *Daemon) closeUnlistedReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		view, changed := d.directory.View()
		d.replicas.CloseUnlisted(view.Servers)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// logStoreRestored logs that the store has come back from an older copy.
func (d *Daemon) logStoreRestored(previous, current int64) {
	d.log.Warn(eventlog.StoreRestored, zap.Int64("previous_era", previous), zap.Int64("era", current))
}

// Reload reads the settings again. A process keeps its addresses and its location while it runs, so a change is only
// logged and takes effect at the next start.
func (d *Daemon) Reload() {
	settings, err := platform.LoadSettings(d.settingsPath)
	switch {
	case err != nil:
		d.log.Error(eventlog.SettingsInvalid, zap.Error(err))
	case !reflect.DeepEqual(settings, d.settings):
		d.log.Warn(eventlog.SettingsReloaded, zap.String("effect", "at the next start"))
	default:
		d.log.Info(eventlog.SettingsReloaded, zap.String("effect", "none, settings are unchanged"))
	}
}
