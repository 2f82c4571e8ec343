package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/confstore"
	"github.com/chivemill/chivemill/profile"
)

func baseFlag() cli.Flag {
	return &cli.Int64Flag{Name: "base", Value: -1, DefaultText: "the revision read just before",
		Usage: "store `REVISION` that the change is based on; 0 creates a new profile"}
}

func (a *app) profileCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "apply", Usage: "create or change a profile from a YAML file ('-' reads standard input)", ArgsUsage: "FILE",
			Flags: []cli.Flag{baseFlag()}, Action: a.profileApply},
		{Name: "get", Usage: "print a profile's document", ArgsUsage: "NAME", Action: a.profileGet},
		{Name: "list", Usage: "list all profiles", Action: a.profileList},
		{Name: "diff", Usage: "show how a file differs from the stored document", ArgsUsage: "FILE", Action: a.profileDiff},
		{Name: "history", Usage: "list the last changes of a profile, newest first", ArgsUsage: "NAME", Action: a.profileHistory},
		{Name: "retire", Usage: "retire a profile that no service uses", ArgsUsage: "NAME",
			Flags: []cli.Flag{baseFlag()}, Action: a.profileRetire},
		a.waitCommand(),
	}
}

// changed is the JSON output of a change.
type changed struct {
	Profile  string `json:"profile,omitempty"`
	Service  string `json:"service,omitempty"`
	Revision int64  `json:"revision"`
	// Unchanged is set if the stored state already was as asked for.
	Unchanged bool `json:"unchanged,omitempty"`
}

func readDocument(file string) (string, error) {
	if file == "-" {
		data, err := io.ReadAll(io.LimitReader(os.Stdin, profile.MaxDocumentBytes+1))
		return string(data), err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", wrapFile(err, file)
	}
	return string(data), nil
}

// readProfile reads and checks the file named by the only argument.
func readProfile(cmd *cli.Command) (name, file, document string, err error) {
	argv, err := args(cmd, "FILE")
	if err != nil {
		return "", "", "", err
	}
	document, err = readDocument(argv[0])
	if err != nil {
		return "", "", "", err
	}
	p, err := profile.Decode(argv[0], []byte(document))
	return p.Name, argv[0], document, err
}

// base returns the revision that a change is based on: the flag, or the stored one.
func base(ctx context.Context, cmd *cli.Command, c *confstore.Client, name string) (int64, error) {
	if cmd.IsSet("base") {
		if cmd.Int64("base") < 0 {
			return 0, usagef("--base %d: a revision is 0 or more", cmd.Int64("base"))
		}
		return cmd.Int64("base"), nil
	}
	p, err := c.Get(ctx, name)
	if errors.Is(err, confstore.ErrNotFound) {
		return 0, nil
	}
	return p.Revision, err
}

func (a *app) profileApply(ctx context.Context, cmd *cli.Command) error {
	name, file, document, err := readProfile(cmd)
	if err != nil {
		return err
	}
	c, err := a.client(cmd, true)
	if err != nil {
		return err
	}
	based, err := base(ctx, cmd, c, name)
	if err != nil {
		return err
	}
	revision, err := c.Apply(ctx, name, document, based)
	if err != nil {
		return withBase(withDiff(err, file, document), based)
	}
	unchanged := revision == based
	if a.json {
		a.writeJSON(changed{Profile: name, Revision: revision, Unchanged: unchanged})
		return nil
	}
	if unchanged {
		a.printf("profile %s unchanged at revision %d\n", name, revision)
		return nil
	}
	a.printf("profile %s accepted at revision %d\n", name, revision)
	return nil
}

// withDiff adds to a conflict the diff between the stored document and the operator's.
func withDiff(err error, file, document string) *failure {
	f := classify(err)
	var conflict *confstore.ConflictError
	if errors.As(err, &conflict) {
		f.diff = confstore.Diff(storedName(conflict.Current), conflict.Current.Current.Document, file, document)
	}
	return f
}

// withBase adds to an unknown outcome how to repeat the change without overwriting another one.
func withBase(f *failure, based int64) error {
	if f.code == ExitUncertain {
		f.hint += fmt.Sprintf("\nTo repeat it safely, use the same author and --base %d.", based)
	}
	return f
}

func storedName(p confstore.Profile) string {
	if p.Revision == 0 {
		return "stored (no such profile)"
	}
	return fmt.Sprintf("stored (revision %d by %s)", p.Revision, p.Current.Author)
}

// profileBody is the JSON output of a stored profile.
type profileBody struct {
	Name     string    `json:"name"`
	Revision int64     `json:"revision"`
	Retired  bool      `json:"retired"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Document string    `json:"document,omitempty"`
}

func bodyOf(p confstore.Profile) profileBody {
	return profileBody{Name: p.Name, Revision: p.Revision, Retired: p.Current.Retired,
		Author: p.Current.Author, Time: p.Current.Time, Document: p.Current.Document}
}

// stored reads the profile named by the only argument.
func (a *app) stored(ctx context.Context, cmd *cli.Command) (confstore.Profile, error) {
	argv, err := args(cmd, "NAME")
	if err != nil {
		return confstore.Profile{}, err
	}
	c, err := a.client(cmd, false)
	if err != nil {
		return confstore.Profile{}, err
	}
	return c.Get(ctx, argv[0])
}

func (a *app) profileGet(ctx context.Context, cmd *cli.Command) error {
	p, err := a.stored(ctx, cmd)
	if err != nil {
		return err
	}
	if a.json {
		a.writeJSON(bodyOf(p))
		return nil
	}
	a.printf("%s", p.Current.Document)
	return nil
}

func (a *app) profileList(ctx context.Context, cmd *cli.Command) error {
	if _, err := args(cmd); err != nil {
		return err
	}
	c, err := a.client(cmd, false)
	if err != nil {
		return err
	}
	profiles, err := c.List(ctx)
	if err != nil {
		return err
	}
	bodies := make([]profileBody, len(profiles))
	rows := make([][]string, len(profiles))
	for i, p := range profiles {
		bodies[i] = bodyOf(p)
		rows[i] = []string{p.Name, strconv.FormatInt(p.Revision, 10), state(p.Current.Retired), p.Current.Author, formatTime(p.Current.Time)}
	}
	if a.json {
		a.writeJSON(bodies)
		return nil
	}
	a.table([]string{"PROFILE", "REVISION", "STATE", "AUTHOR", "TIME"}, rows)
	return nil
}

func state(retired bool) string {
	if retired {
		return "retired"
	}
	return "active"
}

func (a *app) profileDiff(ctx context.Context, cmd *cli.Command) error {
	name, file, document, err := readProfile(cmd)
	if err != nil {
		return err
	}
	c, err := a.client(cmd, false)
	if err != nil {
		return err
	}
	p, err := c.Get(ctx, name)
	if err != nil {
		return err
	}
	diff := confstore.Diff(storedName(p), p.Current.Document, file, document)
	if a.json {
		a.writeJSON(struct {
			Profile  string `json:"profile"`
			Revision int64  `json:"revision"`
			Diff     string `json:"diff"`
		}{name, p.Revision, diff})
		return nil
	}
	a.printf("%s", diff)
	return nil
}

func (a *app) profileHistory(ctx context.Context, cmd *cli.Command) error {
	p, err := a.stored(ctx, cmd)
	if err != nil {
		return err
	}
	changes := p.Changes()
	if a.json {
		type body struct {
			Revision int64 `json:"revision"`
			confstore.Change
		}
		out := make([]body, len(changes))
		for i, ch := range changes {
			out[i] = body{ch.Revision, ch.Change}
		}
		a.writeJSON(out)
		return nil
	}
	rows := make([][]string, len(changes))
	for i, ch := range changes {
		rows[i] = []string{strconv.FormatInt(ch.Revision, 10), strconv.FormatInt(ch.ReplacedRevision, 10), formatTime(ch.Time),
			ch.Author, state(ch.Retired), ch.ID}
	}
	a.table([]string{"REVISION", "REPLACED", "TIME", "AUTHOR", "STATE", "CHANGE"}, rows)
	return nil
}

func (a *app) profileRetire(ctx context.Context, cmd *cli.Command) error {
	argv, err := args(cmd, "NAME")
	if err != nil {
		return err
	}
	c, err := a.client(cmd, true)
	if err != nil {
		return err
	}
	based, err := base(ctx, cmd, c, argv[0])
	if err != nil {
		return err
	}
	revision, err := c.Retire(ctx, argv[0], based)
	if err != nil {
		return withBase(classify(err), based)
	}
	if a.json {
		a.writeJSON(changed{Profile: argv[0], Revision: revision})
		return nil
	}
	a.printf("profile %s retired at revision %d\n", argv[0], revision)
	return nil
}
