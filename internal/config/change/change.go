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
	Proposed  Stage = "proposed"
	Checked   Stage = "checked"
	Staged    Stage = "staged"  // for a share of the lookups
	Applied   Stage = "applied" // for all, until confirmed
	Confirmed Stage = "confirmed"
	Undone    Stage = "undone"
	Kept      Stage = "kept" // in a snapshot: an earlier version, Was what became of it
)

// Step is one step of a version, as it stands in the record.
type Step struct {
	No      uint64    `json:"no" cbor:"1,keyasint"` // of the version
	Parent  uint64    `json:"parent" cbor:"2,keyasint"`
	Stage   Stage     `json:"stage" cbor:"3,keyasint"`
	At      time.Time `json:"at" cbor:"4,keyasint"` // the time of day, for people only
	Author  string    `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
	Reason  string    `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
	Text    []byte    `json:"text,omitempty" cbor:"7,keyasint,omitempty"` // the whole configuration, with Proposed only
	Share   float64   `json:"share,omitempty" cbor:"8,keyasint,omitempty"`
	Within  int64     `json:"within_ms,omitempty" cbor:"9,keyasint,omitempty"`
	Finding []Finding `json:"findings,omitempty" cbor:"10,keyasint,omitempty"`
	Was     Stage     `json:"was,omitempty" cbor:"11,keyasint,omitempty"`
}

// Finding is what a check has found. One that is an error stops the change.
type Finding struct {
	Error  bool   `json:"error" cbor:"1,keyasint"`
	Path   string `json:"path" cbor:"2,keyasint"`
	Text   string `json:"text" cbor:"3,keyasint"`
	Remedy string `json:"remedy" cbor:"4,keyasint"`
}

// Fault is a call that cannot be carried out: what, and what to do.
type Fault struct{ Text, Remedy string }

func (f Fault) Error() string { return f.Text + "; " + f.Remedy }

func fault(remedy, format string, a ...any) error { return Fault{fmt.Sprintf(format, a...), remedy} }

const (
	mostText    = 1 << 20
	mostReason  = 500
	mostVersion = 64 // kept with their text; older ones are forgotten, never the confirmed one
	longest     = 24 * time.Hour
)

// version is one version.
type version struct {
	no, parent     uint64
	stage          Stage
	author, reason string
	text           []byte
	why            string
	findings       []Finding
}

// Changes are the versions of one configuration. Its owner calls it under a lock of its own; bounds: mostVersion versions of mostText.
type Changes struct {
	versions []*version // by number
	last     uint64
	head     uint64   // the confirmed one
	under    *version // the one under way
	share    float64
	by       time.Time // until then it must go on, or it is undone
	within   time.Duration
}

// Force is what is in force: Base for all objects but those of Share, which have Next. Next 0: Base for all.
type Force struct {
	Base  uint64  `json:"Base"`
	Next  uint64  `json:"Next"`
	Share float64 `json:"Share"`
}

// Side is the version under which an object's lookups are decided. Hash is of the object alone.
func (f Force) Side(hash uint64) uint64 {
	if f.Next != 0 && float64(hash>>11)/(1<<53) < f.Share {
		return f.Next
	}
	return f.Base
}

// New begins with a first version, confirmed.
func New(text []byte, author string) (*Changes, Step) {
	c := &Changes{last: 1, head: 1}
	c.versions = []*version{{no: 1, stage: Confirmed, author: author, reason: "first", text: slices.Clone(text)}}
	return c, Step{No: 1, Stage: Confirmed, Author: author, Reason: "first", Text: slices.Clone(text)}
}

// Force is what is in force now.
func (c *Changes) Force() Force {
	f := Force{Base: c.head}
	if c.under != nil {
		switch c.under.stage {
		case Staged:
			f.Next, f.Share = c.under.no, c.share
		case Applied:
			f.Base = c.under.no
		}
	}
	return f
}

// Text is a version's configuration; nil where it is not kept.
func (c *Changes) Text(no uint64) []byte {
	if v := c.find(no); v != nil {
		return v.text
	}
	return nil
}

func (c *Changes) find(no uint64) *version {
	i, ok := slices.BinarySearchFunc(c.versions, no, func(v *version, no uint64) int {
		switch {
		case v.no < no:
			return -1
		case v.no > no:
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
func (c *Changes) Propose(parent uint64, text []byte, author, reason string) (Step, error) {
	switch {
	case c.under != nil:
		return Step{}, fault(fmt.Sprintf("confirm or undo version %d first", c.under.no), "version %d of %s is under way (%s)", c.under.no, c.under.author, c.under.stage)
	case parent != c.head:
		return Step{}, fault("look at what has changed since, and propose against it", "version %d is in force, the change is of %d", c.head, parent)
	case len(text) == 0 || len(text) > mostText:
		return Step{}, fault(fmt.Sprintf("1 to %d", mostText), "%d bytes", len(text))
	case author == "" || reason == "" || len(author)+len(reason) > mostReason:
		return Step{}, fault(fmt.Sprintf("name both, in %d bytes at most", mostReason), "author or reason is missing or too long")
	}
	c.last++
	v := &version{no: c.last, parent: parent, stage: Proposed, author: author, reason: reason, text: slices.Clone(text)}
	c.versions = append(c.versions, v)
	c.under = v
	c.forget()
	return Step{No: v.no, Parent: parent, Stage: Proposed, Author: author, Reason: reason, Text: slices.Clone(text)}, nil
}

// forget drops the oldest versions past the bound.
func (c *Changes) forget() {
	for len(c.versions) > mostVersion {
		i := slices.IndexFunc(c.versions, func(v *version) bool { return v.no != c.head && v != c.under })
		c.versions = slices.Delete(c.versions, i, i+1)
	}
}

// at checks that a version is under way and has come to one of these stages.
func (c *Changes) at(no uint64, stages ...Stage) error {
	if c.under == nil || c.under.no != no {
		if c.under == nil {
			return fault("propose it", "version %d is not under way, none is", no)
		}
		return fault("name that one", "version %d is not under way, %d is", no, c.under.no)
	}
	if !slices.Contains(stages, c.under.stage) {
		return fault(fmt.Sprintf("expected one of %v", stages), "version %d is %s", no, c.under.stage)
	}
	return nil
}

// Check notes what the checks have found. An error among them undoes the change.
func (c *Changes) Check(no uint64, findings []Finding) (Step, error) {
	if err := c.at(no, Proposed, Checked); err != nil {
		return Step{}, err
	}
	for _, f := range findings {
		if f.Error {
			return c.undo(fmt.Sprintf("%s: %s", f.Path, f.Text), findings), nil
		}
	}
	c.under.stage, c.under.findings = Checked, findings
	return Step{No: no, Parent: c.under.parent, Stage: Checked, Finding: findings}, nil
}

// Stage puts a checked change in place for a share of the objects, or moves the share of one that is staged, until it goes on.
func (c *Changes) Stage(now time.Time, no uint64, share float64, within time.Duration) (Step, error) {
	if err := c.at(no, Checked, Staged); err != nil {
		return Step{}, err
	}
	if !(share > 0 && share < 1) {
		return Step{}, fault("above 0 and below 1; apply is for all", "share %g", share)
	}
	return c.put(now, Staged, share, within)
}

// Apply puts a checked or staged change in place for all, until it is confirmed.
func (c *Changes) Apply(now time.Time, no uint64, within time.Duration) (Step, error) {
	if err := c.at(no, Checked, Staged); err != nil {
		return Step{}, err
	}
	return c.put(now, Applied, 0, within)
}

func (c *Changes) put(now time.Time, stage Stage, share float64, within time.Duration) (Step, error) {
	if within <= 0 || within > longest {
		return Step{}, fault("above 0, at most a day", "%v to go on", within)
	}
	c.under.stage, c.share, c.by, c.within = stage, share, now.Add(within), within
	return Step{No: c.under.no, Parent: c.under.parent, Stage: stage, Share: share, Within: within.Milliseconds()}, nil
}

// Confirm makes an applied change the one in force for good.
func (c *Changes) Confirm(now time.Time, no uint64) (Step, error) {
	if err := c.at(no, Applied); err != nil {
		return Step{}, err
	}
	if !now.Before(c.by) {
		return c.undo("not confirmed within its time", nil), nil
	}
	v := c.under
	v.stage, c.head, c.under = Confirmed, v.no, nil
	return Step{No: v.no, Parent: v.parent, Stage: Confirmed}, nil
}

// Undo ends the change under way; what was confirmed before it is in force again.
func (c *Changes) Undo(no uint64, why string) (Step, error) {
	if err := c.at(no, Proposed, Checked, Staged, Applied); err != nil {
		return Step{}, err
	}
	return c.undo(why, nil), nil
}

// Back proposes the text of an earlier version as a change of the one in force, so that it is checked, staged and confirmed like any
// other: the world has moved on since.
func (c *Changes) Back(to uint64, author, reason string) (Step, error) {
	v := c.find(to)
	switch {
	case v == nil:
		return Step{}, fault("see history", "version %d is not kept", to)
	case v.no == c.head:
		return Step{}, fault("name another", "version %d is in force", to)
	}
	return c.Propose(c.head, v.text, author, reason)
}

func (c *Changes) undo(why string, findings []Finding) Step {
	v := c.under
	v.stage, v.why, c.under = Undone, why, nil
	return Step{No: v.no, Parent: v.parent, Stage: Undone, Reason: why, Finding: findings}
}

// Tick brings the time: a change that did not go on in time is undone. It tells when to come next; zero: no need.
func (c *Changes) Tick(now time.Time) (steps []Step, next time.Time) {
	if c.under == nil || c.under.stage != Staged && c.under.stage != Applied {
		return nil, time.Time{}
	}
	if !now.Before(c.by) {
		word := "not confirmed"
		if c.under.stage == Staged {
			word = "neither applied nor undone"
		}
		return []Step{c.undo(fmt.Sprintf("%s within %v", word, c.within), nil)}, time.Time{}
	}
	return nil, c.by
}

// Recover makes the changes anew from the steps that the record holds, in their order, and tells what is to be added to it: a change
// that was under way when the process ended counts as undone. Steps that follow from none before them are a fault of the record.
func Recover(steps []Step) (*Changes, []Step, error) {
	c := &Changes{}
	for len(steps) > 0 && steps[0].Stage == Kept {
		k := steps[0]
		c.versions = append(c.versions, &version{no: k.No, parent: k.Parent, stage: k.Was, author: k.Author, reason: k.Reason, text: k.Text})
		steps = steps[1:]
	}
	if len(steps) == 0 || steps[0].Stage != Confirmed || len(steps[0].Text) == 0 {
		return nil, nil, fault("forget the record, or restore it", "the record does not begin with a confirmed version")
	}
	first := steps[0]
	c.head = first.No
	c.versions = append(c.versions, &version{no: first.No, parent: first.Parent, stage: Confirmed, author: first.Author, reason: first.Reason, text: first.Text})
	slices.SortFunc(c.versions, func(a, b *version) int { return cmp.Compare(a.no, b.no) })
	c.last = c.versions[len(c.versions)-1].no
	begin := time.Unix(0, 0) // spans of before the restart mean nothing now
	for i, s := range steps[1:] {
		var err error
		switch s.Stage {
		case Proposed:
			if s.No <= c.last {
				err = fault("", "its number is not above %d", c.last)
			} else {
				c.last = s.No - 1
				_, err = c.Propose(s.Parent, s.Text, s.Author, s.Reason)
			}
		case Checked:
			_, err = c.Check(s.No, s.Finding)
		case Staged:
			_, err = c.Stage(begin, s.No, s.Share, time.Duration(s.Within)*time.Millisecond)
		case Applied:
			_, err = c.Apply(begin, s.No, time.Duration(s.Within)*time.Millisecond)
		case Confirmed:
			_, err = c.Confirm(begin, s.No)
		case Undone:
			_, err = c.Undo(s.No, s.Reason)
		default:
			err = fault("", "no such stage")
		}
		if err != nil {
			return nil, nil, fault("forget the record, or restore it", "step %d of the record (version %d, %s): %v", i+2, s.No, s.Stage, err)
		}
	}
	var more []Step
	if c.under != nil {
		more = append(more, c.undo("the process ended before it was confirmed", nil))
	}
	return c, more, nil
}

// Snapshot is the record in its shortest form: the versions that are kept, the confirmed one first.
func (c *Changes) Snapshot() (steps []Step) {
	for _, v := range c.versions {
		if v.no != c.head && v != c.under {
			steps = append(steps, Step{No: v.no, Parent: v.parent, Stage: Kept, Was: v.stage, Author: v.author, Reason: v.reason, Text: v.text})
		}
	}
	h := c.find(c.head)
	steps = append(steps, Step{No: h.no, Parent: h.parent, Stage: Confirmed, Author: h.author, Reason: h.reason, Text: h.text})
	if v := c.under; v != nil {
		steps = append(steps, Step{No: v.no, Parent: v.parent, Stage: Proposed, Author: v.author, Reason: v.reason, Text: v.text})
		if v.stage != Proposed {
			steps = append(steps, Step{No: v.no, Parent: v.parent, Stage: Checked, Finding: v.findings})
		}
		if v.stage == Staged || v.stage == Applied {
			steps = append(steps, Step{No: v.no, Parent: v.parent, Stage: v.stage, Share: c.share, Within: c.within.Milliseconds()})
		}
	}
	return steps
}

// Entry is a version for people.
type Entry struct {
	No     uint64 `json:"no"`
	Parent uint64 `json:"parent"`
	Stage  Stage  `json:"stage"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	Why    string `json:"why,omitempty"` // it was undone
}

// History is the versions that are kept, oldest first.
func (c *Changes) History() (all []Entry) {
	for _, v := range c.versions {
		all = append(all, Entry{v.no, v.parent, v.stage, v.author, v.reason, v.why})
	}
	return all
}

// Head is the version that was confirmed last.
func (c *Changes) Head() uint64 { return c.head }

// Under is the change under way; nil: none is.
func (c *Changes) Under() *Entry {
	if v := c.under; v != nil {
		return &Entry{v.no, v.parent, v.stage, v.author, v.reason, v.why}
	}
	return nil
}
