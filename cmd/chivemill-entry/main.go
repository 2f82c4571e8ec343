// Command chivemill-entry is the entry daemon between callers and backend servers.
package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/drain"
	"github.com/chivemill/chivemill/entry"
	"github.com/chivemill/chivemill/internal/daemon"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/vmlist"
)

const (
	// operatorShutdownTimeout limits the wait for operators' requests during shutdown. It does not limit callers' requests.
	operatorShutdownTimeout = time.Second
	// leaveTimeout limits the time to announce the planned stop to the peers.
	leaveTimeout = 3 * time.Second
)

func main() {
	cfg := settings.DefaultEntry()
	daemon.Main(daemon.Command("chivemill-entry", "entry daemon between callers and backend servers", &cfg,
		func(ctx context.Context, log *zap.Logger) error { return run(ctx, log, cfg) }))
}

func run(ctx context.Context, log *zap.Logger, cfg settings.Entry) error {
	store, err := etcdjson.New(cfg.Store.Endpoints)
	if err != nil {
		return err
	}
	list := &vmlist.HTTPSource{URL: cfg.Store.VMListURL, Client: &http.Client{}}
	provider, err := metrics.NewProvider()
	if err != nil {
		return err
	}
	entryDaemon, err := entry.NewDaemon(cfg, log.With(zap.String("node", cfg.Node)), store, list, provider.Meter())
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	callers, err := entryDaemon.StartCallers(failed)
	if err != nil {
		return err
	}
	operators, err := entryDaemon.StartOperators(provider.Handler(), failed)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	daemonDone := make(chan struct{})
	go func() {
		entryDaemon.Run(runCtx)
		close(daemonDone)
	}()
	err = serve(ctx, log, cfg, entryDaemon, callers, failed)
	cancel()
	<-daemonDone
	stopCtx, stop := context.WithTimeout(context.Background(), operatorShutdownTimeout)
	defer stop()
	return errors.Join(err, operators.Shutdown(stopCtx))
}

// serve returns the result of a planned stop, or the error of a listener.
func serve(ctx context.Context, log *zap.Logger, cfg settings.Entry, entryDaemon *entry.Daemon, callers *http.Server,
	failed <-chan error) error {
	callersDone := make(chan struct{})
	stopSequence := drain.NewShutdown(
		drain.Options{BalancerLag: cfg.BalancerLag.AsDuration(), LeaveTimeout: leaveTimeout},
		drain.Hooks{
			NotReady:       entryDaemon.StartDraining,
			CloseListeners: func() { go shutdown(log, callers, callersDone) },
			InFlight:       entryDaemon.InFlight,
			Leave:          entryDaemon.AnnounceLeave,
			PhaseChanged:   func(p drain.Phase) { log.Info("planned stop", zap.String("phase", string(p))) },
			SignalIgnored:  func() { log.Info("further stop signal ignored") },
		})
	go daemon.OnStopSignal(stopSequence.Signal)
	stopped := make(chan error, 1)
	go func() { stopped <- stopSequence.Run(ctx) }()
	select {
	case err := <-stopped:
		// Responses may still be written after their requests are no longer counted as in flight.
		<-callersDone
		entryDaemon.WaitForClaimReleases()
		return err
	case err := <-failed:
		return err
	}
}

// shutdown stops the callers' server and closes done when all responses have been written.
func shutdown(log *zap.Logger, callers *http.Server, done chan<- struct{}) {
	defer close(done)
	if err := callers.Shutdown(context.Background()); err != nil {
		log.Warn("callers' listener", zap.Error(err))
	}
}
