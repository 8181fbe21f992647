package rollout

import (
	"bytes"
	"encoding/json"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/route/pools"
)

const fileAuthor = "file" // of changes by the operators' file

// ApplyFile takes the operators' file, read anew. Other routes than the active ones are proposed, checked and applied, and wait for their
// confirmation: by hand, or by the same file once more. If the file has the confirmed routes while a change of it waits, that change is rolled
// back.
func (c *Controller) ApplyFile(routes config.RouteConfig, timeout time.Duration) (change.Step, error) {
	text, err := json.Marshal(routes)
	if err != nil {
		return change.Step{}, err
	}
	file := c.compareFile(text)
	switch {
	case file.isRepeated:
		return c.Confirm(file.waiting)
	case file.isConfirmed && file.isWaiting:
		return c.RollBack(file.waiting, "the file has the routes of before again")
	case file.isConfirmed:
		return change.Step{Version: file.confirmed, Stage: change.Confirmed}, nil
	case file.isWaiting: // the file has changed once more; one that cannot be used leaves the change that waits as it is
		if err := c.checkFile(routes); err != nil {
			return change.Step{}, err
		}
		if step, err := c.RollBack(file.waiting, "the file has changed"); err != nil {
			return step, err
		}
	}
	step, err := c.Propose(file.confirmed, routes, fileAuthor, "the file was read anew")
	if err != nil || step.Stage != change.Checked {
		return step, err
	}
	return c.Apply(step.Version, timeout)
}

// fileState is how the operators' file stands to the versions.
type fileState struct {
	confirmed   uint64
	isConfirmed bool   // the file has the confirmed routes
	isWaiting   bool   // an earlier change by the file waits for its confirmation
	waiting     uint64 // its version
	isRepeated  bool   // the file has the routes of that change
}

func (c *Controller) compareFile(text []byte) (state fileState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state.confirmed = c.versions.Confirmed()
	state.isConfirmed = bytes.Equal(c.versions.Text(state.confirmed), text)
	if inProgress := c.versions.InProgress(); inProgress != nil && inProgress.Author == fileAuthor {
		state.isWaiting = true
		state.waiting = inProgress.Version
		state.isRepeated = bytes.Equal(c.versions.Text(state.waiting), text)
	}
	return state
}

// checkFile returns the first error of a configuration.
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
