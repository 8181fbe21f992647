package fleet

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
)

// TestLargestScenarioHasDistinctAddresses: a scenario may have maxGateways gateways and maxCaches caches, and no two of their addresses
// are equal.
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
	for _, past := range [][2]int{{1025, 6}, {6, 1025}} {
		if _, err := read(past[0], past[1]); err == nil {
			t.Errorf("%d gateways and %d caches are not rejected", past[0], past[1])
		}
	}
	if wanted := 1024 * (1024 + 2); s.maxStreams() < wanted {
		t.Errorf("%d streams, fewer than a connection of each gateway to each cache: %d", s.maxStreams(), wanted)
	}
	r := newRig(s, Options{})
	taken := map[netip.AddrPort]string{}
	take := func(at netip.AddrPort, owner string) {
		if other, twice := taken[at]; twice {
			t.Fatalf("%v is of %s and of %s", at, other, owner)
		}
		taken[at] = owner
	}
	take(r.address(discoveryBlock, 0, discoveryAndCachePort), "discovery")
	for i := range maxGateways {
		take(r.address(relayBlocks, i, peerPort), fmt.Sprint("public listener ", i))
		take(r.address(listenBlocks, i, peerPort), fmt.Sprint("gateway ", i))
		take(r.address(privateBlocks, i, discoveryAndCachePort), fmt.Sprint("private listener ", i))
		take(r.address(cacheBlocks, i, discoveryAndCachePort), fmt.Sprint("cache ", i))
		take(r.address(privateBlocks, i, firstCachePort+maxCaches+1), fmt.Sprint("private listener of the last cache ", i))
	}
}
