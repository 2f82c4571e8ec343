// Command standin-store is a test stand-in of the platform: key-value service and VM list.
package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/internal/daemon"
	"github.com/chivemill/chivemill/internal/standin/store"
	"github.com/chivemill/chivemill/kv/kvtest"
	"github.com/chivemill/chivemill/vmlist"
)

func main() {
	set := &store.Settings{}
	daemon.Main(daemon.Command("standin-store", "stand-in of the platform's key-value service and VM list", set,
		func(ctx context.Context, log *zap.Logger) error { return run(ctx, log, set) }))
}

func run(ctx context.Context, log *zap.Logger, set *store.Settings) error {
	platform := store.NewServer(kvtest.NewMemory(nil))
	if set.VMs != "" {
		vms, err := readVMs(set.VMs)
		if err != nil {
			return err
		}
		platform.SetVMs(vms)
	}
	failed := make(chan error, 1)
	server, err := daemon.Serve(set.Listen, platform.Handler(), failed)
	if err != nil {
		return err
	}
	defer server.Close()
	select {
	case <-daemon.StopSignal(ctx, log).Done():
		return nil
	case err := <-failed:
		return err
	}
}

func readVMs(file string) ([]vmlist.VM, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "vm list")
	}
	var vms []vmlist.VM
	return vms, eris.Wrapf(json.Unmarshal(data, &vms), "vm list %s", file)
}
