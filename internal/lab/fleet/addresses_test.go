package fleet

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
)

// TestLargestScenarioHasDistinctAddresses guards against address blocks that overlap in a large scenario. A scenario
// may have maxGateways gateways and maxCaches caches. Each listener must have its own address and port, and the
// relay must allow a stream from each gateway to each cache. A scenario beyond either maximum must be rejected.
func TestLargestScenarioHasDistinctAddresses(t *testing.T) {
	read := func(gateways, caches int) (*Scenario, error) {
		path := filepath.Join(t.TempDir(), "many.jsonnet")
		text := fmt.Sprintf("{ gateways: %d, caches: %d, steps: [{ at_ms: 1000, do: 'mark' }], end_ms: 1000 }", gateways, caches)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadScenario(path)
	}
	s, err := read(1024, 1024)
	if err != nil {
		t.Fatal(err)
	}
	for _, counts := range [][2]int{{1025, 6}, {6, 1025}} {
		if _, err := read(counts[0], counts[1]); err == nil {
			t.Errorf("a scenario of %d gateways and %d caches is not rejected", counts[0], counts[1])
		}
	}
	if wanted := 1024 * (1024 + 2); s.maxStreams() < wanted {
		t.Errorf("maxStreams() = %d, want at least one stream from each gateway to each cache, %d", s.maxStreams(), wanted)
	}
	r := newRig(s, Options{})
	owners := map[netip.AddrPort]string{}
	claim := func(at netip.AddrPort, owner string) {
		if other, duplicate := owners[at]; duplicate {
			t.Fatalf("address %v is used by %s and by %s", at, other, owner)
		}
		owners[at] = owner
	}
	claim(r.address(discoveryBlock, 0, discoveryAndCachePort), "discovery")
	for i := range maxGateways {
		claim(r.address(relayBlocks, i, peerPort), fmt.Sprint("public listener ", i))
		claim(r.address(listenBlocks, i, peerPort), fmt.Sprint("gateway ", i))
		claim(r.address(privateBlocks, i, discoveryAndCachePort), fmt.Sprint("private listener ", i))
		claim(r.address(cacheBlocks, i, discoveryAndCachePort), fmt.Sprint("cache ", i))
		claim(r.address(privateBlocks, i, firstCachePort+maxCaches+1), fmt.Sprint("private listener of the last cache ", i))
	}
}
