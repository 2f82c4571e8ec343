// Command chivemill-capacity measures how the cost of the traffic between daemons grows with the fleet.
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

// part is one group of measurements. Parts run one after the other. The measurement of configuration (package
// confsync) is a further part.
type part struct {
	name string
	run  func(out, progress io.Writer)
	// extra parts run only if they are named.
	extra bool
}

var parts = []part{
	{name: "costs", run: costs},
	{name: "events", run: fleetEvents},
	{name: "large", run: largeEvents, extra: true},
}

func main() {
	daemon.Main(&cli.Command{
		Name:  "chivemill-capacity",
		Usage: "measure how traffic, CPU, memory and delays between daemons grow with the fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "part", Usage: "run only the part `NAME`: costs, events or large"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			capacity.Limit()
			begin := time.Now()
			for _, p := range parts {
				if only := cmd.String("part"); only == "" && !p.extra || only == p.name {
					p.run(cmd.Root().Writer, os.Stderr)
				}
			}
			fmt.Fprintf(os.Stderr, "finished after %.0f s\n", time.Since(begin).Seconds())
			return nil
		},
	})
}

// costs has to run alone in the process, because it measures CPU time of the whole process.
func costs(out, _ io.Writer) {
	capacity.Heading(out, "CPU and memory of one node: membership, signals, shares")
	capacity.WriteCosts(out, capacity.MeasureCosts(capacity.Sizes))
	fmt.Fprintf(out, "\nSignal table: %.0f bytes per replica.\n", capacity.SignalMemory())
}

func fleetEvents(out, progress io.Writer) {
	results := runJobs(capacity.Plan(), progress)
	capacity.Heading(out, "Time until all nodes know")
	capacity.WriteEvents(out, results)
	capacity.Heading(out, "Growth of the largest delay")
	capacity.WriteGrowth(out, results)
	capacity.Heading(out, "Bytes sent per node and second")
	capacity.WriteDays(out, results)
}

// largeEvents measures bad events of the two-year size.
func largeEvents(out, progress io.Writer) {
	capacity.Heading(out, "Bad events at the two-year size")
	capacity.WriteEvents(out, runJobs(capacity.LargePlan(), progress))
}

func runJobs(jobs []capacity.Job, progress io.Writer) []capacity.Result {
	return capacity.RunJobs(jobs, func(r capacity.Result) {
		fmt.Fprintf(progress, "%d nodes, seed %d: %.0f s\n", r.Nodes, r.Seed, r.Wall.Seconds())
	})
}
