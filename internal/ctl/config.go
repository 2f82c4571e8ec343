package ctl

import (
	"context"
	"errors"
	"maps"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/platform"
	"github.com/chivemill/chivemill/platform/configcheck"
)

const configCheckHelp = `Decodes and validates each FILE as the daemons do, and prints
  error          the daemons reject the version as a whole
  never matches  an entry has no effect, since nothing can match it
  contradiction  limits that cannot both have an effect
  note           anything else; it does not count as a problem
With two files, the version in effect and the next one, it also prints what differs between them. Keys are never printed.

Exit codes:
  0  no problem, whatever differs
  1  usage error, or a file that cannot be read or that the daemons reject
  8  the daemons accept the files, but there are entries that never match, or contradictions`

func (a *app) configCommands() []*cli.Command {
	return []*cli.Command{{
		Name:        "check",
		Usage:       "check the operator's configuration document on files, and compare two",
		Description: configCheckHelp,
		ArgsUsage:   "FILE [NEXT-FILE]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of a daemon; allowed regions are compared with those that it names"},
		},
		Action: a.checkConfig,
	}}
}

// checkedFile is the JSON output for one file.
type checkedFile struct {
	File string `json:"file"`
	*configcheck.Document
}

// configCheckOutput is the JSON output of a check.
type configCheckOutput struct {
	Files       []checkedFile            `json:"files"`
	Differences []configcheck.Difference `json:"differences,omitempty"`
	ExitCode    int                      `json:"exit_code"`
}

var (
	errRejected    = errors.New("the daemons reject the configuration")
	errHasProblems = errors.New("the configuration has entries that never match, or contradictions")
)

func (a *app) checkConfig(_ context.Context, cmd *cli.Command) error {
	if n := cmd.Args().Len(); n < 1 || n > 2 {
		return usagef("%s takes one or two files: %s\nSee '%s --help'.", cmd.FullName(), cmd.ArgsUsage, cmd.FullName())
	}
	regions, err := knownRegions(cmd.String("settings"))
	if err != nil {
		return err
	}
	var output configCheckOutput
	for _, file := range cmd.Args().Slice() {
		data, err := os.ReadFile(file)
		if err != nil {
			return fileError(err, file)
		}
		output.Files = append(output.Files, checkedFile{file, configcheck.Check(data, regions)})
	}
	if len(output.Files) == 2 {
		current, next := output.Files[0].Document, output.Files[1].Document
		configcheck.CheckSuccession(current, next)
		output.Differences = configcheck.Differences(current.Config, next.Config)
	}
	result := checkResult(output.Files)
	if result != nil {
		output.ExitCode = result.code
	}
	for _, f := range output.Files {
		f.Findings = f.Sorted()
	}
	if a.json {
		a.writeJSON(output)
	} else {
		a.printCheck(output)
	}
	if result == nil {
		return nil
	}
	return result
}

// checkResult returns the failure of the most serious finding, nil if there is no problem.
func checkResult(files []checkedFile) *failure {
	var result *failure
	for _, f := range files {
		for _, finding := range f.Findings {
			switch {
			case finding.Level == configcheck.Error:
				return &failure{code: ExitInvalid, kind: "invalid", err: eris.Wrap(errRejected, f.File), printed: true}
			case finding.Level != configcheck.Note && result == nil:
				result = &failure{code: ExitProblems, kind: "problems", err: eris.Wrap(errHasProblems, f.File), printed: true}
			}
		}
	}
	return result
}

// knownRegions returns the regions that a settings file names, nil without a file.
func knownRegions(file string) ([]string, error) {
	if file == "" {
		return nil, nil
	}
	settings, err := platform.LoadSettings(file)
	if err != nil {
		return nil, fileError(err, file)
	}
	regions := slices.Collect(maps.Values(settings.Regions))
	if settings.Region != "" {
		regions = append(regions, settings.Region)
	}
	return regions, nil
}

func (a *app) printCheck(output configCheckOutput) {
	for _, f := range output.Files {
		a.printf("%s: version %d, %d routes, %d services, %d accounts\n", f.File, f.Version, f.Routes, f.Services, f.Accounts)
		for _, finding := range f.Findings {
			a.printf("  %s: %s: %s\n", finding.Level, finding.Entry, finding.Message)
		}
	}
	if len(output.Files) < 2 {
		return
	}
	if len(output.Differences) == 0 {
		a.printf("no differences in effect\n")
		return
	}
	a.printf("differences:\n")
	for _, d := range output.Differences {
		if d.Change != configcheck.Changed {
			a.printf("  %s: %s\n", d.Entry, d.Change)
			continue
		}
		a.printf("  %s: %s: %s -> %s\n", d.Entry, d.Field, orNone(d.Before), orNone(d.After))
	}
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}
