package rollout

import (
	"strings"
	"testing"
	"time"

	"foldslip/internal/config/change"
	"foldslip/internal/lab/simenv"
)

// applyFile applies a file with routes to a location and checks the stage of the returned step.
func applyFile(t *testing.T, c *Controller, location string, want change.Stage) change.Step {
	t.Helper()
	step, err := c.ApplyFile(routesTo(location), time.Minute)
	if err != nil || step.Stage != want {
		t.Fatal(step, err)
	}
	return step
}

// TestApplyFile checks what a reload of the operators' file does to the routes.
func TestApplyFile(t *testing.T) {
	t.Run("a reload applies the file, a second one confirms it, a third changes nothing", func(t *testing.T) {
		e := newTestEnv()
		c := openController(t, e, nil, routesTo("town"))
		applyFile(t, c, "hill", change.Applied)
		requireRouted(t, c, secondHill)
		applyFile(t, c, "hill", change.Confirmed)
		if step := applyFile(t, c, "hill", change.Confirmed); step.Version != 2 {
			t.Fatal(step)
		}
		e.now = e.now.Add(time.Hour)
		c.Tick()
		requireRouted(t, c, secondHill)
	})
	t.Run("rolled back if the file holds the confirmed routes again, or if not confirmed in time", func(t *testing.T) {
		e := newTestEnv()
		c := openController(t, e, nil, routesTo("town"))
		applyFile(t, c, "hill", change.Applied)
		applyFile(t, c, "town", change.RolledBack)
		requireRouted(t, c, firstTown)
		applyFile(t, c, "hill", change.Applied)
		e.now = e.now.Add(time.Minute)
		c.Tick()
		requireRouted(t, c, firstTown)
	})
	t.Run("a file that changes again before its confirmation replaces the first change", func(t *testing.T) {
		c := openController(t, newTestEnv(), nil, routesTo("town"))
		applyFile(t, c, "hill", change.Applied)
		other := routesTo("hill")
		other.Routes[0].MaxAgeMS = 5
		if step := requireStep(t)(c.ApplyFile(other, time.Minute)); step.Version != 3 || step.Stage != change.Applied {
			t.Fatal(step)
		}
	})
	t.Run("a change by hand in progress stays, and the error names its author", func(t *testing.T) {
		c := openController(t, newTestEnv(), nil, routesTo("town"))
		requireStep(t)(c.Propose(1, routesTo("hill"), "ada", "sale"))
		if _, err := c.ApplyFile(routesTo("hill"), time.Minute); err == nil || !strings.Contains(err.Error(), "ada") {
			t.Error(err)
		}
	})
	t.Run("routes with errors change nothing", func(t *testing.T) {
		c := openController(t, newTestEnv(), nil, routesTo("town"))
		if step := applyFile(t, c, "nowhere", change.RolledBack); len(step.Findings) == 0 {
			t.Error(step)
		}
		requireRouted(t, c, firstTown)
	})
}

// TestApplyUnchangedFile checks files that hold the same routes as when they were last read. It guards against a
// comparison with the confirmed version, where the file as it was last read is meant.
func TestApplyUnchangedFile(t *testing.T) {
	t.Run("an unchanged file leaves routes that were changed by hand since", func(t *testing.T) {
		c := openController(t, newTestEnv(), nil, routesTo("town"))
		applyByHand(t, c, 1, "hill")
		if step := applyFile(t, c, "town", change.Confirmed); step.Version != 2 {
			t.Errorf("step %+v, expected the version that was confirmed by hand", step)
		}
		requireRouted(t, c, secondHill)
		other := routesTo("town")
		other.Routes[0].MaxAgeMS = 5
		if step := requireStep(t)(c.ApplyFile(other, time.Minute)); step.Version != 3 || step.Stage != change.Applied {
			t.Errorf("step %+v, expected the changed file to be applied", step)
		}
	})
	t.Run("an unchanged file is not applied again after its change was rolled back", func(t *testing.T) {
		e := newTestEnv()
		c := openController(t, e, nil, routesTo("town"))
		applyFile(t, c, "hill", change.Applied)
		e.now = e.now.Add(time.Minute)
		c.Tick()
		applyFile(t, c, "hill", change.Confirmed)
		requireRouted(t, c, firstTown)
	})
	t.Run("a file that was refused is checked again", func(t *testing.T) {
		c := openController(t, newTestEnv(), nil, routesTo("town"))
		applyFile(t, c, "nowhere", change.RolledBack)
		if step := applyFile(t, c, "nowhere", change.RolledBack); len(step.Findings) == 0 {
			t.Errorf("step %+v, expected the findings of a second check", step)
		}
	})
	t.Run("after a restart an unchanged file changes nothing, and a changed one is applied", func(t *testing.T) {
		directory := simenv.NewDirectory()
		c := openController(t, newTestEnv(), directory, routesTo("town"))
		applyByHand(t, c, 1, "hill")
		c.Close()
		c = openController(t, newTestEnv(), directory, routesTo("town"))
		applyFile(t, c, "town", change.Confirmed)
		requireRouted(t, c, secondHill)
		c.Close()
		edited := routesTo("town")
		edited.Routes[0].MaxAgeMS = 5 // while the gateway was down
		c = openController(t, newTestEnv(), directory, edited)
		if step := requireStep(t)(c.ApplyFile(edited, time.Minute)); step.Stage != change.Applied {
			t.Errorf("step %+v, expected the changed file to be applied", step)
		}
	})
}

// applyByHand proposes routes to a location, applies them and confirms them.
func applyByHand(t *testing.T, c *Controller, parent uint64, location string) {
	t.Helper()
	step := requireStep(t)(c.Propose(parent, routesTo(location), "ada", "sale"))
	requireStep(t)(c.Apply(step.Version, time.Minute))
	requireStep(t)(c.Confirm(step.Version))
}
