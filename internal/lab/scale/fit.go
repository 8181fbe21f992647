package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Fit is a line through values on log axes: value = Factor * size^Slope. A slope near 0 is a cost that does not grow with the fleet, 1
// one that grows in proportion. Whether a line is the right shape is decided by the lack-of-fit test of regression, which compares how
// far the means at the sizes lie off the line with how far runs of one size lie apart: Curved if P is below curvedBelowP.
type Fit struct {
	Figure string     `json:"figure"`
	Factor float64    `json:"factor"`
	Slope  float64    `json:"slope"`
	R2     float64    `json:"r2"`
	Points []FitPoint `json:"at"`
	P      *float64   `json:"lack_of_fit_p,omitempty"` // nil: fewer than three sizes, or no two runs of a size
	Curved bool       `json:"curved"`
}

// FitPoint is one size: the geometric mean of its runs, their minimum and maximum, and the factor between the mean and the line.
type FitPoint struct {
	Size      int     `json:"size"`
	Runs      int     `json:"runs"`
	Mean      float64 `json:"mean"`
	Min       float64 `json:"least"`
	Max       float64 `json:"most"`
	Deviation float64 `json:"off"`
}

// curvedBelowP is the significance level below which values are taken not to lie on a line.
const curvedBelowP = 0.01

// FitLine fits a line to the values of a figure by size. Values of 0 or less are a *LogAxisError, fewer than two sizes are a
// *TooFewSizesError.
func FitLine(figure string, bySize map[int][]float64) (*Fit, error) {
	var sizes []int
	var xs, ys []float64
	for n := range bySize {
		sizes = append(sizes, n)
	}
	slices.Sort(sizes)
	for _, n := range sizes {
		for _, v := range bySize[n] {
			if n <= 0 || !(v > 0) || math.IsInf(v, 0) {
				return nil, &LogAxisError{Figure: figure, Value: v, Gateways: n, Fitted: true}
			}
			xs, ys = append(xs, math.Log10(float64(n))), append(ys, math.Log10(v))
		}
	}
	if len(sizes) < 2 {
		return nil, &TooFewSizesError{figure, len(sizes)}
	}
	a, b := stat.LinearRegression(xs, ys, nil, false)
	f := &Fit{Figure: figure, Factor: math.Pow(10, a), Slope: b, R2: stat.RSquared(xs, ys, nil, a, b)}
	var pure, lack float64 // sums of squares
	for _, n := range sizes {
		logs := make([]float64, len(bySize[n]))
		for i, v := range bySize[n] {
			logs[i] = math.Log10(v)
		}
		mean := stat.Mean(logs, nil)
		for _, v := range logs {
			pure += (v - mean) * (v - mean)
		}
		residual := mean - a - b*math.Log10(float64(n))
		lack += float64(len(logs)) * residual * residual
		f.Points = append(f.Points, FitPoint{Size: n, Runs: len(logs), Mean: math.Pow(10, mean), Min: slices.Min(bySize[n]), Max: slices.Max(bySize[n]), Deviation: math.Pow(10, residual)})
	}
	if k, all := len(sizes), len(xs); k > 2 && all > k {
		p := 0.0
		if pure > 0 {
			df1, df2 := float64(k-2), float64(all-k)
			p = distuv.F{D1: df1, D2: df2}.Survival(lack / df1 / (pure / df2))
		} else if lack < 1e-18 {
			p = 1
		}
		f.P, f.Curved = &p, p < curvedBelowP
	}
	return f, nil
}

// Value is the line's value at a size.
func (f *Fit) Value(size float64) float64 { return f.Factor * math.Pow(size, f.Slope) }
