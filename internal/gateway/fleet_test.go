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

// Operators ask a gateway of a fleet at its socket; one that knows no fleet says so.
func TestAdminSocketReportsTheFleet(t *testing.T) {
	dir := t.TempDir()
	socket, settings := filepath.Join(dir, "s"), filepath.Join(dir, "own.jsonnet")
	at := strings.Replace(freeAddr(), ":10080", ":7946", 1)
	text := fmt.Sprintf("{ fleet: { listen: %q, socket: %q, expect: 3, folder: %q } }", at, socket, filepath.Join(dir, "kept"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("FOLDSLIP_SETTINGS", settings)
	t.Setenv("ROUTER_NAME", "n7")
	s := startGateway(t, nil)
	ask := func(args ...string) string {
		out, _ := exec.Command(program, append([]string{"fleet"}, args...)...).CombinedOutput()
		return string(out)
	}
	for _, c := range []struct{ args, want string }{
		{"view", "n7 at " + at + ": alone, sees 1 of 3 (a MINORITY)"},
		{"view --json", `"minority":true`},
		{"members", "n7"},
		{"explain n7", "alive"},
		{"explain n8", `no gateway "n8" is known here`},
	} {
		if got := ask(append(strings.Fields(c.args), "--socket", socket)...); !strings.Contains(got, c.want) {
			t.Errorf("fleet %s: %s", c.args, got)
		}
	}
	if !strings.Contains(s.out.String(), "event=fleet_started name=n7") {
		t.Error("its start is not in the log")
	}
	if got := ask("view", "--socket", filepath.Join(dir, "none")); !strings.Contains(got, "see whether the gateway runs") {
		t.Error(got)
	}
}

// fleetPeer is a member of the fleet that takes down what other parts of gateways send it, by its first byte.
type fleetPeer struct {
	mu    sync.Mutex
	kinds map[byte]int
	fleet *membership.Fleet
}

func (p *fleetPeer) onMessage(b []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(b) > 0 {
		p.kinds[b[0]]++
	}
}

func (p *fleetPeer) messagesOf(kind byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kinds[kind]
}

// joinFleetAs is a member of this process beside the gateway that listens at a seed, until the test ends.
func joinFleetAs(t *testing.T, name, seed string) *fleetPeer {
	p := &fleetPeer{kinds: map[byte]int{}}
	at := strings.Replace(freeAddr(), ":10080", ":7946", 1)
	log, counts := slog.New(slog.DiscardHandler), &transport.Counts{}
	own := netip.MustParseAddrPort(at)
	var err error
	p.fleet, err = membership.New(membership.Settings{Name: name, Listen: at, Advertise: at, Seeds: []string{seed}, MaxMembers: 64, ProbeInterval: 200 * time.Millisecond,
		ProbeTimeout: 100 * time.Millisecond, GossipInterval: 40 * time.Millisecond, ReapAfter: time.Hour, SettleAfter: 300 * time.Millisecond, RejoinInterval: time.Second},
		membership.Dependencies{Log: log, Now: time.Now, ReadFile: os.ReadFile, TransportCounts: counts, OnMessage: p.onMessage,
			OpenTransport: func() (memberlist.Transport, error) { return transport.Listen(own, own, counts, log) }})
	if err != nil {
		t.Fatal(err)
	}
	stop, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- p.fleet.Run(stop) }()
	t.Cleanup(func() {
		close(stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p
}

// Purges of the discovery watch go to peers where fleet.broadcast is set, and where it is not nothing of the broadcast runs: no datagram
// of its kind goes out, and operators are told that it is off.
func TestBroadcastOnlyWhereConfigured(t *testing.T) {
	for _, c := range []struct{ name, more string }{{"unset", ""}, {"with places", ", region: 'r', zone: 'z', site: 's'"},
		{"with purges by verdict", ", purges: true"}, {"set", ", broadcast: true, region: 'r', zone: 'z', site: 's'"}} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			socket, settings := filepath.Join(dir, "s"), filepath.Join(dir, "own.jsonnet")
			at := strings.Replace(freeAddr(), ":10080", ":7946", 1)
			text := fmt.Sprintf("{ fleet: { listen: %q, socket: %q, probe_ms: 200, probe_timeout_ms: 100, gossip_ms: 40, settle_ms: 300%s } }", at, socket, c.more)
			if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			t.Setenv("FOLDSLIP_SETTINGS", settings)
			t.Setenv("ROUTER_NAME", "n7")
			s := startGateway(t, nil)
			other := joinFleetAs(t, "n8", at)
			until := func(what string, true func() bool) {
				for end := time.Now().Add(20 * time.Second); !true(); time.Sleep(20 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("not within 20 s: %s", what)
					}
				}
			}
			until("both see each other", func() bool {
				return other.fleet.State().Live == 2 && strings.Contains(s.out.String(), "event=fleet_member name=n8 state=alive")
			})
			ask := func(args ...string) string {
				out, _ := exec.Command(program, append([]string{"fleet", "broadcast", "--socket", socket}, args...)...).CombinedOutput()
				return string(out)
			}
			for i := range 10 {
				s.bulletin.Announce(fmt.Sprintf(`{"recall":{"item":"%016x","issued":%d}}`, i+1, time.Now().UnixMilli()))
			}
			if c.name != "set" {
				time.Sleep(3 * time.Second)
				if n := other.messagesOf(broadcast.Kind); n > 0 {
					t.Errorf("%d datagrams of the broadcast", n)
				}
				if got := ask(); !strings.Contains(got, "this gateway spreads no purges by broadcast") || !strings.Contains(got, "set fleet.broadcast") {
					t.Error(got)
				}
				return
			}
			until("the peer is told", func() bool { return other.messagesOf(broadcast.Kind) > 0 })
			var r driver.Report
			until("all ten count", func() bool { return json.Unmarshal([]byte(ask("--json")), &r) == nil && r.Applied == 10 })
			if h := r.Latest; len(h) != 10 || h[9].Number != 10 || h[9].Object != "000000000000000a" || h[9].FromPeer || h[9].AtUptimeMS > r.UptimeMS {
				t.Errorf("%+v", h)
			}
			if err := json.Unmarshal([]byte(ask("--json", "--after", "9")), &r); err != nil || len(r.Latest) != 1 {
				t.Errorf("after 9: %+v %v", r.Latest, err)
			}
			for _, want := range []string{`n7 in region "r", zone "z", site "s"`, "of 2 live", "whole: nothing", "0 unreadable", "purges that counted here 10"} {
				if got := ask(); !strings.Contains(got, want) {
					t.Errorf("%q is not in %s", want, got)
				}
			}
			if strings.Contains(s.out.String(), "event=fleet_broadcast") {
				t.Error("a line of the log that is no change of mode")
			}
		})
	}
}
