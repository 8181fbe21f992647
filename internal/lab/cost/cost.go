// Package cost measures what one gateway spends on a piece of its control, for docs/CAPACITY.md: processor time of the process (getrusage,
// user and system, the collector's share with it, so that other work of the machine counts for little) and bytes of heap. Tests beside each
// package measure a Figure at some sizes; with -cost.out each figure becomes a small file that `foldslip-rig scale plot` fits and draws.
//
// It imports the standard library only, so that tests of every package can use it. Bound: maxPoints sizes of a figure and runs of a size.
package cost

import (
	"flag"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

const (
	sizesWithoutOutput = 2
	maxCallsPerBatch   = 1024 // calls between two looks at the processor time
)

// Probes are the cost measurements of a package's tests, with their flags.
type Probes struct {
	Package string // as the go command has it; goes into the figures

	out     *string
	commit  *string
	runs    *int
	minTime *time.Duration
}

// NewProbes registers the flags of the probes of a package. Without -cost.out the first two sizes of each figure are measured once.
func NewProbes(pkg string) *Probes {
	return &Probes{
		Package: pkg,
		out:     flag.String("cost.out", "", "folder for the figures of the cost probes; all sizes are measured then"),
		commit:  flag.String("cost.commit", "", "commit that is measured, put down with the figures"),
		runs:    flag.Int("cost.runs", 1, "runs of each size of the cost probes"),
		minTime: flag.Duration("cost.least", 2*time.Millisecond, "processor time of each figure of the cost probes, at least"),
	}
}

// AllSizes reports whether all sizes are measured, and figures written.
func (p *Probes) AllSizes() bool { return *p.out != "" }

// Measure measures a figure: measure returns the value at a size. With -cost.out the figure is written to its file.
func (p *Probes) Measure(t testing.TB, f Figure, sizes []int, measure func(size int) float64) Figure {
	t.Helper()
	if !p.AllSizes() {
		sizes = sizes[:min(sizesWithoutOutput, len(sizes))]
	}
	for _, size := range sizes {
		point := Point{Size: float64(size)}
		for range min(max(1, *p.runs), maxPoints) {
			point.Values = append(point.Values, measure(size))
		}
		median, lowest, highest := point.Median()
		t.Logf("%s at %d %s: %.4g %s (%.4g to %.4g)", f.Name, size, f.XLabel, median, f.YLabel, lowest, highest)
		f.Points = append(f.Points, point)
	}
	if !p.AllSizes() {
		return f
	}
	f.Commit = *p.commit
	f.Command = fmt.Sprintf("go test %s -run '^%s$' -cost.runs %d -cost.least %v -cost.out DIR", p.Package, t.Name(), *p.runs, *p.minTime)
	if err := f.write(*p.out); err != nil {
		t.Fatal(err)
	}
	return f
}

// ProcessorTime is the processor time that this process has used.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// MicrosPerCall is the processor time of one call in microseconds: f is called with 0, 1, 2 and on until -cost.least is used.
func (p *Probes) MicrosPerCall(f func(i int)) float64 {
	runtime.GC() // garbage of earlier measurements does not count
	start := ProcessorTime()
	calls := 0
	for batch := 1; ; batch = min(2*batch, maxCallsPerBatch) {
		for range batch {
			f(calls)
			calls++
		}
		if used := ProcessorTime() - start; used >= *p.minTime {
			return float64(used.Nanoseconds()) / 1000 / float64(calls)
		}
	}
}

// HeapBytes is what the result of build holds on the heap.
func HeapBytes(build func() any) float64 {
	before := heapInUse()
	result := build()
	after := heapInUse()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

// heapInUse is the size of all reachable objects.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
