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
	claimPort          = 19_999 // of an address in a process's first network that no run uses
	claimTimeout       = 10 * time.Minute
)

// firstNetworks are the blocks of loopback networks that a process of these tests may claim. The rig's command takes lower ones, so that it can
// run beside the tests.
var firstNetworks = []int{120, 144, 168}

// testNetwork is the first of this process's networks.
var testNetwork int

// errNetworksTaken reports that other processes have all blocks of networks.
var errNetworksTaken = errors.New("other test processes have all loopback networks of the fleet's tests")

// claimNetworks sets testNetwork to a block that no other process has, and waits for one if it must. The block is this process's until the
// claim is closed, or the process ends.
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

func claimNetwork(network int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", firstNetwork+network, claimPort))
}

// TestClaimedNetworksAreExclusive guards against two test processes on one machine whose gateways listen on the same addresses.
func TestClaimedNetworksAreExclusive(t *testing.T) {
	if claim, err := claimNetwork(testNetwork); err == nil {
		claim.Close()
		t.Error("another claim of the same networks is granted")
	}
	if !slices.Contains(firstNetworks, testNetwork) || firstNetwork+testNetwork+networksPerProcess > 253 {
		t.Errorf("network %d", testNetwork)
	}
}
