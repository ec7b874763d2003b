package load

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // draws PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // draws SVG
)

// Dimensions of a plot.
const (
	plotWidth    = 24 * vg.Centimeter
	plotHeight   = 24 * vg.Centimeter
	plotBarWidth = 1.2 * vg.Centimeter
	plotPadding  = 5 * vg.Millimeter
)

// ErrPlotFormat means that the file name of a plot ends neither in .png nor in
// .svg.
var ErrPlotFormat = errors.New("load: plot: want a file that ends in .png or .svg")

// WritePlot draws the percentile curves of the time to first token and the
// attainment of each organisation into a file. The file extension selects PNG
// or SVG.
func (r *Report) WritePlot(file string) error {
	format := strings.TrimPrefix(strings.ToLower(filepath.Ext(file)), ".")
	if format != "png" && format != "svg" {
		return fmt.Errorf("%w, got %s", ErrPlotFormat, file)
	}
	curves, err := r.plotCurves()
	if err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	bars, err := r.plotAttainment()
	if err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	return writeStacked(file, format, curves, bars)
}

func writeStacked(file, format string, plots ...*plot.Plot) error {
	canvas, err := draw.NewFormattedCanvas(plotWidth, plotHeight, format)
	if err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: plotPadding}
	for i, p := range plots {
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("load: plot: %w", err)
	}
	if _, err := canvas.WriteTo(f); err != nil {
		return errors.Join(fmt.Errorf("load: plot: %w", err), f.Close())
	}
	return f.Close()
}

// plotCurves plots the time to first token over a logarithmic percentile axis:
// one unit of x is one more nine of the percentile.
func (r *Report) plotCurves() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = r.Name + ": time to first token from the intended send time"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.X.Tick.Marker = percentileTicks()
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	for i, g := range r.Organisations {
		if len(g.FirstToken.Curve) == 0 {
			continue
		}
		line, err := plotter.NewLine(curveOf(g.FirstToken))
		if err != nil {
			return nil, err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(g.Name, line)
	}
	deadline := plotter.NewFunction(func(float64) float64 {
		return float64(r.Deadlines.FirstToken.Std().Microseconds()) / 1000
	})
	deadline.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
	p.Add(deadline, plotter.NewGrid())
	p.Legend.Add("deadline", deadline)
	return p, nil
}

func curveOf(l Latency) plotter.XYs {
	var xys plotter.XYs
	for _, pt := range l.Curve {
		xys = append(xys, plotter.XY{X: nines(pt.Percentile), Y: pt.MS})
	}
	return xys
}

// nines returns the number of nines of a percentile: 0 for 0, 1 for 90, 2 for
// 99 and so on.
func nines(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

func percentileTicks() plot.ConstantTicks {
	var ticks plot.ConstantTicks
	for _, p := range []float64{0, 50, 75, 90, 95, 99, 99.9, 99.99} {
		ticks = append(ticks, plot.Tick{Value: nines(p), Label: fmt.Sprintf("%g", p)})
	}
	return ticks
}

func (r *Report) plotAttainment() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("attainment (first token within %s, %s between tokens)", r.Deadlines.FirstToken, r.Deadlines.TokenGap)
	p.Y.Min, p.Y.Max = 0, 1
	var values plotter.Values
	var names []string
	for _, g := range r.Organisations {
		values = append(values, g.Attainment)
		names = append(names, g.Name)
	}
	bars, err := plotter.NewBarChart(values, plotBarWidth)
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(names...)
	return p, nil
}
