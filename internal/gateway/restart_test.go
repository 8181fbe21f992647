package gateway

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

var restarted = flag.Int("restarted", 6, "processes that TestARestartOfAll restarts at once, 60 at most")

const (
	readyIn   = 10 * time.Second // nine in ten restarted processes answer a ping with 200 by then
	slowBy    = 3 * time.Second  // a slow discovery takes so long for its first byte
	backAfter = 3 * time.Second  // an absent one comes back so long after the restart
)

// startRelay stands before a discovery: each session's first byte comes late.
func startRelay(t *testing.T, to string, late time.Duration) string {
	l := must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				time.Sleep(late)
				far, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer far.Close()
				go io.Copy(far, conn)
				io.Copy(conn, far)
			}()
		}
	}()
	return l.Addr().String()
}

// isReady tells whether a gateway answers a ping with 200.
func isReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && got.StatusCode == 200
}

// All processes are restarted at once, by SIGTERM, while discovery is slow, absent, or absent and then back. Those that are told the list
// (`known`, as on the platform) and those that kept it on disk do not wait for discovery; those with neither are ready once it is there.
func TestRestartOfAllGateways(t *testing.T) {
	n := min(max(1, *restarted), 60)
	for _, c := range []struct {
		discovery, list string
	}{{"slow", "known"}, {"absent", "known"}, {"back", "known"}, {"absent", "kept"}, {"slow", "none"}, {"back", "none"}} {
		t.Run(c.discovery+", list "+c.list, func(t *testing.T) {
			cache := must(standin.NewCache("127.0.0.1:0", func(d standin.Request) { answerHit(0, d) }))
			t.Cleanup(cache.Close)
			members := []standin.Endpoint{{ID: "c0", HostPort: cache.Addr, Locality: "town", Flavor: "edge", Phase: "up", Size: 1},
				{ID: "c1", HostPort: cache.Addr, Locality: "hub", Flavor: "origin", Phase: "up", Size: 1}}
			roster := standin.EndpointList(true, members...)
			discovery := func(at string) *standin.Discovery {
				b := must(standin.NewDiscovery(at, 0))
				b.Announce(roster)
				go func() {
					for range b.Subscribed {
					}
				}()
				t.Cleanup(b.Close)
				return b
			}
			first := discovery("127.0.0.1:0")
			slow := startRelay(t, first.Addr, slowBy)
			var config map[string]any
			if err := json.Unmarshal(must(os.ReadFile("../../example/config.json")), &config); err != nil {
				t.Fatal(err)
			}
			delete(config, "listen")
			write := func(dir, bulletin string, known bool) string {
				config["bulletin"] = bulletin
				if delete(config, "known"); known {
					config["known"] = map[string]any{"no": 1, "items": []any{json.RawMessage(`{"no":1,` + roster[1:])}}
				} else if c.list == "none" {
					config["known"] = map[string]any{"no": 0, "items": []any{}}
				}
				path := filepath.Join(dir, "config.json")
				if err := os.WriteFile(path, must(json.Marshal(config)), 0o600); err != nil {
					t.Fatal(err)
				}
				return path
			}
			type gateway struct {
				dir, addr string
				cmd       *exec.Cmd
				out       *syncBuffer
				took      time.Duration
			}
			all := make([]*gateway, n)
			run := func(g *gateway, bulletin string, known bool) {
				g.out = &syncBuffer{}
				g.cmd = exec.Command(program)
				g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+write(g.dir, bulletin, known), "ROUTER_LISTEN="+g.addr)
				if c.list == "kept" {
					settings := filepath.Join(g.dir, "own.jsonnet")
					if err := os.WriteFile(settings, fmt.Appendf(nil, "{ list: { folder: %q } }", filepath.Join(g.dir, "list")), 0o600); err != nil {
						t.Fatal(err)
					}
					g.cmd.Env = append(g.cmd.Env, "FOLDSLIP_SETTINGS="+settings)
				}
				g.cmd.Stderr = g.out
				if err := g.cmd.Start(); err != nil {
					t.Fatal(err)
				}
				its := g.cmd.Process
				t.Cleanup(func() { its.Kill() })
			}
			// ready waits for all and notes how long each took from its start on.
			ready := func(began time.Time) {
				var group sync.WaitGroup
				for _, g := range all {
					group.Go(func() {
						for g.took = -1; time.Since(began) < 2*readyIn; time.Sleep(20 * time.Millisecond) {
							if isReady(g.addr) {
								g.took = time.Since(began)
								return
							}
						}
					})
				}
				group.Wait()
			}
			for i := range all {
				all[i] = &gateway{dir: t.TempDir(), addr: freeAddr()}
				run(all[i], first.Addr, true)
			}
			ready(time.Now())
			if c.list == "kept" {
				time.Sleep(time.Second) // it is written within half of one
			}
			at := slow
			if c.discovery != "slow" {
				at = first.Addr
				first.Close()
			}
			for _, g := range all {
				g.cmd.Process.Signal(syscall.SIGTERM)
			}
			for _, g := range all {
				if err := g.cmd.Wait(); err != nil {
					t.Fatalf("%v\n%s", err, g.out.String())
				}
			}
			began := time.Now()
			for _, g := range all {
				run(g, at, c.list == "known")
			}
			if c.discovery == "back" {
				later := time.AfterFunc(backAfter, func() { discovery(at) })
				defer later.Stop()
			}
			ready(began)
			var took []time.Duration
			late := 0
			for _, g := range all {
				if took = append(took, g.took); g.took < 0 || g.took > readyIn {
					if late++; late == 1 {
						t.Log(g.out.String())
					}
				}
			}
			for _, g := range all { // a slow discovery is heard out where nothing can be had without it
				if c.discovery == "slow" && c.list == "none" && strings.Contains(g.out.String(), "reason=silent") {
					t.Errorf("discovery was asked again while its first answer was under way\n%s", g.out.String())
					break
				}
			}
			slices.Sort(took)
			p := func(q int) time.Duration { return took[min(n-1, (n*q+99)/100-1)].Round(time.Millisecond) }
			t.Logf("%d processes: ready p50 %v, p90 %v, max %v, not within 10 s: %d", n, p(50), p(90), p(100), late)
			if 10*late > n {
				t.Errorf("%d of %d not ready within %v", late, n, readyIn)
			}
		})
	}
}
