package change

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/lab/frozen"
)

// requireSameForm checks that a CBOR file decodes into the value behind a pointer and encodes to the same bytes again.
func requireSameForm(t *testing.T, name string, into any) {
	t.Helper()
	if err := cbor.Unmarshal(frozen.Read(t, name), into); err != nil {
		t.Fatal(name, err)
	}
	got, err := cbor.Marshal(into)
	if err != nil {
		t.Fatal(name, err)
	}
	frozen.Equal(t, name, got)
}

// The files under testdata were written by a build from before the Go identifiers
// were renamed. The tests check that the renaming did not change the encoded forms.
func TestStepFormsAreUnchanged(t *testing.T) {
	var step Step
	requireSameForm(t, "step.cbor", &step)
	frozen.Complete(t, "step.cbor", step)
	requireSameForm(t, "empty-step.cbor", &Step{})
	frozen.JSON(t, "step.json", &Step{}, true)
}

func TestStoredStageNamesAreUnchanged(t *testing.T) {
	var steps []Step
	requireSameForm(t, "stages.cbor", &steps)
	want := []Stage{Proposed, Checked, Staged, Applied, Confirmed, RolledBack, Archived}
	if len(steps) != len(want) {
		t.Fatal(steps)
	}
	for i, step := range steps {
		if step.Stage != want[i] {
			t.Errorf("step %d has stage %q, want %q", i, step.Stage, want[i])
		}
	}
}

func TestReportFormsAreUnchanged(t *testing.T) {
	frozen.JSON(t, "entry.json", &VersionInfo{}, true)
	frozen.JSON(t, "force.json", &Active{}, true)
	frozen.JSON(t, "guards.json", &GuardLimits{}, true)
}
