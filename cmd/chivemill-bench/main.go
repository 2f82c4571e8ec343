// Command chivemill-bench measures the query policy in virtual time and compares it with the baseline.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/internal/bench"
)

// gcPercent trades memory for time: a run keeps little, and collects garbage often at the default.
const gcPercent = 800

func main() {
	cmd := &cli.Command{
		Name:  "chivemill-bench",
		Usage: "measure the query policy in virtual time against the baseline",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, from 1"},
			&cli.IntFlag{Name: "workers", Value: 4, Usage: "runs at the same time"},
			&cli.StringFlag{Name: "cases", Usage: "comma-separated case names; empty runs all"},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile to this file"},
			&cli.DurationFlag{Name: "partial-after", Usage: "replace the partial_after of profiles that return partial answers; 0s turns it off"},
			&cli.FloatFlag{Name: "least-coverage", Usage: "replace the least_coverage of the same profiles, from 0 to 1"},
			&cli.StringFlag{Name: "deployments", Usage: "comma-separated deployment names; empty runs all"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func selected(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

// strategies returns the strategies of a case: placement by dominant resource competes where queries differ.
func strategies(c bench.Case) []bench.Strategy {
	list := []bench.Strategy{bench.Baseline(), bench.Default()}
	if slices.Contains([]string{"flood", "mix", "mix-overload"}, c.Name) {
		list = append(list, bench.DominantResource())
	}
	return list
}

func run(_ context.Context, cmd *cli.Command) error {
	var jobs []bench.Job
	for _, dep := range []bench.Deployment{bench.Gravura(), bench.Tutkal()} {
		if cmd.IsSet("partial-after") {
			dep.SetPartialAfter(cmd.Duration("partial-after"))
		}
		if cmd.IsSet("least-coverage") {
			dep.SetLeastCoverage(cmd.Float("least-coverage"))
		}
		for _, c := range bench.Cases() {
			if !selected(cmd.String("deployments"), dep.Name) || !selected(cmd.String("cases"), c.Name) {
				continue
			}
			for _, s := range strategies(c) {
				for seed := range cmd.Int("seeds") {
					jobs = append(jobs, bench.Job{Deployment: dep, Case: c, Strategy: s, Seed: uint64(seed) + 1})
				}
			}
		}
	}
	if len(jobs) == 0 {
		return eris.New("no case of that name")
	}
	if file := cmd.String("profile"); file != "" {
		out, err := os.Create(file)
		if err != nil {
			return eris.Wrap(err, "profile")
		}
		defer out.Close()
		if err := pprof.StartCPUProfile(out); err != nil {
			return eris.Wrap(err, "profile")
		}
		defer pprof.StopCPUProfile()
	}
	debug.SetGCPercent(gcPercent)
	begin := time.Now()
	rows := bench.Collect(jobs, bench.Measure(jobs, cmd.Int("workers")))
	bench.Print(os.Stdout, rows)
	bench.PrintRatios(os.Stdout, rows, bench.Default().Name)
	bench.PrintRatios(os.Stdout, rows, bench.DominantResource().Name)
	missed := bench.PrintTargets(os.Stdout, rows, bench.Default().Name)
	fmt.Printf("\n%d runs in %.1f s, %d targets missed\n", len(jobs), time.Since(begin).Seconds(), missed)
	return nil
}
