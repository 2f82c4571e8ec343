// Command standin-backend is a stand-in for one replica of a backend server, for tests.
package main

import (
	"context"
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/chivemill/chivemill/internal/daemon"
	"github.com/chivemill/chivemill/internal/standin/backend"
)

// crashStatus is the exit status after a request that makes the replica crash.
const crashStatus = 3

func main() {
	cfg := backend.Default()
	daemon.Main(daemon.Command("standin-backend", "stand-in for one replica of a backend server, for tests", &cfg,
		func(ctx context.Context, log *zap.Logger) error { return run(ctx, log, cfg) }))
}

func run(ctx context.Context, log *zap.Logger, cfg backend.Settings) error {
	replica := backend.NewServer(cfg, time.Now().UnixMilli(), func() { os.Exit(crashStatus) })
	failed := make(chan error, 1)
	server, err := daemon.ServeWith(cfg.Listen, replica.HTTPServer(), failed)
	if err != nil {
		return err
	}
	select {
	case <-daemon.StopContext(ctx, log).Done():
	case err := <-failed:
		return err
	}
	replica.Drain()
	time.Sleep(cfg.DrainFor.AsDuration())
	return errors.Join(server.Shutdown(context.Background()), replica.WriteReport())
}
