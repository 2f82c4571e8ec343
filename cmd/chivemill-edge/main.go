// Command chivemill-edge is the daemon that runs on the users' platform and serves callers' requests according to the
// operator's routes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/edge"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/daemon"
	"github.com/chivemill/chivemill/platform"
)

func main() {
	daemon.Main(&cli.Command{
		Name:  "chivemill-edge",
		Usage: "serve callers on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "print-effective", Usage: "print the settings with defaults and exit"},
		},
		Action: run,
	})
}

func run(_ context.Context, cmd *cli.Command) error {
	file := cmd.String("settings")
	cfg, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	switch {
	case cmd.Bool("print-effective"):
		out, err := cfg.Format()
		fmt.Fprint(cmd.Root().Writer, string(out))
		return err
	case cmd.Bool("check"):
		fmt.Fprintln(cmd.Root().Writer, "settings are valid")
		return nil
	}
	log := eventlog.New(os.Stdout, eventlog.Options{}, zap.String("node", cfg.Node))
	defer log.Close()
	defer log.RedirectStandardLog()()
	edgeDaemon, err := edge.New(file, cfg, log)
	if err != nil {
		return err
	}
	go daemon.OnStopSignal(edgeDaemon.Stop)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			edgeDaemon.Reload()
		}
	}()
	return edgeDaemon.Run()
}
