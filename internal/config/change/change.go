// Package change makes changes of configuration transactions: a change is proposed against a parent version, checked, staged for a share of
// the lookups, applied to all, and confirmed, or else rolled back. The package does no I/O and keeps no clock: calls and the time go in, steps
// for the log and the active versions come out. One change at a time is in progress; a second one is refused with the number of the first.
//
// What holds, whatever comes in which order:
//   - each lookup is decided under one complete version, the one before a change or the change, by the hash of its object
//     (Active.VersionFor), so that an object stays with its version while the share does not move;
//   - a change that is not confirmed within its time is rolled back by itself, and so is one whose guard trips;
//   - after a restart the last confirmed version is active, and a change that was in progress counts as rolled back (Recover). Versions are
//     complete and named by number, and a log cut at any step has either the step or not, so there is never a mix;
//   - a rollback makes the very version active again that was confirmed before, not one computed from a difference.
//
// Times that changes are compared by come from a clock that never runs backwards, so a step of the time of day moves no deadline.
package change

import (
	"fmt"
	"time"
)

// Stage is how far a version has come.
type Stage string

// The words are stored and shown to operators.
const (
	Proposed   Stage = "proposed"
	Checked    Stage = "checked"
	Staged     Stage = "staged"  // active for a share of the lookups
	Applied    Stage = "applied" // active for all, until confirmed
	Confirmed  Stage = "confirmed"
	RolledBack Stage = "undone"
	Archived   Stage = "kept" // an earlier version in a snapshot; its FinalStage says what became of it
)

// Step is one step of a version, as it is logged.
type Step struct {
	Version    uint64    `json:"no" cbor:"1,keyasint"`
	Parent     uint64    `json:"parent" cbor:"2,keyasint"` // version that the change is of
	Stage      Stage     `json:"stage" cbor:"3,keyasint"`
	At         time.Time `json:"at" cbor:"4,keyasint"` // the time of day, for people only
	Author     string    `json:"author,omitempty" cbor:"5,keyasint,omitempty"`
	Reason     string    `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
	Text       []byte    `json:"text,omitempty" cbor:"7,keyasint,omitempty"` // the complete configuration, with Proposed only
	Share      float64   `json:"share,omitempty" cbor:"8,keyasint,omitempty"`
	TimeoutMS  int64     `json:"within_ms,omitempty" cbor:"9,keyasint,omitempty"` // for the next step to come
	Findings   []Finding `json:"findings,omitempty" cbor:"10,keyasint,omitempty"`
	FinalStage Stage     `json:"was,omitempty" cbor:"11,keyasint,omitempty"`
}

// Finding is what a check has found. One that is an error ends the change.
type Finding struct {
	IsError bool   `json:"error" cbor:"1,keyasint"`
	Path    string `json:"path" cbor:"2,keyasint"` // of the setting
	Text    string `json:"text" cbor:"3,keyasint"`
	Remedy  string `json:"remedy" cbor:"4,keyasint"`
}

// Error is a call that cannot be carried out: what is wrong, and what to do. Nothing has changed.
type Error struct{ Text, Remedy string }

// Error joins both.
func (e Error) Error() string { return e.Text + "; " + e.Remedy }

func newError(remedy, format string, a ...any) error {
	return Error{fmt.Sprintf(format, a...), remedy}
}

// Active is which versions lookups are decided under: Base for all objects but a Share of them, which have Next. Next 0: Base for all.
type Active struct {
	Base  uint64  `json:"Base"`
	Next  uint64  `json:"Next"`
	Share float64 `json:"Share"`
}

// VersionFor returns the version under which an object's lookups are decided. The hash is of the object alone.
func (a Active) VersionFor(hash uint64) uint64 {
	if a.Next != 0 && float64(hash>>11)/(1<<53) < a.Share {
		return a.Next
	}
	return a.Base
}

// VersionInfo describes a version to operators.
type VersionInfo struct {
	Version        uint64 `json:"no"`
	Parent         uint64 `json:"parent"`
	Stage          Stage  `json:"stage"`
	Author         string `json:"author"`
	Reason         string `json:"reason"`
	RollbackReason string `json:"why,omitempty"`
}
