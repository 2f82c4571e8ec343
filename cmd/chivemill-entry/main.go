// Command chivemill-entry is the entry daemon.
package main

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/entry"
	"github.com/chivemill/chivemill/internal/daemon"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/settings"
	"github.com/chivemill/chivemill/vmlist"
)

// operatorShutdown bounds the wait for operators' requests at the end; callers' requests are not bounded by it.
const operatorShutdown = time.Second

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
	defer cancel()
	go d.Run(runCtx)
	select {
	case <-daemon.StopSignal(ctx, log).Done():
	case err := <-failed:
		return err
	}
	d.StartDraining()
	time.Sleep(set.BalancerLag.D())
	if err := callers.Shutdown(context.Background()); err != nil {
		return err
	}
	stopCtx, stop := context.WithTimeout(context.Background(), operatorShutdown)
	defer stop()
	return operators.Shutdown(stopCtx)
}
