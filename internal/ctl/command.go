// Package ctl implements chivemillctl: commands that change and show the operators' configuration and its state on
// the daemons. An Env must not be used concurrently.
package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/edge"
	"github.com/chivemill/chivemill/entry"
	"github.com/chivemill/chivemill/kv"
	"github.com/chivemill/chivemill/kv/etcdjson"
)

// Env holds the input, the outputs and the clients that the commands use.
type Env struct {
	// In is the input of explain. Profile documents given as '-' are read from os.Stdin.
	In       io.Reader
	Out, Err io.Writer
	// Author is recorded with changes unless --author is given.
	Author string
	// OpenStore connects to the store.
	OpenStore func(endpoints []string) (kv.Store, error)
	// EntryStatus reads the status of the entry daemon with this operator URL.
	EntryStatus func(ctx context.Context, url string) (entry.Status, error)
	// EdgeStatus reads the status of the edge daemon with this peer URL.
	EdgeStatus func(ctx context.Context, url string) (edge.Status, error)
}

// DefaultEnv returns an Env with the standard streams of the process and clients that use the network.
func DefaultEnv() Env {
	client := &http.Client{Timeout: statusTimeout}
	return Env{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Author: os.Getenv("USER"),
		OpenStore:   func(endpoints []string) (kv.Store, error) { return etcdjson.New(endpoints) },
		EntryStatus: httpStatus[entry.Status](client),
		EdgeStatus:  httpStatus[edge.Status](client),
	}
}

// Run runs chivemillctl with the arguments, the program name first, and returns its exit code.
func Run(ctx context.Context, args []string, env Env) int {
	app := &app{env: env}
	err := app.command().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	f := classify(err)
	app.reportFailure(f)
	return f.code
}

type app struct {
	env  Env
	json bool
}

const rootHelp = `A profile is a YAML document that defines how queries are answered. Each service is bound to one profile.
A change is accepted when the store has committed it; every entry daemon applies it within 11 s.

Typical sequence:
  chivemillctl profile apply tail.yaml
  chivemillctl profile wait tail --entry http://10.0.0.1:9080 --entry http://10.0.0.2:9080
  chivemillctl service bind loja-web tail

`

func (a *app) command() *cli.Command {
	cmd := &cli.Command{
		Name:        "chivemillctl",
		Usage:       "change and show the operators' configuration",
		Description: rootHelp + exitHelp,
		Writer:      a.env.Out,
		ErrWriter:   a.env.Err,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "store", Usage: "store endpoint `URL`, repeatable", Sources: cli.EnvVars("CHIVEMILL_STORE")},
			&cli.StringFlag{Name: "author", Usage: "`NAME` recorded with changes", Value: a.env.Author},
			&cli.StringFlag{Name: "output", Usage: "`FORMAT` of the output: text or json", Value: "text", Action: a.setOutput},
		},
		Commands: []*cli.Command{
			{Name: "profile", Usage: "change and show profiles", Commands: a.profileCommands()},
			{Name: "service", Usage: "change and show the binding of services to profiles", Commands: a.serviceCommands()},
			{Name: "config", Usage: "check the configuration document of the platform's operator", Commands: a.configCommands()},
			a.statusCommand(),
			a.edgeCommand(),
			a.explainCommand(),
		},
	}
	configureErrors(cmd)
	return cmd
}

// configureErrors makes the command and its subcommands return usage errors to Run and report unknown commands as
// errors.
func configureErrors(cmd *cli.Command) {
	cmd.HideHelpCommand = true
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return usagef("%w\nSee '%s --help'.", err, cmd.FullName())
	}
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if cmd.Action == nil {
		cmd.Action = func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return usagef("unknown command %q\nSee '%s --help'.", name, cmd.FullName())
			}
			return usagef("a command is required\nSee '%s --help'.", cmd.FullName())
		}
	}
	for _, sub := range cmd.Commands {
		configureErrors(sub)
	}
}

func (a *app) setOutput(_ context.Context, _ *cli.Command, format string) error {
	if format != "text" && format != "json" {
		return usagef("--output %s: the format is text or json", format)
	}
	a.json = format == "json"
	return nil
}

// positionalArgs returns the positional arguments. Their number must be that of the names.
func positionalArgs(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.Args().Len() != len(names) {
		return nil, usagef("%s takes %d argument(s): %s\nSee '%s --help'.", cmd.FullName(), len(names), cmd.ArgsUsage, cmd.FullName())
	}
	return cmd.Args().Slice(), nil
}

// storeClient returns a client of the configuration store. A command that changes the configuration requires an
// author.
func (a *app) storeClient(cmd *cli.Command, isChange bool) (*confstore.Client, error) {
	endpoints := cmd.StringSlice("store")
	if len(endpoints) == 0 {
		return nil, usagef("no store endpoint: use --store URL or set CHIVEMILL_STORE")
	}
	if isChange && cmd.String("author") == "" {
		return nil, usagef("no author: use --author NAME, which is recorded with the change")
	}
	store, err := a.env.OpenStore(endpoints)
	if err != nil {
		return nil, err
	}
	return confstore.NewClient(store, cmd.String("author")), nil
}

// timeLayout is the format of times in text output.
const timeLayout = time.RFC3339

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(timeLayout)
}

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.env.Out, format, args...) }
