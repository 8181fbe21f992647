package memory

import (
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/env"
)

// A probe of purges at size: it documents the cost as it stands (docs/CAPACITY.md) and prints; times are of this machine.
var (
	sizes = flag.String("memory.sizes", "600,6000", "purges kept")
	runs  = flag.Int("memory.runs", 1, "runs of each")
)

// fixedClock is a ground whose time is set.
type fixedClock struct {
	env.Environment
	now time.Time
}

func (s *fixedClock) Now() time.Time { return s.now }

// cpuTime is the time that this thread had a core, so that what else the machine does counts for little.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_THREAD, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureRecord keeps so many purges of different objects and then notes 100 or more, 10 ms of the clock apart, as 100 a second come. Told:
// microseconds of a core for one, and bytes of heap of one that is kept.
func measureRecord(kept int) (each, size float64, n int) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	s := &fixedClock{now: time.Unix(1_764_576_000, 0)}
	p := &Log{Retention: time.Duration(kept) * 10 * time.Millisecond, Grace: time.Second, Clock: s}
	p.objects, p.groups = map[string][]entry{}, map[int][]entry{}
	name := func(i int) string { return fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15) }
	for i := range kept { // as Note would
		p.objects[name(i)] = []entry{{s.now, s.now}}
		p.queue = append(p.queue, queuedObject{name(i), s.now})
		s.now = s.now.Add(10 * time.Millisecond)
	}
	size = (heap() - before) / float64(kept)
	more := max(100, 1_200_000/kept) // the thread's time is counted in steps of some milliseconds
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := cpuTime()
	for i := range more {
		p.Record(name(kept+i), 0, s.now)
		s.now = s.now.Add(10 * time.Millisecond)
	}
	return float64((cpuTime() - began).Microseconds()) / float64(more), size, len(p.objects)
}

// What does one purge cost where others are kept? The short form is 600 and 6,000 kept; the whole
//
//	go test ./memory -run SizeNote -v -memory.sizes 600,1100,6000,60000,360000 -memory.runs 3
func TestSizeRecord(t *testing.T) {
	for _, word := range strings.Split(*sizes, ",") {
		kept, err := strconv.Atoi(word)
		if err != nil || kept < 1 {
			t.Fatalf("%q: %v", word, err)
		}
		for run := range *runs {
			each, size, left := measureRecord(kept)
			t.Logf("kept %d run %d: %.1f us of a core a purge, %.2f%% of a core at 100/s, %.0f bytes one kept", kept, run+1, each, each*100/1e6*100, size)
			if left < kept || left > kept+100 {
				t.Errorf("%d kept of %d: the probe measures another number", left, kept)
			}
		}
	}
}
