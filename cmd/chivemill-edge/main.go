// Command chivemill-edge is the daemon that runs on the users' platform and serves callers' requests according to the
// operator's routes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/chivemill/chivemill/edge"
	"github.com/chivemill/chivemill/egress"
	"github.com/chivemill/chivemill/eventlog"
	"github.com/chivemill/chivemill/internal/daemon"
	"github.com/chivemill/chivemill/platform"
)

// Values of the flag egress.
const (
	egressAuto = "auto"
	egressOff  = "off"
)

// maxEgressPrice is the highest price in milliseconds per KiB. A request of one KiB never leaves for less than that.
const maxEgressPrice = 10_000

func main() {
	daemon.Main(&cli.Command{
		Name:  "chivemill-edge",
		Usage: "serve callers on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable), Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "print-effective", Usage: "print the settings with defaults and exit"},
			&cli.StringFlag{Name: "egress", Value: egressAuto, Usage: "`MODE` of the control of the requests that leave the data centre: auto or off",
				Validator: func(mode string) error {
					if mode != egressAuto && mode != egressOff {
						return eris.Errorf("egress mode %q is neither %s nor %s", mode, egressAuto, egressOff)
					}
					return nil
				}},
			&cli.FloatFlag{Name: "egress-price", Usage: "`MILLISECONDS` that each KiB that leaves the data centre must save",
				Validator: func(price float64) error {
					if !(price >= 0 && price <= maxEgressPrice) {
						return eris.Errorf("egress price %v is not in [0, %v]", price, maxEgressPrice)
					}
					return nil
				}},
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
	edgeDaemon, err := edge.New(file, cfg, edge.Options{Egress: egressSettings(cmd)}, log)
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

// egressSettings returns the settings of the control of the requests that leave the data centre, nil if it is off.
func egressSettings(cmd *cli.Command) *egress.Settings {
	if cmd.String("egress") == egressOff {
		return nil
	}
	return &egress.Settings{PricePerKiB: time.Duration(cmd.Float("egress-price") * float64(time.Millisecond))}
}
