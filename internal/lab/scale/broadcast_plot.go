package scale

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const neverSeconds = 1000 // seconds that a plot shows for a purge that some gateway never received

// PlotBroadcast writes two SVG files into a folder. One shows the 99th percentile of the time until a purge is
// everywhere, the other the bytes a second of the most loaded gateway, both against the number of gateways on log axes
// and with their bounds. There is a mark for each run and, for each mechanism and case, a line through the medians.
// Runs without a positive value are left out.
func PlotBroadcast(dir string, runs []*BroadcastReport, deadline time.Duration, bytesPerSecond float64) error {
	for _, f := range []struct {
		name, title string
		bound       float64
		value       func(*BroadcastReport) float64
	}{
		{"broadcast-p99", fmt.Sprintf("until a purge is everywhere, p99, s (%d: never)", neverSeconds), deadline.Seconds(), func(r *BroadcastReport) float64 {
			if r.P99 < 0 {
				return neverSeconds
			}
			return r.P99
		}},
		{"broadcast-bytes", "bytes a second of the most loaded gateway, in and out", bytesPerSecond, func(r *BroadcastReport) float64 { return r.Both.Max }},
	} {
		if err := plotBroadcast(filepath.Join(dir, f.name+".svg"), f.title, f.bound, runs, f.value); err != nil {
			return err
		}
	}
	return nil
}

var (
	plotColors = []color.RGBA{{B: 200, A: 255}, {G: 140, A: 255}, {R: 160, B: 160, A: 255}, {R: 200, G: 120, A: 255}, {G: 140, B: 160, A: 255}, {R: 120, G: 80, B: 40, A: 255}}
	plotGlyphs = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.TriangleGlyph{}, draw.SquareGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}, draw.RingGlyph{}}
)

// plotSeries identifies a line of a plot by the mechanism and the fault case.
type plotSeries struct{ mechanism, faultCase string }

// valuesBySize holds the values of one series by the number of gateways.
type valuesBySize map[int][]float64

// collectSeries groups the positive values of runs by series. It returns the series in the order in which the runs
// first name them, their values, and the least and greatest number of gateways.
func collectSeries(runs []*BroadcastReport, value func(*BroadcastReport) float64) (order []plotSeries, values map[plotSeries]valuesBySize, minSize, maxSize float64) {
	values = map[plotSeries]valuesBySize{}
	for _, r := range runs {
		series, v := plotSeries{r.Mechanism, r.Case}, value(r)
		if !(v > 0) {
			continue
		}
		if values[series] == nil {
			values[series] = valuesBySize{}
			order = append(order, series)
		}
		values[series][r.Gateways] = append(values[series][r.Gateways], v)
		if size := float64(r.Gateways); maxSize == 0 {
			minSize, maxSize = size, size
		} else {
			minSize, maxSize = min(minSize, size), max(maxSize, size)
		}
	}
	return order, values, minSize, maxSize
}

// points returns a point for each value and a point for the median of each size, both in the order of sizes. It sorts
// the values in place.
func (values valuesBySize) points() (all, medians plotter.XYs) {
	for size, sorted := range values {
		slices.Sort(sorted)
		medians = append(medians, plotter.XY{X: float64(size), Y: sorted[(len(sorted)-1)/2]})
		for _, v := range sorted {
			all = append(all, plotter.XY{X: float64(size), Y: v})
		}
	}
	bySize := func(a, b plotter.XY) int { return int(a.X - b.X) }
	slices.SortFunc(medians, bySize)
	slices.SortFunc(all, bySize)
	return all, medians
}

// addSeries draws one series in the color and with the glyph that belong to index.
func addSeries(p *plot.Plot, series plotSeries, values valuesBySize, index int) error {
	all, medians := values.points()
	dots, err := plotter.NewScatter(all)
	if err != nil {
		return err
	}
	line, err := plotter.NewLine(medians)
	if err != nil {
		return err
	}
	dots.GlyphStyle.Color = plotColors[index%len(plotColors)]
	dots.GlyphStyle.Shape = plotGlyphs[index%len(plotGlyphs)]
	dots.GlyphStyle.Radius = vg.Points(2)
	line.Color = dots.GlyphStyle.Color
	if series.mechanism == "old" {
		line.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
	}
	p.Add(dots, line)
	p.Legend.Add(series.mechanism+", "+series.faultCase, line, dots)
	return nil
}

// plotBroadcast plots one figure of the runs against size into an SVG file. It writes no file if there are no positive
// values.
func plotBroadcast(path, title string, bound float64, runs []*BroadcastReport, value func(*BroadcastReport) float64) error {
	order, values, minSize, maxSize := collectSeries(runs, value)
	if len(order) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "gateways", title
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for index, series := range order {
		if err := addSeries(p, series, values[series], index); err != nil {
			return err
		}
	}
	boundLine := plotter.NewFunction(func(float64) float64 { return bound })
	boundLine.XMin, boundLine.XMax = minSize, maxSize
	boundLine.Color, boundLine.Width = color.RGBA{R: 200, A: 255}, vg.Points(1.5)
	p.Add(boundLine)
	p.Legend.Add(fmt.Sprintf("bound: %g", bound), boundLine)
	p.Y.Min, p.Y.Max = min(p.Y.Min, bound)/1.2, max(p.Y.Max, bound)*4 // room for the legend
	if p.X.Min == p.X.Max {
		p.X.Min, p.X.Max = p.X.Min/2, p.X.Max*2
	}
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, path)
}
