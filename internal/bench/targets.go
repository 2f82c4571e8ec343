package bench

import (
	"fmt"
	"io"
)

// Bounds of the documented targets, as ratios or fractions.
const (
	maxUpdateP99ToBaseline = 1.0 / 3
	maxUpdateP99ToCalm     = 1.5
	maxExtraSubRequests    = 0.05
	minCompleteAnswers     = 0.999
	minOverloadGoodput     = 0.9
	minFloodGoodput        = 0.95
)

type check struct {
	name    string
	value   float64
	bound   float64
	atLeast bool
}

func (c check) passed() bool {
	if c.atLeast {
		return c.value >= c.bound
	}
	return c.value <= c.bound
}

// PrintTargets writes each target with the measured value and returns the number of missed targets. It omits targets
// whose cases are not among the rows.
func PrintTargets(out io.Writer, rows []Row, strategy string) int {
	fmt.Fprintf(out, "\ntargets of %s\n", strategy)
	missed := 0
	for _, c := range targets(rows, strategy) {
		verdict, sign := "met", "<="
		if c.atLeast {
			sign = ">="
		}
		if !c.passed() {
			verdict = "MISSED"
			missed++
		}
		fmt.Fprintf(out, "%-6s  %-64s %9.4f %s %.4f\n", verdict, c.name, c.value, sign, c.bound)
	}
	return missed
}

func targets(rows []Row, strategy string) []check {
	var checks []check
	p99 := func(x Result) float64 { return milliseconds(x.P99) }
	extra := func(x Result) float64 { return x.ExtraSubRequests }
	goodput := func(x Result) float64 { return x.Goodput }
	for _, deployment := range []Deployment{Gravura(), Tutkal()} {
		get := func(name string) *Row { return findRow(rows, deployment.Name, name, strategy) }
		calm := get("calm")
		for _, name := range []string{"update", "update-loss"} {
			r := get(name)
			if r == nil {
				continue
			}
			checks = append(checks, check{deployment.Name + " " + name + ": extra sub-requests",
				r.mean(extra), maxExtraSubRequests, false})
			if deployment.Name == "tutkal" {
				checks = append(checks, check{deployment.Name + " " + name + ": complete answers",
					r.mean(func(x Result) float64 { return x.CompleteAnswers }), minCompleteAnswers, true})
				continue
			}
			if base := findRow(rows, deployment.Name, name, "baseline"); base != nil {
				mean, _, _ := ratioOverSeeds(r, base, p99)
				checks = append(checks, check{deployment.Name + " " + name + ": p99 to baseline",
					mean, maxUpdateP99ToBaseline, false})
			}
			if calm != nil {
				mean, _, _ := ratioOverSeeds(r, calm, p99)
				checks = append(checks, check{deployment.Name + " " + name + ": p99 to own calm p99",
					mean, maxUpdateP99ToCalm, false})
			}
		}
		if full, twice := get("load-100"), get("load-200"); full != nil && twice != nil {
			mean, _, _ := ratioOverSeeds(twice, full, goodput)
			checks = append(checks, check{deployment.Name + ": goodput at 200% to 100%", mean, minOverloadGoodput, true})
			checks = append(checks, check{deployment.Name + " load-200: answers below least coverage (refused after sending)",
				twice.mean(func(x Result) float64 { return x.BelowRequiredCoverage }), 0, false})
		}
		if r := get("flood"); r != nil && calm != nil {
			mean, _, _ := ratioOverSeeds(r, calm,
				func(x Result) float64 { return x.GoodputByProfile[profileMain] / x.OfferedByProfile[profileMain] })
			checks = append(checks, check{deployment.Name + " flood: goodput of the other profile",
				mean, minFloodGoodput, true})
		}
		checks = append(checks, connectionCheck(rows, deployment, strategy))
	}
	return checks
}

func connectionCheck(rows []Row, deployment Deployment, strategy string) check {
	var worst float64
	for _, r := range rows {
		if r.Deployment != deployment.Name || r.Strategy != strategy {
			continue
		}
		for _, x := range r.Results {
			worst = max(worst, float64(x.PeakConnections)/float64(x.ConnectionLimit))
		}
	}
	return check{deployment.Name + ": peak connections of a replica to its limit, all cases", worst, 1, false}
}
