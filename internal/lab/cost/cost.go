// Package cost measures the processor time and the heap bytes that one part of a gateway's control
// code uses, for docs/CAPACITY.md. The tests of each package measure a Figure at several sizes. With
// -cost.out, each figure is written to a small file that `foldslip-rig scale plot` fits and draws.
//
// Processor time is the user and system time of the process (getrusage). It includes the garbage
// collector. It excludes other processes, so other load on the machine has little effect on it.
//
// The package imports the standard library only, so that the tests of every package can use it. Its
// only state is the flag values of Probes. Bounds: Measure makes at most maxPoints runs of a size, and
// Read accepts at most maxPoints sizes and maxPoints runs of a size.
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
	maxCallsPerBatch   = 1024 // calls between two reads of the processor time
)

// Probes runs the cost measurements of one package's tests. It holds the values of their flags.
type Probes struct {
	Package string // argument of `go test`, stored in the command of each figure

	out     *string
	commit  *string
	runs    *int
	minTime *time.Duration
}

// NewProbes registers the -cost flags and returns the probes of a package. Without -cost.out, only the
// first two sizes of each figure are measured, and nothing is written.
func NewProbes(pkg string) *Probes {
	return &Probes{
		Package: pkg,
		out:     flag.String("cost.out", "", "directory to write the cost figures to; if set, all sizes are measured"),
		commit:  flag.String("cost.commit", "", "measured commit, stored with the cost figures"),
		runs:    flag.Int("cost.runs", 1, "number of runs of each size of a cost figure"),
		minTime: flag.Duration("cost.least", 2*time.Millisecond, "minimum processor time of one cost measurement"),
	}
}

// AllSizes reports whether all sizes are measured and the figures are written to files.
func (p *Probes) AllSizes() bool { return *p.out != "" }

// Measure calls measure for the runs of each size and returns the figure with the measured points.
// With -cost.out it also writes the figure to its file.
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

// ProcessorTime returns the user and system time that this process has used.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// MicrosPerCall returns the mean processor time of one call of f in microseconds. It calls f with 0,
// 1, 2 and so on until the calls have used the processor time of -cost.least.
func (p *Probes) MicrosPerCall(f func(i int)) float64 {
	runtime.GC() // so that garbage of earlier measurements is not collected at the expense of this one
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

// HeapBytes returns the heap bytes that the result of build keeps reachable.
func HeapBytes(build func() any) float64 {
	before := heapInUse()
	result := build()
	after := heapInUse()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

// heapInUse collects garbage twice and returns the bytes of the remaining heap objects.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
