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

// runHere starts a gateway in this process.
var runHere = func() error { return Run(env.NewSystem(io.Discard, slog.LevelInfo), Hooks{}) }

// BenchmarkLookup is a lookup through a gateway on loopback, client and cache in the same process. It holds CPU time and
// allocations of a lookup: both count the stand-ins too, which stay the same.
func BenchmarkLookup(b *testing.B) { lookups(b, false) }

// BenchmarkLookupWithSnapshots is the same while a list of 10,000 caches is kept on disk, with 100 changes a second, two synced
// writes a second.
func BenchmarkLookupWithSnapshots(b *testing.B) { lookups(b, true) }

// BenchmarkLookupChanges has the changes and keeps no list: what they cost without it.
func BenchmarkLookupChanges(b *testing.B) { lookups(b, false, true) }

func lookups(b *testing.B, kept bool, changes ...bool) {
	born := time.Now()
	cache := must(standin.NewCache("127.0.0.1:0", func(d standin.Request) { d.Hit(born, "hit", "bytes") }))
	bulletin := must(standin.NewDiscovery("127.0.0.1:0", 1))
	addr := freeAddr()
	settings := `{"areas":["town","far"],"balancers":1,"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"try_limit":6},
"classes":[{"name":"segment","aim":400000,"deadline":5000000,"effect":"idempotent","points":1}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0],"grace_for":[0],"pass_on":[false],"seats_by_zone":[1]}}`
	path := filepath.Join(b.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","bulletin":%q,"limits":{"memory_mb":192,"sockets":512},"settings":%s,
"known":{"no":1,"items":[{"no":1,"roster":{"complete":true,"members":[
{"id":"c0","host_port":%q,"locality":"town","flavor":"edge","phase":"up"},
{"id":"c1","host_port":"127.0.0.1:1","locality":"town","flavor":"origin","phase":"up"}]}}]}}`, addr, bulletin.Addr, settings, cache.Addr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	b.Setenv("ROUTER_CONFIG", path)
	if kept {
		own := filepath.Join(b.TempDir(), "own.jsonnet")
		if err := os.WriteFile(own, fmt.Appendf(nil, "{ list: { folder: %q } }", b.TempDir()), 0o600); err != nil {
			b.Fatal(err)
		}
		b.Setenv("FOLDSLIP_SETTINGS", own)
	}
	if kept || len(changes) > 0 {
		other := func(i int, phase string) standin.Endpoint { // of another location: the module has little to do with it
			return standin.Endpoint{ID: fmt.Sprintf("o%d", i), HostPort: "127.0.0.1:1", Locality: "far", Flavor: "edge", Phase: phase}
		}
		many := []standin.Endpoint{{ID: "c0", HostPort: cache.Addr, Locality: "town", Flavor: "edge", Phase: "up"},
			{ID: "c1", HostPort: "127.0.0.1:1", Locality: "town", Flavor: "origin", Phase: "up"}}
		for i := range 10000 {
			many = append(many, other(i, "up"))
		}
		bulletin.Announce(standin.EndpointList(true, many...))
		stop := make(chan bool)
		defer close(stop)
		go func() {
			every := time.NewTicker(10 * time.Millisecond)
			defer every.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-every.C:
					bulletin.Announce(standin.EndpointList(false, other(n%10000, []string{"draining", "up"}[n%2])))
				}
			}
		}()
	}
	ended := make(chan error, 1)
	go func() { ended <- runHere() }()
	var conn net.Conn
	for range 200 {
		var err error
		if conn, err = net.Dial("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	in := bufio.NewReader(conn)
	cpu := func() time.Duration {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	b.ReportAllocs()
	if kept || len(changes) > 0 {
		time.Sleep(time.Second) // until the whole list has been told
	}
	began, n := cpu(), 0
	took := hdrhistogram.New(1, 10_000_000, 3) // microseconds
	for b.Loop() {
		n++
		sent := time.Now()
		fmt.Fprintf(conn, "GET /call/segment/o%d/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Allow-Ms: 2000\r\nX-Ram-Kb: 1\r\n\r\n", n%100, n)
		got, err := http.ReadResponse(in, nil)
		if err != nil || got.StatusCode != 200 {
			b.Fatal(got, err)
		}
		io.Copy(io.Discard, got.Body)
		took.RecordValue(time.Since(sent).Microseconds())
	}
	b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64((cpu()-began).Microseconds())/float64(n), "cpu-us/op")
	conn.Close()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-ended
}
