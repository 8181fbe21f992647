package view

import "testing"

var set = Settings{Max: 4, SuspectUs: 5_000_000, ReapUs: 30_000_000, SettleUs: 1_000_000}

func TestSuspectRefutedBySelf(t *testing.T) {
	v := New("a", set, 0)
	up, ok := v.Apply(Update{Name: "a", Incarnation: 1, State: Suspect, From: "b"}, 10)
	if !ok || up.State != Alive || up.Incarnation != 2 {
		t.Fatalf("refutation = %+v %v, want alive at incarnation 2", up, ok)
	}
}

func TestPrecedenceAtOneIncarnation(t *testing.T) {
	v := New("a", set, 0)
	v.Apply(Update{Name: "b", Incarnation: 3, State: Alive, From: "b"}, 1)
	v.Apply(Update{Name: "b", Incarnation: 3, State: Suspect, From: "c"}, 2)
	if _, ok := v.Apply(Update{Name: "b", Incarnation: 3, State: Alive, From: "d"}, 3); ok {
		t.Fatal("an alive word at the same incarnation undid a suspicion")
	}
	if _, ok := v.Apply(Update{Name: "b", Incarnation: 4, State: Alive, From: "b"}, 4); !ok {
		t.Fatal("a higher incarnation did not refute the suspicion")
	}
}

func TestSuspectDiesThenIsForgotten(t *testing.T) {
	v := New("a", set, 0)
	v.Apply(Update{Name: "b", Incarnation: 1, State: Alive}, 0)
	v.Apply(Update{Name: "b", Incarnation: 1, State: Suspect}, 1_000)
	if got := v.Tick(5_001_000); len(got) != 1 || got[0].State != Dead {
		t.Fatalf("tick spread %+v, want b dead", got)
	}
	v.Tick(35_001_000)
	if _, ok := v.Get("b"); ok {
		t.Fatal("a dead member was kept past the reap time")
	}
}

func TestBoundedAndMinority(t *testing.T) {
	v := New("a", set, 0)
	for _, n := range []string{"b", "c", "d", "e", "f"} {
		v.Apply(Update{Name: n, Incarnation: 1, State: Alive}, 0)
	}
	if got := len(v.Live()); got != set.Max {
		t.Fatalf("held %d members, want at most %d", got, set.Max)
	}
	if v.Minority() {
		t.Fatal("a gateway seeing all it knows took itself for a minority")
	}
	v.Apply(Update{Name: "b", Incarnation: 1, State: Dead}, 1)
	v.Apply(Update{Name: "c", Incarnation: 1, State: Dead}, 1)
	if !v.Minority() {
		t.Fatal("a gateway seeing two of four did not know it was no majority")
	}
	if v.Settled(500_000) || !v.Settled(1_000_001) {
		t.Fatal("settling not told by the settle time")
	}
}
