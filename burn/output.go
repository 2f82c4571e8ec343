package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Dimensions of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Name returns a short description of the objective.
func (o Objective) Name() string {
	if o.Measure == MeasureLatency {
		return fmt.Sprintf("%s latency <= %s", o.Service, o.MaxLatency.AsDuration())
	}
	return fmt.Sprintf("%s coverage > %g", o.Service, o.CoverageAbove)
}

// WriteTable writes the rows as a text table.
func WriteTable(w io.Writer, rows []Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "OBJECTIVE\tTARGET\tWINDOW\tCOVERED\tGOOD\tTOTAL\tBURN\tSTATE")
	for _, r := range rows {
		state := "ok"
		switch {
		case r.Total == 0:
			state = "no data"
		case r.IsAlerting:
			state = fmt.Sprintf("ALERT > %g", r.Window.AlertThreshold)
		}
		fmt.Fprintf(tw, "%s\t%g\t%s\t%s\t%d\t%d\t%.2f\t%s\n", r.Objective.Name(), r.Objective.Target,
			r.Window.Length.AsDuration(), r.CoveredTime.Round(time.Second), r.Good, r.Total, r.BurnRate, state)
	}
	return tw.Flush()
}

// WriteSVG writes a plot of the burn rate of every objective over time.
func WriteSVG(w io.Writer, config Config, samples []Sample, interval time.Duration) error {
	p := plot.New()
	p.Title.Text = "Error budget burn rate"
	p.X.Label.Text = "seconds since the first sample"
	p.Y.Label.Text = "burn rate (1 = budget used up at the end of its period)"
	p.Add(plotter.NewGrid())
	start, _ := timeRange(samples)
	for i, o := range config.Objectives {
		points := Series(o, samples, interval)
		xys := make(plotter.XYs, len(points))
		for j, point := range points {
			xys[j] = plotter.XY{X: point.Time.Sub(start).Seconds(), Y: point.BurnRate}
		}
		if len(xys) == 0 {
			continue
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(o.Name(), line)
	}
	p.Legend.Top = true
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return eris.Wrap(err, "plot")
}
