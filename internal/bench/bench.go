// Package bench simulates fleets and measures the figures that have targets. It runs the real decision packages and the real codec in
// virtual time, with small fakes behind the interfaces. Bounded figures are counts, ratios, bytes and virtual times of a seeded run;
// processor times are printed and not bounded.
package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Figure is one measured value with its target.
type Figure struct {
	// Measure groups figures, such as "cache reuse"; Name identifies the value within its group.
	Measure string  `json:"measure"`
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Bound is the target: Value must be at most Bound, or at least Bound if AtLeast is set. Without Bounded there is no target, and
	// the figure is only printed.
	Bound   float64 `json:"bound,omitempty"`
	Bounded bool    `json:"bounded"`
	AtLeast bool    `json:"at_least,omitempty"`
	// Baselines are the values of simpler methods in the same run.
	Baselines []Baseline `json:"baselines,omitempty"`
}

// Baseline is the value of a simpler method.
type Baseline struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Met reports whether the figure meets its target. A figure without a target always does.
func (f Figure) Met() bool {
	switch {
	case !f.Bounded:
		return true
	case f.AtLeast:
		return f.Value >= f.Bound
	default:
		return f.Value <= f.Bound
	}
}

// Target returns the target as text, or "-" if there is none.
func (f Figure) Target() string {
	switch {
	case !f.Bounded:
		return "-"
	case f.AtLeast:
		return "at least " + formatNumber(f.Bound)
	default:
		return "at most " + formatNumber(f.Bound)
	}
}

// Options are the parameters of a run.
type Options struct {
	// Seed initializes the random numbers; the same seed repeats a run.
	Seed uint64
	// Short selects the shorter run of continuous integration: the same bounds over less data.
	Short bool
}

// Measurement produces figures. Run must return the same figures for the same options, except for processor times.
type Measurement struct {
	Name string
	// Timed is set if figures depend on processor time, so that the measurement should not run in parallel with others.
	Timed bool
	Run   func(Options) []Figure
}

// All returns the measurements in the order of the report.
func All() []Measurement {
	return slices.Concat(routingMeasurements(), controlMeasurements())
}

// formatNumber formats a value with four significant digits.
func formatNumber(v float64) string { return fmt.Sprintf("%.4g", v) }

// Print writes the figures as a table.
func Print(w io.Writer, figures []Figure) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEASURE\tFIGURE\tVALUE\tTARGET\tVERDICT\tBASELINES")
	for _, f := range figures {
		fmt.Fprintf(table, "%s\t%s\t%s %s\t%s\t%s\t%s\n", f.Measure, f.Name, formatNumber(f.Value), f.Unit, f.Target(), formatVerdict(f), formatBaselines(f))
	}
	_ = table.Flush()
}

func formatVerdict(f Figure) string {
	switch {
	case !f.Bounded:
		return "-"
	case f.Met():
		return "met"
	default:
		return "MISSED"
	}
}

func formatBaselines(f Figure) string {
	parts := make([]string, len(f.Baselines))
	for i, b := range f.Baselines {
		parts[i] = b.Name + " " + formatNumber(b.Value)
	}
	return strings.Join(parts, ", ")
}
