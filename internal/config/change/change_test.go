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

func at(ms int) time.Time { return time.Unix(5000, 0).Add(time.Duration(ms) * time.Millisecond) }

// checked is a version 2 that has been checked.
func checked(t *testing.T) *Changes {
	t.Helper()
	c, _ := New([]byte("one"), "ada")
	if s, err := c.Propose(1, []byte("two"), "bo", "sale"); err != nil || s.No != 2 {
		t.Fatal(s, err)
	}
	if _, err := c.Check(2, []Finding{{Path: "routes[0]", Text: "shadowed"}}); err != nil {
		t.Fatal(err)
	}
	return c
}

func refused(t *testing.T, err error, word string) {
	t.Helper()
	var f Fault
	if !errors.As(err, &f) || !strings.Contains(f.Error(), word) || f.Remedy == "" {
		t.Errorf("%v", err)
	}
}

func TestChanges(t *testing.T) {
	t.Run("checked, staged for a share, applied to all, confirmed", func(t *testing.T) {
		c := checked(t)
		if f := c.Force(); f != (Force{Base: 1}) {
			t.Fatal(f)
		}
		c.Stage(at(0), 2, 0.25, time.Minute)
		f := c.Force()
		if f != (Force{1, 2, 0.25}) || f.Side(0) != 2 || f.Side(1<<62) != 1 || f.Side(1<<62-1<<20) != 2 {
			t.Fatal(f)
		}
		if _, err := c.Apply(at(1000), 2, time.Minute); err != nil || c.Force() != (Force{Base: 2}) {
			t.Fatal(c.Force(), err)
		}
		if _, err := c.Confirm(at(2000), 2); err != nil || c.Force() != (Force{Base: 2}) {
			t.Fatal(c.Force(), err)
		}
		if steps, next := c.Tick(at(1e9)); steps != nil || !next.IsZero() {
			t.Error("what is confirmed is undone")
		}
	})
	t.Run("a second change before the first has finished, on the same and another parent", func(t *testing.T) {
		c := checked(t)
		for _, parent := range []uint64{1, 2} {
			_, err := c.Propose(parent, []byte("x"), "cy", "other")
			refused(t, err, "version 2 of bo is under way")
		}
		c.Apply(at(0), 2, time.Minute)
		c.Confirm(at(1), 2)
		_, err := c.Propose(1, []byte("x"), "cy", "other")
		refused(t, err, "version 2 is in force, the change is of 1")
	})
	t.Run("not confirmed in time: undone, and a confirmation that comes then is too late", func(t *testing.T) {
		c := checked(t)
		c.Apply(at(0), 2, time.Second)
		if steps, next := c.Tick(at(999)); steps != nil || !next.Equal(at(1000)) {
			t.Fatal(steps, next)
		}
		if s, err := c.Confirm(at(1000), 2); err != nil || s.Stage != Undone || c.Force() != (Force{Base: 1}) {
			t.Fatal(s, err)
		}
		c = checked(t)
		c.Stage(at(0), 2, 0.5, time.Second)
		if steps, _ := c.Tick(at(1000)); len(steps) != 1 || steps[0].Stage != Undone || c.Force() != (Force{Base: 1}) {
			t.Fatal(steps)
		}
	})
	t.Run("an error of the checks ends it, a remark does not", func(t *testing.T) {
		c, _ := New([]byte("one"), "ada")
		c.Propose(1, []byte("two"), "bo", "sale")
		s, err := c.Check(2, []Finding{{Error: true, Path: "pools.x", Text: "names c4, which drains", Remedy: "name another"}})
		if err != nil || s.Stage != Undone || !strings.Contains(s.Reason, "c4, which drains") {
			t.Fatal(s, err)
		}
		_, err = c.Stage(at(0), 2, 0.1, time.Minute)
		refused(t, err, "none is")
	})
	t.Run("it begins to drain between check and apply: checked again, it ends there", func(t *testing.T) {
		c := checked(t)
		if s, err := c.Check(2, []Finding{{Error: true, Path: "pools.x", Text: "c4 drains", Remedy: "name another"}}); err != nil || s.Stage != Undone {
			t.Fatal(s, err)
		}
	})
	t.Run("an undo of an undo is a change of its own, and brings the very text", func(t *testing.T) {
		c := checked(t)
		c.Apply(at(0), 2, time.Minute)
		c.Undo(2, "prices wrong")
		s, err := c.Back(2, "bo", "prices mended elsewhere")
		if err != nil || s.No != 3 || s.Parent != 1 || string(s.Text) != "two" {
			t.Fatal(s, err)
		}
		_, err = c.Back(1, "bo", "x")
		refused(t, err, "in force")
	})
	t.Run("stages out of order, unchecked, unnamed, too long", func(t *testing.T) {
		c, _ := New([]byte("one"), "ada")
		_, err := c.Propose(1, []byte("two"), "", "sale")
		refused(t, err, "author")
		c.Propose(1, []byte("two"), "bo", "sale")
		_, err = c.Apply(at(0), 2, time.Minute)
		refused(t, err, "version 2 is proposed")
		_, err = c.Confirm(at(0), 2)
		refused(t, err, "expected one of")
		_, err = c.Undo(7, "")
		refused(t, err, "2 is")
		c.Check(2, nil)
		for _, share := range []float64{0, 1, -1} {
			_, err = c.Stage(at(0), 2, share, time.Minute)
			refused(t, err, "share")
		}
		_, err = c.Apply(at(0), 2, 48*time.Hour)
		refused(t, err, "a day")
	})
	t.Run("however many changes, so many are kept, the one in force among them", func(t *testing.T) {
		c, _ := New([]byte("one"), "ada")
		for range 300 {
			s, err := c.Propose(1, []byte("x"), "bo", "sale")
			if err != nil {
				t.Fatal(err)
			}
			c.Undo(s.No, "no")
		}
		if len(c.History()) > mostVersion || string(c.Text(1)) != "one" {
			t.Error(len(c.History()))
		}
	})
	t.Run("a record that cannot be", func(t *testing.T) {
		first := Step{No: 1, Stage: Confirmed, Text: []byte("one")}
		for _, steps := range [][]Step{nil, {{No: 1, Stage: Proposed}}, {first, {No: 2, Stage: Confirmed}}, {first, {No: 2, Parent: 9, Stage: Proposed, Text: []byte("x"), Author: "a", Reason: "b"}},
			{first, {No: 2, Stage: "other"}}, {first, {No: 1, Parent: 1, Stage: Proposed, Text: []byte("x"), Author: "a", Reason: "b"}}} {
			_, _, err := Recover(steps)
			refused(t, err, "record")
		}
	})
}

// Whatever is called in whatever order: the record, cut anywhere, gives the version that was confirmed by then and nothing of a
// change under way; a snapshot gives the same; and an undo puts in force just what was.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, first := New([]byte("one"), "ada")
		record, heads, now := []Step{first}, []uint64{1}, 0
		keep := func(s Step, err error) {
			if err == nil {
				record, heads = append(record, s), append(heads, c.head)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += rapid.IntRange(0, 400).Draw(t, "ms")
			before, no := c.Force(), c.last
			within := time.Duration(rapid.IntRange(1, 1000).Draw(t, "within")) * time.Millisecond
			steps, _ := c.Tick(at(now))
			for _, s := range steps {
				keep(s, nil)
				before = c.Force()
			}
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0, 1:
				keep(c.Propose(c.head, []byte(fmt.Sprint("text ", no+1)), "bo", "sale"))
			case 2:
				keep(c.Check(no, []Finding{{Error: rapid.IntRange(0, 5).Draw(t, "bad") == 0}}))
			case 3:
				keep(c.Stage(at(now), no, rapid.Float64Range(0.01, 0.99).Draw(t, "share"), within))
			case 4:
				keep(c.Apply(at(now), no, within))
			case 5:
				keep(c.Confirm(at(now), no))
			case 6:
				keep(c.Undo(no, "no"))
				if f := c.Force(); c.under == nil && f != (Force{Base: c.head}) {
					t.Fatalf("after an undo %+v, before it %+v", f, before)
				}
			case 7:
				keep(c.Back(rapid.Uint64Range(1, no).Draw(t, "to"), "bo", "back"))
			}
			f := c.Force()
			if f.Base != c.head && (c.under == nil || c.under.stage != Applied || f.Base != c.under.no) || c.Text(f.Base) == nil {
				t.Fatalf("%+v with %d confirmed", f, c.head)
			}
		}
		cut := rapid.IntRange(1, len(record)).Draw(t, "cut")
		again, more, err := Recover(record[:cut])
		if err != nil || again.Force() != (Force{Base: heads[cut-1]}) || string(again.Text(again.head)) != string(c.Text(heads[cut-1])) {
			t.Fatalf("%+v of %d steps, %d were confirmed: %v", again, cut, heads[cut-1], err)
		}
		if _, none, err := Recover(append(slices.Clone(record[:cut]), more...)); err != nil || none != nil {
			t.Fatalf("%v, %v", none, err)
		}
		short, _, err := Recover(c.Snapshot())
		if err != nil || short.Force() != (Force{Base: c.head}) || len(short.History()) != len(c.History()) || short.last != c.last {
			t.Fatalf("%v: %+v", err, short)
		}
	})
}

// play has lookups come for two minutes, half of them under the change; it gives when the guard trips, or -1.
func play(r *rand.Rand, share, base, under float64) time.Duration {
	g := NewGuard(at(0), Usual)
	for ms := 0; ms < 120_000; ms += 10 {
		is := r.Float64() < share
		p := base
		if is {
			p = under
		}
		ok := r.Float64() < p
		g.Saw(at(ms), is, Seen{Satisfied: ok, Nacked: !ok && r.IntN(2) == 0, Late: !ok, Filled: r.IntN(4) == 0})
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
		if play(r, 0.1, base, base) >= 0 {
			wrongly++
		}
	}
	var times []time.Duration
	for range bad {
		base := 0.8 + 0.19*r.Float64()
		if d := play(r, 0.1, base, base-0.1-0.5*r.Float64()); d >= 0 {
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
