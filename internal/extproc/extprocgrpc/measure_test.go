package extprocgrpc

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// The tests in this file make the measurements for docs/external-processor.md. They
// compare a Service, which runs on one core in its own process, with noopService, a
// minimal server of the protocol. They take minutes and are not run in CI. To run them:
//
//	FOLDSLIP_MEASURE=1 go test -run Measure -v ./internal/extproc/extprocgrpc

func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("FOLDSLIP_MEASURE") == "" {
		t.Skip("measurement takes minutes; set FOLDSLIP_MEASURE=1 to run it")
	}
}

// rounds is how often each kind of server is measured. The kinds take turns.
const rounds = 2

// TestMeasureSpeed measures decisions per second, their latency and the allocations for each stream, by the number of
// concurrent streams.
func TestMeasureSpeed(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, streams := range []int{1, 100, 1000} {
		for range rounds {
			for _, kind := range []string{kindNoop, kindPlain} {
				p := startProcess(t, kind, min(streams, 8))
				p.load(streams, 0, 1<<40, 2*time.Second)
				before := p.usage()
				latencies, n, elapsed := p.load(streams, 0, 1<<40, 6*time.Second)
				after := p.usage()
				t.Logf("%4d streams %s: %7.0f decisions a second, p50 %d us, p99 %d, p99.9 %d; %d B and %d allocations a stream, %d MB resident", streams, kind,
					float64(n)/elapsed.Seconds(), latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99), latencies.ValueAtQuantile(99.9),
					(after.bytes-before.bytes)/uint64(n), (after.mallocs-before.mallocs)/uint64(n), after.rss/1024)
				p.stop()
			}
		}
	}
}

// TestMeasureMemory measures resident memory and goroutines over a million streams, a tenth of which are broken off.
func TestMeasureMemory(t *testing.T) {
	skipUnlessMeasuring(t)
	p := startProcess(t, kindPlain, 8)
	for i := range 10 {
		_, n, elapsed := p.load(200, 10, 100_000, 5*time.Minute)
		u := p.usage()
		t.Logf("%7d streams, a tenth broken off: %d MB resident, %d goroutines (%.0f a second)", (i+1)*100_000, u.rss/1024, u.goroutines, float64(n)/elapsed.Seconds())
	}
}

// flood is a kind of traffic that a second caller sends on a hundred concurrent streams.
type flood struct {
	name string
	send func(stream extprocv3.ExternalProcessor_ProcessClient, i, k int) // sends on stream k of worker i; nil: no flood
}

var floods = []flood{
	{"nothing", nil},
	{"requests", func(stream extprocv3.ExternalProcessor_ProcessClient, i, k int) {
		stream.Send(requestHeaders(":method", "GET", ":path", "/call/segment/f/part-0", "x-job-id", fmt.Sprint("f", i, "-", k)))
	}},
	{"phases out of order", func(stream extprocv3.ExternalProcessor_ProcessClient, _, _ int) {
		stream.Send(responseHeaders(":status", "200"))
	}},
	{"messages too large", func(stream extprocv3.ExternalProcessor_ProcessClient, _, _ int) {
		stream.Send(requestHeaders("x", string(make([]byte, MaxMessageBytes))))
	}},
	{"no lookup", func(stream extprocv3.ExternalProcessor_ProcessClient, _, _ int) {
		stream.Send(requestHeaders(":method", "PUT", ":path", "//"))
	}},
}

// runningFlood is a flood in progress. It counts the streams of the flood and those that ended with an error.
type runningFlood struct {
	ended         atomic.Bool
	workers       sync.WaitGroup
	sent, refused atomic.Int64
}

// startFlood floods a process over four connections. They come from an
// address of their own, so that the flood counts as another caller.
func startFlood(t *testing.T, p *loadedProcess, f flood) *runningFlood {
	t.Helper()
	running := &runningFlood{}
	if f.send == nil {
		return running
	}
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}).DialContext(ctx, "tcp", addr)
	}
	for range 4 {
		conn, err := grpc.NewClient(p.addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithContextDialer(dial))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		for i := range 25 {
			running.workers.Go(func() { running.run(extprocv3.NewExternalProcessorClient(conn), f, i) })
		}
	}
	return running
}

// run opens streams one after another until the flood ends.
func (r *runningFlood) run(client extprocv3.ExternalProcessorClient, f flood, i int) {
	for k := 0; !r.ended.Load(); k++ {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		if stream, err := client.Process(ctx); err == nil {
			f.send(stream, i, k)
			if _, err := stream.Recv(); err != nil {
				r.refused.Add(1)
			}
			r.sent.Add(1)
		}
		stop()
	}
}

func (r *runningFlood) stop() {
	r.ended.Store(true)
	r.workers.Wait()
}

// TestMeasureFloods measures the decision latency of one caller while another caller floods the process.
func TestMeasureFloods(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, kind := range []string{kindGuarded, kindPlain} {
		for _, f := range floods {
			p := startProcess(t, kind, 1)
			p.loadPaced(time.Second)
			running := startFlood(t, p, f)
			latencies := p.loadPaced(4 * time.Second)
			running.stop()
			u := p.usage()
			t.Logf("%s, flood of %s (%d streams a second, %d refused): the other caller's p50 %d us, p99 %d, p99.9 %d; %d MB resident", kind, f.name, running.sent.Load()/4,
				running.refused.Load()/4, latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99), latencies.ValueAtQuantile(99.9), u.rss/1024)
			failures.Range(func(reason, _ any) bool { t.Log(reason); return true })
			failures.Clear()
			p.stop()
		}
	}
}
