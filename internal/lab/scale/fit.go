package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Fit is a line that is fitted to values on log axes: value = Factor * size^Slope. With a slope near 0 the cost does
// not grow with the fleet. With a slope of 1 it grows in proportion. The lack-of-fit test of regression decides whether
// a line is the right shape. It compares the distances between the line and the means at the sizes with the scatter of
// the runs of one size. P is the significance of the test. Curved is set if P is below curvedBelowP.
type Fit struct {
	Figure string     `json:"figure"`
	Factor float64    `json:"factor"`
	Slope  float64    `json:"slope"`
	R2     float64    `json:"r2"`
	Points []FitPoint `json:"at"`
	P      *float64   `json:"lack_of_fit_p,omitempty"` // nil: fewer than three sizes, or no size with two runs
	Curved bool       `json:"curved"`
}

// FitPoint describes the runs of one size: their geometric mean, their minimum and maximum, and the factor by which the
// mean lies above the line.
type FitPoint struct {
	Size      int     `json:"size"`
	Runs      int     `json:"runs"`
	Mean      float64 `json:"mean"`
	Min       float64 `json:"least"`
	Max       float64 `json:"most"`
	Deviation float64 `json:"off"`
}

// curvedBelowP is the significance level of the lack-of-fit test. Values with a lower P are considered not to lie on a
// line.
const curvedBelowP = 0.01

// FitLine fits a line to the values of a figure by size. The error is a *LogAxisError if a size or a value is 0 or less
// or a value is infinite, and a *TooFewSizesError if there are fewer than two sizes.
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
	var pureError, lackOfFit float64 // sums of squares
	for _, n := range sizes {
		logs := make([]float64, len(bySize[n]))
		for i, v := range bySize[n] {
			logs[i] = math.Log10(v)
		}
		mean := stat.Mean(logs, nil)
		for _, v := range logs {
			pureError += (v - mean) * (v - mean)
		}
		residual := mean - a - b*math.Log10(float64(n))
		lackOfFit += float64(len(logs)) * residual * residual
		f.Points = append(f.Points, FitPoint{Size: n, Runs: len(logs), Mean: math.Pow(10, mean), Min: slices.Min(bySize[n]), Max: slices.Max(bySize[n]), Deviation: math.Pow(10, residual)})
	}
	if k, all := len(sizes), len(xs); k > 2 && all > k {
		p := 0.0
		if pureError > 0 {
			df1, df2 := float64(k-2), float64(all-k)
			p = distuv.F{D1: df1, D2: df2}.Survival(lackOfFit / df1 / (pureError / df2))
		} else if lackOfFit < 1e-18 {
			p = 1
		}
		f.P, f.Curved = &p, p < curvedBelowP
	}
	return f, nil
}

// Value returns the value of the line at a size.
func (f *Fit) Value(size float64) float64 { return f.Factor * math.Pow(size, f.Slope) }
