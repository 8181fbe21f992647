package change

import (
	"cmp"
	"slices"
	"time"
)

// Recover rebuilds the versions from logged steps, which must be in their original order. A
// change that was in progress when the process ended is rolled back, and Recover returns the
// step of that rollback for the log. A step that cannot follow the steps before it is an error.
func Recover(steps []Step) (*Versions, []Step, error) {
	v, steps, err := recoverVersions(steps)
	if err != nil {
		return nil, nil, err
	}
	for i, step := range steps {
		if err := v.replay(step); err != nil {
			return nil, nil, newError("delete the log, or restore it", "change log: step %d (version %d, %s): %v", i+2, step.Version, step.Stage, err)
		}
	}
	if v.inProgress == nil {
		return v, nil, nil
	}
	return v, []Step{v.rollBack("the process ended before it was confirmed", nil)}, nil
}

// recoverVersions rebuilds the archived versions and the confirmed version,
// with which every log begins. It returns the steps that follow them.
func recoverVersions(steps []Step) (v *Versions, rest []Step, err error) {
	v = &Versions{}
	for len(steps) > 0 && steps[0].Stage == Archived {
		v.versions = append(v.versions, versionOf(steps[0], steps[0].FinalStage))
		steps = steps[1:]
	}
	if len(steps) == 0 || steps[0].Stage != Confirmed || len(steps[0].Text) == 0 {
		return nil, nil, newError("delete the log, or restore it", "change log: it does not begin with a confirmed version")
	}
	v.confirmed = steps[0].Version
	v.versions = append(v.versions, versionOf(steps[0], Confirmed))
	slices.SortFunc(v.versions, func(a, b *version) int { return cmp.Compare(a.number, b.number) })
	v.lastNumber = v.versions[len(v.versions)-1].number
	return v, steps[1:], nil
}

func versionOf(step Step, stage Stage) *version {
	return &version{number: step.Version, parent: step.Parent, stage: stage, author: step.Author, reason: step.Reason, text: step.Text}
}

// replay applies one logged step. Deadlines from before a restart
// have no meaning, so every step is replayed at the same time.
func (v *Versions) replay(step Step) error {
	start := time.Unix(0, 0)
	timeout := time.Duration(step.TimeoutMS) * time.Millisecond
	var err error
	switch step.Stage {
	case Proposed:
		if step.Version <= v.lastNumber {
			return newError("", "the version number is not above %d", v.lastNumber)
		}
		v.lastNumber = step.Version - 1
		_, err = v.Propose(step.Parent, step.Text, step.Author, step.Reason)
	case Checked:
		_, err = v.Check(step.Version, step.Findings)
	case Staged:
		_, err = v.Stage(start, step.Version, step.Share, timeout)
	case Applied:
		_, err = v.Apply(start, step.Version, timeout)
	case Confirmed:
		_, err = v.Confirm(start, step.Version)
	case RolledBack:
		_, err = v.RollBack(step.Version, step.Reason)
	default:
		err = newError("", "the stage is unknown")
	}
	return err
}

// Snapshot returns the shortest sequence of steps from which Recover rebuilds the versions:
// the archived versions, the confirmed version and then the steps of the change in progress.
func (v *Versions) Snapshot() (steps []Step) {
	for _, version := range v.versions {
		if version.number != v.confirmed && version != v.inProgress {
			archived := version.step(Archived)
			archived.FinalStage = version.stage
			steps = append(steps, archived)
		}
	}
	steps = append(steps, v.find(v.confirmed).step(Confirmed))
	return append(steps, v.stepsInProgress()...)
}

// stepsInProgress returns the steps of the change in progress.
func (v *Versions) stepsInProgress() (steps []Step) {
	changed := v.inProgress
	if changed == nil {
		return nil
	}
	steps = append(steps, changed.step(Proposed))
	if changed.stage != Proposed {
		steps = append(steps, Step{Version: changed.number, Parent: changed.parent, Stage: Checked, Findings: changed.findings})
	}
	if changed.stage == Staged || changed.stage == Applied {
		steps = append(steps, Step{Version: changed.number, Parent: changed.parent, Stage: changed.stage, Share: v.share, TimeoutMS: v.timeout.Milliseconds()})
	}
	return steps
}

// step returns a step that holds the complete version.
func (v *version) step(stage Stage) Step {
	return Step{Version: v.number, Parent: v.parent, Stage: stage, Author: v.author, Reason: v.reason, Text: v.text}
}
