package change

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func timeAt(ms int) time.Time { return time.Unix(5000, 0).Add(time.Duration(ms) * time.Millisecond) }

// newCheckedChange returns Versions with version 1 confirmed and version 2 in progress and checked.
func newCheckedChange(t *testing.T) *Versions {
	t.Helper()
	v, _ := New([]byte("one"), "ada")
	if step, err := v.Propose(1, []byte("two"), "bo", "sale"); err != nil || step.Version != 2 {
		t.Fatal(step, err)
	}
	if _, err := v.Check(2, []Finding{{Path: "routes[0]", Text: "shadowed"}}); err != nil {
		t.Fatal(err)
	}
	return v
}

// requireError checks that err is an Error of this package that contains the text and has a remedy.
func requireError(t *testing.T, err error, text string) {
	t.Helper()
	var callErr Error
	if !errors.As(err, &callErr) || !strings.Contains(callErr.Error(), text) || callErr.Remedy == "" {
		t.Errorf("error %v is not an Error with the expected text and a remedy", err)
	}
}

func requireActive(t *testing.T, v *Versions, want Active) {
	t.Helper()
	if got := v.Active(); got != want {
		t.Fatalf("active %+v, want %+v", got, want)
	}
}

func TestAChangeIsStagedAppliedAndConfirmed(t *testing.T) {
	v := newCheckedChange(t)
	requireActive(t, v, Active{Base: 1})
	v.Stage(timeAt(0), 2, 0.25, time.Minute)
	requireActive(t, v, Active{1, 2, 0.25})
	if a := v.Active(); a.VersionFor(0) != 2 || a.VersionFor(1<<62) != 1 || a.VersionFor(1<<62-1<<20) != 2 {
		t.Fatal(a)
	}
	if _, err := v.Apply(timeAt(1000), 2, time.Minute); err != nil {
		t.Fatal(err)
	}
	requireActive(t, v, Active{Base: 2})
	if _, err := v.Confirm(timeAt(2000), 2); err != nil {
		t.Fatal(err)
	}
	requireActive(t, v, Active{Base: 2})
	if steps, deadline := v.Tick(timeAt(1e9)); steps != nil || !deadline.IsZero() {
		t.Error("Tick rolled a confirmed version back or returned a deadline for it")
	}
}

func TestASecondChangeIsRefused(t *testing.T) {
	v := newCheckedChange(t)
	for _, parent := range []uint64{1, 2} {
		_, err := v.Propose(parent, []byte("x"), "cy", "other")
		requireError(t, err, "version 2 of bo is under way")
	}
	v.Apply(timeAt(0), 2, time.Minute)
	v.Confirm(timeAt(1), 2)
	_, err := v.Propose(1, []byte("x"), "cy", "other")
	requireError(t, err, "version 2 is confirmed, the change was proposed against version 1")
}

func TestAChangePastTheDeadlineIsRolledBack(t *testing.T) {
	v := newCheckedChange(t)
	v.Apply(timeAt(0), 2, time.Second)
	if steps, deadline := v.Tick(timeAt(999)); steps != nil || !deadline.Equal(timeAt(1000)) {
		t.Fatal(steps, deadline)
	}
	if step, err := v.Confirm(timeAt(1000), 2); err != nil || step.Stage != RolledBack {
		t.Fatal(step, err)
	}
	requireActive(t, v, Active{Base: 1})
	v = newCheckedChange(t)
	v.Stage(timeAt(0), 2, 0.5, time.Second)
	if steps, _ := v.Tick(timeAt(1000)); len(steps) != 1 || steps[0].Stage != RolledBack {
		t.Fatal(steps)
	}
	requireActive(t, v, Active{Base: 1})
}

func TestChecks(t *testing.T) {
	t.Run("an error rolls the change back, a warning does not", func(t *testing.T) {
		v, _ := New([]byte("one"), "ada")
		v.Propose(1, []byte("two"), "bo", "sale")
		step, err := v.Check(2, []Finding{{IsError: true, Path: "pools.x", Text: "names c4, which drains", Remedy: "name another"}})
		if err != nil || step.Stage != RolledBack || !strings.Contains(step.Reason, "c4, which drains") {
			t.Fatal(step, err)
		}
		_, err = v.Stage(timeAt(0), 2, 0.1, time.Minute)
		requireError(t, err, "none is")
	})
	t.Run("a cache that begins to drain between check and apply rolls the change back", func(t *testing.T) {
		v := newCheckedChange(t)
		if step, err := v.Check(2, []Finding{{IsError: true, Path: "pools.x", Text: "c4 drains", Remedy: "name another"}}); err != nil || step.Stage != RolledBack {
			t.Fatal(step, err)
		}
	})
}

func TestAnEarlierVersionIsProposedAsANewChange(t *testing.T) {
	v := newCheckedChange(t)
	v.Apply(timeAt(0), 2, time.Minute)
	v.RollBack(2, "prices wrong")
	step, err := v.ProposeEarlier(2, "bo", "prices mended elsewhere")
	if err != nil || step.Version != 3 || step.Parent != 1 || string(step.Text) != "two" {
		t.Fatal(step, err)
	}
	_, err = v.ProposeEarlier(1, "bo", "x")
	requireError(t, err, "version 1 is already confirmed")
}

func TestInvalidCallsAreRefused(t *testing.T) {
	v, _ := New([]byte("one"), "ada")
	_, err := v.Propose(1, []byte("two"), "", "sale")
	requireError(t, err, "author")
	v.Propose(1, []byte("two"), "bo", "sale")
	_, err = v.Apply(timeAt(0), 2, time.Minute)
	requireError(t, err, "version 2 is proposed")
	_, err = v.Confirm(timeAt(0), 2)
	requireError(t, err, "expected one of")
	_, err = v.RollBack(7, "")
	requireError(t, err, "2 is")
	v.Check(2, nil)
	for _, share := range []float64{0, 1, -1} {
		_, err = v.Stage(timeAt(0), 2, share, time.Minute)
		requireError(t, err, "share")
	}
	_, err = v.Apply(timeAt(0), 2, 48*time.Hour)
	requireError(t, err, "a day")
}

func TestVersionsAreBoundedAndRetainTheConfirmedOne(t *testing.T) {
	v, _ := New([]byte("one"), "ada")
	for range 300 {
		step, err := v.Propose(1, []byte("x"), "bo", "sale")
		if err != nil {
			t.Fatal(err)
		}
		v.RollBack(step.Version, "no")
	}
	if len(v.History()) > maxVersions || string(v.Text(1)) != "one" {
		t.Error(len(v.History()))
	}
}

func TestRecoverRefusesInvalidLogs(t *testing.T) {
	first := Step{Version: 1, Stage: Confirmed, Text: []byte("one")}
	proposal := func(version, parent uint64) Step {
		return Step{Version: version, Parent: parent, Stage: Proposed, Text: []byte("x"), Author: "a", Reason: "b"}
	}
	for name, steps := range map[string][]Step{
		"empty":                                {},
		"without a confirmed version":          {{Version: 1, Stage: Proposed}},
		"a confirmation without a proposal":    {first, {Version: 2, Stage: Confirmed}},
		"a proposal against an unknown parent": {first, proposal(2, 9)},
		"an unknown stage":                     {first, {Version: 2, Stage: "other"}},
		"a repeated version number":            {first, proposal(1, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := Recover(steps)
			requireError(t, err, "change log: ")
		})
	}
}

// stepRecorder makes random calls and records the steps that they return, as a log does.
type stepRecorder struct {
	versions  *Versions
	steps     []Step
	confirmed []uint64 // confirmed version after each step
	ms        int
}

func (p *stepRecorder) record(step Step, err error) {
	if err == nil {
		p.steps = append(p.steps, step)
		p.confirmed = append(p.confirmed, p.versions.confirmed)
	}
}

func (p *stepRecorder) randomStep(t *rapid.T) {
	v := p.versions
	p.ms += rapid.IntRange(0, 400).Draw(t, "ms")
	now := timeAt(p.ms)
	number := v.lastNumber
	timeout := time.Duration(rapid.IntRange(1, 1000).Draw(t, "timeout")) * time.Millisecond
	steps, _ := v.Tick(now)
	for _, step := range steps {
		p.record(step, nil)
	}
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		p.record(v.Propose(v.confirmed, []byte(fmt.Sprint("text ", number+1)), "bo", "sale"))
	case 2:
		p.record(v.Check(number, []Finding{{IsError: rapid.IntRange(0, 5).Draw(t, "error") == 0}}))
	case 3:
		p.record(v.Stage(now, number, rapid.Float64Range(0.01, 0.99).Draw(t, "share"), timeout))
	case 4:
		p.record(v.Apply(now, number, timeout))
	case 5:
		p.record(v.Confirm(now, number))
	case 6:
		before := v.Active()
		p.record(v.RollBack(number, "no"))
		if active := v.Active(); v.inProgress == nil && active != (Active{Base: v.confirmed}) {
			t.Fatalf("active after a rollback: %+v, want the confirmed version; before it: %+v", active, before)
		}
	case 7:
		p.record(v.ProposeEarlier(rapid.Uint64Range(1, number).Draw(t, "earlier"), "bo", "back"))
	}
	active := v.Active()
	isApplied := v.inProgress != nil && v.inProgress.stage == Applied && active.Base == v.inProgress.number
	if active.Base != v.confirmed && !isApplied || v.Text(active.Base) == nil {
		t.Fatalf("active: %+v, want a retained version that is confirmed (%d) or applied", active, v.confirmed)
	}
}

// TestStepsInAnyOrder makes random calls. Recovery from the log, cut after any step, restores
// the version that was confirmed by then and nothing of a change in progress. Recovery from a
// snapshot restores the same. A rollback makes the confirmed version active again.
func TestStepsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, first := New([]byte("one"), "ada")
		p := &stepRecorder{versions: v, steps: []Step{first}, confirmed: []uint64{1}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			p.randomStep(t)
		}
		cut := rapid.IntRange(1, len(p.steps)).Draw(t, "cut")
		want := p.confirmed[cut-1]
		recovered, more, err := Recover(p.steps[:cut])
		if err != nil || recovered.Active() != (Active{Base: want}) || string(recovered.Text(recovered.confirmed)) != string(v.Text(want)) {
			t.Fatalf("recovered %+v from %d steps, want version %d active: %v", recovered, cut, want, err)
		}
		if _, none, err := Recover(append(slices.Clone(p.steps[:cut]), more...)); err != nil || none != nil {
			t.Fatalf("a second recovery returned steps %v, error %v, want neither", none, err)
		}
		short, _, err := Recover(v.Snapshot())
		if err != nil || short.Active() != (Active{Base: v.confirmed}) || len(short.History()) != len(v.History()) || short.lastNumber != v.lastNumber {
			t.Fatalf("recovery from a snapshot: error %v, versions %+v", err, short)
		}
	})
}
