package cost

import (
	"os"
	"path/filepath"
	"testing"
)

var probes = NewProbes("./lab/cost")

func TestHeapBytesCountsReachableMemory(t *testing.T) {
	if n := HeapBytes(func() any { return make([]byte, 1<<20) }); n < 1<<20 || n > 1<<20+1<<16 {
		t.Errorf("a megabyte is counted as %.0f bytes", n)
	}
}

func TestMicrosPerCallGrowsWithWork(t *testing.T) {
	work := func(n int) func(int) {
		return func(int) {
			x := uint64(1)
			for range n {
				x = x*6364136223846793005 + 1442695040888963407
			}
			sink = x
		}
	}
	if one, many := probes.MicrosPerCall(work(1_000)), probes.MicrosPerCall(work(1_000_000)); many < 20*one {
		t.Errorf("1,000 rounds %.2f us, a thousand times as many %.2f us", one, many)
	}
}

var sink uint64

func TestReadRefusesInvalidFigures(t *testing.T) {
	for name, text := range map[string]string{"empty": "", "no points": `{"name":"a"}`, "a path": `{"name":"../a","points":[{"size":1,"values":[1]}]}`,
		"no size": `{"name":"a","points":[{"size":0,"values":[1]}]}`, "no value": `{"name":"a","points":[{"size":1,"values":[]}]}`} {
		path := filepath.Join(t.TempDir(), "f.json")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := Read(path); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	path := filepath.Join(t.TempDir(), "f.json")
	os.WriteFile(path, []byte(`{"name":"a","points":[{"size":12,"values":[3,1,2]}]}`), 0o600)
	f, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	if m, least, most := f.Points[0].Median(); m != 2 || least != 1 || most != 3 {
		t.Error(m, least, most)
	}
}
