// Package change is changes of configuration as transactions: proposed against a parent version, checked, staged for a share of the
// lookups, applied to all, and confirmed, or else undone. It does no I/O: calls and the time go in, steps for the record and what is to
// be put in place come out. A change is under way alone; who comes second is told so with its number.
//
// What holds, whatever comes in which order:
//   - each lookup is decided under one whole version: the one before a change or the change, by the hash of its object (Side), so
//     that an object stays on one side while the share does not move;
//   - a change that is not confirmed within its time is undone by itself, and so is one whose guards trip;
//   - after a restart the last confirmed version is in force, and what was under way counts as undone (Recover). Never a mix: versions
//     are whole and named by number, and a record cut at any step leaves either the step or not;
//   - an undo puts the very version back that was confirmed before, not one made anew from a difference.
//
// Spans are counted by the clock that never runs backwards; a step of the time of day moves no confirmation.
package change

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Stage is how far a version has come.
type Stage string

const (
	Proposed   Stage = "proposed"
	Checked    Stage = "checked"
	Staged     Stage = "staged"  // for a share of the lookups
	Applied    Stage = "applied" // for all, until confirmed
	Confirmed  Stage = "confirmed"
	RolledBack Stage = "undone"
	Archived   Stage = "kept" // in a snapshot: an earlier version, Was what became of it
)

// Step is one step of a version, as it stands in the record.
type Step struct {
	Version    uint64    `json:"no" cbor:"1,keyasint"` // of the version
	Parent     uint64    `json:"parent" cbor:"2,keyasint"`
	Stage      Stage     `json:"stage" cbor:"3,keyasint"`
	At         time.Time `json:"at" cbor:"4,keyasint"` // the time of day, for people only
	Author     string    `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
	Reason     string    `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
	Text       []byte    `json:"text,omitempty" cbor:"7,keyasint,omitempty"` // the whole configuration, with Proposed only
	Share      float64   `json:"share,omitempty" cbor:"8,keyasint,omitempty"`
	TimeoutMS  int64     `json:"within_ms,omitempty" cbor:"9,keyasint,omitempty"`
	Findings   []Finding `json:"findings,omitempty" cbor:"10,keyasint,omitempty"`
	FinalStage Stage     `json:"was,omitempty" cbor:"11,keyasint,omitempty"`
}

// Finding is what a check has found. One that is an error stops the change.
type Finding struct {
	IsError bool   `json:"error" cbor:"1,keyasint"`
	Path    string `json:"path" cbor:"2,keyasint"`
	Text    string `json:"text" cbor:"3,keyasint"`
	Remedy  string `json:"remedy" cbor:"4,keyasint"`
}

// Error is a call that cannot be carried out: what, and what to do.
type Error struct{ Text, Remedy string }

func (f Error) Error() string { return f.Text + "; " + f.Remedy }

func newError(remedy, format string, a ...any) error { return Error{fmt.Sprintf(format, a...), remedy} }

const (
	maxTextBytes         = 1 << 20
	maxAuthorReasonBytes = 500
	maxVersions          = 64 // kept with their text; older ones are forgotten, never the confirmed one
	maxTimeout           = 24 * time.Hour
)

// version is one version.
type version struct {
	number, parent uint64
	stage          Stage
	author, reason string
	text           []byte
	rollbackReason string
	findings       []Finding
}

// Versions are the versions of one configuration. Its owner calls it under a lock of its own; bounds: mostVersion versions of mostText.
type Versions struct {
	versions   []*version // by number
	lastNumber uint64
	confirmed  uint64   // the confirmed one
	inProgress *version // the one under way
	share      float64
	deadline   time.Time // until then it must go on, or it is undone
	timeout    time.Duration
}

// Active is what is in force: Base for all objects but those of Share, which have Next. Next 0: Base for all.
type Active struct {
	Base  uint64  `json:"Base"`
	Next  uint64  `json:"Next"`
	Share float64 `json:"Share"`
}

// VersionFor is the version under which an object's lookups are decided. Hash is of the object alone.
func (f Active) VersionFor(hash uint64) uint64 {
	if f.Next != 0 && float64(hash>>11)/(1<<53) < f.Share {
		return f.Next
	}
	return f.Base
}

// New begins with a first version, confirmed.
func New(text []byte, author string) (*Versions, Step) {
	c := &Versions{lastNumber: 1, confirmed: 1}
	c.versions = []*version{{number: 1, stage: Confirmed, author: author, reason: "first", text: slices.Clone(text)}}
	return c, Step{Version: 1, Stage: Confirmed, Author: author, Reason: "first", Text: slices.Clone(text)}
}

// Active is what is in force now.
func (c *Versions) Active() Active {
	f := Active{Base: c.confirmed}
	if c.inProgress != nil {
		switch c.inProgress.stage {
		case Staged:
			f.Next, f.Share = c.inProgress.number, c.share
		case Applied:
			f.Base = c.inProgress.number
		}
	}
	return f
}

// Text is a version's configuration; nil where it is not kept.
func (c *Versions) Text(no uint64) []byte {
	if v := c.find(no); v != nil {
		return v.text
	}
	return nil
}

func (c *Versions) find(no uint64) *version {
	i, ok := slices.BinarySearchFunc(c.versions, no, func(v *version, no uint64) int {
		switch {
		case v.number < no:
			return -1
		case v.number > no:
			return 1
		}
		return 0
	})
	if !ok {
		return nil
	}
	return c.versions[i]
}

// Propose begins a change of the version that its author has seen.
func (c *Versions) Propose(parent uint64, text []byte, author, reason string) (Step, error) {
	switch {
	case c.inProgress != nil:
		return Step{}, newError(fmt.Sprintf("confirm or undo version %d first", c.inProgress.number), "version %d of %s is under way (%s)", c.inProgress.number, c.inProgress.author, c.inProgress.stage)
	case parent != c.confirmed:
		return Step{}, newError("look at what has changed since, and propose against it", "version %d is in force, the change is of %d", c.confirmed, parent)
	case len(text) == 0 || len(text) > maxTextBytes:
		return Step{}, newError(fmt.Sprintf("1 to %d", maxTextBytes), "%d bytes", len(text))
	case author == "" || reason == "" || len(author)+len(reason) > maxAuthorReasonBytes:
		return Step{}, newError(fmt.Sprintf("name both, in %d bytes at most", maxAuthorReasonBytes), "author or reason is missing or too long")
	}
	c.lastNumber++
	v := &version{number: c.lastNumber, parent: parent, stage: Proposed, author: author, reason: reason, text: slices.Clone(text)}
	c.versions = append(c.versions, v)
	c.inProgress = v
	c.dropOldest()
	return Step{Version: v.number, Parent: parent, Stage: Proposed, Author: author, Reason: reason, Text: slices.Clone(text)}, nil
}

// dropOldest drops the oldest versions past the bound.
func (c *Versions) dropOldest() {
	for len(c.versions) > maxVersions {
		i := slices.IndexFunc(c.versions, func(v *version) bool { return v.number != c.confirmed && v != c.inProgress })
		c.versions = slices.Delete(c.versions, i, i+1)
	}
}

// requireStage checks that a version is under way and has come to one of these stages.
func (c *Versions) requireStage(no uint64, stages ...Stage) error {
	if c.inProgress == nil || c.inProgress.number != no {
		if c.inProgress == nil {
			return newError("propose it", "version %d is not under way, none is", no)
		}
		return newError("name that one", "version %d is not under way, %d is", no, c.inProgress.number)
	}
	if !slices.Contains(stages, c.inProgress.stage) {
		return newError(fmt.Sprintf("expected one of %v", stages), "version %d is %s", no, c.inProgress.stage)
	}
	return nil
}

// Check notes what the checks have found. An error among them undoes the change.
func (c *Versions) Check(no uint64, findings []Finding) (Step, error) {
	if err := c.requireStage(no, Proposed, Checked); err != nil {
		return Step{}, err
	}
	for _, f := range findings {
		if f.IsError {
			return c.rollBack(fmt.Sprintf("%s: %s", f.Path, f.Text), findings), nil
		}
	}
	c.inProgress.stage, c.inProgress.findings = Checked, findings
	return Step{Version: no, Parent: c.inProgress.parent, Stage: Checked, Findings: findings}, nil
}

// Stage puts a checked change in place for a share of the objects, or moves the share of one that is staged, until it goes on.
func (c *Versions) Stage(now time.Time, no uint64, share float64, within time.Duration) (Step, error) {
	if err := c.requireStage(no, Checked, Staged); err != nil {
		return Step{}, err
	}
	if !(share > 0 && share < 1) {
		return Step{}, newError("above 0 and below 1; apply is for all", "share %g", share)
	}
	return c.activate(now, Staged, share, within)
}

// Apply puts a checked or staged change in place for all, until it is confirmed.
func (c *Versions) Apply(now time.Time, no uint64, within time.Duration) (Step, error) {
	if err := c.requireStage(no, Checked, Staged); err != nil {
		return Step{}, err
	}
	return c.activate(now, Applied, 0, within)
}

func (c *Versions) activate(now time.Time, stage Stage, share float64, within time.Duration) (Step, error) {
	if within <= 0 || within > maxTimeout {
		return Step{}, newError("above 0, at most a day", "%v to go on", within)
	}
	c.inProgress.stage, c.share, c.deadline, c.timeout = stage, share, now.Add(within), within
	return Step{Version: c.inProgress.number, Parent: c.inProgress.parent, Stage: stage, Share: share, TimeoutMS: within.Milliseconds()}, nil
}

// Confirm makes an applied change the one in force for good.
func (c *Versions) Confirm(now time.Time, no uint64) (Step, error) {
	if err := c.requireStage(no, Applied); err != nil {
		return Step{}, err
	}
	if !now.Before(c.deadline) {
		return c.rollBack("not confirmed within its time", nil), nil
	}
	v := c.inProgress
	v.stage, c.confirmed, c.inProgress = Confirmed, v.number, nil
	return Step{Version: v.number, Parent: v.parent, Stage: Confirmed}, nil
}

// RollBack ends the change under way; what was confirmed before it is in force again.
func (c *Versions) RollBack(no uint64, why string) (Step, error) {
	if err := c.requireStage(no, Proposed, Checked, Staged, Applied); err != nil {
		return Step{}, err
	}
	return c.rollBack(why, nil), nil
}

// ProposeEarlier proposes the text of an earlier version as a change of the one in force, so that it is checked, staged and confirmed like any
// other: the world has moved on since.
func (c *Versions) ProposeEarlier(to uint64, author, reason string) (Step, error) {
	v := c.find(to)
	switch {
	case v == nil:
		return Step{}, newError("see history", "version %d is not kept", to)
	case v.number == c.confirmed:
		return Step{}, newError("name another", "version %d is in force", to)
	}
	return c.Propose(c.confirmed, v.text, author, reason)
}

func (c *Versions) rollBack(why string, findings []Finding) Step {
	v := c.inProgress
	v.stage, v.rollbackReason, c.inProgress = RolledBack, why, nil
	return Step{Version: v.number, Parent: v.parent, Stage: RolledBack, Reason: why, Findings: findings}
}

// Tick brings the time: a change that did not go on in time is undone. It tells when to come next; zero: no need.
func (c *Versions) Tick(now time.Time) (steps []Step, next time.Time) {
	if c.inProgress == nil || c.inProgress.stage != Staged && c.inProgress.stage != Applied {
		return nil, time.Time{}
	}
	if !now.Before(c.deadline) {
		word := "not confirmed"
		if c.inProgress.stage == Staged {
			word = "neither applied nor undone"
		}
		return []Step{c.rollBack(fmt.Sprintf("%s within %v", word, c.timeout), nil)}, time.Time{}
	}
	return nil, c.deadline
}

// Recover makes the changes anew from the steps that the record holds, in their order, and tells what is to be added to it: a change
// that was under way when the process ended counts as undone. Steps that follow from none before them are a fault of the record.
func Recover(steps []Step) (*Versions, []Step, error) {
	c := &Versions{}
	for len(steps) > 0 && steps[0].Stage == Archived {
		k := steps[0]
		c.versions = append(c.versions, &version{number: k.Version, parent: k.Parent, stage: k.FinalStage, author: k.Author, reason: k.Reason, text: k.Text})
		steps = steps[1:]
	}
	if len(steps) == 0 || steps[0].Stage != Confirmed || len(steps[0].Text) == 0 {
		return nil, nil, newError("forget the record, or restore it", "the record does not begin with a confirmed version")
	}
	first := steps[0]
	c.confirmed = first.Version
	c.versions = append(c.versions, &version{number: first.Version, parent: first.Parent, stage: Confirmed, author: first.Author, reason: first.Reason, text: first.Text})
	slices.SortFunc(c.versions, func(a, b *version) int { return cmp.Compare(a.number, b.number) })
	c.lastNumber = c.versions[len(c.versions)-1].number
	begin := time.Unix(0, 0) // spans of before the restart mean nothing now
	for i, s := range steps[1:] {
		var err error
		switch s.Stage {
		case Proposed:
			if s.Version <= c.lastNumber {
				err = newError("", "its number is not above %d", c.lastNumber)
			} else {
				c.lastNumber = s.Version - 1
				_, err = c.Propose(s.Parent, s.Text, s.Author, s.Reason)
			}
		case Checked:
			_, err = c.Check(s.Version, s.Findings)
		case Staged:
			_, err = c.Stage(begin, s.Version, s.Share, time.Duration(s.TimeoutMS)*time.Millisecond)
		case Applied:
			_, err = c.Apply(begin, s.Version, time.Duration(s.TimeoutMS)*time.Millisecond)
		case Confirmed:
			_, err = c.Confirm(begin, s.Version)
		case RolledBack:
			_, err = c.RollBack(s.Version, s.Reason)
		default:
			err = newError("", "no such stage")
		}
		if err != nil {
			return nil, nil, newError("forget the record, or restore it", "step %d of the record (version %d, %s): %v", i+2, s.Version, s.Stage, err)
		}
	}
	var more []Step
	if c.inProgress != nil {
		more = append(more, c.rollBack("the process ended before it was confirmed", nil))
	}
	return c, more, nil
}

// Snapshot is the record in its shortest form: the versions that are kept, the confirmed one first.
func (c *Versions) Snapshot() (steps []Step) {
	for _, v := range c.versions {
		if v.number != c.confirmed && v != c.inProgress {
			steps = append(steps, Step{Version: v.number, Parent: v.parent, Stage: Archived, FinalStage: v.stage, Author: v.author, Reason: v.reason, Text: v.text})
		}
	}
	h := c.find(c.confirmed)
	steps = append(steps, Step{Version: h.number, Parent: h.parent, Stage: Confirmed, Author: h.author, Reason: h.reason, Text: h.text})
	if v := c.inProgress; v != nil {
		steps = append(steps, Step{Version: v.number, Parent: v.parent, Stage: Proposed, Author: v.author, Reason: v.reason, Text: v.text})
		if v.stage != Proposed {
			steps = append(steps, Step{Version: v.number, Parent: v.parent, Stage: Checked, Findings: v.findings})
		}
		if v.stage == Staged || v.stage == Applied {
			steps = append(steps, Step{Version: v.number, Parent: v.parent, Stage: v.stage, Share: c.share, TimeoutMS: c.timeout.Milliseconds()})
		}
	}
	return steps
}

// VersionInfo is a version for people.
type VersionInfo struct {
	Version        uint64 `json:"no"`
	Parent         uint64 `json:"parent"`
	Stage          Stage  `json:"stage"`
	Author         string `json:"author"`
	Reason         string `json:"reason"`
	RollbackReason string `json:"why,omitempty"` // it was undone
}

// History is the versions that are kept, oldest first.
func (c *Versions) History() (all []VersionInfo) {
	for _, v := range c.versions {
		all = append(all, VersionInfo{v.number, v.parent, v.stage, v.author, v.reason, v.rollbackReason})
	}
	return all
}

// Confirmed is the version that was confirmed last.
func (c *Versions) Confirmed() uint64 { return c.confirmed }

// InProgress is the change under way; nil: none is.
func (c *Versions) InProgress() *VersionInfo {
	if v := c.inProgress; v != nil {
		return &VersionInfo{v.number, v.parent, v.stage, v.author, v.reason, v.rollbackReason}
	}
	return nil
}
