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
	return &cli.Int64Flag{Name: "base", Value: -1, DefaultText: "the stored revision when the command runs",
		Usage: "`REVISION` that the change is based on; 0 creates a new profile"}
}

func (a *app) profileCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "apply", Usage: "create or change a profile from a YAML file ('-' reads standard input)", ArgsUsage: "FILE",
			Flags: []cli.Flag{baseFlag()}, Action: a.profileApply},
		{Name: "get", Usage: "print a profile's document", ArgsUsage: "NAME", Action: a.profileGet},
		{Name: "list", Usage: "list all profiles", Action: a.profileList},
		{Name: "diff", Usage: "show the differences between the stored document and a file", ArgsUsage: "FILE", Action: a.profileDiff},
		{Name: "history", Usage: "list the latest changes of a profile, newest first", ArgsUsage: "NAME", Action: a.profileHistory},
		{Name: "retire", Usage: "retire a profile that no service uses", ArgsUsage: "NAME",
			Flags: []cli.Flag{baseFlag()}, Action: a.profileRetire},
		a.waitCommand(),
	}
}

// changeOutput is the JSON output of a command that changes the configuration.
type changeOutput struct {
	Profile  string `json:"profile,omitempty"`
	Service  string `json:"service,omitempty"`
	Revision int64  `json:"revision"`
	// Unchanged is set if the stored document was already identical.
	Unchanged bool `json:"unchanged,omitempty"`
}

func readDocument(file string) (string, error) {
	if file == "-" {
		data, err := io.ReadAll(io.LimitReader(os.Stdin, profile.MaxDocumentBytes+1))
		return string(data), err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fileError(err, file)
	}
	return string(data), nil
}

// readProfile reads and validates the profile document in the file given as the only argument.
func readProfile(cmd *cli.Command) (name, file, document string, err error) {
	argv, err := positionalArgs(cmd, "FILE")
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

// resolveBase returns the revision that a change is based on: the value of --base or the stored revision.
func resolveBase(ctx context.Context, cmd *cli.Command, c *confstore.Client, name string) (int64, error) {
	if cmd.IsSet("base") {
		if cmd.Int64("base") < 0 {
			return 0, usagef("--base %d: a revision must not be negative", cmd.Int64("base"))
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
	c, err := a.storeClient(cmd, true)
	if err != nil {
		return err
	}
	baseRevision, err := resolveBase(ctx, cmd, c, name)
	if err != nil {
		return err
	}
	revision, err := c.Apply(ctx, name, document, baseRevision)
	if err != nil {
		return withRetryHint(withDiff(err, file, document), baseRevision)
	}
	unchanged := revision == baseRevision
	if a.json {
		a.writeJSON(changeOutput{Profile: name, Revision: revision, Unchanged: unchanged})
		return nil
	}
	if unchanged {
		a.printf("profile %s unchanged at revision %d\n", name, revision)
		return nil
	}
	a.printf("profile %s accepted at revision %d\n", name, revision)
	return nil
}

// withDiff adds the diff between the stored document and the operator's file to a conflict.
func withDiff(err error, file, document string) *failure {
	f := classify(err)
	var conflict *confstore.ConflictError
	if errors.As(err, &conflict) {
		f.diff = confstore.Diff(storedLabel(conflict.Current), conflict.Current.Current.Document, file, document)
	}
	return f
}

// withRetryHint extends the hint of an unknown outcome: repeated with the same author and base revision, the command
// cannot overwrite another change.
func withRetryHint(f *failure, baseRevision int64) error {
	if f.code == ExitUncertain {
		f.hint += fmt.Sprintf("\nTo repeat it safely, use the same author and --base %d.", baseRevision)
	}
	return f
}

func storedLabel(p confstore.Profile) string {
	if p.Revision == 0 {
		return "stored (no such profile)"
	}
	return fmt.Sprintf("stored (revision %d by %s)", p.Revision, p.Current.Author)
}

// profileOutput is the JSON output of a stored profile.
type profileOutput struct {
	Name     string    `json:"name"`
	Revision int64     `json:"revision"`
	Retired  bool      `json:"retired"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Document string    `json:"document,omitempty"`
}

func toProfileOutput(p confstore.Profile) profileOutput {
	return profileOutput{Name: p.Name, Revision: p.Revision, Retired: p.Current.Retired,
		Author: p.Current.Author, Time: p.Current.Time, Document: p.Current.Document}
}

// storedProfile reads the profile given as the only argument from the store.
func (a *app) storedProfile(ctx context.Context, cmd *cli.Command) (confstore.Profile, error) {
	argv, err := positionalArgs(cmd, "NAME")
	if err != nil {
		return confstore.Profile{}, err
	}
	c, err := a.storeClient(cmd, false)
	if err != nil {
		return confstore.Profile{}, err
	}
	return c.Get(ctx, argv[0])
}

func (a *app) profileGet(ctx context.Context, cmd *cli.Command) error {
	p, err := a.storedProfile(ctx, cmd)
	if err != nil {
		return err
	}
	if a.json {
		a.writeJSON(toProfileOutput(p))
		return nil
	}
	a.printf("%s", p.Current.Document)
	return nil
}

func (a *app) profileList(ctx context.Context, cmd *cli.Command) error {
	if _, err := positionalArgs(cmd); err != nil {
		return err
	}
	c, err := a.storeClient(cmd, false)
	if err != nil {
		return err
	}
	profiles, err := c.List(ctx)
	if err != nil {
		return err
	}
	outputs := make([]profileOutput, len(profiles))
	rows := make([][]string, len(profiles))
	for i, p := range profiles {
		outputs[i] = toProfileOutput(p)
		rows[i] = []string{p.Name, strconv.FormatInt(p.Revision, 10), profileState(p.Current.Retired), p.Current.Author,
			formatTime(p.Current.Time)}
	}
	if a.json {
		a.writeJSON(outputs)
		return nil
	}
	a.writeTable([]string{"PROFILE", "REVISION", "STATE", "AUTHOR", "TIME"}, rows)
	return nil
}

func profileState(retired bool) string {
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
	c, err := a.storeClient(cmd, false)
	if err != nil {
		return err
	}
	p, err := c.Get(ctx, name)
	if err != nil {
		return err
	}
	diff := confstore.Diff(storedLabel(p), p.Current.Document, file, document)
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
	p, err := a.storedProfile(ctx, cmd)
	if err != nil {
		return err
	}
	changes := p.Changes()
	if a.json {
		type historyOutput struct {
			Revision int64 `json:"revision"`
			confstore.Change
		}
		outputs := make([]historyOutput, len(changes))
		for i, change := range changes {
			outputs[i] = historyOutput{change.Revision, change.Change}
		}
		a.writeJSON(outputs)
		return nil
	}
	rows := make([][]string, len(changes))
	for i, change := range changes {
		rows[i] = []string{strconv.FormatInt(change.Revision, 10), strconv.FormatInt(change.ReplacedRevision, 10), formatTime(change.Time),
			change.Author, profileState(change.Retired), change.ID}
	}
	a.writeTable([]string{"REVISION", "REPLACED", "TIME", "AUTHOR", "STATE", "CHANGE"}, rows)
	return nil
}

func (a *app) profileRetire(ctx context.Context, cmd *cli.Command) error {
	argv, err := positionalArgs(cmd, "NAME")
	if err != nil {
		return err
	}
	c, err := a.storeClient(cmd, true)
	if err != nil {
		return err
	}
	baseRevision, err := resolveBase(ctx, cmd, c, argv[0])
	if err != nil {
		return err
	}
	revision, err := c.Retire(ctx, argv[0], baseRevision)
	if err != nil {
		return withRetryHint(classify(err), baseRevision)
	}
	if a.json {
		a.writeJSON(changeOutput{Profile: argv[0], Revision: revision})
		return nil
	}
	a.printf("profile %s retired at revision %d\n", argv[0], revision)
	return nil
}
