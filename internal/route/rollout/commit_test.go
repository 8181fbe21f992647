package rollout

import (
	"errors"
	"testing"
	"time"

	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/lab/simenv"
)

// hookedDirectory calls a function while a file is synced, and fails the sync if the function returns an error.
type hookedDirectory struct {
	env.Directory
	onSync func() error
}

type hookedFile struct {
	env.File
	directory *hookedDirectory
}

func (d *hookedDirectory) Create(name string) (env.File, error) {
	file, err := d.Directory.Create(name)
	return &hookedFile{file, d}, err
}

func (f *hookedFile) Sync() error {
	if err := f.directory.onSync(); err != nil {
		return err
	}
	return f.File.Sync()
}

// stepCases are the steps that change the active versions, each with the steps before it.
var stepCases = map[string]struct {
	before func(c *Controller)
	step   func(c *Controller) (change.Step, error)
	from   string // where lookups are routed until the step is on disk; "": to both
	to     string // where they are routed after it; "": to both
}{
	"stage": {func(c *Controller) { propose(c) }, func(c *Controller) (change.Step, error) { return c.Stage(2, 0.5, time.Minute) }, firstTown, ""},
	"apply without a stage": {func(c *Controller) { propose(c) }, func(c *Controller) (change.Step, error) { return c.Apply(2, time.Minute) },
		firstTown, secondHill},
	"apply after a stage": {func(c *Controller) { propose(c); c.Stage(2, 0.5, time.Minute) },
		func(c *Controller) (change.Step, error) { return c.Apply(2, time.Minute) }, "", secondHill},
	"apply by a file": {func(*Controller) {}, func(c *Controller) (change.Step, error) { return c.ApplyFile(routesTo("hill"), time.Minute) },
		firstTown, secondHill},
	"confirm": {func(c *Controller) { propose(c); c.Apply(2, time.Minute) }, func(c *Controller) (change.Step, error) { return c.Confirm(2) },
		secondHill, secondHill},
	"undo": {func(c *Controller) { propose(c); c.Apply(2, time.Minute) }, func(c *Controller) (change.Step, error) { return c.RollBack(2, "no") },
		secondHill, firstTown},
	"automatic rollback": {func(c *Controller) { propose(c); c.Apply(2, time.Minute) }, func(c *Controller) (change.Step, error) {
		c.env.(*testEnv).now = c.env.Now().Add(time.Hour)
		c.Tick()
		return change.Step{}, nil
	}, secondHill, firstTown},
}

func propose(c *Controller) { c.Propose(1, routesTo("hill"), "ada", "sale") }

// requireRoutedOrBoth is requireRouted, but for the empty string, which stands for a share of the objects each.
func requireRoutedOrBoth(t *testing.T, c *Controller, want string) {
	t.Helper()
	if want != "" {
		requireRouted(t, c, want)
	} else if got := routedLookups(t, c); len(got) != 2 || got[firstTown] == 0 || got[secondHill] == 0 {
		t.Errorf("lookups %v, want some by %q and some by %q", got, firstTown, secondHill)
	}
}

// TestTheListChangesWhileAStepIsWritten guards against a crash of the gateway, and against lookups under a version that
// is not on disk yet: a change of the endpoint list between a step and its write used the versions of the step, which had
// no routes yet.
func TestTheListChangesWhileAStepIsWritten(t *testing.T) {
	for name, tc := range stepCases {
		t.Run(name, func(t *testing.T) {
			directory := &hookedDirectory{simenv.NewDirectory(), func() error { return nil }}
			c := openController(t, newTestEnv(), directory, routesTo("town"))
			tc.before(c)
			writes := 0
			directory.onSync = func() error {
				writes++
				c.UpdateEndpoints(testEndpoints)
				requireRoutedOrBoth(t, c, tc.from)
				return nil
			}
			if _, err := tc.step(c); err != nil || writes == 0 {
				t.Fatalf("error %v after %d writes", err, writes)
			}
			requireRoutedOrBoth(t, c, tc.to)
		})
	}
}

// TestAFailedWriteRefusesNoLaterChange guards against a gateway that refuses all changes after one that it could not
// write, and against a log that cannot be read after it.
func TestAFailedWriteRefusesNoLaterChange(t *testing.T) {
	errFull := errors.New("no space left on device")
	for name, tc := range stepCases {
		t.Run(name, func(t *testing.T) {
			directory := &hookedDirectory{simenv.NewDirectory(), func() error { return nil }}
			c := openController(t, newTestEnv(), directory, routesTo("town"))
			tc.before(c)
			directory.onSync = func() error { return errFull }
			_, err := tc.step(c)
			isRollback := name == "undo" || name == "automatic rollback"
			if !isRollback && !errors.Is(err, errFull) {
				t.Fatalf("error %v, want that the step is refused", err)
			}
			directory.onSync = func() error { return nil }
			if isRollback {
				requireRoutedOrBoth(t, c, tc.to) // a rollback takes effect all the same
			} else {
				requireRoutedOrBoth(t, c, tc.from)
			}
			if _, active := c.History(); active.Base != 1 || active.Next != 0 {
				if _, err := c.RollBack(2, "no"); err != nil {
					t.Fatal(err)
				}
			} else if inProgress := c.versions.InProgress(); inProgress != nil {
				if _, err := c.RollBack(inProgress.Version, "no"); err != nil {
					t.Fatal(err)
				}
			}
			step, err := c.Propose(1, routesTo("hill"), "ada", "again")
			if err != nil {
				t.Fatal("a later change was refused:", err)
			}
			for _, next := range []func() (change.Step, error){func() (change.Step, error) { return c.Apply(step.Version, time.Minute) },
				func() (change.Step, error) { return c.Confirm(step.Version) }} {
				if _, err := next(); err != nil {
					t.Fatal("a later change was refused:", err)
				}
			}
			c.Close()
			restarted := openController(t, newTestEnv(), directory, routesTo("town"))
			defer restarted.Close()
			if got := routedLookups(t, restarted); len(got) != 1 || restarted.versions.Confirmed() != step.Version {
				t.Errorf("lookups %v after a restart, want all by the confirmed version %d", got, step.Version)
			}
		})
	}
}
