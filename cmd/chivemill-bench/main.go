// Command chivemill-bench benchmarks the query policy in virtual time and compares it with a baseline.
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

// gcPercent trades memory for time: a run has a small live heap, so the default would trigger garbage collection often.
const gcPercent = 800

func main() {
	cmd := &cli.Command{
		Name:  "chivemill-bench",
		Usage: "benchmark the query policy in virtual time against the baseline",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seeds", Value: 5, Usage: "number of seeds, starting with seed 1"},
			&cli.IntFlag{Name: "workers", Value: 4, Usage: "number of concurrent runs"},
			&cli.StringFlag{Name: "cases", Usage: "comma-separated case names; all if empty"},
			&cli.StringFlag{Name: "profile", Usage: "write a CPU profile to this file"},
			&cli.DurationFlag{Name: "partial-after",
				Usage: "override partial_after of profiles that return partial answers; 0s disables it"},
			&cli.FloatFlag{Name: "least-coverage", Usage: "override least_coverage of profiles that return partial answers, from 0 to 1"},
			&cli.StringFlag{Name: "deployments", Usage: "comma-separated deployment names; all if empty"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func isSelected(list, name string) bool {
	return list == "" || slices.Contains(strings.Split(list, ","), name)
}

// strategies returns the strategies to benchmark for a case. Placement by dominant resource is included only in cases
// whose queries differ from each other.
func strategies(c bench.Case) []bench.Strategy {
	list := []bench.Strategy{bench.BaselineStrategy(), bench.DefaultStrategy()}
	if slices.Contains([]string{"flood", "mix", "mix-overload"}, c.Name) {
		list = append(list, bench.DominantResourceStrategy())
	}
	return list
}

func run(_ context.Context, cmd *cli.Command) error {
	var jobs []bench.Job
	for _, deployment := range []bench.Deployment{bench.Gravura(), bench.Tutkal()} {
		if cmd.IsSet("partial-after") {
			deployment.SetPartialAfter(cmd.Duration("partial-after"))
		}
		if cmd.IsSet("least-coverage") {
			deployment.SetRequiredCoverage(cmd.Float("least-coverage"))
		}
		for _, benchCase := range bench.Cases() {
			if !isSelected(cmd.String("deployments"), deployment.Name) || !isSelected(cmd.String("cases"), benchCase.Name) {
				continue
			}
			for _, strategy := range strategies(benchCase) {
				for seed := range cmd.Int("seeds") {
					jobs = append(jobs, bench.Job{Deployment: deployment, Case: benchCase, Strategy: strategy, Seed: uint64(seed) + 1})
				}
			}
		}
	}
	if len(jobs) == 0 {
		return eris.New("no case matches --cases and --deployments")
	}
	if file := cmd.String("profile"); file != "" {
		out, err := os.Create(file)
		if err != nil {
			return eris.Wrap(err, "create CPU profile file")
		}
		defer out.Close()
		if err := pprof.StartCPUProfile(out); err != nil {
			return eris.Wrap(err, "start CPU profile")
		}
		defer pprof.StopCPUProfile()
	}
	debug.SetGCPercent(gcPercent)
	start := time.Now()
	rows := bench.GroupResults(jobs, bench.Measure(jobs, cmd.Int("workers")))
	bench.PrintRows(os.Stdout, rows)
	bench.PrintRatios(os.Stdout, rows, bench.DefaultStrategy().Name)
	bench.PrintRatios(os.Stdout, rows, bench.DominantResourceStrategy().Name)
	missed := bench.PrintTargets(os.Stdout, rows, bench.DefaultStrategy().Name)
	fmt.Printf("\n%d runs in %.1f s, %d targets missed\n", len(jobs), time.Since(start).Seconds(), missed)
	return nil
}
