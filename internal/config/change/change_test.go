package change

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func timeAt(ms int) time.Time { return time.Unix(5000, 0).Add(time.Duration(ms) * time.Millisecond) }

// newCheckedChange is a version 2 that has been checked.
func newCheckedChange(t *testing.T) *Versions {
	t.Helper()
	c, _ := New([]byte("one"), "ada")
	if s, err := c.Propose(1, []byte("two"), "bo", "sale"); err != nil || s.Version != 2 {
		t.Fatal(s, err)
	}
	if _, err := c.Check(2, []Finding{{Path: "routes[0]", Text: "shadowed"}}); err != nil {
		t.Fatal(err)
	}
	return c
}

func requireError(t *testing.T, err error, word string) {
	t.Helper()
	var f Error
	if !errors.As(err, &f) || !strings.Contains(f.Error(), word) || f.Remedy == "" {
		t.Errorf("%v", err)
	}
}

func TestVersions(t *testing.T) {
	t.Run("checked, staged for a share, applied to all, confirmed", func(t *testing.T) {
		c := newCheckedChange(t)
		if f := c.Active(); f != (Active{Base: 1}) {
			t.Fatal(f)
		}
		c.Stage(timeAt(0), 2, 0.25, time.Minute)
		f := c.Active()
		if f != (Active{1, 2, 0.25}) || f.VersionFor(0) != 2 || f.VersionFor(1<<62) != 1 || f.VersionFor(1<<62-1<<20) != 2 {
			t.Fatal(f)
		}
		if _, err := c.Apply(timeAt(1000), 2, time.Minute); err != nil || c.Active() != (Active{Base: 2}) {
			t.Fatal(c.Active(), err)
		}
		if _, err := c.Confirm(timeAt(2000), 2); err != nil || c.Active() != (Active{Base: 2}) {
			t.Fatal(c.Active(), err)
		}
		if steps, next := c.Tick(timeAt(1e9)); steps != nil || !next.IsZero() {
			t.Error("what is confirmed is undone")
		}
	})
	t.Run("a second change before the first has finished, on the same and another parent", func(t *testing.T) {
		c := newCheckedChange(t)
		for _, parent := range []uint64{1, 2} {
			_, err := c.Propose(parent, []byte("x"), "cy", "other")
			requireError(t, err, "version 2 of bo is under way")
		}
		c.Apply(timeAt(0), 2, time.Minute)
		c.Confirm(timeAt(1), 2)
		_, err := c.Propose(1, []byte("x"), "cy", "other")
		requireError(t, err, "version 2 is in force, the change is of 1")
	})
	t.Run("not confirmed in time: undone, and a confirmation that comes then is too late", func(t *testing.T) {
		c := newCheckedChange(t)
		c.Apply(timeAt(0), 2, time.Second)
		if steps, next := c.Tick(timeAt(999)); steps != nil || !next.Equal(timeAt(1000)) {
			t.Fatal(steps, next)
		}
		if s, err := c.Confirm(timeAt(1000), 2); err != nil || s.Stage != RolledBack || c.Active() != (Active{Base: 1}) {
			t.Fatal(s, err)
		}
		c = newCheckedChange(t)
		c.Stage(timeAt(0), 2, 0.5, time.Second)
		if steps, _ := c.Tick(timeAt(1000)); len(steps) != 1 || steps[0].Stage != RolledBack || c.Active() != (Active{Base: 1}) {
			t.Fatal(steps)
		}
	})
	t.Run("an error of the checks ends it, a remark does not", func(t *testing.T) {
		c, _ := New([]byte("one"), "ada")
		c.Propose(1, []byte("two"), "bo", "sale")
		s, err := c.Check(2, []Finding{{IsError: true, Path: "pools.x", Text: "names c4, which drains", Remedy: "name another"}})
		if err != nil || s.Stage != RolledBack || !strings.Contains(s.Reason, "c4, which drains") {
			t.Fatal(s, err)
		}
		_, err = c.Stage(timeAt(0), 2, 0.1, time.Minute)
		requireError(t, err, "none is")
	})
	t.Run("it begins to drain between check and apply: checked again, it ends there", func(t *testing.T) {
		c := newCheckedChange(t)
		if s, err := c.Check(2, []Finding{{IsError: true, Path: "pools.x", Text: "c4 drains", Remedy: "name another"}}); err != nil || s.Stage != RolledBack {
			t.Fatal(s, err)
		}
	})
	t.Run("an undo of an undo is a change of its own, and brings the very text", func(t *testing.T) {
		c := newCheckedChange(t)
		c.Apply(timeAt(0), 2, time.Minute)
		c.RollBack(2, "prices wrong")
		s, err := c.ProposeEarlier(2, "bo", "prices mended elsewhere")
		if err != nil || s.Version != 3 || s.Parent != 1 || string(s.Text) != "two" {
			t.Fatal(s, err)
		}
		_, err = c.ProposeEarlier(1, "bo", "x")
		requireError(t, err, "in force")
	})
	t.Run("stages out of order, unchecked, unnamed, too long", func(t *testing.T) {
		c, _ := New([]byte("one"), "ada")
		_, err := c.Propose(1, []byte("two"), "", "sale")
		requireError(t, err, "author")
		c.Propose(1, []byte("two"), "bo", "sale")
		_, err = c.Apply(timeAt(0), 2, time.Minute)
		requireError(t, err, "version 2 is proposed")
		_, err = c.Confirm(timeAt(0), 2)
		requireError(t, err, "expected one of")
		_, err = c.RollBack(7, "")
		requireError(t, err, "2 is")
		c.Check(2, nil)
		for _, share := range []float64{0, 1, -1} {
			_, err = c.Stage(timeAt(0), 2, share, time.Minute)
			requireError(t, err, "share")
		}
		_, err = c.Apply(timeAt(0), 2, 48*time.Hour)
		requireError(t, err, "a day")
	})
	t.Run("however many changes, so many are kept, the one in force among them", func(t *testing.T) {
		c, _ := New([]byte("one"), "ada")
		for range 300 {
			s, err := c.Propose(1, []byte("x"), "bo", "sale")
			if err != nil {
				t.Fatal(err)
			}
			c.RollBack(s.Version, "no")
		}
		if len(c.History()) > maxVersions || string(c.Text(1)) != "one" {
			t.Error(len(c.History()))
		}
	})
	t.Run("a record that cannot be", func(t *testing.T) {
		first := Step{Version: 1, Stage: Confirmed, Text: []byte("one")}
		for _, steps := range [][]Step{nil, {{Version: 1, Stage: Proposed}}, {first, {Version: 2, Stage: Confirmed}}, {first, {Version: 2, Parent: 9, Stage: Proposed, Text: []byte("x"), Author: "a", Reason: "b"}},
			{first, {Version: 2, Stage: "other"}}, {first, {Version: 1, Parent: 1, Stage: Proposed, Text: []byte("x"), Author: "a", Reason: "b"}}} {
			_, _, err := Recover(steps)
			requireError(t, err, "record")
		}
	})
}

// Whatever is called in whatever order: the record, cut anywhere, gives the version that was confirmed by then and nothing of a
// change under way; a snapshot gives the same; and an undo puts in force just what was.
func TestStepsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, first := New([]byte("one"), "ada")
		record, heads, now := []Step{first}, []uint64{1}, 0
		keep := func(s Step, err error) {
			if err == nil {
				record, heads = append(record, s), append(heads, c.confirmed)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(0, 400).Draw(t, "ms")
			before, no := c.Active(), c.lastNumber
			within := time.Duration(rapid.IntRange(1, 1000).Draw(t, "within")) * time.Millisecond
			steps, _ := c.Tick(timeAt(now))
			for _, s := range steps {
				keep(s, nil)
				before = c.Active()
			}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				keep(c.Propose(c.confirmed, []byte(fmt.Sprint("text ", no+1)), "bo", "sale"))
			case 2:
				keep(c.Check(no, []Finding{{IsError: rapid.IntRange(0, 5).Draw(t, "bad") == 0}}))
			case 3:
				keep(c.Stage(timeAt(now), no, rapid.Float64Range(0.01, 0.99).Draw(t, "share"), within))
			case 4:
				keep(c.Apply(timeAt(now), no, within))
			case 5:
				keep(c.Confirm(timeAt(now), no))
			case 6:
				keep(c.RollBack(no, "no"))
				if f := c.Active(); c.inProgress == nil && f != (Active{Base: c.confirmed}) {
					t.Fatalf("after an undo %+v, before it %+v", f, before)
				}
			case 7:
				keep(c.ProposeEarlier(rapid.Uint64Range(1, no).Draw(t, "to"), "bo", "back"))
			}
			f := c.Active()
			if f.Base != c.confirmed && (c.inProgress == nil || c.inProgress.stage != Applied || f.Base != c.inProgress.number) || c.Text(f.Base) == nil {
				t.Fatalf("%+v with %d confirmed", f, c.confirmed)
			}
		}
		cut := rapid.IntRange(1, len(record)).Draw(t, "cut")
		again, more, err := Recover(record[:cut])
		if err != nil || again.Active() != (Active{Base: heads[cut-1]}) || string(again.Text(again.confirmed)) != string(c.Text(heads[cut-1])) {
			t.Fatalf("%+v of %d steps, %d were confirmed: %v", again, cut, heads[cut-1], err)
		}
		if _, none, err := Recover(append(slices.Clone(record[:cut]), more...)); err != nil || none != nil {
			t.Fatalf("%v, %v", none, err)
		}
		short, _, err := Recover(c.Snapshot())
		if err != nil || short.Active() != (Active{Base: c.confirmed}) || len(short.History()) != len(c.History()) || short.lastNumber != c.lastNumber {
			t.Fatalf("%v: %+v", err, short)
		}
	})
}

// timeToTrip has lookups come for two minutes, half of them under the change; it gives when the guard trips, or -1.
func timeToTrip(r *rand.Rand, share, base, under float64) time.Duration {
	g := NewGuard(timeAt(0), DefaultGuardLimits)
	for ms := 0; ms < 120_000; ms += 10 {
		is := r.Float64() < share
		p := base
		if is {
			p = under
		}
		ok := r.Float64() < p
		g.Observe(timeAt(ms), is, Outcome{Satisfied: ok, Rejected: !ok && r.IntN(2) == 0, Late: !ok, Filled: r.IntN(4) == 0})
		if ms%500 == 0 && g.Tripped() != "" {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return -1
}

func TestGuards(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	wrongly, undone, bad := 0, 0, 200
	for range 500 {
		base := 0.8 + 0.19*r.Float64()
		if timeToTrip(r, 0.1, base, base) >= 0 {
			wrongly++
		}
	}
	var times []time.Duration
	for range bad {
		base := 0.8 + 0.19*r.Float64()
		if d := timeToTrip(r, 0.1, base, base-0.1-0.5*r.Float64()); d >= 0 {
			undone++
			times = append(times, d)
		}
	}
	slices.Sort(times)
	t.Logf("of 500 good changes %d undone; of %d bad ones %d, half within %v, nine in ten within %v, at ten lookups a second under the change", wrongly, bad, undone,
		times[len(times)/2], times[len(times)*9/10])
	if wrongly > 2 || undone < bad*95/100 {
		t.Errorf("%d false, %d of %d undone", wrongly, undone, bad)
	}
}
