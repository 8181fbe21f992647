package membership

import "time"

const (
	leaveNoticeAge   = 3 * time.Second // how long gossip carries a leave notice
	noticeWaitRounds = 5               // gossip intervals for which a pending departure waits for a leave notice
)

// pendingDeparture is a member that the detector reported gone although it was seen recently and did not announce
// that it leaves. Either its leave notice is still on the way or the report of its death is false.
type pendingDeparture struct {
	incarnation uint64
	deadline    int64 // when the member is marked dead if no leave notice has arrived
}

// recordDeparture records the detector's report that a member is gone. The detector declares a member dead only after
// a suspicion of several probe intervals during which nobody saw it. A member that was seen more recently is
// therefore not marked dead at once but becomes a pending departure. The caller must hold mu.
func (f *Fleet) recordDeparture(name string, isLeaving bool, now int64) {
	member, known := f.view.Get(name)
	if !known {
		return
	}
	isLeaving = isLeaving || f.view.IsLeaving(name)
	wasSeen := now-member.LastSeen < verifyAfterIntervals*f.settings.ProbeInterval.Microseconds()
	if !isLeaving && wasSeen && member.State.IsLive() {
		f.pendingDepartures[name] = pendingDeparture{member.Incarnation, now + noticeWaitRounds*f.settings.GossipInterval.Microseconds()}
		return
	}
	delete(f.pendingDepartures, name)
	f.recordChanges(f.view.MarkGone(name, isLeaving, now))
}

// expirePendingDepartures marks members dead whose leave notice did not
// arrive by the deadline. The caller must hold mu.
func (f *Fleet) expirePendingDepartures(now int64) {
	for name, departure := range f.pendingDepartures {
		if now < departure.deadline {
			continue
		}
		delete(f.pendingDepartures, name)
		if member, known := f.view.Get(name); known && member.Incarnation == departure.incarnation {
			f.recordChanges(f.view.MarkGone(name, false, now))
		}
	}
}

// recordLeaving records that a process announced that it leaves. If its
// departure is pending, the member is marked as left. The caller must hold mu.
func (f *Fleet) recordLeaving(name string, incarnation uint64, now int64) {
	f.recordChanges(f.view.RecordLeaving(name, incarnation, now))
	if departure, isPending := f.pendingDepartures[name]; isPending && departure.incarnation == incarnation {
		delete(f.pendingDepartures, name)
		f.recordChanges(f.view.MarkGone(name, true, now))
	}
}

// mergeLeaveNotice merges a peer's leave notice into the view.
func (f *Fleet) mergeLeaveNotice(b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	records, err := f.view.ReadLeaveNotice(b)
	if err != nil {
		f.counts.UnreadableHeartbeats++
		return
	}
	for _, record := range records {
		f.recordLeaving(record.Name, record.Incarnation, f.now())
	}
}
