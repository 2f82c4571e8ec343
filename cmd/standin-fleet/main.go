// Command standin-fleet writes the settings files and the VM list of stand-in processes for a deployment. It starts
// no process.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/deployment"
	"github.com/chivemill/chivemill/internal/standin/fleet"
)

func main() {
	cmd := &cli.Command{
		Name:  "standin-fleet",
		Usage: "write settings and the VM list of stand-in processes for a deployment",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "deployment `FILE`, such as examples/tutkal/services.yaml", Required: true},
			&cli.StringFlag{Name: "out", Usage: "`DIR` to write to; it must be empty or not exist", Required: true},
			&cli.FloatFlag{Name: "scale", Usage: "`FACTOR` of the deployment's size, above 0 and up to 1", Value: 0.1},
			&cli.StringFlag{Name: "host", Usage: "`IP` address of all processes", Value: "127.0.0.1"},
			&cli.IntFlag{Name: "base-port", Usage: "`PORT` of the store; the other processes take the next ones", Value: 21000},
			&cli.IntFlag{Name: "entries", Usage: "`NUMBER` of entry daemons; 0 takes the deployment's"},
		},
		Action: generate,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func generate(_ context.Context, cmd *cli.Command) error {
	d, err := deployment.Load(cmd.String("deployment"))
	if err != nil {
		return err
	}
	host, err := netip.ParseAddr(cmd.String("host"))
	if err != nil {
		return eris.Wrap(err, "--host")
	}
	plan, err := fleet.Generate(d, fleet.Options{
		Scale: cmd.Float("scale"), Host: host, BasePort: cmd.Int("base-port"), Entries: cmd.Int("entries"),
	})
	if err != nil {
		return err
	}
	if err := plan.Write(cmd.String("out")); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: 1 store, %d entry daemons, %d backend servers in %s\n",
		d.Name, len(plan.Entries), len(plan.Backends), cmd.String("out"))
	return nil
}
