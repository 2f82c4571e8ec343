package ctl

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/edge"
)

func (a *app) edgeCommand() *cli.Command {
	return &cli.Command{
		Name:      "edge",
		Usage:     "show the state of an edge daemon: configuration version, replicas, retry budgets",
		ArgsUsage: "URL",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "all", Usage: "also show ready replicas"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			urls, err := positionalArgs(cmd, "URL")
			if err != nil {
				return err
			}
			status, err := a.env.EdgeStatus(ctx, urls[0])
			if err != nil {
				return err
			}
			if a.json {
				out := json.NewEncoder(a.env.Out)
				out.SetIndent("", "  ")
				return eris.Wrap(out.Encode(status), "output")
			}
			a.printEdgeStatus(status, cmd.Bool("all"))
			return nil
		},
	}
}

func (a *app) printEdgeStatus(s edge.Status, all bool) {
	a.printf("%s in %s: phase %s, ready %v, %d in flight\n", s.Node, s.DataCentre, s.Phase, s.Ready, s.InFlight)
	a.printf("configuration version %d with %d routes, replica list confirmed %d ms ago\n", s.Version, s.Routes, s.ListAgeMS)
	for _, dataCentre := range slices.Sorted(maps.Keys(s.Daemons)) {
		a.printf("daemons in %s: %d\n", dataCentre, s.Daemons[dataCentre])
	}
	for _, service := range slices.Sorted(maps.Keys(s.Budgets)) {
		a.printf("budget of %s: %.1f extra sub-requests\n", service, s.Budgets[service])
	}
	counts := make(map[string]int)
	slices.SortFunc(s.Replicas, func(x, y edge.ReplicaStatus) int { return strings.Compare(x.Service+x.ID, y.Service+y.ID) })
	for _, r := range s.Replicas {
		counts[r.State]++
		if all || r.State != "ready" {
			a.printf("%s %s at %s in %s: %s, %d in flight, slowness %.1f, refused %.2f\n", r.Service, r.ID, r.Address,
				r.DataCentre, r.State, r.InFlight, r.Slowness, r.Refused)
		}
	}
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		a.printf("replicas %s: %d\n", state, counts[state])
	}
}
