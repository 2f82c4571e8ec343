// Command fleetrun runs a deployment's stand-ins and entry daemons as processes on loopback, sends them load in
// several phases with failures, prints what was measured and checks the promises. It exits 1 if one broke.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
)

// options of a run.
type options struct {
	deployment, bin, profiles, service, dir string
	scale, rate, orderRate                  float64
	basePort                                int
	seed                                    uint64
	phases                                  []string
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fleetrun:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "fleetrun",
		Usage: "measure a deployment's stand-ins and entry daemons on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "deployment `FILE`; the profiles are beside it", Required: true},
			&cli.StringFlag{Name: "bin", Usage: "`DIR` of the binaries", Value: "bin"},
			&cli.StringFlag{Name: "profiles", Usage: "`DIR` of profiles that replace those of the same file name"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the search service; the first one if empty"},
			&cli.StringFlag{Name: "dir", Usage: "keep settings, logs and samples in `DIR`, which must not exist"},
			&cli.FloatFlag{Name: "scale", Usage: "`FACTOR` of the deployment's size", Value: 1},
			&cli.FloatFlag{Name: "rate", Usage: "queries per second", Value: 100},
			&cli.FloatFlag{Name: "order-rate", Usage: "orders per second", Value: 10},
			&cli.IntFlag{Name: "base-port", Usage: "`PORT` of the store; the other processes take the next ones", Value: 21000},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrival times", Value: 1},
			&cli.StringFlag{Name: "phases", Usage: "comma-separated `NAMES`", Value: strings.Join(phaseNames(), ",")},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return measure(ctx, options{
				deployment: cmd.String("deployment"), bin: cmd.String("bin"), profiles: cmd.String("profiles"),
				service: cmd.String("service"), dir: cmd.String("dir"), scale: cmd.Float("scale"),
				rate: cmd.Float("rate"), orderRate: cmd.Float("order-rate"), basePort: cmd.Int("base-port"),
				seed: cmd.Uint64("seed"), phases: strings.Split(cmd.String("phases"), ","),
			})
		},
	}
}

// measure runs the phases and returns an error if a promise broke or the run could not be completed.
func measure(ctx context.Context, o options) error {
	phases, err := choosePhases(o.phases)
	if err != nil {
		return err
	}
	dir := o.dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "fleetrun"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	s, err := newStand(o, dir)
	if err != nil {
		return err
	}
	defer s.processes.killAll()
	begin := time.Now()
	fmt.Printf("%s: 1 store, %d entry daemons, %d backend servers; seed %d, %g queries/s, %g orders/s\n",
		o.deployment, len(s.plan.Entries), len(s.plan.Backends), o.seed, o.rate, o.orderRate)
	if err := s.start(ctx); err != nil {
		return err
	}
	r, err := newRun(s, dir)
	if err != nil {
		return err
	}
	if err := r.run(ctx, phases); err != nil {
		return err
	}
	fmt.Printf("\nrun took %s\n", time.Since(begin).Round(100*time.Millisecond))
	return r.verdict()
}
