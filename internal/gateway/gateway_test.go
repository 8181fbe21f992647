package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

var program string

// The tests start the built program and speak to it over sockets; the other parties are stand-ins.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "foldslip")
	if err == nil {
		program = filepath.Join(dir, "foldslip")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, "foldslip/cmd/foldslip").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Println("FAIL: the program cannot be built:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// testGateway is a gateway among stand-ins: two edges, a parent and the origin, which nothing asks directly.
type testGateway struct {
	t        *testing.T
	edges    []*standin.Cache
	members  []standin.Endpoint
	bulletin *standin.Discovery
	addr     string
	cmd      *exec.Cmd
	path     string // of its configuration
	ended    chan error
	out      syncBuffer
	ids      int
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// sources are read once by a test, so that a kept result of it does not outlive the program it was measured with.
var sources = sync.OnceFunc(func() {
	for _, files := range []string{"../*/*.go", "../../cmd/*/*.go"} {
		for _, path := range must(filepath.Glob(files)) {
			must(os.ReadFile(path))
		}
	}
})

// startGateway starts a stage; handle answers for both edges, change is laid over the configuration.
func startGateway(t *testing.T, handle func(edge int, d standin.Request), change ...map[string]any) *testGateway {
	t.Helper()
	return startGatewayWith(t, 100, nil, handle, change...)
}

// startGatewayWith starts a stage whose program may hold so many descriptors; files are open in it from its start on.
func startGatewayWith(t *testing.T, fds int, files []*os.File, handle func(edge int, d standin.Request), change ...map[string]any) *testGateway {
	t.Helper()
	sources()
	s := &testGateway{t: t, ended: make(chan error, 1)}
	for i := range 2 {
		s.edges = append(s.edges, must(standin.NewCache("127.0.0.1:0", func(d standin.Request) { handle(i, d) })))
	}
	other := must(standin.NewCache("127.0.0.1:0", func(d standin.Request) { d.Reset() }))
	s.bulletin = must(standin.NewDiscovery("127.0.0.1:0", 1))
	for i, flavor := range []string{"edge", "edge", "parent", "origin"} {
		m := standin.Endpoint{ID: fmt.Sprintf("c%d", i), HostPort: other.Addr, Locality: "hub", Flavor: flavor,
			Phase: "up", Size: 1}
		if i < 2 {
			m.HostPort, m.Locality = s.edges[i].Addr, "town"
		}
		s.members = append(s.members, m)
	}
	s.addr = freeAddr()
	s.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", fds, program))
	s.cmd.ExtraFiles = files
	s.path = s.config(change...)
	s.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+s.path, "ROUTER_LISTEN="+s.addr)
	s.cmd.Stdout, s.cmd.Stderr = &s.out, &s.out
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { s.ended <- s.cmd.Wait() }()
	t.Cleanup(func() {
		s.cmd.Process.Kill()
		for _, bad := range []string{"DATA RACE", "event=policy_fault", "panic:"} {
			if strings.Contains(s.out.String(), bad) {
				t.Errorf("%s in the log", bad)
			}
		}
		if t.Failed() {
			t.Log(s.out.String())
		}
	})
	s.waitFor("a ping answered", func() bool {
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			return false
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(time.Second))
		io.WriteString(conn, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
		got, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && got.StatusCode == 200
	})
	return s
}

var addrs atomic.Uint32

// freeAddr is an address that nothing else takes meanwhile: a loopback address of this stage's own, with a port below those
// that connections are given by chance.
func freeAddr() string {
	for {
		n, pid := addrs.Add(1), os.Getpid()
		at := fmt.Sprintf("127.%d.%d.%d:10080", 1+pid>>8%250, pid%256, 1+n%250)
		if l, err := net.Listen("tcp", at); err == nil {
			l.Close()
			return at
		}
	}
}

// config writes the example's configuration with the stage's parties, and changes to its top level.
func (s *testGateway) config(change ...map[string]any) string {
	var c map[string]any
	if err := json.Unmarshal(must(os.ReadFile("../../example/config.json")), &c); err != nil {
		s.t.Fatal(err)
	}
	c["bulletin"] = s.bulletin.Addr
	c["known"] = map[string]any{"no": 1, "items": []any{
		json.RawMessage(`{"no":1,` + standin.EndpointList(true, s.members...)[1:])}}
	c["settings"].(map[string]any)["classes"].([]any)[1].(map[string]any)["effect"] = "at_most_once"
	for _, some := range change {
		maps.Copy(c, some)
	}
	path := filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(path, must(json.Marshal(c)), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// settingsWithGrace is the example's settings with another time to heed a purge, in microseconds.
func settingsWithGrace(grace int) map[string]any {
	var c struct{ Settings map[string]any }
	if err := json.Unmarshal(must(os.ReadFile("../../example/config.json")), &c); err != nil {
		panic(err)
	}
	c.Settings["specifics"].(map[string]any)["obey_after"] = grace
	return map[string]any{"settings": c.Settings}
}

// waitFor waits for a thing to come true, for long enough on a busy machine.
func (s *testGateway) waitFor(what string, true func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); !true(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("no %s\n%s", what, s.out.String())
		}
	}
}

type client struct {
	net.Conn
	in *bufio.Reader
}

func (s *testGateway) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

// lookup is the text of a request.
func (s *testGateway) lookup(kind, object string, more ...string) string {
	s.ids++
	return fmt.Sprintf("GET /call/%s/%s/part-3 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Group: 17\r\nX-Ram-Kb: 40.5\r\n%s\r\n",
		kind, object, s.ids, strings.Join(more, ""))
}

func (c *client) answer(t *testing.T) (*http.Response, string) {
	t.Helper()
	got, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(got.Body)
	if err != nil {
		t.Fatal(err)
	}
	return got, string(body)
}

func (s *testGateway) sendLookup(kind, object string, more ...string) (*http.Response, string) {
	s.t.Helper()
	c := s.dial()
	defer c.Close()
	io.WriteString(c, s.lookup(kind, object, more...))
	return c.answer(s.t)
}

func (s *testGateway) expect(status int, got *http.Response) {
	s.t.Helper()
	if got.StatusCode != status {
		s.t.Fatalf("status %d, expected %d", got.StatusCode, status)
	}
}

func answerHit(_ int, d standin.Request) { d.Hit(time.Now(), "hit", "of "+d.Fields["k"]) }

func TestClients(t *testing.T) {
	t.Run("bytes whole and unchanged, requests in pieces and on one connection", func(t *testing.T) {
		big := strings.Repeat("\r\n\x00 0a HIT - 3\r\n", 16000)[:240000]
		s := startGateway(t, func(_ int, d standin.Request) { d.Hit(time.Now(), "filled", big) })
		c := s.dial()
		for range 3 {
			text := s.lookup("segment", "%6fbject")
			for _, piece := range []string{text[:9], text[9:60], text[60:]} {
				io.WriteString(c, piece)
				time.Sleep(5 * time.Millisecond)
			}
			if got, body := c.answer(t); got.StatusCode != 200 || body != big {
				t.Fatalf("status %d, %d bytes", got.StatusCode, len(body))
			}
		}
		io.WriteString(c, s.lookup("segment", "object", "Connection: close\r\n")+s.lookup("segment", "never"))
		if got, _ := c.answer(t); !got.Close {
			t.Error("the answer does not say that the connection ends")
		}
		if n, _ := io.Copy(io.Discard, c.in); n > 0 {
			t.Errorf("%d bytes after the last answer", n)
		}
	})
	t.Run("the client's copy is the one", func(t *testing.T) {
		s := startGateway(t, func(_ int, d standin.Request) {
			if d.Fields["seen"] != "v1" || d.Fields["c"] != "segment" || d.Fields["k"] != "o" || d.Fields["p"] != "3" {
				d.Respond("NONE", "-")
				return
			}
			d.Respond("VALID", fmt.Sprintf("note=hit,ver=v1,born=%d", time.Now().UnixMilli()))
		})
		got, body := s.sendLookup("segment", "o", "If-None-Match: \"v1\"\r\n")
		if s.expect(304, got); body != "" || got.Header.Get("ETag") != `"v1"` {
			t.Errorf("%q with tag %q", body, got.Header.Get("ETag"))
		}
	})
	t.Run("nacked, with a time to come back", func(t *testing.T) {
		s := startGateway(t, func(_ int, d standin.Request) { d.Respond("SHED", "-") })
		got, _ := s.sendLookup("segment", "o")
		if s.expect(503, got); got.Header.Get("X-Wait-Ms") != "2000" {
			t.Errorf("X-Wait-Ms is %q", got.Header.Get("X-Wait-Ms"))
		}
	})
	t.Run("failed, and not sent again, where it may have run", func(t *testing.T) {
		var mu sync.Mutex
		sends := 0
		s := startGateway(t, func(_ int, d standin.Request) {
			mu.Lock()
			sends++
			mu.Unlock()
			d.Respond("FAULT", "-")
		})
		got, _ := s.sendLookup("page", "o")
		s.expect(502, got)
		if mu.Lock(); sends != 1 {
			t.Errorf("sent %d times", sends)
		}
		mu.Unlock()
	})
	t.Run("a client that leaves is owed nothing, its send is undone", func(t *testing.T) {
		came := make(chan standin.Request, 9)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d })
		c := s.dial()
		io.WriteString(c, s.lookup("segment", "o"))
		d := receiveSoon(t, came)
		c.Close()
		select {
		case id := <-s.edges[0].Cancelled:
			c.check(t, id, d.ID)
		case id := <-s.edges[1].Cancelled:
			c.check(t, id, d.ID)
		case <-time.After(5 * time.Second):
			t.Fatal("not undone")
		}
		d.Hit(time.Now(), "hit", "late") // dropped by its id: the connection stays
		io.WriteString(d.Conn, "")
		c = s.dial()
		io.WriteString(c, s.lookup("segment", "o"))
		next := receiveSoon(t, came)
		if next.Hit(time.Now(), "hit", "ok"); next.Conn != d.Conn {
			t.Error("the late answer ended the connection")
		}
		if _, body := c.answer(t); body != "ok" {
			t.Errorf("got %q", body)
		}
	})
	t.Run("caches that say nothing: an answer by the deadline", func(t *testing.T) {
		s := startGateway(t, func(int, standin.Request) {})
		for allow, most := range map[int]time.Duration{400: 2 * time.Second, 3600000: 6 * time.Second} {
			began := time.Now()
			got, _ := s.sendLookup("segment", "o", fmt.Sprintf("X-Allow-Ms: %d\r\n", allow))
			if s.expect(503, got); time.Since(began) > most {
				t.Errorf("after %v of %d ms", time.Since(began), allow)
			}
		}
	})
	t.Run("at its bounds it nacks, and goes on when there is room", func(t *testing.T) {
		came := make(chan standin.Request, 9)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d },
			map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 0.125, "sockets": 6}}) // one lookup
		first := s.dial()
		io.WriteString(first, s.lookup("segment", "o"))
		d := receiveSoon(t, came)
		second := s.dial()
		for range 2 {
			io.WriteString(second, s.lookup("segment", "o"))
			got, _ := second.answer(t)
			s.expect(503, got)
		}
		d.Hit(time.Now(), "hit", "first")
		if _, body := first.answer(t); body != "first" {
			t.Errorf("got %q", body)
		}
		io.WriteString(second, s.lookup("segment", "o"))
		receiveSoon(t, came).Hit(time.Now(), "hit", "second")
		if _, body := second.answer(t); body != "second" {
			t.Errorf("got %q", body)
		}
	})
	t.Run("a connection past the bound is turned away while all have a lookup", func(t *testing.T) {
		came := make(chan standin.Request, 9)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d }, map[string]any{"limits": map[string]any{"sockets": 2}})
		s.waitFor("end of the ping's connection", func() bool { return strings.Contains(s.out.String(), "reason=closed_by_client") })
		c := s.dial()
		io.WriteString(c, s.lookup("segment", "o"))
		d := receiveSoon(t, came)
		got, _ := s.sendLookup("segment", "o")
		if s.expect(503, got); !got.Close {
			t.Error("left open")
		}
		d.Hit(time.Now(), "hit", "ok")
		got, _ = c.answer(t)
		s.expect(200, got)
	})
	t.Run("silent connections by the hundreds go before usual ones", func(t *testing.T) {
		s := startGateway(t, answerHit) // the stage leaves it 100 descriptors, of which clients get half
		first := s.dial()
		usual := func() {
			t.Helper()
			io.WriteString(first, s.lookup("segment", "o"))
			got, _ := first.answer(t)
			s.expect(200, got)
		}
		usual()
		for range 120 {
			s.dial()
		}
		got, _ := s.sendLookup("segment", "o")
		s.expect(200, got)
		usual()
		s.waitFor("60 of them closed", func() bool { return strings.Count(s.out.String(), "reason=displaced") > 60 })
	})
	t.Run("who says nothing, or half a request, is closed within 3 s of connecting", func(t *testing.T) {
		s := startGateway(t, answerHit)
		began, silent, half := time.Now(), s.dial(), s.dial()
		for range 4 {
			io.WriteString(half, "GET /call/segment/o HTTP/1.1\r\n"[:7])
			time.Sleep(400 * time.Millisecond)
		}
		for _, c := range []*client{silent, half} {
			if _, err := c.in.ReadByte(); err == nil {
				t.Error("answered")
			}
		}
		if took := time.Since(began); took > 3*time.Second || took < 2*time.Second {
			t.Errorf("closed after %v", took)
		}
	})
	t.Run("nothing behind a head with lengths in doubt is read as a lookup", func(t *testing.T) {
		came := make(chan standin.Request, 99)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d })
		for _, both := range [][]string{
			{"Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n"}, {"transfer-encoding:chunked\r\n", "CONTENT-LENGTH: 0\r\n"},
			{"Transfer-Encoding: identity\r\n"}, {"Content-Length: 0\r\n", "Content-Length: 4\r\n"},
			{"Content-Length: -1\r\n"}, {"Content-Length: 60000000\r\n"}, {"Transfer-Encoding : chunked\r\n", "Content-Length: 0\r\n"},
			{"X-Odd: 1\r\n Transfer-Encoding: chunked\r\n"},
		} {
			c := s.dial()
			io.WriteString(c, s.lookup("segment", "first", both...)+"0\r\n\r\n"+s.lookup("segment", "hidden"))
			got, _ := c.answer(t)
			if s.expect(400, got); !got.Close {
				t.Errorf("%q: left open", both)
			}
			if n, _ := io.Copy(io.Discard, c.in); n > 0 {
				t.Errorf("%q: %d bytes after the answer", both, n)
			}
		}
		if len(came) > 0 {
			t.Errorf("%d sends to caches", len(came))
		}
	})
	t.Run("what cannot be a lookup", func(t *testing.T) {
		s := startGateway(t, answerHit)
		open := s.lookup("segment", "o")
		for _, story := range []struct {
			text string
			want int
			ends bool
		}{
			{"GET /call/segment/o HTTP/9\r\n\r\n", 505, true},
			{"nonsense\r\n\r\n", 400, true},
			{strings.Replace(open, "X-Group: 17", "X-Group: 256", 1), 400, true},
			{strings.Replace(open, "part-3", "part-x", 1), 400, true},
			{strings.Replace(open, "/o/", "/o%2/", 1), 400, true},
			{strings.Replace(open, "X-Ram-Kb: 40.5", "X-Ram-Kb: NaN", 1), 400, true},
			{strings.Replace(open, "X-Job-Id: 0", "X-Job-Id: g", 1), 400, true},
			{strings.Replace(open, "X-Ram-Kb: 40.5", "X-Allow-Ms: soon", 1), 400, true},
			{strings.Replace(open, "Host: x", "Host: "+strings.Repeat("x", 20000), 1), 431, true},
			{strings.Replace(open, "GET", "POST", 1), 405, true},
			{strings.Replace(open, "segment", "unknown", 1), 404, false},
			{strings.Replace(open, "/call", "/tell", 1), 404, true},
			{strings.Replace(open, "X-Ram-Kb: 40.5", "X-Allow-Ms: 0", 1), 503, false},
			{open, 200, false},
		} {
			c := s.dial()
			io.WriteString(c, story.text)
			got, _ := c.answer(t)
			if s.expect(story.want, got); story.ends != got.Close {
				t.Errorf("%.40q: connection ends: %v", story.text, got.Close)
			}
			c.Close()
		}
	})
}

func (c *client) check(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%q, expected %q", got, want)
	}
}

func TestCaches(t *testing.T) {
	for name, broken := range map[string]func(d standin.Request){
		"reset amid the bytes":       func(d standin.Request) { d.Conn.Send(d.ID + " HIT ver=v,born=9 900\r\nhalf"); d.Reset() },
		"an unknown word":            func(d standin.Request) { d.Conn.Send(d.ID + " MAYBE - 0\r\n\r\n") },
		"an answer that stops short": func(d standin.Request) { d.Conn.Send(d.ID + " HIT ver=v,born=9 900\r\nhalf") },
		"a length too long":          func(d standin.Request) { d.Conn.Send(d.ID + " HIT ver=v,born=9 240001\r\n") },
		"an endless line":            func(d standin.Request) { d.Conn.Send(strings.Repeat("x", 9000)) },
		"no tag":                     func(d standin.Request) { d.Conn.Send(d.ID + " HIT - 2\r\nno\r\n") },
		"word of a copy the client lacks": func(d standin.Request) {
			d.Respond("VALID", "ver=v1,born=9")
		},
	} {
		t.Run(name+" is sent anew, and no byte of it reaches the client", func(t *testing.T) {
			var first sync.Once
			s := startGateway(t, func(_ int, d standin.Request) {
				bad := false
				if first.Do(func() { bad = true }); bad {
					broken(d)
				} else {
					answerHit(0, d)
				}
			})
			got, body := s.sendLookup("segment", "o")
			if s.expect(200, got); body != "of o" {
				t.Errorf("got %q", body)
			}
		})
	}
	t.Run("an answer to no send and a second copy are passed over, the sends around them go on", func(t *testing.T) {
		came := make(chan standin.Request, 9)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d })
		a, b := s.dial(), s.dial()
		io.WriteString(a, s.lookup("segment", "o"))
		io.WriteString(b, s.lookup("segment", "o"))
		first, second := receiveSoon(t, came), receiveSoon(t, came)
		for range 2 { // whichever of the two it is
			first.Conn.Send("0123456789abcdef HIT - 2\r\nno\r\n")
			first.Hit(time.Now(), "hit", "ok")
		}
		second.Hit(time.Now(), "hit", "ok")
		for _, c := range []*client{a, b} {
			if got, body := c.answer(t); got.StatusCode != 200 || body != "ok" {
				t.Errorf("status %d, %q", got.StatusCode, body)
			}
		}
		io.WriteString(a, s.lookup("segment", "o"))
		if next := receiveSoon(t, came); next.Conn != first.Conn || second.Conn != first.Conn {
			t.Error("the connection was given up")
		}
	})
	t.Run("a connection that falls silent: what waits on it goes to the same cache on a new one", func(t *testing.T) {
		var mu sync.Mutex
		var mute *standin.Conn
		s := startGateway(t, func(_ int, d standin.Request) {
			mu.Lock()
			silent := d.Conn == mute
			if mute == nil {
				mute = d.Conn
			}
			mu.Unlock()
			if !silent {
				answerHit(0, d)
			}
		})
		s.sendLookup("segment", "o")
		began, a, b := time.Now(), s.dial(), s.dial()
		for _, c := range []*client{a, b} {
			io.WriteString(c, s.lookup("segment", "o"))
		}
		for _, c := range []*client{a, b} {
			got, _ := c.answer(t)
			s.expect(200, got)
		}
		if took := time.Since(began); took > 2*time.Second || !strings.Contains(s.out.String(), "reason=silent") {
			t.Errorf("after %v", took)
		}
		if strings.Contains(s.out.String(), "out:") {
			t.Error("the cache was put out")
		}
	})
	t.Run("a connection that left one send without an answer takes no more", func(t *testing.T) {
		came := make(chan standin.Request, 9)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d })
		got, _ := s.sendLookup("segment", "o", "X-Allow-Ms: 500\r\n")
		s.expect(503, got)
		first, c := receiveSoon(t, came), s.dial()
		io.WriteString(c, s.lookup("segment", "o"))
		next := receiveSoon(t, came)
		if next.Hit(time.Now(), "hit", "ok"); next.Conn == first.Conn || next.Conn.LocalAddr().String() != first.Conn.LocalAddr().String() {
			t.Error("sent on the silent connection, or to another cache")
		}
		got, _ = c.answer(t)
		s.expect(200, got)
	})
	t.Run("a refused connection never ran, so a side-effecting lookup goes on elsewhere", func(t *testing.T) {
		s := startGateway(t, answerHit)
		s.edges[0].Close()
		for i := range 8 {
			got, _ := s.sendLookup("page", fmt.Sprint("o", i))
			s.expect(200, got)
		}
	})
	t.Run("a new cache at an old address", func(t *testing.T) {
		s := startGateway(t, answerHit)
		s.sendLookup("segment", "o")
		s.edges[0].Close()
		s.edges[1].Close()
		var mu sync.Mutex
		conns := map[*standin.Conn]bool{}
		again := must(standin.NewCache(s.edges[0].Addr, func(d standin.Request) {
			mu.Lock()
			conns[d.Conn] = true
			mu.Unlock()
			answerHit(0, d)
		}))
		defer again.Close()
		gone, fresh := s.members[1], s.members[0]
		old := s.members[0]
		old.Phase, gone.Phase, fresh.ID = "removed", "removed", "c9"
		s.bulletin.Announce(standin.EndpointList(false, old, gone, fresh))
		s.waitFor("lookup satisfied by the new cache", func() bool {
			got, _ := s.sendLookup("segment", "o")
			return got.StatusCode == 200
		})
		if mu.Lock(); len(conns) != 1 {
			t.Errorf("%d connections", len(conns))
		}
		mu.Unlock()
	})
}

func TestDiscoveryWatch(t *testing.T) {
	for name, story := range map[string]struct {
		grace int
		want  string
	}{
		"a copy older than a purge is not passed on past the grace": {1000, "new"},
		"within the grace it is, if sent for before":                {9000000, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			old, asked, hold := time.Now().Add(-time.Minute), make(chan string, 9), make(chan bool)
			s := startGateway(t, func(_ int, d standin.Request) {
				asked <- d.Fields["oldest"]
				if d.Fields["oldest"] == "" { // as caches do: the old copy, unless bid otherwise
					<-hold
					d.Hit(old, "hit", "old")
				} else {
					d.Hit(time.Now(), "filled", "new")
				}
			}, settingsWithGrace(story.grace))
			c := s.dial()
			io.WriteString(c, s.lookup("segment", "o"))
			<-asked
			s.bulletin.Announce(fmt.Sprintf(`{"recall":{"lot":17,"issued":%d}}`, time.Now().UnixMilli()))
			time.Sleep(300 * time.Millisecond) // for the event to arrive
			close(hold)
			if got, body := c.answer(t); got.StatusCode != 200 || body != story.want {
				t.Errorf("status %d, %q", got.StatusCode, body)
			}
			if got, body := s.sendLookup("segment", "o"); got.StatusCode != 200 || body != "new" {
				t.Errorf("status %d, %q after the purge", got.StatusCode, body)
			}
		})
	}
	t.Run("a draining cache gets nothing new", func(t *testing.T) {
		var mu sync.Mutex
		seen := map[int]int{}
		s := startGateway(t, func(edge int, d standin.Request) {
			mu.Lock()
			seen[edge]++
			mu.Unlock()
			answerHit(0, d)
		})
		m := s.members[0]
		m.Phase = "draining"
		s.bulletin.Announce(standin.EndpointList(false, m))
		time.Sleep(200 * time.Millisecond)
		for i := range 20 {
			s.sendLookup("segment", fmt.Sprint("o", i))
		}
		mu.Lock()
		defer mu.Unlock()
		if seen[0] > 0 || seen[1] != 20 {
			t.Errorf("sends: %v", seen)
		}
	})
	t.Run("cut and mute: taken up again after the last whole event, none twice", func(t *testing.T) {
		s := startGateway(t, answerHit)
		after := func(want int) {
			t.Helper()
			select {
			case got := <-s.bulletin.Subscribed:
				if got != want {
					t.Fatalf("after %d, expected %d", got, want)
				}
			case <-time.After(8 * time.Second):
				t.Fatal("not connected again")
			}
		}
		after(1)
		s.bulletin.Announce(`{"recall":{"item":"o","issued":1764576000123}}`)
		s.bulletin.Disconnect(`{"no":3,"recall":{"item":"half`)
		after(2)
		s.bulletin.Announce(`{"recall":{"lot":"no number"}}`) // unusable: taken up again, and passed over when it comes again
		after(2)
		s.bulletin.Announce(`{"recall":{"item":"p","issued":1764576000123}}`)
		s.bulletin.SetSilent(true)
		after(4)
	})
}

func TestReload(t *testing.T) {
	t.Run("SIGHUP: the new bulletin is asked at once for what follows, nothing is dropped", func(t *testing.T) {
		came := make(chan standin.Request, 9)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d })
		c := s.dial()
		io.WriteString(c, s.lookup("segment", "before"))
		d := receiveSoon(t, came)
		s.bulletin.Announce(`{"recall":{"item":"x","issued":1764576000123}}`)
		next := must(standin.NewDiscovery("127.0.0.1:0", 1))
		next.Announce(`{"recall":{"item":"x","issued":1764576000123}}`)
		m := s.members[0]
		m.Phase = "draining"
		next.Announce(standin.EndpointList(false, m))
		time.Sleep(100 * time.Millisecond) // for the first event to arrive
		must(0, os.WriteFile(s.path, []byte(`{"bulletin":`), 0o600))
		s.cmd.Process.Signal(syscall.SIGHUP)
		s.waitFor("word that the file cannot be used", func() bool { return strings.Contains(s.out.String(), "event=reread_failed") })
		old := s.bulletin
		s.bulletin = next
		must(0, os.Rename(s.config(), s.path))
		for range 3 { // several in a row are as one
			s.cmd.Process.Signal(syscall.SIGHUP)
		}
		select {
		case after := <-next.Subscribed:
			if after != 2 {
				t.Errorf("asked after %d", after)
			}
		case <-time.After(2 * time.Second):
			t.Fatal("not asked")
		}
		if old.Disconnect(""); len(old.Subscribed) > 1 {
			t.Error("the old bulletin was asked again")
		}
		time.Sleep(100 * time.Millisecond) // for the second event to arrive
		d.Hit(time.Now(), "hit", "whole")
		if got, body := c.answer(t); got.StatusCode != 200 || body != "whole" {
			t.Errorf("status %d, %q", got.StatusCode, body)
		}
		for i := range 8 {
			io.WriteString(c, s.lookup("segment", fmt.Sprint("o", i)))
			d := receiveSoon(t, came)
			if d.Hit(time.Now(), "hit", ""); d.Conn.LocalAddr().String() == s.edges[0].Addr {
				t.Error("a send to a cache that the new bulletin told draining")
			}
			c.answer(t)
		}
	})
}

func TestTerminateAndStart(t *testing.T) {
	t.Run("SIGTERM: takes what still comes, answers all, ends well", func(t *testing.T) {
		came := make(chan standin.Request, 9)
		s := startGateway(t, func(_ int, d standin.Request) { came <- d })
		early, idle := s.dial(), s.dial()
		io.WriteString(early, s.lookup("segment", "early"))
		first := receiveSoon(t, came)
		s.cmd.Process.Signal(syscall.SIGTERM)
		s.waitFor("word of stopping", func() bool { return strings.Contains(s.out.String(), "event=stopping") })
		late := s.dial()
		io.WriteString(late, s.lookup("segment", "late"))
		second := receiveSoon(t, came)
		time.Sleep(time.Second)
		second.Hit(time.Now(), "hit", "late")
		first.Hit(time.Now(), "hit", "early")
		for c, want := range map[*client]string{early: "early", late: "late"} {
			if got, body := c.answer(t); got.StatusCode != 200 || body != want || !got.Close {
				t.Errorf("status %d, %q, closes %v", got.StatusCode, body, got.Close)
			}
		}
		if _, err := idle.in.ReadByte(); err != io.EOF {
			t.Errorf("the idle connection: %v", err)
		}
		select {
		case err := <-s.ended:
			if err != nil {
				t.Errorf("ended with %v", err)
			}
		case <-time.After(5 * time.Second):
			t.Error("still running")
		}
	})
	t.Run("what cannot be started says so in one line", func(t *testing.T) {
		s := startGateway(t, answerHit)
		for name, path := range map[string]string{
			"no file":           filepath.Join(t.TempDir(), "none"),
			"address in use":    s.config(),
			"unusable settings": s.config(map[string]any{"settings": map[string]any{"classes": 3}}),
			"a bad seed":        s.config(map[string]any{"seed": "?"}),
			"an unknown flavor": s.config(map[string]any{"known": json.RawMessage(`{"no":1,"items":[{"no":1,` +
				standin.EndpointList(true, standin.Endpoint{ID: "c", HostPort: "127.0.0.1:1", Flavor: "odd", Phase: "up"})[1:] + `]}`)}),
		} {
			cmd := exec.Command(program)
			cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_LISTEN="+s.addr)
			out, err := cmd.CombinedOutput()
			if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte("event=ended")) {
				t.Errorf("%s: %v, %s", name, err, out)
			}
		}
	})
}

// receiveSoon takes what must come; a story that waits in vain says so and does not hang the whole run.
func receiveSoon[T any](t *testing.T, from chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(10 * time.Second):
		t.Fatal("waited in vain")
	}
	return got
}
