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

// TestFiguresKeepTheirForm guards against a change of the stored JSON encoding of figures. It decodes
// a figure with every field set and all figures of docs/capacity, and encodes them again. Figures that
// a probe wrote must encode to the same bytes. Other figures were converted from the report of another
// command and may write the same number differently (44.0), so only their values are compared.
func TestFiguresKeepTheirForm(t *testing.T) {
	const full = "testdata/figure.json"
	paths, err := filepath.Glob("../../../docs/capacity/*.json")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found %d figures in docs/capacity, error %v; want at least 1 figure", len(paths), err)
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
				t.Errorf("%s is encoded with other bytes:\n%s", path, got)
			}
			continue
		}
		if !reflect.DeepEqual(decodeJSON(t, got), decodeJSON(t, want)) {
			t.Errorf("%s is encoded with other values:\n%s", path, got)
		}
	}
}

// decodeJSON decodes text into maps, slices and scalars.
func decodeJSON(t *testing.T, text []byte) (v any) {
	t.Helper()
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatal(err)
	}
	return v
}
