package rollout

import (
	"bytes"
	"encoding/json"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/route/pools"
)

const fileAuthor = "file" // author of changes that come from the operators' file

// ApplyFile applies the routes of the operators' file after it was read again. Routes that have changed since the file
// was last read are proposed, checked and applied. The change then waits for its confirmation, by hand or by another
// reload of the same file, and is rolled back after the timeout. If the file holds the confirmed routes while an earlier
// change from the file waits, that change is rolled back. An unchanged file changes nothing, even if the confirmed
// routes are others: operators may have changed them by hand since. A file that was refused counts as not read, so that
// it is checked again at the next reload.
func (c *Controller) ApplyFile(routes config.RouteConfig, timeout time.Duration) (change.Step, error) {
	text, err := json.Marshal(routes)
	if err != nil {
		return change.Step{}, err
	}
	step, err := c.applyFileText(text, routes, timeout)
	if err == nil && len(step.Findings) == 0 {
		c.setLastFile(text)
	}
	return step, err
}

func (c *Controller) applyFileText(text []byte, routes config.RouteConfig, timeout time.Duration) (change.Step, error) {
	file := c.compareFile(text)
	switch {
	case file.isRepeated:
		return c.Confirm(file.waiting)
	case file.isConfirmed && file.isWaiting:
		return c.RollBack(file.waiting, "the file holds the confirmed routes again")
	case file.isConfirmed || file.isUnchanged:
		return change.Step{Version: file.confirmed, Stage: change.Confirmed}, nil
	case file.isWaiting:
		// The file has changed again. A file with errors leaves the waiting change as it is.
		if err := c.checkFile(routes); err != nil {
			return change.Step{}, err
		}
		if step, err := c.RollBack(file.waiting, "the file has changed"); err != nil {
			return step, err
		}
	}
	step, err := c.Propose(file.confirmed, routes, fileAuthor, "the file was reloaded")
	if err != nil || step.Stage != change.Checked {
		return step, err
	}
	return c.Apply(step.Version, timeout)
}

// setLastFile records the routes of the operators' file as it was last read.
func (c *Controller) setLastFile(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFile = text
}

// fileState describes how the operators' file compares with the file as it was last read, with the confirmed version
// and with the change in progress.
type fileState struct {
	confirmed   uint64 // confirmed version
	isConfirmed bool   // the file holds the confirmed routes
	isUnchanged bool   // the file holds the same routes as when it was last read
	isWaiting   bool   // an earlier change from the file is in progress
	waiting     uint64 // version of that change
	isRepeated  bool   // the file holds the routes of that change
}

func (c *Controller) compareFile(text []byte) (state fileState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state.confirmed = c.versions.Confirmed()
	state.isConfirmed = bytes.Equal(c.versions.Text(state.confirmed), text)
	state.isUnchanged = bytes.Equal(c.lastFile, text)
	if inProgress := c.versions.InProgress(); inProgress != nil && inProgress.Author == fileAuthor {
		state.isWaiting = true
		state.waiting = inProgress.Version
		state.isRepeated = bytes.Equal(c.versions.Text(state.waiting), text)
	}
	return state
}

// checkFile checks routes against the endpoint list and returns the first error.
func (c *Controller) checkFile(routes config.RouteConfig) error {
	table, problems := pools.Compile(routes, c.kinds)
	if table != nil {
		c.mu.Lock()
		problems = append(problems, table.Check(c.sortedCaches())...)
		c.mu.Unlock()
	}
	for _, p := range problems {
		if p.IsError {
			return change.Error{Text: p.Path + ": " + p.Text, Remedy: p.Remedy}
		}
	}
	return nil
}
