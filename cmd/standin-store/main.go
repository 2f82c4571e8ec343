// Command standin-store is a stand-in for the platform's key-value service and VM list, for tests.
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
	cfg := &store.Settings{}
	daemon.Main(daemon.Command("standin-store", "stand-in for the platform's key-value service and VM list, for tests", cfg,
		func(ctx context.Context, log *zap.Logger) error { return run(ctx, log, cfg) }))
}

func run(ctx context.Context, log *zap.Logger, cfg *store.Settings) error {
	platform := store.NewServer(kvtest.NewMemory(nil))
	if cfg.VMListFile != "" {
		vms, err := readVMs(cfg.VMListFile)
		if err != nil {
			return err
		}
		platform.SetVMList(vms)
	}
	failed := make(chan error, 1)
	server, err := daemon.Serve(cfg.Listen, platform.Handler(), failed)
	if err != nil {
		return err
	}
	defer server.Close()
	select {
	case <-daemon.StopContext(ctx, log).Done():
		return nil
	case err := <-failed:
		return err
	}
}

func readVMs(file string) ([]vmlist.VM, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read VM list")
	}
	var vms []vmlist.VM
	return vms, eris.Wrapf(json.Unmarshal(data, &vms), "decode VM list %s", file)
}
