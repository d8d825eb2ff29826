// Package bench measures what the users measure, with the real decision packages and the real codec, small fakes behind the interfaces
// and virtual time. Figures that are bounded are counts, ratios and bytes of a seeded run; times are printed and not bounded.
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
	// Measure groups figures, such as "cache reuse"; Name says which value this is.
	Measure string  `json:"measure"`
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Bound is the stated target; the figure is met if it is at most Bound, or at least Bound if AtLeast is set. Unbounded figures are
	// printed only.
	Bound   float64 `json:"bound,omitempty"`
	Bounded bool    `json:"bounded"`
	AtLeast bool    `json:"at_least,omitempty"`
	// Baselines are the same value of simpler methods in the same run.
	Baselines []Baseline `json:"baselines,omitempty"`
}

// Baseline is the value of a simpler method.
type Baseline struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Met reports whether the figure keeps its target.
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

// Target describes the bound.
func (f Figure) Target() string {
	switch {
	case !f.Bounded:
		return "-"
	case f.AtLeast:
		return "at least " + number(f.Bound)
	default:
		return "at most " + number(f.Bound)
	}
}

// Options say how long a measurement may take.
type Options struct {
	// Seed makes a run repeatable.
	Seed uint64
	// Short asks for the form that continuous integration runs: the same bounds over less data.
	Short bool
}

// Measurement produces figures. It must give the same figures for the same options, except for times.
type Measurement struct {
	Name string
	// Timed says that the measurement prints times, so that it should not run beside others.
	Timed bool
	Run   func(Options) []Figure
}

// All returns the measurements in the order of the report.
func All() []Measurement {
	return slices.Concat(routing(), control())
}

// number prints a value with the digits that matter.
func number(v float64) string { return fmt.Sprintf("%.4g", v) }

// Print writes the figures as a table.
func Print(w io.Writer, figures []Figure) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "MEASURE\tFIGURE\tVALUE\tTARGET\tVERDICT\tBASELINES")
	for _, f := range figures {
		fmt.Fprintf(table, "%s\t%s\t%s %s\t%s\t%s\t%s\n", f.Measure, f.Name, number(f.Value), f.Unit, f.Target(), verdict(f), baselines(f))
	}
	_ = table.Flush()
}

func verdict(f Figure) string {
	switch {
	case !f.Bounded:
		return "-"
	case f.Met():
		return "met"
	default:
		return "MISSED"
	}
}

func baselines(f Figure) string {
	parts := make([]string, len(f.Baselines))
	for i, b := range f.Baselines {
		parts[i] = b.Name + " " + number(b.Value)
	}
	return strings.Join(parts, ", ")
}
