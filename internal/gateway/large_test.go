package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// largeList is how many caches and how many gateways the large fleet's test tells one gateway of.
const largeList = 1100

// One gateway that is told 1,100 caches and 1,100 gateways starts, serves from caches all over the list, and drains at SIGTERM.
func TestLargeLists(t *testing.T) {
	var members []standin.Endpoint
	came := make(chan string, largeList)
	for i := range largeList {
		id := fmt.Sprintf("large-%d", i)
		cache := must(standin.NewCache("127.0.0.1:0", func(d standin.Request) {
			select {
			case came <- id:
			default:
			}
			d.Hit(time.Now(), "hit", "body")
		}))
		t.Cleanup(cache.Close)
		members = append(members, standin.Endpoint{ID: id, HostPort: cache.Addr, Locality: "town", Flavor: "edge", Phase: "up", Size: 1})
	}
	var seeds []string
	for i := range largeList {
		seeds = append(seeds, fmt.Sprintf("127.254.%d.%d:7946", i/200, 1+i%200))
	}
	dir := t.TempDir()
	settings := filepath.Join(dir, "own.jsonnet")
	at := strings.Replace(freeAddr(), ":10080", ":7946", 1)
	text := fmt.Sprintf("{ fleet: { listen: %q, expect: %d, folder: %q, seeds: %s } }", at, largeList, filepath.Join(dir, "kept"), must(json.Marshal(seeds)))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("FOLDSLIP_SETTINGS", settings)
	t.Setenv("ROUTER_NAME", "n7")

	known := map[string]any{"known": map[string]any{"no": 1, "items": []any{json.RawMessage(`{"no":1,` + standin.EndpointList(true, members...)[1:])}}}
	s := startGatewayWith(t, 4096, nil, nil, known)
	asked := map[string]bool{}
	for i := range 200 {
		c := s.dial()
		io.WriteString(c, s.lookup("segment", fmt.Sprint("object-", i)))
		if got, body := c.answer(t); got.StatusCode != 200 || body != "body" {
			t.Fatalf("lookup %d: status %d, %q", i, got.StatusCode, body)
		}
		c.Close()
		asked[<-came] = true
	}
	if len(asked) < 150 { // 200 objects over 1,100 caches fall on some 183
		t.Errorf("only %d caches were asked", len(asked))
	}
	last := s.dial()
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitFor("word of stopping", func() bool { return strings.Contains(s.out.String(), "event=stopping") })
	io.WriteString(last, s.lookup("segment", "last"))
	if got, _ := last.answer(t); got.StatusCode != 200 {
		t.Errorf("a lookup as it drains: status %d", got.StatusCode)
	}
	select {
	case err := <-s.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("still running")
	}
	if conn, err := net.Dial("tcp", s.addr); err == nil {
		conn.Close()
		t.Error("it still accepts")
	}
}
