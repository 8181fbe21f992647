package rollout

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/config/change"
	"foldslip/internal/store/wal"
)

// FuzzRecover checks that stored steps of changes are either recovered or refused, whatever they hold.
func FuzzRecover(f *testing.F) {
	encoded, err := cbor.Marshal([]change.Step{{}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded, encoded)
	f.Fuzz(func(t *testing.T, snapshot, record []byte) {
		steps, err := decodeSteps(wal.Contents{Snapshot: snapshot, Changes: [][]byte{record}})
		if err != nil || len(steps) == 0 {
			return
		}
		if versions, _, err := change.Recover(steps); (err == nil) != (versions != nil) {
			t.Fatalf("Recover returned versions %v and error %v, want exactly one of them", versions, err)
		}
	})
}
