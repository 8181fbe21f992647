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
	"foldslip/internal/lab/testbed"
)

const (
	waitTimeout     = 10 * time.Second // long enough on a busy machine
	clientTimeout   = 10 * time.Second
	testDescriptors = 100
	exampleConfig   = "../../example/config.json"
	// Ports of the addresses that freeAddr and freeFleetAddr return.
	httpPort  = ":10080"
	fleetPort = ":7946"
)

// program is the path of the gateway's executable.
var program string

// TestMain builds the program. The tests start it and connect to it
// over sockets. All other processes of the system are stand-ins.
func TestMain(m *testing.M) {
	var remove func()
	program, remove = testbed.BuildProgram()
	code := m.Run()
	remove()
	os.Exit(code)
}

// testGateway is a running gateway with stand-ins for discovery and for its caches: two edges,
// a parent and the origin. The parent and the origin reset the connection of each request.
type testGateway struct {
	t          *testing.T
	edges      []*standin.Cache
	endpoints  []standin.Endpoint
	discovery  *standin.Discovery
	addr       string
	cmd        *exec.Cmd
	configPath string
	ended      chan error
	log        syncBuffer
	lastID     int
}

// syncBuffer is a buffer that a process writes to while the test reads it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the buffer.
func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// String returns everything that has been written.
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

// readSources reads the program's source files once. The go command then reruns
// the tests when the program has changed, instead of reusing cached results.
var readSources = sync.OnceFunc(func() {
	for _, files := range []string{"../*/*.go", "../../cmd/*/*.go"} {
		for _, path := range must(filepath.Glob(files)) {
			must(os.ReadFile(path))
		}
	}
})

// startGateway starts a gateway. handle serves the requests of
// both edges. changes replace top-level keys of the configuration.
func startGateway(t *testing.T, handle func(edge int, request standin.Request), changes ...map[string]any) *testGateway {
	t.Helper()
	return startGatewayWith(t, testDescriptors, nil, handle, changes...)
}

// startGatewayWith starts a gateway whose process may hold the given number of descriptors and inherits the open files.
func startGatewayWith(t *testing.T, descriptors int, files []*os.File, handle func(edge int, request standin.Request), changes ...map[string]any) *testGateway {
	t.Helper()
	readSources()
	g := &testGateway{t: t, ended: make(chan error, 1)}
	for i := range 2 {
		g.edges = append(g.edges, must(standin.NewCache("127.0.0.1:0", func(request standin.Request) { handle(i, request) })))
	}
	unreachable := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) { request.Reset() }))
	g.discovery = must(standin.NewDiscovery("127.0.0.1:0", 1))
	for i, kind := range []string{"edge", "edge", "parent", "origin"} {
		endpoint := standin.Endpoint{ID: fmt.Sprintf("c%d", i), HostPort: unreachable.Addr, Locality: "hub", Flavor: kind, Phase: "up", Size: 1}
		if i < len(g.edges) {
			endpoint.HostPort = g.edges[i].Addr
			endpoint.Locality = "town"
		}
		g.endpoints = append(g.endpoints, endpoint)
	}
	g.addr = freeAddr()
	g.configPath = g.writeConfig(changes...)
	g.start(descriptors, files)
	g.waitFor("ping with status 200", func() bool { return isReady(g.addr) })
	return g
}

// start starts the program and kills it when the test ends. The test fails if the log holds a fault.
func (g *testGateway) start(descriptors int, files []*os.File) {
	g.t.Helper()
	g.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", descriptors, program))
	g.cmd.ExtraFiles = files
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+g.configPath, "ROUTER_LISTEN="+g.addr)
	g.cmd.Stdout = &g.log
	g.cmd.Stderr = &g.log
	if err := g.cmd.Start(); err != nil {
		g.t.Fatal(err)
	}
	go func() { g.ended <- g.cmd.Wait() }()
	g.t.Cleanup(func() {
		g.cmd.Process.Kill()
		for _, fault := range []string{"DATA RACE", "event=policy_fault", "panic:"} {
			if strings.Contains(g.log.String(), fault) {
				g.t.Errorf("the log holds %s", fault)
			}
		}
		if g.t.Failed() {
			g.t.Log(g.log.String())
		}
	})
}

// isReady reports whether a gateway answers a ping with 200.
func isReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

var addrCount atomic.Uint32

// freeAddr returns an address that nothing else uses during the test. It is a separate
// loopback address, with a port below the range from which connections get random ports.
func freeAddr() string {
	for {
		n, pid := addrCount.Add(1), os.Getpid()
		addr := fmt.Sprintf("127.%d.%d.%d"+httpPort, 1+pid>>8%250, pid%256, 1+n%250)
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
}

// freeFleetAddr returns an unused address for a fleet member.
func freeFleetAddr() string { return strings.Replace(freeAddr(), httpPort, fleetPort, 1) }

// readExample returns the example's configuration.
func readExample() (example map[string]any) {
	if err := json.Unmarshal(must(os.ReadFile(exampleConfig)), &example); err != nil {
		panic(err)
	}
	return example
}

// knownEvents returns a complete endpoint list as the known events of a configuration.
func knownEvents(endpoints []standin.Endpoint) map[string]any {
	return map[string]any{"no": 1, "items": []any{json.RawMessage(`{"no":1,` + standin.EndpointList(true, endpoints...)[1:])}}
}

// writeConfig writes the example's configuration with the addresses of the test's
// stand-ins and with changes to top-level keys. It returns the path of the file.
func (g *testGateway) writeConfig(changes ...map[string]any) string {
	g.t.Helper()
	config := readExample()
	config["bulletin"] = g.discovery.Addr
	config["known"] = knownEvents(g.endpoints)
	config["settings"].(map[string]any)["classes"].([]any)[1].(map[string]any)["effect"] = "at_most_once"
	for _, change := range changes {
		maps.Copy(config, change)
	}
	path := filepath.Join(g.t.TempDir(), "config.json")
	if err := os.WriteFile(path, must(json.Marshal(config)), 0o600); err != nil {
		g.t.Fatal(err)
	}
	return path
}

// writeOperatorConfig writes the operators' configuration and makes the gateways of the test read it.
func writeOperatorConfig(t testing.TB, text string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operators.jsonnet")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("FOLDSLIP_SETTINGS", path)
}

// settingsWithPurgeGrace returns the example's settings with another purge grace period, in microseconds.
func settingsWithPurgeGrace(grace int) map[string]any {
	example := map[string]any{"settings": readExample()["settings"]}
	example["settings"].(map[string]any)["specifics"].(map[string]any)["obey_after"] = grace
	return example
}

// waitFor waits until a condition holds. It fails the test after waitTimeout.
func (g *testGateway) waitFor(what string, condition func() bool) {
	g.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.t.Fatalf("timed out waiting for %s\n%s", what, g.log.String())
		}
	}
}

// waitLogged waits until the log contains a text.
func (g *testGateway) waitLogged(text string) {
	g.t.Helper()
	g.waitFor(text+" in the log", func() bool { return strings.Contains(g.log.String(), text) })
}

// signal sends a signal to the gateway.
func (g *testGateway) signal(signal syscall.Signal) { g.cmd.Process.Signal(signal) }

// expectEnd waits for the process to exit without an error.
func (g *testGateway) expectEnd(timeout time.Duration) {
	g.t.Helper()
	select {
	case err := <-g.ended:
		if err != nil {
			g.t.Errorf("the gateway exited with %v", err)
		}
	case <-time.After(timeout):
		g.t.Error("the gateway is still running")
	}
}

// client is a client's connection to the gateway.
type client struct {
	net.Conn
	in *bufio.Reader
}

func (g *testGateway) dial() *client {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(clientTimeout))
	return &client{conn, bufio.NewReader(conn)}
}

// lookup returns the text of a lookup request with additional header lines.
func (g *testGateway) lookup(kind, object string, headers ...string) string {
	g.lastID++
	return fmt.Sprintf("GET /call/%s/%s/part-3 HTTP/1.1\r\nHost: x\r\nX-Job-Id: %016x\r\nX-Group: 17\r\nX-Ram-Kb: 40.5\r\n%s\r\n",
		kind, object, g.lastID, strings.Join(headers, ""))
}

// response reads a response and its body.
func (c *client) response(t *testing.T) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// sendLookup sends a lookup on a new connection and reads the response.
func (g *testGateway) sendLookup(kind, object string, headers ...string) (*http.Response, string) {
	g.t.Helper()
	c := g.dial()
	defer c.Close()
	io.WriteString(c, g.lookup(kind, object, headers...))
	return c.response(g.t)
}

func (g *testGateway) expectStatus(status int, got *http.Response) {
	g.t.Helper()
	if got.StatusCode != status {
		g.t.Fatalf("status %d, expected %d", got.StatusCode, status)
	}
}

// answerHit responds with a fresh copy of the object.
func answerHit(_ int, request standin.Request) {
	request.Hit(time.Now(), "hit", "of "+request.Fields["k"])
}

// mustReceive receives a value from a channel. If none arrives within
// waitTimeout, it fails the test, so that the test run does not hang.
func mustReceive[T any](t *testing.T, from chan T) (received T) {
	t.Helper()
	select {
	case received = <-from:
	case <-time.After(waitTimeout):
		t.Fatal("no value was received in time")
	}
	return received
}
