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

// Incarnations of the process that leaves and of the one before it.
const (
	olderIncarnation   = 7
	leavingIncarnation = 8
)

// leaveObserver is a gateway without a detector: the test makes the detector's reports, in any order.
type leaveObserver struct {
	fleet  *Fleet
	states []view.State // of the member that leaves, as they changed
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

// memberNode is the detector's record of n2.
func memberNode(incarnation uint64, isLeaving bool) *memberlist.Node {
	return &memberlist.Node{Name: "n2", Addr: net.IPv4(127, 0, 0, 1), Port: 2, Meta: metadata{incarnation: incarnation, leaving: isLeaving}.append(nil),
		DCur: ProtocolVersion}
}

// leaveNotice is the notice that a peer sends of a process of n2.
func leaveNotice(t *testing.T, incarnation uint64) []byte {
	t.Helper()
	peer := view.New(view.ID{Name: "n3"}, view.Settings{MaxMembers: 8}, 1)
	peer.Join(view.ID{Name: "n2", Incarnation: incarnation}, "n2", 1)
	peer.RecordLeaving("n2", incarnation, 1)
	return peer.LeaveNotice(1000, 10, 2)
}

// leaveEvent is something that reaches a gateway about the member that leaves.
type leaveEvent struct {
	name  string
	apply func(o *leaveObserver)
}

// leaveEvents are what a gateway may receive of a leave. Metadata that comes after the report that the member is gone is too old for the
// detector, which does not pass it on.
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

// TestLeaveIsNotRecordedAsDeathInAnyOrder guards against a member that left and counts as dead where the leave, its announcements, suspicions and older
// news arrive in another order than they were sent.
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
				t.Errorf("seed %d, %v: %v", seed, order, o.states)
			}
		})
	}
}

// advance does what a step of Run does with time alone.
func (o *leaveObserver) advance() {
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	o.fleet.expirePendingDepartures(o.fleet.now())
	o.fleet.advanceView(o.fleet.now())
}

// TestDepartureWithoutNoticeCountsAsDead guards against a member that is gone and stays alive in the view, where no notice of a leave comes.
func TestDepartureWithoutNoticeCountsAsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLeaveObserver(t)
		o.fleet.NotifyJoin(memberNode(leavingIncarnation, false))
		o.fleet.NotifyLeave(memberNode(leavingIncarnation, false))
		o.fleet.NotifyMsg(leaveNotice(t, olderIncarnation))
		time.Sleep(noticeWaitRounds*o.fleet.settings.GossipInterval + time.Millisecond)
		o.advance()
		if last := o.states[len(o.states)-1]; last != view.Dead {
			t.Errorf("%v after the wait for a notice", o.states)
		}
		o.fleet.NotifyMsg(leaveNotice(t, leavingIncarnation))
		if last := o.states[len(o.states)-1]; last != view.Left {
			t.Errorf("%v after a late notice", o.states)
		}
		o.fleet.NotifyJoin(memberNode(leavingIncarnation+1, false))
		o.fleet.NotifyMsg(leaveNotice(t, leavingIncarnation))
		if member, _ := o.fleet.view.Get("n2"); member.State != view.Alive || o.fleet.view.IsLeaving("n2") {
			t.Errorf("the next process of the name counts as leaving by a notice of the one before: %v", o.states)
		}
	})
}

// TestDeathOfUnseenMemberIsRecordedAtOnce guards against a crash that is known later than the detector knows it.
func TestDeathOfUnseenMemberIsRecordedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newLeaveObserver(t)
		o.fleet.NotifyJoin(memberNode(leavingIncarnation, false))
		time.Sleep(verifyAfterIntervals * time.Second)
		o.fleet.NotifyLeave(memberNode(leavingIncarnation, false))
		if last := o.states[len(o.states)-1]; last != view.Dead || len(o.fleet.pendingDepartures) > 0 {
			t.Errorf("%v", o.states)
		}
	})
}
