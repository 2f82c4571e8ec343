// Command chivemill-capacity measures how the cost of the traffic between daemons grows with the number of daemons.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/internal/capacity"
	"github.com/chivemill/chivemill/internal/daemon"
)

// part is a group of measurements. Parts run sequentially. The distribution of the configuration (package confsync) is
// measured separately.
type part struct {
	name string
	run  func(out, progress io.Writer)
	// optIn is set for parts that run only if they are selected with --part.
	optIn bool
}

var parts = []part{
	{name: "costs", run: measureCosts},
	{name: "events", run: measureEvents},
	{name: "large", run: measureLargeOutages, optIn: true},
}

func main() {
	daemon.Main(&cli.Command{
		Name:  "chivemill-capacity",
		Usage: "measure how traffic, CPU, memory and delays between daemons grow with the number of daemons",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "part", Usage: "run only the part `NAME`: costs, events or large"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			capacity.ApplyResourceLimits()
			start := time.Now()
			for _, p := range parts {
				if selected := cmd.String("part"); selected == "" && !p.optIn || selected == p.name {
					p.run(cmd.Root().Writer, os.Stderr)
				}
			}
			fmt.Fprintf(os.Stderr, "finished after %.0f s\n", time.Since(start).Seconds())
			return nil
		},
	})
}

// measureCosts must not run concurrently with other parts, because it measures the CPU time of the whole process.
func measureCosts(out, _ io.Writer) {
	capacity.Heading(out, "CPU and memory of one node: membership, signals, shares")
	capacity.WriteCosts(out, capacity.MeasureCosts(capacity.Sizes))
	fmt.Fprintf(out, "\nSignal table: %.0f bytes per replica.\n", capacity.SignalMemoryPerReplica())
}

func measureEvents(out, progress io.Writer) {
	results := runJobs(capacity.Plan(), progress)
	capacity.Heading(out, "Time until an event has reached all nodes")
	capacity.WriteEvents(out, results)
	capacity.Heading(out, "Growth of the largest delay")
	capacity.WriteDelayGrowth(out, results)
	capacity.Heading(out, "Bytes sent per second and node")
	capacity.WriteDailyTraffic(out, results)
}

// measureLargeOutages measures the large outages at the two-year fleet size.
func measureLargeOutages(out, progress io.Writer) {
	capacity.Heading(out, "Large outages at the two-year size")
	capacity.WriteEvents(out, runJobs(capacity.LargeOutagePlan(), progress))
}

func runJobs(jobs []capacity.Job, progress io.Writer) []capacity.Result {
	return capacity.RunJobs(jobs, func(r capacity.Result) {
		fmt.Fprintf(progress, "%d nodes, seed %d: %.0f s\n", r.Nodes, r.Seed, r.WallTime.Seconds())
	})
}
