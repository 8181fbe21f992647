package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foldslip/example/standin"
	"foldslip/internal/env"
)

const (
	benchEndpoints      = 10000
	benchChangeInterval = 10 * time.Millisecond
)

// benchConfig is the format of the gateway's configuration. It
// takes the addresses of the gateway, of discovery and of a cache.
const benchConfig = `{"name":"n0","listen":%q,"seed":"1","bulletin":%q,"limits":{"memory_mb":192,"sockets":512},"settings":
{"areas":["town","far"],"balancers":1,"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"try_limit":6},
"classes":[{"name":"segment","aim":400000,"deadline":5000000,"effect":"idempotent","points":1}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0],"grace_for":[0],"pass_on":[false],"seats_by_zone":[1]}},
"known":{"no":1,"items":[{"no":1,"roster":{"complete":true,"members":[
{"id":"c0","host_port":%q,"locality":"town","flavor":"edge","phase":"up"},
{"id":"c1","host_port":"127.0.0.1:1","locality":"town","flavor":"origin","phase":"up"}]}}]}}`

// benchSetup selects the work of a gateway besides lookups.
type benchSetup struct {
	storesList bool // the endpoint list is stored on disk, with two synced writes a second
	hasChanges bool // a list of benchEndpoints caches changes each benchChangeInterval
}

// BenchmarkLookup measures the processor time and the allocations of a lookup through a gateway on loopback. The client
// and the cache are stand-ins in the same process. Both figures include the stand-ins, whose share stays the same.
func BenchmarkLookup(b *testing.B) { benchmarkLookups(b, benchSetup{}) }

// BenchmarkLookupWithSnapshots measures the same while a list
// of 10,000 caches is stored and receives 100 changes a second.
func BenchmarkLookupWithSnapshots(b *testing.B) {
	benchmarkLookups(b, benchSetup{storesList: true, hasChanges: true})
}

// BenchmarkLookupChanges measures the cost of the same changes without a stored list.
func BenchmarkLookupChanges(b *testing.B) { benchmarkLookups(b, benchSetup{hasChanges: true}) }

func benchmarkLookups(b *testing.B, setup benchSetup) {
	createdAt := time.Now()
	cache := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) { request.Hit(createdAt, "hit", "bytes") }))
	discovery := must(standin.NewDiscovery("127.0.0.1:0", 1))
	addr := freeAddr()
	path := filepath.Join(b.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, benchConfig, addr, discovery.Addr, cache.Addr), 0o600); err != nil {
		b.Fatal(err)
	}
	b.Setenv("ROUTER_CONFIG", path)
	if setup.storesList {
		writeOperatorConfig(b, fmt.Sprintf("{ list: { folder: %q } }", b.TempDir()))
	}
	if setup.hasChanges {
		stop := announceChanges(discovery, cache.Addr)
		defer stop()
	}
	ended := make(chan error, 1)
	go func() { ended <- Run(env.NewSystem(io.Discard, slog.LevelInfo), Hooks{}) }()
	conn := dialWhenUp(b, addr)
	if setup.hasChanges {
		time.Sleep(time.Second) // for the complete list to arrive
	}
	measureLookups(b, conn)
	conn.Close()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-ended
}

// announceChanges makes discovery send a list of benchEndpoints caches and then changes of it,
// until stop is called. The caches are in a distant zone, which gives the dispatcher little work.
func announceChanges(discovery *standin.Discovery, cacheAddr string) (stop func()) {
	remoteEndpoint := func(i int, phase string) standin.Endpoint {
		return standin.Endpoint{ID: fmt.Sprintf("o%d", i), HostPort: "127.0.0.1:1", Locality: "far", Flavor: "edge", Phase: phase}
	}
	list := []standin.Endpoint{
		{ID: "c0", HostPort: cacheAddr, Locality: "town", Flavor: "edge", Phase: "up"},
		{ID: "c1", HostPort: "127.0.0.1:1", Locality: "town", Flavor: "origin", Phase: "up"}}
	for i := range benchEndpoints {
		list = append(list, remoteEndpoint(i, "up"))
	}
	discovery.Announce(standin.EndpointList(true, list...))
	done := make(chan bool)
	go func() {
		ticker := time.NewTicker(benchChangeInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ticker.C:
				discovery.Announce(standin.EndpointList(false, remoteEndpoint(n%benchEndpoints, []string{"draining", "up"}[n%2])))
			}
		}
	}()
	return func() { close(done) }
}

// dialWhenUp connects to a gateway that is starting. It retries for about 2 s.
func dialWhenUp(b *testing.B, addr string) net.Conn {
	b.Helper()
	for range 200 {
		if conn, err := net.Dial("tcp", addr); err == nil {
			return conn
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatal("the gateway does not accept connections")
	return nil
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureLookups sends lookups one after another on a connection and reports their latency and processor time.
func measureLookups(b *testing.B, conn net.Conn) {
	b.Helper()
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	before := processTime()
	lookups := 0
	latency := hdrhistogram.New(1, 10_000_000, 3) // microseconds
	for b.Loop() {
		lookups++
		sentAt := time.Now()
		fmt.Fprintf(conn, "GET /call/segment/o%d/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Allow-Ms: 2000\r\nX-Ram-Kb: 1\r\n\r\n", lookups%100, lookups)
		response, err := http.ReadResponse(in, nil)
		if err != nil || response.StatusCode != 200 {
			b.Fatal(response, err)
		}
		io.Copy(io.Discard, response.Body)
		latency.RecordValue(time.Since(sentAt).Microseconds())
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64((processTime()-before).Microseconds())/float64(lookups), "cpu-us/op")
}
