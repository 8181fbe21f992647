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
		{1024, 1024, &config.Config{}, false, descriptorShares{14, 0, 512, 498}}, // the limits on the platform
		{4096, 1024, &config.Config{}, false, descriptorShares{14, 0, 512, 498}},
		{1024, 100, &config.Config{}, false, descriptorShares{14, 0, 50, 36}},
		{0, 1024, &config.Config{}, true, descriptorShares{14, 128, 512, 370}},
		{1024, 0, all, false, descriptorShares{80, 0, 512, 432}},
		{20000, 20000, &config.Config{}, false, descriptorShares{14, 0, 4096, 15890}},
		{0, 1 << 63, &config.Config{}, false, descriptorShares{14, 0, 4096, 16384}},
		{0, 0, &config.Config{}, false, descriptorShares{0, 0, 1, 16384}},
		{2, 100, &config.Config{}, false, descriptorShares{14, 0, 1, 4}}, // too few for all roles: each gets its minimum
	} {
		got := shareDescriptors(descriptorDemand{c.platform, c.system, c.operators, c.hasExtproc})
		if got != c.want {
			t.Errorf("limits %d and %d: %+v, expected %+v", c.platform, c.system, got, c.want)
		}
		if n := got.Process + got.Extproc + got.Clients + got.Caches; c.platform >= 64 && n > c.platform {
			t.Errorf("limit %d, but the shares add up to %d", c.platform, n)
		}
	}
}

// openDescriptors returns the number of descriptors that the gateway's process holds.
func (g *testGateway) openDescriptors() int {
	g.t.Helper()
	return len(must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid))))
}

// lookupOnce sends a lookup on a new connection, which the client leaves
// open. If there is no response, status is 0 and body is the error.
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

// lookupWithRetry is lookupOnce with one retry if there is no response. A request may get none
// if it arrives while the gateway closes its idle connection, and then it may be retried.
func (g *testGateway) lookupWithRetry(n int) (status int, body string) {
	g.t.Helper()
	if status, body = g.lookupOnce(n); status == 0 {
		status, body = g.lookupOnce(n)
	}
	return status, body
}

// listMoreCaches starts n caches and makes discovery announce them.
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

// asDraining returns a copy of endpoints in the draining phase.
func asDraining(endpoints []standin.Endpoint) []standin.Endpoint {
	draining := slices.Clone(endpoints)
	for i := range draining {
		draining[i].Phase = "draining"
	}
	return draining
}

// Guards against a gateway that cannot reconnect to discovery because clients and connections to caches hold
// all descriptors. While discovery is down, clients and connections to 24 caches use up the descriptors.
// Discovery then returns and reports that all these caches drain and that a new one has started. Within 2 s the
// watch must have a descriptor, the new cache a connection, and a client a response from the new cache. The
// second gateway inherits 14 open files that it does not know of, so that its count of descriptors is wrong.
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
			t.Logf("%d of 40 descriptors are in use when discovery returns", g.openDescriptors())
			fresh := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) { request.Hit(time.Now(), "hit", "fresh") }))
			t.Cleanup(fresh.Close)
			added := g.endpoints[0]
			added.ID = "fresh"
			added.HostPort = fresh.Addr
			discovery := must(standin.NewDiscovery(discoveryAddr, 1))
			t.Cleanup(discovery.Close)
			backAt := time.Now()
			draining := asDraining(old)
			discovery.Announce(standin.EndpointList(false, draining...)) // event 2, which the gateway already holds
			discovery.Announce(standin.EndpointList(false, append(append(draining, asDraining(g.endpoints[:2])...), added)...))
			for n := 200; ; n++ {
				status, body := g.lookupWithRetry(n)
				if status == 200 && body == "fresh" {
					break
				}
				if time.Since(backAt) > limit {
					t.Fatalf("2 s after discovery returned, a client got status %d, body %q", status, body)
				}
				time.Sleep(20 * time.Millisecond)
			}
			elapsed := time.Since(backAt)
			t.Logf("%v after discovery returned, a client got the response of the new cache", elapsed.Round(time.Millisecond))
			if elapsed > limit {
				t.Errorf("response of the new cache %v after discovery returned, expected within 2 s", elapsed)
			}
		})
	}
}

// exhaustedEnv is an environment whose dials fail until the number of missing descriptors has been freed.
type exhaustedEnv struct {
	env.Environment
	missing int
}

// Dial fails with EMFILE while descriptors are missing.
func (e *exhaustedEnv) Dial(*env.Lifetime, string, time.Duration) (net.Conn, error) {
	if e.missing > 0 {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	conn, peer := net.Pipe()
	peer.Close()
	return conn, nil
}

// A dial that finds no free descriptor evicts idle connections, at most four, and logs the shortage once.
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
			t.Errorf("%+v: %d evictions, error %v", c, evictions, err)
		}
		if n := strings.Count(log.String(), "event=descriptors_short"); n != min(1, c.missing) {
			t.Errorf("%+v: descriptors_short was logged %d times", c, n)
		}
		if err == nil {
			conn.Close()
		}
	}
}
