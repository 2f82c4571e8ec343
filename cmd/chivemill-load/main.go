// Command chivemill-load sends an open-loop load to entry daemons and compares the results of two runs.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/internal/daemon"
	"github.com/chivemill/chivemill/loadgen"
)

func main() {
	daemon.Main(&cli.Command{
		Name:     "chivemill-load",
		Usage:    "send an open-loop load to entry daemons and compare results",
		Commands: []*cli.Command{runCommand(), compareCommand()},
	})
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send requests at fixed arrival times; exits with status 1 if an answer was invalid",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "base `URL` of an entry daemon; repeatable", Required: true},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true},
			&cli.StringSliceFlag{Name: "query", Usage: "query `TEXT`; repeatable", Value: []string{"item-00"}},
			&cli.FloatFlag{Name: "rate", Usage: "mean requests per second", Value: 50},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the run", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "deadline", Usage: "deadline of each request; 0 selects the profile's default"},
			&cli.BoolFlag{Name: "non-idempotent", Usage: "mark each request as non-idempotent, with a new idempotency key"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the arrival times", Value: 1},
			&cli.StringFlag{Name: "out", Usage: "write the result as JSON to `FILE`"},
		},
		Action: run,
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:      "compare",
		Usage:     "compare two result files",
		ArgsUsage: "BEFORE AFTER",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 2 {
				return eris.New("compare takes two result files")
			}
			before, err := loadgen.ReadResult(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			after, err := loadgen.ReadResult(cmd.Args().Get(1))
			if err != nil {
				return err
			}
			loadgen.Compare(cmd.Root().Writer, before, after)
			return nil
		},
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	result, err := loadgen.Run(ctx, loadgen.Plan{
		Targets: cmd.StringSlice("target"), Service: cmd.String("service"), Queries: cmd.StringSlice("query"),
		Rate: cmd.Float("rate"), Duration: cmd.Duration("duration"), Deadline: cmd.Duration("deadline"),
		NonIdempotent: cmd.Bool("non-idempotent"), Seed: cmd.Uint64("seed"),
	})
	if err != nil {
		return err
	}
	result.Summary(cmd.Root().Writer)
	if file := cmd.String("out"); file != "" {
		if err := writeResult(file, result); err != nil {
			return err
		}
	}
	if n := result.InvalidAnswers(); n > 0 {
		return fmt.Errorf("%d answers were invalid: truncated, malformed or to another request", n)
	}
	return nil
}

func writeResult(file string, result *loadgen.Result) error {
	f, err := os.Create(file)
	if err != nil {
		return eris.Wrap(err, "create result file")
	}
	if err := result.Write(f); err != nil {
		f.Close()
		return eris.Wrap(err, "write result file")
	}
	return eris.Wrap(f.Close(), "write result file")
}
