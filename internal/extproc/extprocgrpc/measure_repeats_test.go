package extprocgrpc

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

const (
	repeatEvery = 17                      // one lookup in so many is requested a second time
	repeatAfter = 4500 * time.Millisecond // after its answer; the default of remember_ms is 5000
)

// repeatedLoad counts the lookups of a caller that requests some of them twice.
type repeatedLoad struct {
	decided, refused, repeated, reruns atomic.Int64
	repeats                            sync.WaitGroup
}

// run requests lookups at a steady rate until the duration is over, and then waits for the repeats.
func (l *repeatedLoad) run(client extprocv3.ExternalProcessorClient, perSecond int, duration time.Duration) {
	startedAt := time.Now()
	var requests sync.WaitGroup
	for n := 0; time.Since(startedAt) < duration; n++ {
		time.Sleep(time.Until(startedAt.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
		requests.Go(func() { l.request(client, fmt.Sprint("u", n), n) })
	}
	requests.Wait()
	l.repeats.Wait()
}

func (l *repeatedLoad) request(client extprocv3.ExternalProcessorClient, id string, n int) {
	if !isDecided(client, id, n) {
		l.refused.Add(1)
		return
	}
	l.decided.Add(1)
	if n%repeatEvery != 0 {
		return
	}
	l.repeats.Go(func() {
		time.Sleep(repeatAfter)
		l.repeated.Add(1)
		if isDecided(client, id, n) {
			l.reruns.Add(1)
		}
	})
}

// isDecided requests a lookup, reports its attempt as a hit, and reports whether there was an attempt to make.
func isDecided(client extprocv3.ExternalProcessorClient, id string, n int) bool {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	stream, err := client.Process(ctx)
	if err != nil {
		return false
	}
	stream.Send(requestHeaders(":method", "GET", ":path", fmt.Sprintf("/call/order/o%d/part-0", n%50), "x-job-id", id, "x-ram-kb", "1"))
	response, err := stream.Recv()
	if err != nil || response.GetImmediateResponse() != nil {
		return false
	}
	stream.Send(responseHeaders(":status", "200", "x-foldslip-end", "hit", "x-foldslip-note", "hit"))
	stream.Recv()
	return true
}

// TestMeasureRepeats measures second runs of side-effecting lookups that are requested again, refusals, resident memory
// and processor time, with the default configuration and with the longest remember_ms.
func TestMeasureRepeats(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, test := range []struct {
		kind      string
		perSecond int
		flood     flood
	}{
		{kindDefault, 170, floods[0]},
		{kindDefault, 1000, floods[0]},
		{kindDefault, 170, floods[1]},
		{kindDefault, 1000, floods[1]},
		{kindLongest, 170, floods[0]},
		{kindLongest, 1000, floods[0]},
		{kindLongest, 1000, floods[1]},
	} {
		t.Run(fmt.Sprintf("%s %d beside %s", test.kind, test.perSecond, test.flood.name), func(t *testing.T) {
			measureRepeats(t, test.kind, test.perSecond, test.flood)
		})
	}
}

func measureRepeats(t *testing.T, kind string, perSecond int, f flood) {
	p := startProcess(t, kind, 1)
	running := startFlood(t, p, f)
	before := p.usage()
	var load repeatedLoad
	load.run(extprocv3.NewExternalProcessorClient(p.conns[0]), perSecond, 20*time.Second)
	after := p.usage()
	running.stop()
	micros := after.processorMicros - before.processorMicros
	t.Logf("%d decided, %d refused; %d repeated, %d ran twice; %d KB resident, before %d; %d us of processor time a lookup; %d requests of the flood",
		load.decided.Load(), load.refused.Load(), load.repeated.Load(), load.reruns.Load(), after.rss, before.rss,
		micros/uint64(max(1, load.decided.Load())), running.sent.Load())
	p.stop()
	if reruns := load.reruns.Load(); reruns > 0 {
		t.Errorf("%d lookups ran a second time", reruns)
	}
}
