// Command chivemill-edge is the daemon on the users' platform: it serves callers' requests by the operator's routes.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/balancer"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/gateway"
	"github.com/chivemill/chivemill/metrics"
	"github.com/chivemill/chivemill/platform"
	"github.com/chivemill/chivemill/topology"
)

func main() {
	cmd := &cli.Command{
		Name:  "chivemill-edge",
		Usage: "serve callers on the platform; the settings file is named by " + platform.SettingsVariable,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			set, err := platform.LoadSettings(cmd.String("settings"))
			if err != nil {
				return err
			}
			if cmd.Bool("check") {
				fmt.Fprintln(cmd.Root().Writer, "settings are valid")
				return nil
			}
			return run(ctx, cmd.String("settings"), set)
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// reloadSettings reads the settings again. Addresses and the place of a process do not change while it runs; a change
// is logged and takes effect at the next start.
func reloadSettings(file string, running platform.Settings, log *zap.Logger) {
	set, err := platform.LoadSettings(file)
	switch {
	case err != nil:
		log.Error(eventlog.SettingsInvalid, zap.Error(err))
	case !reflect.DeepEqual(set, running):
		log.Warn(eventlog.SettingsReread, zap.String("effect", "at the next start"))
	default:
		log.Info(eventlog.SettingsReread, zap.String("effect", "none, unchanged"))
	}
}

func run(ctx context.Context, file string, set platform.Settings) error {
	log := eventlog.New(os.Stdout, eventlog.Options{}, zap.String("node", set.Node))
	defer log.Close()
	redirect := zap.RedirectStdLog(log.Logger)
	defer redirect()
	collected, err := metrics.NewProvider()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(set.MemoryBytes * 7 / 10)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	dir := topology.NewDirectory()
	store := platform.NewStoreClient(set.Store, set.LeastLease, nil)
	self := topology.Self{
		Node: set.Node, DataCentre: set.DataCentre, Address: set.Peers, HealthAddress: set.Health, Distance: set.Distance,
	}
	feed := topology.NewFeed(dir, store, platform.Decoder{}, platform.Keys(), self, set.Contacts, log.Logger)
	b := balancer.New(xxhash.Sum64String(set.Node))
	replicas := platform.NewReplicas(b.Report)
	g, err := gateway.New(gateway.Options{
		BudgetRatio: set.BudgetRatio, BudgetFixed: set.BudgetFixed, BudgetSpan: set.BudgetSpan,
	}, dir, b, replicas, rand.Float64, collected.Meter(), log.Logger)
	if err != nil {
		return err
	}

	failed := make(chan error, 4)
	draining := make(chan struct{})
	isDraining := func() bool {
		select {
		case <-draining:
			return true
		default:
			return false
		}
	}
	callers := &http.Server{Handler: platform.NewCallers(g, isDraining)}
	ready := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() || isDraining() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	mux := http.NewServeMux()
	mux.Handle(topology.PathPull, feed.Handler())
	for _, s := range []struct {
		server  *http.Server
		address string
	}{
		{callers, set.Callers}, {ready, set.Ready}, {&http.Server{Handler: mux}, set.Peers},
		{&http.Server{Handler: collected.Handler()}, set.MetricsAddress()},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return eris.Wrap(err, "listen")
		}
		go func() {
			if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	go feed.Run(ctx)
	go feed.ShareHealth(ctx, b)
	go g.Run(ctx)
	go func() {
		for ctx.Err() == nil {
			view, changed := dir.View()
			replicas.Keep(view.Servers)
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
	}()
	log.Info(eventlog.Started, zap.String("data_centre", set.DataCentre), zap.String("callers", set.Callers))

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for stopping := false; !stopping; {
		select {
		case err := <-failed:
			return err
		case <-reload:
			reloadSettings(file, set, log.Logger)
		case <-signals:
			stopping = true
		}
	}
	log.Info(eventlog.Stopping, zap.Int64("in_flight", g.InFlight()))
	close(draining)
	stopAt := time.Now().Add(set.StopGrace * 5 / 6)
	time.Sleep(set.StopGrace / 2)
	g.Stop()
	stopCtx, stopCancel := context.WithDeadline(context.Background(), stopAt)
	defer stopCancel()
	err = callers.Shutdown(stopCtx)
	log.Info(eventlog.Stopped, zap.Int64("in_flight", g.InFlight()), zap.Error(err))
	return nil
}
