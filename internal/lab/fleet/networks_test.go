package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"
)

const (
	networksPerProcess = 24
	claimPort          = 19_999 // port that a process listens on to claim a block, at an address that no run uses
	claimTimeout       = 10 * time.Minute
)

// firstNetworks lists the first network of each block of loopback networks that a test process may
// claim. The rig's command uses lower networks, so that it can run at the same time as the tests.
var firstNetworks = []int{120, 144, 168}

// testNetwork is the first network of the block that this process has claimed.
var testNetwork int

// errNetworksTaken is returned if other processes held all blocks of networks until the claim timed out.
var errNetworksTaken = errors.New("all loopback networks of the fleet tests are claimed by other test processes")

// claimNetworks claims a block of networks that no other process holds and sets testNetwork to its first
// network. It waits up to claimTimeout for a free block. The claim lasts until it is closed or the process ends.
func claimNetworks() (io.Closer, error) {
	for end := time.Now().Add(claimTimeout); time.Now().Before(end); time.Sleep(time.Second) {
		for _, network := range firstNetworks {
			if claim, err := claimNetwork(network); err == nil {
				testNetwork = network
				return claim, nil
			}
		}
	}
	return nil, errNetworksTaken
}

// claimNetwork listens on the claim address of a block. It fails while another process, or this one, listens there.
func claimNetwork(network int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", firstNetwork+network, claimPort))
}

// TestClaimedNetworksAreExclusive guards against two test processes on one machine whose gateways listen on
// the same addresses. A second claim of the same block must fail, and the block must end below 127.253.0.0.
func TestClaimedNetworksAreExclusive(t *testing.T) {
	if claim, err := claimNetwork(testNetwork); err == nil {
		claim.Close()
		t.Error("a second claim of the same networks succeeded")
	}
	if !slices.Contains(firstNetworks, testNetwork) || firstNetwork+testNetwork+networksPerProcess > 253 {
		t.Errorf("testNetwork = %d, want one of firstNetworks whose block ends below 127.253.0.0", testNetwork)
	}
}
