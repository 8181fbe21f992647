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

// viewOf returns the view of gateway a with others alive since 1.
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
		t.Errorf("%s is %v, not %v", name, m.State, want)
	}
}

// A failed probe after which a member was not seen makes it suspect; evidence that it was seen since clears it.
func TestFailedProbeSuspectsAndLaterHeartbeatClears(t *testing.T) {
	v := viewOf("b", "c")
	v.RecordFailedProbe("b", "c", 5*second, 6*second)
	wantState(t, v, "b", Suspect)
	v.RecordSeen("b", "a", 4*second, 6*second) // older than the failed probe: proves nothing about now
	wantState(t, v, "b", Suspect)
	v.RecordSeen("b", "a", 7*second, 7*second)
	wantState(t, v, "b", Alive)
	v.RecordFailedProbe("b", "c", 6*second, 8*second) // an older probe whose record comes late, by way of others
	wantState(t, v, "b", Alive)
}

// A member whose suspicion evidence cleared is asked a few times to refute it, and no more once the detector has news of it.
func TestMemberClearedByHeartbeatsGetsRefuteRequests(t *testing.T) {
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
	restarted := testID("b")
	restarted.Incarnation = 2
	v.Update(restarted, 71*second) // the detector itself has news of it
	if names := v.DueRefuteRequests(90 * second); len(names) > 0 {
		t.Errorf("asked again: %v", names)
	}
}

// Heartbeat evidence about a dead member is kept, but neither makes it alive nor another one dead.
func TestHeartbeatsNeitherKillNorRevive(t *testing.T) {
	v := viewOf("b", "c")
	v.MarkGone("b", false, 2*second)
	v.RecordSeen("b", "c", 3*second, 3*second)
	wantState(t, v, "b", Dead)
	v.RecordFailedProbe("c", "b", 4*second, 4*second)
	wantState(t, v, "c", Suspect)
	m, _ := v.Get("b")
	if evidence := m.Evidence(); evidence[len(evidence)-1].By != "c" {
		t.Errorf("who saw the dead one is not kept: %v", evidence)
	}
}

// Half of the fleet or less is a minority; suspects are not part of it, and members that left don't count.
func TestMinorityIsRecognised(t *testing.T) {
	v := viewOf("b", "c", "d", "e")
	for _, name := range []string{"c", "d"} {
		v.MarkGone(name, false, 2*second)
	}
	if v.InMinority() {
		t.Error("three of five take themselves for a minority")
	}
	v.RecordFailedProbe("e", "a", 3*second, 3*second)
	if alive, fleet := v.Size(); !v.InMinority() || alive != 2 || fleet != 5 {
		t.Errorf("two of five that answer are no minority: %d of %d", alive, fleet)
	}
	v.MarkGone("c", true, 4*second) // it had left: it no longer counts for the fleet
	if alive, fleet := v.Size(); alive != 2 || fleet != 4 || !v.InMinority() {
		t.Errorf("%d of %d", alive, fleet)
	}
	alone := New(testID("a"), Settings{MaxMembers: 9, ExpectedMembers: 3}, 1)
	if !alone.InMinority() || New(testID("a"), testSettings, 1).InMinority() {
		t.Error("one of three that are expected must be a minority, one that knows of nobody else must not")
	}
}

// Dead members count for the size of the fleet until the reap time is over.
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

// A full view refuses a gateway while all members are live, and forgets the longest dead one for it otherwise.
func TestJoinsEvictTheLongestDead(t *testing.T) {
	v := viewOf("b", "c", "d", "e") // full
	if v.RefusalOf("f") != Full {
		t.Error("a sixth is admitted to a view of five, all of them live")
	}
	v.MarkGone("c", false, 2*second)
	v.MarkGone("b", false, 3*second)
	if v.RefusalOf("f") != "" {
		t.Error("refused though two members are dead")
	}
	v.Join(testID("f"), "f", 4*second)
	wantState(t, v, "f", Alive)
	if _, known := v.Get("c"); known {
		t.Error("the longest dead was not forgotten")
	}
	wantState(t, v, "b", Dead)
}

// Another incarnation under a name is a restart; the same one after a death is a false death.
func TestRestartIsReportedAndIsNoFalseDeath(t *testing.T) {
	v := viewOf("b")
	restarted := testID("b")
	restarted.Incarnation = 2
	if changes := v.Update(restarted, second); len(changes) != 1 || changes[0].Reason != ReasonRestarted {
		t.Errorf("%+v", changes)
	}
	v.MarkGone("b", false, 2*second)
	v.Join(restarted, "b", 3*second) // the same process: it had not died
	if m, _ := v.Get("b"); m.Restarts != 1 || m.Deaths != 1 || m.FalseDeaths != 1 {
		t.Errorf("restarts %d, deaths %d, false ones %d", m.Restarts, m.Deaths, m.FalseDeaths)
	}
}

// exchangeHeartbeats merges each view's frame into each other view, as gossip would.
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

// viewsOf returns the views of gateways that all know each other as alive since 1.
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

// A view settles once every live member has reported the same set, and no more while one reports another.
func TestSettlesOnlyOnReceivedAgreement(t *testing.T) {
	all := viewsOf("a", "b", "c")
	if all[0].Tick(9 * second).HasSettled {
		t.Error("settled though nobody reported what it sees")
	}
	exchangeHeartbeats(t, 9*second, all...)
	if tick := all[0].Tick(10 * second); !tick.HasSettled || tick.SettleTime != 10*second-1 {
		t.Errorf("not settled though all agree: %+v", tick)
	}
	all[1].MarkGone("c", false, 11*second) // b sees another set now
	exchangeHeartbeats(t, 12*second, all...)
	if all[0].Settled() {
		t.Error("settled though b sees another set")
	}
	all[1].Join(testID("c"), "c", 13*second)
	exchangeHeartbeats(t, 14*second, all...)
	all[1].Tick(15 * second)
	if !all[0].Tick(15 * second).HasSettled {
		t.Error("does not settle again")
	}
}

// A failed probe that comes by way of a third gateway still has the gateway whose probe it was, and its time.
func TestForwardedFailedProbeKeepsSource(t *testing.T) {
	all := viewsOf("a", "b", "c", "d")
	all[0].RecordFailedProbe("d", "a", 5*second, 5*second)
	all[1].MergeHeartbeat(all[0].HeartbeatFrame(MaxFrameBytes, 6*second), 6*second)
	all[2].MergeHeartbeat(all[1].HeartbeatFrame(MaxFrameBytes, 7*second), 7*second) // by way of b
	m, _ := all[2].Get("d")
	if m.State != Suspect || m.ProbeFailedBy != "a" || m.ProbeFailedAt != 5*second {
		t.Errorf("%v, probe of %s failed at %d", m.State, m.ProbeFailedBy, m.ProbeFailedAt)
	}
}

// Where not all members fit a frame, all come in turn.
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
			t.Fatalf("a frame of %d bytes", len(frame))
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
		t.Errorf("%d of 199 members came in frames", len(reported))
	}
}

// A frame that is cut short anywhere is refused as a whole.
func TestUnreadableFrameChangesNothing(t *testing.T) {
	all := viewsOf("a", "b", "c")
	all[0].RecordFailedProbe("c", "a", second, second)
	good := all[0].HeartbeatFrame(MaxFrameBytes, 2*second)
	for n := range good {
		if _, err := all[1].MergeHeartbeat(good[:n], 2*second); !errors.Is(err, ErrFrame) {
			t.Errorf("%d bytes of %d: %v", n, len(good), err)
		}
	}
	if m, _ := all[1].Get("c"); m.State != Alive {
		t.Error("a frame that was cut short changed the view")
	}
}

// No frame changes who is live, dates evidence in the future or makes more members agree than there are.
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

// Bounds hold, self stays alive and the digest is of the live set, whatever happens in whatever order.
func TestBoundsHoldInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := viewOf()
		now := int64(1)
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400*second).Draw(t, "passes")
			name := rapid.SampledFrom(names).Draw(t, "name")
			by := rapid.SampledFrom(names).Draw(t, "by")
			id := testID(name)
			id.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "stamp")
			switch rapid.IntRange(0, 7).Draw(t, "what") {
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
				t.Fatalf("%+v", v.Members())
			}
			if alive, fleet := v.Size(); alive > fleet {
				t.Fatalf("%d alive in a fleet of %d: %+v", alive, fleet, v.Members())
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
