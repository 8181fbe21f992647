package fleet

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/config"
	"foldslip/internal/lab/frozen"
)

// TestReportsKeepTheirForm guards against a change of the stored JSON encoding. A report and a
// scenario with every field set must decode and encode to the same bytes.
func TestReportsKeepTheirForm(t *testing.T) {
	frozen.IndentedJSON(t, "report.json", &Report{})
	frozen.IndentedJSON(t, "scenario.json", &Scenario{})
}

// TestShippedScenariosReadAsBefore guards against a change of how scenario files are read. All
// scenarios that come with the rig must decode to the values in testdata/shipped.json.
func TestShippedScenariosReadAsBefore(t *testing.T) {
	var all []*Scenario
	for _, name := range HardCases() {
		s, err := ReadScenario(name)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
	frozen.EqualIndented(t, "shipped.json", all)
}

// TestGatewayFilesKeepTheirForm compares the settings file and the configuration file of a rig gateway
// with those in testdata, and checks the gateway's command line.
func TestGatewayFilesKeepTheirForm(t *testing.T) {
	s := &Scenario{Name: "x", Gateways: 2, KeepMembers: true, Fleet: config.Fleet{BroadcastsPurges: true, MaxMembers: 8}, ClockOffsets: []ClockOffset{{"n2", 250}},
		Limit:      &Limit{LookupsPerSecond: 20, FleetWide: true},
		Localities: []GatewayLocality{{Gateways: []string{"n2"}, Region: "r", Zone: "z", Site: "s"}}}
	r := newRig(s, Options{Seed: 7})
	p := &process{name: "n2", dir: t.TempDir(), clients: "127.1.0.2:80", discovery: "127.1.0.9:81", rig: r}
	files := gatewayFiles{
		index:     1,
		seeds:     []string{"127.1.0.1:82"},
		listen:    netip.MustParseAddrPort("127.1.0.2:82"),
		advertise: netip.MustParseAddrPort("127.1.1.2:82"),
	}
	if err := r.writeGatewayFiles(p, files); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"settings.jsonnet", "config.json"} {
		got, err := os.ReadFile(filepath.Join(p.dir, name))
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join("testdata", "rig-"+name))
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.ReplaceAll(string(got), p.dir, "DIR"); got != string(want) {
			t.Errorf("%s differs from testdata:\n%s", name, got)
		}
	}
	if args := strings.ReplaceAll(strings.Join(p.args, " "), p.dir, "DIR"); args != "serve --settings DIR/settings.jsonnet --clock-offset=250ms" {
		t.Errorf("gateway arguments are %s", args)
	}
}
