package gateway

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/broadcast"
	"foldslip/internal/fleet/broadcast/driver"
	"foldslip/internal/fleet/membership"
	"foldslip/internal/fleet/transport"
)

// runFleetCommand runs a subcommand of foldslip fleet with an admin socket and returns its output.
func runFleetCommand(socket string, args ...string) string {
	out, _ := exec.Command(program, append([]string{"fleet", args[0], "--socket", socket}, args[1:]...)...).CombinedOutput()
	return string(out)
}

// The commands of foldslip fleet report the fleet as the gateway at an
// admin socket sees it. Without a gateway at the socket they say so.
func TestAdminSocketReportsTheFleet(t *testing.T) {
	dir := t.TempDir()
	socket := filepath.Join(dir, "s")
	addr := freeFleetAddr()
	writeOperatorConfig(t, fmt.Sprintf("{ fleet: { listen: %q, socket: %q, expect: 3, folder: %q } }", addr, socket, filepath.Join(dir, "members")))
	t.Setenv("ROUTER_NAME", "n7")
	g := startGateway(t, nil)
	for _, c := range []struct{ args, want string }{
		{"view", "n7 at " + addr + ": alone, sees 1 of 3 (a MINORITY)"},
		{"view --json", `"minority":true`},
		{"members", "n7"},
		{"explain n7", "alive"},
		{"explain n8", `no gateway "n8" is known here`},
	} {
		if got := runFleetCommand(socket, strings.Fields(c.args)...); !strings.Contains(got, c.want) {
			t.Errorf("fleet %s: unexpected output %s", c.args, got)
		}
	}
	if !strings.Contains(g.log.String(), "event=fleet_started name=n7") {
		t.Error("the log has no fleet_started event of n7")
	}
	if got := runFleetCommand(filepath.Join(dir, "none"), "view"); !strings.Contains(got, "see whether the gateway runs") {
		t.Error(got)
	}
}

// fleetPeer is a fleet member that counts the messages from gateways by their first byte.
type fleetPeer struct {
	fleet *membership.Fleet
	mu    sync.Mutex
	count map[byte]int
}

func (p *fleetPeer) onMessage(message []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(message) > 0 {
		p.count[message[0]]++
	}
}

// messageCount returns the number of received messages of a kind.
func (p *fleetPeer) messageCount(kind byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count[kind]
}

// joinFleetAs runs a fleet member in this process until the test ends. It joins the gateway that listens at the seed.
func joinFleetAs(t *testing.T, name, seed string) *fleetPeer {
	t.Helper()
	p := &fleetPeer{count: map[byte]int{}}
	addr := freeFleetAddr()
	parsed := netip.MustParseAddrPort(addr)
	log := slog.New(slog.DiscardHandler)
	counts := &transport.Counts{}
	var err error
	p.fleet, err = membership.New(membership.Settings{
		Name:           name,
		Listen:         addr,
		Advertise:      addr,
		Seeds:          []string{seed},
		MaxMembers:     64,
		ProbeInterval:  200 * time.Millisecond,
		ProbeTimeout:   100 * time.Millisecond,
		GossipInterval: 40 * time.Millisecond,
		ReapAfter:      time.Hour,
		SettleAfter:    300 * time.Millisecond,
		RejoinInterval: time.Second,
	}, membership.Dependencies{
		Log:             log,
		Now:             time.Now,
		ReadFile:        os.ReadFile,
		TransportCounts: counts,
		OnMessage:       p.onMessage,
		OpenTransport:   func() (memberlist.Transport, error) { return transport.Listen(parsed, parsed, counts, log) },
	})
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	ended := make(chan error, 1)
	go func() { ended <- p.fleet.Run(stop) }()
	t.Cleanup(func() {
		close(stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p
}

// startInFleet starts gateway n7 with additional fleet settings and peer n8. It returns when both see each other.
func startInFleet(t *testing.T, socket, moreSettings string) (*testGateway, *fleetPeer) {
	t.Helper()
	addr := freeFleetAddr()
	writeOperatorConfig(t, fmt.Sprintf("{ fleet: { listen: %q, socket: %q, probe_ms: 200, probe_timeout_ms: 100, gossip_ms: 40, settle_ms: 300%s } }",
		addr, socket, moreSettings))
	t.Setenv("ROUTER_NAME", "n7")
	g := startGateway(t, nil)
	peer := joinFleetAs(t, "n8", addr)
	waitForFleet(t, "both members see each other", func() bool {
		return peer.fleet.State().Live == 2 && strings.Contains(g.log.String(), "event=fleet_member name=n8 state=alive")
	})
	return g, peer
}

// waitForFleet waits for a condition, for as long as the fleet may take to meet it.
func waitForFleet(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after 20 s waiting for: %s", what)
		}
	}
}

// announcePurges makes discovery send ten purges.
func (g *testGateway) announcePurges() {
	for i := range 10 {
		g.discovery.Announce(fmt.Sprintf(`{"recall":{"item":"%016x","issued":%d}}`, i+1, time.Now().UnixMilli()))
	}
}

// If fleet.broadcast is not set, the broadcast does not run. No
// datagrams of its kind are sent, and operators are told that it is off.
func TestNoBroadcastUnlessConfigured(t *testing.T) {
	for name, moreSettings := range map[string]string{
		"unset":                 "",
		"with a locality":       ", region: 'r', zone: 'z', site: 's'",
		"with purges by gossip": ", purges: true",
	} {
		t.Run(name, func(t *testing.T) {
			socket := filepath.Join(t.TempDir(), "s")
			g, peer := startInFleet(t, socket, moreSettings)
			g.announcePurges()
			time.Sleep(3 * time.Second)
			if n := peer.messageCount(broadcast.Kind); n > 0 {
				t.Errorf("%d datagrams of the broadcast, expected none", n)
			}
			if got := runFleetCommand(socket, "broadcast"); !strings.Contains(got, "this gateway spreads no purges by broadcast") || !strings.Contains(got, "set fleet.broadcast") {
				t.Error(got)
			}
		})
	}
}

// If fleet.broadcast is set, purges of the discovery watch are sent
// to other gateways, and operators see which purges were applied.
func TestBroadcastWhereConfigured(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	g, peer := startInFleet(t, socket, ", broadcast: true, region: 'r', zone: 'z', site: 's'")
	g.announcePurges()
	waitForFleet(t, "the peer receives purges", func() bool { return peer.messageCount(broadcast.Kind) > 0 })
	var report driver.Report
	waitForFleet(t, "all ten purges are applied", func() bool {
		return json.Unmarshal([]byte(runFleetCommand(socket, "broadcast", "--json")), &report) == nil && report.Applied == 10
	})
	latest := report.Latest
	if len(latest) != 10 || latest[9].Number != 10 || latest[9].Object != "000000000000000a" || latest[9].FromPeer || latest[9].AtUptimeMS > report.UptimeMS {
		t.Errorf("unexpected latest purges: %+v", latest)
	}
	if err := json.Unmarshal([]byte(runFleetCommand(socket, "broadcast", "--json", "--after", "9")), &report); err != nil || len(report.Latest) != 1 {
		t.Errorf("report after purge 9: %+v, error %v", report.Latest, err)
	}
	for _, want := range []string{`n7 in region "r", zone "z", site "s"`, "of 2 live", "whole: nothing", "0 unreadable", "purges that counted here 10"} {
		if got := runFleetCommand(socket, "broadcast"); !strings.Contains(got, want) {
			t.Errorf("%q is not in the output %s", want, got)
		}
	}
	if strings.Contains(g.log.String(), "event=fleet_broadcast") {
		t.Error("fleet_broadcast was logged without a change of mode")
	}
}
