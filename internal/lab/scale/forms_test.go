package scale

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
)

// TestReportsKeepTheirForm reads reports and the lines to and from a process of hollow gateways, with every field set, and writes the
// same bytes again.
func TestReportsKeepTheirForm(t *testing.T) {
	readAndWrite(t, "watch-report.json", &WatchReport{})
	readAndWrite(t, "broadcast-report.json", &BroadcastReport{})
	readAndWrite(t, "fit.json", &Fit{})
	readAndWrite(t, "order.json", &command{})
	readAndWrite(t, "answer.json", &reply{})
}

func TestPlatformSettingsKeepTheirForm(t *testing.T) {
	checkWritten(t, "settings.json", Settings(ScaledLayout(12), 5, 3))
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
