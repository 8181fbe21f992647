package gateway

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldslip/example/standin"
)

// edgeCounts counts the attempts at each edge.
type edgeCounts struct {
	mu       sync.Mutex
	attempts [2]int
}

// handle counts an attempt at an edge and responds with a copy.
func (c *edgeCounts) handle(edge int, request standin.Request) {
	c.mu.Lock()
	c.attempts[edge]++
	c.mu.Unlock()
	request.Hit(time.Now(), "hit", "x")
}

// expectAllAt sends lookups and checks that the attempts of all of them go to one edge.
func (c *edgeCounts) expectAllAt(g *testGateway, edge int) {
	g.t.Helper()
	const lookups = 20
	c.mu.Lock()
	c.attempts = [2]int{}
	c.mu.Unlock()
	for i := range lookups {
		response, _ := g.sendLookup("segment", fmt.Sprint("object", i))
		g.expectStatus(200, response)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts[edge] != lookups {
		g.t.Errorf("attempts by edge %v, expected all at edge %d\n%s", c.attempts, edge, g.log.String())
	}
}

// Routes decide which caches get the lookups. SIGHUP applies changed
// routes. After a restart the confirmed version of the routes is active.
func TestRoutes(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "operators.jsonnet")
	write := func(cache string) {
		text := fmt.Sprintf(`{ routing: { folder: '%s/versions', pools: { some: { names: ['%s'], limits: { lookups_a_second: 1000 } } },
routes: [{ name: 'all', to: [{ pool: 'some' }] }] } }`, dir, cache)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var counts edgeCounts
	write("c0")
	t.Setenv("FOLDSLIP_SETTINGS", path)
	g := startGateway(t, counts.handle)
	counts.expectAllAt(g, 0)
	write("c1")
	g.signal(syscall.SIGHUP)
	g.waitLogged("version=2 stage=applied")
	counts.expectAllAt(g, 1)
	write("c7") // there is no such cache
	g.signal(syscall.SIGHUP)
	g.waitLogged("c7 is not in the list")
	counts.expectAllAt(g, 1) // the applied change that waits for its confirmation stays active
	write("c1")
	g.signal(syscall.SIGHUP)
	g.waitLogged("version=2 stage=confirmed")
	g.cmd.Process.Kill()
	<-g.ended
	write("c0") // stored versions take precedence over the file: the confirmed version is active
	restarted := startGateway(t, counts.handle)
	counts.expectAllAt(restarted, 1)
}
