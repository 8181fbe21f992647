package fleet

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Plot draws the views over time: least and most live members that a running gateway sees, and how many run.
func (rep *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: live members in the views of running gateways", rep.Scenario, rep.Seed)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "gateways"
	p.Y.Min = 0
	series := []struct {
		name string
		of   func(ViewSample) int
		c    color.Color
		dash []vg.Length
	}{{"run", func(v ViewSample) int { return v.Running }, color.Gray{150}, []vg.Length{vg.Points(4), vg.Points(3)}},
		{"most seen", func(v ViewSample) int { return v.MaxLive }, color.RGBA{R: 200, G: 90, A: 255}, nil},
		{"least seen", func(v ViewSample) int { return v.MinLive }, color.RGBA{B: 180, G: 60, A: 255}, nil}}
	for _, s := range series {
		var pts plotter.XYs
		for i, v := range rep.Views {
			x := float64(v.AtMS) / 1000
			if i > 0 { // a staircase
				pts = append(pts, plotter.XY{X: x, Y: pts[len(pts)-1].Y})
			}
			pts = append(pts, plotter.XY{X: x, Y: float64(s.of(v))})
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return err
		}
		line.Color, line.Width, line.Dashes = s.c, vg.Points(1.5), s.dash
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	for _, st := range rep.Steps {
		if st.Action == "mark" {
			continue
		}
		x := float64(st.AtMS+rep.ReadyMS) / 1000
		line, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: float64(rep.Gateways) + 1}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{200}
		p.Add(line)
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: 0.3}}, Labels: []string{st.Action}})
		if err != nil {
			return err
		}
		p.Add(labels)
	}
	return p.Save(24*vg.Centimeter, 12*vg.Centimeter, path)
}
