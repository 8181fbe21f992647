package fleet

import (
	"encoding/json"
	"image/color"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// sizeSeries is one line of a plot over the size of the fleet.
type sizeSeries struct {
	name  string
	value func(SizeReport) float64
}

// writeReports writes the reports as JSON, and two plots of them, into a directory.
func writeReports(all []SizeReport, dir string) error {
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "sizes.json"), text, 0o644); err != nil {
		return err
	}
	// expected returns the expected time until all views mark a crashed member dead, in protocol periods of
	// 1 s. The first probe of the member follows e/(e-1) periods after the crash (SWIM, section 4.1). The
	// failed probe lasts until the end of its period, which is 1 period. A suspicion that others confirm
	// lasts 4 max(1, log10 n) periods (Lifeguard, section 4.2; the 4 is memberlist's SuspicionMult).
	expected := func(n float64) float64 { return math.E/(math.E-1) + 1 + 4*math.Max(1, math.Log10(n)) }
	if err := drawSizes(all, filepath.Join(dir, "settling.png"), "Time until all views agree, virtual clock", "seconds", []sizeSeries{{"crash", func(s SizeReport) float64 { return s.Crash }},
		{"split of 2/5", func(s SizeReport) float64 { return s.Split }}, {"healed", func(s SizeReport) float64 { return s.Heal }},
		{"join of 1/4 more", func(s SizeReport) float64 { return s.StormSettled }}, {"minority detected", func(s SizeReport) float64 { return s.Minority }}}, expected); err != nil {
		return err
	}
	return drawSizes(all, filepath.Join(dir, "traffic.png"), "Traffic of one gateway, virtual clock", "bytes a second", []sizeSeries{{"at rest", func(s SizeReport) float64 { return s.RestBytes }},
		{"20% datagram loss", func(s SizeReport) float64 { return s.LossBytes }}}, nil)
}

// drawSizes plots series over the size of the fleet and saves the plot to a file. If expected is not
// nil, it is drawn as a dashed line.
func drawSizes(all []SizeReport, path, title, yLabel string, series []sizeSeries, expected func(float64) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "gateways (logarithmic)"
	p.Y.Label.Text = yLabel
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{}
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	colors := []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}, color.RGBA{G: 140, A: 255}, color.RGBA{R: 140, B: 140, A: 255}, color.RGBA{R: 220, G: 140, A: 255}}
	for i, s := range series {
		points := make(plotter.XYs, 0, len(all))
		for _, report := range all {
			points = append(points, plotter.XY{X: float64(report.Gateways), Y: s.value(report)})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color = colors[i%len(colors)], colors[i%len(colors)]
		p.Add(line, dots)
		p.Legend.Add(s.name, line)
	}
	if expected != nil {
		function := plotter.NewFunction(expected)
		function.Dashes, function.Color = []vg.Length{vg.Points(4), vg.Points(3)}, color.Gray{100}
		function.XMin, function.XMax = float64(all[0].Gateways), float64(all[len(all)-1].Gateways)
		p.Add(function)
		p.Legend.Add("expected for a crash (SWIM, Lifeguard)", function)
	}
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, path)
}
