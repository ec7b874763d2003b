package evaluate

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgimg" // draws PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // draws SVG
)

// Dimensions of a plot.
const (
	plotWidth    = 20 * vg.Centimeter
	plotHeight   = 12 * vg.Centimeter
	plotBarWidth = 8 * vg.Millimeter
)

// WritePlot draws the attainment of each organisation during the flood, under
// the baseline and under the project's policies, into a file. The file extension
// selects PNG or SVG.
func (c *Comparison) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = c.Workload.Name + ": attainment while " + c.Workload.Flood.Organisation + " floods"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i, run := range []struct {
		name     string
		measures *Measures
	}{{"baseline", &c.Baseline}, {"ours", &c.Project}} {
		bars, err := plotter.NewBarChart(plotter.Values(run.measures.Organisations), plotBarWidth)
		if err != nil {
			return fmt.Errorf("evaluate: plot: %w", err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = plotBarWidth * vg.Length(2*i-1) / 2
		p.Add(bars)
		p.Legend.Add(run.name, bars)
	}
	var names []string
	for _, o := range c.Workload.Organisations {
		names = append(names, o.Name)
	}
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("evaluate: plot: %w", err)
	}
	return nil
}
