// Command standin-fleet generates the settings files and the VM list of a test deployment with a stand-in store and
// stand-in backend servers. It does not start any processes.
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
		Usage: "generate settings and the VM list of a test deployment with a stand-in store and stand-in backend servers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "deployment `FILE`, such as examples/tutkal/services.yaml", Required: true},
			&cli.StringFlag{Name: "out", Usage: "output `DIR`, which must be empty or must not exist", Required: true},
			&cli.FloatFlag{Name: "scale", Usage: "scale `FACTOR` of the deployment, greater than 0 and at most 1", Value: 0.1},
			&cli.StringFlag{Name: "host", Usage: "`IP` address of all processes", Value: "127.0.0.1"},
			&cli.IntFlag{Name: "base-port", Usage: "`PORT` of the store; the other processes use the following ports", Value: 21000},
			&cli.IntFlag{Name: "entries", Usage: "`NUMBER` of entry daemons; 0 selects the number in the deployment"},
		},
		Action: generate,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func generate(_ context.Context, cmd *cli.Command) error {
	dep, err := deployment.Load(cmd.String("deployment"))
	if err != nil {
		return err
	}
	host, err := netip.ParseAddr(cmd.String("host"))
	if err != nil {
		return eris.Wrap(err, "--host")
	}
	plan, err := fleet.Generate(dep, fleet.Options{
		Scale: cmd.Float("scale"), Host: host, BasePort: cmd.Int("base-port"), EntryDaemons: cmd.Int("entries"),
	})
	if err != nil {
		return err
	}
	if err := plan.Write(cmd.String("out")); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: 1 store, %d entry daemons, %d backend servers in %s\n",
		dep.Name, len(plan.Entries), len(plan.Backends), cmd.String("out"))
	return nil
}
