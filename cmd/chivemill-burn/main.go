// Command chivemill-burn reports error budget burn rates from the metrics of the entry daemons.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/chivemill/chivemill/burn"
	"github.com/chivemill/chivemill/internal/daemon"
)

// scrapeTimeout limits the scrape of one metrics endpoint.
const scrapeTimeout = 2 * time.Second

func main() {
	daemon.Main(&cli.Command{
		Name:     "chivemill-burn",
		Usage:    "report error budget burn rates for latency and coverage from the entry daemons' metrics",
		Commands: []*cli.Command{collectCommand(), reportCommand()},
	})
}

func collectCommand() *cli.Command {
	return &cli.Command{
		Name:  "collect",
		Usage: "append samples of the daemons' metrics to a file",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "metrics `URL` of a daemon; repeatable", Required: true},
			&cli.StringFlag{Name: "samples", Usage: "`FILE` to append to, one JSON object per line", Required: true},
			&cli.DurationFlag{Name: "interval", Usage: "time between samples", Value: 10 * time.Second},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the collection; 0 takes one sample"},
		},
		Action: collect,
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "compute burn rates from samples; exits with status 1 if any objective is in alert",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "samples", Usage: "`FILE` of samples", Required: true},
			&cli.StringFlag{Name: "objectives", Usage: "YAML `FILE` of objectives and windows", Required: true},
			&cli.StringFlag{Name: "output", Usage: "output `FORMAT`: table or json", Value: "table"},
			&cli.StringFlag{Name: "svg", Usage: "also write a plot to `FILE`"},
			&cli.DurationFlag{Name: "plot-interval", Usage: "interval between two points of the plot", Value: 10 * time.Second},
		},
		Action: report,
	}
}

func collect(ctx context.Context, cmd *cli.Command) error {
	interval := cmd.Duration("interval")
	if interval <= 0 {
		return eris.New("interval: must be greater than 0")
	}
	file, err := os.OpenFile(cmd.String("samples"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open samples file")
	}
	defer file.Close()
	enc := json.NewEncoder(file)
	client := &http.Client{Timeout: scrapeTimeout}
	deadline := time.Now().Add(cmd.Duration("duration"))
	for {
		for _, target := range cmd.StringSlice("target") {
			sample, err := burn.Scrape(ctx, client, target)
			if err != nil {
				fmt.Fprintln(cmd.Root().ErrWriter, err)
				continue
			}
			if err := enc.Encode(sample); err != nil {
				return eris.Wrap(err, "write sample")
			}
		}
		if time.Now().Add(interval).After(deadline) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
	}
}

func report(_ context.Context, cmd *cli.Command) error {
	config, err := burn.LoadConfig(cmd.String("objectives"))
	if err != nil {
		return err
	}
	file, err := os.Open(cmd.String("samples"))
	if err != nil {
		return eris.Wrap(err, "open samples file")
	}
	defer file.Close()
	samples, err := burn.ReadSamples(file)
	if err != nil {
		return err
	}
	if len(samples) == 0 {
		return eris.Errorf("%s contains no samples", cmd.String("samples"))
	}
	rows := burn.Compute(config, samples)
	if err := writeRows(cmd, rows); err != nil {
		return err
	}
	if svg := cmd.String("svg"); svg != "" {
		if err := writeSVG(svg, config, samples, cmd.Duration("plot-interval")); err != nil {
			return err
		}
	}
	for _, r := range rows {
		if r.IsAlerting {
			return cli.Exit("", 1)
		}
	}
	return nil
}

func writeRows(cmd *cli.Command, rows []burn.Row) error {
	out := cmd.Root().Writer
	switch format := cmd.String("output"); format {
	case "table":
		return burn.WriteTable(out, rows)
	case "json":
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(rows)
	default:
		return eris.Errorf("output: %q is not one of table, json", format)
	}
}

func writeSVG(name string, config burn.Config, samples []burn.Sample, interval time.Duration) error {
	if interval <= 0 {
		return eris.New("plot-interval: must be greater than 0")
	}
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if err := burn.WriteSVG(file, config, samples, interval); err != nil {
		file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "write plot")
}
