package membership

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"foldslip/internal/fleet/transport"
	"foldslip/internal/fleet/view"
)

// Incarnations of the process of n2 that leaves and of an older process of n2.
const (
	olderIncarnation   = 7
	leavingIncarnation = 8
)

// leaveObserver is a gateway that observes how member n2 leaves. It has no
// detector. The test calls the detector's callbacks itself, in any order.
type leaveObserver struct {
	fleet  *Fleet
	states []view.State // states that n2 took, in order
}

func newLeaveObserver(t *testing.T) *leaveObserver {
	t.Helper()
	o := &leaveObserver{}
	settings := Settings{Name: "n1", Advertise: "127.0.0.1:1", MaxMembers: 8, ProbeInterval: time.Second, GossipInterval: 200 * time.Millisecond,
		SettleAfter: time.Second, ReapAfter: time.Hour, RejoinInterval: 5 * time.Second}
	fleet, err := New(settings, Dependencies{
		Log:             slog.New(slog.DiscardHandler),
		Now:             time.Now,
		TransportCounts: &transport.Counts{},
		OnChange: func(change view.Change, _ time.Time) {
			if change.Name == "n2" {
				o.states = append(o.states, change.To)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	o.fleet = fleet
	return o
}

// memberNode returns the detector's record of n2.
func memberNode(incarnation uint64, isLeaving bool) *memberlist.Node {
	return &memberlist.Node{Name: "n2", Addr: net.IPv4(127, 0, 0, 1), Port: 2, Meta: metadata{incarnation: incarnation, leaving: isLeaving}.append(nil),
		DCur: ProtocolVersion}
}

// leaveNotice returns the leave notice that a peer sends for a process of n2.
func leaveNotice(t *testing.T, incarnation uint64) []byte {
	t.Helper()
	peer := view.New(view.ID{Name: "n3"}, view.Settings{MaxMembers: 8}, 1)
	peer.Join(view.ID{Name: "n2", Incarnation: incarnation}, "n2", 1)
	peer.RecordLeaving("n2", incarnation, 1)
	return peer.LeaveNotice(1000, 10, 2)
}

// leaveEvent is a report or message about n2 that reaches the observer.
type leaveEvent struct {
	name  string
	apply func(o *leaveObserver)
}

// leaveEvents returns the events that a gateway may receive when n2 leaves. Metadata that arrives after the report
// that n2 is gone has no effect, because the detector considers it too old and does not pass it on.
func leaveEvents(t *testing.T) []leaveEvent {
	isGone := map[*leaveObserver]bool{}
	return []leaveEvent{
		{"gone", func(o *leaveObserver) { o.fleet.NotifyLeave(memberNode(leavingIncarnation, false)); isGone[o] = true }},
		{"notice", func(o *leaveObserver) { o.fleet.NotifyMsg(leaveNotice(t, leavingIncarnation)) }},
		{"second notice", func(o *leaveObserver) { o.fleet.NotifyMsg(leaveNotice(t, leavingIncarnation)) }},
		{"old notice", func(o *leaveObserver) { o.fleet.NotifyMsg(leaveNotice(t, olderIncarnation)) }},
		{"metadata", func(o *leaveObserver) {
			if !isGone[o] {
				o.fleet.NotifyUpdate(memberNode(leavingIncarnation, true))
			}
		}},
		{"failed probe", func(o *leaveObserver) { o.fleet.recordUnverified("n2", 0) }},
		{"heartbeat", func(o *leaveObserver) { o.fleet.recordAck("n2", time.Millisecond) }},
	}
}

// TestLeaveIsNotRecordedAsDeathInAnyOrder guards against a member that left but is recorded as dead. This can happen
// when the leave, its announcements, suspicions and older messages arrive in a different order than they were sent.
func TestLeaveIsNotRecordedAsDeathInAnyOrder(t *testing.T) {
	const seeds = 500
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			o := newLeaveObserver(t)
			o.fleet.NotifyJoin(memberNode(leavingIncarnation, false))
			events := leaveEvents(t)
			random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
			var order []string
			for _, event := range events {
				time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
				o.advance()
				event.apply(o)
				order = append(order, event.name)
			}
			for range 30 {
				time.Sleep(stepInterval)
				o.advance()
			}
			if last := o.states[len(o.states)-1]; last != view.Left || strings.Contains(fmt.Sprint(o.states), view.Dead.String()) {
				t.Errorf("seed %d, events %v: n2 went through states %v, want left at the end and never dead", seed, order, o.states)
			}
		})
	}
}

// advance does the part of Fleet.step that depends on time alone: it
// expires pending departures and advances the view.
func (o *leaveObserver) advance() {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	o.fleet.expirePendingDepartures(o.fleet.now())
	o.fleet.advanceView(o.fleet.now())
}

// TestDepartureWithoutNoticeCountsAsDead guards against a member that is gone but stays
// alive in the view because no leave notice for it arrives. A notice that arrives later
// must still change dead to left, and must not affect the next process with the name.
func TestDepartureWithoutNoticeCountsAsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLeaveObserver(t)
		o.fleet.NotifyJoin(memberNode(leavingIncarnation, false))
		o.fleet.NotifyLeave(memberNode(leavingIncarnation, false))
		o.fleet.NotifyMsg(leaveNotice(t, olderIncarnation))
		time.Sleep(noticeWaitRounds*o.fleet.settings.GossipInterval + time.Millisecond)
		o.advance()
		if last := o.states[len(o.states)-1]; last != view.Dead {
			t.Errorf("states of n2 are %v, want dead after the wait for a leave notice", o.states)
		}
		o.fleet.NotifyMsg(leaveNotice(t, leavingIncarnation))
		if last := o.states[len(o.states)-1]; last != view.Left {
			t.Errorf("states of n2 are %v, want left after a late leave notice", o.states)
		}
		o.fleet.NotifyJoin(memberNode(leavingIncarnation+1, false))
		o.fleet.NotifyMsg(leaveNotice(t, leavingIncarnation))
		if member, _ := o.fleet.view.Get("n2"); member.State != view.Alive || o.fleet.view.IsLeaving("n2") {
			t.Errorf("a leave notice for the previous process of n2 affects the next one: states %v", o.states)
		}
	})
}

// TestDeathOfUnseenMemberIsRecordedAtOnce guards against a delay between the detector's report of a crash and the
// view. Only a member that was seen recently may wait for a leave notice.
func TestDeathOfUnseenMemberIsRecordedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLeaveObserver(t)
		o.fleet.NotifyJoin(memberNode(leavingIncarnation, false))
		time.Sleep(verifyAfterIntervals * time.Second)
		o.fleet.NotifyLeave(memberNode(leavingIncarnation, false))
		if last := o.states[len(o.states)-1]; last != view.Dead || len(o.fleet.pendingDepartures) > 0 {
			t.Errorf("states of n2 are %v, want dead at once with no pending departure", o.states)
		}
	})
}
