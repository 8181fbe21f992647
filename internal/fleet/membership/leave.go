package membership

import "time"

const (
	leaveNoticeAge   = 3 * time.Second // notices of a leave ride on gossip for so long
	noticeWaitRounds = 5               // of gossip, in which the notice of a leave is waited for
)

// pendingDeparture is a member that the detector reported gone though it was seen just before, and that did not say that it leaves: its notice
// is still on its way, or the death is a false one.
type pendingDeparture struct {
	incarnation uint64
	deadline    int64 // when it counts as dead
}

// recordDeparture takes the detector's report that a member is gone; mu is held. A death takes a suspicion of some probe intervals in which nobody
// saw the member, so one that was seen since is not taken for dead at once.
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

// expirePendingDepartures marks those dead whose notice did not come; mu is held.
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

// recordLeaving takes that a process said that it leaves; mu is held.
func (f *Fleet) recordLeaving(name string, incarnation uint64, now int64) {
	f.recordChanges(f.view.RecordLeaving(name, incarnation, now))
	if departure, isPending := f.pendingDepartures[name]; isPending && departure.incarnation == incarnation {
		delete(f.pendingDepartures, name)
		f.recordChanges(f.view.MarkGone(name, true, now))
	}
}

// mergeLeaveNotice takes a leave notice of a peer.
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
