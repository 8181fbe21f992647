package fleet

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldslip/internal/config"
)

// TestReportsKeepTheirForm reads a report and a scenario with every field set and writes the same bytes again.
func TestReportsKeepTheirForm(t *testing.T) {
	readAndWrite(t, "report.json", &Report{})
	readAndWrite(t, "scenario.json", &Scenario{})
}

// TestShippedScenariosReadAsBefore compares all scenarios that come with the rig, as they are read, with what they were read as.
func TestShippedScenariosReadAsBefore(t *testing.T) {
	var all []*Scenario
	for _, name := range HardCases() {
		s, err := ReadScenario(name)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, s)
	}
	checkWritten(t, "shipped.json", all)
}

// TestGatewayFilesKeepTheirForm compares the two files that a gateway of the rig is started with.
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
			t.Errorf("%s is written as\n%s", name, got)
		}
	}
	if args := strings.ReplaceAll(strings.Join(p.args, " "), p.dir, "DIR"); args != "serve --settings DIR/settings.jsonnet --clock-offset=250ms" {
		t.Errorf("a gateway is started with %s", args)
	}
}

// readAndWrite reads a file of testdata into value, which must know every key of it, and checks that value is written as the same bytes.
func readAndWrite(t *testing.T, name string, value any) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	checkWritten(t, name, value)
}

// checkWritten checks that value is written as a file of testdata, byte for byte.
func checkWritten(t *testing.T, name string, value any) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if got = append(got, '\n'); !bytes.Equal(got, want) {
		t.Errorf("%s is written as\n%s", name, got)
	}
}
