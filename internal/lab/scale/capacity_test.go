package scale

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/lab/cost"
)

// figure returns a figure with one run at each size, which gives the value of that size.
func figure(budget, planSize float64, value func(n float64) float64, sizes ...float64) *CapacityFigure {
	f := &cost.Figure{Name: "a", XLabel: "gateways", YLabel: "bytes", Budget: budget, PlanSize: planSize}
	for _, n := range sizes {
		f.Points = append(f.Points, cost.Point{Size: n, Values: []float64{value(n)}})
	}
	return &CapacityFigure{Figure: f}
}

func TestBudgetIsExceededAtMeasuredOrExtrapolatedSize(t *testing.T) {
	square := func(n float64) float64 { return n * n }
	for _, test := range []struct {
		c        *CapacityFigure
		size     float64
		measured bool
	}{
		{figure(400, 1, square, 10, 100), 20, true},
		{figure(1e6, 1, square, 10, 100), 1000, false},
		{figure(50, 1, square, 10, 100), 10, true},
		{figure(1e12, 1, square, 10, 100), 0, false},                           // more than 1000 times the largest size
		{figure(50, 1, func(float64) float64 { return 7 }, 10, 100), 0, false}, // the figure does not grow
		{figure(1e6, 1, square, 100, 10), 1000, false},                         // sizes in descending order
	} {
		if size, measured := test.c.ExceedsBudgetAt(); math.Abs(size-test.size) > 1e-6*test.size || measured != test.measured {
			t.Errorf("%v: budget exceeded at size %g (measured: %v), want %g (measured: %v)", test.c.Points, size, measured, test.size, test.measured)
		}
	}
}

func TestValueBetweenSizesIsInterpolated(t *testing.T) {
	c := figure(0, 50, func(n float64) float64 { return 3 * n }, 10, 100)
	for _, test := range []struct {
		size, value float64
		measured    bool
	}{{10, 30, true}, {100, 300, true}, {50, 150, false}, {1000, 3000, false}} {
		if v, measured := c.Value(test.size); math.Abs(v-test.value) > 1e-6 || measured != test.measured {
			t.Errorf("Value(%g) = %g, measured: %v", test.size, v, measured)
		}
	}
}

func TestFiguresAreReadFittedAndDrawn(t *testing.T) {
	dir := t.TempDir()
	if _, err := ReadCapacityFigures(dir); err == nil {
		t.Error("ReadCapacityFigures accepts an empty folder")
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
		t.Error("ReadCapacityFigures accepts a value of 0, which log axes cannot show")
	}
}

// Every figure behind docs/CAPACITY.md can be read and names the command and the commit of its run, its title and its
// planned size.
func TestCommittedFiguresAreReadable(t *testing.T) {
	all, err := ReadCapacityFigures("../../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range all {
		if c.Command == "" || c.Commit == "" || c.Title == "" || c.PlanSize <= 0 {
			t.Errorf("%s has no command, no commit, no title or no planned size above 0", c.Name)
		}
	}
}

func TestFormatShortKeepsThreeDigits(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 0.0538: "0.0538", 75.8234: "75.8", 999.4: "999", 1103: "1,100", 18234: "18,200", 1234567: "1,230,000", -4321: "-4,320"} {
		if got := formatShort(v); got != want {
			t.Errorf("formatShort(%v) = %s", v, got)
		}
	}
}
