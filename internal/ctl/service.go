package ctl

import (
	"context"
	"sort"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/confstore"
)

func (a *app) serviceCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "bind", Usage: "bind a service to a profile", ArgsUsage: "SERVICE PROFILE", Action: a.serviceBind},
		{Name: "unbind", Usage: "remove a service's binding; its queries are refused from then on", ArgsUsage: "SERVICE",
			Action: a.serviceUnbind},
		{Name: "list", Usage: "list services and their profiles", Action: a.serviceList},
	}
}

func (a *app) serviceBind(ctx context.Context, cmd *cli.Command) error {
	argv, err := positionalArgs(cmd, "SERVICE", "PROFILE")
	if err != nil {
		return err
	}
	c, err := a.storeClient(cmd, true)
	if err != nil {
		return err
	}
	revision, err := c.Bind(ctx, argv[0], argv[1])
	if err != nil {
		return err
	}
	if a.json {
		a.writeJSON(changeOutput{Service: argv[0], Profile: argv[1], Revision: revision})
		return nil
	}
	a.printf("service %s runs under profile %s at revision %d\n", argv[0], argv[1], revision)
	return nil
}

func (a *app) serviceUnbind(ctx context.Context, cmd *cli.Command) error {
	argv, err := positionalArgs(cmd, "SERVICE")
	if err != nil {
		return err
	}
	c, err := a.storeClient(cmd, true)
	if err != nil {
		return err
	}
	revision, err := c.Unbind(ctx, argv[0])
	if err != nil {
		return err
	}
	if a.json {
		a.writeJSON(changeOutput{Service: argv[0], Revision: revision})
		return nil
	}
	a.printf("service %s is bound to no profile at revision %d\n", argv[0], revision)
	return nil
}

func (a *app) serviceList(ctx context.Context, cmd *cli.Command) error {
	if _, err := positionalArgs(cmd); err != nil {
		return err
	}
	c, err := a.storeClient(cmd, false)
	if err != nil {
		return err
	}
	bindings, revision, err := c.Bindings(ctx)
	if err != nil {
		return err
	}
	if a.json {
		a.writeJSON(struct {
			Revision int64             `json:"revision"`
			Services map[string]string `json:"services"`
		}{revision, bindings.Services})
		return nil
	}
	a.writeTable([]string{"SERVICE", "PROFILE"}, bindingRows(bindings))
	a.printf("bindings at revision %s\n", strconv.FormatInt(revision, 10))
	return nil
}

func bindingRows(b confstore.Bindings) [][]string {
	rows := make([][]string, 0, len(b.Services))
	for service, profile := range b.Services {
		rows = append(rows, []string{service, profile})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	return rows
}
