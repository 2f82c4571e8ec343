// Command chivemill-confbench benchmarks the distribution of the configuration to many nodes in virtual time.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/internal/confbench"
	"github.com/chivemill/chivemill/peer"
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "chivemill-confbench",
		Usage: "benchmark the distribution of the configuration",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{7, 50, 200, 700, 1400}, Usage: "`NUMBERS` of nodes, with one series of runs each"},
			&cli.IntSliceFlag{Name: "seeds", Value: []int{1, 2, 3}, Usage: "`SEEDS`, with one run each"},
			&cli.IntFlag{Name: "profiles", Value: 200, Usage: "number of profiles"},
			&cli.IntFlag{Name: "bytes", Value: 1024, Usage: "size of a profile in bytes"},
			&cli.IntFlag{Name: "changes", Value: 6000, Usage: "number of changes per day"},
			&cli.DurationFlag{Name: "duration", Value: 3 * time.Minute, Usage: "duration of a run in virtual time"},
			&cli.DurationFlag{Name: "gossip-round", Value: 500 * time.Millisecond,
				Usage: "time in which the number of nodes that have received a notice doubles"},
			&cli.BoolFlag{Name: "no-parent-compare", Usage: "compare the configuration with random peers only, not with the parent"},
		},
		Action: run,
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	runtime.GOMAXPROCS(2)
	fmt.Println("| nodes | seed | changes | bytes/s mean | bytes/s max | messages/s | CPU/node-s | heap KB/node | in force median | in force max | age max | watches | store calls/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, nodes := range cmd.IntSlice("nodes") {
		for _, seed := range cmd.IntSlice("seeds") {
			results, err := confbench.Measure(scenario(cmd, nodes, seed))
			if err != nil {
				return eris.Wrapf(err, "%d nodes, seed %d", nodes, seed)
			}
			fmt.Printf("| %d | %d | %d | %.0f | %.0f | %.2f | %v | %.0f | %v | %v | %v | %d | %.3f |\n",
				results.Nodes, seed, results.Changes, results.BytesPerSecond, results.MaxBytesPerSecond, results.MessagesPerSecond,
				results.CPUPerNodeSecond.Round(time.Microsecond), results.HeapPerNode/1024, results.RolloutMedian.Round(time.Millisecond),
				results.RolloutMax.Round(time.Millisecond), results.MaxConfirmationAge.Round(time.Millisecond), results.OpenWatches, results.StoreCallsPerSecond)
		}
	}
	return nil
}

func scenario(cmd *cli.Command, nodes, seed int) confbench.Scenario {
	s := confbench.Scenario{
		Nodes: nodes, DataCentres: 8, Regions: 2, Profiles: cmd.Int("profiles"), ValueBytes: cmd.Int("bytes"),
		ChangesPerDay: cmd.Int("changes"), MinChanges: 12, Duration: cmd.Duration("duration"),
		GossipRound: cmd.Duration("gossip-round"), Seed: uint64(seed), NoParentCompare: cmd.Bool("no-parent-compare"),
		Size: peer.WireSize,
	}
	if nodes <= 7 {
		s.DataCentres, s.Regions = 3, 3
	}
	return s
}
