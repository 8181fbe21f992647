package gateway

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"foldslip/internal/config"
	"foldslip/internal/env"
)

// The files under testdata/frozen were written by the build at 58d6067: the platform's configuration as the gateway reads it, and what
// is wrong with one that cannot be used.

// frozen compares what is written now with the file of that name.
func frozen(t *testing.T, name string, got []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", "frozen", name))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: other bytes than before:\n%s\nexpected:\n%s", name, got, want)
	}
}

func TestFrozenConfiguration(t *testing.T) {
	g := env.NewSystem(io.Discard, 0)
	var read bytes.Buffer
	for _, name := range []string{"all.json", "names-in-capitals.json", "no-listen.json", "no-bulletin.json", "no-known.json", "bad-seed.json", "bad-settings.json", "no-json.json"} {
		path := filepath.Join("testdata", "frozen", name)
		for _, given := range [][2]string{{}, {"name-given", "127.0.0.1:9"}} {
			s, terms, seed, err := readPlatformConfig(g, path, given[0], given[1], &config.Config{})
			if err != nil {
				fmt.Fprintf(&read, "%s: %v\n", name, err)
				continue
			}
			fmt.Fprintf(&read, "%s: name=%q listen=%q seed=%q/%d cores=%v memory=%v sockets=%d bulletin=%q known=%s settings=%d bytes, zones=%v kinds=%v\n", name,
				s.Name, s.Listen, s.Seed, seed, s.Limits.Cores, s.Limits.MemoryMB, s.Limits.Sockets, s.DiscoveryAddr, s.KnownEvents, len(s.Settings), terms.Zones, terms.Kinds)
		}
	}
	frozen(t, "configurations-as-read", read.Bytes())
}
