package scale

import (
	"math"
	"os"
	"path/filepath"
	"testing"
)

// noise returns a factor that differs from run to run and has no trend.
func noise(i int) float64 { return math.Pow(1.03, float64((i*7)%5-2)) }

func TestFitLineFindsLinesAndFlagsCurves(t *testing.T) {
	line, curve := map[int][]float64{}, map[int][]float64{}
	for i, n := range []int{12, 50, 200, 500, 1000} {
		for run := range 3 {
			v := 3 * math.Pow(float64(n), 0.5) * noise(i*3+run)
			line[n] = append(line[n], v)
			curve[n] = append(curve[n], v+float64(n))
		}
	}
	f, err := FitLine("a", line)
	if err != nil || math.Abs(f.Slope-0.5) > 0.02 || f.Curved || math.Abs(f.Value(3900)/(3*math.Sqrt(3900))-1) > 0.1 {
		t.Errorf("fit of a line: %+v, error %v", f, err)
	}
	if f, err = FitLine("b", curve); err != nil || !f.Curved || f.R2 < 0.95 {
		t.Errorf("fit of a curve: %+v, error %v, want it flagged as curved", f, err)
	}
	if f, err = FitLine("c", map[int][]float64{10: {1, 1}, 100: {10, 10}, 1000: {100, 100}}); err != nil || f.Curved || math.Abs(f.Slope-1) > 1e-9 {
		t.Errorf("fit of an exact line: %+v, error %v, want slope 1", f, err)
	}
	if _, err = FitLine("d", map[int][]float64{10: {1}, 100: {0}}); err == nil {
		t.Error("FitLine accepts a value of 0, which log axes cannot show")
	}
	if _, err = FitLine("e", map[int][]float64{10: {1, 2}}); err == nil {
		t.Error("FitLine accepts a single size")
	}
}

func TestEachPlotIsDrawn(t *testing.T) {
	var runs []*WatchReport
	for _, n := range []int{12, 50, 200} {
		for run := range 2 {
			v := float64(n) * noise(run)
			c := Cost{Gateways: n, Core: 0.001 * v, EventMicros: 100, WireIn: 9000, WireOut: 2000, Resident: 3e6}
			runs = append(runs, &WatchReport{Gateways: n, Hollow: c, Real: c, Median: 2, P99: 5, Max: 9})
		}
	}
	dir := t.TempDir()
	for _, g := range WatchPlots(runs, FullBudget) {
		fit, err := FitLine(g.Name, g.BySize)
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Plot(dir, fit); err != nil {
			t.Fatal(err)
		}
		if s, err := os.Stat(filepath.Join(dir, g.Name+".svg")); err != nil || s.Size() < 1000 {
			t.Errorf("%s: no SVG file of at least 1000 bytes: error %v", g.Name, err)
		}
		if err := g.Plot(dir, nil); err != nil {
			t.Error(err)
		}
	}
}
