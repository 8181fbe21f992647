package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// After SIGTERM the gateway still accepts connections, answers all
// lookups, closes idle connections and exits without an error.
func TestTerminate(t *testing.T) {
	received := make(chan standin.Request, 9)
	g := startGateway(t, func(_ int, request standin.Request) { received <- request })
	early := g.dial()
	idle := g.dial()
	io.WriteString(early, g.lookup("segment", "early"))
	first := mustReceive(t, received)
	g.signal(syscall.SIGTERM)
	g.waitLogged("event=stopping")
	late := g.dial()
	io.WriteString(late, g.lookup("segment", "late"))
	second := mustReceive(t, received)
	time.Sleep(time.Second)
	second.Hit(time.Now(), "hit", "late")
	first.Hit(time.Now(), "hit", "early")
	for c, want := range map[*client]string{early: "early", late: "late"} {
		if response, body := c.response(t); response.StatusCode != 200 || body != want || !response.Close {
			t.Errorf("status %d, body %q, announces the close of the connection: %v", response.StatusCode, body, response.Close)
		}
	}
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("read from the idle connection: %v, expected EOF", err)
	}
	g.expectEnd(5 * time.Second)
}

// A gateway that cannot start logs the error in one line.
func TestStartErrors(t *testing.T) {
	g := startGateway(t, answerHit)
	for name, path := range map[string]string{
		"missing file":      filepath.Join(t.TempDir(), "none"),
		"address in use":    g.writeConfig(),
		"unusable settings": g.writeConfig(map[string]any{"settings": map[string]any{"classes": 3}}),
		"invalid seed":      g.writeConfig(map[string]any{"seed": "?"}),
		"unknown flavor": g.writeConfig(map[string]any{"known": json.RawMessage(`{"no":1,"items":[{"no":1,` +
			standin.EndpointList(true, standin.Endpoint{ID: "c", HostPort: "127.0.0.1:1", Flavor: "odd", Phase: "up"})[1:] + `]}`)}),
	} {
		cmd := exec.Command(program)
		cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+path, "ROUTER_LISTEN="+g.addr)
		out, err := cmd.CombinedOutput()
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte("event=ended")) {
			t.Errorf("%s: %v, %s", name, err, out)
		}
	}
}
