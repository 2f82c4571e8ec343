package capacity

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// reportedEvents holds all events in the order of the report.
var reportedEvents = []Event{Signal, UpdateHourSignal, Leave, Join, OwnListComplete, Failure, RackLost, RackReturned,
	DataCentreLost, DataCentreReturned, Partition, PartitionHealed}

// Fit is a straight line y = Base + Slope·x fitted to measured points.
type Fit struct{ Base, Slope float64 }

// NewFit returns the least-squares line through the points.
func NewFit(x, y []float64) Fit {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	n := float64(len(x))
	spread := n*sxx - sx*sx
	if spread == 0 {
		return Fit{Base: sy / n}
	}
	slope := (n*sxy - sx*sy) / spread
	return Fit{Base: (sy - slope*sx) / n, Slope: slope}
}

// At returns the value of the line.
func (f Fit) At(x float64) float64 { return f.Base + f.Slope*x }

// WriteCosts writes the costs and their slopes as Markdown tables.
func WriteCosts(w io.Writer, costs []Cost) {
	fmt.Fprintln(w, "| nodes | quiet CPU % | CPU % at byte rate | heap KB | quiet sent B/s | quiet sent packets/s | received B/s | received packets/s | at byte rate sent B/s | shares of 8,300 replicas ms | one change ms | owners of one replica µs |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range costs {
		q := c.QuietTraffic
		fmt.Fprintf(w, "| %d | %.4f | %.4f | %.0f | %.0f | %.2f | %.0f | %.2f | %.0f | %.1f | %.1f | %.1f |\n", c.Nodes, c.QuietCPU, c.BusyCPU,
			c.HeapPerNode/1024, q.SentBytes, q.SentPackets, q.ReceivedBytes, q.ReceivedPackets, c.BusyTraffic.SentBytes,
			milliseconds(c.ComputeSharesTime), milliseconds(c.UpdateSharesTime), float64(c.ComputeOwnersTime.Nanoseconds())/1e3)
	}
	fmt.Fprintf(w, "\nSlopes (least squares over the sizes up to 700, and the value at %d against the measured one):\n\n", TargetNodes)
	fmt.Fprintln(w, "| quantity | base | slope per node | extrapolated | measured |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	writeCostRow(w, costs, "quiet CPU %", func(c Cost) float64 { return c.QuietCPU })
	writeCostRow(w, costs, "CPU % at byte rate", func(c Cost) float64 { return c.BusyCPU })
	writeCostRow(w, costs, "heap KB", func(c Cost) float64 { return c.HeapPerNode / 1024 })
	writeCostRow(w, costs, "quiet sent B/s", func(c Cost) float64 { return c.QuietTraffic.SentBytes })
	writeCostRow(w, costs, "shares ms", func(c Cost) float64 { return milliseconds(c.ComputeSharesTime) })
	writeCostRow(w, costs, "one change ms", func(c Cost) float64 { return milliseconds(c.UpdateSharesTime) })
	writeCostRow(w, costs, "owners µs", func(c Cost) float64 { return float64(c.ComputeOwnersTime.Nanoseconds()) / 1e3 })
}

func writeCostRow(w io.Writer, costs []Cost, name string, value func(Cost) float64) {
	var x, y []float64
	measured := math.NaN()
	for _, c := range costs {
		if c.Nodes == TargetNodes {
			measured = value(c)
			continue
		}
		x, y = append(x, float64(c.Nodes)), append(y, value(c))
	}
	fit := NewFit(x, y)
	fmt.Fprintf(w, "| %s | %.4g | %.4g | %.4g | %.4g |\n", name, fit.Base, fit.Slope, fit.At(TargetNodes), measured)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// WriteEvents writes the outcomes of all events as a Markdown table. Ranges are the minimum and maximum over the seeds.
func WriteEvents(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| event | nodes | seeds | events | median s | maximum s | unaware nodes | B per node and event | peak sent B/s of a node | peak received B/s of a node |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, e := range reportedEvents {
		for _, n := range Sizes {
			writeEvent(w, e, n, results)
		}
	}
}

func writeEvent(w io.Writer, e Event, n int, results []Result) {
	var medians, maxima, bytes []float64
	var peak peaks
	count, missing := 0, 0
	for _, r := range results {
		o, ok := r.Outcomes[e]
		if !ok || r.Nodes != n {
			continue
		}
		medians = append(medians, o.Median().Seconds())
		maxima = append(maxima, o.Max().Seconds())
		bytes = append(bytes, o.BytesPerEvent)
		peak = maxPeaks(peak, o.Peak)
		count += o.Events
		missing += o.Missing
	}
	if len(medians) == 0 {
		return
	}
	fmt.Fprintf(w, "| %s | %d | %d | %d | %s | %s | %d | %s | %d | %d |\n", e, n, len(medians), count,
		formatRange(medians, 2), formatRange(maxima, 2), missing, formatRange(bytes, 0), peak.Sent, peak.Received)
}

// formatRange formats the minimum and the maximum, or one value if both have the same text.
func formatRange(values []float64, digits int) string {
	low, high := values[0], values[0]
	for _, v := range values {
		low, high = min(low, v), max(high, v)
	}
	a, b := fmt.Sprintf("%.*f", digits, low), fmt.Sprintf("%.*f", digits, high)
	if a == b {
		return a
	}
	return a + " to " + b
}

// WriteDailyTraffic writes the traffic of an ordinary day and of the update hour at the rates of the two-year size,
// calculated from the measured bytes per event.
func WriteDailyTraffic(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| nodes | quiet B/s | ordinary day B/s | update hour B/s |")
	fmt.Fprintln(w, "|---|---|---|---|")
	for _, n := range Sizes {
		var quiet, ordinary, update []float64
		for _, r := range results {
			if r.Nodes != n || !r.OrdinaryDay {
				continue
			}
			share := float64(n) / TargetNodes / day.Seconds()
			perDay := r.Outcomes[Failure].BytesPerEvent*failuresPerDay + restartsPerDay*
				(r.Outcomes[Leave].BytesPerEvent+r.Outcomes[Join].BytesPerEvent+
					signalsPerRestart*r.Outcomes[Signal].BytesPerEvent)
			quiet = append(quiet, r.Quiet.SentBytes)
			ordinary = append(ordinary, r.Quiet.SentBytes+perDay*share)
			update = append(update, r.Quiet.SentBytes+updateHourSignalRate(n)*r.Outcomes[UpdateHourSignal].BytesPerEvent)
		}
		if len(quiet) > 0 {
			fmt.Fprintf(w, "| %d | %s | %s | %s |\n", n, formatRange(quiet, 0), formatRange(ordinary, 0), formatRange(update, 0))
		}
	}
}

// WriteDelayGrowth writes how the longest delays of single events grow with log2 of the number of nodes. It omits
// events of many nodes, because their delays grow with the queued bytes, in proportion to the number of nodes.
func WriteDelayGrowth(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| event | base s | s per doubling of the fleet | extrapolated maximum at 1,400 s |")
	fmt.Fprintln(w, "|---|---|---|---|")
	for _, e := range []Event{Signal, UpdateHourSignal, Leave, Join, Failure} {
		var x, y []float64
		sizes := make(map[int]bool)
		for _, r := range results {
			if o, ok := r.Outcomes[e]; ok && len(o.all) > 0 && r.Nodes != TargetNodes {
				x, y = append(x, math.Log2(float64(r.Nodes))), append(y, o.Max().Seconds())
				sizes[r.Nodes] = true
			}
		}
		if len(sizes) < 2 {
			continue
		}
		fit := NewFit(x, y)
		fmt.Fprintf(w, "| %s | %.2f | %.2f | %.2f |\n", e, fit.Base, fit.Slope, fit.At(math.Log2(TargetNodes)))
	}
}

// Heading writes a title above a table.
func Heading(w io.Writer, title string) {
	fmt.Fprintf(w, "\n%s\n%s\n\n", title, strings.Repeat("-", len(title)))
}
