// Package cost measures what one gateway spends on a piece of control, for docs/CAPACITY.md: processor time of the process (getrusage, user
// and system, the collector's share with it, so that what else the machine does counts for little) and bytes of heap. Tests beside each
// package ask for a Figure at some sizes; with -cost.out each figure becomes a small file that `foldslip-rig scale plot` fits and draws.
//
// It imports the standard library only, so that tests of every package can use it. Bound: most sizes and runs of a figure.
package cost

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

// most bounds the points of a figure, and the values of a point.
const maxPoints = 64

// Figure is one cost against one size.
type Figure struct {
	Name     string  `json:"name"`             // of the file
	Title    string  `json:"title"`            // what is measured
	XLabel   string  `json:"x"`                // the unit of the size
	YLabel   string  `json:"y"`                // the unit of the values
	Budget   float64 `json:"budget,omitempty"` // in Y; 0: none
	BudgetOf string  `json:"of,omitempty"`     // what the budget is
	PlanSize float64 `json:"at"`               // the size at which the fleet runs it
	Command  string  `json:"command,omitempty"`
	Commit   string  `json:"commit,omitempty"`
	Points   []Point `json:"points"`
}

// Point is all runs at one size.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Median is the middle one of the values, with the least and the most.
func (p Point) Median() (median, least, greatest float64) {
	v := slices.Sorted(slices.Values(p.Values))
	if len(v) == 0 {
		return 0, 0, 0
	}
	return v[len(v)/2], v[0], v[len(v)-1]
}

// Read takes a figure from its file.
func Read(path string) (*Figure, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f Figure
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Name == "" || filepath.Base(f.Name) != f.Name || len(f.Points) == 0 || len(f.Points) > maxPoints {
		return nil, fmt.Errorf("%s: expected a name of a file and 1 to %d points", path, maxPoints)
	}
	for _, p := range f.Points {
		if !(p.Size > 0) || len(p.Values) == 0 || len(p.Values) > maxPoints {
			return nil, fmt.Errorf("%s: a point needs a size above 0 and 1 to %d values", path, maxPoints)
		}
	}
	return &f, nil
}

// Probes is how long and how often a test measures.
type Probes struct {
	Package     string // whose tests these are, put down with the figures
	out, commit *string
	runs        *int
	minTime     *time.Duration
}

// NewProbes are those of the probes of a package's tests; the package as the go command is told it. Without -cost.out the first two sizes of each figure are measured once.
func NewProbes(pkg string) *Probes {
	return &Probes{Package: pkg, out: flag.String("cost.out", "", "folder for the figures of the cost probes; all sizes are measured then"),
		commit:  flag.String("cost.commit", "", "commit that is measured, put down with the figures"),
		runs:    flag.Int("cost.runs", 1, "runs of each size of the cost probes"),
		minTime: flag.Duration("cost.least", 2*time.Millisecond, "processor time of each figure of the cost probes, at least")}
}

// AllSizes tells whether all sizes are asked for.
func (s *Probes) AllSizes() bool { return *s.out != "" }

// Measure measures a figure: one gives the value at a size.
func (s *Probes) Measure(t testing.TB, f Figure, sizes []int, one func(size int) float64) Figure {
	t.Helper()
	if !s.AllSizes() {
		sizes = sizes[:min(2, len(sizes))]
	}
	for _, size := range sizes {
		p := Point{Size: float64(size)}
		for range min(max(1, *s.runs), maxPoints) {
			p.Values = append(p.Values, one(size))
		}
		median, least, greatest := p.Median()
		t.Logf("%s at %d %s: %.4g %s (%.4g to %.4g)", f.Name, size, f.XLabel, median, f.YLabel, least, greatest)
		f.Points = append(f.Points, p)
	}
	if !s.AllSizes() {
		return f
	}
	f.Commit = *s.commit
	f.Command = fmt.Sprintf("go test %s -run '^%s$' -cost.runs %d -cost.least %v -cost.out DIR", s.Package, t.Name(), *s.runs, *s.minTime)
	text, err := json.MarshalIndent(&f, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(*s.out, f.Name+".json"), append(text, '\n'), 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// ProcessorTime is the processor time that this process has had.
func ProcessorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// MicrosPerCall is the processor time of one call in microseconds: f is called with 0, 1, 2 and on until the flag's least time is used.
func (s *Probes) MicrosPerCall(f func(i int)) float64 {
	runtime.GC() // what was left by whoever came before is not this one's
	began := ProcessorTime()
	for n, step := 0, 1; ; step = min(2*step, 1024) {
		for range step {
			f(n)
			n++
		}
		if d := ProcessorTime() - began; d >= *s.minTime {
			return float64(d.Nanoseconds()) / 1000 / float64(n)
		}
	}
}

// HeapBytes is what is made leaves on the heap, in bytes.
func HeapBytes(makes func() any) float64 {
	held := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := held()
	it := makes()
	after := held()
	runtime.KeepAlive(it)
	return float64(after) - float64(before)
}
