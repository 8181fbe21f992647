package gateway

import (
	"bytes"
	"fmt"
	"io"
	"path/filepath"
	"testing"

	"foldslip/internal/config"
	"foldslip/internal/env"
	"foldslip/internal/lab/frozen"
)

// The files under testdata/frozen were written by the build at 58d6067. They hold platform
// configurations, and for each of them what the gateway reads from it or the error if it cannot be used.

func TestFrozenConfiguration(t *testing.T) {
	system := env.NewSystem(io.Discard, 0)
	var all bytes.Buffer
	for _, name := range []string{"all.json", "names-in-capitals.json", "no-listen.json", "no-bulletin.json", "no-known.json", "bad-seed.json", "bad-settings.json", "no-json.json"} {
		path := filepath.Join("testdata", "frozen", name)
		for _, given := range [][2]string{{}, {"name-given", "127.0.0.1:9"}} {
			read, err := readPlatformConfig(system, platformFile{path: path, name: given[0], listen: given[1]}, &config.Config{})
			if err != nil {
				fmt.Fprintf(&all, "%s: %v\n", name, err)
				continue
			}
			p := read.platform
			fmt.Fprintf(&all, "%s: name=%q listen=%q seed=%q/%d cores=%v memory=%v sockets=%d bulletin=%q known=%s settings=%d bytes, zones=%v kinds=%v\n", name,
				p.Name, p.Listen, p.Seed, read.seed, p.Limits.Cores, p.Limits.MemoryMB, p.Limits.Sockets, p.DiscoveryAddr, p.KnownEvents, len(p.Settings),
				read.settings.Zones, read.settings.Kinds)
		}
	}
	frozen.Equal(t, "frozen/configurations-as-read", all.Bytes())
}
