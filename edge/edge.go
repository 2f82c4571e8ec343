// Package edge wires the daemon on the users' platform: listeners, the topology feed, the gateway and the planned stop.
package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/delegation"
	"github.com/chivemill/chivemill/drain"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/gateway"
	"github.com/chivemill/chivemill/internal/connlimit"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/platform"
	"github.com/chivemill/chivemill/topology"
)

const (
	// memoryFraction of the process's limit is the soft limit of the Go heap; the rest is for stacks, buffers of the kernel
	// and bytes that were received and not read.
	memoryFraction = 0.7
	// refuseFraction of the grace time is how long a stopping daemon takes new requests: the balancer notices after two
	// looks of a second each.
	refuseFraction = 0.5
	// endFraction of the grace time is when the requests in flight get a final answer.
	endFraction = 5.0 / 6
	// headerTimeout bounds how long a caller takes to send a request's head while the operator's limit is not known.
	headerTimeout = 30 * time.Second
	// internalHeadTimeout and internalHeadBytes bound the heads of requests from daemons and the platform.
	internalHeadTimeout = 5 * time.Second
	internalHeadBytes   = 64 << 10
	// leavingMargin is how much earlier than allowed a draining replica gets its last new request: an attempt may wait for a
	// connection, and the daemons' lists are confirmed with a delay.
	leavingMargin = 1500 * time.Millisecond
	// lastAnswers bounds the writing of these answers.
	lastAnswers = 300 * time.Millisecond
)

// Daemon is a running edge daemon. It is safe for concurrent use.
type Daemon struct {
	set      platform.Settings
	file     string
	log      *eventlog.Log
	gateway  *gateway.Gateway
	balancer *balancer.Balancer
	dir      *topology.Directory
	feed     *topology.Feed
	replicas *platform.Replicas
	stop     *drain.Sequence
	callers  *http.Server
	failed   chan error
}

// New builds a daemon of the settings, which were read from file.
func New(file string, set platform.Settings, log *eventlog.Log) (*Daemon, error) {
	collected, err := metrics.NewProvider()
	if err != nil {
		return nil, err
	}
	d := &Daemon{set: set, file: file, log: log, dir: topology.NewDirectory(), failed: make(chan error, 4)}
	observe, err := d.instruments(collected.Meter())
	if err != nil {
		return nil, err
	}
	store := platform.NewStoreClient(set.Store, set.LeastLease, observe)
	self := topology.Self{
		Node: set.Node, DataCentre: set.DataCentre, Address: set.Peers, HealthAddress: set.Health, Distance: set.Distance,
		Cores: set.Cores,
	}
	d.feed = topology.NewFeed(d.dir, store, platform.Decoder{}, platform.Keys(), self, set.Contacts, log.Logger)
	d.balancer = balancer.New(xxhash.Sum64String(set.Node))
	d.balancer.UseLeaving(set.DrainTime - leavingMargin)
	d.replicas = platform.NewReplicas(set.MemoryBytes, d.balancer.Report)
	d.gateway, err = gateway.New(gateway.Options{
		BudgetRatio: set.BudgetRatio, BudgetFixed: set.BudgetFixed, BudgetSpan: set.BudgetSpan,
		Publisher: d.feed, Node: set.Node, Delegates: delegation.NewClient(), Seed: xxhash.Sum64String(set.Node),
		Self: delegation.Self{Address: set.Peers, DataCentre: set.DataCentre, Cores: set.Cores, Distance: set.Distance},
	}, d.dir, d.balancer, d.replicas, rand.Float64, collected.Meter(), log.Logger)
	if err != nil {
		return nil, err
	}
	d.stop = drain.NewSequence(drain.Options{
		BalancerLag: time.Duration(refuseFraction * float64(set.StopGrace)), LeaveTimeout: lastAnswers,
	}, d.hooks())
	d.callers = &http.Server{Handler: platform.NewCallers(d.gateway, d.isStopping), ReadHeaderTimeout: headerTimeout}
	return d, d.listen(collected.Handler())
}

func (d *Daemon) isStopping() bool { return d.stop.Phase() != drain.Ready }

// listen opens all listeners and serves them.
func (d *Daemon) listen(collected http.Handler) error {
	peers := http.NewServeMux()
	peers.Handle(topology.PathPull, d.feed.Handler())
	peers.HandleFunc("GET "+PathStatus, d.serveStatus)
	peers.Handle("POST "+delegation.PathQuery, delegation.Handler(d.gateway))
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !d.gateway.Ready() || d.isStopping() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	internal := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: internalHeadTimeout, MaxHeaderBytes: internalHeadBytes}
	}
	for _, s := range []struct {
		server  *http.Server
		address string
	}{
		{d.callers, d.set.Callers}, {internal(ready), d.set.Ready}, {internal(peers), d.set.Peers},
		{internal(collected), d.set.MetricsAddress()},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		if s.server == d.callers {
			listener = connlimit.Install(s.server, listener, d.callerLimits)
		}
		go func() {
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				d.failed <- eris.Wrapf(err, "server at %s", s.address)
			}
		}()
	}
	return nil
}

// callerLimits returns the operator's limits on connections of callers; before the first configuration heads have
// headerTimeout and idle connections are kept.
func (d *Daemon) callerLimits() connlimit.Limits {
	limits, ok := d.gateway.Limits()
	if !ok {
		return connlimit.Limits{}
	}
	return connlimit.Limits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}

// hooks connects the planned stop to the daemon: while the balancer may send more, requests are served and their
// connections closed; then new ones are refused, and those in flight get a final answer before the grace time ends.
func (d *Daemon) hooks() drain.Hooks {
	return drain.Hooks{
		// Readiness follows the phase.
		NotReady: d.gateway.Leave,
		CloseListeners: func() {
			d.gateway.Stop()
			left := time.Duration((endFraction - refuseFraction) * float64(d.set.StopGrace))
			time.AfterFunc(left, d.gateway.End)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), left+lastAnswers)
				defer cancel()
				if err := d.callers.Shutdown(ctx); err != nil {
					d.log.Warn(eventlog.Stopping, zap.String("phase", "connections cut"), zap.Error(err))
				}
			}()
		},
		InFlight: d.gateway.InFlight,
		Leave:    func(context.Context) error { return nil },
		Changed: func(p drain.Phase) {
			d.log.Info(eventlog.Stopping, zap.String("phase", string(p)), zap.Int64("in_flight", d.gateway.InFlight()))
		},
		Ignored: func() { d.log.Info(eventlog.Stopping, zap.String("phase", "second signal ignored")) },
	}
}

// Stop starts the planned stop.
func (d *Daemon) Stop() { d.stop.Signal() }

// Run serves until a planned stop is complete. The error is that of a listener.
func (d *Daemon) Run() error {
	debug.SetMemoryLimit(int64(memoryFraction * float64(d.set.MemoryBytes)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { d.feed.Run(ctx) })
	wg.Go(func() { d.feed.ShareHealth(ctx, d.balancer, d.gateway) })
	wg.Go(func() { d.gateway.Run(ctx) })
	wg.Go(func() { d.keepReplicas(ctx) })
	d.log.Info(eventlog.Started, zap.String("data_centre", d.set.DataCentre), zap.String("callers", d.set.Callers),
		zap.String("store", d.set.Store), zap.Strings("contacts", d.set.Contacts))
	stopped := make(chan error, 1)
	go func() { stopped <- d.stop.Run(context.Background()) }()
	var err error
	select {
	case err = <-d.failed:
	case err = <-stopped:
	}
	cancel()
	wg.Wait()
	d.log.Info(eventlog.Stopped, zap.Int64("in_flight", d.gateway.InFlight()), zap.Error(err))
	return err
}

// keepReplicas closes the connections to replicas that are no longer listed.
func (d *Daemon) keepReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		view, changed := d.dir.View()
		d.replicas.Keep(view.Servers)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Reload reads the settings again. Addresses and the place of a process do not change while it runs; a change is logged
// and takes effect at the next start.
func (d *Daemon) Reload() {
	set, err := platform.LoadSettings(d.file)
	switch {
	case err != nil:
		d.log.Error(eventlog.SettingsInvalid, zap.Error(err))
	case !reflect.DeepEqual(set, d.set):
		d.log.Warn(eventlog.SettingsReread, zap.String("effect", "at the next start"))
	default:
		d.log.Info(eventlog.SettingsReread, zap.String("effect", "none, unchanged"))
	}
}
