package view

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1_000_000)

var testSettings = Settings{MaxMembers: 5, ReapAfter: 3600 * second, SettleAfter: second, EvidenceMaxAge: 30 * second}

func testID(name string) ID { return ID{Name: name, Addr: "127.0.0.1:" + name, Incarnation: 1} }

// viewOf is a view of a with others alive since 1.
func viewOf(others ...string) *View {
	v := New(testID("a"), testSettings, 1)
	for _, name := range others {
		v.Join(testID(name), name, 1)
	}
	return v
}

func wantState(t *testing.T, v *View, name string, want State) {
	t.Helper()
	if m, _ := v.Get(name); m.State != want {
		t.Errorf("%s is held %v, not %v", name, m.State, want)
	}
}

func TestFailedProbeSuspectsAndLaterHeartbeatClears(t *testing.T) {
	v := viewOf("b", "c")
	v.RecordFailedProbe("b", "c", 5*second, 6*second)
	wantState(t, v, "b", Suspect)
	v.RecordSeen("b", "a", 4*second, 6*second) // older than the failed probe: proves nothing about now
	wantState(t, v, "b", Suspect)
	v.RecordSeen("b", "a", 7*second, 7*second)
	wantState(t, v, "b", Alive)
	v.RecordFailedProbe("b", "c", 6*second, 8*second) // the same word come late, by way of others
	wantState(t, v, "b", Alive)
}

func TestMemberClearedByHeartbeatsIsAskedToRefute(t *testing.T) {
	v := viewOf("b", "c")
	v.RecordFailedProbe("b", "c", 5*second, 5*second)
	v.RecordSeen("b", "c", 6*second, 6*second)
	asked := 0
	for now := 6 * second; now < 60*second; now += second / 2 {
		asked += len(v.DueRefuteRequests(now))
	}
	if asked != maxRefuteRequests {
		t.Errorf("asked %d times", asked)
	}
	v.RecordFailedProbe("b", "c", 70*second, 70*second)
	v.RecordSeen("b", "c", 71*second, 71*second)
	again := testID("b")
	again.Incarnation = 2
	v.Update(again, 71*second) // the detector itself heard of it
	if d := v.DueRefuteRequests(90 * second); len(d) > 0 {
		t.Error(d)
	}
}

func TestHeartbeatsNeitherKillNorRevive(t *testing.T) {
	v := viewOf("b", "c")
	v.MarkGone("b", false, 2*second)
	v.RecordSeen("b", "c", 3*second, 3*second)
	wantState(t, v, "b", Dead)
	v.RecordFailedProbe("c", "b", 4*second, 4*second)
	wantState(t, v, "c", Suspect)
	m, _ := v.Get("b")
	if said := m.Evidence(); said[len(said)-1].By != "c" {
		t.Errorf("who heard the dead one is not kept: %v", said)
	}
}

func TestMinorityIsRecognised(t *testing.T) {
	v := viewOf("b", "c", "d", "e")
	for _, name := range []string{"c", "d"} {
		v.MarkGone(name, false, 2*second)
	}
	if v.InMinority() {
		t.Error("three of five take themselves for a minority")
	}
	v.RecordFailedProbe("e", "a", 3*second, 3*second)
	if seen, fleet := v.Size(); !v.InMinority() || seen != 2 || fleet != 5 {
		t.Errorf("two of five that answer are no minority: %d of %d", seen, fleet)
	}
	v.MarkGone("c", true, 4*second) // it had left: it counts for the fleet no more
	if seen, fleet := v.Size(); seen != 2 || fleet != 4 || !v.InMinority() {
		t.Errorf("%d of %d", seen, fleet)
	}
	alone := New(testID("a"), Settings{MaxMembers: 9, ExpectedMembers: 3}, 1)
	if !alone.InMinority() || New(testID("a"), testSettings, 1).InMinority() {
		t.Error("one of three that are expected must be a minority, one that knows of nobody else must not")
	}
}

func TestDeadMembersCountUntilReaped(t *testing.T) {
	v := viewOf("b", "c")
	v.MarkGone("b", false, second)
	v.Tick(3000 * second)
	if _, fleet := v.Size(); fleet != 3 {
		t.Errorf("a fleet of %d", fleet)
	}
	if reaped := v.Tick(3602 * second).Reaped; !slices.Equal(reaped, []string{"b"}) {
		t.Errorf("reaped: %v", reaped)
	}
}

func TestJoinsEvictTheLongestDead(t *testing.T) {
	v := viewOf("b", "c", "d", "e") // full
	if v.RefusalOf("f") != Full {
		t.Error("a sixth is let into five places that are all live")
	}
	v.MarkGone("c", false, 2*second)
	v.MarkGone("b", false, 3*second)
	if v.RefusalOf("f") != "" {
		t.Error("the dead hold places")
	}
	v.Join(testID("f"), "f", 4*second)
	wantState(t, v, "f", Alive)
	if _, held := v.Get("c"); held {
		t.Error("the longest dead did not give way")
	}
	wantState(t, v, "b", Dead)
}

func TestRestartIsReportedAndIsNoFalseDeath(t *testing.T) {
	v := viewOf("b")
	again := testID("b")
	again.Incarnation = 2
	if c := v.Update(again, second); len(c) != 1 || c[0].Reason != "restarted" {
		t.Errorf("%+v", c)
	}
	v.MarkGone("b", false, 2*second)
	v.Join(again, "b", 3*second) // the same process: it had not died
	if m, _ := v.Get("b"); m.Restarts != 1 || m.Deaths != 1 || m.FalseDeaths != 1 {
		t.Errorf("restarts %d, deaths %d, wrong %d", m.Restarts, m.Deaths, m.FalseDeaths)
	}
}

// exchangeHeartbeats gives each view's words to each other, as gossip would.
func exchangeHeartbeats(t *testing.T, now int64, views ...*View) {
	t.Helper()
	for _, from := range views {
		for _, to := range views {
			if from == to {
				continue
			}
			if _, err := to.MergeHeartbeat(from.HeartbeatFrame(MaxFrameBytes, now), now); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func viewsOf(names ...string) (all []*View) {
	for _, name := range names {
		v := New(testID(name), Settings{MaxMembers: 1000, SettleAfter: second, EvidenceMaxAge: 30 * second, ReapAfter: 3600 * second}, 1)
		for _, other := range names {
			v.Join(testID(other), other, 1)
		}
		all = append(all, v)
	}
	return all
}

func TestSettlesOnlyOnReceivedAgreement(t *testing.T) {
	all := viewsOf("a", "b", "c")
	if all[0].Tick(9 * second).HasSettled {
		t.Error("settled though nobody said a word")
	}
	exchangeHeartbeats(t, 9*second, all...)
	if tick := all[0].Tick(10 * second); !tick.HasSettled || tick.SettleTime != 10*second-1 {
		t.Errorf("not settled though all agree: %+v", tick)
	}
	all[1].MarkGone("c", false, 11*second) // b thinks otherwise now
	exchangeHeartbeats(t, 12*second, all...)
	if all[0].Settled() {
		t.Error("settled though b sees others")
	}
	all[1].Join(testID("c"), "c", 13*second)
	exchangeHeartbeats(t, 14*second, all...)
	all[1].Tick(15 * second)
	if !all[0].Tick(15 * second).HasSettled {
		t.Error("does not settle again")
	}
}

func TestFailedProbeIsForwardedWithItsSource(t *testing.T) {
	all := viewsOf("a", "b", "c", "d")
	all[0].RecordFailedProbe("d", "a", 5*second, 5*second)
	all[1].MergeHeartbeat(all[0].HeartbeatFrame(MaxFrameBytes, 6*second), 6*second)
	all[2].MergeHeartbeat(all[1].HeartbeatFrame(MaxFrameBytes, 7*second), 7*second) // by way of b
	m, _ := all[2].Get("d")
	if m.State != Suspect || m.ProbeFailedBy != "a" || m.ProbeFailedAt != 5*second {
		t.Errorf("%v, accused by %s at %d", m.State, m.ProbeFailedBy, m.ProbeFailedAt)
	}
}

func TestLargeFleetRotatesMembersThroughFrames(t *testing.T) {
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("g%d", i))
	}
	v := viewsOf(names...)[0]
	told := map[string]bool{}
	w := New(testID("other"), Settings{MaxMembers: 1000, EvidenceMaxAge: 30 * second}, 1)
	for _, name := range names {
		w.Join(testID(name), name, 0)
	}
	for range 200/maxSeenRecords + 1 {
		b := v.HeartbeatFrame(MaxFrameBytes, 2*second)
		if len(b) > MaxFrameBytes {
			t.Fatal(len(b))
		}
		if _, err := w.MergeHeartbeat(b, 20*second); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range w.Members() {
		if m.LastSeen > 1 {
			told[m.Name] = true
		}
	}
	if len(told) < 199 {
		t.Errorf("%d of 199 were told of", len(told))
	}
}

func TestUnreadableFrameChangesNothing(t *testing.T) {
	all := viewsOf("a", "b", "c")
	all[0].RecordFailedProbe("c", "a", second, second)
	good := all[0].HeartbeatFrame(MaxFrameBytes, 2*second)
	for n := range good {
		if _, err := all[1].MergeHeartbeat(good[:n], 2*second); err == nil {
			t.Errorf("%d bytes of %d are taken", n, len(good))
		}
	}
	if m, _ := all[1].Get("c"); m.State != Alive {
		t.Error("a torn frame had its effect")
	}
}

func FuzzMergeHeartbeat(f *testing.F) {
	all := viewsOf("a", "b", "c")
	all[0].RecordFailedProbe("c", "a", second, second)
	f.Add(all[0].HeartbeatFrame(MaxFrameBytes, 2*second))
	f.Fuzz(func(t *testing.T, b []byte) {
		v := viewsOf("a", "b", "c")[1]
		v.MergeHeartbeat(b, 3*second)
		for _, m := range v.Members() {
			if !m.State.IsLive() || m.LastSeen > 3*second || v.AgreeingCount() > v.LiveCount() {
				t.Errorf("%+v", m)
			}
		}
	})
}

// Whatever comes in whatever order, bounds hold and self is there.
func TestBoundsHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf()
		now := int64(1)
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400*second).Draw(t, "passes")
			name := rapid.SampledFrom(names).Draw(t, "name")
			by := rapid.SampledFrom(names).Draw(t, "by")
			its := testID(name)
			its.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "stamp")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
			case 0:
				v.Join(its, by, now)
			case 1:
				v.Update(its, now)
			case 2:
				v.MarkGone(name, rapid.Bool().Draw(t, "left"), now)
			case 3:
				v.RecordSeen(name, by, now-rapid.Int64Range(0, 40*second).Draw(t, "ago"), now)
			case 4:
				v.RecordFailedProbe(name, by, now-rapid.Int64Range(0, 40*second).Draw(t, "ago"), now)
			case 5:
				v.Tick(now)
			case 6:
				v.AddKnown(its, now)
			case 7:
				v.MarkPaused(now)
			}
			self, ok := v.Get("a")
			if seen, fleet := v.Size(); !ok || self.State != Alive || len(v.Members()) > testSettings.MaxMembers || len(v.nameByKey) != len(v.members) || seen > fleet {
				t.Fatalf("%+v", v.Members())
			}
			if v.Digest() != v.computeDigest() || v.LiveCount() != len(v.LiveNames()) {
				t.Fatal("the digest is not of the live set")
			}
			for _, m := range v.Members() {
				if len(m.Evidence()) > maxEvidence || m.LastSeen > now {
					t.Fatalf("%+v", m)
				}
			}
		}
	})
}
