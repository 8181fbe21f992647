package change

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	maxTextBytes         = 1 << 20
	maxAuthorReasonBytes = 500
	maxVersions          = 64 // versions retained with their text; the oldest are dropped, but never the confirmed one
	maxTimeout           = 24 * time.Hour
)

type version struct {
	number, parent uint64
	stage          Stage
	author, reason string
	text           []byte
	rollbackReason string
	findings       []Finding
}

func (v *version) info() VersionInfo {
	return VersionInfo{Version: v.number, Parent: v.parent, Stage: v.stage, Author: v.author, Reason: v.reason, RollbackReason: v.rollbackReason}
}

// Versions holds the versions of one configuration and the change in progress. It is
// bounded by maxVersions versions of maxTextBytes each. It is not safe for concurrent use.
type Versions struct {
	versions   []*version // in ascending order of their numbers
	lastNumber uint64
	confirmed  uint64
	inProgress *version // nil if no change is in progress
	share      float64  // share of the objects for which the change in progress is staged
	deadline   time.Time
	timeout    time.Duration
}

// New returns Versions with one confirmed version, and the step of that version for the log.
func New(text []byte, author string) (*Versions, Step) {
	first := &version{number: 1, stage: Confirmed, author: author, reason: "first", text: slices.Clone(text)}
	v := &Versions{versions: []*version{first}, lastNumber: 1, confirmed: 1}
	return v, Step{Version: 1, Stage: Confirmed, Author: author, Reason: first.reason, Text: slices.Clone(text)}
}

// Clone returns a copy. Changes of either do not affect the other.
func (v *Versions) Clone() *Versions {
	clone := *v
	clone.versions = make([]*version, len(v.versions))
	for i, original := range v.versions {
		copied := *original
		clone.versions[i] = &copied
		if original == v.inProgress {
			clone.inProgress = &copied
		}
	}
	return &clone
}

// Active returns the active versions.
func (v *Versions) Active() Active {
	active := Active{Base: v.confirmed}
	if v.inProgress != nil {
		switch v.inProgress.stage {
		case Staged:
			active.Next = v.inProgress.number
			active.Share = v.share
		case Applied:
			active.Base = v.inProgress.number
		}
	}
	return active
}

// Text returns the configuration of a version, or nil if the version is not retained. The caller must not modify it.
func (v *Versions) Text(number uint64) []byte {
	if found := v.find(number); found != nil {
		return found.text
	}
	return nil
}

func (v *Versions) find(number uint64) *version {
	i, isFound := slices.BinarySearchFunc(v.versions, number, func(candidate *version, number uint64) int { return cmp.Compare(candidate.number, number) })
	if !isFound {
		return nil
	}
	return v.versions[i]
}

// Propose begins a change. The parent is the version that the author of the
// change has seen. A parent that is not the confirmed version is refused.
func (v *Versions) Propose(parent uint64, text []byte, author, reason string) (Step, error) {
	switch {
	case v.inProgress != nil:
		return Step{}, newError(fmt.Sprintf("confirm or undo version %d first", v.inProgress.number), "version %d of %s is under way (%s)",
			v.inProgress.number, v.inProgress.author, v.inProgress.stage)
	case parent != v.confirmed:
		return Step{}, newError("review what has changed since, and propose against the confirmed version",
			"version %d is confirmed, the change was proposed against version %d", v.confirmed, parent)
	case len(text) == 0 || len(text) > maxTextBytes:
		return Step{}, newError(fmt.Sprintf("expected 1 to %d bytes", maxTextBytes), "the configuration has %d bytes", len(text))
	case author == "" || reason == "" || len(author)+len(reason) > maxAuthorReasonBytes:
		return Step{}, newError(fmt.Sprintf("give both, in at most %d bytes together", maxAuthorReasonBytes), "author or reason is missing or too long")
	}
	v.lastNumber++
	proposed := &version{number: v.lastNumber, parent: parent, stage: Proposed, author: author, reason: reason, text: slices.Clone(text)}
	v.versions = append(v.versions, proposed)
	v.inProgress = proposed
	v.dropOldest()
	return Step{Version: proposed.number, Parent: parent, Stage: Proposed, Author: author, Reason: reason, Text: slices.Clone(text)}, nil
}

// ProposeEarlier proposes the text of an earlier version as a change of the confirmed version. The change has
// to be checked, applied and confirmed like any other, because the caches that it refers to may have changed.
func (v *Versions) ProposeEarlier(number uint64, author, reason string) (Step, error) {
	earlier := v.find(number)
	switch {
	case earlier == nil:
		return Step{}, newError("choose a version from the history", "version %d is not retained", number)
	case earlier.number == v.confirmed:
		return Step{}, newError("choose another version", "version %d is already confirmed", number)
	}
	return v.Propose(v.confirmed, earlier.text, author, reason)
}

// dropOldest drops the oldest versions above maxVersions, but never the confirmed one or the change in progress.
func (v *Versions) dropOldest() {
	for len(v.versions) > maxVersions {
		i := slices.IndexFunc(v.versions, func(candidate *version) bool { return candidate.number != v.confirmed && candidate != v.inProgress })
		v.versions = slices.Delete(v.versions, i, i+1)
	}
}

// requireStage returns an error unless the version is in progress and at one of the stages.
func (v *Versions) requireStage(number uint64, stages ...Stage) error {
	switch {
	case v.inProgress == nil:
		return newError("propose a change first", "version %d is not under way, none is", number)
	case v.inProgress.number != number:
		return newError("give the number of the version under way", "version %d is not under way, %d is", number, v.inProgress.number)
	case !slices.Contains(stages, v.inProgress.stage):
		return newError(fmt.Sprintf("expected one of %v", stages), "version %d is %s", number, v.inProgress.stage)
	}
	return nil
}

// Check records the findings of the checks. If one of them is an error, the
// change is rolled back and the returned step has the stage RolledBack.
func (v *Versions) Check(number uint64, findings []Finding) (Step, error) {
	if err := v.requireStage(number, Proposed, Checked); err != nil {
		return Step{}, err
	}
	for _, f := range findings {
		if f.IsError {
			return v.rollBack(fmt.Sprintf("%s: %s", f.Path, f.Text), findings), nil
		}
	}
	v.inProgress.stage = Checked
	v.inProgress.findings = findings
	return Step{Version: number, Parent: v.inProgress.parent, Stage: Checked, Findings: findings}, nil
}

// Stage makes a checked change active for a share of the objects, or changes the share of a
// staged change. The change is rolled back if no further step follows within the timeout.
func (v *Versions) Stage(now time.Time, number uint64, share float64, timeout time.Duration) (Step, error) {
	if err := v.requireStage(number, Checked, Staged); err != nil {
		return Step{}, err
	}
	if !(share > 0 && share < 1) {
		return Step{}, newError("expected above 0 and below 1; to change all objects use apply", "share %g is out of range", share)
	}
	return v.activate(now, Staged, share, timeout)
}

// Apply makes a checked or staged change active for all objects. The
// change is rolled back if it is not confirmed within the timeout.
func (v *Versions) Apply(now time.Time, number uint64, timeout time.Duration) (Step, error) {
	if err := v.requireStage(number, Checked, Staged); err != nil {
		return Step{}, err
	}
	return v.activate(now, Applied, 0, timeout)
}

func (v *Versions) activate(now time.Time, stage Stage, share float64, timeout time.Duration) (Step, error) {
	if timeout <= 0 || timeout > maxTimeout {
		return Step{}, newError("expected above 0 and at most a day", "timeout %v is out of range", timeout)
	}
	v.inProgress.stage = stage
	v.share = share
	v.deadline = now.Add(timeout)
	v.timeout = timeout
	return Step{Version: v.inProgress.number, Parent: v.inProgress.parent, Stage: stage, Share: share, TimeoutMS: timeout.Milliseconds()}, nil
}

// Confirm makes an applied change the confirmed version. Once the deadline has passed,
// Confirm rolls the change back instead and the returned step has the stage RolledBack.
func (v *Versions) Confirm(now time.Time, number uint64) (Step, error) {
	if err := v.requireStage(number, Applied); err != nil {
		return Step{}, err
	}
	if !now.Before(v.deadline) {
		return v.rollBack("not confirmed before its deadline", nil), nil
	}
	confirmed := v.inProgress
	confirmed.stage = Confirmed
	v.confirmed = confirmed.number
	v.inProgress = nil
	return Step{Version: confirmed.number, Parent: confirmed.parent, Stage: Confirmed}, nil
}

// RollBack rolls the change in progress back. The confirmed version is active again.
func (v *Versions) RollBack(number uint64, reason string) (Step, error) {
	if err := v.requireStage(number, Proposed, Checked, Staged, Applied); err != nil {
		return Step{}, err
	}
	return v.rollBack(reason, nil), nil
}

func (v *Versions) rollBack(reason string, findings []Finding) Step {
	ended := v.inProgress
	ended.stage = RolledBack
	ended.rollbackReason = reason
	v.inProgress = nil
	return Step{Version: ended.number, Parent: ended.parent, Stage: RolledBack, Reason: reason, Findings: findings}
}

// Tick rolls the change in progress back if its deadline has passed, and returns the step of the
// rollback. Otherwise it returns the deadline, which is zero if no change is staged or applied.
func (v *Versions) Tick(now time.Time) (steps []Step, deadline time.Time) {
	if v.inProgress == nil || v.inProgress.stage != Staged && v.inProgress.stage != Applied {
		return nil, time.Time{}
	}
	if now.Before(v.deadline) {
		return nil, v.deadline
	}
	missing := "not confirmed"
	if v.inProgress.stage == Staged {
		missing = "neither applied nor undone"
	}
	return []Step{v.rollBack(fmt.Sprintf("%s within %v", missing, v.timeout), nil)}, time.Time{}
}

// History returns the retained versions, oldest first.
func (v *Versions) History() (history []VersionInfo) {
	for _, version := range v.versions {
		history = append(history, version.info())
	}
	return history
}

// LastConfirmedBy returns the configuration of the newest retained version that is or was confirmed and that one of the
// authors proposed. It returns nil if there is none. The caller must not modify the configuration.
func (v *Versions) LastConfirmedBy(authors ...string) []byte {
	for _, candidate := range slices.Backward(v.versions) {
		if candidate.stage == Confirmed && slices.Contains(authors, candidate.author) {
			return candidate.text
		}
	}
	return nil
}

// Confirmed returns the version that was confirmed last.
func (v *Versions) Confirmed() uint64 { return v.confirmed }

// InProgress returns the change in progress, or nil if there is none.
func (v *Versions) InProgress() *VersionInfo {
	if v.inProgress == nil {
		return nil
	}
	info := v.inProgress.info()
	return &info
}
