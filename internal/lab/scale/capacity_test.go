package scale

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/lab/cost"
)

func figure(budget, at float64, of func(n float64) float64, sizes ...float64) *CapacityFigure {
	f := &cost.Figure{Name: "a", XLabel: "gateways", YLabel: "bytes", Budget: budget, PlanSize: at}
	for _, n := range sizes {
		f.Points = append(f.Points, cost.Point{Size: n, Values: []float64{of(n)}})
	}
	return &CapacityFigure{Figure: f}
}

func TestBudgetIsExceededAtMeasuredOrExtrapolatedSize(t *testing.T) {
	square := func(n float64) float64 { return n * n }
	for _, of := range []struct {
		c        *CapacityFigure
		size     float64
		measured bool
	}{
		{figure(400, 1, square, 10, 100), 20, true},
		{figure(1e6, 1, square, 10, 100), 1000, false},
		{figure(50, 1, square, 10, 100), 10, true},
		{figure(1e12, 1, square, 10, 100), 0, false},                           // past a thousand times what was measured
		{figure(50, 1, func(float64) float64 { return 7 }, 10, 100), 0, false}, // does not grow
		{figure(1e6, 1, square, 100, 10), 1000, false},                         // in any order
	} {
		if size, measured := of.c.ExceedsBudgetAt(); math.Abs(size-of.size) > 1e-6*of.size || measured != of.measured {
			t.Errorf("%v: %g %v, not %g %v", of.c.Points, size, measured, of.size, of.measured)
		}
	}
}

func TestValueBetweenSizesIsInterpolated(t *testing.T) {
	c := figure(0, 50, func(n float64) float64 { return 3 * n }, 10, 100)
	for _, of := range []struct {
		size, value float64
		measured    bool
	}{{10, 30, true}, {100, 300, true}, {50, 150, false}, {1000, 3000, false}} {
		if v, measured := c.Value(of.size); math.Abs(v-of.value) > 1e-6 || measured != of.measured {
			t.Errorf("at %g: %g %v", of.size, v, measured)
		}
	}
}

func TestFiguresAreReadFittedAndDrawn(t *testing.T) {
	dir := t.TempDir()
	if _, err := ReadCapacityFigures(dir); err == nil {
		t.Error("an empty folder is taken")
	}
	os.WriteFile(filepath.Join(dir, "b.json"), []byte(`{"name":"b","title":"of b","x":"gateways","y":"bytes","budget":1000,"of":"all","at":50,
		"points":[{"size":10,"values":[10,11,12]},{"size":100,"values":[95,100,110]}]}`), 0o600)
	all, err := ReadCapacityFigures(dir)
	if err != nil || len(all) != 1 || all[0].Fit == nil || math.Abs(all[0].Fit.Slope-1) > 0.05 {
		t.Fatal(all, err)
	}
	if row := all[0].MarkdownRow(); strings.Count(row, "|") != strings.Count(strings.SplitN(CapacityTableHead, "\n", 2)[0], "|") || !strings.Contains(row, "X at 50") {
		t.Error(row)
	}
	if err := all[0].Draw(dir); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "b.svg"))
	if err != nil || !strings.Contains(string(text), "budget") {
		t.Error(err)
	}
	os.WriteFile(filepath.Join(dir, "c.json"), []byte(`{"name":"c","points":[{"size":10,"values":[0]},{"size":20,"values":[1]}]}`), 0o600)
	if _, err := ReadCapacityFigures(dir); err == nil {
		t.Error("a value of 0 is taken for log axes")
	}
}

// The figures that docs/CAPACITY.md plans by can be read, each with its run.
func TestCommittedFiguresAreReadable(t *testing.T) {
	all, err := ReadCapacityFigures("../../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range all {
		if c.Command == "" || c.Commit == "" || c.Title == "" || c.PlanSize <= 0 {
			t.Errorf("%s does not tell its command, commit, title and size", c.Name)
		}
	}
}

func TestFormatShortKeepsThreeDigits(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.0538: "0.0538", 75.8234: "75.8", 999.4: "999", 1103: "1,100", 18234: "18,200", 1234567: "1,230,000", -4321: "-4,320"} {
		if got := formatShort(v); got != want {
			t.Errorf("%v is written %s", v, got)
		}
	}
}
