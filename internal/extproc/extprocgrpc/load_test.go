package extprocgrpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"foldslip/internal/admission"
	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/extproc"
	"foldslip/internal/lab/cost"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// noopService answers each message with a response that changes nothing. It is the baseline that a Service is compared
// with.
type noopService struct {
	extprocv3.UnimplementedExternalProcessorServer
}

func (noopService) Process(stream extprocv3.ExternalProcessor_ProcessServer) error {
	for {
		m, err := stream.Recv()
		if err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		r := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{}}}
		if m.GetResponseHeaders() != nil {
			r.Response = &extprocv3.ProcessingResponse_ResponseHeaders{ResponseHeaders: &extprocv3.HeadersResponse{}}
		}
		if err := stream.Send(r); err != nil {
			return err
		}
	}
}

// TestMain serves as the process under load, instead of running the
// tests, if the variable FOLDSLIP_SERVE names a kind of server.
func TestMain(m *testing.M) {
	if kind := os.Getenv("FOLDSLIP_SERVE"); kind != "" {
		serveUnderLoad(kind)
		return
	}
	os.Exit(m.Run())
}

// The kinds of servers under load.
const (
	kindNoop    = "noop"    // noopService
	kindPlain   = "plain"   // a Service without limits on streams and rates
	kindGuarded = "guarded" // a Service with the limits of the default configuration, except for the rate
	kindDefault = "default" // a Service with the default configuration
	kindLongest = "longest" // a Service with the default configuration and the longest remember_ms
)

// serveUnderLoad runs the process under load. It serves until its
// input ends and prints its resource usage for each line of input.
func serveUnderLoad(kind string) {
	runtime.GOMAXPROCS(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	extprocListener := &Listener{}
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxConcurrentStreams(4096)}
	if kind == kindGuarded {
		options = append(options, grpc.InTapHandle(extprocListener.admitStream))
	}
	server := grpc.NewServer(options...)
	if kind == kindNoop {
		extprocv3.RegisterExternalProcessorServer(server, noopService{})
	} else {
		extprocListener.Service = Service{Server: newLoadedServer(kind)}
		extprocv3.RegisterExternalProcessorServer(server, &extprocListener.Service)
	}
	go server.Serve(listener)
	defer startProfile(kind)()
	fmt.Println(listener.Addr())
	defer func() {
		if extprocListener.Server != nil {
			fmt.Fprintln(os.Stderr, "anomalies:", extprocListener.AnomalySummary())
		}
	}()
	printUsage()
}

// newLoadedServer starts the Server of a process under load.
func newLoadedServer(kind string) *extproc.Server {
	dependencies, err := newDependencies(true)
	if err != nil {
		panic(err)
	}
	table, err := route.Compile([]config.LookupRule{{Path: "/call/{kind}/{object}/part-{part}", Kind: "path:kind", Object: "path:object", Part: "path:part",
		KB: "header:x-ram-kb", ID: "header:x-job-id"}}, dependencies.Settings.Kinds)
	if err != nil {
		panic(err)
	}
	if kind == kindDefault || kind == kindLongest {
		limits, err := defaultLimits(kind)
		if err != nil {
			panic(err)
		}
		return startLoadedServer(dependencies, table, limits)
	}
	limits := extproc.Limits{SilenceTimeout: 30 * time.Second,
		Lookups: retry.Limits{MaxLookups: 4096, MaxPerCaller: 4096, ReturnTimeout: 300 * time.Millisecond, Retention: 5 * time.Second, MaxRecords: 1 << 20}}
	if kind == kindGuarded {
		limits.MessagesPerSecond, limits.MaxStreams = 3000, 1024
		limits.Lookups.MaxLookups, limits.Lookups.MaxPerCaller = 256, 128
	}
	return startLoadedServer(dependencies, table, limits)
}

// defaultLimits returns the limits of kindDefault or kindLongest.
func defaultLimits(kind string) (extproc.Limits, error) {
	rememberMS := 0
	if kind == kindLongest {
		rememberMS = longestRememberMS
	}
	configuration, err := defaultConfiguration(rememberMS)
	if err != nil {
		return extproc.Limits{}, err
	}
	return limitsFrom(configuration, 0), nil
}

// startLoadedServer starts a Server with the given limits.
func startLoadedServer(dependencies extproc.Dependencies, table *route.Table, limits extproc.Limits) *extproc.Server {
	dependencies.Purges = nil
	dependencies.Admission = admission.NewController(dependencies.Environment, limits.Lookups.MaxLookups, 1<<30)
	server := extproc.New(dependencies, table, limits)
	lifetime := env.NewLifetime(nil)
	go server.Run(lifetime)
	go tick(dependencies.Dispatcher, lifetime)
	return server
}

// startProfile writes a CPU profile until stop is called. The file is named by the variable
// FOLDSLIP_PROFILE, with the kind as its suffix. Without the variable, no profile is written.
func startProfile(kind string) (stop func()) {
	path := os.Getenv("FOLDSLIP_PROFILE")
	if path == "" {
		return func() {}
	}
	f, err := os.Create(path + "." + kind)
	if err != nil {
		panic(err)
	}
	pprof.StartCPUProfile(f)
	return pprof.StopCPUProfile
}

// printUsage prints one line for each line of input: allocations, allocated bytes, resident memory
// in KB, goroutines and processor time in microseconds, in the order of the fields of usage.
func printUsage() {
	var line [1]byte
	for {
		if _, err := os.Stdin.Read(line[:]); err != nil {
			return
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		status, _ := os.ReadFile("/proc/self/status")
		_, rss, _ := strings.Cut(string(status), "VmRSS:")
		fmt.Println(m.Mallocs, m.TotalAlloc, strings.Fields(rss)[0], runtime.NumGoroutine(), cost.ProcessorTime().Microseconds())
	}
}

// loadedProcess is a process under load and the connections to it.
type loadedProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   io.Reader
	conns []*grpc.ClientConn
	addr  string
}

// startProcess starts a process under load that serves the given kind, and opens connections to it.
func startProcess(t *testing.T, kind string, conns int) *loadedProcess {
	p := &loadedProcess{cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), "FOLDSLIP_SERVE="+kind)
	p.cmd.Stderr = os.Stderr
	p.in, _ = p.cmd.StdinPipe()
	p.out, _ = p.cmd.StdoutPipe()
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	fmt.Fscanln(p.out, &p.addr)
	addr := p.addr
	for range conns {
		c, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		p.conns = append(p.conns, c)
	}
	t.Cleanup(p.stop)
	return p
}

func (p *loadedProcess) stop() {
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
	p.in.Close()
	p.cmd.Wait()
}

// usage is the resource usage of a process: allocations and allocated bytes since its start, resident memory in KB,
// goroutines, and processor time since its start in microseconds.
type usage struct{ mallocs, bytes, rss, goroutines, processorMicros uint64 }

func (p *loadedProcess) usage() (u usage) {
	p.in.Write([]byte{'\n'})
	fmt.Fscanln(p.out, &u.mallocs, &u.bytes, &u.rss, &u.goroutines, &u.processorMicros)
	return u
}

// load keeps a number of streams open at a time. Each stream requests one lookup and reports its attempt, except
// that one in broken streams is broken off after the decision; 0 breaks off none. load ends after n lookups or
// after the duration. It returns the latencies of the decisions in microseconds, their number and the elapsed time.
func (p *loadedProcess) load(streams, broken int, n int64, duration time.Duration) (latencies *hdrhistogram.Histogram, done int64, elapsed time.Duration) {
	var mu sync.Mutex
	var left, decided atomic.Int64
	left.Store(n)
	latencies = newHistogram()
	startedAt := time.Now()
	var workers sync.WaitGroup
	for i := range streams {
		workers.Go(func() {
			client := extprocv3.NewExternalProcessorClient(p.conns[i%len(p.conns)])
			own := newHistogram()
			for k := 0; left.Add(-1) >= 0 && time.Since(startedAt) < duration; k++ {
				id := strconv.Itoa(i) + "-" + strconv.Itoa(k)
				if latency, ok := decideAndReport(client, id, k, broken == 0 || k%broken != 0); ok {
					own.RecordValue(latency.Microseconds())
					decided.Add(1)
				}
			}
			mu.Lock()
			latencies.Merge(own)
			mu.Unlock()
		})
	}
	workers.Wait()
	return latencies, decided.Load(), time.Since(startedAt)
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

// decideAndReport requests a lookup and, if report is set, reports its attempt.
// Otherwise it breaks off the stream. It returns the latency of the decision.
func decideAndReport(client extprocv3.ExternalProcessorClient, id string, k int, report bool) (latency time.Duration, ok bool) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	stream, err := client.Process(ctx)
	if err != nil {
		return 0, false
	}
	requestedAt := time.Now()
	stream.Send(requestHeaders(":method", "GET", ":path", fmt.Sprintf("/call/segment/o%d/part-0", k%50), "x-job-id", id, "x-ram-kb", "1",
		"user-agent", "kiosk", "accept", "*/*", "x-request-id", "5f3c"))
	response, err := stream.Recv()
	latency, ok = time.Since(requestedAt), err == nil
	if response.GetImmediateResponse() != nil { // the lookup is rejected, so there is no attempt to report
		return latency, ok
	}
	if report {
		stream.Send(responseHeaders(":status", "200", "x-foldslip-end", "hit", "x-foldslip-note", "hit"))
		stream.Recv()
		stream.CloseSend()
		stream.Recv()
	}
	return latency, ok
}

// failures holds the texts of the errors that occurred in loadPaced.
var failures sync.Map

// loadPaced requests a thousand lookups per second and returns the latencies of their decisions in microseconds. Each
// latency counts from the time at which the request was due, so it includes any delay before the request is sent.
func (p *loadedProcess) loadPaced(duration time.Duration) *hdrhistogram.Histogram {
	latencies, mu := newHistogram(), sync.Mutex{}
	var workers sync.WaitGroup
	for i := range 20 {
		workers.Go(func() {
			client, own := extprocv3.NewExternalProcessorClient(p.conns[0]), newHistogram()
			startedAt := time.Now()
			for k := 0; time.Since(startedAt) < duration; k++ {
				due := startedAt.Add(time.Duration(k)*20*time.Millisecond + time.Duration(i)*time.Millisecond)
				time.Sleep(time.Until(due))
				id := fmt.Sprint("u", startedAt.UnixNano(), "-", i, "-", k)
				own.RecordValue(decideDue(client, id, k, due))
			}
			mu.Lock()
			latencies.Merge(own)
			mu.Unlock()
		})
	}
	workers.Wait()
	return latencies
}

// decideDue requests a lookup and returns the time from due to its decision in microseconds. It returns 10 s for a
// failure.
func decideDue(client extprocv3.ExternalProcessorClient, id string, k int, due time.Time) (micros int64) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	var response *extprocv3.ProcessingResponse
	stream, err := client.Process(ctx)
	if err == nil {
		stream.Send(requestHeaders(":method", "GET", ":path", fmt.Sprintf("/call/segment/o%d/part-0", k%50), "x-job-id", id, "x-ram-kb", "1"))
		response, err = stream.Recv()
	}
	if err != nil {
		failures.Store(err.Error(), true)
		return 10_000_000
	}
	micros = time.Since(due).Microseconds()
	if response.GetImmediateResponse() == nil {
		stream.Send(responseHeaders(":status", "200", "x-foldslip-end", "hit", "x-foldslip-note", "hit"))
		stream.Recv()
	}
	return micros
}
