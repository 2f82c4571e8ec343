// Package burn computes error budget burn rates of latency and coverage objectives over several windows from the metrics
// of the entry daemons.
package burn

import (
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivemill/chivemill/internal/strictyaml"
)

// Measure is the property that an objective measures.
type Measure string

// Values of Measure.
const (
	MeasureLatency  Measure = "latency"
	MeasureCoverage Measure = "coverage"
)

// Objective is a service-level objective: at least the fraction Target of requests must be good.
type Objective struct {
	Service string  `yaml:"service" json:"service"`
	Measure Measure `yaml:"measure" json:"measure"`
	// MaxLatency is the maximum latency of a good request. It is set for latency objectives only.
	MaxLatency strictyaml.Duration `yaml:"within" json:"within,omitempty"`
	// CoverageAbove is the coverage that a good answer must exceed. It is set for coverage objectives only.
	CoverageAbove float64 `yaml:"above" json:"above,omitempty"`
	// Target is greater than 0 and less than 1.
	Target float64 `yaml:"target" json:"target"`
}

// Window is a time window over which the burn rate is computed. A burn rate above AlertThreshold raises an alert.
type Window struct {
	Length         strictyaml.Duration `yaml:"length" json:"length"`
	AlertThreshold float64             `yaml:"alert" json:"alert"`
}

// Config is the configuration of a burn rate report.
type Config struct {
	Objectives []Objective `yaml:"objectives"`
	Windows    []Window    `yaml:"windows"`
}

// defaultWindows returns the usual windows and burn rates for an error budget of 30 days: 2% of the budget in 1 h, 5% in
// 6 h and 10% in 3 days, and a short window that shows whether the budget is still being consumed.
func defaultWindows() []Window {
	return []Window{
		{strictyaml.Duration(5 * time.Minute), 14.4},
		{strictyaml.Duration(time.Hour), 14.4},
		{strictyaml.Duration(6 * time.Hour), 6},
		{strictyaml.Duration(72 * time.Hour), 1},
	}
}

// LoadConfig reads and validates a configuration file. The error lists all problems with file, line and field.
func LoadConfig(file string) (Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Config{}, eris.Wrap(err, "read the objectives file")
	}
	return DecodeConfig(file, data)
}

// DecodeConfig decodes and validates the contents of a configuration file.
func DecodeConfig(file string, data []byte) (Config, error) {
	var c Config
	doc := strictyaml.Decode(file, data, &c)
	if err := doc.Err(); err != nil {
		return c, err
	}
	if len(c.Windows) == 0 {
		c.Windows = defaultWindows()
	}
	if len(c.Objectives) == 0 {
		doc.AddProblemf("objectives", "at least one objective is required")
	}
	for i, o := range c.Objectives {
		o.check(doc, "objectives["+strconv.Itoa(i)+"]")
	}
	for i, w := range c.Windows {
		field := "windows[" + strconv.Itoa(i) + "]"
		if w.Length <= 0 {
			doc.AddProblemf(field+".length", "must be above 0s")
		}
		if !(w.AlertThreshold > 0) {
			doc.AddProblemf(field+".alert", "must be above 0")
		}
	}
	return c, doc.Err()
}

func (o Objective) check(doc *strictyaml.Document, field string) {
	if o.Service == "" {
		doc.AddProblemf(field+".service", "is required")
	}
	if !(o.Target > 0 && o.Target < 1) {
		doc.AddProblemf(field+".target", "%g is outside (0, 1)", o.Target)
	}
	switch o.Measure {
	case MeasureLatency:
		if o.MaxLatency <= 0 {
			doc.AddProblemf(field+".within", "is required for latency and must be above 0s")
		}
		if o.CoverageAbove != 0 {
			doc.AddProblemf(field+".above", "contradicts measure: latency")
		}
	case MeasureCoverage:
		if !(o.CoverageAbove >= 0 && o.CoverageAbove < 1) {
			doc.AddProblemf(field+".above", "%g is outside [0, 1)", o.CoverageAbove)
		}
		if o.MaxLatency != 0 {
			doc.AddProblemf(field+".within", "contradicts measure: coverage")
		}
	default:
		doc.AddProblemf(field+".measure", "%q is not one of latency, coverage", o.Measure)
	}
}
