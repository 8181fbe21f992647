package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
	"foldslip/internal/config"
	"foldslip/internal/env"
)

func TestDescriptorShares(t *testing.T) {
	all := &config.Config{List: &config.EndpointStore{}, Routing: &config.Routing{Socket: "s", Folder: "f"}, Fleet: &config.Fleet{Socket: "s"}}
	for _, c := range []struct {
		platform   int
		system     uint64
		operators  *config.Config
		hasExtproc bool
		want       descriptorShares
	}{
		{1024, 1024, &config.Config{}, false, descriptorShares{12, 0, 512, 500}}, // the platform's scored days
		{4096, 1024, &config.Config{}, false, descriptorShares{12, 0, 512, 500}},
		{1024, 100, &config.Config{}, false, descriptorShares{12, 0, 50, 38}},
		{0, 1024, &config.Config{}, true, descriptorShares{12, 128, 512, 372}},
		{1024, 0, all, false, descriptorShares{78, 0, 512, 434}},
		{20000, 20000, &config.Config{}, false, descriptorShares{12, 0, 4096, 15892}},
		{0, 1 << 63, &config.Config{}, false, descriptorShares{12, 0, 4096, 16384}},
		{0, 0, &config.Config{}, false, descriptorShares{0, 0, 1, 16384}},
		{2, 100, &config.Config{}, false, descriptorShares{12, 0, 1, 4}}, // too few for all: the least that each must have
	} {
		got := shareDescriptors(descriptorDemand{c.platform, c.system, c.operators, c.hasExtproc})
		if got != c.want {
			t.Errorf("limits %d and %d: %+v, expected %+v", c.platform, c.system, got, c.want)
		}
		if n := got.Process + got.Extproc + got.Clients + got.Caches; c.platform >= 64 && n > c.platform {
			t.Errorf("limit %d, %d shared out", c.platform, n)
		}
	}
}

// openDescriptors is how many descriptors the process holds.
func (g *testGateway) openDescriptors() int {
	g.t.Helper()
	return len(must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))))
}

// lookupOnce sends a lookup on a connection that the client never closes; status 0: there was no response.
func (g *testGateway) lookupOnce(n int) (status int, body string) {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(4 * time.Second))
	io.WriteString(conn, g.lookup("segment", fmt.Sprint("o", n)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// lookupWithRetry is lookupOnce, sent once more if there was no response: a request that crosses the close of its idle connection may be.
func (g *testGateway) lookupWithRetry(n int) (status int, body string) {
	g.t.Helper()
	if status, body = g.lookupOnce(n); status == 0 {
		status, body = g.lookupOnce(n)
	}
	return status, body
}

// listMoreCaches starts caches and has discovery list them.
func (g *testGateway) listMoreCaches(n int) (added []standin.Endpoint) {
	g.t.Helper()
	for i := range n {
		cache := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) { answerHit(0, request) }))
		g.t.Cleanup(cache.Close)
		endpoint := g.endpoints[0]
		endpoint.ID = fmt.Sprint("old", i)
		endpoint.HostPort = cache.Addr
		added = append(added, endpoint)
	}
	g.discovery.Announce(standin.EndpointList(false, added...))
	return added
}

// asDraining returns endpoints as they drain.
func asDraining(endpoints []standin.Endpoint) []standin.Endpoint {
	draining := slices.Clone(endpoints)
	for i := range draining {
		draining[i].Phase = "draining"
	}
	return draining
}

// Clients and connections to 24 caches fill the descriptors while discovery is down. It comes back, and all of them drain and a new one has
// started: within 2 s the watch has a descriptor, the new cache a connection and a client its response from it. The second gateway is
// started with 14 files open that it does not know of, so that its count of them is wrong.
func TestDiscoveryReturnsWhileDescriptorsAreExhausted(t *testing.T) {
	const limit = 2 * time.Second
	for name, inherited := range map[string]int{"counted": 0, "inherited": 14} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var files []*os.File
			for range inherited {
				file := must(os.Open(os.DevNull))
				t.Cleanup(func() { file.Close() })
				files = append(files, file)
			}
			g := startGatewayWith(t, 40, files, answerHit, changedSettings(func(map[string]any) {}))
			mustReceive(t, g.discovery.Subscribed)
			old := g.listMoreCaches(24)
			discoveryAddr := g.discovery.Addr
			g.discovery.Close()
			failed := 0
			for n := range 120 {
				if status, _ := g.lookupWithRetry(n); status != 200 {
					failed++
				}
			}
			if failed > 0 {
				t.Errorf("%d of 120 lookups not answered with 200 while discovery was down", failed)
			}
			t.Logf("%d descriptors of 40 as discovery comes back", g.openDescriptors())
			fresh := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) { request.Hit(time.Now(), "hit", "fresh") }))
			t.Cleanup(fresh.Close)
			added := g.endpoints[0]
			added.ID = "fresh"
			added.HostPort = fresh.Addr
			discovery := must(standin.NewDiscovery(discoveryAddr, 1))
			t.Cleanup(discovery.Close)
			backAt := time.Now()
			draining := asDraining(old)
			discovery.Announce(standin.EndpointList(false, draining...)) // in place of the event that it holds already
			discovery.Announce(standin.EndpointList(false, append(append(draining, asDraining(g.endpoints[:2])...), added)...))
			for n := 200; ; n++ {
				status, body := g.lookupWithRetry(n)
				if status == 200 && body == "fresh" {
					break
				}
				if time.Since(backAt) > limit {
					t.Fatalf("2 s after discovery came back a client has %d %q", status, body)
				}
				time.Sleep(20 * time.Millisecond)
			}
			elapsed := time.Since(backAt)
			t.Logf("%v after its return a client has the new cache's response", elapsed.Round(time.Millisecond))
			if elapsed > limit {
				t.Errorf("after %v", elapsed)
			}
		})
	}
}

// exhaustedEnv is an environment that has no descriptor for a dial until so many have been freed.
type exhaustedEnv struct {
	env.Environment
	missing int
}

// Dial fails while descriptors are missing.
func (e *exhaustedEnv) Dial(*env.Lifetime, string, time.Duration) (net.Conn, error) {
	if e.missing > 0 {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	conn, peer := net.Pipe()
	peer.Close()
	return conn, nil
}

// A dial without a descriptor has idle connections evicted, four times at most, and logs that once.
func TestDialWithoutDescriptors(t *testing.T) {
	for _, c := range []struct{ missing, idle, evictions int }{{0, 9, 0}, {1, 9, 1}, {4, 9, 4}, {5, 9, 4}, {2, 1, 2}} {
		var log bytes.Buffer
		exhausted := &exhaustedEnv{Environment: env.NewSystem(&log, slog.LevelWarn), missing: c.missing}
		idle, evictions := c.idle, 0
		evicting := &evictingEnv{Environment: exhausted, evictIdle: func() bool {
			evictions++
			if idle == 0 {
				return false
			}
			idle--
			exhausted.missing--
			return true
		}}
		conn, err := evicting.Dial(nil, "", 0)
		if evictions != c.evictions || (err == nil) != (c.missing <= min(c.idle, maxEvictionsPerDial)) {
			t.Errorf("%+v: %d evictions, %v", c, evictions, err)
		}
		if n := strings.Count(log.String(), "event=descriptors_short"); n != min(1, c.missing) {
			t.Errorf("%+v: logged %d times", c, n)
		}
		if err == nil {
			conn.Close()
		}
	}
}
