package discovery

import (
	"flag"
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/policy"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

var (
	listed   = flag.Int("discovery.listed", 1800, "caches of the list that is taken")
	listRuns = flag.Int("discovery.runs", 1, "times that it is taken anew")
)

// appendEndpointJSON writes the i-th cache of a long list as the watch tells it.
func appendEndpointJSON(b *strings.Builder, i int, phase string) {
	fmt.Fprintf(b, `{"id":"s-%08x","host_port":"10.%d.%d.%d:10080","locality":"zone-%02d","flavor":"std","cell":%d,"phase":"%s","size":4,"up_since_ms":0}`,
		uint32(i)*2654435761, 1+i/65536, i/256%256, i%256, i%25, i%300, phase)
}

// cpuTime is the time that this thread had a core, so that what else the machine does counts for little.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_THREAD, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// A probe of the list at size (docs/CAPACITY.md): bytes of the line that brings the whole of it, the time to take it, and the time to take
// a change of one cache; also of facade and logic alone. It prints; times are of this machine. The short form is 1,800 caches once:
//
//	go test ./internal/discovery -run SizeOfTheEndpointList -v -discovery.runs 3
func TestSizeOfTheEndpointList(t *testing.T) {
	var areas []string
	for i := range 25 {
		areas = append(areas, fmt.Sprintf(`"zone-%02d"`, i))
	}
	terms, err := settings.Parse([]byte(`{"areas":[` + strings.Join(areas, ",") + `],"machine_types":["std"],"classes":[{"name":"a","aim":4,"deadline":9,` +
		`"effect":"idempotent"}],"specifics":{"cleared_within":6000000}}`))
	if err != nil {
		t.Fatal(err)
	}
	micros := func(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / 1000 / float64(n) }
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for run := range *listRuns {
		g := env.NewSystem(io.Discard, 0)
		b := NewWatch(g, "", terms, dispatch.New(g, uint64(run+1), terms.Router, nil), &cacheregistry.Registry{}, &purgelog.Log{Retention: time.Minute, Clock: g})
		var line strings.Builder
		line.WriteString(`{"no":1,"roster":{"revision":1,"complete":true,"members":[`)
		for i := range *listed {
			if i > 0 {
				line.WriteByte(',')
			}
			appendEndpointJSON(&line, i, "up")
		}
		line.WriteString(`]}}`)
		text := []byte(line.String())
		began := cpuTime()
		if err := b.handleLine(text, false); err != nil {
			t.Fatal(err)
		}
		whole := micros(cpuTime()-began, 1)
		if b.Registry.Len() != *listed {
			t.Fatalf("%d caches taken of %d", b.Registry.Len(), *listed)
		}
		const changes = 200
		var change time.Duration
		for i := range changes {
			var one strings.Builder
			fmt.Fprintf(&one, `{"no":%d,"roster":{"revision":%d,"complete":false,"members":[`, i+2, i+2)
			appendEndpointJSON(&one, i/2, []string{"draining", "up"}[i%2])
			one.WriteString(`]}}`)
			text := []byte(one.String())
			began := cpuTime()
			if err := b.handleLine(text, false); err != nil {
				t.Fatal(err)
			}
			change += cpuTime() - began
		}
		var rows []policy.Endpoint
		for i := range *listed {
			rows = append(rows, policy.Endpoint{Cache: policy.NewCache(fmt.Sprintf("s-%08x", uint32(i)*2654435761)), Zone: i % 25, Cell: i % 300, Weight: 4})
		}
		router := dispatch.New(g, uint64(run+1), terms.Router, nil)
		began = cpuTime()
		router.Tick(rows, true, nil)
		alone := micros(cpuTime()-began, 1)
		began = cpuTime()
		for i := range changes {
			router.Tick(rows[i:i+1], false, nil)
		}
		t.Logf("%d caches, run %d: %d bytes (%.0f a cache, %.1f s at 15 KB/s), taken in %.0f us of a core, of it the router %.0f; a change of one %.0f us, of it the router %.0f",
			*listed, run+1, len(text), float64(len(text))/float64(*listed), float64(len(text))/15e3, whole, alone, micros(change, changes),
			micros(cpuTime()-began, changes))
	}
}
