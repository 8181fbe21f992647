package fleet

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws the views over time into a file, in the format that the file's
// extension names. The plot shows the lowest and the highest number of live members
// in the view of a running gateway, the number of running gateways, and the steps.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: live members in the views of running gateways", r.Scenario, r.Seed)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "gateways"
	p.Y.Min = 0
	series := []struct {
		name   string
		value  func(ViewSample) int
		color  color.Color
		dashes []vg.Length
	}{
		{"run", func(v ViewSample) int { return v.Running }, color.Gray{150}, []vg.Length{vg.Points(4), vg.Points(3)}},
		{"most seen", func(v ViewSample) int { return v.MaxLive }, color.RGBA{R: 200, G: 90, A: 255}, nil},
		{"least seen", func(v ViewSample) int { return v.MinLive }, color.RGBA{B: 180, G: 60, A: 255}, nil},
	}
	for _, s := range series {
		line, err := plotter.NewLine(r.steppedLine(s.value))
		if err != nil {
			return err
		}
		line.Color = s.color
		line.Width = vg.Points(1.5)
		line.Dashes = s.dashes
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	for _, step := range r.Steps {
		if step.Action == actionMark {
			continue
		}
		if err := r.plotStep(p, step); err != nil {
			return err
		}
	}
	return p.Save(plotWidth, plotHeight, path)
}

// steppedLine returns the points of a stepped line, on which each value holds until the next sample.
func (r *Report) steppedLine(value func(ViewSample) int) (points plotter.XYs) {
	for i, sample := range r.Views {
		x := float64(sample.AtMS) / 1000
		if i > 0 {
			points = append(points, plotter.XY{X: x, Y: points[len(points)-1].Y})
		}
		points = append(points, plotter.XY{X: x, Y: float64(value(sample))})
	}
	return points
}

// plotStep draws a vertical line at the time of a step and labels it with the step's action.
func (r *Report) plotStep(p *plot.Plot, step StepReport) error {
	x := float64(step.AtMS+r.ReadyMS) / 1000
	line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: float64(r.Gateways) + 1}})
	if err != nil {
		return err
	}
	line.Color = color.Gray{200}
	p.Add(line)
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: 0.3}}, Labels: []string{step.Action}})
	if err != nil {
		return err
	}
	p.Add(labels)
	return nil
}
