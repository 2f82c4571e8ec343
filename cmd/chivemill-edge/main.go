// Command chivemill-edge is the daemon on the users' platform: it serves callers' requests by the operator's routes.
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
		Action: action,
	})
}

func action(_ context.Context, cmd *cli.Command) error {
	file := cmd.String("settings")
	set, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	switch {
	case cmd.Bool("print-effective"):
		out, err := set.Format()
		fmt.Fprint(cmd.Root().Writer, string(out))
		return err
	case cmd.Bool("check"):
		fmt.Fprintln(cmd.Root().Writer, "settings are valid")
		return nil
	}
	log := eventlog.New(os.Stdout, eventlog.Options{}, zap.String("node", set.Node))
	defer log.Close()
	defer zap.RedirectStdLog(log.Logger)()
	d, err := edge.New(file, set, log)
	if err != nil {
		return err
	}
	go daemon.OnStopSignal(d.Stop)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			d.Reload()
		}
	}()
	return d.Run()
}
