package broadcast

import "testing"

// No node sends a batch without purges; one that comes is refused like any other frame that makes no sense.
func TestBatchWithoutPurgesIsRefused(t *testing.T) {
	node, _ := nodePair()
	frame := []byte{
		Kind, frameBatch,
		1, 2, 3, 4, 5, 6, 7, 8, // origin
		1, // number of the batch
		0, // tier
		0, // number of purges
	}
	defer func() {
		if fault := recover(); fault != nil {
			t.Errorf("the node panics: %v", fault)
		}
	}()
	if _, err := node.HandleFrame("b", frame, 1); err == nil {
		t.Error("the frame is taken")
	}
}
