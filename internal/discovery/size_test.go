package discovery

import (
	"flag"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
)

var (
	listSize = flag.Int("discovery.listed", 1800, "number of caches in the measured list")
	listRuns = flag.Int("discovery.runs", 1, "number of measurements, each with a new watch")
)

// changesMeasured is the number of changes of one endpoint that are measured after the list.
const changesMeasured = 200

// cpuTime returns the processor time of this thread. Other load on the machine has little influence on it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microsPer returns the processor time of f in microseconds, divided by n.
func microsPer(n int, f func()) float64 {
	startedAt := cpuTime()
	f()
	return float64((cpuTime() - startedAt).Nanoseconds()) / 1000 / float64(n)
}

// TestSizeOfTheEndpointList measures a long endpoint list (docs/CAPACITY.md): the bytes of the line with the complete
// list, the processor time to handle it, and the processor time to handle a change of one endpoint. It also measures
// the two times for the dispatcher alone. It logs the results and checks no times, because they depend on the machine.
// Without flags it measures 1,800 caches once. For example:
//
//	go test ./internal/discovery -run SizeOfTheEndpointList -v -discovery.runs 3
func TestSizeOfTheEndpointList(t *testing.T) {
	parsed := parseSettings(t, `{"areas":[`+manyZones()+`],"machine_types":["std"],"classes":[{"name":"a","aim":4,"deadline":9,`+
		`"effect":"idempotent"}],"specifics":{"cleared_within":6000000}}`)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var list []string
	for i := range *listSize {
		list = append(list, endpointJSON(i, i%25, "std", phaseUp))
	}
	line := endpointsEvent(1, true, list...)
	for run := range *listRuns {
		system := env.NewSystem(io.Discard, 0)
		w := newWatchWith(system, parsed, &purgelog.Log{Retention: time.Minute, Clock: system})
		complete := microsPer(1, func() { handleOrFail(t, w, line) })
		if w.registry.Len() != *listSize {
			t.Fatalf("%d caches are registered, expected %d", w.registry.Len(), *listSize)
		}
		var change float64
		for i := range changesMeasured {
			changed := endpointsEvent(int64(i+2), false, endpointJSON(i/2, i/2%25, "std", alternatingPhase(i)))
			change += microsPer(changesMeasured, func() { handleOrFail(t, w, changed) })
		}
		dispatcher := dispatch.New(system, uint64(run+1), parsed.Router, nil)
		dispatcherComplete, dispatcherChange := measureDispatcher(dispatcher)
		t.Logf("%d caches, run %d: %d bytes (%.0f a cache, %.1f s at 15 KB/s), handled in %.0f us of processor time (router alone %.0f us), a change of one cache in %.0f us (router alone %.0f us)",
			*listSize, run+1, len(line), float64(len(line))/float64(*listSize), float64(len(line))/15e3, complete, dispatcherComplete, change, dispatcherChange)
	}
}

func handleOrFail(t *testing.T, w *Watch, line []byte) {
	t.Helper()
	if err := w.handleLine(line, newTestSession(w)); err != nil {
		t.Fatal(err)
	}
}

// measureDispatcher returns the processor times of a dispatcher for the same list and for one change, in microseconds.
func measureDispatcher(dispatcher *dispatch.Dispatcher) (complete, change float64) {
	var list []policy.Endpoint
	for i := range *listSize {
		list = append(list, policy.Endpoint{Cache: policy.NewCache(fmt.Sprintf("s-%08x", uint32(i)*2654435761)), Zone: i % 25, Cell: i % 300, Weight: 4})
	}
	complete = microsPer(1, func() { dispatcher.Tick(list, true, nil) })
	change = microsPer(changesMeasured, func() {
		for i := range changesMeasured {
			dispatcher.Tick(list[i:i+1], false, nil)
		}
	})
	return complete, change
}
