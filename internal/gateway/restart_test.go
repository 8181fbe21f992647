package gateway

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
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

var restarted = flag.Int("restarted", 6, "number of processes that TestRestartOfAllGateways restarts at once, at most 60")

const (
	maxRestarted         = 60
	readyTimeout         = 10 * time.Second // nine in ten restarted processes must answer a ping with 200 within this time
	slowDiscoveryDelay   = 3 * time.Second  // time to the first byte of a slow discovery
	discoveryReturnDelay = 3 * time.Second  // time from the restart to the return of an absent discovery
)

// States of discovery at the restart, and sources of the gateways' endpoint list.
const (
	discoverySlow    = "slow"
	discoveryAbsent  = "absent"
	discoveryReturns = "back" // absent at first, then back
	listKnown        = "known"
	listStored       = "kept"
	listNone         = "none"
)

// startRelay starts a relay to a discovery. The relay delays the first byte of each session.
func startRelay(t *testing.T, to string, delay time.Duration) (addr string) {
	t.Helper()
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relay(conn, to, delay)
		}
	}()
	return listener.Addr().String()
}

func relay(conn net.Conn, to string, delay time.Duration) {
	defer conn.Close()
	time.Sleep(delay)
	target, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer target.Close()
	go io.Copy(target, conn)
	io.Copy(conn, target)
}

// restartTest restarts several gateways at once while discovery is in a given state.
type restartTest struct {
	t         *testing.T
	discovery string
	list      string
	endpoints []standin.Endpoint
	gateways  []*restartedGateway
}

// restartedGateway is the process of one gateway.
type restartedGateway struct {
	dir, addr string
	cmd       *exec.Cmd
	log       *syncBuffer
	readyIn   time.Duration // time from the last start until it was ready; negative: it was not
}

// startDiscovery starts a discovery that sends the endpoint list.
func (r *restartTest) startDiscovery(addr string) *standin.Discovery {
	discovery := must(standin.NewDiscovery(addr, 0))
	discovery.Announce(standin.EndpointList(true, r.endpoints...))
	go func() {
		for range discovery.Subscribed {
		}
	}()
	r.t.Cleanup(discovery.Close)
	return discovery
}

// writeConfig writes the configuration of a gateway and returns its path.
func (r *restartTest) writeConfig(dir, discoveryAddr string, hasKnownList bool) string {
	r.t.Helper()
	config := readExample()
	delete(config, "listen")
	delete(config, "known")
	config["bulletin"] = discoveryAddr
	if hasKnownList {
		config["known"] = knownEvents(r.endpoints)
	} else if r.list == listNone {
		config["known"] = map[string]any{"no": 0, "items": []any{}}
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, must(json.Marshal(config)), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

// start starts the process of a gateway.
func (r *restartTest) start(g *restartedGateway, discoveryAddr string, hasKnownList bool) {
	r.t.Helper()
	g.log = &syncBuffer{}
	g.cmd = exec.Command(program)
	g.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+r.writeConfig(g.dir, discoveryAddr, hasKnownList), "ROUTER_LISTEN="+g.addr)
	if r.list == listStored {
		operators := filepath.Join(g.dir, "operators.jsonnet")
		text := fmt.Appendf(nil, "{ list: { folder: %q } }", filepath.Join(g.dir, "list"))
		if err := os.WriteFile(operators, text, 0o600); err != nil {
			r.t.Fatal(err)
		}
		g.cmd.Env = append(g.cmd.Env, "FOLDSLIP_SETTINGS="+operators)
	}
	g.cmd.Stderr = g.log
	if err := g.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	process := g.cmd.Process
	r.t.Cleanup(func() { process.Kill() })
}

// waitReady waits until all gateways are ready and stores the time that each took since startedAt.
func (r *restartTest) waitReady(startedAt time.Time) {
	var group sync.WaitGroup
	for _, g := range r.gateways {
		group.Go(func() {
			for g.readyIn = -1; time.Since(startedAt) < 2*readyTimeout; time.Sleep(20 * time.Millisecond) {
				if isReady(g.addr) {
					g.readyIn = time.Since(startedAt)
					return
				}
			}
		})
	}
	group.Wait()
}

// terminate stops all gateways with SIGTERM. It fails the test if one exits with an error.
func (r *restartTest) terminate() {
	r.t.Helper()
	for _, g := range r.gateways {
		g.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, g := range r.gateways {
		if err := g.cmd.Wait(); err != nil {
			r.t.Fatalf("%v\n%s", err, g.log.String())
		}
	}
}

// run starts n gateways, restarts all of them at once, and waits until they are ready.
func (r *restartTest) run(n int) {
	r.t.Helper()
	first := r.startDiscovery("127.0.0.1:0")
	discoveryAddr := startRelay(r.t, first.Addr, slowDiscoveryDelay)
	for range n {
		g := &restartedGateway{dir: r.t.TempDir(), addr: freeAddr()}
		r.gateways = append(r.gateways, g)
		r.start(g, first.Addr, true)
	}
	r.waitReady(time.Now())
	if r.list == listStored {
		time.Sleep(time.Second) // the list is written within half a second
	}
	if r.discovery != discoverySlow {
		discoveryAddr = first.Addr
		first.Close()
	}
	r.terminate()
	restartedAt := time.Now()
	for _, g := range r.gateways {
		r.start(g, discoveryAddr, r.list == listKnown)
	}
	if r.discovery == discoveryReturns {
		comesBack := time.AfterFunc(discoveryReturnDelay, func() { r.startDiscovery(discoveryAddr) })
		defer comesBack.Stop()
	}
	r.waitReady(restartedAt)
}

// check fails the test unless nine in ten gateways were ready within readyTimeout.
func (r *restartTest) check() {
	r.t.Helper()
	var readyIn []time.Duration
	late := 0
	for _, g := range r.gateways {
		readyIn = append(readyIn, g.readyIn)
		if g.readyIn < 0 || g.readyIn > readyTimeout {
			late++
			if late == 1 {
				r.t.Log(g.log.String())
			}
		}
	}
	for _, g := range r.gateways { // without a list, a gateway must wait for a slow discovery
		if r.discovery == discoverySlow && r.list == listNone && strings.Contains(g.log.String(), "reason=silent") {
			r.t.Errorf("the gateway reconnected to discovery while its first response was under way\n%s", g.log.String())
			break
		}
	}
	slices.Sort(readyIn)
	n := len(readyIn)
	percentile := func(p int) time.Duration { return readyIn[min(n-1, (n*p+99)/100-1)].Round(time.Millisecond) }
	r.t.Logf("%d processes: ready p50 %v, p90 %v, max %v, not within 10 s: %d", n, percentile(50), percentile(90), percentile(100), late)
	if 10*late > n {
		r.t.Errorf("%d of %d not ready within %v", late, n, readyTimeout)
	}
}

// All processes are restarted at once, by SIGTERM, while discovery is slow, absent, or absent and
// then back. Gateways that have the endpoint list from their configuration (as on the platform) or
// from disk must not wait for discovery. Gateways with neither must be ready once discovery responds.
func TestRestartOfAllGateways(t *testing.T) {
	n := min(max(1, *restarted), maxRestarted)
	for _, c := range []struct{ discovery, list string }{
		{discoverySlow, listKnown},
		{discoveryAbsent, listKnown},
		{discoveryReturns, listKnown},
		{discoveryAbsent, listStored},
		{discoverySlow, listNone},
		{discoveryReturns, listNone},
	} {
		t.Run(c.discovery+", list "+c.list, func(t *testing.T) {
			cache := must(standin.NewCache("127.0.0.1:0", func(request standin.Request) { answerHit(0, request) }))
			t.Cleanup(cache.Close)
			r := &restartTest{t: t, discovery: c.discovery, list: c.list, endpoints: []standin.Endpoint{
				{ID: "c0", HostPort: cache.Addr, Locality: "town", Flavor: "edge", Phase: "up", Size: 1},
				{ID: "c1", HostPort: cache.Addr, Locality: "hub", Flavor: "origin", Phase: "up", Size: 1}}}
			r.run(n)
			r.check()
		})
	}
}
