package extprocgrpc

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"

	"foldslip/internal/env"
	"foldslip/internal/gateway"
)

type safe struct {
	mu sync.Mutex
	bytes.Buffer
}

func (s *safe) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

var addrs atomic.Uint32

// free is an address that nothing else takes meanwhile: a loopback address of its own, with a port below those that
// connections are given by chance.
func free() string {
	for {
		n, pid := addrs.Add(1), os.Getpid()
		at := fmt.Sprintf("127.%d.%d.%d:10080", 1+pid>>8%250, pid%256, 1+n%250)
		if l, err := net.Listen("tcp", at); err == nil {
			l.Close()
			return at
		}
	}
}

// A gateway with the door, from its files to SIGTERM amid a lookup whose send is at its caller.
func TestServed(t *testing.T) {
	dir, at := t.TempDir(), free()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	t.Setenv("ROUTER_CONFIG", write("config.json", fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","bulletin":"127.0.0.1:1","limits":{"memory_mb":64,"sockets":256},
"settings":%s,"known":{"no":1,"items":[{"no":1,"roster":{"complete":true,"members":[
{"id":"c0","host_port":"127.0.0.1:1","locality":"town","flavor":"edge","phase":"up"},{"id":"c1","host_port":"127.0.0.1:1","locality":"town","flavor":"origin","phase":"up"}]}}]}}`,
		free(), testSettings)))
	t.Setenv("FOLDSLIP_SETTINGS", write("own.jsonnet", fmt.Sprintf(`{ external_processor: { listen: '%s', table: [
  { path: '/call/{kind}/{object}/part-{part}', kind: 'path:kind', object: 'path:object', part: 'path:part', id: 'header:x-job-id' }] } }`, at)))
	log := &safe{}
	ended := make(chan error, 1)
	go func() {
		ended <- gateway.Run(env.NewSystem(log, slog.LevelInfo), gateway.Hooks{NewServices: OpenConfigured})
	}()
	conn, err := grpc.NewClient(at, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	check := func(within time.Duration) healthv1.HealthCheckResponse_ServingStatus {
		ctx, stop := context.WithTimeout(context.Background(), within)
		defer stop()
		r, err := healthv1.NewHealthClient(conn).Check(ctx, &healthv1.HealthCheckRequest{}, grpc.WaitForReady(true))
		if err != nil {
			return -1
		}
		return r.Status
	}
	if got := check(5 * time.Second); got != healthv1.HealthCheckResponse_SERVING {
		t.Fatal(got, log.String())
	}
	p := &place{t: t, client: extprocv3.NewExternalProcessorClient(conn)}
	c := p.call()
	if got := c.ask("a1", "segment", "o"); got.set["x-foldslip-cache"] != "c0" || got.set["x-foldslip-addr"] != "127.0.0.1:1" {
		t.Fatalf("%+v", got)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	time.Sleep(800 * time.Millisecond) // its listener has closed
	if got := c.report(":status", "200", "x-foldslip-note", "hit"); got.err != nil || got.status != 0 {
		t.Errorf("the lookup that was taken before: %+v", got)
	}
	c.stream.CloseSend()
	if got := check(200 * time.Millisecond); got == healthv1.HealthCheckResponse_SERVING {
		t.Error("it says that it serves")
	}
	select {
	case err := <-ended:
		if err != nil || !strings.Contains(log.String(), "event=door_closed kind=external_processor open=0") {
			t.Error(err, log.String())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it does not end: ", log.String())
	}
}
