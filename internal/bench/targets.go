package bench

import (
	"fmt"
	"io"
)

// Bounds of the stated targets. They come from the targets, not from measured figures.
const (
	updateTailRatio = 1.0 / 3
	updateTailCalm  = 1.5
	extraBound      = 0.05
	completeBound   = 0.999
	goodputBound    = 0.9
	floodBound      = 0.95
)

type check struct {
	name  string
	value float64
	bound float64
	least bool
}

func (c check) met() bool {
	if c.least {
		return c.value >= c.bound
	}
	return c.value <= c.bound
}

// PrintTargets writes each target with the figure seen and returns the number that were missed. Targets whose
// cases are not among the rows are left out.
func PrintTargets(out io.Writer, rows []Row, strategy string) int {
	fmt.Fprintf(out, "\ntargets of %s\n", strategy)
	missed := 0
	for _, c := range targets(rows, strategy) {
		verdict, sign := "met", "<="
		if c.least {
			sign = ">="
		}
		if !c.met() {
			verdict = "MISSED"
			missed++
		}
		fmt.Fprintf(out, "%-6s  %-64s %9.4f %s %.4f\n", verdict, c.name, c.value, sign, c.bound)
	}
	return missed
}

func targets(rows []Row, strategy string) []check {
	var checks []check
	p99 := func(x Result) float64 { return ms(x.P99) }
	extra := func(x Result) float64 { return x.Extra }
	goodput := func(x Result) float64 { return x.Goodput }
	for _, dep := range []Deployment{Gravura(), Tutkal()} {
		get := func(name string) *Row { return find(rows, dep.Name, name, strategy) }
		calm := get("calm")
		for _, name := range []string{"update", "update-loss"} {
			r := get(name)
			if r == nil {
				continue
			}
			checks = append(checks, check{dep.Name + " " + name + ": extra sub-requests", r.mean(extra), extraBound, false})
			if dep.Name == "tutkal" {
				checks = append(checks, check{dep.Name + " " + name + ": complete answers",
					r.mean(func(x Result) float64 { return x.Complete }), completeBound, true})
				continue
			}
			if base := find(rows, dep.Name, name, "baseline"); base != nil {
				mean, _, _ := ratio(r, base, p99)
				checks = append(checks, check{dep.Name + " " + name + ": p99 to baseline", mean, updateTailRatio, false})
			}
			if calm != nil {
				mean, _, _ := ratio(r, calm, p99)
				checks = append(checks, check{dep.Name + " " + name + ": p99 to own calm p99", mean, updateTailCalm, false})
			}
		}
		if full, twice := get("load-100"), get("load-200"); full != nil && twice != nil {
			mean, _, _ := ratio(twice, full, goodput)
			checks = append(checks, check{dep.Name + ": goodput at 200% to 100%", mean, goodputBound, true})
			checks = append(checks, check{dep.Name + " load-200: answers below least coverage (refused after sending)",
				twice.mean(func(x Result) float64 { return x.Below }), 0, false})
		}
		if r := get("flood"); r != nil && calm != nil {
			mean, _, _ := ratio(r, calm, func(x Result) float64 { return x.Good[profileMain] / x.Offered[profileMain] })
			checks = append(checks, check{dep.Name + " flood: goodput of the other profile", mean, floodBound, true})
		}
		checks = append(checks, connectionCheck(rows, dep, strategy))
	}
	return checks
}

func connectionCheck(rows []Row, dep Deployment, strategy string) check {
	var worst float64
	for _, r := range rows {
		if r.Deployment != dep.Name || r.Strategy != strategy {
			continue
		}
		for _, x := range r.Results {
			worst = max(worst, float64(x.Connections)/float64(x.Limit))
		}
	}
	return check{dep.Name + ": peak connections of a replica to its limit, all cases", worst, 1, false}
}
