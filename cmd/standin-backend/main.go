// Command standin-backend is a test stand-in of one backend server replica.
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

// crashStatus is the exit status after a request that crashes the replica.
const crashStatus = 3

func main() {
	set := backend.Default()
	daemon.Main(daemon.Command("standin-backend", "stand-in of one backend server replica", &set,
		func(ctx context.Context, log *zap.Logger) error { return run(ctx, log, set) }))
}

func run(ctx context.Context, log *zap.Logger, set backend.Settings) error {
	replica := backend.NewServer(set, time.Now().UnixMilli(), func() { os.Exit(crashStatus) })
	failed := make(chan error, 1)
	server, err := daemon.Start(set.Listen, replica.HTTPServer(), failed)
	if err != nil {
		return err
	}
	select {
	case <-daemon.StopSignal(ctx, log).Done():
	case err := <-failed:
		return err
	}
	replica.Drain()
	time.Sleep(set.DrainFor.D())
	return errors.Join(server.Shutdown(context.Background()), replica.WriteReport())
}
