package rollout

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"foldslip/internal/config/change"
	"foldslip/internal/env"
	"foldslip/internal/route/pools"
)

// takeStep takes a step: it is decided, written and synced, and then put in force. A step that cannot be written is none.
func (s *Controller) takeStep(take func(now time.Time) (change.Step, error)) (change.Step, error) {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	s.mu.Lock()
	was := s.versions.Snapshot()
	step, err := take(s.env.Now())
	s.mu.Unlock()
	if err != nil {
		return step, err
	}
	step.At = s.env.Now()
	return step, s.commit(step, was)
}

// commit writes a step that the changes have taken, and puts it in force; without a write the changes go back.
func (s *Controller) commit(step change.Step, was []change.Step) error {
	err := s.persist(step)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.env.Log().Warn("routes_not_kept", "version", step.Version, "stage", string(step.Stage), "text", err.Error())
		if step.Stage != change.RolledBack { // what is undone stays undone: the record then holds less than is in force, never more
			if back, _, bad := change.Recover(was); bad == nil {
				s.versions = back
			}
			s.activate()
			return err
		}
	}
	if bad := s.activate(); bad != nil {
		return bad
	}
	s.notifyGuard(step)
	s.env.Log().Info("routes", "version", step.Version, "stage", string(step.Stage), "share", step.Share, "author", step.Author, "reason", step.Reason)
	return err
}

func (s *Controller) persist(step change.Step) error {
	if s.log == nil {
		return nil
	}
	text, err := cbor.Marshal(step)
	if err != nil {
		return err
	}
	if err := s.log.Append(text); err != nil {
		return err
	}
	if s.log.Size() > maxLogBytes {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.writeSnapshot()
	}
	return nil
}

// notifyGuard tells the guard of a step, under the lock. It watches always, so that it knows how things were before a change is applied to all;
// a change that was staged first has its own side watched from there on.
func (s *Controller) notifyGuard(step change.Step) {
	switch step.Stage {
	case change.Proposed, change.RolledBack:
		s.guard.BeginChange()
	case change.Confirmed:
		s.guard.AcceptChange()
	}
}

// Propose begins a change of the version that its author has seen, and checks it: what is found comes with the step. With an error
// among it the change is over.
func (s *Controller) Propose(parent uint64, c pools.Config, author, reason string) (change.Step, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return change.Step{}, err
	}
	step, err := s.takeStep(func(time.Time) (change.Step, error) { return s.versions.Propose(parent, text, author, reason) })
	if err != nil {
		return step, err
	}
	return s.Check(step.Version)
}

// ProposeEarlier proposes an earlier version's configuration, and checks it.
func (s *Controller) ProposeEarlier(to uint64, author, reason string) (change.Step, error) {
	step, err := s.takeStep(func(time.Time) (change.Step, error) { return s.versions.ProposeEarlier(to, author, reason) })
	if err != nil {
		return step, err
	}
	return s.Check(step.Version)
}

// Check checks the change under way against the list as it is now.
func (s *Controller) Check(no uint64) (change.Step, error) {
	return s.takeStep(func(time.Time) (change.Step, error) { return s.versions.Check(no, s.findings(no)) })
}

func (s *Controller) findings(no uint64) (all []change.Finding) {
	t, faults, err := s.compile(s.versions.Text(no))
	if err != nil {
		return []change.Finding{{IsError: true, Text: err.Error(), Remedy: "mend it there"}}
	}
	if t != nil {
		faults = append(faults, t.Check(s.sortedCaches())...)
	}
	for _, f := range faults {
		all = append(all, change.Finding{IsError: f.IsError, Path: f.Path, Text: f.Text, Remedy: f.Remedy})
	}
	return all
}

// Stage puts the change in place for a share of the objects; it is checked once more before, as the list may have changed.
func (s *Controller) Stage(no uint64, share float64, within time.Duration) (change.Step, error) {
	return s.takeStep(func(now time.Time) (change.Step, error) {
		if step, bad := s.recheck(no); bad {
			return step, nil
		}
		return s.versions.Stage(now, no, share, within)
	})
}

// Apply puts the change in place for all, checked once more.
func (s *Controller) Apply(no uint64, within time.Duration) (change.Step, error) {
	return s.takeStep(func(now time.Time) (change.Step, error) {
		if step, bad := s.recheck(no); bad {
			return step, nil
		}
		return s.versions.Apply(now, no, within)
	})
}

// recheck checks a change that is about to go on; one that fails is undone.
func (s *Controller) recheck(no uint64) (change.Step, bool) {
	for _, f := range s.findings(no) {
		if f.IsError {
			if step, err := s.versions.RollBack(no, f.Path+": "+f.Text); err == nil {
				step.Findings = []change.Finding{f}
				return step, true
			}
		}
	}
	return change.Step{}, false
}

// Confirm makes an applied change the one in force for good.
func (s *Controller) Confirm(no uint64) (change.Step, error) {
	return s.takeStep(func(now time.Time) (change.Step, error) { return s.versions.Confirm(now, no) })
}

// RollBack ends the change under way.
func (s *Controller) RollBack(no uint64, why string) (change.Step, error) {
	return s.takeStep(func(time.Time) (change.Step, error) { return s.versions.RollBack(no, why) })
}

// ApplyFile is word of the operators' file, read anew: other routes than those in force are proposed, checked and applied, and wait for their
// confirmation: by hand, or by the same file once more. The routes in force, while a change of the file waits, undo that change.
func (s *Controller) ApplyFile(c pools.Config, within time.Duration) (change.Step, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return change.Step{}, err
	}
	s.mu.Lock()
	head, under := s.versions.Confirmed(), s.versions.InProgress()
	waits := under != nil && under.Author == fileAuthor
	same := func(no uint64) bool { return bytes.Equal(s.versions.Text(no), text) }
	again, back := waits && same(under.Version), same(head)
	s.mu.Unlock()
	switch {
	case again:
		return s.Confirm(under.Version)
	case back && waits:
		return s.RollBack(under.Version, "the file has the routes of before again")
	case back:
		return change.Step{Version: head, Stage: change.Confirmed}, nil
	case waits: // the file has changed once more; one that cannot be used leaves the change that waits as it is
		t, faults := pools.Compile(c, s.kinds)
		if t != nil {
			s.mu.Lock()
			faults = append(faults, t.Check(s.sortedCaches())...)
			s.mu.Unlock()
		}
		for _, f := range faults {
			if f.IsError {
				return change.Step{}, change.Error{Text: f.Path + ": " + f.Text, Remedy: f.Remedy}
			}
		}
		if step, err := s.RollBack(under.Version, "the file has changed"); err != nil {
			return step, err
		}
	}
	step, err := s.Propose(head, c, fileAuthor, "the file was read anew")
	if err != nil || step.Stage != change.Checked {
		return step, err
	}
	return s.Apply(step.Version, within)
}

const fileAuthor = "file"

// History is the versions that are kept, and what is in force.
func (s *Controller) History() ([]change.VersionInfo, change.Active) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.History(), s.versions.Active()
}

// Text is a version's configuration; nil where it is not kept.
func (s *Controller) Text(no uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.Text(no)
}

// Plan tells what a configuration would move of a load.
func (s *Controller) Plan(c pools.Config, load []pools.LoadSample) (pools.Impact, []pools.Problem) {
	t, faults := pools.Compile(c, s.kinds)
	if t == nil {
		return pools.Impact{}, faults
	}
	s.mu.Lock()
	all := s.sortedCaches()
	s.mu.Unlock()
	return s.active.Load().base.Plan(t.View(0, all), load), append(faults, t.Check(all)...)
}

// Run undoes what is not confirmed in time, and what its guard finds worse, until life ends.
func (s *Controller) Run(life *env.Lifetime) error {
	end := s.env.NewNotifier()
	defer life.OnEnd(end.Notify)()
	for !end.Wait(tickInterval) {
		s.Tick()
	}
	s.Close()
	return nil
}

// Tick brings the time.
func (s *Controller) Tick() {
	s.stepMu.Lock()
	defer s.stepMu.Unlock()
	s.mu.Lock()
	now := s.env.Now()
	steps, _ := s.versions.Tick(now)
	if f := s.versions.Active(); len(steps) == 0 && (f.Next != 0 || f.Base != s.versions.Confirmed()) {
		if why := s.guard.Tripped(); why != "" {
			if step, err := s.versions.RollBack(s.versionInProgress(), why); err == nil {
				steps = append(steps, step)
			}
		}
	}
	s.mu.Unlock()
	for _, step := range steps {
		step.At = now
		s.commit(step, nil)
	}
}

// versionInProgress is the version under way that is staged or applied.
func (s *Controller) versionInProgress() uint64 {
	f := s.versions.Active()
	if f.Next != 0 {
		return f.Next
	}
	return f.Base
}
