package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"foldslip/internal/env"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
	"foldslip/internal/config"
)

func TestDescriptorShares(t *testing.T) {
	all := &config.Config{List: &config.EndpointStore{}, Routing: &config.Routing{Socket: "s", Folder: "f"}, Fleet: &config.Fleet{Socket: "s"}}
	for _, c := range []struct {
		told  int
		held  uint64
		own   *config.Config
		doors bool
		want  descriptorShares
	}{
		{1024, 1024, &config.Config{}, false, descriptorShares{12, 0, 512, 500}}, // the platform's scored days
		{4096, 1024, &config.Config{}, false, descriptorShares{12, 0, 512, 500}},
		{1024, 100, &config.Config{}, false, descriptorShares{12, 0, 50, 38}},
		{0, 1024, &config.Config{}, true, descriptorShares{12, 128, 512, 372}},
		{1024, 0, all, false, descriptorShares{78, 0, 512, 434}},
		{20000, 20000, &config.Config{}, false, descriptorShares{12, 0, 4096, 15892}},
		{0, 1 << 63, &config.Config{}, false, descriptorShares{12, 0, 4096, 16384}},
		{0, 0, &config.Config{}, false, descriptorShares{0, 0, 1, 16384}},
		{2, 100, &config.Config{}, false, descriptorShares{12, 0, 1, 4}}, // too few for all: what must be had all the same
	} {
		got := shareDescriptors(c.told, c.held, c.own, c.doors)
		if got != c.want {
			t.Errorf("%d told, %d held: %+v, expected %+v", c.told, c.held, got, c.want)
		}
		if n := got.Process + got.Extproc + got.Clients + got.Caches; c.told >= 64 && n > c.told {
			t.Errorf("%d told, %d given out", c.told, n)
		}
	}
}

// openDescriptors is how many descriptors the program holds.
func (s *testGateway) openDescriptors() int {
	s.t.Helper()
	return len(must(os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid))))
}

// Clients and connections to 24 caches fill the descriptors while discovery is down. It comes back and tells that all of them drain and
// that a new one has started: within 2 s the watch has a descriptor, the new cache a connection and a client its answer from it. The
// second story's program is started with 14 files open that it does not know of, so that its count of them is wrong.
func TestDiscoveryReturnsWhileDescriptorsAreExhausted(t *testing.T) {
	for name, more := range map[string]int{"counted": 0, "inherited": 14} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var files []*os.File
			for range more {
				f := must(os.Open(os.DevNull))
				t.Cleanup(func() { f.Close() })
				files = append(files, f)
			}
			s := startGatewayWith(t, 40, files, answerHit, changedSettings(func(map[string]any) {}))
			receiveSoon(t, s.bulletin.Subscribed)
			var old []standin.Endpoint
			for i := range 24 {
				c := must(standin.NewCache("127.0.0.1:0", func(d standin.Request) { answerHit(0, d) }))
				t.Cleanup(c.Close)
				m := s.members[0]
				m.ID, m.HostPort = fmt.Sprint("old", i), c.Addr
				old = append(old, m)
			}
			s.bulletin.Announce(standin.EndpointList(false, old...))
			at := s.bulletin.Addr
			s.bulletin.Close()
			once := func(n int) (int, string) { // a client that never closes
				conn, err := net.Dial("tcp", s.addr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { conn.Close() })
				conn.SetDeadline(time.Now().Add(4 * time.Second))
				io.WriteString(conn, s.lookup("segment", fmt.Sprint("o", n)))
				got, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return 0, err.Error()
				}
				body, _ := io.ReadAll(got.Body)
				return got.StatusCode, string(body)
			}
			ask := func(n int) (int, string) { // a request that crosses the close of its idle connection is sent once more (PROTOCOL)
				status, body := once(n)
				if status == 0 {
					status, body = once(n)
				}
				return status, body
			}
			refused := 0
			for n := range 120 {
				if status, _ := ask(n); status != 200 {
					refused++
				}
			}
			if refused > 0 {
				t.Errorf("%d of 120 lookups not answered with 200 while discovery was down", refused)
			}
			t.Logf("%d descriptors of 40 as discovery comes back", s.openDescriptors())
			fresh := must(standin.NewCache("127.0.0.1:0", func(d standin.Request) { d.Hit(time.Now(), "hit", "fresh") }))
			t.Cleanup(fresh.Close)
			again := must(standin.NewDiscovery(at, 1))
			t.Cleanup(again.Close)
			back := time.Now()
			for i := range old {
				old[i].Phase = "draining"
			}
			two := s.members[:2]
			two[0].Phase, two[1].Phase = "draining", "draining"
			m := s.members[0]
			m.ID, m.HostPort, m.Phase = "fresh", fresh.Addr, "up"
			again.Announce(standin.EndpointList(false, old...)) // the event it holds, once more
			again.Announce(standin.EndpointList(false, append(append(old, two...), m)...))
			for n := 200; ; n++ {
				status, body := ask(n)
				if status == 200 && body == "fresh" {
					t.Logf("%v after its return a client has the new cache's answer", time.Since(back).Round(time.Millisecond))
					break
				}
				if time.Since(back) > 2*time.Second {
					t.Fatalf("2 s after discovery came back a client has %d %q", status, body)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if took := time.Since(back); took > 2*time.Second {
				t.Errorf("after %v", took)
			}
		})
	}
}

// exhaustedEnv is a ground that has no descriptor for a dial until so many are given up.
type exhaustedEnv struct {
	env.Environment
	wants int
}

func (d *exhaustedEnv) Dial(*env.Lifetime, string, time.Duration) (net.Conn, error) {
	if d.wants > 0 {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	c, far := net.Pipe()
	far.Close()
	return c, nil
}

// A dial without a descriptor has others give theirs up, four times at most, and says so once.
func TestDialWithoutDescriptors(t *testing.T) {
	for _, c := range []struct{ wants, idle, asked int }{{0, 9, 0}, {1, 9, 1}, {4, 9, 4}, {5, 9, 4}, {2, 1, 2}} {
		var log bytes.Buffer
		d := &exhaustedEnv{Environment: env.NewSystem(&log, slog.LevelWarn), wants: c.wants}
		idle, asked := c.idle, 0
		f := &evictingEnv{Environment: d, evictIdle: func() bool {
			if asked++; idle == 0 {
				return false
			}
			idle--
			d.wants--
			return true
		}}
		conn, err := f.Dial(nil, "", 0)
		if asked != c.asked || (err == nil) != (c.wants <= min(c.idle, maxEvictionsPerDial)) {
			t.Errorf("%+v: asked %d times, %v", c, asked, err)
		}
		if n := strings.Count(log.String(), "event=descriptors_short"); n != min(1, c.wants) {
			t.Errorf("%+v: told %d times", c, n)
		}
		if err == nil {
			conn.Close()
		}
	}
}
