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
	listSize = flag.Int("discovery.listed", 1800, "caches of the list that is handled")
	listRuns = flag.Int("discovery.runs", 1, "times that it is handled, by a new watch each")
)

// changesMeasured is how many changes of one endpoint are measured after the list.
const changesMeasured = 200

// cpuTime is the time that this thread had a core, so that what else the machine does counts for little.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microsPer measures f, in microseconds of a core for each of n.
func microsPer(n int, f func()) float64 {
	startedAt := cpuTime()
	f()
	return float64((cpuTime() - startedAt).Nanoseconds()) / 1000 / float64(n)
}

// A probe of the list at size (docs/CAPACITY.md): bytes of the line that brings all of it, the time to handle it, and the time to handle a
// change of one endpoint; also of the dispatcher alone. It prints; times are of this machine. The short form is 1,800 caches once:
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
			t.Fatalf("%d caches registered of %d", w.registry.Len(), *listSize)
		}
		var change float64
		for i := range changesMeasured {
			changed := endpointsEvent(int64(i+2), false, endpointJSON(i/2, i/2%25, "std", alternatingPhase(i)))
			change += microsPer(changesMeasured, func() { handleOrFail(t, w, changed) })
		}
		dispatcher := dispatch.New(system, uint64(run+1), parsed.Router, nil)
		dispatcherComplete, dispatcherChange := measureDispatcher(dispatcher)
		t.Logf("%d caches, run %d: %d bytes (%.0f a cache, %.1f s at 15 KB/s), taken in %.0f us of a core, of it the router %.0f; a change of one %.0f us, of it the router %.0f",
			*listSize, run+1, len(line), float64(len(line))/float64(*listSize), float64(len(line))/15e3, complete, dispatcherComplete, change, dispatcherChange)
	}
}

func handleOrFail(t *testing.T, w *Watch, line []byte) {
	t.Helper()
	if err := w.handleLine(line, fromSession); err != nil {
		t.Fatal(err)
	}
}

// measureDispatcher measures a dispatcher with the same list and changes, in microseconds of a core each.
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
