// Command chivemill-entry is the entry daemon.
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
	// operatorShutdown bounds the wait for operators' requests at the end; callers' requests are not bounded by it.
	operatorShutdown = time.Second
	// leaveTimeout bounds the announcement of the planned stop to the peers.
	leaveTimeout = 3 * time.Second
)

func main() {
	set := settings.DefaultEntry()
	daemon.Main(daemon.Command("chivemill-entry", "entry daemon between callers and backend servers", &set,
		func(ctx context.Context, log *zap.Logger) error { return run(ctx, log, set) }))
}

func run(ctx context.Context, log *zap.Logger, set settings.Entry) error {
	store, err := etcdjson.New(set.Store.Endpoints)
	if err != nil {
		return err
	}
	list := &vmlist.HTTPSource{URL: set.Store.VMList, Client: &http.Client{}}
	provider, err := metrics.NewProvider()
	if err != nil {
		return err
	}
	d, err := entry.NewDaemon(set, log.With(zap.String("node", set.Node)), store, list, provider.Meter())
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	callers, err := daemon.Serve(set.Listen, d.CallerHandler(), failed)
	if err != nil {
		return err
	}
	operators, err := daemon.Serve(set.Operator, d.OperatorHandler(provider.Handler()), failed)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		d.Run(runCtx)
		close(ended)
	}()
	err = serve(ctx, log, set, d, callers, failed)
	cancel()
	<-ended
	stopCtx, stop := context.WithTimeout(context.Background(), operatorShutdown)
	defer stop()
	return errors.Join(err, operators.Shutdown(stopCtx))
}

// serve returns after a planned stop, or with the error of a listener.
func serve(ctx context.Context, log *zap.Logger, set settings.Entry, d *entry.Daemon, callers *http.Server, failed <-chan error) error {
	closed := make(chan struct{})
	sequence := drain.NewShutdown(
		drain.Options{BalancerLag: set.BalancerLag.D(), LeaveTimeout: leaveTimeout},
		drain.Hooks{
			NotReady:       d.StartDraining,
			CloseListeners: func() { go shutdown(log, callers, closed) },
			InFlight:       d.InFlight,
			Leave:          d.Leave,
			PhaseChanged:   func(p drain.Phase) { log.Info("planned stop", zap.String("phase", string(p))) },
			SignalIgnored:  func() { log.Info("further stop signal ignored") },
		})
	go daemon.OnStopSignal(sequence.Signal)
	stopped := make(chan error, 1)
	go func() { stopped <- sequence.Run(ctx) }()
	select {
	case err := <-stopped:
		// A response is written out after its request has left the in-flight count.
		<-closed
		d.WaitOrders()
		return err
	case err := <-failed:
		return err
	}
}

// shutdown stops the callers' server and closes done when every response is written out.
func shutdown(log *zap.Logger, callers *http.Server, done chan<- struct{}) {
	defer close(done)
	if err := callers.Shutdown(context.Background()); err != nil {
		log.Warn("callers' listener", zap.Error(err))
	}
}
