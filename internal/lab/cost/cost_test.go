package cost

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

var probes = NewProbes("./internal/lab/cost")

func TestHeapBytesCountsReachableMemory(t *testing.T) {
	if n := HeapBytes(func() any { return make([]byte, 1<<20) }); n < 1<<20 || n > 1<<20+1<<16 {
		t.Errorf("HeapBytes of a slice of 1 MiB is %.0f, want at least 1 MiB and at most 64 KiB more", n)
	}
}

var sink uint64

func TestMicrosPerCallGrowsWithWork(t *testing.T) {
	rounds := func(n int) func(int) {
		return func(int) {
			x := uint64(1)
			for range n {
				x = x*6364136223846793005 + 1442695040888963407
			}
			sink = x
		}
	}
	few, many := probes.MicrosPerCall(rounds(1_000)), probes.MicrosPerCall(rounds(1_000_000))
	if many < 20*few {
		t.Errorf("1,000 rounds take %.2f us and 1,000,000 rounds %.2f us, want at least 20 times as much", few, many)
	}
}

func TestReadRefusesInvalidFigures(t *testing.T) {
	for name, text := range map[string]string{
		"empty":     "",
		"no points": `{"name":"a"}`,
		"directory": `{"name":"../a","points":[{"size":1,"values":[1]}]}`,
		"size 0":    `{"name":"a","points":[{"size":0,"values":[1]}]}`,
		"no values": `{"name":"a","points":[{"size":1,"values":[]}]}`,
	} {
		_, err := Read(writeFigure(t, text))
		if err == nil {
			t.Errorf("%s: Read accepted the file", name)
		}
		if text != "" && !errors.Is(err, ErrFigure) {
			t.Errorf("%s: Read returned %v, want ErrFigure", name, err)
		}
	}
}

func TestMedianOfPoint(t *testing.T) {
	f, err := Read(writeFigure(t, `{"name":"a","points":[{"size":12,"values":[3,1,2]}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if median, lowest, highest := f.Points[0].Median(); median != 2 || lowest != 1 || highest != 3 {
		t.Errorf("Median returned %g, %g and %g, want 2, 1 and 3", median, lowest, highest)
	}
}

// writeFigure writes text to a file in a temporary directory and returns its path.
func writeFigure(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "f.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
