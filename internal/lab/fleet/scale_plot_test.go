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

// sizeSeries is a line of a plot over sizes.
type sizeSeries struct {
	name  string
	value func(SizeReport) float64
}

// writeReports writes the reports as JSON and plots of them into a folder.
func writeReports(all []SizeReport, dir string) error {
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "sizes.json"), text, 0o644); err != nil {
		return err
	}
	// Expected: a failed probe ends its protocol period, and the first probe of the crashed member comes
	// e/(e-1) periods after the crash (SWIM, 4.1); a suspicion that others confirm lasts 4 max(1, log10 n) periods (Lifeguard, 4.2; memberlist's SuspicionMult).
	expected := func(n float64) float64 { return math.E/(math.E-1) + 1 + 4*math.Max(1, math.Log10(n)) }
	if err := drawSizes(all, filepath.Join(dir, "settling.png"), "Until all agree, virtual clock", "seconds", []sizeSeries{{"crash", func(s SizeReport) float64 { return s.Crash }},
		{"split of 2 in 5", func(s SizeReport) float64 { return s.Split }}, {"healed", func(s SizeReport) float64 { return s.Heal }},
		{"a quarter more at once", func(s SizeReport) float64 { return s.StormSettled }}, {"smaller side knows", func(s SizeReport) float64 { return s.Minority }}}, expected); err != nil {
		return err
	}
	return drawSizes(all, filepath.Join(dir, "traffic.png"), "Traffic of one gateway, virtual clock", "bytes a second", []sizeSeries{{"at rest", func(s SizeReport) float64 { return s.RestBytes }},
		{"one datagram in five lost", func(s SizeReport) float64 { return s.LossBytes }}}, nil)
}

// drawSizes plots series over the size of the fleet into a file; expected, if not nil, is drawn dashed.
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
		p.Legend.Add("expected of a crash (SWIM, Lifeguard)", function)
	}
	return p.Save(20*vg.Centimeter, 12*vg.Centimeter, path)
}
