// Command chivemill-confbench measures the dissemination of the configuration over many nodes in virtual time.
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
		Usage: "measure the dissemination of the configuration",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{7, 50, 200, 700, 1400}, Usage: "numbers of nodes"},
			&cli.IntSliceFlag{Name: "seeds", Value: []int{1, 2, 3}, Usage: "one run for each seed"},
			&cli.IntFlag{Name: "profiles", Value: 200, Usage: "number of profiles"},
			&cli.IntFlag{Name: "bytes", Value: 1024, Usage: "bytes of a profile"},
			&cli.IntFlag{Name: "changes", Value: 6000, Usage: "changes per day"},
			&cli.DurationFlag{Name: "duration", Value: 3 * time.Minute, Usage: "virtual time of a run"},
			&cli.DurationFlag{Name: "gossip-round", Value: 500 * time.Millisecond, Usage: "time in which a notice doubles its reach"},
			&cli.BoolFlag{Name: "no-parent-compare", Usage: "compare with random peers only"},
		},
		Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	runtime.GOMAXPROCS(2)
	fmt.Println("| nodes | seed | changes | bytes/s mean | bytes/s max | messages/s | CPU/node-s | heap KB/node | in force median | in force max | age max | watches | store calls/s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, nodes := range c.IntSlice("nodes") {
		for _, seed := range c.IntSlice("seeds") {
			f, err := confbench.Measure(scenario(c, nodes, seed))
			if err != nil {
				return eris.Wrapf(err, "%d nodes, seed %d", nodes, seed)
			}
			fmt.Printf("| %d | %d | %d | %.0f | %.0f | %.2f | %v | %.0f | %v | %v | %v | %d | %.3f |\n",
				f.Nodes, seed, f.Changes, f.BytesPerSecond, f.BytesPerSecondMax, f.MessagesPerSecond,
				f.CPUPerNodeSecond.Round(time.Microsecond), f.HeapPerNode/1024, f.InForceMedian.Round(time.Millisecond),
				f.InForceMax.Round(time.Millisecond), f.AgeMax.Round(time.Millisecond), f.Watches, f.StoreCallsPerSecond)
		}
	}
	return nil
}

func scenario(c *cli.Command, nodes, seed int) confbench.Scenario {
	s := confbench.Scenario{
		Nodes: nodes, DataCentres: 8, Regions: 2, Profiles: c.Int("profiles"), ValueBytes: c.Int("bytes"),
		ChangesPerDay: c.Int("changes"), MinChanges: 12, Duration: c.Duration("duration"),
		GossipRound: c.Duration("gossip-round"), Seed: uint64(seed), NoParentCompare: c.Bool("no-parent-compare"),
		Size: peer.WireSize,
	}
	if nodes <= 7 {
		s.DataCentres, s.Regions = 3, 3
	}
	return s
}
