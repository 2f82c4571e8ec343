// Command chivemillctl changes and shows the operators' configuration.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/kv/etcdjson"
	"github.com/chivemill/chivemill/profile"
)

func main() {
	cmd := &cli.Command{
		Name:  "chivemillctl",
		Usage: "change and show the operators' configuration",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "store", Usage: "store endpoint `URL`", Sources: cli.EnvVars("CHIVEMILL_STORE")},
			&cli.StringFlag{Name: "author", Usage: "`NAME` recorded with changes", Value: os.Getenv("USER")},
		},
		Commands: []*cli.Command{
			{Name: "profile", Usage: "profiles", Commands: []*cli.Command{
				{Name: "apply", Usage: "create or change a profile", ArgsUsage: "FILE", Action: apply},
			}},
			{Name: "service", Usage: "services", Commands: []*cli.Command{
				{Name: "bind", Usage: "make a service run under a profile", ArgsUsage: "SERVICE PROFILE", Action: bind},
			}},
		},
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func client(cmd *cli.Command) (*confstore.Client, error) {
	store, err := etcdjson.New(cmd.StringSlice("store"))
	if err != nil {
		return nil, err
	}
	return confstore.NewClient(store, cmd.String("author")), nil
}

func apply(ctx context.Context, cmd *cli.Command) error {
	file := cmd.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	p, err := profile.Decode(file, data)
	if err != nil {
		return err
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	var based int64
	old, err := c.Get(ctx, p.Name)
	switch {
	case err == nil:
		based = old.Revision
	case !errors.Is(err, confstore.ErrNotFound):
		return err
	}
	revision, err := c.Apply(ctx, p.Name, string(data), based)
	if err == nil {
		fmt.Fprintf(cmd.Root().Writer, "profile %s accepted at revision %d\n", p.Name, revision)
	}
	return err
}

func bind(ctx context.Context, cmd *cli.Command) error {
	c, err := client(cmd)
	if err != nil {
		return err
	}
	revision, err := c.Bind(ctx, cmd.Args().Get(0), cmd.Args().Get(1))
	if err == nil {
		fmt.Fprintf(cmd.Root().Writer, "service %s bound at revision %d\n", cmd.Args().Get(0), revision)
	}
	return err
}
