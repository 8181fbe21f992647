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

// do takes a step: it is decided, written and synced, and then put in force. A step that cannot be written is none.
func (s *Steer) do(take func(now time.Time) (change.Step, error)) (change.Step, error) {
	s.step.Lock()
	defer s.step.Unlock()
	s.mu.Lock()
	was := s.changes.Snapshot()
	step, err := take(s.g.Now())
	s.mu.Unlock()
	if err != nil {
		return step, err
	}
	step.At = s.g.Now()
	return step, s.keep(step, was)
}

// keep writes a step that the changes have taken, and puts it in force; without a write the changes go back.
func (s *Steer) keep(step change.Step, was []change.Step) error {
	err := s.write(step)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.g.Log().Warn("routes_not_kept", "version", step.No, "stage", string(step.Stage), "text", err.Error())
		if step.Stage != change.Undone { // what is undone stays undone: the record then holds less than is in force, never more
			if back, _, bad := change.Recover(was); bad == nil {
				s.changes = back
			}
			s.put()
			return err
		}
	}
	if bad := s.put(); bad != nil {
		return bad
	}
	s.watch(step)
	s.g.Log().Info("routes", "version", step.No, "stage", string(step.Stage), "share", step.Share, "author", step.Author, "reason", step.Reason)
	return err
}

func (s *Steer) write(step change.Step) error {
	if s.rec == nil {
		return nil
	}
	text, err := cbor.Marshal(step)
	if err != nil {
		return err
	}
	if err := s.rec.Append(text); err != nil {
		return err
	}
	if s.rec.Size() > mostRecord {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.snapshot()
	}
	return nil
}

// watch tells the guard of a step, under the lock. It watches always, so that it knows how things were before a change is applied to all;
// a change that was staged first has its own side watched from there on.
func (s *Steer) watch(step change.Step) {
	switch step.Stage {
	case change.Proposed, change.Undone:
		s.guard.Begin()
	case change.Confirmed:
		s.guard.Accept()
	}
}

// Propose begins a change of the version that its author has seen, and checks it: what is found comes with the step. With an error
// among it the change is over.
func (s *Steer) Propose(parent uint64, c pools.Config, author, reason string) (change.Step, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return change.Step{}, err
	}
	step, err := s.do(func(time.Time) (change.Step, error) { return s.changes.Propose(parent, text, author, reason) })
	if err != nil {
		return step, err
	}
	return s.Check(step.No)
}

// Back proposes an earlier version's configuration, and checks it.
func (s *Steer) Back(to uint64, author, reason string) (change.Step, error) {
	step, err := s.do(func(time.Time) (change.Step, error) { return s.changes.Back(to, author, reason) })
	if err != nil {
		return step, err
	}
	return s.Check(step.No)
}

// Check checks the change under way against the list as it is now.
func (s *Steer) Check(no uint64) (change.Step, error) {
	return s.do(func(time.Time) (change.Step, error) { return s.changes.Check(no, s.findings(no)) })
}

func (s *Steer) findings(no uint64) (all []change.Finding) {
	t, faults, err := s.compile(s.changes.Text(no))
	if err != nil {
		return []change.Finding{{Error: true, Text: err.Error(), Remedy: "mend it there"}}
	}
	if t != nil {
		faults = append(faults, t.Check(s.caches())...)
	}
	for _, f := range faults {
		all = append(all, change.Finding{Error: f.Error, Path: f.Path, Text: f.Text, Remedy: f.Remedy})
	}
	return all
}

// Stage puts the change in place for a share of the objects; it is checked once more before, as the list may have changed.
func (s *Steer) Stage(no uint64, share float64, within time.Duration) (change.Step, error) {
	return s.do(func(now time.Time) (change.Step, error) {
		if step, bad := s.again(no); bad {
			return step, nil
		}
		return s.changes.Stage(now, no, share, within)
	})
}

// Apply puts the change in place for all, checked once more.
func (s *Steer) Apply(no uint64, within time.Duration) (change.Step, error) {
	return s.do(func(now time.Time) (change.Step, error) {
		if step, bad := s.again(no); bad {
			return step, nil
		}
		return s.changes.Apply(now, no, within)
	})
}

// again checks a change that is about to go on; one that fails is undone.
func (s *Steer) again(no uint64) (change.Step, bool) {
	for _, f := range s.findings(no) {
		if f.Error {
			if step, err := s.changes.Undo(no, f.Path+": "+f.Text); err == nil {
				step.Finding = []change.Finding{f}
				return step, true
			}
		}
	}
	return change.Step{}, false
}

// Confirm makes an applied change the one in force for good.
func (s *Steer) Confirm(no uint64) (change.Step, error) {
	return s.do(func(now time.Time) (change.Step, error) { return s.changes.Confirm(now, no) })
}

// Undo ends the change under way.
func (s *Steer) Undo(no uint64, why string) (change.Step, error) {
	return s.do(func(time.Time) (change.Step, error) { return s.changes.Undo(no, why) })
}

// File is word of the operators' file, read anew: other routes than those in force are proposed, checked and applied, and wait for their
// confirmation: by hand, or by the same file once more. The routes in force, while a change of the file waits, undo that change.
func (s *Steer) File(c pools.Config, within time.Duration) (change.Step, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return change.Step{}, err
	}
	s.mu.Lock()
	head, under := s.changes.Head(), s.changes.Under()
	waits := under != nil && under.Author == byFile
	same := func(no uint64) bool { return bytes.Equal(s.changes.Text(no), text) }
	again, back := waits && same(under.No), same(head)
	s.mu.Unlock()
	switch {
	case again:
		return s.Confirm(under.No)
	case back && waits:
		return s.Undo(under.No, "the file has the routes of before again")
	case back:
		return change.Step{No: head, Stage: change.Confirmed}, nil
	case waits: // the file has changed once more; one that cannot be used leaves the change that waits as it is
		t, faults := pools.Compile(c, s.kinds)
		if t != nil {
			s.mu.Lock()
			faults = append(faults, t.Check(s.caches())...)
			s.mu.Unlock()
		}
		for _, f := range faults {
			if f.Error {
				return change.Step{}, change.Fault{Text: f.Path + ": " + f.Text, Remedy: f.Remedy}
			}
		}
		if step, err := s.Undo(under.No, "the file has changed"); err != nil {
			return step, err
		}
	}
	step, err := s.Propose(head, c, byFile, "the file was read anew")
	if err != nil || step.Stage != change.Checked {
		return step, err
	}
	return s.Apply(step.No, within)
}

const byFile = "file"

// History is the versions that are kept, and what is in force.
func (s *Steer) History() ([]change.Entry, change.Force) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes.History(), s.changes.Force()
}

// Text is a version's configuration; nil where it is not kept.
func (s *Steer) Text(no uint64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes.Text(no)
}

// Plan tells what a configuration would move of a load.
func (s *Steer) Plan(c pools.Config, load []pools.Load) (pools.Move, []pools.Fault) {
	t, faults := pools.Compile(c, s.kinds)
	if t == nil {
		return pools.Move{}, faults
	}
	s.mu.Lock()
	all := s.caches()
	s.mu.Unlock()
	return s.now.Load().base.Plan(t.See(0, all), load), append(faults, t.Check(all)...)
}

// Run undoes what is not confirmed in time, and what its guard finds worse, until life ends.
func (s *Steer) Run(life *env.Life) error {
	end := s.g.Bell()
	defer life.OnEnd(end.Ring)()
	for !end.Wait(pace) {
		s.Tick()
	}
	s.Close()
	return nil
}

// Tick brings the time.
func (s *Steer) Tick() {
	s.step.Lock()
	defer s.step.Unlock()
	s.mu.Lock()
	now := s.g.Now()
	steps, _ := s.changes.Tick(now)
	if f := s.changes.Force(); len(steps) == 0 && (f.Next != 0 || f.Base != s.changes.Head()) {
		if why := s.guard.Tripped(); why != "" {
			if step, err := s.changes.Undo(s.under(), why); err == nil {
				steps = append(steps, step)
			}
		}
	}
	s.mu.Unlock()
	for _, step := range steps {
		step.At = now
		s.keep(step, nil)
	}
}

// under is the version under way that is staged or applied.
func (s *Steer) under() uint64 {
	f := s.changes.Force()
	if f.Next != 0 {
		return f.Next
	}
	return f.Base
}
