package scale

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// SizePlot is a plot of one figure of several runs against the number of gateways.
type SizePlot struct {
	Name       string // name of the file without its extension
	Title      string
	Budget     float64 // drawn as a horizontal line; 0: no budget
	BySize     map[int][]float64
	RealBySize map[int][]float64 // values of real gateways; may be empty
}

// WatchPlots returns the plots of the reports of Watch. Each plot has a value for each run, except values of 0 or less,
// which log axes cannot show.
func WatchPlots(runs []*WatchReport, budget Budget) []SizePlot {
	all := []SizePlot{
		{Name: "core", Title: "processor, part of a core", Budget: budget.Core},
		{Name: "event", Title: "processor an event heard, microseconds"},
		{Name: "wire", Title: "watch with TCP, bytes a second in and out", Budget: budget.BytesPerSecond},
		{Name: "resident", Title: "anonymous memory, bytes", Budget: budget.Resident},
		{Name: "everywhere-p50", Title: "until a purge is everywhere, median, ms"},
		{Name: "everywhere-p99", Title: "until a purge is everywhere, 99th percentile, ms"},
		{Name: "everywhere-max", Title: "until a purge is everywhere, the last, ms"},
	}
	costValues := func(c Cost) []float64 { return []float64{c.Core, c.EventMicros, c.WireIn + c.WireOut, c.Resident} }
	for i := range all {
		all[i].BySize, all[i].RealBySize = map[int][]float64{}, map[int][]float64{}
	}
	for _, r := range runs {
		if r.Hollow.Gateways > 0 {
			for i, v := range append(costValues(r.Hollow), r.Median, r.P99, r.Max) {
				if v > 0 {
					all[i].BySize[r.Gateways] = append(all[i].BySize[r.Gateways], v)
				}
			}
		}
		if r.Real.Gateways > 0 {
			for i, v := range costValues(r.Real) {
				if v > 0 {
					all[i].RealBySize[r.Gateways] = append(all[i].RealBySize[r.Gateways], v)
				}
			}
		}
	}
	return all
}

// decadeTicks returns ticks with labels at 1, 2 and 5 times each power of ten, so that a range within one decade has
// labels too.
func decadeTicks(least, most float64) (all []plot.Tick) {
	for e := math.Floor(math.Log10(least)); e <= math.Log10(most); e++ {
		for _, m := range []float64{1, 2, 5} {
			if v := m * math.Pow(10, e); v >= least && v <= most {
				all = append(all, plot.Tick{Value: v, Label: strconv.FormatFloat(v, 'g', 3, 64)})
			}
		}
	}
	return all
}

// Plot writes an SVG file into a folder. It shows the values against the number of gateways on log axes, the fitted
// line if fit is not nil, and the budget. Plot writes no file if there are no values.
func (g *SizePlot) Plot(dir string, fit *Fit) error {
	if len(g.BySize) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = g.Title, "gateways", g.Title
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.TickerFunc(decadeTicks), plot.TickerFunc(decadeTicks)
	p.Legend.Top, p.Legend.Left = true, true
	blue, red, green, grey := color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}, color.Gray{100}
	least, most := 0.0, 0.0
	for _, s := range []struct {
		name string
		by   map[int][]float64
		c    color.Color
		mark draw.GlyphDrawer
	}{{"hollow", g.BySize, blue, draw.CircleGlyph{}}, {"real, beside them", g.RealBySize, green, draw.CrossGlyph{}}} {
		var pts plotter.XYs
		for n, values := range s.by {
			for _, v := range values {
				pts = append(pts, plotter.XY{X: float64(n), Y: v})
			}
			if x := float64(n); most == 0 {
				least, most = x, x
			} else {
				least, most = min(least, x), max(most, x)
			}
		}
		if len(pts) == 0 {
			continue
		}
		dots, err := plotter.NewScatter(pts)
		if err != nil {
			return err
		}
		dots.GlyphStyle.Color, dots.GlyphStyle.Shape = s.c, s.mark
		p.Add(dots)
		p.Legend.Add(s.name, dots)
	}
	line := func(name string, c color.Color, of func(float64) float64) {
		f := plotter.NewFunction(of)
		f.XMin, f.XMax, f.Color, f.Dashes = least, most, c, []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(f)
		p.Legend.Add(name, f)
		p.Y.Min, p.Y.Max = min(p.Y.Min, of(least), of(most)), max(p.Y.Max, of(least), of(most))
	}
	if fit != nil {
		shape := fmt.Sprintf("%.3g n^%.2f", fit.Factor, fit.Slope)
		if fit.Curved {
			shape += " (curved: not this line)"
		}
		line(shape, grey, fit.Value)
	}
	if g.Budget > 0 {
		line("budget", red, func(float64) float64 { return g.Budget })
	}
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = p.X.Min/1.5, p.X.Max*1.5, p.Y.Min/2, p.Y.Max*4 // room for at least two labels and the legend
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, g.Name+".svg"))
}
