package membership

import (
	"errors"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/fleet/view"
)

// Guards against incarnations that ignore the clock offset:
// FromEnvironment must use the wall clock that WallOffset shifts.
func TestIncarnationClockHasTheOffset(t *testing.T) {
	system := env.NewSystem(io.Discard, slog.LevelError)
	system.WallOffset = time.Hour
	if offset := time.Until(FromEnvironment(system).Now()); offset < 59*time.Minute || offset > time.Hour {
		t.Errorf("the clock is off by %v, want one hour", offset)
	}
}

// Guards against seeds that are lost because another line of the file is
// invalid. The error must name the first invalid line.
func TestSeedsAreParsedAndTheFirstBadLineIsNamed(t *testing.T) {
	seeds, err := ParseSeeds("# seeds\n10.0.0.4:7946 # first\n\nnobody\n[fd00::3]:7946\n10.0.0.5:0\n")
	if want := []string{"10.0.0.4:7946", "[fd00::3]:7946"}; !slices.Equal(seeds, want) {
		t.Errorf("seeds %v, want %v", seeds, want)
	}
	var seedError *SeedFileError
	if !errors.As(err, &seedError) || seedError.Line != 4 {
		t.Errorf("error %v, want a SeedFileError for line 4", err)
	}
}

// Guards against a gateway that uses the stored members of another gateway. LoadError must name the other gateway.
func TestMembersOfAnotherGatewayAreNotUsed(t *testing.T) {
	dir := t.TempDir()
	store := openStore(t, dir)
	if err := store.Save([]view.ID{{Name: "n2", Addr: "10.0.0.2:7946", Incarnation: 1}}); err != nil {
		t.Fatal(err)
	}
	closeStore(t, store)
	other, err := OpenMemberStore(env.OSDirectory{Path: dir}, "n9", 100)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, other)
	var foreign *ForeignStoreError
	if !errors.As(other.LoadError(), &foreign) || foreign.Self != "n1" || len(other.Known()) > 0 {
		t.Errorf("LoadError %v, known %v; want a ForeignStoreError for n1 and no members", other.LoadError(), other.Known())
	}
}
