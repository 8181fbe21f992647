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
	step, err := c.runStep(func(d *draft) (change.Step, error) { return d.versions.Propose(parent, text, author, reason) })
	if err != nil {
		return step, err
	}
	return c.Check(step.Version)
}

// ProposeEarlier proposes the configuration of an earlier version as a new change and checks it.
func (c *Controller) ProposeEarlier(version uint64, author, reason string) (change.Step, error) {
	step, err := c.runStep(func(d *draft) (change.Step, error) { return d.versions.ProposeEarlier(version, author, reason) })
	if err != nil {
		return step, err
	}
	return c.Check(step.Version)
}

// Check checks the change in progress against the current endpoint list.
func (c *Controller) Check(version uint64) (change.Step, error) {
	return c.runStep(func(d *draft) (change.Step, error) { return d.versions.Check(version, c.findings(d, version)) })
}

// Stage makes the change active for a share of the objects. It first checks the change
// again, because the endpoint list may have changed, and rolls the change back at an error.
func (c *Controller) Stage(version uint64, share float64, timeout time.Duration) (change.Step, error) {
	return c.runStep(func(d *draft) (change.Step, error) {
		if step, isRolledBack := c.recheck(d, version); isRolledBack {
			return step, nil
		}
		return d.versions.Stage(d.now, version, share, timeout)
	})
}

// Apply makes the change active for all objects. It first checks the change again, as Stage does.
func (c *Controller) Apply(version uint64, timeout time.Duration) (change.Step, error) {
	return c.runStep(func(d *draft) (change.Step, error) {
		if step, isRolledBack := c.recheck(d, version); isRolledBack {
			return step, nil
		}
		return d.versions.Apply(d.now, version, timeout)
	})
}

// Confirm makes an applied change the confirmed version.
func (c *Controller) Confirm(version uint64) (change.Step, error) {
	return c.runStep(func(d *draft) (change.Step, error) { return d.versions.Confirm(d.now, version) })
}

// RollBack rolls the change in progress back.
func (c *Controller) RollBack(version uint64, reason string) (change.Step, error) {
	return c.runStep(func(d *draft) (change.Step, error) { return d.versions.RollBack(version, reason) })
}

// draft is what a step is decided on. Nobody else sees it until the step is committed.
type draft struct {
	now      time.Time
	versions *change.Versions // a copy
	caches   []pools.Cache    // sorted by name
}

// runStep runs one step: decide takes it on a draft, which is committed.
func (c *Controller) runStep(decide func(*draft) (change.Step, error)) (change.Step, error) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.mu.Lock()
	d := &draft{now: c.env.Now(), versions: c.versions.Clone(), caches: c.sortedCaches()}
	c.mu.Unlock()
	step, err := decide(d)
	if err != nil {
		return step, err
	}
	step.At = c.env.Now()
	return step, c.commit(step, d.versions)
}

// commit writes and syncs a step that has been taken on a copy of the versions, and then makes the copy visible. If the
// write fails, the step has no effect. A rollback takes effect even then: the log holds less than is active, but never
// more. The caller holds c.stepMu.
func (c *Controller) commit(step change.Step, versions *change.Versions) error {
	tables, err := c.compileActive(versions)
	if err != nil {
		return err
	}
	writeErr := c.writeStep(step, versions)
	if writeErr != nil {
		c.env.Log().Warn("route_change_not_saved", "version", step.Version, "stage", string(step.Stage), "error", writeErr.Error())
		if step.Stage != change.RolledBack {
			return writeErr
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.install(versions, tables)
	c.notifyGuard(step)
	c.env.Log().Info("route_change_step", "version", step.Version, "stage", string(step.Stage), "share", step.Share, "author", step.Author,
		"reason", step.Reason)
	return writeErr
}

// writeStep appends a step to the log. If that is not possible, it begins a new generation with the versions after the
// step: the log accepts no step after a failed one, and a step that was lost would make later ones unreadable.
func (c *Controller) writeStep(step change.Step, versions *change.Versions) error {
	if c.log == nil {
		return nil
	}
	encoded, err := cbor.Marshal(step)
	if err != nil {
		return err
	}
	if err := c.log.Append(encoded); err != nil {
		if c.writeSnapshot(versions) != nil {
			return err
		}
		return nil
	}
	if c.log.Size() > maxLogBytes {
		if err := c.writeSnapshot(versions); err != nil { // the step is written; the next one tries again
			c.env.Log().Warn("route_log_not_shortened", "error", err.Error())
		}
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

// findings checks a version against the endpoint list and returns the findings.
func (c *Controller) findings(d *draft, version uint64) (findings []change.Finding) {
	table, problems, err := c.compile(d.versions.Text(version))
	if err != nil {
		return []change.Finding{{IsError: true, Text: err.Error(), Remedy: "correct the configuration"}}
	}
	if table != nil {
		problems = append(problems, table.Check(d.caches)...)
	}
	for _, p := range problems {
		findings = append(findings, change.Finding{IsError: p.IsError, Path: p.Path, Text: p.Text, Remedy: p.Remedy})
	}
	return findings
}

// recheck checks a change again before its next step and rolls it back at the first error.
func (c *Controller) recheck(d *draft, version uint64) (step change.Step, isRolledBack bool) {
	for _, f := range c.findings(d, version) {
		if !f.IsError {
			continue
		}
		if step, err := d.versions.RollBack(version, f.Path+": "+f.Text); err == nil {
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
	now := c.env.Now()
	versions, steps := c.decideRollback(now)
	for _, step := range steps {
		step.At = now
		c.commit(step, versions) // a rollback takes effect even if its write fails; commit logs that failure
	}
}

// decideRollback returns the rollback that is due, if one is, and the versions after it. The caller holds c.stepMu.
func (c *Controller) decideRollback(now time.Time) (versions *change.Versions, steps []change.Step) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versions.InProgress() == nil {
		return nil, nil
	}
	versions = c.versions.Clone()
	if steps, _ = versions.Tick(now); len(steps) == 0 {
		steps = c.rollBackIfTripped(versions)
	}
	return versions, steps
}

// rollBackIfTripped rolls a staged or applied change back if it trips the guard. The caller holds c.mu.
func (c *Controller) rollBackIfTripped(versions *change.Versions) []change.Step {
	active := versions.Active()
	watched := active.Base
	if active.Next != 0 {
		watched = active.Next
	}
	if watched == versions.Confirmed() {
		return nil
	}
	reason := c.guard.Tripped()
	if reason == "" {
		return nil
	}
	step, err := versions.RollBack(watched, reason)
	if err != nil {
		return nil
	}
	return []change.Step{step}
}
