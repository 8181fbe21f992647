package view

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const second = int64(1_000_000)

var testSettings = Settings{MaxMembers: 5, ReapAfter: 3600 * second, SettleAfter: second, EvidenceMaxAge: 30 * second, VerifyAfter: 2 * second}

func testID(name string) ID { return ID{Name: name, Addr: "127.0.0.1:" + name, Incarnation: 1} }

// viewOf returns the view of gateway a, in which the others have been alive since time 1.
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
		t.Errorf("state of %s: got %v, want %v", name, m.State, want)
	}
}

// A member becomes suspect if a probe failed after it was last seen. Evidence that it was seen after the probe clears
// the suspicion. Records can arrive out of order, so only the times in them count.
func TestFailedProbeSuspectsAndLaterHeartbeatClears(t *testing.T) {
	v := viewOf("b", "c")
	v.RecordFailedProbe("b", "c", 5*second, 6*second)
	wantState(t, v, "b", Suspect)
	v.RecordSeen("b", "a", 4*second, 6*second) // older than the failed probe
	wantState(t, v, "b", Suspect)
	v.RecordSeen("b", "a", 7*second, 7*second)
	wantState(t, v, "b", Alive)
	v.RecordFailedProbe("b", "c", 6*second, 8*second) // a failed probe before the last sighting, whose record arrives late
	wantState(t, v, "b", Alive)
}

// A member whose suspicion was cleared by evidence is asked maxRefuteRequests times to refute it. The requests end when
// the detector itself reports the member.
func TestMemberClearedByHeartbeatsGetsRefuteRequests(t *testing.T) {
	v := viewOf("b", "c")
	v.RecordFailedProbe("b", "c", 5*second, 5*second)
	v.RecordSeen("b", "c", 6*second, 6*second)
	asked := 0
	for now := 6 * second; now < 60*second; now += second / 2 {
		asked += len(v.DueRefuteRequests(now))
	}
	if asked != maxRefuteRequests {
		t.Errorf("got %d requests to refute, want %d", asked, maxRefuteRequests)
	}
	v.RecordFailedProbe("b", "c", 70*second, 70*second)
	v.RecordSeen("b", "c", 71*second, 71*second)
	restarted := testID("b")
	restarted.Incarnation = 2
	v.Update(restarted, 71*second) // the detector reports a new incarnation
	if names := v.DueRefuteRequests(90 * second); len(names) > 0 {
		t.Errorf("requests to refute after the detector reported the member: got %v, want none", names)
	}
}

// Only the detector makes a member alive or dead. Evidence about a dead member is kept but does not revive it, and a
// failed probe makes a member suspect but not dead.
func TestHeartbeatsNeitherKillNorRevive(t *testing.T) {
	v := viewOf("b", "c")
	v.MarkGone("b", false, 2*second)
	v.RecordSeen("b", "c", 3*second, 3*second)
	wantState(t, v, "b", Dead)
	v.RecordFailedProbe("c", "b", 4*second, 4*second)
	wantState(t, v, "c", Suspect)
	m, _ := v.Get("b")
	if evidence := m.Evidence(); evidence[len(evidence)-1].By != "c" {
		t.Errorf("newest evidence about dead member b is not by c: %v", evidence)
	}
}

// Half of the fleet or less is a minority. Suspects count for the fleet size but not as alive, and members that left do
// not count at all.
func TestMinorityIsRecognised(t *testing.T) {
	v := viewOf("b", "c", "d", "e")
	for _, name := range []string{"c", "d"} {
		v.MarkGone(name, false, 2*second)
	}
	if v.InMinority() {
		t.Error("three alive of five: got a minority, want none")
	}
	v.RecordFailedProbe("e", "a", 3*second, 3*second)
	if alive, fleet := v.Size(); !v.InMinority() || alive != 2 || fleet != 5 {
		t.Errorf("with a suspect: got %d alive of %d, want 2 of 5 and a minority", alive, fleet)
	}
	v.MarkGone("c", true, 4*second) // c turns out to have left, so it no longer counts for the fleet size
	if alive, fleet := v.Size(); alive != 2 || fleet != 4 || !v.InMinority() {
		t.Errorf("after c left: got %d alive of %d, want 2 of 4 and a minority", alive, fleet)
	}
	alone := New(testID("a"), Settings{MaxMembers: 9, ExpectedMembers: 3}, 1)
	if !alone.InMinority() || New(testID("a"), testSettings, 1).InMinority() {
		t.Error("one of three expected gateways must be a minority, and one that knows no other gateway must not be")
	}
}

// Dead members count for the fleet size until they are reaped.
func TestDeadMembersCountUntilReaped(t *testing.T) {
	v := viewOf("b", "c")
	v.MarkGone("b", false, second)
	v.Tick(3000 * second)
	if _, fleet := v.Size(); fleet != 3 {
		t.Errorf("fleet size before the reap time: got %d, want 3", fleet)
	}
	if reaped := v.Tick(3602 * second).Reaped; !slices.Equal(reaped, []string{"b"}) {
		t.Errorf("reaped members: got %v, want b", reaped)
	}
}

// A full view refuses a gateway while all members are live. Otherwise it evicts the member that has been dead for the
// longest time.
func TestJoinsEvictTheLongestDead(t *testing.T) {
	v := viewOf("b", "c", "d", "e") // a full view
	if v.RefusalOf("f") != Full {
		t.Error("a sixth gateway is admitted to a full view of five live members")
	}
	v.MarkGone("c", false, 2*second)
	v.MarkGone("b", false, 3*second)
	if v.RefusalOf("f") != "" {
		t.Error("f is refused although two members are dead")
	}
	v.Join(testID("f"), "f", 4*second)
	wantState(t, v, "f", Alive)
	if _, known := v.Get("c"); known {
		t.Error("c, which has been dead for the longest time, was not evicted")
	}
	wantState(t, v, "b", Dead)
}

// A new incarnation under a name is a restart. The same incarnation after a death is a false death.
func TestRestartIsReportedAndIsNoFalseDeath(t *testing.T) {
	v := viewOf("b")
	restarted := testID("b")
	restarted.Incarnation = 2
	if changes := v.Update(restarted, second); len(changes) != 1 || changes[0].Reason != ReasonRestarted {
		t.Errorf("changes after an update with a new incarnation: got %+v, want one with the reason %q", changes, ReasonRestarted)
	}
	v.MarkGone("b", false, 2*second)
	v.Join(restarted, "b", 3*second) // the same process, so the death was false
	if m, _ := v.Get("b"); m.Restarts != 1 || m.Deaths != 1 || m.FalseDeaths != 1 {
		t.Errorf("got %d restarts, %d deaths and %d false deaths, want 1 of each", m.Restarts, m.Deaths, m.FalseDeaths)
	}
}

// exchangeHeartbeats merges a frame of each view into every other view.
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

// viewsOf returns the views of gateways that have all known each other as alive since time 1.
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

// A view settles once every live member has reported the same live set. It is unsettled while a member reports a
// different one.
func TestSettlesOnlyOnReceivedAgreement(t *testing.T) {
	all := viewsOf("a", "b", "c")
	if all[0].Tick(9 * second).HasSettled {
		t.Error("the view settled before any member reported its live set")
	}
	exchangeHeartbeats(t, 9*second, all...)
	if tick := all[0].Tick(10 * second); !tick.HasSettled || tick.SettleTime != 10*second-1 {
		t.Errorf("all members agree: got %+v, want a settled view and a settle time of 9999999 us", tick)
	}
	all[1].MarkGone("c", false, 11*second) // b now sees a different live set
	exchangeHeartbeats(t, 12*second, all...)
	if all[0].Settled() {
		t.Error("the view is settled although b sees a different live set")
	}
	all[1].Join(testID("c"), "c", 13*second)
	exchangeHeartbeats(t, 14*second, all...)
	all[1].Tick(15 * second)
	if !all[0].Tick(15 * second).HasSettled {
		t.Error("the view did not settle again after b agreed again")
	}
}

// A failed probe record that is forwarded by another gateway keeps its time and the name of the gateway whose probe
// failed.
func TestForwardedFailedProbeKeepsSource(t *testing.T) {
	all := viewsOf("a", "b", "c", "d")
	all[0].RecordFailedProbe("d", "a", 5*second, 5*second)
	all[1].MergeHeartbeat(all[0].HeartbeatFrame(MaxFrameBytes, 6*second), 6*second)
	all[2].MergeHeartbeat(all[1].HeartbeatFrame(MaxFrameBytes, 7*second), 7*second) // forwarded by b
	m, _ := all[2].Get("d")
	if m.State != Suspect || m.ProbeFailedBy != "a" || m.ProbeFailedAt != 5*second {
		t.Errorf("d is %v, with a failed probe by %s at %d; want suspect, by a, at 5 s", m.State, m.ProbeFailedBy, m.ProbeFailedAt)
	}
}

// If not all members fit in one frame, every member appears in one of the next frames.
func TestLargeFleetRotatesMembersThroughFrames(t *testing.T) {
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("g%d", i))
	}
	sender := viewsOf(names...)[0]
	receiver := New(testID("other"), Settings{MaxMembers: 1000, EvidenceMaxAge: 30 * second}, 1)
	for _, name := range names {
		receiver.Join(testID(name), name, 0)
	}
	for range 200/maxSeenRecords + 1 {
		frame := sender.HeartbeatFrame(MaxFrameBytes, 2*second)
		if len(frame) > MaxFrameBytes {
			t.Fatalf("got a frame of %d bytes, want at most %d", len(frame), MaxFrameBytes)
		}
		if _, err := receiver.MergeHeartbeat(frame, 20*second); err != nil {
			t.Fatal(err)
		}
	}
	reported := map[string]bool{}
	for _, m := range receiver.Members() {
		if m.LastSeen > 1 {
			reported[m.Name] = true
		}
	}
	if len(reported) < 199 {
		t.Errorf("frames reported %d members, want 199", len(reported))
	}
}

// A frame that is truncated at any position is rejected as a whole.
func TestUnreadableFrameChangesNothing(t *testing.T) {
	all := viewsOf("a", "b", "c")
	all[0].RecordFailedProbe("c", "a", second, second)
	good := all[0].HeartbeatFrame(MaxFrameBytes, 2*second)
	for n := range good {
		if _, err := all[1].MergeHeartbeat(good[:n], 2*second); !errors.Is(err, ErrFrame) {
			t.Errorf("merging the first %d of %d bytes: got error %v, want ErrFrame", n, len(good), err)
		}
	}
	if m, _ := all[1].Get("c"); m.State != Alive {
		t.Error("a truncated frame changed the state of c")
	}
}

// FuzzMergeHeartbeat checks that no frame changes the live set, adds evidence with a time in the future or makes more
// members agree than are live.
func FuzzMergeHeartbeat(f *testing.F) {
	all := viewsOf("a", "b", "c")
	all[0].RecordFailedProbe("c", "a", second, second)
	f.Add(all[0].HeartbeatFrame(MaxFrameBytes, 2*second))
	f.Fuzz(func(t *testing.T, b []byte) {
		v := viewsOf("a", "b", "c")[1]
		v.MergeHeartbeat(b, 3*second)
		for _, m := range v.Members() {
			if !m.State.IsLive() || m.LastSeen > 3*second || v.AgreeingCount() > v.LiveCount() {
				t.Errorf("member is not live, was seen in the future, or more members agree than are live: %+v", m)
			}
		}
	})
}

// For any sequence of events, the bounds hold, self stays alive and the digest matches the live set.
func TestBoundsHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf()
		now := int64(1)
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400*second).Draw(t, "elapsed")
			name := rapid.SampledFrom(names).Draw(t, "name")
			by := rapid.SampledFrom(names).Draw(t, "by")
			id := testID(name)
			id.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				v.Join(id, by, now)
			case 1:
				v.Update(id, now)
			case 2:
				v.MarkGone(name, rapid.Bool().Draw(t, "left"), now)
			case 3:
				v.RecordSeen(name, by, now-rapid.Int64Range(0, 40*second).Draw(t, "ago"), now)
			case 4:
				v.RecordFailedProbe(name, by, now-rapid.Int64Range(0, 40*second).Draw(t, "ago"), now)
			case 5:
				v.Tick(now)
			case 6:
				v.AddKnown(id, now)
			case 7:
				v.MarkPaused(now)
			}
			self, ok := v.Get("a")
			if !ok || self.State != Alive || len(v.Members()) > testSettings.MaxMembers || len(v.nameByKey) != len(v.members) {
				t.Fatalf("self is not alive, the view has too many members, or its name keys do not match: %+v", v.Members())
			}
			if alive, fleet := v.Size(); alive > fleet {
				t.Fatalf("got %d alive members in a fleet of only %d: %+v", alive, fleet, v.Members())
			}
			if v.Digest() != v.computeDigest() || v.LiveCount() != len(v.LiveNames()) {
				t.Fatal("the digest or the live count does not match the live set")
			}
			for _, m := range v.Members() {
				if len(m.Evidence()) > maxEvidence || m.LastSeen > now {
					t.Fatalf("member has too many pieces of evidence or was seen in the future: %+v", m)
				}
			}
		}
	})
}
