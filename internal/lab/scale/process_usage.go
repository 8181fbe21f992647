package scale

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// cpuOf returns the processor time that all threads of a process have used. It reads the kernel's CPU clock of that
// process, since getrusage serves only the calling process.
func cpuOf(pid int) (time.Duration, error) {
	const ofProcess = 2 // CPUCLOCK_SCHED for the whole process
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|ofProcess, &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// runQueueWaitOf returns how long the current threads of a process have been runnable without a core since they
// began, summed over the threads.
func runQueueWaitOf(pid int) (sum time.Duration, err error) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	for _, t := range tasks {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, t.Name()))
		if errors.Is(err, os.ErrNotExist) {
			continue // the thread has ended
		}
		if err != nil {
			return 0, err
		}
		var ran, waited int64
		if _, err := fmt.Sscan(string(text), &ran, &waited); err != nil {
			return 0, err
		}
		sum += time.Duration(waited)
	}
	return sum, nil
}

// residentOf returns the anonymous resident memory of a process in bytes.
func residentOf(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, &ProcessMemoryError{pid}
}

// machineBusy returns the processor time used on the machine since it started, summed over its cores.
func machineBusy() (time.Duration, error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var sum int64
	for i, word := range strings.Fields(line) {
		if i == 0 || i == 4 || i == 5 || i > 8 { // skip the label, idle, iowait, and guest times, which the user time includes
			continue
		}
		n, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * 10 * time.Millisecond, nil // in ticks of 10 ms, since USER_HZ is 100
}

func cores() int { return runtime.NumCPU() }

// countsSince returns the increase of each count between two readings, without the counts that are unchanged.
func countsSince(after, before map[string]int64) map[string]int64 {
	out := maps.Clone(after)
	for k, n := range before {
		if out[k] -= n; out[k] == 0 {
			delete(out, k)
		}
	}
	return out
}
