package extproccli

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"

	"foldslip/client"
	"foldslip/internal/env"
	"foldslip/internal/gateway"
)

// servedSettings are platform settings with a single kind of object.
const servedSettings = `{"areas":["town"],"machine_types":["edge","parent","origin"],"ceilings":{"cancelling":true,"try_limit":6,"retry_after":true,
"max_retry_after":2000000},"classes":[{"name":"segment","aim":400000,"deadline":5000000,"points":1,"effect":"idempotent"}],
"specifics":{"parent_kind":1,"source_kind":2,"flow_kb_per_s":100000,"max_age":[0],"grace_for":[0],"pass_on":[false],"seats_by_zone":[1],"merges_fills":true}}`

// lockedBuffer is a buffer that a test can read while a gateway writes its log to it.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write appends to the buffer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// String returns the text written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

// freeAddr returns a free loopback address that depends on the process id, so that test processes do not share one. Its
// port is below the range of ports that the kernel assigns to outgoing connections.
func freeAddr(t *testing.T, host int) string {
	t.Helper()
	pid := os.Getpid()
	for ; host < 250; host += 10 {
		addr := fmt.Sprintf("127.%d.%d.%d:10080", 1+pid>>8%250, pid%256, 1+host)
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
	t.Fatal("no loopback address is free")
	return ""
}

// writeFile writes a file and returns the file's path.
func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// noHealth is the value that health returns if the request failed or got no answer in time.
const noHealth healthv1.HealthCheckResponse_ServingStatus = -1

// health requests the health of a gateway through the gRPC health service and waits at most timeout for the answer.
func health(conn *grpc.ClientConn, timeout time.Duration) healthv1.HealthCheckResponse_ServingStatus {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := healthv1.NewHealthClient(conn).Check(ctx, &healthv1.HealthCheckRequest{}, grpc.WaitForReady(true))
	if err != nil {
		return noHealth
	}
	return response.Status
}

// giveUpAfter is the time after SIGTERM at which a gateway gives up the lookups that are still open. The platform kills
// the process 0.7 s after the longest deadline, which counts as 3 s at most, and the gateway gives up 0.25 s before
// that. It must stop accepting lookups earlier.
const giveUpAfter = 3*time.Second + 700*time.Millisecond - 250*time.Millisecond

// waitUntilClosed waits until the gateway no longer reports that it serves. The test fails
// if this takes longer than giveUpAfter.
func waitUntilClosed(t *testing.T, conn *grpc.ClientConn) {
	t.Helper()
	for start := time.Now(); health(conn, 200*time.Millisecond) == healthv1.HealthCheckResponse_SERVING; {
		if time.Since(start) > giveUpAfter {
			t.Error("the gateway still reports that it serves at the time at which it gives up open lookups")
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestServeUntilTerminated guards against a shutdown that drops a lookup in progress. It starts a gateway with its
// external processor from configuration files and sends SIGTERM while a client carries out an attempt. The lookup must
// still be answered, and then the gateway must end.
func TestServeUntilTerminated(t *testing.T) {
	dir, addr := t.TempDir(), freeAddr(t, 0)
	t.Setenv("ROUTER_CONFIG", writeFile(t, filepath.Join(dir, "config.json"), fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"1","bulletin":"127.0.0.1:1",
"limits":{"memory_mb":64,"sockets":256},"settings":%s,"known":{"no":1,"items":[{"no":1,"roster":{"complete":true,"members":[
{"id":"c0","host_port":"127.0.0.1:1","locality":"town","flavor":"edge","phase":"up"},{"id":"c1","host_port":"127.0.0.1:1","locality":"town","flavor":"origin","phase":"up"}]}}]}}`,
		freeAddr(t, 1), servedSettings)))
	t.Setenv("FOLDSLIP_SETTINGS", writeFile(t, filepath.Join(dir, "own.jsonnet"), fmt.Sprintf(`{ external_processor: { listen: '%s', table: [
  { path: '/call/{kind}/{object}/part-{part}', kind: 'path:kind', object: 'path:object', part: 'path:part', id: 'header:x-job-id' }] } }`, addr)))
	log := &lockedBuffer{}
	ended := make(chan error, 1)
	go func() {
		ended <- gateway.Run(env.NewSystem(log, slog.LevelInfo), gateway.Hooks{NewServices: openServices})
	}()
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if got := health(conn, 5*time.Second); got != healthv1.HealthCheckResponse_SERVING {
		t.Fatal(got, log.String())
	}
	request := client.Request{Path: "/call/segment/o/part-0", Header: http.Header{"X-Job-Id": {"a1"}}}
	result, err := client.New(conn).Lookup(context.Background(), request, func(_ context.Context, decision client.Decision) client.AttemptOutcome {
		if decision.Cache != "c0" || decision.Addr != "127.0.0.1:1" {
			t.Errorf("unexpected decision %+v", decision)
		}
		syscall.Kill(os.Getpid(), syscall.SIGTERM)
		waitUntilClosed(t, conn)
		return client.AttemptOutcome{Word: client.WordHit}
	})
	if err != nil || result.Kind != client.Satisfied || len(result.Attempts) != 1 {
		t.Errorf("the lookup in progress ended with %+v, %v; want it satisfied by one attempt", result, err)
	}
	select {
	case err := <-ended:
		if err != nil || !strings.Contains(log.String(), "event=extproc_closed kind=external_processor open=0") {
			t.Error(err, log.String())
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the gateway did not end within 10 s of the lookup: ", log.String())
	}
}
