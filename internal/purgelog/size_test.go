package purgelog

import (
	"flag"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// These flags configure TestSizeRecord (docs/CAPACITY.md). The times that it measures depend on the machine.
var (
	sizes = flag.String("purgelog.sizes", "600,6000", "numbers of purges held, separated by commas")
	runs  = flag.Int("purgelog.runs", 1, "runs for each number of purges")
)

// cpuTime returns the CPU time of the current thread, which other load on the machine affects little.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// recordCost is the cost of one purge in a log that holds others.
type recordCost struct {
	microseconds float64 // CPU time of one Record
	heapBytes    float64 // heap bytes of one purge held
	retained     int     // purges held at the end
}

// measureRecord fills a log with the given number of purges of different objects and measures the cost of 100 or more
// further ones. On the test's clock these are 10 ms apart, which corresponds to 100 purges a second.
func measureRecord(held int) (measured recordCost) {
	before := heapBytes()
	clock := &adjustableClock{now: time.Unix(1_764_576_000, 0)}
	l := &Log{Retention: time.Duration(held) * 10 * time.Millisecond, Grace: time.Second, Clock: clock}
	l.objects = map[string][]entry{}
	l.groups = map[int][]entry{}
	for i := range held { // same result as Record
		l.objects[objectName(i)] = []entry{{clock.now, clock.now}}
		l.queue = append(l.queue, queuedObject{objectName(i), clock.now})
		clock.now = clock.now.Add(10 * time.Millisecond)
	}
	measured.heapBytes = (heapBytes() - before) / float64(held)
	more := max(100, 1_200_000/held) // the CPU time of a thread advances in steps of some milliseconds
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := cpuTime()
	for i := range more {
		l.Record(objectName(held+i), 0, clock.now)
		clock.now = clock.now.Add(10 * time.Millisecond)
	}
	measured.microseconds = float64((cpuTime() - start).Microseconds()) / float64(more)
	measured.retained = len(l.objects)
	return measured
}

// TestSizeRecord measures the cost of one purge in a log that holds others. By default it holds 600 and 6,000 purges. The
// complete measurement is
//
//	go test ./internal/purgelog -run SizeRecord -v -purgelog.sizes 600,1100,6000,60000,360000 -purgelog.runs 3
func TestSizeRecord(t *testing.T) {
	for _, size := range strings.Split(*sizes, ",") {
		held, err := strconv.Atoi(size)
		if err != nil || held < 1 {
			t.Fatalf("%q: %v", size, err)
		}
		for run := range *runs {
			m := measureRecord(held)
			t.Logf("held %d run %d: %.1f us of CPU time per purge, %.2f%% of a core at 100/s, %.0f heap bytes per purge held", held, run+1, m.microseconds,
				m.microseconds*100/1e6*100, m.heapBytes)
			if m.retained < held || m.retained > held+100 {
				t.Errorf("%d purges held, want %d to 100 more: the cost was measured at a different number", m.retained, held)
			}
		}
	}
}
