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

// These flags set the numbers of purges at which TestSizeRecord measures (docs/CAPACITY.md); times are of this machine.
var (
	sizes = flag.String("purgelog.sizes", "600,6000", "purges held")
	runs  = flag.Int("purgelog.runs", 1, "runs of each")
)

// cpuTime returns the processor time of this thread, so that other work of the machine counts for little.
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

// recordCost is what one purge costs where others are held.
type recordCost struct {
	microseconds float64 // of a core, for one Record
	heapBytes    float64 // of one purge held
	retained     int     // purges held at the end
}

// measureRecord holds so many purges of different objects and then records 100 or more, 10 ms of the clock apart, as 100 a second come.
func measureRecord(held int) (measured recordCost) {
	before := heapBytes()
	clock := &adjustableClock{now: time.Unix(1_764_576_000, 0)}
	l := &Log{Retention: time.Duration(held) * 10 * time.Millisecond, Grace: time.Second, Clock: clock}
	l.objects = map[string][]entry{}
	l.groups = map[int][]entry{}
	for i := range held { // as Record would
		l.objects[objectName(i)] = []entry{{clock.now, clock.now}}
		l.queue = append(l.queue, queuedObject{objectName(i), clock.now})
		clock.now = clock.now.Add(10 * time.Millisecond)
	}
	measured.heapBytes = (heapBytes() - before) / float64(held)
	more := max(100, 1_200_000/held) // the thread's time is counted in steps of some milliseconds
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

// The cost of one purge where others are held. The short form is 600 and 6,000 held; the complete one
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
			t.Logf("held %d run %d: %.1f us of a core a purge, %.2f%% of a core at 100/s, %.0f bytes one held", held, run+1, m.microseconds,
				m.microseconds*100/1e6*100, m.heapBytes)
			if m.retained < held || m.retained > held+100 {
				t.Errorf("%d held of %d: the test measures another number", m.retained, held)
			}
		}
	}
}
