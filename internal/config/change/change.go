// Package change manages changes of a configuration as transactions. A change is proposed against a parent version,
// checked, optionally staged for a share of the lookups, applied to all lookups, and then confirmed or rolled back.
// The package does no I/O and reads no clock: callers pass in the time, and receive the steps to log and the active
// versions. Only one change is in progress at a time. A second proposal is refused with the number of the first.
//
// The following holds for calls in any order:
//   - Each lookup is decided under one complete version: the version before the change or
//     the change itself. The hash of the object selects the version (Active.VersionFor),
//     so an object stays with its version while the share is constant.
//   - A change that is not confirmed before its deadline is rolled
//     back automatically. So is a change whose guard trips.
//   - After a restart the last confirmed version is active, and a change that was in progress is rolled
//     back (Recover). Every version is stored completely and identified by its number, and a log that
//     was cut at a step holds either all of the step or nothing of it, so versions are never mixed.
//   - A rollback makes the version active again that was confirmed before
//     the change. It does not compute a version from a difference.
//
// Deadlines must be compared on a clock that never runs backwards,
// so that a step of the time of day does not move them.
package change

import (
	"fmt"
	"time"
)

// Stage is the progress of a version.
type Stage string

// The values are stored in the log and shown to operators.
const (
	Proposed   Stage = "proposed"
	Checked    Stage = "checked"
	Staged     Stage = "staged"  // active for a share of the lookups
	Applied    Stage = "applied" // active for all lookups, not confirmed yet
	Confirmed  Stage = "confirmed"
	RolledBack Stage = "undone"
	Archived   Stage = "kept" // an earlier version in a snapshot; Step.FinalStage holds its last stage
)

// Step is one step of a version in its logged form.
type Step struct {
	Version uint64    `json:"no" cbor:"1,keyasint"`
	Parent  uint64    `json:"parent" cbor:"2,keyasint"` // version against which the change was proposed
	Stage   Stage     `json:"stage" cbor:"3,keyasint"`
	At      time.Time `json:"at" cbor:"4,keyasint"` // time of day, for display only
	Author  string    `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
	Reason  string    `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
	// Text is the complete configuration. It is set in Proposed and Archived steps, and in the Confirmed step of the
	// first version or of a snapshot.
	Text       []byte    `json:"text,omitempty" cbor:"7,keyasint,omitempty"`
	Share      float64   `json:"share,omitempty" cbor:"8,keyasint,omitempty"`
	TimeoutMS  int64     `json:"within_ms,omitempty" cbor:"9,keyasint,omitempty"` // time within which the next step must follow
	Findings   []Finding `json:"findings,omitempty" cbor:"10,keyasint,omitempty"`
	FinalStage Stage     `json:"was,omitempty" cbor:"11,keyasint,omitempty"` // last stage of an archived version
}

// Finding is a result of a check. A finding that is an error rolls the change back.
type Finding struct {
	IsError bool   `json:"error" cbor:"1,keyasint"`
	Path    string `json:"path" cbor:"2,keyasint"` // path of the setting
	Text    string `json:"text" cbor:"3,keyasint"`
	Remedy  string `json:"remedy" cbor:"4,keyasint"`
}

// Error reports a call that was refused, with the problem and its remedy. A refused call changes nothing.
type Error struct{ Text, Remedy string }

// Error returns the text and the remedy.
func (e Error) Error() string { return e.Text + "; " + e.Remedy }

func newError(remedy, format string, a ...any) error {
	return Error{fmt.Sprintf(format, a...), remedy}
}

// Active holds the versions under which lookups are decided. Next applies to a Share
// of the objects and Base to all others. If Next is 0, Base applies to all objects.
type Active struct {
	Base  uint64  `json:"Base"`
	Next  uint64  `json:"Next"`
	Share float64 `json:"Share"`
}

// VersionFor returns the version under which the lookups of an
// object are decided. The hash must depend on the object alone.
func (a Active) VersionFor(hash uint64) uint64 {
	if a.Next != 0 && float64(hash>>11)/(1<<53) < a.Share {
		return a.Next
	}
	return a.Base
}

// VersionInfo describes a version for operators.
type VersionInfo struct {
	Version        uint64 `json:"no"`
	Parent         uint64 `json:"parent"`
	Stage          Stage  `json:"stage"`
	Author         string `json:"author"`
	Reason         string `json:"reason"`
	RollbackReason string `json:"why,omitempty"`
}
