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

const neverSeconds = 1000 // seconds: where a plot has what some gateway never heard

// PlotBroadcast draws the time to everywhere and the bytes of the most loaded gateway against size as SVG files, on log axes with their
// bounds: a line through the medians of each case and mechanism, and a mark for each run.
func PlotBroadcast(dir string, runs []*BroadcastReport, within time.Duration, bytes float64) error {
	for _, f := range []struct {
		name, title string
		bound       float64
		of          func(*BroadcastReport) float64
	}{
		{"broadcast-p99", fmt.Sprintf("until a purge is everywhere, p99, s (%d: never)", neverSeconds), within.Seconds(), func(r *BroadcastReport) float64 {
			if r.P99 < 0 {
				return neverSeconds
			}
			return r.P99
		}},
		{"broadcast-bytes", "bytes a second of the most loaded gateway, in and out", bytes, func(r *BroadcastReport) float64 { return r.Both.Max }},
	} {
		if err := plotBroadcast(filepath.Join(dir, f.name+".svg"), f.title, f.bound, runs, f.of); err != nil {
			return err
		}
	}
	return nil
}

var (
	plotColors = []color.RGBA{{B: 200, A: 255}, {G: 140, A: 255}, {R: 160, B: 160, A: 255}, {R: 200, G: 120, A: 255}, {G: 140, B: 160, A: 255}, {R: 120, G: 80, B: 40, A: 255}}
	plotGlyphs = []draw.GlyphDrawer{draw.CircleGlyph{}, draw.TriangleGlyph{}, draw.SquareGlyph{}, draw.CrossGlyph{}, draw.PlusGlyph{}, draw.RingGlyph{}}
)

func plotBroadcast(path, title string, bound float64, runs []*BroadcastReport, of func(*BroadcastReport) float64) error {
	type series struct{ mechanism, name string }
	var names []series
	points := map[series]map[int][]float64{}
	least, most := 0.0, 0.0
	for _, r := range runs {
		s, v := series{r.Mechanism, r.Case}, of(r)
		if !(v > 0) {
			continue
		}
		if points[s] == nil {
			points[s] = map[int][]float64{}
			names = append(names, s)
		}
		points[s][r.Gateways] = append(points[s][r.Gateways], v)
		if x := float64(r.Gateways); most == 0 {
			least, most = x, x
		} else {
			least, most = min(least, x), max(most, x)
		}
	}
	if len(names) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "gateways", title
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	for k, s := range names {
		var marks, line plotter.XYs
		for n, values := range points[s] {
			slices.Sort(values)
			line = append(line, plotter.XY{X: float64(n), Y: values[(len(values)-1)/2]})
			for _, v := range values {
				marks = append(marks, plotter.XY{X: float64(n), Y: v})
			}
		}
		slices.SortFunc(line, func(a, b plotter.XY) int { return int(a.X - b.X) })
		slices.SortFunc(marks, func(a, b plotter.XY) int { return int(a.X - b.X) })
		dots, err := plotter.NewScatter(marks)
		if err != nil {
			return err
		}
		through, err := plotter.NewLine(line)
		if err != nil {
			return err
		}
		dots.GlyphStyle.Color, dots.GlyphStyle.Shape, dots.GlyphStyle.Radius = plotColors[k%len(plotColors)], plotGlyphs[k%len(plotGlyphs)], vg.Points(2)
		if through.Color = dots.GlyphStyle.Color; s.mechanism == "old" {
			through.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		}
		p.Add(dots, through)
		p.Legend.Add(s.mechanism+", "+s.name, through, dots)
	}
	f := plotter.NewFunction(func(float64) float64 { return bound })
	f.XMin, f.XMax, f.Color, f.Width = least, most, color.RGBA{R: 200, A: 255}, vg.Points(1.5)
	p.Add(f)
	p.Legend.Add(fmt.Sprintf("bound: %g", bound), f)
	p.Y.Min, p.Y.Max = min(p.Y.Min, bound)/1.2, max(p.Y.Max, bound)*4 // room for the legend
	if p.X.Min == p.X.Max {
		p.X.Min, p.X.Max = p.X.Min/2, p.X.Max*2
	}
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, path)
}
