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

// Propose begins a change and checks it. The parent is the version that the author
// of the change has seen, and must be the confirmed version. The returned step holds
// the findings of the check. If one of them is an error, the change is rolled back.
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

// ProposeEarlier proposes the configuration of an earlier version as a new change and checks it.
func (c *Controller) ProposeEarlier(version uint64, author, reason string) (change.Step, error) {
	step, err := c.runStep(func(time.Time) (change.Step, error) { return c.versions.ProposeEarlier(version, author, reason) })
	if err != nil {
		return step, err
	}
	return c.Check(step.Version)
}

// Check checks the change in progress against the current endpoint list.
func (c *Controller) Check(version uint64) (change.Step, error) {
	return c.runStep(func(time.Time) (change.Step, error) { return c.versions.Check(version, c.findings(version)) })
}

// Stage makes the change active for a share of the objects. It first checks the change
// again, because the endpoint list may have changed, and rolls the change back at an error.
func (c *Controller) Stage(version uint64, share float64, timeout time.Duration) (change.Step, error) {
	return c.runStep(func(now time.Time) (change.Step, error) {
		if step, isRolledBack := c.recheck(version); isRolledBack {
			return step, nil
		}
		return c.versions.Stage(now, version, share, timeout)
	})
}

// Apply makes the change active for all objects. It first checks the change again, as Stage does.
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

// RollBack rolls the change in progress back.
func (c *Controller) RollBack(version uint64, reason string) (change.Step, error) {
	return c.runStep(func(time.Time) (change.Step, error) { return c.versions.RollBack(version, reason) })
}

// runStep runs one step. It calls decide under c.mu, writes and syncs the returned step and then makes it active.
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

// commit writes a step that c.versions has already applied, and makes it active. If the write fails, the versions
// are restored from the snapshot before the step. A rollback takes effect even if its write fails: the log then
// holds less than is active, but never more.
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

// notifyGuard notifies the guard of a step. The guard observes lookups at all times, so
// that it has a baseline from before a change is applied to all objects. Lookups under
// a change that is staged first are observed from that stage on. The caller holds c.mu.
func (c *Controller) notifyGuard(step change.Step) {
	switch step.Stage {
	case change.Proposed, change.RolledBack:
		c.guard.BeginChange()
	case change.Confirmed:
		c.guard.AcceptChange()
	}
}

// findings checks a version against the endpoint list and returns the findings. The caller holds c.mu.
func (c *Controller) findings(version uint64) (findings []change.Finding) {
	table, problems, err := c.compile(c.versions.Text(version))
	if err != nil {
		return []change.Finding{{IsError: true, Text: err.Error(), Remedy: "correct the configuration"}}
	}
	if table != nil {
		problems = append(problems, table.Check(c.sortedCaches())...)
	}
	for _, p := range problems {
		findings = append(findings, change.Finding{IsError: p.IsError, Path: p.Path, Text: p.Text, Remedy: p.Remedy})
	}
	return findings
}

// recheck checks a change again before its next step and rolls it back at the first error. The caller holds c.mu.
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

// History returns the retained versions and the active ones.
func (c *Controller) History() ([]change.VersionInfo, change.Active) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.History(), c.versions.Active()
}

// Text returns the configuration of a version, or nil if the version is not retained.
func (c *Controller) Text(version uint64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions.Text(version)
}

// Plan returns the impact that a configuration would have on a captured load, and the
// problems of the configuration. The impact is empty if the configuration does not compile.
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

// Run rolls back changes that are not confirmed in time or that
// trip the guard, until the lifetime ends. It then closes the log.
func (c *Controller) Run(lifetime *env.Lifetime) error {
	ended := c.env.NewNotifier()
	defer lifetime.OnEnd(ended.Notify)()
	for !ended.Wait(tickInterval) {
		c.Tick()
	}
	c.Close()
	return nil
}

// Tick rolls the change in progress back if its deadline has passed or if it trips the guard.
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
		c.commit(step, nil) // a rollback takes effect even if its write fails; commit logs that failure
	}
}

// rollBackIfTripped rolls a staged or applied change back if it trips the guard. The caller holds c.mu.
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
