package cost

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// TestFiguresKeepTheirForm reads a figure with every field set, and all those of docs/capacity, and writes the same bytes again. Figures
// that were not written by a probe, but by other means from another command's report, may write the same numbers in another way (44.0).
func TestFiguresKeepTheirForm(t *testing.T) {
	const full = "testdata/figure.json"
	paths, err := filepath.Glob("../../../docs/capacity/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("figures of docs/capacity: %d, %v", len(paths), err)
	}
	for _, path := range append(paths, full) {
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		figure, err := Read(path)
		if err != nil {
			t.Fatal(err)
		}
		got, err := json.MarshalIndent(figure, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		if byProbe := path == full || strings.HasPrefix(figure.Command, "go test "); byProbe {
			if got = append(got, '\n'); !bytes.Equal(got, want) {
				t.Errorf("%s is written as\n%s", path, got)
			}
			continue
		}
		if !reflect.DeepEqual(decodeJSON(t, got), decodeJSON(t, want)) {
			t.Errorf("%s has other values written as\n%s", path, got)
		}
	}
}

// decodeJSON is what a text in JSON says.
func decodeJSON(t *testing.T, text []byte) (v any) {
	t.Helper()
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatal(err)
	}
	return v
}
