package service

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

	"foldslip/clock"
	"foldslip/example/standin"
)

// runHere starts a gateway in this process.
var runHere = func() error { return Run(clock.NewSystem(io.Discard, slog.LevelInfo), Watch{}) }

// BenchmarkLookup is a lookup through a gateway on loopback, client and cache in the same process. It holds CPU time and
// allocations of a lookup: both count the stand-ins too, which stay the same.
func BenchmarkLookup(b *testing.B) {
	born := time.Now()
	cache := must(standin.NewCache("127.0.0.1:0", func(d standin.Do) { d.Hit(born, "hit", "bytes") }))
	bulletin := must(standin.NewBulletin("127.0.0.1:0", 1))
	addr := freeAddr()
	settings := `{"areas":["town"],"balancers":1,"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"try_limit":6},
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
	began, n := cpu(), 0
	for b.Loop() {
		n++
		fmt.Fprintf(conn, "GET /call/segment/o%d/part-0 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Allow-Ms: 2000\r\nX-Ram-Kb: 1\r\n\r\n", n%100, n)
		got, err := http.ReadResponse(in, nil)
		if err != nil || got.StatusCode != 200 {
			b.Fatal(got, err)
		}
		io.Copy(io.Discard, got.Body)
	}
	b.ReportMetric(float64((cpu()-began).Microseconds())/float64(n), "cpu-us/op")
	conn.Close()
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	<-ended
}
