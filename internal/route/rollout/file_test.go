package rollout

import (
	"strings"
	"testing"
	"time"

	"foldslip/internal/config/change"
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
