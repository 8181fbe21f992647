package scale

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"foldslip/internal/lab/cost"
)

const (
	maxFigures       = 256  // figure files in a folder
	maxExtrapolation = 1000 // limit of extrapolation, as a multiple of the largest measured size
)

// CapacityFigure is a figure of docs/CAPACITY.md with the line that is fitted to it.
type CapacityFigure struct {
	*cost.Figure
	Fit *Fit // nil if the figure has fewer than two sizes
}

// ReadFitted reads a figure from a file and fits a line to it if the figure has at least two sizes. The error wraps a
// *LogAxisError if one of the values is 0 or less, which can happen in a short run.
func ReadFitted(path string) (*CapacityFigure, error) {
	f, err := cost.Read(path)
	if err != nil {
		return nil, err
	}
	bySize := map[int][]float64{}
	for _, p := range f.Points {
		bySize[int(p.Size)] = append(bySize[int(p.Size)], p.Values...)
	}
	c := &CapacityFigure{Figure: f}
	if len(bySize) > 1 {
		if c.Fit, err = FitLine(f.Name, bySize); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	return c, nil
}

// MaxDeviation returns the greatest factor by which the mean of a size lies above or below the line. It returns 1 if
// there is no line.
func (c *CapacityFigure) MaxDeviation() float64 {
	deviation := 1.0
	if c.Fit != nil {
		for _, at := range c.Fit.Points {
			deviation = max(deviation, at.Deviation, 1/at.Deviation)
		}
	}
	return deviation
}

// ExceedsBudgetAt returns the size at which the figure first exceeds its budget, and whether that size lies within the
// measured sizes. A size beyond them is extrapolated along the straight line through the last two sizes on log axes.
// ExceedsBudgetAt returns 0 if there is no such size up to maxExtrapolation times the largest measured one.
func (c *CapacityFigure) ExceedsBudgetAt() (size float64, measured bool) {
	if c.Budget <= 0 || len(c.Points) == 0 {
		return 0, false
	}
	points := slices.Clone(c.Points)
	slices.SortFunc(points, func(a, b cost.Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	crossing := func(a, b cost.Point) float64 {
		ya, _, _ := a.Median()
		yb, _, _ := b.Median()
		slope := math.Log(yb/ya) / math.Log(b.Size/a.Size)
		if slope <= 0 {
			return 0
		}
		return a.Size * math.Exp(math.Log(c.Budget/ya)/slope)
	}
	for i, p := range points {
		if y, _, _ := p.Median(); y > c.Budget {
			if i == 0 {
				return p.Size, true
			}
			return crossing(points[i-1], p), true
		}
	}
	if n := len(points); n > 1 {
		if size = crossing(points[n-2], points[n-1]); size <= maxExtrapolation*points[n-1].Size {
			return size, false
		}
	}
	return 0, false
}

// Value returns the median at a size, and whether that size was measured. The value of any other size is taken from a
// straight line on log axes. The line goes through the measured sizes below and above it, or through the two sizes at
// that end of the measured range.
func (c *CapacityFigure) Value(size float64) (value float64, measured bool) {
	points := slices.Clone(c.Points)
	slices.SortFunc(points, func(a, b cost.Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	for i, p := range points {
		y, _, _ := p.Median()
		if p.Size == size || len(points) == 1 {
			return y, p.Size == size
		}
		if p.Size > size && i > 0 || i == len(points)-1 {
			before, _, _ := points[i-1].Median()
			return before * math.Pow(size/points[i-1].Size, math.Log(y/before)/math.Log(p.Size/points[i-1].Size)), false
		}
	}
	return 0, false
}

// formatShort formats a value with three significant digits and with commas between thousands.
func formatShort(v float64) string {
	if math.Abs(v) < 1000 {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	unit := math.Pow(10, math.Floor(math.Log10(math.Abs(v)))-2)
	text := strconv.FormatFloat(math.Round(v/unit)*unit, 'f', 0, 64)
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// MarkdownRow returns the figure's row of the Markdown table that CapacityTableHead begins. M marks a measured value, X
// a computed one.
func (c *CapacityFigure) MarkdownRow() string {
	at, measured := c.Value(c.PlanSize)
	spread := ""
	for _, p := range c.Points {
		if p.Size == c.PlanSize {
			_, lowest, highest := p.Median()
			spread = fmt.Sprintf(" (%s to %s)", formatShort(lowest), formatShort(highest))
		}
	}
	origin := "M"
	if !measured {
		origin = "X"
	}
	line, misses, used := "", "none", ""
	if c.Fit != nil {
		line = fmt.Sprintf("%.3g n^%.2f, off by %.2f at most", c.Fit.Factor, c.Fit.Slope, c.MaxDeviation())
		if c.Fit.Curved {
			line += ", curved"
		}
	}
	if size, measured := c.ExceedsBudgetAt(); size > 0 {
		if misses = formatShort(size); !measured {
			misses += " (X)"
		}
	}
	if c.Budget > 0 {
		if used = formatShort(at/c.Budget*100) + "%"; at > c.Budget {
			used = "**" + used + "**"
		}
	}
	return fmt.Sprintf("| %s | %s to %s %s | %s | %s at %s: %s%s %s | %s: %s | %s | %s |", c.Name, formatShort(c.Points[0].Size), formatShort(c.Points[len(c.Points)-1].Size), c.XLabel, line,
		origin, formatShort(c.PlanSize), formatShort(at), spread, c.YLabel, c.BudgetOf, formatShort(c.Budget), used, misses)
}

// CapacityTableHead is the header of the Markdown table whose rows MarkdownRow returns.
const CapacityTableHead = "| figure | sizes | line on log axes | at the plan's size | budget | used | first misses at |\n| --- | --- | --- | --- | --- | --- | --- |"

// Draw writes an SVG file of the figure into a folder. On log axes it shows a point for each run, the fitted line, the
// budget and the planned size. The error is a *LogAxisError if one of the values is 0 or less.
func (c *CapacityFigure) Draw(dir string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.XLabel, c.YLabel
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var pts plotter.XYs
	least, most := c.PlanSize, c.PlanSize
	for _, at := range c.Points {
		least, most = min(least, at.Size), max(most, at.Size)
		for _, v := range at.Values {
			if !(v > 0) {
				return &LogAxisError{Figure: c.Name, Value: v}
			}
			pts = append(pts, plotter.XY{X: at.Size, Y: v})
		}
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return err
	}
	dots.GlyphStyle.Color, dots.GlyphStyle.Shape = color.RGBA{B: 200, A: 255}, draw.CircleGlyph{}
	p.Add(dots)
	p.Legend.Add("runs", dots)
	line := func(name string, c color.Color, pts ...plotter.XY) error {
		l, err := plotter.NewLine(plotter.XYs(pts))
		if err != nil {
			return err
		}
		l.Color, l.Dashes = c, []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(l)
		p.Legend.Add(name, l)
		return nil
	}
	if c.Fit != nil {
		shape := fmt.Sprintf("%.3g n^%.2f", c.Fit.Factor, c.Fit.Slope)
		if c.Fit.Curved {
			shape += " (curved: not this line)"
		}
		if err := line(shape, color.Gray{100}, plotter.XY{X: least, Y: c.Fit.Value(least)}, plotter.XY{X: most, Y: c.Fit.Value(most)}); err != nil {
			return err
		}
	}
	if c.Budget > 0 {
		if err := line("budget: "+c.BudgetOf, color.RGBA{R: 200, A: 255}, plotter.XY{X: least, Y: c.Budget}, plotter.XY{X: most, Y: c.Budget}); err != nil {
			return err
		}
	}
	if c.PlanSize > 0 {
		if err := line(fmt.Sprintf("the plan: %.0f", c.PlanSize), color.RGBA{G: 140, A: 255}, plotter.XY{X: c.PlanSize, Y: p.Y.Min}, plotter.XY{X: c.PlanSize, Y: p.Y.Max}); err != nil {
			return err
		}
	}
	if p.X.Min == p.X.Max {
		p.X.Min, p.X.Max = p.X.Min/2, p.X.Max*2
	}
	if p.Y.Min == p.Y.Max {
		p.Y.Min, p.Y.Max = p.Y.Min/2, p.Y.Max*2
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, c.Name+".svg"))
}

// ReadCapacityFigures reads all figures of a folder and sorts them by name. The error is a *FigureCountError if the
// folder has no figures or more than maxFigures.
func ReadCapacityFigures(dir string) (all []*CapacityFigure, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	if len(paths) == 0 || len(paths) > maxFigures {
		return nil, &FigureCountError{dir, len(paths)}
	}
	for _, path := range paths {
		c, err := ReadFitted(path)
		if err != nil {
			return nil, err
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *CapacityFigure) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}
