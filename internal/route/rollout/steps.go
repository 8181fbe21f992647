package rollout

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/route/pools"
)

const tickInterval = 100 * time.Millisecond

// Propose begins a change of the version that its author has seen, and checks it: the step that it returns has the findings. With an error
// among them the change is over.
func (c *Controller) Propose(parent uint64, routes config.RouteConfig, author, reason string) (change.Step, error) {
	text, err := json.Marshal(routes)
	if err != nil {
		return change.Step{}, err
	}
	step, err := c.runStep(func(time.Time) (change.Step, error) { return c.versions.Propose(parent, text, author, reason) })
	if err != nil {
		return step, err
	}
	return c.Check(step.Version)
}

// ProposeEarlier proposes an earlier version's configuration, and checks it.
func (c *Controller) ProposeEarlier(version uint64, author, reason string) (change.Step, error) {
	step, err := c.runStep(func(time.Time) (change.Step, error) { return c.versions.ProposeEarlier(version, author, reason) })
	if err != nil {
		return step, err
	}
	return c.Check(step.Version)
}

// Check checks the change in progress against the list of caches as it is now.
func (c *Controller) Check(version uint64) (change.Step, error) {
	return c.runStep(func(time.Time) (change.Step, error) { return c.versions.Check(version, c.findings(version)) })
}

// Stage makes the change active for a share of the objects. It is checked once more before, as the list may have changed.
func (c *Controller) Stage(version uint64, share float64, timeout time.Duration) (change.Step, error) {
	return c.runStep(func(now time.Time) (change.Step, error) {
		if step, isRolledBack := c.recheck(version); isRolledBack {
			return step, nil
		}
		return c.versions.Stage(now, version, share, timeout)
	})
}

// Apply makes the change active for all, checked once more.
func (c *Controller) Apply(version uint64, timeout time.Duration) (change.Step, error) {
	return c.runStep(func(now time.Time) (change.Step, error) {
		if step, isRolledBack := c.recheck(version); isRolledBack {
			return step, nil
		}
		return c.versions.Apply(now, version, timeout)
	})
}

// Confirm makes an applied change the confirmed version.
func (c *Controller) Confirm(version uint64) (change.Step, error) {
	return c.runStep(func(now time.Time) (change.Step, error) { return c.versions.Confirm(now, version) })
}

// RollBack ends the change in progress.
func (c *Controller) RollBack(version uint64, reason string) (change.Step, error) {
	return c.runStep(func(time.Time) (change.Step, error) { return c.versions.RollBack(version, reason) })
}

// runStep takes a step: decide is called under the lock, what it decides is written and synced, and then becomes active.
func (c *Controller) runStep(decide func(now time.Time) (change.Step, error)) (change.Step, error) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.mu.Lock()
	before := c.versions.Snapshot()
	step, err := decide(c.env.Now())
	c.mu.Unlock()
	if err != nil {
		return step, err
	}
	step.At = c.env.Now()
	return step, c.commit(step, before)
}

// commit writes a step that the versions have taken and makes it active. Without a write the versions go back to those before, but a rollback
// stays: the log then holds less than is active, never more.
func (c *Controller) commit(step change.Step, before []change.Step) error {
	writeErr := c.writeStep(step)
	c.mu.Lock()
	defer c.mu.Unlock()
	if writeErr != nil {
		c.env.Log().Warn("route_change_not_saved", "version", step.Version, "stage", string(step.Stage), "error", writeErr.Error())
		if step.Stage != change.RolledBack {
			if versions, _, err := change.Recover(before); err == nil {
				c.versions = versions
			}
			c.activate()
			return writeErr
		}
	}
	if err := c.activate(); err != nil {
		return err
	}
	c.notifyGuard(step)
	c.env.Log().Info("route_change_step", "version", step.Version, "stage", string(step.Stage), "share", step.Share, "author", step.Author,
		"reason", step.Reason)
	return writeErr
}

func (c *Controller) writeStep(step change.Step) error {
	if c.log == nil {
		return nil
	}
	encoded, err := cbor.Marshal(step)
	if err != nil {
		return err
	}
	if err := c.log.Append(encoded); err != nil {
		return err
	}
	if c.log.Size() > maxLogBytes {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.writeSnapshot()
	}
	return nil
}

// notifyGuard notifies the guard of a step. It watches always, so that it knows how things were before a change is applied to all; a change that
// was staged first has its own side watched from there on. The lock is held.
func (c *Controller) notifyGuard(step change.Step) {
	switch step.Stage {
	case change.Proposed, change.RolledBack:
		c.guard.BeginChange()
	case change.Confirmed:
		c.guard.AcceptChange()
	}
}

// findings checks a version. The lock is held.
func (c *Controller) findings(version uint64) (findings []change.Finding) {
	table, problems, err := c.compile(c.versions.Text(version))
	if err != nil {
		return []change.Finding{{IsError: true, Text: err.Error(), Remedy: "mend it there"}}
	}
	if table != nil {
		problems = append(problems, table.Check(c.sortedCaches())...)
	}
	for _, p := range problems {
		findings = append(findings, change.Finding{IsError: p.IsError, Path: p.Path, Text: p.Text, Remedy: p.Remedy})
	}
	return findings
}

// recheck checks a change before its next step, and rolls it back at the first error. The lock is held.
func (c *Controller) recheck(version uint64) (step change.Step, isRolledBack bool) {
	for _, f := range c.findings(version) {
		if !f.IsError {
			continue
		}
		if step, err := c.versions.RollBack(version, f.Path+": "+f.Text); err == nil {
			step.Findings = []change.Finding{f}
			return step, true
		}
	}
	return change.Step{}, false
}

// History returns the versions that are retained, and those that are active.
func (c *Controller) History() ([]change.VersionInfo, change.Active) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.History(), c.versions.Active()
}

// Text returns a version's configuration, nil if it is not retained.
func (c *Controller) Text(version uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Text(version)
}

// Plan returns what a configuration would move of a load, and its problems. With an error among them there is no plan.
func (c *Controller) Plan(routes config.RouteConfig, load []pools.LoadSample) (pools.Impact, []pools.Problem) {
	table, problems := pools.Compile(routes, c.kinds)
	if table == nil {
		return pools.Impact{}, problems
	}
	c.mu.Lock()
	caches := c.sortedCaches()
	c.mu.Unlock()
	return c.active.Load().base.Plan(table.View(0, caches), load), append(problems, table.Check(caches)...)
}

// Run rolls back what is not confirmed in time and what the guard finds worse, until the lifetime ends. It closes the log.
func (c *Controller) Run(lifetime *env.Lifetime) error {
	ended := c.env.NewNotifier()
	defer lifetime.OnEnd(ended.Notify)()
	for !ended.Wait(tickInterval) {
		c.Tick()
	}
	c.Close()
	return nil
}

// Tick takes the time: it rolls back what is due.
func (c *Controller) Tick() {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.mu.Lock()
	now := c.env.Now()
	steps, _ := c.versions.Tick(now)
	if len(steps) == 0 {
		steps = c.rollBackIfTripped()
	}
	c.mu.Unlock()
	for _, step := range steps {
		step.At = now
		c.commit(step, nil) // a rollback stays without a write, which commit logs
	}
}

// rollBackIfTripped rolls back a staged or applied change that the guard finds worse. The lock is held.
func (c *Controller) rollBackIfTripped() []change.Step {
	active := c.versions.Active()
	watched := active.Base
	if active.Next != 0 {
		watched = active.Next
	}
	if watched == c.versions.Confirmed() {
		return nil
	}
	reason := c.guard.Tripped()
	if reason == "" {
		return nil
	}
	step, err := c.versions.RollBack(watched, reason)
	if err != nil {
		return nil
	}
	return []change.Step{step}
}
