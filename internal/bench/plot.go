package bench

import (
	"math"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// barWidth is the width of one bar of the plot.
const barWidth = 14 * vg.Millimeter

// Plot writes a bar chart to figures.svg in folder, with each bounded figure as a share of its bound. For a figure that must be at least
// its bound the share is inverted, so that a bar above 1 always means a missed target.
func Plot(folder string, figures []Figure) error {
	p := plot.New()
	p.Title.Text = "figures as a share of their bounds (above 1: missed)"
	p.Y.Min = 0
	var values plotter.Values
	var names []string
	for _, f := range figures {
		if !f.Bounded || f.Bound == 0 {
			continue
		}
		values = append(values, shareOfBound(f))
		names = append(names, f.Measure+"\n"+f.Name)
	}
	if len(values) == 0 {
		return nil
	}
	bars, err := plotter.NewBarChart(values, barWidth/2)
	if err != nil {
		return err
	}
	p.Add(bars, plotter.NewGrid())
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = math.Pi / 4
	p.X.Tick.Label.XAlign = -1
	return p.Save(vg.Length(len(values)+4)*barWidth, 16*vg.Centimeter, filepath.Join(folder, "figures.svg"))
}

func shareOfBound(f Figure) float64 {
	if !f.AtLeast {
		return f.Value / f.Bound
	}
	if f.Value <= 0 {
		return 0
	}
	return f.Bound / f.Value
}
