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

// cpuOf is the processor time that all threads of a process have used, from the kernel's clock of that process (getrusage serves only
// the calling process).
func cpuOf(pid int) (time.Duration, error) {
	const ofProcess = 2 // CPUCLOCK_SCHED of the whole process
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid)<<3|ofProcess, &t); err != nil {
		return 0, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	return time.Duration(t.Nano()), nil
}

// runQueueWaitOf is how long the present threads of a process have been runnable without a core since they began.
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

// residentOf is the anonymous resident memory of a process in bytes.
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

// machineBusy is the processor time that all cores of the machine have been busy since it started.
func machineBusy() (time.Duration, error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	var sum int64
	for i, word := range strings.Fields(line) {
		if i == 0 || i == 4 || i == 5 || i > 8 { // the label, idle, iowait, and guests, which user includes
			continue
		}
		n, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * 10 * time.Millisecond, nil // USER_HZ is 100
}

func cores() int { return runtime.NumCPU() }

// countsSince is the increase of each count between two usages; unchanged ones are left out.
func countsSince(after, before map[string]int64) map[string]int64 {
	out := maps.Clone(after)
	for k, n := range before {
		if out[k] -= n; out[k] == 0 {
			delete(out, k)
		}
	}
	return out
}
