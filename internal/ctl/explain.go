package ctl

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/internal/explain"
)

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "trace a request through the daemons' logs (JSON lines, plain or gzip) and show the cause of its outcome",
		ArgsUsage: "ID [FILE...]   (reads standard input if no file is given)",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() == 0 {
				return usagef("%s takes a request ID and log files: %s\nSee '%s --help'.", cmd.FullName(), cmd.ArgsUsage, cmd.FullName())
			}
			reader := explain.NewReader(cmd.Args().First())
			files := cmd.Args().Tail()
			if len(files) == 0 {
				if err := reader.Read(a.env.In); err != nil {
					return err
				}
			}
			for _, file := range files {
				if err := readLog(reader, file); err != nil {
					return err
				}
			}
			explanation := reader.Explain()
			if a.json {
				a.writeJSON(explanation)
			} else if err := explanation.Write(a.env.Out); err != nil {
				return err
			}
			if len(explanation.Visits) == 0 {
				return &failure{code: ExitNotFound, kind: "not_found", printed: true,
					err: eris.Errorf("no line of request %s", explanation.Request)}
			}
			return nil
		},
	}
}

func readLog(reader *explain.Reader, file string) (err error) {
	log, err := os.Open(file)
	if err != nil {
		return eris.Wrap(err, "log")
	}
	defer func() {
		if closeErr := log.Close(); err == nil {
			err = closeErr
		}
	}()
	return eris.Wrap(reader.Read(log), file)
}
