package view

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1_000_000)

var set = Settings{Most: 5, Reap: 3600 * second, Settle: second, Evident: 30 * second}

func id(name string) ID { return ID{Name: name, Addr: "127.0.0.1:" + name, Stamp: 1} }

// of is a view of a with others alive since 1.
func of(others ...string) *View {
	v := New(id("a"), set, 1)
	for _, name := range others {
		v.Join(id(name), name, 1)
	}
	return v
}

func state(t *testing.T, v *View, name string, want State) {
	t.Helper()
	if m, _ := v.Get(name); m.State != want {
		t.Errorf("%s is held %v, not %v", name, m.State, want)
	}
}

func TestAFailedProbeMakesASuspectAndAProofOfLifeClearsIt(t *testing.T) {
	v := of("b", "c")
	v.Accuse("b", "c", 5*second, 6*second)
	state(t, v, "b", Suspect)
	v.Heard("b", "a", 4*second, 6*second) // older than the failed probe: proves nothing about now
	state(t, v, "b", Suspect)
	v.Heard("b", "a", 7*second, 7*second)
	state(t, v, "b", Alive)
	v.Accuse("b", "c", 6*second, 8*second) // the same word come late, by way of others
	state(t, v, "b", Alive)
}

func TestWhoWasClearedByWordsIsAskedToSpeakUp(t *testing.T) {
	v := of("b", "c")
	v.Accuse("b", "c", 5*second, 5*second)
	v.Heard("b", "c", 6*second, 6*second)
	asked := 0
	for now := 6 * second; now < 60*second; now += second / 2 {
		asked += len(v.Doubts(now))
	}
	if asked != mostAsks {
		t.Errorf("asked %d times", asked)
	}
	v.Accuse("b", "c", 70*second, 70*second)
	v.Heard("b", "c", 71*second, 71*second)
	again := id("b")
	again.Stamp = 2
	v.Update(again, 71*second) // the detector itself heard of it
	if d := v.Doubts(90 * second); len(d) > 0 {
		t.Error(d)
	}
}

func TestWordsNeitherKillNorBringBack(t *testing.T) {
	v := of("b", "c")
	v.Gone("b", false, 2*second)
	v.Heard("b", "c", 3*second, 3*second)
	state(t, v, "b", Dead)
	v.Accuse("c", "b", 4*second, 4*second)
	state(t, v, "c", Suspect)
	m, _ := v.Get("b")
	if said := m.Said(); said[len(said)-1].By != "c" {
		t.Errorf("who heard the dead one is not kept: %v", said)
	}
}

func TestAMinorityKnowsThatItIsOne(t *testing.T) {
	v := of("b", "c", "d", "e")
	for _, name := range []string{"c", "d"} {
		v.Gone(name, false, 2*second)
	}
	if v.Minority() {
		t.Error("three of five take themselves for a minority")
	}
	v.Accuse("e", "a", 3*second, 3*second)
	if seen, fleet := v.Size(); !v.Minority() || seen != 2 || fleet != 5 {
		t.Errorf("two of five that answer are no minority: %d of %d", seen, fleet)
	}
	v.Gone("c", true, 4*second) // it had left: it counts for the fleet no more
	if seen, fleet := v.Size(); seen != 2 || fleet != 4 || !v.Minority() {
		t.Errorf("%d of %d", seen, fleet)
	}
	alone := New(id("a"), Settings{Most: 9, Expect: 3}, 1)
	if !alone.Minority() || New(id("a"), set, 1).Minority() {
		t.Error("one of three that are expected must be a minority, one that knows of nobody else must not")
	}
}

func TestTheDeadCountUntilTheyAreForgotten(t *testing.T) {
	v := of("b", "c")
	v.Gone("b", false, second)
	v.Tick(3000 * second)
	if _, fleet := v.Size(); fleet != 3 {
		t.Errorf("a fleet of %d", fleet)
	}
	if forgotten, _, _ := v.Tick(3602 * second); !slices.Equal(forgotten, []string{"b"}) {
		t.Errorf("forgotten: %v", forgotten)
	}
}

func TestAJoinStormAfterManyDeathsFindsRoom(t *testing.T) {
	v := of("b", "c", "d", "e") // full
	if v.Admits("f") != Full {
		t.Error("a sixth is let into five places that are all live")
	}
	v.Gone("c", false, 2*second)
	v.Gone("b", false, 3*second)
	if v.Admits("f") != "" {
		t.Error("the dead hold places")
	}
	v.Join(id("f"), "f", 4*second)
	state(t, v, "f", Alive)
	if _, held := v.Get("c"); held {
		t.Error("the longest dead did not give way")
	}
	state(t, v, "b", Dead)
}

func TestARestartUnderTheSameNameIsToldAndIsNoWrongDeath(t *testing.T) {
	v := of("b")
	again := id("b")
	again.Stamp = 2
	if c := v.Update(again, second); len(c) != 1 || c[0].Why != "restarted" {
		t.Errorf("%+v", c)
	}
	v.Gone("b", false, 2*second)
	v.Join(again, "b", 3*second) // the same process: it had not died
	if m, _ := v.Get("b"); m.Restarts != 1 || m.Deaths != 1 || m.Wrong != 1 {
		t.Errorf("restarts %d, deaths %d, wrong %d", m.Restarts, m.Deaths, m.Wrong)
	}
}

// tell gives each view's words to each other, as gossip would.
func tell(t *testing.T, now int64, views ...*View) {
	t.Helper()
	for _, from := range views {
		for _, to := range views {
			if from == to {
				continue
			}
			if _, err := to.Take(from.Words(MostWords, now), now); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func fleetOf(names ...string) (all []*View) {
	for _, name := range names {
		v := New(id(name), Settings{Most: 1000, Settle: second, Evident: 30 * second, Reap: 3600 * second}, 1)
		for _, other := range names {
			v.Join(id(other), other, 1)
		}
		all = append(all, v)
	}
	return all
}

func TestSettledIsAgreementThatWasHeard(t *testing.T) {
	all := fleetOf("a", "b", "c")
	if _, settled, _ := all[0].Tick(9 * second); settled {
		t.Error("settled though nobody said a word")
	}
	tell(t, 9*second, all...)
	if _, settled, took := all[0].Tick(10 * second); !settled || took != 10*second-1 {
		t.Errorf("not settled though all agree: %v %d", settled, took)
	}
	all[1].Gone("c", false, 11*second) // b thinks otherwise now
	tell(t, 12*second, all...)
	if all[0].Settled() {
		t.Error("settled though b sees others")
	}
	all[1].Join(id("c"), "c", 13*second)
	tell(t, 14*second, all...)
	all[1].Tick(15 * second)
	if _, settled, _ := all[0].Tick(15 * second); !settled {
		t.Error("does not settle again")
	}
}

func TestAFailedProbeIsToldOnWithWhoSaidIt(t *testing.T) {
	all := fleetOf("a", "b", "c", "d")
	all[0].Accuse("d", "a", 5*second, 5*second)
	all[1].Take(all[0].Words(MostWords, 6*second), 6*second)
	all[2].Take(all[1].Words(MostWords, 7*second), 7*second) // by way of b
	m, _ := all[2].Get("d")
	if m.State != Suspect || m.Accuser != "a" || m.Accused != 5*second {
		t.Errorf("%v, accused by %s at %d", m.State, m.Accuser, m.Accused)
	}
}

func TestInALargeFleetMembersTakeTurnsInWords(t *testing.T) {
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("g%d", i))
	}
	v := fleetOf(names...)[0]
	told := map[string]bool{}
	w := New(id("other"), Settings{Most: 1000, Evident: 30 * second}, 1)
	for _, name := range names {
		w.Join(id(name), name, 0)
	}
	for range 200/mostProofs + 1 {
		b := v.Words(MostWords, 2*second)
		if len(b) > MostWords {
			t.Fatal(len(b))
		}
		if _, err := w.Take(b, 20*second); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range w.All() {
		if m.Heard > 1 {
			told[m.Name] = true
		}
	}
	if len(told) < 199 {
		t.Errorf("%d of 199 were told of", len(told))
	}
}

func TestWordsThatCannotBeReadChangeNothing(t *testing.T) {
	all := fleetOf("a", "b", "c")
	all[0].Accuse("c", "a", second, second)
	good := all[0].Words(MostWords, 2*second)
	for n := range good {
		if _, err := all[1].Take(good[:n], 2*second); err == nil {
			t.Errorf("%d bytes of %d are taken", n, len(good))
		}
	}
	if m, _ := all[1].Get("c"); m.State != Alive {
		t.Error("a torn frame had its effect")
	}
}

func FuzzTake(f *testing.F) {
	all := fleetOf("a", "b", "c")
	all[0].Accuse("c", "a", second, second)
	f.Add(all[0].Words(MostWords, 2*second))
	f.Fuzz(func(t *testing.T, b []byte) {
		v := fleetOf("a", "b", "c")[1]
		v.Take(b, 3*second)
		for _, m := range v.All() {
			if !m.State.Live() || m.Heard > 3*second || v.Agreeing() > v.Count() {
				t.Errorf("%+v", m)
			}
		}
	})
}

// Whatever comes in whatever order, bounds hold and self is there.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := of()
		now := int64(1)
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400*second).Draw(t, "passes")
			name := rapid.SampledFrom(names).Draw(t, "name")
			by := rapid.SampledFrom(names).Draw(t, "by")
			its := id(name)
			its.Stamp = rapid.Uint64Range(1, 3).Draw(t, "stamp")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				v.Join(its, by, now)
			case 1:
				v.Update(its, now)
			case 2:
				v.Gone(name, rapid.Bool().Draw(t, "left"), now)
			case 3:
				v.Heard(name, by, now-rapid.Int64Range(0, 40*second).Draw(t, "ago"), now)
			case 4:
				v.Accuse(name, by, now-rapid.Int64Range(0, 40*second).Draw(t, "ago"), now)
			case 5:
				v.Tick(now)
			case 6:
				v.Know(its, now)
			case 7:
				v.Paused(now)
			}
			self, ok := v.Get("a")
			if seen, fleet := v.Size(); !ok || self.State != Alive || len(v.All()) > set.Most || len(v.keys) != len(v.members) || seen > fleet {
				t.Fatalf("%+v", v.All())
			}
			if v.Digest() != v.sum() || v.Count() != len(v.Live()) {
				t.Fatal("the digest is not of the live set")
			}
			for _, m := range v.All() {
				if len(m.Said()) > lastSaid || m.Heard > now {
					t.Fatalf("%+v", m)
				}
			}
		}
	})
}
